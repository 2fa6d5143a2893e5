// Package lease decides who holds a lease that is kept in one row of the table service,
// with a fencing token that increases with each new holder.
//
// Invariant: at most one holder may act at a time. A holder counts the duration of its
// lease from the sending of its last confirmed write, by its own monotonic clock.
// Another process acquires the lease only after it has observed the row unchanged for
// the duration plus the drift margin, by a write that is conditional on the row still
// being unchanged. A lease can't bound a pause between the holder's check and its
// action: targets that check fencing tokens reject such a late order; for all others
// the next holder waits for Params.Settle.
//
// A store that is restored from an older copy loses leases that it has acknowledged, and
// gives versions out again. Each restoration begins a new era. Until the longest lease of
// the earlier era has expired, no process acquires the lease but its holder; fencing tokens
// of a later era are higher than all of earlier ones. A store without eras is in era 0.
package lease

import "time"

// Params are the times that govern a lease.
type Params struct {
	// Duration is the time from the sending of a confirmed write to the expiry of the
	// lease.
	Duration time.Duration
	// Drift is the margin for clocks that run at different rates. It is added to every
	// wait of a new holder.
	Drift time.Duration
	// Settle is how long a new holder waits, in addition to Drift, for the effects of
	// the previous holder's last action. It is zero for targets that check fencing
	// tokens.
	Settle time.Duration
}

// Row is the stored lease.
type Row struct {
	// Holder is a process, not a host: a restarted process is a different holder.
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"number"`
	// AttemptID identifies the write, so that its writer can recognize it when it reads
	// the row back.
	AttemptID string `json:"attempt_id"`
	// Released reports that the holder ended the lease after it had received a response
	// to every action.
	Released bool `json:"released,omitempty"`
	// Era is the era of the store in which the lease was acquired.
	Era uint64 `json:"era,omitempty"`
}

// Observer measures how long a row has been unchanged, and how long the store has been in
// its era.
type Observer struct {
	version  uint64
	since    time.Time
	observed bool
	era      uint64
	eraSince time.Time
}

// ObserveEra records that the store was in an era. An earlier observation of the row then
// counts no more, since the same version may be another write.
func (o *Observer) ObserveEra(era uint64, at time.Time) {
	if era > o.era {
		o.era, o.eraSince, o.observed = era, at, false
	}
}

// Observe records a version of the row and the time of its receipt. The time of sending
// must not be used: the row may have been written between sending and receipt.
func (o *Observer) Observe(version uint64, receivedAt time.Time) {
	if !o.observed || o.version != version {
		o.version, o.since, o.observed = version, receivedAt, true
	}
}

// MayAcquire reports whether self may replace row, conditional on the version last
// observed. A nil row is absent. A process may always replace its own row, because it
// must no longer act on its earlier lease. A row of another era, or an absent one, may
// stand for a lease that the store has lost.
func (o *Observer) MayAcquire(row *Row, self string, now time.Time, p Params) bool {
	wait := p.Duration + p.Drift
	unchanged := o.observed && now.Sub(o.since) >= wait
	switch {
	case row != nil && row.Era == o.era:
		return row.Released || row.Holder == self || unchanged
	case o.era > 0 && now.Sub(o.eraSince) < wait:
		return false
	}
	return row == nil || unchanged
}

// eraShift is the number of bits of a fencing token below the era. Versions stay below
// that for years, and tokens are exact in JSON numbers up to era 2^17.
const eraShift = 36

// firstToken returns the lowest fencing token of a lease that replaces the given version of
// its row. Each version of an era is replaced at most once, so that no token is given out
// twice.
func firstToken(era, version uint64) uint64 {
	if era == 0 {
		return 1
	}
	return era<<eraShift + version + 1
}

// NextRow returns the row that a new holder writes over row, which has the given version in
// the given era; zero if it is absent.
func NextRow(row *Row, holder, attemptID string, era, version uint64) Row {
	next := Row{Holder: holder, FencingToken: firstToken(era, version), AttemptID: attemptID, Era: era}
	if row != nil {
		next.FencingToken = max(next.FencingToken, row.FencingToken+1)
	}
	return next
}

// Held is a lease from the point of view of its holder.
type Held struct {
	Row     Row
	Version uint64
	// ActFrom is the time from which the holder may act.
	ActFrom   time.Time
	ExpiresAt time.Time
}

// Acquired returns the lease after a confirmed write of next over previous that was
// sent at sentAt.
func Acquired(previous *Row, next Row, version uint64, sentAt time.Time, p Params) Held {
	held := Held{Row: next, Version: version, ActFrom: sentAt, ExpiresAt: sentAt.Add(p.Duration)}
	ended := previous == nil && next.Era == 0 || previous != nil && previous.Released && previous.Era == next.Era
	if !ended && p.Settle > 0 {
		held.ActFrom = sentAt.Add(p.Settle + p.Drift)
	}
	return held
}

// MayReacquire reports whether the holder may acquire the lease anew in a later era of the
// store: no other process does before this lease has expired.
func (h Held) MayReacquire(now time.Time) bool { return now.Before(h.ExpiresAt) }

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

// ReleaseRow returns the row that ends the lease. It must be written only after the
// responses to all actions under the lease have arrived.
func (h Held) ReleaseRow(attemptID string) Row {
	row := h.RenewalRow(attemptID)
	row.Released = true
	return row
}

// MayAct reports whether an action that takes at most actionTime may start.
func (h Held) MayAct(now time.Time, actionTime time.Duration) bool {
	return !now.Before(h.ActFrom) && !now.Add(actionTime).After(h.ExpiresAt)
}
