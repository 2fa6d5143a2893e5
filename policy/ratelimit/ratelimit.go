// Package ratelimit limits each client account to its rate and burst across all hosts.
// Every host keeps a token bucket for the whole fleet: its own admissions are deducted
// at once, those of other hosts when their reports arrive. An unresponsive host is
// assumed to use an equal share of the rate, so that no account exceeds its rate during
// a network partition.
package ratelimit

import "time"

// debtWindow is the time over which use counts against limits.
const debtWindow = 8 * time.Second

// Limits are an account's limits. A Rate of zero means no limit.
type Limits struct {
	Rate, Burst float64
	// Slack is the part of the tolerated excess that one account may use before the
	// reports of other hosts arrive.
	Slack float64
}

// Bucket is one host's copy of the fleet-wide bucket of an account. It is not safe for
// concurrent use.
type Bucket struct {
	limits   Limits
	level    float64
	updated  time.Time
	admitted float64
}

// NewBucket returns a full bucket.
func NewBucket(limits Limits, now time.Time) *Bucket {
	return &Bucket{limits: limits, level: limits.Burst, updated: now}
}

// SetLimits changes the limits from now on.
func (b *Bucket) SetLimits(limits Limits, now time.Time) {
	if limits == b.limits {
		return
	}
	b.refill(now, 0)
	if b.limits.Rate == 0 {
		b.level = limits.Burst
	}
	b.limits = limits
	b.level = min(b.level, limits.Burst)
}

// refill adds tokens at the rate, less the share that unresponsive hosts are assumed to
// use.
func (b *Bucket) refill(now time.Time, unresponsiveShare float64) {
	elapsed := now.Sub(b.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	b.updated = now
	b.level = min(b.limits.Burst, b.level+elapsed*b.limits.Rate*(1-unresponsiveShare))
}

// Take admits a request of the given cost, or returns the time until the bucket has
// refilled enough. unresponsiveShare is the share of hosts that are unresponsive, in
// [0, 1).
func (b *Bucket) Take(now time.Time, cost, unresponsiveShare float64) (time.Duration, bool) {
	if b.limits.Rate <= 0 {
		b.admitted += cost
		return 0, true
	}
	b.refill(now, unresponsiveShare)
	if missing := cost - b.level - b.limits.Slack; missing > 0 {
		return time.Duration(missing / (b.limits.Rate * (1 - unresponsiveShare)) * float64(time.Second)), false
	}
	b.level -= cost
	b.admitted += cost
	return 0, true
}

// Refund returns the cost of an admitted request that was not executed.
func (b *Bucket) Refund(cost float64) {
	b.admitted -= cost
	b.level = min(b.limits.Burst, b.level+cost)
}

// Level returns the level after the last change. Reports of other hosts can make it
// negative.
func (b *Bucket) Level() float64 { return b.level }

// Admitted returns the total cost that this host has admitted, for its reports.
func (b *Bucket) Admitted() float64 { return b.admitted }

// Charge deducts what other hosts have admitted. over is the time in which they did if that
// began before the bucket was created: it would have refilled meanwhile. A charge leaves no
// debt beyond that of debtWindow, since older use no longer counts against limits.
func (b *Bucket) Charge(amount float64, over time.Duration, now time.Time, unresponsiveShare float64) {
	if b.limits.Rate <= 0 {
		return
	}
	b.refill(now, unresponsiveShare)
	b.level -= max(0, amount-over.Seconds()*b.limits.Rate)
	b.level = max(b.level, -b.limits.Rate*debtWindow.Seconds()-b.limits.Slack)
}
