package quota

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/sequoiaroad/sequoiaroad/internal/wire"
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
	return f, f.applyReady(benchmarkAccounts(accounts)...)
}

func BenchmarkReserveOnOwner(b *testing.B) {
	for _, accounts := range []int{5, 52, 520} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			f, d := benchmarkFleet(accounts)
			owners := make([]*testHost, accounts)
			for i := range owners {
				owners[i] = f.hostsByRank(d.Accounts[i].ID)[0]
			}
			ctx := context.Background()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if i%1000 == 0 {
					f.renewFreshness()
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
				ranked[i] = f.hostsByRank(d.Accounts[i].ID)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if i%1000 == 0 {
					// Lets outstanding grants expire, since their number is bounded.
					f.advance(2 * time.Second)
					f.renewFreshness()
				}
				items := []GrantRequestItem{{Account: d.Accounts[i%accounts].ID, Need: 1000, Want: 1000}}
				request := &GrantRequest{Revision: d.Revision, Items: items}
				hosts := ranked[i%accounts]
				results := hosts[8].limiter.sendGrantRequest(hosts[0].member, request, time.Second)
				if results[0].Status != GrantIssued {
					b.Fatal(results[0].Status)
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

// BenchmarkGrantBytes measures the size of a grant request, its reply and a grant return,
// each with one item per account. The bytes per second are those between one home and one
// holder that exchange these messages, with their frames, at each refresh.
func BenchmarkGrantBytes(b *testing.B) {
	const frameBytes = 31 // a frame without its body
	for _, accounts := range []int{1, 5, 52, 520} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			request, reply := &GrantRequest{Revision: 12345}, &GrantReply{Revision: 12345}
			returned := &GrantReturn{}
			for i := range accounts {
				id := fmt.Sprintf("account-%03d", i)
				request.Items = append(request.Items, GrantRequestItem{Account: id, Want: 30_000})
				reply.Results = append(reply.Results, GrantResult{Status: GrantIssued, Epoch: 1 << 60, Number: 1 << 20, Tokens: 30_000})
				returned.Returned = append(returned.Returned, ReturnedTokens{Account: id, Epoch: 1 << 60, Number: 1 << 20, Total: 10_000})
			}
			sent := 0
			b.ReportAllocs()
			for b.Loop() {
				sent = 0
				for _, m := range []wire.Message{request, reply, returned, &GrantReturnAck{}} {
					body, err := wire.Encode(m)
					if err != nil {
						b.Fatal(err)
					}
					sent += len(body) + frameBytes
				}
			}
			b.ReportMetric(float64(sent), "bytes")
			b.ReportMetric(float64(sent)/refreshInterval.Seconds(), "bytes/s")
		})
	}
}
