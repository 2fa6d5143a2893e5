// Package limit implements the decisions of distributed rate limiting: token buckets,
// pools that issue short-lived grants, and the grants that a host holds.
//
// Placement assigns each client account to a few hosts, its homes; the first of them is
// the owner. Each home has a Pool with a share of the account's rate and burst. The
// shares add up to one, and the owner's is the largest. The tokens of a Pool are spent
// by its own host or lent to another host as a grant with a short lifetime. The package
// reads no clock: the caller passes monotonic times.
package limit

import "time"

// MaxClockDrift bounds how much faster or slower than true time the monotonic
// clock of a host may run. Kernels limit clock slewing to 500 ppm. Buckets refill
// slower by this fraction, so that a fast clock never exceeds an account's rate.
const MaxClockDrift = 500e-6

// DefaultGrantLifetime is how long a holder may spend a grant.
const DefaultGrantLifetime = time.Second

// minDriftMargin covers the resolution of the clocks.
const minDriftMargin = 10 * time.Millisecond

// The parts of an account's rate and burst: ownerFraction goes to the owner alone,
// evenFraction is split evenly over all homes.
const (
	ownerFraction = 0.8
	evenFraction  = 0.2
)

// Timing holds the durations on which the limit over all hosts depends. They must be
// equal on all hosts.
type Timing struct {
	// FreshnessDeadline is how long a host may act on a replaced revision.
	FreshnessDeadline time.Duration
	// GrantLifetime starts when the holder sends its request.
	GrantLifetime time.Duration
	// DriftMargin is added to each wait for a period that another host measures.
	DriftMargin time.Duration
}

// NewTiming returns the timing for a freshness deadline. The drift margin covers two
// clocks that drift in opposite directions, with a factor of two to spare.
func NewTiming(freshnessDeadline time.Duration) Timing {
	longest := freshnessDeadline + DefaultGrantLifetime
	return Timing{
		FreshnessDeadline: freshnessDeadline,
		GrantLifetime:     DefaultGrantLifetime,
		DriftMargin:       minDriftMargin + time.Duration(4*MaxClockDrift*float64(longest)),
	}
}

// TakeoverWait is the time after which no host acts on an earlier revision and no
// grant issued under it can be spent.
func (t Timing) TakeoverWait() time.Duration {
	return t.FreshnessDeadline + t.GrantLifetime + t.DriftMargin
}

// GrantHoldTime is how long the issuer counts a grant as outstanding.
func (t Timing) GrantHoldTime() time.Duration { return t.GrantLifetime + t.DriftMargin }

// Limits are the rate and burst of an account, in tokens per second and tokens.
type Limits struct {
	Rate  float64
	Burst float64
}

func (l Limits) scaled(share float64) Limits {
	return Limits{Rate: l.Rate * share, Burst: l.Burst * share}
}

// Share is the part of an account's limits that the home with the given rank
// holds. Rank 0 is the owner; a negative rank means that the host is no home.
func Share(rank, homes int) float64 {
	if rank < 0 || homes <= 0 {
		return 0
	}
	floor := evenFraction / float64(homes)
	if rank == 0 {
		return ownerFraction + floor
	}
	return floor
}

// LargestRequest is the size in tokens above which a request can never be
// admitted: the owner's share of the burst.
func LargestRequest(l Limits, homes int) int64 { return int64(l.Burst * Share(0, homes)) }
