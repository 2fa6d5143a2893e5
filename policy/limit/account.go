package limit

import "time"

// Role is what a revision makes of this host for one account.
type Role struct {
	Revision uint64
	Limits   Limits
	// Rank is 0 for the owner, below Homes for a home and negative otherwise.
	Rank      int
	HomeCount int
	// Self is this host, and Assigned the homes, the owner first.
	Self    HomeID
	HomeIDs []HomeID
	// MembersContinuous says that no member list between the previously applied revision
	// and this one is unknown to the host. Without it another host may have been
	// home in between.
	MembersContinuous bool
	// NewAccount says that the account was absent under the same member list, so
	// that no other host can have been its home.
	NewAccount bool
	// FirstMembers says that no earlier revision listed any member, so that no host
	// has been a home of any account.
	FirstMembers bool
}

// Account is the state of one account on one host.
type Account struct {
	timing Timing
	role   Role
	pool   *Pool // nil if the host is no home
	holder *Holder

	// settledAt is when no host holds more than its share of the assignment that the
	// host applied with settledRevision.
	settledAt       time.Time
	settledRevision uint64
	// untrackedGrantsExpireAt is when the grants of a pool that the host no longer knows have
	// lapsed: that of a deleted account or one dropped over a skipped member list.
	untrackedGrantsExpireAt time.Time
	handover                *handover // nil unless the host gains a share
	releases                []release
	collection              returnCollection
}

// NewAccount returns the state of an account without a role.
func NewAccount(timing Timing) *Account {
	return &Account{timing: timing, role: Role{Rank: -1}, holder: NewHolder(timing)}
}

// Apply gives the host its role under a new revision. The role must not be older
// than the present one. A host that becomes a home or gains a share gets it after the
// time in which the previous home may still spend, or earlier by a handover.
func (a *Account) Apply(now time.Time, role Role) {
	a.finishHandover(now)
	a.startHandover(now, role)
	share := Share(role.Rank, role.HomeCount)
	switch {
	case share == 0:
		a.pool = nil
	case a.pool == nil && role.FirstMembers && role.MembersContinuous:
		a.pool = NewFullPool(a.timing, role.Revision, role.Limits, share, now)
	case a.pool == nil || !role.MembersContinuous:
		// An account deleted and created again may have grants outstanding.
		wait := a.timing.TakeoverWait()
		if role.NewAccount && role.MembersContinuous {
			wait = a.timing.GrantHoldTime()
		}
		a.pool = NewPool(a.timing, role.Revision, role.Limits, share, now.Add(wait))
	default:
		a.pool.Update(now, role.Limits, share)
	}
	a.role = role
}

// Role returns the role in force.
func (a *Account) Role() Role { return a.role }

// Pool returns the pool of a home, or nil.
func (a *Account) Pool() *Pool { return a.pool }

// Holder returns the grants of the host.
func (a *Account) Holder() *Holder { return a.holder }

// part is the part of a reservation from one source.
type part struct {
	grant  *Grant // nil for a part from the pool
	pool   *Pool
	mark   Mark
	tokens int64
}

// Reservation records where the tokens of a request came from.
type Reservation struct {
	At     time.Time
	Tokens int64
	parts  []part
}

// Available returns the tokens that a request can reserve now.
func (a *Account) Available(now time.Time) int64 {
	available := a.holder.Free(now)
	if a.pool != nil {
		available += max(0, int64(a.pool.Level(now)))
	}
	return available
}

// Reserve takes tokens from grants first, since they expire, and then from the
// pool. The caller must be fresh at now. It takes all or nothing.
func (a *Account) Reserve(now time.Time, tokens int64) (*Reservation, bool) {
	free := min(tokens, a.holder.Free(now))
	r := &Reservation{At: now, Tokens: tokens}
	if rest := tokens - free; rest > 0 {
		if a.pool == nil {
			return nil, false
		}
		mark, ok := a.pool.Take(now, rest)
		if !ok {
			return nil, false
		}
		r.parts = append(r.parts, part{pool: a.pool, mark: mark, tokens: rest})
	}
	r.parts = a.holder.take(free, r.parts)
	return r, true
}

// RecordUse tells the estimate of use about a request, admitted or not.
func (a *Account) RecordUse(now time.Time, tokens int64) { a.holder.recordUse(now, tokens) }

// Settle gives back the tokens that the request did not use. A part from a pool
// that no longer exists is lost.
func (a *Account) Settle(now time.Time, r *Reservation, used int64) {
	unused := r.Tokens - max(0, used)
	for i := 0; i < len(r.parts) && unused > 0; i++ {
		p := r.parts[i]
		n := min(unused, p.tokens)
		unused -= n
		switch {
		case p.grant != nil:
			a.holder.refund(now, p.grant, n)
		case p.pool == a.pool:
			a.pool.Refund(now, p.mark, n)
		}
	}
	r.parts = nil
}
