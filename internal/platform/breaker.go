package platform

import (
	"math/rand/v2"
	"sync"
	"time"
)

// breaker refuses calls locally after a run of failures, so that an outage costs
// neither time nor budget. After a cooldown it lets one probe at a time through;
// the first success closes it.
type breaker struct {
	mu       sync.Mutex
	limit    int
	cooldown time.Duration
	failures int
	retryAt  time.Time
	probing  bool
}

// outcome is what a call says about the peer's health.
type outcome int

const (
	// neutral calls were ended by the caller.
	neutral outcome = iota
	healthy
	unhealthy
)

// allow reports whether a call may start, and whether it is a probe; the caller
// must then report its outcome.
func (b *breaker) allow(now time.Time) (ok, probe bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < b.limit {
		return true, false
	}
	if b.probing || now.Before(b.retryAt) {
		return false, false
	}
	b.probing = true
	return true, true
}

func (b *breaker) report(o outcome, probe bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if probe {
		b.probing = false
	}
	switch o {
	case healthy:
		b.failures = 0
	case unhealthy:
		b.failures++
		// Jitter keeps the probes of many hosts apart after a common outage.
		b.retryAt = now.Add(b.cooldown/2 + rand.N(b.cooldown/2+1))
	}
}
