package limit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// HomeID identifies one incarnation of a host, that is, one run of its process.
type HomeID struct {
	HostID      string
	Incarnation string
}

// shareOf returns the share of a host among the homes, the owner first.
func shareOf(homes []HomeID, id HomeID) float64 {
	return Share(slices.Index(homes, id), len(homes))
}

// shrinkingHomes returns the earlier homes whose share becomes smaller, including those
// that are no longer homes.
func shrinkingHomes(before, after []HomeID) []HomeID {
	var shrinking []HomeID
	for _, h := range before {
		if shareOf(after, h) < shareOf(before, h) {
			shrinking = append(shrinking, h)
		}
	}
	return shrinking
}

// receiverOf returns the home that gains the most, or the first of several with the same
// gain. Only this home gets what the shrinking homes release, so that two hosts never
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

// Confirmation is the reply of a shrinking home that has applied a revision: from then
// on it holds no more than its new share.
type Confirmation struct {
	// Settled is true if no host holds more than its share under the member list before
	// the revision.
	Settled bool
	// GrantsExpireIn is the time until no released grant can be spent.
	GrantsExpireIn time.Duration
	// Level and Grants are the available and the granted tokens that the home released.
	// They are zero in the replies to all hosts but the receiver.
	Level  float64
	Grants []ReleasedGrant
}

// ReleasedGrant is the part of an outstanding grant that a home released.
type ReleasedGrant struct {
	ID     GrantID
	Tokens int64
	// ExpiresIn is how long the holder may still spend the grant.
	ExpiresIn time.Duration
	// Closed is true if the holder spends no more of the grant. Returned counts the
	// tokens of this part that it has returned so far.
	Closed   bool
	Returned int64

	retained  int64 // tokens of the grant that the home still counts itself
	expiresAt time.Time
}

// recordReturn records the total that the holder has returned. The tokens that the home
// retained are counted first.
func (g *ReleasedGrant) recordReturn(total int64) {
	g.Closed = true
	g.Returned = max(g.Returned, min(total-g.retained, g.Tokens))
}

// release records the tokens that a home released under a revision.
type release struct {
	revision uint64
	receiver HomeID
	// gaining lists the gaining homes that have not requested a confirmation yet.
	gaining []HomeID
	// settledAt is when the preceding assignment is settled.
	settledAt      time.Time
	level          float64
	grants         map[GrantID]*ReleasedGrant
	grantsExpireAt time.Time
	keepUntil      time.Time
}

// handover is the state of a home that waits for a share that it gains under a revision.
type handover struct {
	revision   uint64
	isReceiver bool
	// gain is the capacity that the host gains under the limits of the revision. A later
	// revision may allow more, but the account had no more tokens before it.
	gain float64
	// settledAt is when the preceding assignment is settled.
	settledAt      time.Time
	shrinking      []HomeID
	awaited        []HomeID // those of shrinking that have not confirmed
	level          float64
	grants         []receivedGrant
	grantsExpireAt time.Time // of all grants that the shrinking homes released
	endsAt         time.Time // when TakeoverWait is over
}

// grantKey identifies a released grant by its issuer and id.
type grantKey struct {
	issuer HomeID
	id     GrantID
}

// receivedGrant is a released grant that the receiver counts as outstanding.
type receivedGrant struct {
	key grantKey
	ReleasedGrant
}

// returnCollection holds the grants that the host took over in a handover, with their
// ids in its own pool, and the homes that may still receive returns of them.
type returnCollection struct {
	revision uint64
	homes    []HomeID
	grants   map[grantKey]GrantID
	endsAt   time.Time
}

// collectTime is how long the receiver requests the returns of released grants: until
// the last one expires, and as long again for requests that were running then.
const collectTime = 2 * DefaultGrantLifetime

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// gainingHomes returns the homes whose share becomes larger.
func gainingHomes(before, after []HomeID) []HomeID { return shrinkingHomes(after, before) }

// startHandover records what the host releases or awaits under the role. It must run
// before the pool changes to the new share.
func (a *Account) startHandover(now time.Time, role Role) {
	before, after := a.role.HomeIDs, role.HomeIDs
	previousSettledAt := a.settledAt
	if !role.MembersContinuous || a.untrackedGrantsExpireAt.IsZero() {
		a.untrackedGrantsExpireAt = now.Add(a.timing.GrantHoldTime())
	}
	if role.MembersContinuous && slices.Equal(before, after) {
		return
	}
	a.settledAt, a.settledRevision = now.Add(a.timing.TakeoverWait()), role.Revision
	if role.FirstMembers && role.MembersContinuous {
		a.settledAt = now
	}
	oldShare, newShare := shareOf(before, role.Self), shareOf(after, role.Self)
	if !role.MembersContinuous || oldShare != newShare {
		a.handover = nil
	}
	if !role.MembersContinuous || len(before) == 0 || len(after) == 0 {
		return
	}
	switch {
	case newShare < oldShare && a.pool != nil && !now.Before(a.untrackedGrantsExpireAt):
		r := release{
			revision: role.Revision, receiver: receiverOf(before, after), gaining: gainingHomes(before, after),
			settledAt: previousSettledAt, keepUntil: now.Add(a.timing.TakeoverWait()),
		}
		r.level, r.grants, r.grantsExpireAt = a.pool.release(now, role.Limits, newShare)
		a.releases = append(a.pruneReleases(now), r)
	case newShare > oldShare:
		a.handover = &handover{
			revision: role.Revision, isReceiver: receiverOf(before, after) == role.Self,
			gain:      role.Limits.scaled(newShare - oldShare).Burst,
			settledAt: previousSettledAt, shrinking: shrinkingHomes(before, after),
			awaited: shrinkingHomes(before, after),
			endsAt:  now.Add(a.timing.TakeoverWait()),
		}
	}
}

// pruneReleases drops the releases whose receivers no longer wait and returns the
// others.
func (a *Account) pruneReleases(now time.Time) []release {
	a.releases = slices.DeleteFunc(a.releases, func(r release) bool { return !now.Before(r.keepUntil) })
	return a.releases
}

// Confirm returns the confirmation for a home that gains a share under the revision. It
// returns false if the host did not apply the revision directly after the member list
// that precedes it, or no longer has the record of what it released.
func (a *Account) Confirm(now time.Time, revision uint64, to HomeID) (Confirmation, bool) {
	releases := a.pruneReleases(now)
	i := slices.IndexFunc(releases, func(r release) bool { return r.revision == revision })
	if i < 0 {
		return Confirmation{}, false
	}
	r := &releases[i]
	r.gaining = slices.DeleteFunc(r.gaining, func(id HomeID) bool { return id == to })
	c := Confirmation{Settled: !now.Before(r.settledAt), GrantsExpireIn: max(0, r.grantsExpireAt.Sub(now))}
	if to == r.receiver {
		c.Level = r.level
		for _, g := range r.grants {
			released := *g
			released.ExpiresIn = max(0, g.expiresAt.Sub(now))
			c.Grants = append(c.Grants, released)
		}
		slices.SortFunc(c.Grants, func(x, y ReleasedGrant) int { return cmp.Compare(x.ID.Number, y.ID.Number) })
	}
	return c, true
}

// Return records the report of a holder about a grant that this host issued. See
// Pool.Return.
func (a *Account) Return(now time.Time, id GrantID, total int64) {
	for _, r := range a.pruneReleases(now) {
		if g := r.grants[id]; g != nil {
			g.recordReturn(total)
		}
	}
	if a.pool != nil {
		a.pool.Return(now, id, total)
	}
}

// PendingReturnHomes returns the revision of the last handover to this host and the
// homes that may still receive returns of released grants, and false if there are none.
func (a *Account) PendingReturnHomes(now time.Time) (revision uint64, homes []HomeID, ok bool) {
	if !now.Before(a.collection.endsAt) {
		a.collection = returnCollection{}
	}
	return a.collection.revision, a.collection.homes, len(a.collection.homes) > 0
}

// HasUnconfirmedHomes reports whether a home that gains from this host has not requested
// its confirmation yet.
func (a *Account) HasUnconfirmedHomes(now time.Time) bool {
	return slices.ContainsFunc(a.pruneReleases(now), func(r release) bool { return len(r.gaining) > 0 })
}

// AwaitedHomes returns the revision of the handover under way and the homes whose
// confirmations to request, and false if there is none. These are the homes that have
// not confirmed, or all shrinking homes if only the report is missing that the member
// list before the revision is settled.
func (a *Account) AwaitedHomes(now time.Time) (revision uint64, homes []HomeID, ok bool) {
	a.finishHandover(now)
	if a.handover == nil {
		return 0, nil, false
	}
	if len(a.handover.awaited) == 0 {
		return a.handover.revision, a.handover.shrinking, true
	}
	return a.handover.revision, a.handover.awaited, true
}

// HandleConfirmation applies the confirmation of a home. What the home released counts
// once, however often the confirmation is repeated.
func (a *Account) HandleConfirmation(now time.Time, revision uint64, from HomeID, c Confirmation) {
	a.applyReturns(now, revision, from, c)
	h := a.handover
	if h == nil || h.revision != revision || !slices.Contains(h.shrinking, from) {
		return
	}
	if c.Settled {
		h.settledAt = earlier(h.settledAt, now)
	}
	if slices.Contains(h.awaited, from) {
		h.awaited = slices.DeleteFunc(h.awaited, func(id HomeID) bool { return id == from })
		h.addReleased(now, from, c)
	}
	a.finishHandover(now)
}

// startCollecting applies the returns that came with the confirmations and starts to
// collect further ones. If the grants exceed the gain, they belong in part to other
// homes, or to earlier and higher limits; all of them then count as spent when they
// expire.
func (a *Account) startCollecting(now time.Time, h *handover, ids map[grantKey]GrantID) {
	var granted int64
	for _, g := range h.grants {
		granted += g.Tokens
	}
	if float64(granted) > h.gain {
		return
	}
	a.collection = returnCollection{revision: h.revision, homes: h.shrinking, grants: ids, endsAt: now.Add(collectTime)}
	for _, g := range h.grants {
		if g.Closed {
			a.Return(now, ids[g.key], g.Returned)
		}
	}
}

// applyReturns applies the reported returns of released grants that the host already
// counts.
func (a *Account) applyReturns(now time.Time, revision uint64, from HomeID, c Confirmation) {
	if a.collection.revision != revision {
		return
	}
	for _, g := range c.Grants {
		if id, ok := a.collection.grants[grantKey{from, g.ID}]; ok && g.Closed {
			a.Return(now, id, g.Returned)
		}
	}
}

// addReleased adds what a home released.
func (h *handover) addReleased(now time.Time, from HomeID, c Confirmation) {
	h.level += max(0, c.Level)
	expiresAt := now.Add(c.GrantsExpireIn)
	if c.GrantsExpireIn > 0 && expiresAt.After(h.grantsExpireAt) {
		h.grantsExpireAt = expiresAt
	}
	for _, g := range c.Grants {
		if g.ExpiresIn > 0 && g.Tokens > 0 {
			g.expiresAt = now.Add(g.ExpiresIn)
			h.grants = append(h.grants, receivedGrant{grantKey{from, g.ID}, g})
		}
	}
}

// finishHandover raises the share once all shrinking homes have confirmed and no host
// acts on a member list before theirs. The receiver raises it at once, since it counts
// the outstanding grants itself; the others wait until these have expired.
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
	if h.isReceiver {
		// An expired grant counts as spent: other homes may have raised their shares
		// since.
		h.grants = slices.DeleteFunc(h.grants, func(g receivedGrant) bool { return !g.expiresAt.After(now) })
		before := a.pool.capacity(now)
		a.pool.bringForward(now, now)
		ids := a.pool.receive(now, min(h.gain, a.pool.capacity(now)-before), h.level, h.grants)
		a.startCollecting(now, h, ids)
		if a.pool.bucket.held > a.pool.Burst() && h.grantsExpireAt.After(now) {
			at = h.grantsExpireAt
		}
	} else {
		if h.grantsExpireAt.After(now) {
			at = h.grantsExpireAt
		}
		a.pool.bringForward(now, at)
	}
	if h.revision == a.settledRevision {
		a.settledAt = earlier(a.settledAt, at)
	}
}

// release removes what a smaller share cannot hold: granted tokens first, in order of
// expiry, and then available ones. A grant may be released in part.
func (p *Pool) release(now time.Time, limits Limits, share float64) (level float64, grants map[GrantID]*ReleasedGrant, grantsExpireAt time.Time) {
	grants = map[GrantID]*ReleasedGrant{}
	p.advance(now)
	b := &p.bucket
	b.history.record(b.headroom())
	capacity := limits.scaled(min(share, p.share)).Burst
	for _, g := range p.outstanding {
		if b.held <= capacity {
			break
		}
		if g.closed {
			continue
		}
		n := min(g.tokens, int64(math.Ceil(b.held-capacity)))
		g.tokens -= n
		b.held -= float64(n)
		grantsExpireAt = g.expiresAt
		id := GrantID{Epoch: p.epoch, Number: g.number}
		grants[id] = &ReleasedGrant{ID: id, Tokens: n, retained: g.tokens, expiresAt: g.expiresAt}
	}
	if rest := max(0, capacity-b.held); b.level > rest {
		level = b.level - rest
		b.level = rest
	}
	return level, grants, grantsExpireAt
}

// bringForward moves the start and a pending raise of the share to at if they are later.
func (p *Pool) bringForward(now, at time.Time) {
	p.advance(now)
	if at.Before(p.start) {
		p.start, p.bucket.updated = at, at
	}
	if p.nextShare > p.share && at.Before(p.raiseAt) {
		p.raiseAt = at
	}
	p.advance(now)
}

// capacity returns the burst in force, or zero before the start.
func (p *Pool) capacity(now time.Time) float64 {
	p.advance(now)
	if !p.Started(now) {
		return 0
	}
	return p.Burst()
}

// receive adds what the shrinking homes released, but available tokens only up to the
// gained capacity that the grants leave: the rest belongs to other homes, which may have
// filled their shares already. It returns the ids of the grants in this pool.
func (p *Pool) receive(now time.Time, gained, level float64, grants []receivedGrant) map[grantKey]GrantID {
	b := &p.bucket
	ids := map[grantKey]GrantID{}
	for _, released := range grants {
		p.nextNumber++
		ids[released.key] = GrantID{Epoch: p.epoch, Number: p.nextNumber}
		g := &issuedGrant{number: p.nextNumber, tokens: released.Tokens, expiresAt: released.expiresAt}
		p.issued[g.number] = g
		i, _ := slices.BinarySearchFunc(p.outstanding, g, func(x, y *issuedGrant) int {
			return x.expiresAt.Compare(y.expiresAt)
		})
		p.outstanding = slices.Insert(p.outstanding, i, g)
		b.held += float64(g.tokens)
		gained -= float64(g.tokens)
	}
	b.level = min(b.level+min(level, max(0, gained)), b.limits.Burst-b.held)
	p.advance(now)
	return ids
}
