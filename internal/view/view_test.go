package view

import (
	"context"
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
		OperatorTable: "operator", TargetTable: "targets", HistoryGone: errors.New("gone"),
		OperatorRow: func(string, []byte) (*topology.Config, *topology.WantedWeights, error) { return nil, nil, nil },
		Target: func(id string, _ []byte) (*topology.Target, error) {
			return &topology.Target{ID: id, Service: "s"}, nil
		},
	}, hclog.NewNullLogger())
}

func targetRow(version uint64, deleted bool) []store.Row {
	return []store.Row{{Key: "t", Version: version, Deleted: deleted}}
}

// Guards against a target that is kept after its entry was removed: the pauses between
// listings of the hosts are no outage of the store.
func TestRemovedTargetIsGoneAtOnce(t *testing.T) {
	g := NewWithT(t)
	v := newTestView()
	v.take(v.Targets, v.Targets.applyChanges(targetRow(2, false), 2, time.Now()))
	v.Hosts.applyList(nil, 2, time.Now().Add(-hostListInterval))
	v.noteContact(v.Hosts)
	v.take(v.Targets, v.Targets.applyChanges(targetRow(3, true), 3, time.Now()))
	g.Expect(v.Snapshot().Targets).To(BeEmpty())
}

// Guards against a target that is dropped at the end of an outage although its entry
// lapsed only meanwhile, and one that is kept for longer than it may take to write it.
func TestLapsedTargetHasTimeToReturn(t *testing.T) {
	g := NewWithT(t)
	v := newTestView()
	v.take(v.Targets, v.Targets.applyChanges(targetRow(2, false), 2, time.Now().Add(-time.Minute)))
	v.noteContact(v.Targets)
	v.take(v.Targets, v.Targets.applyChanges(targetRow(3, true), 3, time.Now()))
	g.Expect(v.Snapshot().Targets).To(HaveKey("t"))
	g.Eventually(func() int { return len(v.Snapshot().Targets) }, returnGrace+time.Second, 20*time.Millisecond).Should(BeZero())
}

// Guards against a row that goes back to an older version, from the store or a peer,
// and against rows that a listing lacks and that stay.
func TestRowsNeverGoBack(t *testing.T) {
	g := NewWithT(t)
	table := newTable("x")
	g.Expect(table.applyChanges(targetRow(5, false), 5, time.Now())).To(HaveLen(1))
	g.Expect(table.ApplyPeer(targetRow(4, true))).To(BeEmpty())
	g.Expect(table.applyList(nil, 4, time.Now())).To(BeEmpty())
	g.Expect(table.applyList(nil, 6, time.Now())).To(HaveLen(1))
	g.Expect(table.ApplyPeer(targetRow(5, false))).To(BeEmpty())
	g.Expect(table.After(5)).To(HaveLen(1))
	g.Expect(table.Newest()).To(BeEquivalentTo(6))
}
