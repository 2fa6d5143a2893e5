package idempotency

import "time"

// clockTolerance is how far in the future a record's end may lie before it counts
// as written by a host with a wrong clock.
const clockTolerance = 24 * time.Hour

// RetentionClass determines what a cleanup does with a row.
type RetentionClass int

// The retention classes of a row.
const (
	// Expired rows may be deleted on the condition that they are unchanged.
	Expired RetentionClass = iota
	// TooRecent rows ended too recently, and so did all rows written after them.
	TooRecent
	// Retained rows are not deleted in their present state. A change of state writes the
	// row again, so that a scan from a later version finds it.
	Retained
)

// ClassifyRetention returns the class of a row for a cleanup at time now. Claimed and
// unknown rows are always retained: without them a repeated request could run again. The
// age counts from the end, since an operator may resolve a row long after its claim.
func ClassifyRetention(row *Row, now time.Time, retention time.Duration) RetentionClass {
	switch row.State {
	case Done, NotExecuted, Resolved:
	default:
		return Retained
	}
	ended := row.ClaimedAt
	if row.EndedAt.After(ended) {
		ended = row.EndedAt
	}
	switch {
	case now.Sub(ended) > retention:
		return Expired
	case ended.Sub(now) > clockTolerance:
		return Retained
	}
	return TooRecent
}
