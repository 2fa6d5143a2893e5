package view

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	store "github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

type emptySource struct{}

func (emptySource) List(context.Context, string) (store.Page, error) {
	return store.Page{Version: 1}, nil
}

func (emptySource) Changes(context.Context, string, uint64, time.Duration) (store.Page, error) {
	return store.Page{Version: 1}, nil
}

func newTestView() *View {
	return New(emptySource{}, Decoder{
		OperatorTable: "operator", TargetTable: "targets", ErrCompacted: errors.New("compacted"),
		DecodeOperatorRow: func(string, []byte) (*topology.Config, *topology.DesiredWeights, error) { return nil, nil, nil },
		DecodeTarget: func(id string, _ []byte) (*topology.Target, error) {
			return &topology.Target{ID: id, Service: "s"}, nil
		},
	}, hclog.NewNullLogger())
}

func targetRow(version uint64, deleted bool) []store.Row {
	return []store.Row{{Key: "t", Version: version, Deleted: deleted}}
}

// applyChange applies one version of the target as a change of the store.
func applyChange(v *View, version uint64, deleted bool, at time.Time) {
	u, _, _ := v.Targets.applyChanges(targetRow(version, deleted), store.Position{Version: version}, at)
	v.applyRows(v.Targets, u)
}

// applyPeerRows applies all rows that a peer has.
func applyPeerRows(t *Table, rows []store.Row) []store.Row {
	u, _ := t.applyPeerRows(PeerRows{Rows: rows})
	return u.rows
}

// applyList applies a listing as of a version.
func applyList(t *Table, rows []store.Row, version uint64) []store.Row {
	u, _ := t.applyList(rows, store.Position{Version: version}, time.Now())
	return u.rows
}

// Guards against a target that is kept after its entry was removed, because the
// interval between listings of the hosts is taken for an outage of the store.
func TestRemovedTargetIsDroppedImmediately(t *testing.T) {
	g := NewWithT(t)
	v := newTestView()
	applyChange(v, 2, false, time.Now())
	v.Hosts.applyList(nil, store.Position{Version: 2}, time.Now().Add(-hostListInterval))
	v.recordContact(v.Hosts)
	applyChange(v, 3, true, time.Now())
	g.Expect(v.Snapshot().Targets).To(BeEmpty())
}

// Guards against a target that is dropped at the end of an outage because its entry
// expired meanwhile, and against one that is kept beyond the grace period.
func TestExpiredTargetIsKeptForGracePeriod(t *testing.T) {
	g := NewWithT(t)
	v := newTestView()
	applyChange(v, 2, false, time.Now().Add(-time.Minute))
	v.recordContact(v.Targets)
	applyChange(v, 3, true, time.Now())
	g.Expect(v.Snapshot().Targets).To(HaveKey("t"))
	g.Eventually(func() int { return len(v.Snapshot().Targets) }, expiredEntryGrace+time.Second, 20*time.Millisecond).Should(BeZero())
}

// Guards against a row that reverts to an older version from the store or a peer, and
// against rows that stay although a listing lacks them.
func TestRowVersionsNeverDecrease(t *testing.T) {
	g := NewWithT(t)
	table := newTable("x")
	u, _, _ := table.applyChanges(targetRow(5, false), store.Position{Version: 5}, time.Now())
	g.Expect(u.rows).To(HaveLen(1))
	g.Expect(applyPeerRows(table, targetRow(4, true))).To(BeEmpty())
	g.Expect(applyList(table, nil, 4)).To(BeEmpty())
	g.Expect(applyList(table, nil, 6)).To(HaveLen(1))
	g.Expect(applyPeerRows(table, targetRow(5, false))).To(BeEmpty())
	g.Expect(table.RowsAfter(store.Position{Version: 5}).Rows).To(HaveLen(1))
	g.Expect(table.Newest()).To(Equal(store.Position{Version: 6}))
}

// Guards against rows of a peer that leave a gap: the host would never request the rows
// between, since its newest version is above them.
func TestPeerRowsWithGapAreRejected(t *testing.T) {
	g := NewWithT(t)
	table := newTable("x")
	_, complete := table.applyPeerRows(PeerRows{Rows: targetRow(9, false), After: store.Position{Version: 5}})
	g.Expect(complete).To(BeFalse())
	g.Expect(table.Newest()).To(BeZero())
}

// rowAt returns a row of the target in a state of the store.
func rowAt(era, version uint64) []store.Row {
	return []store.Row{{Key: "t", Version: version, Era: era}}
}

// Guards against a row of a restored store that is taken for older because its version is
// lower, against one that the store has lost and stays, and against a watch that goes on
// after a version of the earlier era.
func TestRowsOfRestoredStoreReplaceEarlierOnes(t *testing.T) {
	g := NewWithT(t)
	table := newTable("x")
	list := func(rows []store.Row, era, version uint64) (update, bool) {
		return table.applyList(rows, store.Position{Era: era, Version: version}, time.Now())
	}
	list(append(rowAt(1, 30), store.Row{Key: "lost", Version: 29, Era: 1}), 1, 30)
	_, _, ok := table.applyChanges(rowAt(2, 40), store.Position{Era: 2, Version: 40}, time.Now())
	g.Expect(ok).To(BeFalse(), "changes after version 30 of era 1 lack versions of era 2")
	u, ok := list(rowAt(2, 20), 2, 25)
	g.Expect(ok).To(BeTrue())
	g.Expect(u.restored).To(BeTrue())
	g.Expect(u.rows).To(HaveLen(2))
	cursor, _ := table.position()
	g.Expect(cursor).To(Equal(store.Position{Era: 2, Version: 25}))
	_, ok = list(rowAt(1, 31), 1, 31)
	g.Expect(ok).To(BeFalse(), "a late response of the earlier era")
	next, _, ok := table.applyChanges(rowAt(2, 26), store.Position{Era: 2, Version: 26}, time.Now())
	g.Expect(ok).To(BeTrue())
	g.Expect(next.restored).To(BeFalse())
	g.Expect(next.rows).To(HaveLen(1))
}

// restoredView returns a view with the target t of the given incarnations, applied one after
// the other as changes of the first era.
func restoredView(started ...int64) (v *View, entry func(started int64, leaving bool) []byte) {
	v = newTestView()
	v.decoder.DecodeTarget = func(id string, value []byte) (*topology.Target, error) {
		t := &topology.Target{ID: id, Service: "s"}
		return t, json.Unmarshal(value, t)
	}
	entry = func(started int64, leaving bool) []byte {
		value, err := json.Marshal(topology.Target{ID: "t", Service: "s", Started: started, Leaving: leaving})
		if err != nil {
			panic(err) // can't happen: all fields can be encoded
		}
		return value
	}
	v.listTargets(1, 1)
	for i, s := range started {
		v.changeTarget(1, uint64(10+i), entry(s, false))
	}
	return v, entry
}

// listTargets applies a listing of the targets with the given values as of a version.
func (v *View) listTargets(era, version uint64, values ...[]byte) {
	page := store.Page{Era: era, Version: version}
	for _, value := range values {
		page.Rows = append(page.Rows, store.Row{Key: "t", Value: value, Version: version, Era: era})
	}
	_ = v.applyListing(context.Background(), v.Targets, page)
}

// changeTarget applies a change of the target; a nil value removes its entry.
func (v *View) changeTarget(era, version uint64, value []byte) {
	u, _, _ := v.Targets.applyChanges([]store.Row{{Key: "t", Value: value, Version: version, Era: era, Deleted: value == nil}},
		store.Position{Era: era, Version: version}, time.Now())
	v.applyRows(v.Targets, u)
}

// Guards against a target whose entry was removed, or said that it leaves, and that gets
// requests again because the store was restored from a copy in which it was ready.
func TestRestoredStoreRevivesNoTarget(t *testing.T) {
	for name, end := range map[string]func(v *View, leaving []byte){
		"removed":  func(v *View, _ []byte) { v.changeTarget(1, 20, nil) },
		"draining": func(v *View, leaving []byte) { v.changeTarget(1, 20, leaving) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			v, entry := restoredView(1)
			end(v, entry(1, true))
			v.listTargets(2, 10, entry(1, false))
			g.Expect(v.Snapshot().Targets["t"].Leaving).To(BeTrue())
			v.changeTarget(2, 11, nil)
			g.Eventually(func() int { return len(v.Snapshot().Targets) }, expiredEntryGrace+time.Second).Should(BeZero())
			v.changeTarget(2, 12, entry(2, false))
			g.Expect(v.Snapshot().Targets["t"].Leaving).To(BeFalse())
		})
	}
}

// Guards against a target that has restarted and is replaced by its earlier incarnation from
// the copy of a restored store.
func TestRestoredStoreRevivesNoEarlierIncarnation(t *testing.T) {
	g := NewWithT(t)
	v, entry := restoredView(1, 2)
	v.listTargets(2, 10, entry(1, false))
	g.Expect(v.Snapshot().Targets["t"].Started).To(BeEquivalentTo(2))
	v.changeTarget(2, 11, entry(2, true))
	g.Expect(v.Snapshot().Targets["t"].Leaving).To(BeTrue())
}

// Guards against a sound target that stays unused because its entry had lapsed before the
// store was restored.
func TestTargetIsUsedAgainAfterRestoration(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	v, entry := restoredView(1)
	v.changeTarget(1, 20, nil)
	v.listTargets(2, 10, entry(1, false))
	leaving := func() bool { return v.Snapshot().Targets["t"].Leaving }
	g.Expect(leaving()).To(BeTrue())
	g.Eventually(leaving, restoredEntryProbation+time.Second, "50ms").Should(BeFalse())
	v.changeTarget(2, 11, nil)
	v.listTargets(3, 5, entry(1, false))
	v.changeTarget(3, 6, entry(1, false))
	g.Expect(leaving()).To(BeFalse(), "written again after the restoration")
}

// Guards against targets that are dropped because a restored store has lost their entries,
// which they write again.
func TestEntryLostByRestorationIsKeptForGracePeriod(t *testing.T) {
	g := NewWithT(t)
	v, entry := restoredView(1)
	v.listTargets(2, 5)
	g.Expect(v.Snapshot().Targets).To(HaveKey("t"))
	v.changeTarget(2, 6, entry(1, false))
	g.Consistently(func() int { return len(v.Snapshot().Targets) }, expiredEntryGrace+300*time.Millisecond).Should(Equal(1))
}

// countingSource counts the calls of Changes and records the version of the last one.
type countingSource struct {
	calls atomic.Int64
	after atomic.Uint64
}

func (s *countingSource) List(context.Context, string) (store.Page, error) {
	return store.Page{Version: 3}, nil
}

func (s *countingSource) Changes(ctx context.Context, _ string, after uint64, _ time.Duration) (store.Page, error) {
	s.calls.Add(1)
	s.after.Store(after)
	<-ctx.Done()
	return store.Page{Version: after}, ctx.Err()
}

// Guards against a host that calls the store although other hosts send it the changes,
// against an outdated position when such a host begins to watch the store, and against
// idle time that counts as an outage, which would keep removed targets.
func TestNonWatcherDoesNotPollStore(t *testing.T) {
	g := NewWithT(t)
	source := &countingSource{}
	v := New(source, newTestView().decoder, hclog.NewNullLogger())
	var watches atomic.Bool
	sharing := v.sharing
	sharing.WatchesStore = watches.Load
	v.ConfigureSharing(sharing)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { v.watch(ctx, v.Targets); close(ended) }()
	g.Eventually(func() bool { _, listed := v.Targets.position(); return listed }).Should(BeTrue())
	g.Consistently(source.calls.Load, 3*idleCheckInterval).Should(BeZero())
	newer, complete := v.MergeRows(v.Targets, PeerRows{Rows: targetRow(9, false)}, time.Time{})
	g.Expect(newer).To(Equal(1))
	g.Expect(complete).To(BeTrue())
	g.Expect(time.Since(v.Targets.LastContact())).To(BeNumerically("<", time.Second))
	watches.Store(true)
	g.Eventually(source.after.Load).Should(BeEquivalentTo(9))
	cancel()
	<-ended
}

// Guards against a host that stops asking the store while it does not answer, since another
// host watches it: the outage would never end for it, and weights never grow outdated.
func TestHostGoesOnAskingStoreThatDoesNotAnswer(t *testing.T) {
	g := NewWithT(t)
	v := newTestView()
	sharing := v.sharing
	sharing.WatchesStore = func() bool { return false }
	v.ConfigureSharing(sharing)
	v.Operator.applyList(nil, store.Position{Version: 2}, time.Now())
	g.Expect(v.isIdle(v.Operator)).To(BeTrue())
	v.Operator.setUnreachable(true)
	g.Expect(v.isIdle(v.Operator)).To(BeFalse())
	v.Operator.setUnreachable(false)
	g.Expect(v.isIdle(v.Operator)).To(BeTrue())
}

// Guards against weights that grow outdated while the store does not answer, and against
// an outage that ends while one of the tables is still unreachable.
func TestOutageOfStorePausesStaleness(t *testing.T) {
	g := NewWithT(t)
	v := newTestView()
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	v.desired["m"] = topology.DesiredWeights{Model: "m"}.WithVersion(2, start)
	outdatedFor := func(seconds int) time.Duration {
		return v.Snapshot().DesiredWeights["m"].OutdatedFor(1, at(seconds)).Round(time.Second)
	}
	v.Operator.setUnreachable(true)
	v.recordReachability(at(2))
	v.Targets.setUnreachable(true)
	v.recordReachability(at(3))
	v.CheckOutage(false, at(5))
	g.Expect(outdatedFor(20)).To(Equal(2 * time.Second))
	v.Operator.setUnreachable(false)
	v.recordReachability(at(20))
	g.Expect(outdatedFor(25)).To(Equal(2 * time.Second))
	v.Targets.setUnreachable(false)
	v.recordReachability(at(25))
	g.Expect(outdatedFor(27)).To(Equal(4 * time.Second))
}

// Guards against requests on old weights at a host whose own calls of the store failed, since
// it had been frozen or its connections had become silent, while the store answered others:
// the time until its next answer was taken off the age of the weights.
func TestFailedCallsOfOneHostAreNoOutage(t *testing.T) {
	g := NewWithT(t)
	v := newTestView()
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	v.desired["m"] = topology.DesiredWeights{Model: "m"}.WithVersion(2, start)
	v.publish()
	outdatedFor := func(ms int) time.Duration { return v.Snapshot().DesiredWeights["m"].OutdatedFor(1, at(ms)) }
	lose := func(ms int) { v.Operator.setUnreachable(true); v.recordReachability(at(ms)) }
	recover := func(ms int) { v.Operator.setUnreachable(false); v.recordReachability(at(ms)) }

	lose(1000)
	g.Expect(outdatedFor(1900)).To(Equal(1900 * time.Millisecond))
	recover(2000)
	g.Expect(outdatedFor(2000)).To(Equal(2*time.Second), "no host has said anything meanwhile")

	lose(3000)
	v.CheckOutage(true, at(3500))
	v.CheckOutage(false, at(4000)) // the others are heard no more
	v.CheckOutage(false, at(6500))
	g.Expect(outdatedFor(7000)).To(Equal(3500*time.Millisecond), "an outage since the store last answered another host")
	v.CheckOutage(true, at(8000))
	g.Expect(outdatedFor(9000)).To(Equal(4500*time.Millisecond), "the store answers another host again")
	recover(9000)
	g.Expect(outdatedFor(9000)).To(Equal(4500 * time.Millisecond))
}

// Guards against a version that is published within an outage, which others have told, and
// whose age counts from the begin of the outage, and against calls that fail without one.
func TestVersionLearnedFromPeersIsPausedInOutagesOnly(t *testing.T) {
	g := NewWithT(t)
	v := newTestView()
	v.decoder.DecodeOperatorRow = func(_ string, value []byte) (*topology.Config, *topology.DesiredWeights, error) {
		return nil, &topology.DesiredWeights{Model: "m", Version: int64(value[0])}, nil
	}
	v.Operator.setUnreachable(true)
	v.recordReachability(time.Now())
	v.applyOperatorRow(store.Row{Value: []byte{2}})
	g.Expect(v.desired["m"].StoreLostAt).To(BeZero())
	v.CheckOutage(false, time.Now().Add(outageConfirmation))
	v.applyOperatorRow(store.Row{Value: []byte{3}})
	g.Expect(v.desired["m"].StoreLostAt).To(Equal(v.storeLostAt))
}

// Guards against weights that stay recent while the machine is suspended, since the
// clock of the process stands still meanwhile.
func TestSuspensionCountsAsStaleness(t *testing.T) {
	g := NewWithT(t)
	v := newTestView()
	at := func(ms int) time.Time { return v.started.Add(time.Duration(ms) * time.Millisecond) }
	boot := func(ms int) time.Time { return v.bootStarted.Add(time.Duration(ms) * time.Millisecond) }
	v.desired["m"] = topology.DesiredWeights{Model: "m"}.WithVersion(2, at(0))
	v.recordSuspension(at(1000), boot(1010))
	v.publish()
	g.Expect(v.Snapshot().DesiredWeights["m"].OutdatedFor(1, at(1000))).To(Equal(time.Second))
	v.recordSuspension(at(2000), boot(5010))
	v.recordSuspension(at(2100), boot(5110))
	g.Expect(v.Snapshot().DesiredWeights["m"].OutdatedFor(1, at(2000))).To(BeNumerically("~", 5*time.Second, 20*time.Millisecond))
}

// failingSource fails one call for changes of the operator's table.
type failingSource struct {
	emptySource
	failed atomic.Bool
}

func (s *failingSource) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (store.Page, error) {
	if table == "operator" && s.failed.CompareAndSwap(false, true) {
		return store.Page{}, errors.New("status 429")
	}
	select {
	case <-ctx.Done():
		return store.Page{}, ctx.Err()
	case <-time.After(wait):
		return store.Page{Version: after}, nil
	}
}

// Guards against one failed call of the store that takes the time of a whole long poll
// off the age of published weights.
func TestFailedCallIsAShortOutage(t *testing.T) {
	g := NewWithT(t)
	v := New(&failingSource{}, newTestView().decoder, hclog.NewNullLogger())
	start := time.Now()
	v.desired["m"] = topology.DesiredWeights{Model: "m"}.WithVersion(2, start)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	g.Expect(v.Run(ctx)).To(Succeed())
	now := time.Now()
	g.Expect(v.Snapshot().DesiredWeights["m"].OutdatedFor(1, now)).To(BeNumerically(">", now.Sub(start)-2*minRetry))
}

// Guards against a host that records its late receipt of a version over the time at which
// others received it, and against records of versions that the operator's table lacks.
func TestEarlierPublicationWins(t *testing.T) {
	g := NewWithT(t)
	v := newTestView()
	now := time.Now()
	v.desired["m"] = topology.DesiredWeights{Model: "m"}.WithVersion(2, now)
	_, _, err := v.MergePublications("m", Publications{})
	g.Expect(err).To(MatchError(errClockUnknown))
	v.observeClock(store.Page{Clock: 100 * time.Second}, now)
	merged, changed, err := v.MergePublications("m", Publications{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changed).To(BeTrue())
	g.Expect(merged.Versions).To(Equal([]Publication{{2, 100_000}}))
	earlier := Publications{Versions: []Publication{{2, 96_000}, {9, 90_000}}}
	merged, changed, err = v.MergePublications("m", earlier)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changed).To(BeFalse())
	g.Expect(merged.Versions).To(Equal(earlier.Versions[:1]))
	g.Expect(v.Snapshot().DesiredWeights["m"].OutdatedFor(1, now)).To(Equal(4 * time.Second))
	_, changed, _ = v.MergePublications("m", Publications{Versions: []Publication{{2, 99_000}}})
	g.Expect(changed).To(BeTrue())
}
