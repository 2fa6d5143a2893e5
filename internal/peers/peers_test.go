package peers

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	store "github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/internal/view"
	"github.com/sequoiaroad/sequoiaroad/internal/wire"
	"github.com/sequoiaroad/sequoiaroad/policy/backpressure"
	"github.com/sequoiaroad/sequoiaroad/policy/balance"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

// network delivers messages between the hosts of a test and counts those sent.
type network struct {
	mu    sync.Mutex
	hosts map[string]*testHost
	sent  int
}

// testDecoder decodes the rows of targets by their keys alone.
var testDecoder = view.Decoder{
	DecodeTarget: func(id string, _ []byte) (*topology.Target, error) { return &topology.Target{ID: id}, nil },
}

// testHost is one host: its exchange and what it received.
type testHost struct {
	*Exchange
	handlers map[wire.Type]wire.Handler

	mu            sync.Mutex
	totals        map[string]float64
	cacheNotices  int
	engineNotices int
}

// Handle implements wire.Registry.
func (h *testHost) Handle(t wire.Type, f wire.Handler) { h.handlers[t] = f }

func (h *testHost) LocalState() Heartbeat {
	return Heartbeat{Ready: true, Usage: []AccountUsage{{"club", 1}}}
}

func (h *testHost) HandleHeartbeat(b *Heartbeat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.totals[b.From.ID] = b.Usage[0].Total
}

func (h *testHost) HandleCacheNotices(notices []balance.CacheNotice) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cacheNotices += len(notices)
}

func (h *testHost) AllLimits() []backpressure.Report { return nil }

func (h *testHost) HandleLimits([]backpressure.Report) {}

func (h *testHost) HandleQuarantineNotice(*QuarantineNotice) {}

func (h *testHost) HandleEngineNotice(*EngineNotice) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.engineNotices++
}

func (h *testHost) reportedHosts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.totals)
}

// count returns a function that reads a counter.
func (h *testHost) count(n *int) func() int {
	return func() int {
		h.mu.Lock()
		defer h.mu.Unlock()
		return *n
	}
}

// newNetwork starts count hosts, each of which has recorded all others.
func newNetwork(count, zones int) *network {
	n := &network{hosts: map[string]*testHost{}}
	all := make([]view.Host, count)
	for i := range all {
		id := fmt.Sprintf("h%03d", i)
		all[i] = view.Host{ID: id, Incarnation: id + "-1", Zone: fmt.Sprint("z", i%zones), InnerAddress: id}
	}
	for _, self := range all {
		n.start(self, all)
	}
	return n
}

func (n *network) start(self view.Host, all []view.Host) *testHost {
	h := &testHost{handlers: map[wire.Type]wire.Handler{}, totals: map[string]float64{}}
	v := view.New(nil, testDecoder, hclog.NewNullLogger())
	h.Exchange = New(self, nil, &link{n, self}, v, h, hclog.NewNullLogger())
	h.peers.addReported(all, self.ID, time.Now())
	h.Register(h)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[self.InnerAddress] = h
	return h
}

// link is the wire.Caller of one host.
type link struct {
	network *network
	from    view.Host
}

// Call implements wire.Caller.
func (l *link) Call(ctx context.Context, address string, request, reply wire.Message) error {
	l.network.mu.Lock()
	l.network.sent++
	h := l.network.hosts[address]
	l.network.mu.Unlock()
	if h == nil {
		return fmt.Errorf("no host at %q", address)
	}
	body, err := wire.Encode(request)
	if err != nil {
		return err
	}
	from := wire.Peer{HostID: l.from.ID, Address: l.from.InnerAddress}
	result, err := h.handlers[request.WireType()](ctx, from, wire.Request{Type: request.WireType(), Body: body})
	if err != nil {
		return err
	}
	if body, err = wire.Encode(result); err != nil {
		return err
	}
	return wire.Request{Type: reply.WireType(), Body: body}.Decode(reply)
}

// heartbeatRound makes each host send one heartbeat to its group and contacts.
func (n *network) heartbeatRound() {
	for _, h := range n.hosts {
		h.sendHeartbeats(context.Background())
	}
}

// Guards against hosts of a large fleet that lack the state of others after a second,
// and against a message count that grows with the square of the fleet size.
func TestHeartbeatsReachAllHostsOfLargeFleet(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(99, 6)
	for range 3 {
		n.heartbeatRound()
		time.Sleep(50 * time.Millisecond)
	}
	for id, h := range n.hosts {
		g.Eventually(h.reportedHosts).Should(Equal(98), id)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	g.Expect(n.sent).To(BeNumerically("<=", 3*99*22))
}

// Guards against a notice that does not reach all hosts of a large fleet, even if a
// host that should relay it has crashed.
func TestNoticesReachAllHostsOfLargeFleet(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(60, 3)
	for range 2 {
		n.heartbeatRound()
		time.Sleep(50 * time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for _, h := range n.hosts {
		go h.sendCacheNotices(ctx)
	}
	sender := n.hosts["h000"]
	sender.QueueCacheNotice(balance.CacheNotice{TargetID: "t"})
	layout, addresses := sender.layout()
	for id, h := range n.hosts {
		if h != sender {
			g.Eventually(h.count(&h.cacheNotices)).Should(Equal(1), id)
		}
	}
	unreachable := addresses[layout.Contacts(0)[0].ID]
	n.mu.Lock()
	delete(n.hosts, unreachable)
	n.mu.Unlock()
	sender.BroadcastEngineNotice(ctx, &EngineNotice{TargetID: "t"})
	for id, h := range n.hosts {
		if h != sender {
			g.Expect(h.count(&h.engineNotices)()).To(BeNumerically(">=", 1), id)
		}
	}
}

// Guards against a relayed heartbeat that replaces a newer one, and against one of a
// new incarnation that is ignored because its sequence starts again.
func TestOlderHeartbeatIsIgnored(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(2, 1)
	from := view.Host{ID: "h001", Incarnation: "h001-1"}
	h := n.hosts["h000"]
	h.record(&Heartbeat{From: from, Sequence: 2, Usage: []AccountUsage{{"club", 20}}})
	h.record(&Heartbeat{From: from, Sequence: 1, Usage: []AccountUsage{{"club", 10}}})
	g.Expect(h.totals["h001"]).To(Equal(20.0))
	from.Incarnation = "h001-2"
	h.record(&Heartbeat{From: from, Sequence: 1, Usage: []AccountUsage{{"club", 5}}})
	g.Expect(h.totals["h001"]).To(Equal(5.0))
}

// Guards against a host that requests rows from all its peers because it lags slightly
// behind a table that changes all the time, although it receives each version soon
// after them.
func TestRowsAreRequestedOnlyAfterLagTolerance(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_700_000_000, 0)
	var l lag
	at := func(version uint64) store.Position { return store.Position{Era: 1, Version: version} }
	for version := uint64(10); version < 100; version++ {
		g.Expect(l.due(at(version-2), at(version), now, lagTolerance)).To(BeFalse())
		now = now.Add(100 * time.Millisecond)
	}
	g.Expect(l.due(at(97), at(200), now.Add(lagTolerance), lagTolerance)).To(BeTrue())
	l.fetching = true
	g.Expect(l.due(at(97), at(200), now.Add(2*lagTolerance), lagTolerance)).To(BeFalse())
}

// Guards against a host that does not take rows of a restored store, since their versions
// are lower than those that it has, and against one that keeps a row that the store has lost;
// also if the rows come in several replies.
func TestRowsOfRestoredStoreReachPeers(t *testing.T) {
	for _, valueBytes := range []int{1, maxReplyBytes / 2} {
		g := NewWithT(t)
		n := newNetwork(2, 1)
		informed, behind := n.hosts["h000"], n.hosts["h001"]
		rows := func(era, first uint64, keys ...string) view.PeerRows {
			out := view.PeerRows{After: store.Position{Era: era}, Complete: true}
			for i, key := range keys {
				out.Rows = append(out.Rows, store.Row{Key: key, Value: make([]byte, valueBytes), Version: first + uint64(i), Era: era})
			}
			return out
		}
		behind.view.MergeRows(behind.view.Targets, rows(1, 50, "kept", "lost"), time.Time{})
		informed.view.MergeRows(informed.view.Targets, rows(2, 7, "kept", "new", "newer"), time.Time{})
		var heartbeat Heartbeat
		heartbeat, _ = informed.nextHeartbeat()
		g.Eventually(func() map[string]bool {
			behind.checkLag(t.Context(), &heartbeat)
			present := map[string]bool{}
			for _, r := range behind.view.Targets.RowsAfter(store.Position{Era: 2}).Rows {
				present[r.Key] = !r.Deleted
			}
			return present
		}, "3s", "50ms").Should(Equal(map[string]bool{"kept": true, "lost": false, "new": true, "newer": true}))
		informedBehind, _ := behind.nextHeartbeat()
		informed.checkLag(t.Context(), &informedBehind)
		g.Consistently(func() uint64 { return informed.view.Targets.Newest().Era }, "400ms").Should(BeEquivalentTo(2))
	}
}

// Guards against a host that watches the store but does not push rows to its group, and
// against hosts that keep a gap after they missed a push.
func TestWatcherPushesRowsToGroup(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(60, 3)
	watcher := n.hosts["h000"]
	row := func(version uint64) []store.Row {
		return []store.Row{{Key: fmt.Sprint("t", version), Version: version, Deleted: true}}
	}
	watcher.view.MergeRows(watcher.view.Targets, view.PeerRows{Rows: row(5)}, time.Time{})
	watcher.view.MergeRows(watcher.view.Targets, view.PeerRows{Rows: row(9), After: store.Position{Version: 5}}, time.Time{})
	watcher.pushRows(watcher.view.Targets, store.Position{Version: 5}) // version 5 was missed
	layout, addresses := watcher.layout()
	g.Expect(layout.Direct()).To(BeFalse())
	for _, h := range layout.Group() {
		targets := n.hosts[addresses[h.ID]].view.Targets
		g.Eventually(func() int { return len(targets.RowsAfter(store.Position{}).Rows) }).Should(Equal(2), h.ID)
	}
}
