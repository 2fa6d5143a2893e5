package queue

import (
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/preset"
)

const (
	// initialLimit applies until the first delay is measured.
	initialLimit = 16
	// shrinkFactor is applied at most once per shrinkInterval, so that one short
	// slowdown, which many requests measure, counts only once.
	shrinkFactor   = 0.85
	shrinkInterval = 250 * time.Millisecond
)

// Limit is an adaptive limit of the requests in flight at one target. It grows by about
// one for each full round of requests while the measured delay is at most
// Knobs.DelayTarget, and shrinks by a factor above it. The zero value starts with a
// default.
type Limit struct {
	limit            float64
	inFlight         int
	overRateInFlight int
	shrunkAt         time.Time
}

// Value returns the current limit.
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

// HasOverRateCapacity reports whether a request of an account above its rate may be
// sent. Such requests get only a share of the limit, but at least one, so that they
// never occupy the whole target when a request within its rate arrives.
func (l *Limit) HasOverRateCapacity(k *preset.Knobs) bool {
	share := max(1, int(k.OverRateShare*float64(l.Value(k))))
	return l.HasCapacity(k) && l.overRateInFlight < share
}

// Start counts a request that is sent.
func (l *Limit) Start(overRate bool) {
	l.inFlight++
	if overRate {
		l.overRateInFlight++
	}
}

// End counts a request that has ended.
func (l *Limit) End(overRate bool) {
	l.inFlight--
	if overRate {
		l.overRateInFlight--
	}
}

// RecordDelay adjusts the limit by the queueing delay of a request at the target.
func (l *Limit) RecordDelay(k *preset.Knobs, delay time.Duration, now time.Time) {
	value := float64(l.Value(k))
	switch {
	case delay <= k.DelayTarget:
		// A low delay at a mostly idle target is no evidence that a higher limit works.
		if 2*l.inFlight >= int(value) {
			l.limit += 1 / value
		}
	case now.Sub(l.shrunkAt) >= shrinkInterval:
		l.limit *= shrinkFactor
		l.shrunkAt = now
	}
}
