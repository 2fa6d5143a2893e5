// Package usage holds each client account to its rate and burst over all hosts. Every
// host runs the bucket of the whole fleet: its own admissions take from it at once,
// those of other hosts when their reports arrive. A host that falls silent is
// presumed to use an equal share, so that a partition lets no account exceed its rate.
package usage

import "time"

// firstReport is the time of use at the full rate that the first report of a process
// counts for at most.
const firstReport = 250 * time.Millisecond

// Limits are an account's limits. A Rate of zero means no limit.
type Limits struct {
	Rate, Burst float64
	// Slack is the part of the tolerated excess that one account may use while
	// reports are under way.
	Slack float64
}

// Bucket is the fleet's bucket of one account as one host knows it. It is not safe
// for concurrent use.
type Bucket struct {
	terms    Limits
	level    float64
	updated  time.Time
	admitted float64
	// reported is the admitted total that each host last reported.
	reported map[string]float64
}

// NewBucket returns a full bucket.
func NewBucket(terms Limits, now time.Time) *Bucket {
	return &Bucket{terms: terms, level: terms.Burst, updated: now, reported: map[string]float64{}}
}

// SetLimits changes the limits from now on.
func (b *Bucket) SetLimits(terms Limits, now time.Time) {
	if terms == b.terms {
		return
	}
	b.refill(now, 0)
	if b.terms.Rate == 0 {
		b.level = terms.Burst
	}
	b.terms = terms
	b.level = min(b.level, terms.Burst)
}

// refill adds what the rate gives, less what silent hosts are presumed to use.
func (b *Bucket) refill(now time.Time, silentShare float64) {
	elapsed := now.Sub(b.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	b.updated = now
	b.level = min(b.terms.Burst, b.level+elapsed*b.terms.Rate*(1-silentShare))
}

// Take admits a request of the cost, or returns how long the refill takes.
// silentShare is the part of all hosts that has fallen silent, in [0, 1).
func (b *Bucket) Take(now time.Time, cost, silentShare float64) (time.Duration, bool) {
	if b.terms.Rate <= 0 {
		b.admitted += cost
		return 0, true
	}
	b.refill(now, silentShare)
	if missing := cost - b.level - b.terms.Slack; missing > 0 {
		return time.Duration(missing / (b.terms.Rate * (1 - silentShare)) * float64(time.Second)), false
	}
	b.level -= cost
	b.admitted += cost
	return 0, true
}

// Refund gives back the cost of an admitted request that did not run.
func (b *Bucket) Refund(cost float64) {
	b.admitted -= cost
	b.level = min(b.terms.Burst, b.level+cost)
}

// Level is what was left at the last change; negative after reports of other hosts.
func (b *Bucket) Level() float64 { return b.level }

// Admitted is the total that this host has admitted, for its reports.
func (b *Bucket) Admitted() float64 { return b.admitted }

// ApplyReport notes the total that another process has admitted since its start. The
// reporter is the process, not the host: a restarted host counts from zero.
func (b *Bucket) ApplyReport(reporter string, total float64, now time.Time, silentShare float64) {
	before, known := b.reported[reporter]
	delta := total - before
	if known && delta <= 0 {
		return
	}
	b.reported[reporter] = total
	if !known {
		// The total may be from long before this bucket began.
		delta = min(delta, firstReport.Seconds()*b.terms.Rate)
	}
	if b.terms.Rate > 0 {
		b.refill(now, silentShare)
		b.level -= delta
	}
}
