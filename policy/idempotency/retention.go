package idempotency

import "time"

// clockTolerance is how far in the future a record's end may lie before it counts
// as written by a host with a wrong clock.
const clockTolerance = 24 * time.Hour

// Retention says what a clean-up does with a row.
type Retention int

// The treatments of a row.
const (
	// Expired: the row may be deleted on the condition that it is unchanged.
	Expired Retention = iota
	// Young: the row ended too recently, and so did all rows written after it.
	Young
	// Kept: the row is not deleted in its present state. A change of state writes the
	// row again, so that a scan from a later version finds it.
	Kept
)

// Retain returns what a clean-up at time now does with a row. Claimed and unknown rows
// are always kept: without them a repeated request could run again. The age counts from
// the end, since an operator may resolve a row long after its claim.
func Retain(row *Row, now time.Time, retention time.Duration) Retention {
	switch row.State {
	case Done, NotRun, Resolved:
	default:
		return Kept
	}
	ended := row.ClaimedAt
	if row.EndedAt.After(ended) {
		ended = row.EndedAt
	}
	switch {
	case now.Sub(ended) > retention:
		return Expired
	case ended.Sub(now) > clockTolerance:
		return Kept
	}
	return Young
}
