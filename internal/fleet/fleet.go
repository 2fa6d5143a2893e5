package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"

	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/freshness"
	"github.com/sequoiaroad/sequoiaroad/policy/gossip"
)

// Fleet implements View and Proposer.
type Fleet struct {
	options Options
	self    config.Member
	log     hclog.Logger

	// Read on the request path without locks.
	index      atomic.Pointer[config.Index]
	freshUntil atomic.Pointer[time.Time]
	withdrawn  atomic.Pointer[withdrawnSet]
	draining   atomic.Bool

	encoded encodedDocument

	// proposing serializes the proposals of this host.
	proposing chan struct{}
	// changed wakes the notifier, probeNow the prober, polled the upkeep. Each
	// holds at most one token.
	changed  chan struct{}
	probeNow chan struct{}
	polled   chan struct{}

	mu          sync.Mutex
	state       *freshness.State
	peers       map[string]*peer
	gossip      gossipState
	pendingDocs []*config.Document
	withdrawals withdrawalLog
	// older holds incarnations of this host that ended before this process started.
	older       map[string]bool
	subscribers []func()
	random      *rand.Rand
	store       storeView
	// placesDueSince is when this host, a member, first saw that places of the member
	// list are due to change; zero if they are not.
	placesDueSince time.Time
	// hostListAt is when the host list was last read.
	hostListAt time.Time
	snapshots  snapshots
}

// storeView is what the store poller last saw.
type storeView struct {
	// polledAt is when the last poll was sent, readAt when the last that succeeded was.
	polledAt time.Time
	readAt   time.Time
	version  uint64
	revision uint64
}

// New returns a fleet and registers its handlers.
func New(options Options) (*Fleet, error) {
	if err := options.complete(); err != nil {
		return nil, err
	}
	f := &Fleet{
		options:     options,
		self:        options.Self,
		log:         options.Logger.Named("fleet"),
		proposing:   make(chan struct{}, 1),
		changed:     make(chan struct{}, 1),
		probeNow:    make(chan struct{}, 1),
		polled:      make(chan struct{}, 1),
		state:       freshness.New(memberOf(options.Self)),
		peers:       map[string]*peer{},
		gossip:      gossipState{table: gossip.NewTable(options.Self)},
		withdrawals: newWithdrawalLog(),
		older:       map[string]bool{},
		random:      rand.New(rand.NewPCG(options.Seed, options.Seed)),
		snapshots:   newSnapshots(),
	}
	f.freshUntil.Store(&time.Time{})
	f.withdrawn.Store(&withdrawnSet{})
	f.registerHandlers()
	return f, nil
}

// Run performs the duties of the host until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	var group run.Group
	for _, duty := range []func(context.Context){
		f.runProber, f.runStorePoller, f.runHostListPoller, f.runUpkeep, f.runNotifier, f.runSnapshotFetch,
	} {
		dutyCtx, cancel := context.WithCancel(ctx)
		group.Add(func() error {
			duty(dutyCtx)
			return nil
		}, func(error) { cancel() })
	}
	return group.Run()
}

// Ready reports that a configuration is applied.
func (f *Fleet) Ready() bool { return f.index.Load() != nil }

// Index implements View; nil until the host is ready.
func (f *Fleet) Index() *config.Index { return f.index.Load() }

// Self implements View.
func (f *Fleet) Self() config.Member { return f.self }

// Fresh implements View.
func (f *Fleet) Fresh() bool { return f.Ready() && f.now().Before(f.FreshUntil()) }

// FreshUntil implements View; the zero time means that the host was never fresh.
func (f *Fleet) FreshUntil() time.Time { return *f.freshUntil.Load() }

// Subscribe implements View.
func (f *Fleet) Subscribe(notify func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribers = append(f.subscribers, notify)
}

// SetDraining implements Proposer.
func (f *Fleet) SetDraining(draining bool) { f.draining.Store(draining) }

func (f *Fleet) now() time.Time { return f.options.Clock() }

// apply makes an accepted document the applied one unless it is not above it.
func (f *Fleet) apply(d *config.Document, source string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.applyLocked(d, source)
}

func (f *Fleet) applyLocked(d *config.Document, source string) bool {
	first := f.state.Applied() == 0
	if !f.state.Apply(d.Revision, membersOf(d)) {
		return false
	}
	if first {
		f.noteOlderIncarnation(d)
	}
	var old *config.Document
	if x := f.index.Load(); x != nil {
		old = x.Document()
	}
	f.index.Store(config.NewIndex(d))
	f.withdrawals.applied(old, d)
	f.withdrawn.Store(f.withdrawals.set())
	f.pendingDocs = slices.DeleteFunc(f.pendingDocs, func(p *config.Document) bool { return p.Revision <= d.Revision })
	f.notePeers(d)
	f.publishLocked()
	f.log.Info("applied revision", "revision", d.Revision, "source", source, "members", len(d.Members))
	signal(f.changed)
	signal(f.probeNow)
	return true
}

// noteOlderIncarnation remembers the entry of an earlier process of this host. The
// first document that a process sees cannot list a later one.
func (f *Fleet) noteOlderIncarnation(d *config.Document) {
	for _, m := range d.Members {
		if m.HostID == f.self.HostID && m.Incarnation != f.self.Incarnation {
			f.older[m.Incarnation] = true
		}
	}
}

// isOlder reports whether an incarnation of this host ended before this process
// started.
func (f *Fleet) isOlder(incarnation string) bool {
	return f.older[incarnation] || incarnation < f.self.Incarnation
}

// publishLocked makes the end of freshness visible to the request path.
func (f *Fleet) publishLocked() {
	until := f.state.FreshUntil(f.options.FreshnessDeadline)
	f.freshUntil.Store(&until)
}

func (f *Fleet) runNotifier(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.changed:
		}
		f.mu.Lock()
		subscribers := slices.Clone(f.subscribers)
		f.mu.Unlock()
		for _, notify := range subscribers {
			notify()
		}
	}
}

// jitter returns a random duration in [0, d).
func (f *Fleet) jitter(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.random.Int64N(int64(d)))
}

// sleepJittered waits for 0.8 d to 1.2 d, less if ctx ends or wake fires. A nil
// wake never fires.
func (f *Fleet) sleepJittered(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(d*4/5 + f.jitter(d*2/5))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func memberOf(m config.Member) freshness.Member {
	return freshness.Member{HostID: m.HostID, Incarnation: m.Incarnation}
}

func membersOf(d *config.Document) []freshness.Member {
	members := make([]freshness.Member, len(d.Members))
	for i, m := range d.Members {
		members[i] = memberOf(m)
	}
	return members
}
