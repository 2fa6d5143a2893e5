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
	"github.com/sequoiaroad/sequoiaroad/policy/balance"
	"github.com/sequoiaroad/sequoiaroad/policy/exchange"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

// network delivers messages between the hosts of a test and counts those sent. Its clock
// advances by the interval of rounds with each round, whatever time a round takes.
type network struct {
	mu    sync.Mutex
	hosts map[string]*testHost
	sent  int
	clock time.Time
}

func (n *network) now() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.clock
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
	used          float64
	cacheNotices  int
	engineNotices int
}

// Handle implements wire.Registry.
func (h *testHost) Handle(t wire.Type, f wire.Handler) { h.handlers[t] = f }

func (h *testHost) LocalState() exchange.Local {
	return exchange.Local{Status: exchange.Ready, Usage: map[string]float64{"club": 1}}
}

func (h *testHost) HandleLearned(l *exchange.Learned) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, u := range l.Usage {
		h.used += u.Amount
	}
	h.cacheNotices += len(l.Notices)
}

func (h *testHost) QuarantineDigest() uint64 { return 0 }

func (h *testHost) HandleQuarantineDigest(uint64) {}

func (h *testHost) HandleQuarantineNotice(*QuarantineNotice) {}

func (h *testHost) HandleEngineNotice(*EngineNotice) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.engineNotices++
}

// usedByOthers returns what the host has been told that others have admitted.
func (h *testHost) usedByOthers() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.used
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
	n := &network{hosts: map[string]*testHost{}, clock: time.Unix(1_700_000_000, 0)}
	all := make([]view.Host, count)
	for i := range all {
		id := fmt.Sprintf("h%03d", i)
		all[i] = view.Host{Host: exchange.Host{ID: id, Incarnation: id + "-1", Zone: fmt.Sprint("z", i%zones), InnerAddress: id}}
	}
	for _, self := range all {
		n.start(self, all)
	}
	return n
}

func (n *network) start(self view.Host, all []view.Host) *testHost {
	h := &testHost{handlers: map[wire.Type]wire.Handler{}}
	v := view.New(nil, testDecoder, hclog.NewNullLogger())
	h.Exchange = newWithClock(self, nil, &link{n, self}, v, h, hclog.NewNullLogger(), n.now)
	for _, other := range all {
		h.node.AddHost(other.Host, n.now())
	}
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
	from := wire.Peer{HostID: l.from.ID, Incarnation: l.from.Incarnation, Address: l.from.InnerAddress}
	result, err := h.handlers[request.WireType()](ctx, from, wire.Request{Type: request.WireType(), Body: body})
	if err != nil {
		return err
	}
	if body, err = wire.Encode(result); err != nil {
		return err
	}
	return wire.Request{Type: reply.WireType(), Body: body}.Decode(reply)
}

// rounds makes the hosts run some rounds.
func (n *network) rounds(count int) {
	for range count {
		for _, h := range n.hosts {
			h.round(context.Background())
		}
		time.Sleep(50 * time.Millisecond) // reports and their replies are delivered meanwhile
		n.mu.Lock()
		n.clock = n.clock.Add(exchange.RoundInterval)
		n.mu.Unlock()
	}
}

// Guards against hosts of a large fleet that lack the state of others after some rounds,
// and against a message count that grows with the square of the fleet size.
func TestStateReachesAllHostsOfLargeFleet(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(99, 6)
	n.rounds(12)
	for id, h := range n.hosts {
		g.Expect(h.usedByOthers()).To(Equal(98.0), id)
		hosts, unresponsive := h.CountHosts()
		g.Expect(hosts).To(Equal(99), id)
		g.Expect(unresponsive).To(BeZero(), id)
	}
	n.mu.Lock()
	n.sent = 0
	n.mu.Unlock()
	n.rounds(4)
	n.mu.Lock()
	defer n.mu.Unlock()
	g.Expect(n.sent).To(BeNumerically("<=", 4*(99+6*6)))
}

// Guards against a notice that does not reach all hosts of a large fleet, even if a
// host that should relay it has crashed.
func TestNoticesReachAllHostsOfLargeFleet(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(60, 3)
	n.rounds(12)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	sender := n.hosts["h000"]
	sender.QueueCacheNotice(balance.CacheNotice{TargetID: "t"})
	n.rounds(4)
	for id, h := range n.hosts {
		if h != sender {
			g.Expect(h.count(&h.cacheNotices)()).To(Equal(1), id)
		}
	}
	sender.Exchange.mu.Lock()
	_, others := sender.node.NoticeRoutes(n.now())
	sender.Exchange.mu.Unlock()
	n.mu.Lock()
	delete(n.hosts, others[0][0].InnerAddress)
	n.mu.Unlock()
	sender.BroadcastEngineNotice(ctx, &EngineNotice{TargetID: "t"})
	for id, h := range n.hosts {
		if h != sender {
			g.Expect(h.count(&h.engineNotices)()).To(BeNumerically(">=", 1), id)
		}
	}
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
		versions := informed.versions()
		g.Eventually(func() map[string]bool {
			behind.checkLag(t.Context(), informed.self.Host, &versions)
			present := map[string]bool{}
			for _, r := range behind.view.Targets.RowsAfter(store.Position{Era: 2}).Rows {
				present[r.Key] = !r.Deleted
			}
			return present
		}, "3s", "50ms").Should(Equal(map[string]bool{"kept": true, "lost": false, "new": true, "newer": true}))
		behindVersions := behind.versions()
		informed.checkLag(t.Context(), behind.self.Host, &behindVersions)
		g.Consistently(func() uint64 { return informed.view.Targets.Newest().Era }, "400ms").Should(BeEquivalentTo(2))
	}
}

// Guards against a hub that watches the store but does not push rows to the hosts that report
// to it, and against hosts that keep a gap after they missed a push.
func TestHubPushesRowsToItsMembers(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(60, 3)
	n.rounds(12)
	var hub *testHost
	for _, h := range n.hosts {
		if h.watchesStore() {
			hub = h
		}
	}
	row := func(version uint64) []store.Row {
		return []store.Row{{Key: fmt.Sprint("t", version), Version: version, Deleted: true}}
	}
	hub.view.MergeRows(hub.view.Targets, view.PeerRows{Rows: row(5)}, time.Time{})
	hub.view.MergeRows(hub.view.Targets, view.PeerRows{Rows: row(9), After: store.Position{Version: 5}}, time.Time{})
	hub.pushRows(hub.view.Targets, store.Position{Version: 5}) // version 5 was missed
	hub.Exchange.mu.Lock()
	members := hub.node.Members()
	hub.Exchange.mu.Unlock()
	g.Expect(members).To(HaveLen(19))
	for _, h := range members {
		targets := n.hosts[h.InnerAddress].view.Targets
		g.Eventually(func() int { return len(targets.RowsAfter(store.Position{}).Rows) }).Should(Equal(2), h.ID)
	}
}
