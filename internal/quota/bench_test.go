package quota

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

func benchmarkAccounts(n int) []config.Account {
	accounts := make([]config.Account, n)
	for i := range accounts {
		accounts[i] = config.Account{
			ID: fmt.Sprintf("account-%d", i), RateTokensPerSecond: 1 << 40, BurstTokens: 1 << 50,
		}
	}
	return accounts
}

// benchmarkFleet returns nine hosts with the given number of accounts.
func benchmarkFleet(accounts int) (*testFleet, *config.Document) {
	f := newTestFleet(9, Options{})
	return f, f.settled(benchmarkAccounts(accounts)...)
}

func BenchmarkReserveOnOwner(b *testing.B) {
	for _, accounts := range []int{5, 52, 520} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			f, d := benchmarkFleet(accounts)
			owners := make([]*testHost, accounts)
			for i := range owners {
				owners[i] = f.ranked(d.Accounts[i].ID)[0]
			}
			ctx := context.Background()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if i%1000 == 0 {
					f.renew()
				}
				r, err := owners[i%accounts].limiter.Reserve(ctx, d.Accounts[i%accounts].ID, 1000)
				if err != nil {
					b.Fatal(err)
				}
				r.Settle(500)
			}
		})
	}
}

// BenchmarkGrantRoundTrip includes the encoding of both messages, but no network.
func BenchmarkGrantRoundTrip(b *testing.B) {
	for _, accounts := range []int{5, 52, 520} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			f, d := benchmarkFleet(accounts)
			ranked := make([][]*testHost, accounts)
			for i := range ranked {
				ranked[i] = f.ranked(d.Accounts[i].ID)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if i%1000 == 0 {
					// Lets outstanding grants lapse, whose number is bounded.
					f.advance(2 * time.Second)
					f.renew()
				}
				asks := []GrantAsk{{Account: d.Accounts[i%accounts].ID, Need: 1000, Want: 1000}}
				request := &GrantRequest{Revision: d.Revision, Asks: asks}
				hosts := ranked[i%accounts]
				answers := hosts[8].limiter.request(hosts[0].member, request, time.Second)
				if answers[0].Status != GrantIssued {
					b.Fatal(answers[0].Status)
				}
			}
		})
	}
}

func BenchmarkApplyRevision(b *testing.B) {
	for _, accounts := range []int{5, 52, 520} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			f, d := benchmarkFleet(accounts)
			h := f.hosts["h0:1"]
			b.ReportAllocs()
			for b.Loop() {
				d = d.Clone()
				d.Revision++
				h.apply(config.NewIndex(d))
			}
		})
	}
}

// BenchmarkRefresh measures the periodic work of an idle host.
func BenchmarkRefresh(b *testing.B) {
	for _, accounts := range []int{5, 52, 520} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			f, _ := benchmarkFleet(accounts)
			h := f.hosts["h0:1"]
			b.ReportAllocs()
			for b.Loop() {
				h.limiter.refresh()
			}
		})
	}
}
