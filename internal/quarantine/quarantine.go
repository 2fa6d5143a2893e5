// Package quarantine shares what crashed targets among the hosts and keeps the parts of
// prompts in quarantine in the store, so that hosts that start later reject them too.
package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/metric"

	"github.com/sequoiaroad/sequoiaroad/internal/leasestore"
	"github.com/sequoiaroad/sequoiaroad/internal/peers"
	"github.com/sequoiaroad/sequoiaroad/internal/view"
	"github.com/sequoiaroad/sequoiaroad/policy/quarantine"
)

const (
	// Table holds a row for each entry in quarantine.
	Table = "sequoiaroad.quarantine"
	// broadcastTimeout bounds a notice to the other hosts.
	broadcastTimeout = 600 * time.Millisecond
	// minReadInterval bounds how often the table is read. It is read after each crash,
	// since notices of other hosts may be lost.
	minReadInterval = time.Second
	retryInterval   = time.Second
	// firstReadCheckInterval is the interval between checks whether this host is to read the
	// table.
	firstReadCheckInterval = 50 * time.Millisecond
	// digestInterval is the interval between reads because of the same digest.
	digestInterval = 5 * time.Second
	// maxWrites bounds the attempts to write an entry. Peers keep it too, and hosts that
	// start later learn it from crashes of their own.
	maxWrites = 10
	// innocenceReporters is the expected number of hosts that report a completed part
	// after a crash.
	innocenceReporters = 4
	// maxCrashReportDelay spreads the reports of crashes, so that hosts hear of each other's
	// before they send theirs. massCrash is the number of targets that must have crashed
	// within massCrashWindow for reports to wait for minMassCrashReportDelay to
	// maxMassCrashReportDelay more: a prompt crashes three before it is in quarantine. Both
	// delays together must leave most of the time in which all hosts have to know a part that
	// crashes targets (contact_ms, 5 s).
	maxCrashReportDelay     = 500 * time.Millisecond
	massCrash               = 6
	massCrashWindow         = time.Second
	minMassCrashReportDelay = 500 * time.Millisecond
	maxMassCrashReportDelay = 1500 * time.Millisecond
	// maxContestDelay spreads the hosts that know a completed part of a new entry, so that
	// the first reports it for all.
	maxContestDelay = 300 * time.Millisecond
	// maxAnnounceDelay spreads the hosts that learned of the last crash of a new entry from a
	// notice, so that the first announces it if the host that saw the crash does not.
	maxAnnounceDelay = 500 * time.Millisecond
	// partsPerUpdate bounds the parts of a completed prompt that are recorded at once, since
	// all prompts wait for the same mutex as they complete.
	partsPerUpdate = 64
	// reviewInterval is the interval between reviews while a suspect is unsettled.
	reviewInterval = quarantine.SettleTime / 4
	// queueSize bounds the notices that wait to be sent.
	queueSize = 256
	// maxRestoreDelay spreads the hosts that write entries again after the store was
	// restored, so that the first does it for all.
	maxRestoreDelay = 2 * time.Second
)

// Fleet sends notices to the other hosts.
type Fleet interface {
	// BroadcastQuarantineNotice sends a notice to all other hosts, and waits until they
	// have acknowledged it or ctx ends.
	BroadcastQuarantineNotice(ctx context.Context, n *peers.QuarantineNotice)
	// CountHosts returns the number of hosts and the share of them that is
	// unresponsive.
	CountHosts() (hosts int, unresponsiveShare float64)
	// ReadsForItself reports whether this host reads the table at its start. Others read it
	// when their hub's digest shows entries that they lack.
	ReadsForItself() bool
}

// Options configure a Keeper.
type Options struct {
	Store  leasestore.Client
	Source view.Source
	View   *view.View
	Fleet  Fleet
	Log    hclog.Logger
	Meter  metric.Meter
	// OnEntry is called after an entry was added or prolonged. It must not block.
	OnEntry func(e quarantine.Entry)
}

// Keeper decides for this host which requests are in quarantine.
type Keeper struct {
	Options
	metrics *metrics

	// index holds the entries of the registry. Requests use it without the mutex, which is
	// held over work that grows with the parts of a crash.
	index atomic.Pointer[quarantine.Index]

	mu       sync.Mutex
	registry *quarantine.Registry
	// lastDigest is the last digest of a peer for which the table was read.
	lastDigest   uint64
	lastDigestAt time.Time
	// contested are the parts of new entries that have completed here and that no peer has
	// reported yet.
	contested map[string]bool
	// unannounced are the IDs of entries that notices of crashes added here and that no host
	// has announced yet.
	unannounced map[string]bool
	// nextClaim is when this host may next claim the trial of an entry, by ID.
	nextClaim map[string]time.Time
	// crashedAt is when the targets crashed that crashed last, here or at peers.
	crashedAt map[string]time.Time
	// restored means that the store may have lost entries since the table was last read.
	restored bool

	// reviewScheduled means that a review is due soon.
	reviewScheduled atomic.Bool

	outgoing chan outgoing
	reads    chan struct{}
}

// New returns a keeper that has read no entry.
func New(o Options) (*Keeper, error) {
	m, err := newMetrics(o.Meter)
	if err != nil {
		return nil, err
	}
	k := &Keeper{
		Options: o, metrics: m, registry: quarantine.New(), contested: map[string]bool{}, unannounced: map[string]bool{}, nextClaim: map[string]time.Time{}, crashedAt: map[string]time.Time{},
		outgoing: make(chan outgoing, queueSize), reads: make(chan struct{}, 1),
	}
	k.index.Store(k.registry.Index())
	o.View.OnRestoration(func() { time.AfterFunc(rand.N(maxRestoreDelay), k.requestRestore) })
	return k, nil
}

// Match returns the entry that rejects a request with the given parts, other than those for
// which it is tried.
func (k *Keeper) Match(parts []string, trials quarantine.Trials) (quarantine.Entry, bool) {
	return k.index.Load().Match(parts, trials, time.Now())
}

// update changes the registry, and the index that requests use.
func (k *Keeper) update(change func(r *quarantine.Registry)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change(k.registry)
	k.index.Store(k.registry.Index())
}

// Suspected reports whether a request with the given parts must not be retried.
func (k *Keeper) Suspected(parts []string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.registry.Suspected(parts)
}

// RecordCompletion records that a target completed a request.
func (k *Keeper) RecordCompletion(parts []string) {
	now := time.Now()
	var cleared []string
	var changed []quarantine.Entry
	for some := range slices.Chunk(parts, partsPerUpdate) {
		k.update(func(r *quarantine.Registry) {
			c, e := r.RecordCompletion(some, now)
			cleared, changed = append(cleared, c...), append(changed, e...)
		})
	}
	if len(cleared) == 0 {
		return
	}
	k.Log.Info("parts are no longer suspected of crashes", "parts", quarantine.Summarize(cleared))
	k.metrics.recordCleared(len(cleared))
	n := &peers.QuarantineNotice{}
	for _, part := range cleared {
		n.Innocent = append(n.Innocent, peers.InnocentPart{Part: part})
	}
	k.enqueue(outgoing{notice: n, rows: changed})
}

// applyCrash records a crash that this host or a peer has seen. It returns the entries
// that this adds.
func (k *Keeper) applyCrash(c quarantine.Crash) []quarantine.Entry {
	now := time.Now()
	var outcome quarantine.Outcome
	k.update(func(r *quarantine.Registry) {
		outcome = r.RecordCrash(c, now)
		k.crashedAt[c.Target] = now
	})
	k.Log.Info("a target ended while it worked on a request", "target", c.Target, "parts", quarantine.Summarize(c.Parts), "innocent", len(outcome.Innocent))
	k.metrics.recordCrash(&outcome)
	k.reportInnocent(outcome.Innocent, now)
	k.handleOutcome(&outcome)
	return outcome.Added
}

// handleOutcome logs what was decided on suspects, and decides later on those that are
// unsettled.
func (k *Keeper) handleOutcome(outcome *quarantine.Outcome) {
	if len(outcome.Explained) > 0 {
		k.Log.Info("several targets crashed on parts, which more specific ones explain", "parts", quarantine.Summarize(outcome.Explained))
	}
	if outcome.Unsettled && k.reviewScheduled.CompareAndSwap(false, true) {
		time.AfterFunc(reviewInterval, k.review)
	}
	for _, e := range outcome.Added {
		k.Log.Warn("parts are in quarantine: several targets crashed on them", "entry", e.ID, "parts", quarantine.Summarize(e.Parts), "for_s", int(e.Duration.Seconds()))
		k.OnEntry(e)
	}
}

// review judges the suspects again that were unsettled. All hosts do so at about the same time.
func (k *Keeper) review() {
	k.reviewScheduled.Store(false)
	var outcome quarantine.Outcome
	k.update(func(r *quarantine.Registry) { outcome = r.Review(time.Now()) })
	k.handleOutcome(&outcome)
	if len(outcome.Added) > 0 {
		k.announceLater(outcome.Added)
	}
}

// addEntry adds an entry of a peer or of the store, and returns it as it holds here.
func (k *Keeper) addEntry(e quarantine.Entry) quarantine.Entry {
	var added bool
	k.update(func(r *quarantine.Registry) { e, added = r.AddEntry(e, time.Now()) })
	if added {
		k.Log.Info("entry of the quarantine received", "entry", e.ID, "parts", quarantine.Summarize(e.Parts), "for_s", int(time.Until(e.Until).Seconds()))
		k.OnEntry(e)
	}
	return e
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// Run reads the table, sends notices and writes entries until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	var running sync.WaitGroup
	running.Go(func() { k.readEntries(ctx) })
	running.Go(func() { k.send(ctx) })
	running.Wait()
	return nil
}
