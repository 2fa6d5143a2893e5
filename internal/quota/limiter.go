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

// noMembersRetryAfter approximates how long a starting fleet takes to list its first
// member.
const noMembersRetryAfter = time.Second

// Options are the settings and dependencies of a FleetLimiter.
type Options struct {
	View     fleet.View
	Caller   wire.Caller
	Registry wire.Registry
	// FreshnessDeadline must be the same on all hosts of the fleet; zero means
	// DefaultFreshnessDeadline.
	FreshnessDeadline time.Duration
	// Clock returns monotonic time; nil means time.Now.
	Clock func() time.Time
	// Logger may be nil.
	Logger hclog.Logger
	// MaxWait bounds how long a reservation waits; zero means DefaultMaxWait and a
	// negative value no wait. See SetMaxWait.
	MaxWait time.Duration
	// OnRefusalWithinRate is called for each refusal that does not show that the account
	// exceeds its rate: no home was reachable, or the homes had just taken over. It must
	// not block; nil is allowed.
	OnRefusalWithinRate func(accountID string)
}

// FleetLimiter is the Limiter of a host. Its memory use grows only with the number of
// configured accounts.
type FleetLimiter struct {
	view    fleet.View
	caller  wire.Caller
	clock   func() time.Time
	log     hclog.Logger
	timing  limit.Timing
	maxWait atomic.Int64

	// mu guards applied and accounts. It is also held while an account's role changes.
	mu       sync.RWMutex
	applied  *config.Index
	accounts map[string]*account

	refusalsWithinRate  atomic.Int64
	onRefusalWithinRate func(accountID string)
	prefetching         sync.Map // inner address to struct{}: a prefetch is in progress
}

var _ Limiter = (*FleetLimiter)(nil)

// New returns a limiter and registers its handlers. Without Run, the limiter neither
// prefetches grants nor returns unspent ones in time.
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
		accounts: map[string]*account{}, onRefusalWithinRate: o.OnRefusalWithinRate,
	}
	l.SetMaxWait(o.MaxWait)
	o.Registry.Handle(wire.TypeGrantRequest, l.handleGrantRequest)
	o.Registry.Handle(wire.TypeGrantReturn, l.handleGrantReturn)
	o.Registry.Handle(wire.TypeHandoverRequest, l.handleHandoverRequest)
	l.view.Subscribe(l.applyLatest)
	return l
}

// SetMaxWait sets how long a reservation waits for tokens, for example when the preset
// changes. Zero or less means no wait.
func (l *FleetLimiter) SetMaxWait(d time.Duration) { l.maxWait.Store(int64(max(0, d))) }

// MaxWait returns how long a reservation waits for tokens at most.
func (l *FleetLimiter) MaxWait() time.Duration { return time.Duration(l.maxWait.Load()) }

// RefusalsWithinRate returns the number of refusals that do not show that an account
// exceeds its rate: no home was reachable, or the homes had just taken over.
func (l *FleetLimiter) RefusalsWithinRate() int64 { return l.refusalsWithinRate.Load() }

func (l *FleetLimiter) countRefusalWithinRate(accountID string) {
	l.refusalsWithinRate.Add(1)
	if l.onRefusalWithinRate != nil {
		l.onRefusalWithinRate(accountID)
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
		l.countRefusalWithinRate(accountID)
		return nil, refusal.New(refusal.Overloaded, "no host holds the tokens of client account %q yet", accountID).
			WithRetryAfter(noMembersRetryAfter)
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
			return l.newReservation(a, r), nil
		}
	}
	return l.waitForTokens(ctx, a, now, tokens)
}

// freshAndCurrent reports whether the host is fresh at now and whether the account's role
// is that of the view's revision. The host may spend and grant tokens only if both hold.
// It reads freshness before the revision: freshness under an earlier revision ends no
// later than under a later one, while the reverse order could pair the freshness of a new
// revision with an old role.
func (l *FleetLimiter) freshAndCurrent(a *account, now time.Time) (fresh, current bool) {
	fresh = now.Before(l.view.FreshUntil())
	return fresh, l.view.Index().Document().Revision <= a.state.Role().Revision
}

// lockCurrent returns the account with its lock held and the role of the view's
// revision applied, the current time, and whether the host is fresh at that time.
func (l *FleetLimiter) lockCurrent(accountID string) (a *account, now time.Time, fresh bool, err error) {
	for {
		l.applyLatest()
		l.mu.RLock()
		a = l.accounts[accountID]
		l.mu.RUnlock()
		if a == nil {
			return nil, now, false, refusal.New(refusal.NotFound, "client account %q is not configured", accountID)
		}
		a.mu.Lock()
		now = l.clock()
		fresh, current := l.freshAndCurrent(a, now)
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

// newReservation binds reserved tokens to the account that they are settled with.
func (l *FleetLimiter) newReservation(a *account, r *limit.Reservation) Reservation {
	return &reservation{limiter: l, account: a, state: r}
}

type reservation struct {
	limiter *FleetLimiter
	account *account
	state   *limit.Reservation
}

// Valid implements Reservation. A reservation stays valid for one freshness deadline: the
// host stays fresh for at most that long after the reservation without new evidence.
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
	r.limiter.serveWaiters(a, now)
}

// applyLatest applies the view's revision if it is newer than the applied one.
func (l *FleetLimiter) applyLatest() {
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

// apply sets the role of each account under the revision. l.mu is held.
func (l *FleetLimiter) apply(index *config.Index) {
	next := index.Document()
	change := compareRevisions(l.applied, next)
	members := membersByID(next)
	nodes := placementNodes(next)
	self := l.view.Self()
	accounts := make(map[string]*account, len(next.Accounts))
	for _, c := range next.Accounts {
		a := l.accounts[c.ID]
		role := limit.Role{
			Revision:          next.Revision,
			Limits:            limit.Limits{Rate: float64(c.RateTokensPerSecond), Burst: float64(c.BurstTokens)},
			Rank:              -1,
			Self:              homeID(self),
			MembersContinuous: change.membersContinuous,
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
			a.previousHomes = previous
		}
		l.serveWaiters(a, now)
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

// revisionChange describes how the member list changed between two applied revisions.
type revisionChange struct {
	// membersContinuous is set if there was no other member list between the two; if it is
	// not set, there may have been one.
	membersContinuous bool
	// sameMembers is set if the member list did not change at all.
	sameMembers bool
	// firstMembers is set if the next revision is the first one with members.
	firstMembers bool
}

func compareRevisions(previous *config.Index, next *config.Document) revisionChange {
	if previous == nil {
		return revisionChange{}
	}
	old := previous.Document()
	if next.Revision == old.Revision+1 {
		return revisionChange{
			membersContinuous: true,
			sameMembers:       slices.Equal(old.Members, next.Members),
			firstMembers:      old.MembersRevision == 0 && len(old.Members) == 0,
		}
	}
	unchanged := next.MembersRevision != 0 && next.MembersRevision <= old.Revision
	return revisionChange{membersContinuous: unchanged, sameMembers: unchanged}
}

func membersByID(d *config.Document) map[string]config.Member {
	members := make(map[string]config.Member, len(d.Members))
	for _, m := range d.Members {
		members[m.HostID] = m
	}
	return members
}

func placementNodes(d *config.Document) []placement.Node {
	nodes := make([]placement.Node, len(d.Members))
	for i, m := range d.Members {
		nodes[i] = placement.Node{ID: m.HostID, Zone: m.Zone, Region: m.Region, Weight: m.Weight}
	}
	return nodes
}
