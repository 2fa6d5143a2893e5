package limit

import "time"

// Role describes what this host does for one account under a revision.
type Role struct {
	Revision uint64
	Limits   Limits
	// Rank is 0 for the owner, 1 to HomeCount-1 for the other homes and negative for all
	// other hosts.
	Rank      int
	HomeCount int
	// Self is this host, and HomeIDs the homes, the owner first.
	Self    HomeID
	HomeIDs []HomeID
	// MembersContinuous is true if the host has received every member list between the
	// previously applied revision and this one. Otherwise another host may have been a
	// home in between.
	MembersContinuous bool
	// NewAccount is true if the account was absent under the same member list, so that
	// no other host can have been its home.
	NewAccount bool
	// FirstMembers is true if no earlier revision listed any member, so that no host has
	// been a home of any account.
	FirstMembers bool
}

// Account is the state of one account on one host.
type Account struct {
	timing Timing
	role   Role
	pool   *Pool // nil unless the host is a home
	holder *Holder

	// settledAt is the time from which no host holds more than its share of the
	// assignment that this host applied with settledRevision.
	settledAt       time.Time
	settledRevision uint64
	// untrackedGrantsExpireAt is when the grants of a pool that the host no longer has
	// are expired: the pool of a deleted account, or one dropped because a member list
	// was skipped.
	untrackedGrantsExpireAt time.Time
	handover                *handover // nil unless the host gains a share
	releases                []release
	collection              returnCollection
}

// NewAccount returns the state of an account without a role.
func NewAccount(timing Timing) *Account {
	return &Account{timing: timing, role: Role{Rank: -1}, holder: NewHolder(timing)}
}

// Apply sets the role of the host under a new revision, which must not be older than the
// current one. A host that becomes a home or gains a share can use it once the previous
// home can no longer spend it, or earlier after a handover.
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

// Pool returns the pool of the host, or nil if the host is not a home.
func (a *Account) Pool() *Pool { return a.pool }

// Holder returns the grants of the host.
func (a *Account) Holder() *Holder { return a.holder }

// part holds the tokens of a reservation that come from one grant or from the pool.
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

// Reserve takes tokens from grants first, since they expire, and then from the pool. It
// takes all tokens or none. The configuration of the host must be fresh at now.
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

// RecordUse adds a request, admitted or not, to the estimate of recent use.
func (a *Account) RecordUse(now time.Time, tokens int64) { a.holder.recordUse(now, tokens) }

// Settle credits the tokens that the request did not use. A part from a pool that no
// longer exists is lost.
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
