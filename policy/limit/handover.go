package limit

import (
	"math"
	"slices"
	"time"
)

// HomeID names one incarnation of a host.
type HomeID struct {
	HostID      string
	Incarnation string
}

// shareOf returns the share of a host among the homes, the owner first.
func shareOf(homes []HomeID, id HomeID) float64 {
	return Share(slices.Index(homes, id), len(homes))
}

// shrinkingHomes returns the earlier homes whose share becomes smaller, those that
// are no longer homes included.
func shrinkingHomes(before, after []HomeID) []HomeID {
	var shrinking []HomeID
	for _, h := range before {
		if shareOf(after, h) < shareOf(before, h) {
			shrinking = append(shrinking, h)
		}
	}
	return shrinking
}

// receiverOf returns the home that gains the most; the first one of equals. It is
// the only one that gets what the shrinking homes release, so that two hosts never
// hold the same tokens.
func receiverOf(before, after []HomeID) HomeID {
	var receiver HomeID
	var most float64
	for _, h := range after {
		if gain := shareOf(after, h) - shareOf(before, h); gain > most {
			receiver, most = h, gain
		}
	}
	return receiver
}

// Confirmation is the answer of a shrinking home that has applied a revision: from
// then on it holds no more than its new share.
type Confirmation struct {
	// Settled says that no host holds more than its share of the member list before
	// the revision.
	Settled bool
	// Level and Outstanding are the tokens that the home released: available ones, and
	// granted ones that may be spent for as long as Lapse. They are zero for all hosts
	// but the receiver.
	Level       float64
	Outstanding float64
	Lapse       time.Duration
}

// release is what a home gave up under a revision.
type release struct {
	revision uint64
	receiver HomeID
	// gaining are the homes that have not asked yet.
	gaining []HomeID
	// settledAt is when the preceding assignment is settled.
	settledAt   time.Time
	level       float64
	outstanding float64
	lapsesAt    time.Time
	keepUntil   time.Time
}

// handover is the wait of a home that gains a share under a revision.
type handover struct {
	revision uint64
	receiver bool
	// settledAt is when the preceding assignment is settled.
	settledAt time.Time
	shrinking []HomeID
	awaited   []HomeID // those of shrinking that have not confirmed
	level     float64
	grants    []*issuedGrant // the outstanding tokens of each confirmation
	lapsesAt  time.Time      // of all grants of the shrinking homes
	endsAt    time.Time      // the end of the ordinary wait
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// gainingHomes returns the homes whose share becomes larger.
func gainingHomes(before, after []HomeID) []HomeID { return shrinkingHomes(after, before) }

// startHandover records what the host releases or awaits under the role. It runs
// before the pool takes the new share.
func (a *Account) startHandover(now time.Time, role Role) {
	before, after := a.role.Assigned, role.Assigned
	previousSettledAt := a.settledAt
	if !role.Continuous || a.grantsKnownAt.IsZero() {
		a.grantsKnownAt = now.Add(a.terms.GrantHold())
	}
	if role.Continuous && slices.Equal(before, after) {
		return
	}
	a.settledAt, a.settledRevision = now.Add(a.terms.TakeoverWait()), role.Revision
	if role.FirstMembers && role.Continuous {
		a.settledAt = now
	}
	old, share := shareOf(before, role.Self), shareOf(after, role.Self)
	if !role.Continuous || old != share {
		a.handover = nil
	}
	if !role.Continuous || len(before) == 0 || len(after) == 0 {
		return
	}
	switch {
	case share < old && a.pool != nil && !now.Before(a.grantsKnownAt):
		r := release{
			revision: role.Revision, receiver: receiverOf(before, after), gaining: gainingHomes(before, after),
			settledAt: previousSettledAt, keepUntil: now.Add(a.terms.TakeoverWait()),
		}
		r.level, r.outstanding, r.lapsesAt = a.pool.release(now, role.Limits, share)
		a.releases = append(a.currentReleases(now), r)
	case share > old:
		a.handover = &handover{
			revision: role.Revision, receiver: receiverOf(before, after) == role.Self,
			settledAt: previousSettledAt, shrinking: shrinkingHomes(before, after),
			awaited: shrinkingHomes(before, after),
			endsAt:  now.Add(a.terms.TakeoverWait()),
		}
	}
}

// currentReleases drops the releases whose receivers have passed the ordinary wait.
func (a *Account) currentReleases(now time.Time) []release {
	a.releases = slices.DeleteFunc(a.releases, func(r release) bool { return !now.Before(r.keepUntil) })
	return a.releases
}

// Confirm answers a home that gains a share under the revision. It reports false if
// the host has not applied the revision right after the member list before it, or no
// longer knows what it released.
func (a *Account) Confirm(now time.Time, revision uint64, to HomeID) (Confirmation, bool) {
	releases := a.currentReleases(now)
	i := slices.IndexFunc(releases, func(r release) bool { return r.revision == revision })
	if i < 0 {
		return Confirmation{}, false
	}
	r := &releases[i]
	r.gaining = slices.DeleteFunc(r.gaining, func(id HomeID) bool { return id == to })
	c := Confirmation{Settled: !now.Before(r.settledAt), Lapse: max(0, r.lapsesAt.Sub(now))}
	if to == r.receiver {
		c.Level = r.level
		if c.Lapse > 0 {
			c.Outstanding = r.outstanding
		}
	}
	return c, true
}

// Unconfirmed reports whether a home that gains from this host has not asked for its
// confirmation yet.
func (a *Account) Unconfirmed(now time.Time) bool {
	return slices.ContainsFunc(a.currentReleases(now), func(r release) bool { return len(r.gaining) > 0 })
}

// Awaiting returns the revision of the handover under way and the homes to ask, and
// false if there is none. These are the homes that have not confirmed, or all if none
// has said yet that the member list before the revision is settled.
func (a *Account) Awaiting(now time.Time) (revision uint64, homes []HomeID, ok bool) {
	a.finishHandover(now)
	if a.handover == nil {
		return 0, nil, false
	}
	if len(a.handover.awaited) == 0 {
		return a.handover.revision, a.handover.shrinking, true
	}
	return a.handover.revision, a.handover.awaited, true
}

// Confirmed takes the confirmation of a home. What it released counts once, however
// often it is repeated.
func (a *Account) Confirmed(now time.Time, revision uint64, from HomeID, c Confirmation) {
	h := a.handover
	if h == nil || h.revision != revision || !slices.Contains(h.shrinking, from) {
		return
	}
	if c.Settled {
		h.settledAt = earlier(h.settledAt, now)
	}
	if slices.Contains(h.awaited, from) {
		h.awaited = slices.DeleteFunc(h.awaited, func(id HomeID) bool { return id == from })
		h.add(now, c)
	}
	a.finishHandover(now)
}

// add counts what a home released.
func (h *handover) add(now time.Time, c Confirmation) {
	h.level += max(0, c.Level)
	lapsesAt := now.Add(c.Lapse)
	if c.Lapse > 0 && lapsesAt.After(h.lapsesAt) {
		h.lapsesAt = lapsesAt
	}
	if c.Outstanding > 0 {
		h.grants = append(h.grants, &issuedGrant{tokens: int64(math.Ceil(c.Outstanding)), lapsesAt: lapsesAt})
	}
}

// finishHandover raises the share once all shrinking homes have confirmed and no
// host acts on a member list before theirs. The receiver raises it at once, since it
// counts the outstanding grants itself; others wait until these have lapsed.
func (a *Account) finishHandover(now time.Time) {
	h := a.handover
	switch {
	case h == nil:
		return
	case !now.Before(h.endsAt):
		a.handover = nil
		return
	case len(h.awaited) > 0 || now.Before(h.settledAt):
		return
	}
	a.handover = nil
	at := now
	if h.receiver {
		before := a.pool.capacity(now)
		a.pool.raiseAtOnce(now, now)
		a.pool.receive(now, a.pool.capacity(now)-before, h.level, h.grants)
		if a.pool.bucket.held > a.pool.Burst() && h.lapsesAt.After(now) {
			at = h.lapsesAt
		}
	} else {
		if h.lapsesAt.After(now) {
			at = h.lapsesAt
		}
		a.pool.raiseAtOnce(now, at)
	}
	if h.revision == a.settledRevision {
		a.settledAt = earlier(a.settledAt, at)
	}
}

// release takes out what a smaller share cannot hold: granted tokens first, those
// that lapse first, and then available ones. Reports about a grant that was taken out
// give back only the part that stayed.
func (p *Pool) release(now time.Time, limits Limits, share float64) (level, outstanding float64, lapsesAt time.Time) {
	p.advance(now)
	b := &p.bucket
	b.history.record(b.headroom())
	capacity := limits.scaled(min(share, p.share)).Burst
	for _, g := range p.outstanding {
		if b.held <= capacity {
			break
		}
		if g.lapsed {
			continue
		}
		n := min(g.tokens, int64(math.Ceil(b.held-capacity)))
		g.tokens -= n
		b.held -= float64(n)
		outstanding += float64(n)
		lapsesAt = g.lapsesAt
	}
	if rest := max(0, capacity-b.held); b.level > rest {
		level = b.level - rest
		b.level = rest
	}
	return level, outstanding, lapsesAt
}

// raiseAtOnce moves the start and a due raise of the share forward to at.
func (p *Pool) raiseAtOnce(now, at time.Time) {
	p.advance(now)
	if at.Before(p.start) {
		p.start, p.bucket.updated = at, at
	}
	if p.nextShare > p.share && at.Before(p.raiseAt) {
		p.raiseAt = at
	}
	p.advance(now)
}

// capacity returns the burst in force, zero before the start.
func (p *Pool) capacity(now time.Time) float64 {
	p.advance(now)
	if !p.Started(now) {
		return 0
	}
	return p.Burst()
}

// receive adds what the earlier homes released, but no more than the capacity that
// the raise gained: the rest of it belongs to other homes, which may have filled
// their parts already.
func (p *Pool) receive(now time.Time, gained, level float64, grants []*issuedGrant) {
	b := &p.bucket
	for _, g := range grants {
		i, _ := slices.BinarySearchFunc(p.outstanding, g, func(x, y *issuedGrant) int {
			return x.lapsesAt.Compare(y.lapsesAt)
		})
		p.outstanding = slices.Insert(p.outstanding, i, g)
		b.held += float64(g.tokens)
		gained -= float64(g.tokens)
	}
	b.level = min(b.level+min(level, max(0, gained)), b.limits.Burst-b.held)
	p.advance(now)
}
