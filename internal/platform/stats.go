package platform

import (
	"sync/atomic"
	"time"
)

// Stats is a snapshot of a client's calls since it was created and of its current state.
type Stats struct {
	Reads, Writes CallStats
	// BreakerOpen reports whether the circuit breaker rejects calls locally, except for
	// probes.
	BreakerOpen bool
}

// CallStats describes the attempts of reads or of writes.
type CallStats struct {
	// Attempts counts requests for which sending was attempted.
	Attempts uint64
	// Failures counts attempts without a response, or with a server error or status 429
	// as the response. A conflict or an absent row is not a failure.
	Failures uint64
	// Refused counts attempts that the circuit breaker or the request budget rejected
	// before they were sent.
	Refused uint64
	// BudgetUsed is the used fraction of the burst, from 0 to 1. It exceeds 1 while calls
	// wait for the budget.
	BudgetUsed float64
}

// callCounters counts the attempts of reads or of writes.
type callCounters struct{ attempts, failures, refused atomic.Uint64 }

// Stats returns the current statistics.
func (c *Client) Stats() Stats {
	return Stats{
		Reads:       c.reads.stats(),
		Writes:      c.writes.stats(),
		BreakerOpen: c.breaker.isOpen(),
	}
}

func (b *budget) stats() CallStats {
	return CallStats{
		Attempts: b.counters.attempts.Load(), Failures: b.counters.failures.Load(), Refused: b.counters.refused.Load(),
		BudgetUsed: 1 - b.limiter.TokensAt(time.Now())/float64(b.limiter.Burst()),
	}
}

func (b *breaker) isOpen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures >= b.failureLimit
}
