package limit

import (
	"fmt"
	"testing"
	"time"
)

// benchmarkPools returns pools that hold enough tokens for any run.
func benchmarkPools(n int) []*Pool {
	pools := make([]*Pool, n)
	for i := range pools {
		pools[i] = NewPool(testTiming, 1, Limits{Rate: 1e12, Burst: 1e15}, 1, testStart.Add(-time.Hour))
	}
	return pools
}

// BenchmarkDebit measures a Take, by the number of accounts.
func BenchmarkDebit(b *testing.B) {
	for _, accounts := range []int{5, 52, 520} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			pools := benchmarkPools(accounts)
			now := testStart
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Microsecond)
				if _, ok := pools[i%accounts].Take(now, 1000); !ok {
					b.Fatal("pool is empty")
				}
			}
		})
	}
}

// BenchmarkDebitAndRefund measures a Take and its refund, by the number of earlier Takes
// that are not refunded.
func BenchmarkDebitAndRefund(b *testing.B) {
	for _, records := range []int{0, 32, 128} {
		b.Run(fmt.Sprintf("open=%d", records), func(b *testing.B) {
			p := benchmarkPools(1)[0]
			now := testStart
			marks := make([]Mark, records)
			for i := range marks {
				marks[i], _ = p.Take(now, 1e9)
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				mark, ok := p.Take(now, 1000)
				if !ok {
					b.Fatal("pool is empty")
				}
				p.Refund(now, mark, 500)
			}
		})
	}
}

// BenchmarkIssueAndReturn measures the issue and return of a grant, by the number of
// outstanding grants.
func BenchmarkIssueAndReturn(b *testing.B) {
	for _, outstanding := range []int{0, 10, 100, 1000} {
		b.Run(fmt.Sprintf("outstanding=%d", outstanding), func(b *testing.B) {
			p := benchmarkPools(1)[0]
			now := testStart
			// A grant is returned when the given number of later ones is outstanding.
			ids := make([]GrantID, outstanding+1)
			step := testTiming.GrantHoldTime() / time.Duration(2*len(ids))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(step)
				p.Return(now, ids[i%len(ids)], 500)
				id, _, ok := p.Issue(now, 1000, 1000)
				if !ok {
					b.Fatal("pool is empty")
				}
				ids[i%len(ids)] = id
			}
		})
	}
}
