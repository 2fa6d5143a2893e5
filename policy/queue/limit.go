package queue

import (
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/preset"
)

const (
	// initialLimit is used until delays are measured.
	initialLimit = 16
	// shrinkFactor is applied at most once per shrinkInterval, so that one slow moment,
	// which many requests see, counts once.
	shrinkFactor   = 0.85
	shrinkInterval = 250 * time.Millisecond
)

// Limit is the adaptive number of requests in flight at one target: it grows by about
// one per round of requests while the measured delay is below the target delay, and
// shrinks by a factor above it. The zero value starts at a default.
type Limit struct {
	limit      float64
	inFlight   int
	overFlight int
	shrunkAt   time.Time
}

// Value returns the limit in force.
func (l *Limit) Value(k *preset.Knobs) int {
	if l.limit == 0 {
		l.limit = initialLimit
	}
	l.limit = min(max(l.limit, float64(k.MinInFlight), 1), float64(max(k.MaxInFlight, 1)))
	return int(l.limit)
}

// InFlight returns the number of requests in flight.
func (l *Limit) InFlight() int { return l.inFlight }

// HasCapacity reports whether another request may be sent.
func (l *Limit) HasCapacity(k *preset.Knobs) bool { return l.inFlight < l.Value(k) }

// HasOverRateCapacity reports whether a request of an account above its rate may be sent. Such
// requests get only a share of the limit, at least one, so that they never fill the
// target when a request within the rate comes.
func (l *Limit) HasOverRateCapacity(k *preset.Knobs) bool {
	share := max(1, int(k.OverRateShare*float64(l.Value(k))))
	return l.HasCapacity(k) && l.overFlight < share
}

// Start counts a request that is sent.
func (l *Limit) Start(overRate bool) {
	l.inFlight++
	if overRate {
		l.overFlight++
	}
}

// End counts the end of a request.
func (l *Limit) End(overRate bool) {
	l.inFlight--
	if overRate {
		l.overFlight--
	}
}

// RecordDelay takes the queueing delay of a request at the target.
func (l *Limit) RecordDelay(k *preset.Knobs, delay time.Duration, now time.Time) {
	value := float64(l.Value(k))
	switch {
	case delay <= k.DelayTarget:
		// An idle target says nothing about a higher limit.
		if 2*l.inFlight >= int(value) {
			l.limit += 1 / value
		}
	case now.Sub(l.shrunkAt) >= shrinkInterval:
		l.limit *= shrinkFactor
		l.shrunkAt = now
	}
}
