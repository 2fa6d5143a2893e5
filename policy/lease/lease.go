// Package lease decides who holds a lease that is kept in one row of the table
// service, with fencing numbers that grow with each new holder.
//
// Invariant: at most one holder may act at a time. A holder counts its lease from
// the sending of its last confirmed write, by its own monotonic clock. Another
// process takes the lease only after it saw the row unchanged for the duration
// plus the drift margin, and only on the condition that it is still unchanged. A
// pause between the holder's check and its action is bounded by no lease: targets
// that check fencing numbers refuse such an order; for the others the next holder
// waits out Params.Settle.
package lease

import "time"

// Params are the terms of a lease.
type Params struct {
	// Duration is the time from the sending of a confirmed write to the end of
	// the lease.
	Duration time.Duration
	// Drift is the margin for clocks that run at different rates. It is added to
	// every time that a new holder waits.
	Drift time.Duration
	// Settle is the time that a new holder waits for the effects of the previous
	// one's last action, in addition to Drift. Targets that check fencing numbers
	// need none.
	Settle time.Duration
}

// Row is the stored lease.
type Row struct {
	// Holder names a process, not a host: a restarted process is another holder.
	Holder string `json:"holder"`
	// FencingToken is the fencing number.
	FencingToken uint64 `json:"number"`
	// AttemptID names the write, so that its writer can read it back.
	AttemptID string `json:"attempt_id"`
	// Released says that the holder ended the lease and that all its actions were
	// answered.
	Released bool `json:"released,omitempty"`
}

// Observer measures how long a row has been seen unchanged.
type Observer struct {
	version uint64
	since   time.Time
	seen    bool
}

// Observe notes a version of the row that was received at a time. The time of receipt
// counts, not that of sending: the row's writer may have written in between.
func (o *Observer) Observe(version uint64, receivedAt time.Time) {
	if !o.seen || o.version != version {
		o.version, o.since, o.seen = version, receivedAt, true
	}
}

// MayAcquire reports whether self may write the row that follows row, conditional on
// the version last seen. A nil row is absent. A process may always replace its own
// row: it must not act on the earlier lease any more.
func (o *Observer) MayAcquire(row *Row, self string, now time.Time, p Params) bool {
	if row == nil || row.Released || row.Holder == self {
		return true
	}
	return o.seen && now.Sub(o.since) >= p.Duration+p.Drift
}

// NextRow returns the row of a new holder.
func NextRow(row *Row, holder, attemptID string) Row {
	next := Row{Holder: holder, FencingToken: 1, AttemptID: attemptID}
	if row != nil {
		next.FencingToken = row.FencingToken + 1
	}
	return next
}

// Held is a lease as its holder knows it.
type Held struct {
	Row     Row
	Version uint64
	// ActFrom is the time from which the holder may act.
	ActFrom time.Time
	// ExpiresAt is the end of the lease.
	ExpiresAt time.Time
}

// Acquired returns the lease of a confirmed write of next over previous, which was
// sent at sentAt.
func Acquired(previous *Row, next Row, version uint64, sentAt time.Time, p Params) Held {
	held := Held{Row: next, Version: version, ActFrom: sentAt, ExpiresAt: sentAt.Add(p.Duration)}
	if previous != nil && !previous.Released && p.Settle > 0 {
		held.ActFrom = sentAt.Add(p.Settle + p.Drift)
	}
	return held
}

// RenewalRow returns the row that extends the lease.
func (h Held) RenewalRow(attemptID string) Row {
	row := h.Row
	row.AttemptID = attemptID
	return row
}

// Renewed returns the lease after a confirmed renewal that was sent at sentAt.
func (h Held) Renewed(row Row, version uint64, sentAt time.Time, p Params) Held {
	h.Row, h.Version, h.ExpiresAt = row, version, sentAt.Add(p.Duration)
	return h
}

// ReleaseRow returns the row that ends the lease. It must be written only if every
// action under the lease was answered.
func (h Held) ReleaseRow(attemptID string) Row {
	row := h.RenewalRow(attemptID)
	row.Released = true
	return row
}

// MayAct reports whether an action that takes at most need may start.
func (h Held) MayAct(now time.Time, need time.Duration) bool {
	return !now.Before(h.ActFrom) && !now.Add(need).After(h.ExpiresAt)
}
