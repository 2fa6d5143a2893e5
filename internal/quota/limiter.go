package quota

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/sequoiaroad/sequoiaroad/internal/fleet"
	"github.com/sequoiaroad/sequoiaroad/internal/refusal"
	"github.com/sequoiaroad/sequoiaroad/internal/wire"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/limit"
	"github.com/sequoiaroad/sequoiaroad/policy/placement"
)

// DefaultMaxWait is how long a reservation waits for tokens by default.
const DefaultMaxWait = 500 * time.Millisecond

// DefaultFreshnessDeadline is the default of the setting --freshness-deadline.
const DefaultFreshnessDeadline = 3 * time.Second

// noHomeRetry is about the time until a starting fleet lists its first member.
const noHomeRetry = time.Second

// Options are the parts and settings of a FleetLimiter.
type Options struct {
	View     fleet.View
	Caller   wire.Caller
	Registry wire.Registry
	// FreshnessDeadline must be that of the whole fleet; zero means
	// DefaultFreshnessDeadline.
	FreshnessDeadline time.Duration
	// Clock returns monotonic time; nil means time.Now.
	Clock func() time.Time
	// Logger may be nil.
	Logger hclog.Logger
	// MaxWait bounds the wait of a reservation; zero means DefaultMaxWait and a
	// negative value no wait. See SetMaxWait.
	MaxWait time.Duration
	// RefusedWithinRate is told of each refusal that does not show that the account
	// exceeds its rate: no home could be asked, or the homes had just taken over. It
	// must not block; nil is allowed.
	RefusedWithinRate func(accountID string)
}

// FleetLimiter is the Limiter of a host. It has an account state for each account
// of the configuration and nothing else that grows.
type FleetLimiter struct {
	view    fleet.View
	caller  wire.Caller
	clock   func() time.Time
	log     hclog.Logger
	timing  limit.Timing
	maxWait atomic.Int64

	// mu guards applied and accounts. Whoever changes an account's role holds it.
	mu       sync.RWMutex
	applied  *config.Index
	accounts map[string]*account

	refusedWithinRate atomic.Int64
	onRefusedInRate   func(accountID string)
	sending           sync.Map // inner address to struct{}: a prefetch is under way
}

var _ Limiter = (*FleetLimiter)(nil)

// New returns a limiter and registers its handlers. Run must be started for
// prefetched grants and timely returns.
func New(o Options) *FleetLimiter {
	if o.FreshnessDeadline == 0 {
		o.FreshnessDeadline = DefaultFreshnessDeadline
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.MaxWait == 0 {
		o.MaxWait = DefaultMaxWait
	}
	l := &FleetLimiter{
		view: o.View, caller: o.Caller, clock: o.Clock, log: o.Logger,
		timing:   limit.NewTiming(o.FreshnessDeadline),
		accounts: map[string]*account{}, onRefusedInRate: o.RefusedWithinRate,
	}
	l.SetMaxWait(o.MaxWait)
	o.Registry.Handle(wire.TypeGrantRequest, l.handleGrantRequest)
	o.Registry.Handle(wire.TypeGrantReturn, l.handleGrantReturn)
	o.Registry.Handle(wire.TypeHandoverRequest, l.handleHandoverRequest)
	l.view.Subscribe(l.sync)
	return l
}

// SetMaxWait changes how long a reservation waits for tokens, for example with the
// preset. Zero or less means no wait.
func (l *FleetLimiter) SetMaxWait(d time.Duration) { l.maxWait.Store(int64(max(0, d))) }

// MaxWait returns how long a reservation waits for tokens at most.
func (l *FleetLimiter) MaxWait() time.Duration { return time.Duration(l.maxWait.Load()) }

// RefusedWithinRate counts the refusals that do not show that an account exceeds
// its rate: no home could be asked, or the homes had just taken over.
func (l *FleetLimiter) RefusedWithinRate() int64 { return l.refusedWithinRate.Load() }

func (l *FleetLimiter) countWithinRate(accountID string) {
	l.refusedWithinRate.Add(1)
	if l.onRefusedInRate != nil {
		l.onRefusedInRate(accountID)
	}
}

// Reserve implements Limiter.
func (l *FleetLimiter) Reserve(ctx context.Context, accountID string, tokens int64) (Reservation, error) {
	tokens = max(1, tokens)
	a, now, fresh, err := l.lockCurrent(accountID)
	if err != nil {
		return nil, err
	}
	if !fresh {
		a.mu.Unlock()
		return nil, refusal.New(refusal.HostNotFresh, "the host may not act on its configuration")
	}
	role := a.state.Role()
	if role.HomeCount == 0 {
		a.mu.Unlock()
		l.countWithinRate(accountID)
		return nil, refusal.New(refusal.Overloaded, "no host holds the tokens of client account %q yet", accountID).
			WithRetryAfter(noHomeRetry)
	}
	if largest := limit.LargestRequest(role.Limits, role.HomeCount); tokens > largest {
		a.mu.Unlock()
		return nil, refusal.New(refusal.RequestExceedsBurst,
			"the request needs %d tokens; the account's burst admits %d at most", tokens, largest)
	}
	a.state.RecordUse(now, tokens)
	if len(a.waiters) == 0 {
		if r, ok := a.state.Reserve(now, tokens); ok {
			a.reserved.Add(tokens)
			a.mu.Unlock()
			return l.reservation(a, r), nil
		}
	}
	return l.wait(ctx, a, now, tokens)
}

// mayAct reports whether the host may spend and grant the account's tokens at now
// under the role it has. Freshness is read before the revision: evidence for an
// earlier revision ends no later than the host's permission under a later one, while
// the reverse order could pair new evidence with an old role.
func (l *FleetLimiter) mayAct(a *account, now time.Time) (fresh, current bool) {
	fresh = now.Before(l.view.FreshUntil())
	return fresh, l.view.Index().Document().Revision <= a.state.Role().Revision
}

// lockCurrent returns the account with its lock held and the role of the view's
// revision applied, the time, and whether the host is fresh at it.
func (l *FleetLimiter) lockCurrent(accountID string) (a *account, now time.Time, fresh bool, err error) {
	for {
		l.sync()
		l.mu.RLock()
		a = l.accounts[accountID]
		l.mu.RUnlock()
		if a == nil {
			return nil, now, false, refusal.New(refusal.NotFound, "client account %q is not configured", accountID)
		}
		a.mu.Lock()
		now = l.clock()
		fresh, current := l.mayAct(a, now)
		if current {
			return a, now, fresh, nil
		}
		removed := a.removed
		a.mu.Unlock()
		if removed {
			return nil, now, false, refusal.New(refusal.NotFound, "client account %q was removed", accountID)
		}
	}
}

// reservation ties reserved tokens to the account they came from.
func (l *FleetLimiter) reservation(a *account, r *limit.Reservation) Reservation {
	return &reservation{limiter: l, account: a, state: r}
}

type reservation struct {
	limiter *FleetLimiter
	account *account
	state   *limit.Reservation
}

// Valid implements Reservation. A request may be dispatched for as long as the
// host could act without new evidence after the reservation.
func (r *reservation) Valid() bool {
	return r.limiter.clock().Sub(r.state.At) < r.limiter.timing.FreshnessDeadline
}

// Settle implements Reservation.
func (r *reservation) Settle(usedTokens int64) {
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	now := r.limiter.clock()
	a.state.Settle(now, r.state, usedTokens)
	r.limiter.serve(a, now)
}

// sync applies the view's revision if it is newer than the applied one.
func (l *FleetLimiter) sync() {
	index := l.view.Index()
	l.mu.RLock()
	current := index == nil || index == l.applied
	l.mu.RUnlock()
	if current {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	index = l.view.Index()
	if l.applied != nil && index.Document().Revision <= l.applied.Document().Revision {
		return
	}
	l.apply(index)
}

// apply gives each account its role under the revision. l.mu is held.
func (l *FleetLimiter) apply(index *config.Index) {
	next := index.Document()
	change := compare(l.applied, next)
	members := membersByID(next)
	nodes := nodesOf(next)
	self := l.view.Self()
	accounts := make(map[string]*account, len(next.Accounts))
	for _, c := range next.Accounts {
		a := l.accounts[c.ID]
		role := limit.Role{
			Revision:          next.Revision,
			Limits:            limit.Limits{Rate: float64(c.RateTokensPerSecond), Burst: float64(c.BurstTokens)},
			Rank:              -1,
			Self:              homeID(self),
			MembersContinuous: change.continuous,
			NewAccount:        a == nil && change.sameMembers,
			FirstMembers:      change.firstMembers,
		}
		if a == nil {
			a = &account{id: c.ID, state: limit.NewAccount(l.timing)}
		}
		homes := make([]config.Member, 0, placement.HomesPerAccount)
		for rank, n := range placement.Homes(c.ID, nodes) {
			m := members[n.ID]
			homes = append(homes, m)
			role.HomeIDs = append(role.HomeIDs, homeID(m))
			if m.HostID == self.HostID && m.Incarnation == self.Incarnation {
				role.Rank = rank
			}
		}
		role.HomeCount = len(homes)
		a.mu.Lock()
		now := l.clock()
		previous := a.homes
		a.homes = homes
		a.state.Apply(now, role)
		if revision, _, ok := a.state.AwaitedHomes(now); ok && revision == role.Revision {
			a.previous = previous
		}
		l.serve(a, now)
		a.mu.Unlock()
		accounts[c.ID] = a
	}
	for id, a := range l.accounts {
		if accounts[id] == nil {
			a.mu.Lock()
			l.refuseAll(a)
			a.mu.Unlock()
		}
	}
	l.accounts, l.applied = accounts, index
	l.startHandovers(next.Revision)
}

// revisionChange is what the step between two applied revisions is known to keep.
type revisionChange struct {
	// continuous says that no member list between the two is unknown.
	continuous bool
	// sameMembers says that the member list did not change at all.
	sameMembers bool
	// firstMembers says that the next revision lists the first members ever.
	firstMembers bool
}

func compare(previous *config.Index, next *config.Document) revisionChange {
	if previous == nil {
		return revisionChange{}
	}
	old := previous.Document()
	if next.Revision == old.Revision+1 {
		return revisionChange{
			continuous:   true,
			sameMembers:  slices.Equal(old.Members, next.Members),
			firstMembers: old.MembersRevision == 0 && len(old.Members) == 0,
		}
	}
	unchanged := next.MembersRevision != 0 && next.MembersRevision <= old.Revision
	return revisionChange{continuous: unchanged, sameMembers: unchanged}
}

func membersByID(d *config.Document) map[string]config.Member {
	members := make(map[string]config.Member, len(d.Members))
	for _, m := range d.Members {
		members[m.HostID] = m
	}
	return members
}

func nodesOf(d *config.Document) []placement.Node {
	nodes := make([]placement.Node, len(d.Members))
	for i, m := range d.Members {
		nodes[i] = placement.Node{ID: m.HostID, Zone: m.Zone, Region: m.Region, Weight: m.Weight}
	}
	return nodes
}
