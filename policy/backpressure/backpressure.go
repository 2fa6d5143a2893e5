// Package backpressure keeps what targets ask of the hosts in their responses: a limit of
// requests a second, a pause, or no new requests because they leave. It does no I/O; the
// current time is an argument.
package backpressure

import "time"

// Statement is what a target asks for in one response.
type Statement struct {
	// RateLimit is the number of requests a second that the target takes from all hosts
	// together; Limited is false if it states none.
	RateLimit float64
	Limited   bool
	// RetryAfter is how long the target wants no request from the receiving host; zero if
	// not stated.
	RetryAfter time.Duration
	// Leaving means that the target is about to stop and must get no new requests.
	Leaving bool
}

// Target identifies one incarnation of a target.
type Target struct {
	ID      string
	Started int64
}

// state is what one incarnation of a target has asked for.
type state struct {
	started   int64
	rateLimit float64
	limited   bool
	// statedAt is when the target last stated a limit, or none.
	statedAt    time.Time
	pausedUntil time.Time
	leaving     bool
}

// Table holds the state of all targets that have asked for something. It is not safe for
// concurrent use.
type Table struct {
	states map[string]*state
}

// New returns an empty table.
func New() *Table { return &Table{states: map[string]*state{}} }

// get returns the state of a target, or nil if it has asked for nothing.
func (t *Table) get(target Target) *state {
	s := t.states[target.ID]
	if s == nil || s.started != target.Started {
		return nil
	}
	return s
}

// Record records what a target has stated in a response to this host. It reports whether
// that differs from what it asked for before.
func (t *Table) Record(target Target, stated Statement, now time.Time) (changed bool) {
	s := t.get(target)
	if s == nil {
		if stated == (Statement{}) {
			return false
		}
		s = &state{started: target.Started}
		t.states[target.ID] = s
	}
	changed = s.limited != stated.Limited || s.rateLimit != stated.RateLimit || stated.Leaving && !s.leaving || stated.RetryAfter > 0
	s.limited, s.rateLimit, s.statedAt = stated.Limited, stated.RateLimit, now
	s.leaving = s.leaving || stated.Leaving
	if until := now.Add(stated.RetryAfter); stated.RetryAfter > 0 && until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
	return changed
}

// Retain drops the state of all targets for which keep returns false.
func (t *Table) Retain(keep func(id string) bool) {
	for id := range t.states {
		if !keep(id) {
			delete(t.states, id)
		}
	}
}
