package platform

import (
	"math/rand/v2"
	"sync"
	"time"
)

// breaker is a circuit breaker. After consecutive failures it opens and rejects calls
// locally, so that an outage costs neither time nor request budget. After a cooldown it
// allows one probe at a time; the first success closes it.
type breaker struct {
	mu           sync.Mutex
	failureLimit int
	cooldown     time.Duration
	// failures counts consecutive failures.
	failures int
	// retryAt is the earliest time of the next probe.
	retryAt time.Time
	probing bool
}

// outcome classifies a call by what it shows about the health of the platform.
type outcome int

const (
	// neutral is the outcome of a call that was not sent or that its caller cancelled.
	neutral outcome = iota
	healthy
	unhealthy
)

// allow reports whether a call may start, and whether it is a probe. If it may start,
// the caller must record its outcome.
func (b *breaker) allow(now time.Time) (ok, probe bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < b.failureLimit {
		return true, false
	}
	if b.probing || now.Before(b.retryAt) {
		return false, false
	}
	b.probing = true
	return true, true
}

func (b *breaker) record(o outcome, probe bool, now time.Time) {
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
		// Jitter spreads the probes of many hosts after a common outage.
		b.retryAt = now.Add(b.cooldown/2 + rand.N(b.cooldown/2+1))
	}
}
