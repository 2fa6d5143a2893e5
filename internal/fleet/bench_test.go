package fleet

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/sequoiaroad/sequoiaroad/internal/wire"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/freshness"
	"github.com/sequoiaroad/sequoiaroad/policy/gossip"
)

// frameBytes is the length of a frame without its body.
const frameBytes = 31

type noNetwork struct{}

func (noNetwork) Call(context.Context, string, wire.Message, wire.Message) error { return nil }
func (noNetwork) Handle(wire.Type, wire.Handler)                                 {}

func benchmarkMember(i int) config.Member {
	return config.Member{
		HostID: fmt.Sprintf("host-%03d", i), Incarnation: fmt.Sprintf("0197a1b2-c3d4-7e5f-8a9b-%012d", i),
		Zone: fmt.Sprint("zone-", i%4), Region: fmt.Sprint("region-", i%2),
		InnerAddress:  fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
		CallerAddress: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
		AdminAddress:  fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250),
	}
}

// benchmarkReply is the steady answer of a host: fresh and with nothing pending.
func benchmarkReply(i int) *probeReply {
	m := benchmarkMember(i)
	evidence := freshness.Evidence{Valid: true, Age: 400 * time.Millisecond}
	return &probeReply{Member: m, Fresh: true, HasEvidence: true, EvidenceAge: 400 * time.Millisecond,
		Report: freshness.Report{From: memberOf(m), Applied: 12345, Full: evidence, Conditional: evidence}}
}

// benchmarkFleet returns a host that knows the given number of hosts, itself included,
// of which at most nine are members.
func benchmarkFleet(b *testing.B, hosts int) *Fleet {
	f, err := New(Options{Self: benchmarkMember(0), Store: newFakeStore(), Caller: noNetwork{}, Registry: noNetwork{}})
	if err != nil {
		b.Fatal(err)
	}
	d := initialDocument()
	d.Revision = 12345
	for i := range min(hosts, MaxMembers) {
		d.Members = append(d.Members, benchmarkMember(i))
	}
	f.apply(d, "benchmark")
	for i := 1; i < hosts; i++ {
		f.observe(benchmarkReply(i), f.now())
	}
	return f
}

func packed(b *testing.B, m wire.Message) []byte {
	body, err := wire.Encode(m)
	if err != nil {
		b.Fatal(err)
	}
	return body
}

func unpack(b *testing.B, body []byte, m wire.Message) {
	if err := msgpack.Unmarshal(body, m); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkProbeRound is the work of one host for one probe interval by known hosts,
// up to fullProbeHosts: it probes each of them and answers a probe of each. Frames, MACs
// and the network are left out. The bytes a second are those sent at the mean interval,
// with frames.
func BenchmarkProbeRound(b *testing.B) {
	for _, hosts := range []int{5, 9, fullProbeHosts} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			f := benchmarkFleet(b, hosts)
			probes, replies := make([][]byte, hosts), make([][]byte, hosts)
			for i := range hosts {
				probes[i] = packed(b, &probe{Sender: benchmarkMember(i), Known: gossip.MemberHash(f.self)})
				replies[i] = packed(b, benchmarkReply(i))
			}
			ctx, sent := context.Background(), 0
			b.ReportAllocs()
			for b.Loop() {
				sent = 0
				for i, target := range f.probeTargets() {
					message, _, _ := f.newProbe(target)
					sent += len(packed(b, message)) + frameBytes
					reply := &probeReply{}
					unpack(b, replies[i+1], reply)
					f.observe(reply, f.now())
					f.endProbe(target)
					answer, err := f.handleProbe(ctx, wire.Peer{}, wire.Request{Type: wire.TypeProbe, Body: probes[i+1]})
					if err != nil {
						b.Fatal(err)
					}
					sent += len(packed(b, answer)) + frameBytes
				}
			}
			b.ReportMetric(float64(sent)/probeInterval.Seconds(), "sent-bytes/s")
		})
	}
}

// BenchmarkHosts is the view that the locator and the addresses of a refusal are
// built from, by known hosts.
func BenchmarkHosts(b *testing.B) {
	for _, hosts := range []int{9, 35, 118, 350} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			f := benchmarkFleet(b, hosts)
			b.ReportAllocs()
			for b.Loop() {
				f.Hosts()
			}
		})
	}
}

// BenchmarkFetch answers a fetch of the applied document, as the proposer of a change
// does for each host that is no member, by accounts with four keys each.
func BenchmarkFetch(b *testing.B) {
	for _, accounts := range []int{5, 52, 520} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			f := benchmarkFleet(b, MaxMembers)
			d := f.Index().Document().Clone()
			d.Revision++
			for i := range accounts {
				id := fmt.Sprintf("account-%03d", i)
				d.Accounts = append(d.Accounts, config.Account{ID: id, RateTokensPerSecond: 30_000, BurstTokens: 300_000})
				for k := range 4 {
					key := fmt.Sprintf("%s-key-%d", id, k)
					d.ClientKeys = append(d.ClientKeys, config.ClientKey{ID: key, AccountID: id, Hash: config.HashKey(key)})
				}
			}
			f.apply(d, "benchmark")
			request := wire.Request{Type: wire.TypeFetch, Body: packed(b, &fetch{Above: 1})}
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				answer, err := f.handleFetch(context.Background(), wire.Peer{}, request)
				if err != nil {
					b.Fatal(err)
				}
				size = len(answer.(*fetchReply).Document)
			}
			b.ReportMetric(float64(size), "document-bytes")
		})
	}
}

// BenchmarkIdleFleet runs hosts over loopback without requests and reports the
// processor time of one host for a second by hosts: probes, the polls of a store and
// of a host list in memory, and the kernel's part. An operation is one second.
func BenchmarkIdleFleet(b *testing.B) {
	for _, hosts := range []int{5, 10, 20, 40} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			c := newCluster(b)
			var all []*host
			for i := range hosts {
				all = append(all, c.start(fmt.Sprintf("h%03d", i), ""))
			}
			defer func() {
				for _, h := range all {
					h.stop()
				}
			}()
			c.g.Eventually(func() bool {
				return slices.IndexFunc(all, func(h *host) bool { return !h.fleet.Fresh() || len(h.fleet.Hosts()) < hosts }) < 0
			}, testDeadline).Should(BeTrue())
			time.Sleep(2 * time.Second) // joins and first probes
			before := processorTime(b)
			b.ResetTimer()
			time.Sleep(time.Duration(b.N) * time.Second)
			b.ReportMetric(float64(processorTime(b)-before)/float64(hosts*b.N), "cpu-ns/host-s")
		})
	}
}

func processorTime(b testing.TB) time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		b.Fatal(err)
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}
