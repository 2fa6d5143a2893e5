package platform

import (
	"sync/atomic"
	"time"
)

// Stats is a snapshot of a client's calls since its start and of its present state.
type Stats struct {
	Reads, Writes CallStats
	// BreakerOpen says that calls are refused locally, except for probes.
	BreakerOpen bool
}

// CallStats describe the attempts of one kind of call.
type CallStats struct {
	// Attempts counts requests that were sent or were about to be.
	Attempts uint64
	// Failures counts attempts that the platform did not answer, or answered with an
	// error of its own. A conflict or an absent row is not a failure.
	Failures uint64
	// Refused counts attempts that the breaker or the budget kept from being sent.
	Refused uint64
	// BudgetUsed is the share of the burst that is used up, from 0 to 1 and above 1
	// while calls wait for the budget.
	BudgetUsed float64
}

// callCounters count the attempts of one kind of call.
type callCounters struct{ attempts, failures, refused atomic.Uint64 }

// Stats returns a snapshot.
func (c *Client) Stats() Stats {
	return Stats{
		Reads:       c.reads.stats(),
		Writes:      c.writes.stats(),
		BreakerOpen: c.breaker.open(),
	}
}

func (b *budget) stats() CallStats {
	return CallStats{
		Attempts: b.counters.attempts.Load(), Failures: b.counters.failures.Load(), Refused: b.counters.refused.Load(),
		BudgetUsed: 1 - b.limiter.TokensAt(time.Now())/float64(b.limiter.Burst()),
	}
}

func (b *breaker) open() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures >= b.limit
}
