// Package storeclock relates the steady clock of the store to the clock of this process.
// The store's clock goes on while processes restart and machines are suspended. It does
// no I/O; the current time is an argument.
package storeclock

import "time"

// Clock is the relation as observed so far. The zero value knows nothing.
//
// Invariant: responses arrive late and never early, so that the highest observed offset
// is the closest to the true one.
type Clock struct {
	known bool
	// base is the local time at which the store's clock showed zero.
	base time.Time
}

// Known reports whether a response of the store was observed.
func (c *Clock) Known() bool { return c.known }

// Observe records the store's time in a response that was received at the given time.
func (c *Clock) Observe(store time.Duration, receivedAt time.Time) {
	base := receivedAt.Add(-store)
	if !c.known || base.Before(c.base) {
		c.known, c.base = true, base
	}
}

// Local returns the local time at which the store's clock showed the given time.
func (c *Clock) Local(store time.Duration) time.Time { return c.base.Add(store) }

// Store returns the time of the store's clock at a local time.
func (c *Clock) Store(at time.Time) time.Duration { return at.Sub(c.base) }
