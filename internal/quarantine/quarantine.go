// Package quarantine shares what crashed targets among the hosts and keeps the parts of
// prompts in quarantine in the store, so that hosts that start later reject them too.
package quarantine

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/metric"

	"github.com/sequoiaroad/sequoiaroad/internal/clock"
	"github.com/sequoiaroad/sequoiaroad/internal/leasestore"
	"github.com/sequoiaroad/sequoiaroad/internal/peers"
	"github.com/sequoiaroad/sequoiaroad/internal/platform"
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

// row is the value of a row of Table.
type row struct {
	Parts []string `json:"parts"`
	// UntilMs is the end of the quarantine by the store's clock.
	UntilMs    int64 `json:"until_ms"`
	DurationMs int64 `json:"duration_ms"`
}

// outgoing is a notice for the peers, and the entries that change with it.
type outgoing struct {
	notice *peers.QuarantineNotice
	rows   []quarantine.Entry
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

// requestRestore compares the entries of this host with a store that was restored.
func (k *Keeper) requestRestore() {
	k.mu.Lock()
	k.restored = true
	k.mu.Unlock()
	k.requestRead()
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

// RecordCrashes records that targets ended while they worked on requests of this host.
func (k *Keeper) RecordCrashes(crashes []quarantine.Crash) {
	crashes = slices.DeleteFunc(crashes, func(c quarantine.Crash) bool { return len(c.Parts) == 0 })
	if len(crashes) == 0 {
		return
	}
	var added []quarantine.Entry
	for _, c := range crashes {
		added = append(added, k.applyCrash(c)...)
	}
	if len(added) > 0 {
		k.announce(added)
	}
	time.AfterFunc(rand.N(maxCrashReportDelay), func() {
		if !k.manyCrashedTogether() {
			k.reportCrashes(crashes)
			return
		}
		delay := minMassCrashReportDelay + rand.N(maxMassCrashReportDelay-minMassCrashReportDelay)
		time.AfterFunc(delay, func() { k.reportCrashes(crashes) })
	})
}

// manyCrashedTogether reports whether more targets have crashed within a short time than a
// prompt crashes. Most of their requests complete at other targets soon, and a notice from
// each host for each of them would cost the fleet more than they do.
func (k *Keeper) manyCrashedTogether() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	maps.DeleteFunc(k.crashedAt, func(_ string, at time.Time) bool { return time.Since(at) >= massCrashWindow })
	return len(k.crashedAt) >= massCrash
}

// reportCrashes tells the peers of crashes, without the parts that have completed since.
func (k *Keeper) reportCrashes(crashes []quarantine.Crash) {
	now := time.Now()
	var left []quarantine.Crash
	k.mu.Lock()
	for _, c := range crashes {
		c.Parts = slices.DeleteFunc(slices.Clone(c.Parts), func(part string) bool { return k.registry.IsInnocent(part, now) })
		if len(c.Parts) > 0 {
			left = append(left, c)
		}
	}
	k.mu.Unlock()
	if len(left) == 0 {
		return
	}
	k.enqueue(outgoing{notice: &peers.QuarantineNotice{Crashes: left}})
	k.requestRead()
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
	if len(outcome.Explained) > 0 {
		k.Log.Info("several targets crashed on parts, which more specific ones explain", "parts", quarantine.Summarize(outcome.Explained))
	}
	for _, e := range outcome.Added {
		k.Log.Warn("parts are in quarantine: several targets crashed on them", "entry", e.ID, "parts", quarantine.Summarize(e.Parts), "for_s", int(e.Duration.Seconds()))
		k.OnEntry(e)
	}
	return outcome.Added
}

// reportInnocent tells the peers which parts have completed here. In a large fleet a few
// hosts do so, since a part in steady use has completed at most of them.
func (k *Keeper) reportInnocent(innocent []quarantine.Completion, now time.Time) {
	hosts, _ := k.Fleet.CountHosts()
	if len(innocent) == 0 || rand.IntN(max(1, hosts)) >= innocenceReporters {
		return
	}
	k.enqueue(outgoing{notice: innocenceNotice(innocent, now)})
}

func innocenceNotice(innocent []quarantine.Completion, now time.Time) *peers.QuarantineNotice {
	n := &peers.QuarantineNotice{}
	for _, c := range innocent {
		n.Innocent = append(n.Innocent, peers.InnocentPart{Part: c.Part, AgeMs: now.Sub(c.At).Milliseconds()})
	}
	return n
}

// contestEntry tells the peers which parts of a new entry have completed here, unless one of
// them does so first. When many targets end at once, a part in rare use may have been at
// three of them, and the few hosts that know of its completions may not have reported it.
func (k *Keeper) contestEntry(parts []string, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	innocent := k.registry.Innocent(parts, now)
	if len(innocent) == 0 {
		return
	}
	for _, c := range innocent {
		k.contested[c.Part] = true
	}
	time.AfterFunc(rand.N(maxContestDelay), func() { k.reportContested(innocent) })
}

// reportContested reports the parts that no peer has reported meanwhile.
func (k *Keeper) reportContested(innocent []quarantine.Completion) {
	k.mu.Lock()
	innocent = slices.DeleteFunc(innocent, func(c quarantine.Completion) bool { return !k.contested[c.Part] })
	for _, c := range innocent {
		delete(k.contested, c.Part)
	}
	k.mu.Unlock()
	if len(innocent) > 0 {
		k.enqueue(outgoing{notice: innocenceNotice(innocent, time.Now())})
	}
}

// announceLater announces entries that a notice of a crash added here, unless another host
// does so first. The host that saw the crash does not if it lacked an earlier one, whose
// notice came after it.
func (k *Keeper) announceLater(added []quarantine.Entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range added {
		k.unannounced[e.ID] = true
	}
	time.AfterFunc(rand.N(maxAnnounceDelay), func() {
		k.mu.Lock()
		var left []quarantine.Entry
		for _, e := range added {
			// Parts may have completed since, which has ended the entry or left less of it.
			if current, ok := k.registry.Entry(e.ID); ok && k.unannounced[e.ID] {
				left = append(left, current)
			}
			delete(k.unannounced, e.ID)
		}
		k.mu.Unlock()
		if len(left) > 0 {
			k.announce(left)
		}
	})
}

// announce sends new entries to the peers and keeps them in the store. The host that saw the
// last crash does so at once.
func (k *Keeper) announce(added []quarantine.Entry) {
	k.enqueue(outgoing{notice: entriesNotice(added), rows: added})
}

func entriesNotice(entries []quarantine.Entry) *peers.QuarantineNotice {
	n := &peers.QuarantineNotice{}
	for _, e := range entries {
		n.Entries = append(n.Entries, peers.QuarantineEntry{
			ID: e.ID, Parts: e.Parts, RemainingMs: time.Until(e.Until).Milliseconds(), DurationMs: e.Duration.Milliseconds(),
		})
	}
	return n
}

// HandleNotice handles the notice of a peer.
func (k *Keeper) HandleNotice(n *peers.QuarantineNotice) {
	now := time.Now()
	k.update(func(r *quarantine.Registry) {
		for _, e := range n.Entries {
			delete(k.unannounced, e.ID)
		}
		for _, i := range n.Innocent {
			delete(k.contested, i.Part)
			r.RecordCompletion([]string{i.Part}, now.Add(-milliseconds(i.AgeMs)))
		}
	})
	for _, c := range n.Crashes {
		if added := k.applyCrash(c); len(added) > 0 {
			k.announceLater(added)
		}
	}
	for _, e := range n.Entries {
		k.contestEntry(e.Parts, now)
		k.addEntry(quarantine.Entry{ID: e.ID, Parts: e.Parts, Until: now.Add(milliseconds(e.RemainingMs)), Duration: milliseconds(e.DurationMs)})
	}
}

// Digest identifies the entries of this host; zero if it has none.
func (k *Keeper) Digest() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.registry.Digest()
}

// HandleDigest reads the table if a peer has other entries than this host, at most once
// per digestInterval for the same entries: the table may lack them.
func (k *Keeper) HandleDigest(digest uint64) {
	if digest == 0 || digest == k.Digest() {
		return
	}
	now := time.Now()
	k.mu.Lock()
	repeated := digest == k.lastDigest && now.Sub(k.lastDigestAt) < digestInterval
	if !repeated {
		k.lastDigest, k.lastDigestAt = digest, now
	}
	k.mu.Unlock()
	if !repeated {
		k.requestRead()
	}
}

func (k *Keeper) requestRead() {
	select {
	case k.reads <- struct{}{}:
	default:
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

func (k *Keeper) enqueue(o outgoing) {
	select {
	case k.outgoing <- o:
	default:
		k.Log.Warn("quarantine notice dropped: the queue is full")
	}
}

// Run reads the table, sends notices and writes entries until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	var running sync.WaitGroup
	running.Go(func() { k.readEntries(ctx) })
	running.Go(func() { k.send(ctx) })
	running.Wait()
	return nil
}

// awaitFirstRead waits until this host is to read the table.
func (k *Keeper) awaitFirstRead(ctx context.Context) {
	for !k.Fleet.ReadsForItself() {
		select {
		case <-ctx.Done():
			return
		case <-k.reads:
			return
		case <-time.After(firstReadCheckInterval):
		}
	}
}

// readEntries reads the table at the start and after each crash.
func (k *Keeper) readEntries(ctx context.Context) {
	k.awaitFirstRead(ctx)
	for ctx.Err() == nil {
		if err := k.read(ctx); err != nil {
			k.Log.Warn("failed to read the quarantine", "error", err)
			clock.Sleep(ctx, retryInterval)
			continue
		}
		clock.Sleep(ctx, minReadInterval)
		select {
		case <-ctx.Done():
		case <-k.reads:
		}
	}
}

func (k *Keeper) read(ctx context.Context) error {
	page, err := k.Source.List(ctx, Table)
	if err != nil {
		return err
	}
	now := time.Now()
	until := make(map[string]time.Time, len(page.Rows))
	for _, r := range page.Rows {
		var value row
		if err := json.Unmarshal(r.Value, &value); err != nil {
			k.Log.Warn("row of the quarantine is ignored", "key", r.Key, "row_version", r.Version, "error", err)
			continue
		}
		remaining := milliseconds(value.UntilMs) - page.Clock
		if -remaining >= quarantine.Probation {
			k.removeRow(ctx, r)
			continue
		}
		until[r.Key] = now.Add(remaining)
		e := k.addEntry(quarantine.Entry{ID: r.Key, Parts: value.Parts, Until: now.Add(remaining), Duration: milliseconds(value.DurationMs)})
		if len(e.Parts) == 0 { // all have completed here since
			k.removeRow(ctx, r)
		}
	}
	k.writeLost(ctx, until)
	return nil
}

// writeLost writes the entries again that a restored store has lost, or has with an earlier
// end.
func (k *Keeper) writeLost(ctx context.Context, stored map[string]time.Time) {
	k.mu.Lock()
	restored, entries := k.restored, k.registry.Entries(time.Now())
	k.restored = false
	k.mu.Unlock()
	if !restored {
		return
	}
	for _, e := range entries {
		if stored[e.ID].Add(time.Second).Before(e.Until) {
			k.Log.Info("entry of the quarantine is written again: the store was restored", "entry", e.ID)
			k.write(ctx, e)
		}
	}
}

// removeRow removes a row that no host uses any more, unless it has been written again.
func (k *Keeper) removeRow(ctx context.Context, r platform.Row) {
	unchanged := platform.Condition{Table: Table, Key: r.Key, Version: r.Version, Era: r.Era}
	_, err := k.Store.Commit(ctx, []platform.Condition{unchanged}, []platform.Write{{Table: Table, Key: r.Key, Delete: true}})
	if err != nil {
		k.Log.Info("failed to remove a row of the quarantine", "entry", r.Key, "error", err)
	}
}

// send sends queued notices to the peers and writes changed entries to the store.
func (k *Keeper) send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-k.outgoing:
			go k.broadcast(ctx, o.notice)
			for _, e := range o.rows {
				k.write(ctx, e)
			}
		}
	}
}

func (k *Keeper) broadcast(ctx context.Context, n *peers.QuarantineNotice) {
	ctx, cancel := context.WithTimeout(ctx, broadcastTimeout)
	defer cancel()
	k.Fleet.BroadcastQuarantineNotice(ctx, n)
}

// write keeps an entry in the store, or removes it if no part is left.
func (k *Keeper) write(ctx context.Context, e quarantine.Entry) {
	for range maxWrites {
		err := k.tryWrite(ctx, e)
		if err == nil || ctx.Err() != nil {
			return
		}
		k.Log.Warn("failed to write to the quarantine", "entry", e.ID, "error", err)
		clock.Sleep(ctx, retryInterval)
	}
}

func (k *Keeper) tryWrite(ctx context.Context, e quarantine.Entry) error {
	return k.commit(ctx, nil, e)
}

// commit writes the row of an entry if the conditions hold.
func (k *Keeper) commit(ctx context.Context, conditions []platform.Condition, e quarantine.Entry) error {
	until, err := k.View.StoreTime(e.Until)
	if err != nil {
		return err
	}
	value, err := json.Marshal(row{Parts: e.Parts, UntilMs: until.Milliseconds(), DurationMs: e.Duration.Milliseconds()})
	if err != nil {
		return errors.Wrap(err, "encode an entry of the quarantine")
	}
	_, err = k.Store.Commit(ctx, conditions, []platform.Write{{Table: Table, Key: e.ID, Value: value, Delete: len(e.Parts) == 0}})
	return err
}
