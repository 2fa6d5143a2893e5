package view

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	store "github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

type noSource struct{}

func (noSource) List(context.Context, string) ([]store.Row, uint64, error) {
	return nil, 1, nil
}

func (noSource) Changes(context.Context, string, uint64, time.Duration) ([]store.Row, uint64, error) {
	return nil, 1, nil
}

func newTestView() *View {
	return New(noSource{}, Decoder{
		OperatorTable: "operator", TargetTable: "targets", ErrCompacted: errors.New("gone"),
		DecodeOperatorRow: func(string, []byte) (*topology.Config, *topology.DesiredWeights, error) { return nil, nil, nil },
		DecodeTarget: func(id string, _ []byte) (*topology.Target, error) {
			return &topology.Target{ID: id, Service: "s"}, nil
		},
	}, hclog.NewNullLogger())
}

func targetRow(version uint64, deleted bool) []store.Row {
	return []store.Row{{Key: "t", Version: version, Deleted: deleted}}
}

// change lets the store tell of one version of the target at a time.
func change(v *View, version uint64, deleted bool, at time.Time) {
	changed, _ := v.Targets.applyChanges(targetRow(version, deleted), version, at)
	v.take(v.Targets, changed)
}

// peerRows takes rows from a peer that had none above the version before them.
func peerRows(t *Table, rows []store.Row, after uint64) []store.Row {
	changed, _ := t.ApplyPeer(rows, after)
	return changed
}

// Guards against a target that is kept after its entry was removed: the pauses between
// listings of the hosts are no outage of the store.
func TestRemovedTargetIsGoneAtOnce(t *testing.T) {
	g := NewWithT(t)
	v := newTestView()
	change(v, 2, false, time.Now())
	v.Hosts.applyList(nil, 2, time.Now().Add(-hostListInterval))
	v.noteContact(v.Hosts)
	change(v, 3, true, time.Now())
	g.Expect(v.Snapshot().Targets).To(BeEmpty())
}

// Guards against a target that is dropped at the end of an outage although its entry
// lapsed only meanwhile, and one that is kept for longer than it may take to write it.
func TestLapsedTargetHasTimeToReturn(t *testing.T) {
	g := NewWithT(t)
	v := newTestView()
	change(v, 2, false, time.Now().Add(-time.Minute))
	v.noteContact(v.Targets)
	change(v, 3, true, time.Now())
	g.Expect(v.Snapshot().Targets).To(HaveKey("t"))
	g.Eventually(func() int { return len(v.Snapshot().Targets) }, returnGrace+time.Second, 20*time.Millisecond).Should(BeZero())
}

// Guards against a row that goes back to an older version, from the store or a peer,
// and against rows that a listing lacks and that stay.
func TestRowsNeverGoBack(t *testing.T) {
	g := NewWithT(t)
	table := newTable("x")
	changed, _ := table.applyChanges(targetRow(5, false), 5, time.Now())
	g.Expect(changed).To(HaveLen(1))
	g.Expect(peerRows(table, targetRow(4, true), 0)).To(BeEmpty())
	g.Expect(table.applyList(nil, 4, time.Now())).To(BeEmpty())
	g.Expect(table.applyList(nil, 6, time.Now())).To(HaveLen(1))
	g.Expect(peerRows(table, targetRow(5, false), 0)).To(BeEmpty())
	g.Expect(table.After(5)).To(HaveLen(1))
	g.Expect(table.Newest()).To(BeEquivalentTo(6))
}

// Guards against rows of a peer that leave a gap: the host would never ask for the rows
// between, as its newest version is above them.
func TestRowsWithAGapAreNotTaken(t *testing.T) {
	g := NewWithT(t)
	table := newTable("x")
	_, complete := table.ApplyPeer(targetRow(9, false), 5)
	g.Expect(complete).To(BeFalse())
	g.Expect(table.Newest()).To(BeZero())
}

// countingSource counts the calls and remembers the version of the last one.
type countingSource struct {
	calls atomic.Int64
	after atomic.Uint64
}

func (s *countingSource) List(context.Context, string) ([]store.Row, uint64, error) {
	return nil, 3, nil
}

func (s *countingSource) Changes(ctx context.Context, _ string, after uint64, _ time.Duration) ([]store.Row, uint64, error) {
	s.calls.Add(1)
	s.after.Store(after)
	<-ctx.Done()
	return nil, after, ctx.Err()
}

// Guards against calls to the store by hosts that others tell of changes, against an
// old position when such a host begins to follow, and against taking the pause for an
// outage, which would keep removed targets.
func TestHostThatDoesNotFollowRests(t *testing.T) {
	g := NewWithT(t)
	source := &countingSource{}
	v := New(source, newTestView().decoder, hclog.NewNullLogger())
	var follows atomic.Bool
	v.Share(follows.Load, func(*Table, uint64) {})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { v.follow(ctx, v.Targets); close(ended) }()
	g.Eventually(func() bool { _, listed := v.Targets.position(); return listed }).Should(BeTrue())
	g.Consistently(source.calls.Load, 3*restInterval).Should(BeZero())
	newer, complete := v.Merge(v.Targets, targetRow(9, false), 0, time.Time{})
	g.Expect(newer).To(Equal(1))
	g.Expect(complete).To(BeTrue())
	g.Expect(time.Since(v.Targets.Contact())).To(BeNumerically("<", time.Second))
	follows.Store(true)
	g.Eventually(source.after.Load).Should(BeEquivalentTo(9))
	cancel()
	<-ended
}
