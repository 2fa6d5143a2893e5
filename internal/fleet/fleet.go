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

	// The request path reads these fields without locks.
	index      atomic.Pointer[config.Index]
	freshUntil atomic.Pointer[time.Time]
	withdrawn  atomic.Pointer[withdrawnSet]
	draining   atomic.Bool

	documentCache documentCache

	// proposalSemaphore serializes the proposals of this host.
	proposalSemaphore chan struct{}
	// changed wakes the notifier, probeNow the prober, and storePolled the reconciler.
	// Each buffers at most one signal.
	changed     chan struct{}
	probeNow    chan struct{}
	storePolled chan struct{}

	mu               sync.Mutex
	state            *freshness.State
	peers            map[string]*peer
	gossip           gossipState
	pendingDocuments []*config.Document
	withdrawals      withdrawalLog
	// olderIncarnations holds incarnations of this host that ended before this process
	// started.
	olderIncarnations map[string]bool
	subscribers       []func()
	random            *rand.Rand
	poll              pollState
	// memberChangeDueSince is when this host, as a member, first found that the member
	// list has to change; zero if it does not.
	memberChangeDueSince time.Time
	// hostListReadAt is when the host list was last read successfully.
	hostListReadAt time.Time
	snapshots      snapshots
}

// pollState describes the reads of the current row from the store.
type pollState struct {
	// polledAt is when the last poll was sent; readAt is when the last successful read
	// was sent.
	polledAt time.Time
	readAt   time.Time
	// version is the newest row version that was read; it holds the document of revision.
	version  uint64
	revision uint64
}

// New returns a Fleet and registers its message handlers.
func New(options Options) (*Fleet, error) {
	if err := options.validateAndSetDefaults(); err != nil {
		return nil, err
	}
	f := &Fleet{
		options:           options,
		self:              options.Self,
		log:               options.Logger.Named("fleet"),
		proposalSemaphore: make(chan struct{}, 1),
		changed:           make(chan struct{}, 1),
		probeNow:          make(chan struct{}, 1),
		storePolled:       make(chan struct{}, 1),
		state:             freshness.New(toFreshnessMember(options.Self)),
		peers:             map[string]*peer{},
		gossip:            gossipState{table: gossip.NewTable(options.Self)},
		withdrawals:       newWithdrawalLog(),
		olderIncarnations: map[string]bool{},
		random:            rand.New(rand.NewPCG(options.Seed, options.Seed)),
		snapshots:         newSnapshots(),
	}
	f.freshUntil.Store(&time.Time{})
	f.withdrawn.Store(&withdrawnSet{})
	f.registerHandlers()
	return f, nil
}

// Run runs the background tasks of the host until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	var group run.Group
	for _, task := range []func(context.Context){
		f.runProber, f.runStorePoller, f.runHostListPoller, f.runReconciler, f.runNotifier, f.runSnapshotFetch,
	} {
		taskCtx, cancel := context.WithCancel(ctx)
		group.Add(func() error {
			task(taskCtx)
			return nil
		}, func(error) { cancel() })
	}
	return group.Run()
}

// Ready reports whether a configuration has been applied.
func (f *Fleet) Ready() bool { return f.index.Load() != nil }

// Index implements View; it returns nil until the host is ready.
func (f *Fleet) Index() *config.Index { return f.index.Load() }

// Self implements View.
func (f *Fleet) Self() config.Member { return f.self }

// Fresh implements View.
func (f *Fleet) Fresh() bool { return f.Ready() && f.now().Before(f.FreshUntil()) }

// FreshUntil implements View; the zero time means that the host has never been fresh.
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

// apply applies an accepted document if its revision is above the applied one. It
// returns false otherwise.
func (f *Fleet) apply(d *config.Document, source string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.applyLocked(d, source)
}

func (f *Fleet) applyLocked(d *config.Document, source string) bool {
	first := f.state.Applied() == 0
	if !f.state.Apply(d.Revision, toFreshnessMembers(d)) {
		return false
	}
	if first {
		f.recordOlderIncarnations(d)
	}
	var old *config.Document
	if idx := f.index.Load(); idx != nil {
		old = idx.Document()
	}
	f.index.Store(config.NewIndex(d))
	f.withdrawals.applyRevision(old, d)
	f.withdrawn.Store(f.withdrawals.withdrawnSet())
	f.pendingDocuments = slices.DeleteFunc(f.pendingDocuments, func(p *config.Document) bool { return p.Revision <= d.Revision })
	f.addMembers(d)
	f.publishFreshUntilLocked()
	f.log.Info("applied revision", "revision", d.Revision, "source", source, "members", len(d.Members))
	signal(f.changed)
	signal(f.probeNow)
	return true
}

// recordOlderIncarnations records the entry of an earlier process of this host. The
// first document that a process applies cannot list a later process.
func (f *Fleet) recordOlderIncarnations(d *config.Document) {
	for _, m := range d.Members {
		if m.HostID == f.self.HostID && m.Incarnation != f.self.Incarnation {
			f.olderIncarnations[m.Incarnation] = true
		}
	}
}

// isOlderIncarnation reports whether an incarnation of this host ended before this
// process started.
func (f *Fleet) isOlderIncarnation(incarnation string) bool {
	return f.olderIncarnations[incarnation] || incarnation < f.self.Incarnation
}

// publishFreshUntilLocked updates the end of freshness that the request path reads.
func (f *Fleet) publishFreshUntilLocked() {
	until := f.state.FreshUntil(f.options.FreshnessDeadline)
	f.freshUntil.Store(&until)
}

// runNotifier calls the subscribers after each change until ctx ends.
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

// sleepJittered waits for 0.8 d to 1.2 d, or until ctx ends or wake receives a signal.
// wake may be nil.
func (f *Fleet) sleepJittered(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(d*4/5 + f.jitter(d*2/5))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}

// signal sends to c unless a signal is already buffered.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func toFreshnessMember(m config.Member) freshness.Member {
	return freshness.Member{HostID: m.HostID, Incarnation: m.Incarnation}
}

func toFreshnessMembers(d *config.Document) []freshness.Member {
	members := make([]freshness.Member, len(d.Members))
	for i, m := range d.Members {
		members[i] = toFreshnessMember(m)
	}
	return members
}
