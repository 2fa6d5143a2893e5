package limit

import "time"

// maxClosedGrants bounds how many closed grants of a pool can still be refunded. A
// refund of an older one is lost, which is safe.
const maxClosedGrants = 2048

// maxOutstandingGrants bounds the memory of a pool. It covers 350 hosts that
// request grants several times per lifetime.
const maxOutstandingGrants = 4096

// GrantID identifies a grant. Epoch is the revision under which the pool started, so
// that no two pools of an account issue the same id.
type GrantID struct {
	Epoch  uint64
	Number uint64
}

// issuedGrant is the issuer's record of a grant.
type issuedGrant struct {
	number     uint64
	tokens     int64
	returned   int64
	expiresAt  time.Time
	closed     bool // expired, or returned by the holder
	closedMark Mark // of the event that closed the grant
}

// Pool is a home's share of an account. It is empty and does not refill until its
// start time.
type Pool struct {
	timing Timing
	epoch  uint64
	limits Limits
	share  float64
	start  time.Time
	// nextShare replaces share at raiseAt; it equals share if no raise is pending.
	nextShare float64
	raiseAt   time.Time

	bucket Bucket
	issued map[uint64]*issuedGrant
	// outstanding is in order of expiry and still has the grants returned early; closed
	// is in order of closing.
	outstanding []*issuedGrant
	closed      []*issuedGrant
	nextNumber  uint64
}

// NewPool returns a pool that is empty until start and refills from then on.
func NewPool(timing Timing, epoch uint64, limits Limits, share float64, start time.Time) *Pool {
	return &Pool{
		timing: timing, epoch: epoch, limits: limits, share: share, nextShare: share, start: start,
		bucket: *NewBucket(limits.scaled(share), start),
		issued: map[uint64]*issuedGrant{},
	}
}

// NewFullPool returns a pool that is full at once. It is safe only for an account
// that no host can have been a home of before.
func NewFullPool(timing Timing, epoch uint64, limits Limits, share float64, now time.Time) *Pool {
	p := NewPool(timing, epoch, limits, share, now)
	p.bucket.level = p.bucket.limits.Burst
	return p
}

// Epoch returns the revision under which the pool started.
func (p *Pool) Epoch() uint64 { return p.epoch }

// Started reports whether the wait of a new home is over.
func (p *Pool) Started(now time.Time) bool { return !now.Before(p.start) }

// Update applies a new revision. Lower limits or a lower share apply at once, higher
// limits from now on. A higher share waits until no other host can still spend a part of
// it.
func (p *Pool) Update(now time.Time, limits Limits, share float64) {
	p.advance(now)
	p.limits = limits
	switch {
	case share <= p.share:
		p.share, p.nextShare = share, share
	case share != p.nextShare:
		p.nextShare, p.raiseAt = share, now.Add(p.timing.TakeoverWait())
	}
	p.bucket.SetLimits(now, p.limits.scaled(p.share))
}

// advance applies the expiry of grants, a pending raise of the share and refill, in order
// of time.
func (p *Pool) advance(now time.Time) {
	for len(p.outstanding) > 0 && !p.outstanding[0].expiresAt.After(now) {
		g := p.outstanding[0]
		p.outstanding = p.outstanding[1:]
		if g.closed {
			continue
		}
		p.raiseShare(g.expiresAt)
		p.bucket.advance(g.expiresAt)
		p.closeGrant(g)
	}
	p.raiseShare(now)
	p.bucket.advance(now)
}

func (p *Pool) raiseShare(now time.Time) {
	if p.nextShare > p.share && !now.Before(p.raiseAt) {
		p.share = p.nextShare
		p.bucket.SetLimits(p.raiseAt, p.limits.scaled(p.share))
	}
}

// closeGrant counts the tokens of a grant that were not returned as spent.
func (p *Pool) closeGrant(g *issuedGrant) {
	g.closedMark, g.closed = p.bucket.spendHeld(float64(g.tokens-g.returned)), true
	p.closed = append(p.closed, g)
	if len(p.closed) > maxClosedGrants {
		delete(p.issued, p.closed[0].number)
		p.closed = p.closed[1:]
	}
}

// Take spends tokens on the pool's own host.
func (p *Pool) Take(now time.Time, tokens int64) (Mark, bool) {
	p.advance(now)
	return p.bucket.Take(now, float64(tokens))
}

// Refund credits tokens of a Take that were not spent.
func (p *Pool) Refund(now time.Time, mark Mark, tokens int64) {
	p.advance(now)
	p.bucket.Refund(now, mark, float64(tokens))
}

// Issue lends at least need and at most want tokens. Beyond need it lends at most
// half of what is left, so that one holder's prefetch leaves tokens for others.
func (p *Pool) Issue(now time.Time, need, want int64) (id GrantID, tokens int64, ok bool) {
	p.advance(now)
	if len(p.outstanding) >= maxOutstandingGrants {
		return GrantID{}, 0, false
	}
	need = max(0, need)
	spare := p.bucket.level - float64(need)
	if spare < 0 {
		return GrantID{}, 0, false
	}
	tokens = need + max(0, min(want-need, int64(spare/2)))
	if tokens == 0 {
		return GrantID{}, 0, false
	}
	p.bucket.lend(float64(tokens))
	p.nextNumber++
	g := &issuedGrant{number: p.nextNumber, tokens: tokens, expiresAt: now.Add(p.timing.GrantHoldTime())}
	p.issued[g.number] = g
	p.outstanding = append(p.outstanding, g)
	return GrantID{Epoch: p.epoch, Number: g.number}, tokens, true
}

// Return takes back the tokens of a grant that were not spent and counts the rest as
// spent, since the holder spends no more of it. The total counts all tokens returned
// from the grant so far, so that a repeated or late message returns nothing twice.
// Tokens returned to a closed grant are refunded like those of a Take.
func (p *Pool) Return(now time.Time, id GrantID, total int64) {
	p.advance(now)
	g := p.issued[id.Number]
	if id.Epoch != p.epoch || g == nil {
		return
	}
	tokens := max(0, min(total, g.tokens)-g.returned)
	g.returned += tokens
	if g.closed {
		p.bucket.Refund(now, g.closedMark, float64(tokens))
		return
	}
	p.bucket.restore(float64(tokens))
	p.closeGrant(g)
}

// Level returns the available tokens.
func (p *Pool) Level(now time.Time) float64 {
	p.advance(now)
	return p.bucket.level
}

// Outstanding returns the tokens lent and neither returned nor expired.
func (p *Pool) Outstanding(now time.Time) float64 {
	p.advance(now)
	return p.bucket.held
}

// Burst returns the capacity in force.
func (p *Pool) Burst() float64 { return p.bucket.limits.Burst }

// Rate returns the refill rate in force, in tokens per second.
func (p *Pool) Rate() float64 { return p.bucket.limits.Rate * (1 - MaxClockDrift) }

// TimeUntil returns how long refill takes to reach the tokens, and false if they exceed
// the burst of the pool. Lent tokens may make it longer.
func (p *Pool) TimeUntil(now time.Time, tokens int64) (time.Duration, bool) {
	p.advance(now)
	return p.bucket.timeUntil(now, float64(tokens))
}
