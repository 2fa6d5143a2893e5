package config

import (
	"fmt"
	"testing"
	"time"
)

// keysPerAccount is the number of keys of an account in the benchmarks: two in use
// and two that replace them during a rotation.
const keysPerAccount = 4

// sizedDocument returns a valid document of the given size with nine members.
func sizedDocument(accounts, targets int) *Document {
	d := &Document{Revision: 7, MembersRevision: 3, Preset: PresetOrdinary}
	for i := range 9 {
		address := func(port int) string { return fmt.Sprintf("10.0.%d.1:%d", i, port) }
		d.Members = append(d.Members, Member{HostID: fmt.Sprintf("host-%03d", i),
			Incarnation: fmt.Sprintf("0197a1b2-c3d4-7e5f-8a9b-%012d", i), Zone: "zone-a", Region: "region-1",
			InnerAddress: address(7000), CallerAddress: address(8000), AdminAddress: address(9000)})
	}
	for i := range accounts {
		id := fmt.Sprintf("account-%03d", i)
		d.Accounts = append(d.Accounts, Account{ID: id, RateTokensPerSecond: 30_000, BurstTokens: 300_000})
		for k := range keysPerAccount {
			key := fmt.Sprintf("%s-key-%d", id, k)
			d.ClientKeys = append(d.ClientKeys, ClientKey{ID: key, AccountID: id, Hash: HashKey(key), CreatedAt: time.Unix(1_700_000_000, 0).UTC()})
		}
	}
	for i := range 21 {
		d.Models = append(d.Models, Model{ID: fmt.Sprintf("model-%02d", i), WeightsVersion: "2026-11-30"})
	}
	for i := range targets {
		d.Targets = append(d.Targets, Target{ID: fmt.Sprintf("engine-%03d", i), Kind: TargetEngine,
			URL: fmt.Sprintf("http://10.1.%d.%d:8000", i/250, i%250), Zone: "zone-a", Region: "region-1",
			Models: []string{fmt.Sprintf("model-%02d", i%21)}, ChecksFencing: true})
	}
	return d
}

// BenchmarkKeyCheck measures a key check, by the number of keys.
func BenchmarkKeyCheck(b *testing.B) {
	for _, accounts := range []int{5, 52, 520, 5200} {
		b.Run(fmt.Sprintf("keys=%d", accounts*keysPerAccount), func(b *testing.B) {
			x := NewIndex(sizedDocument(accounts, 1))
			keys := make([]string, 0, accounts*keysPerAccount)
			for _, k := range x.Document().ClientKeys {
				keys = append(keys, k.ID)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if x.ClientKey(keys[i%len(keys)]) == nil {
					b.Fatal("key not found")
				}
			}
		})
	}
}

// BenchmarkApply measures the work for a new revision on one host: decoding, with the
// document's size, indexing, validation and the encoding by the proposer.
func BenchmarkApply(b *testing.B) {
	for _, size := range []struct{ accounts, targets int }{{5, 14}, {52, 830}, {260, 830}, {520, 830}, {520, 210}, {520, 14}} {
		d := sizedDocument(size.accounts, size.targets)
		encoded, err := d.Encode()
		if err != nil {
			b.Fatal(err)
		}
		for step, do := range map[string]func() error{
			"decode":   func() error { _, err := Decode(encoded); return err },
			"index":    func() error { NewIndex(d); return nil },
			"validate": d.Validate,
			"encode":   func() error { _, err := d.Encode(); return err },
		} {
			b.Run(fmt.Sprintf("%s/accounts=%d/targets=%d", step, size.accounts, size.targets), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if err := do(); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(len(encoded)), "document-bytes")
			})
		}
	}
}
