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
)

// network carries messages between the peers of a test and counts those sent.
type network struct {
	mu    sync.Mutex
	hosts map[string]*testHost
	sent  int
}

// testHost is one host: its peers and what they were told.
type testHost struct {
	*Peers
	handlers map[wire.Type]wire.Handler

	mu           sync.Mutex
	totals       map[string]float64
	cacheNotices int
	notices      int
}

// Handle implements wire.Registry.
func (h *testHost) Handle(t wire.Type, f wire.Handler) { h.handlers[t] = f }

func (h *testHost) Describe() Heartbeat {
	return Heartbeat{Ready: true, Use: []AccountUse{{"club", 1}}}
}

func (h *testHost) HeardFrom(b *Heartbeat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.totals[b.From.ID] = b.Use[0].Total
}

func (h *testHost) HeardCacheNotices(all []balance.CacheNotice) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cacheNotices += len(all)
}

func (h *testHost) HeardNotice(*EngineNotice) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notices++
}

func (h *testHost) heardOf() int {
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

// newNetwork starts n hosts that know each other from the store's table.
func newNetwork(n, zones int) *network {
	w := &network{hosts: map[string]*testHost{}}
	all := make([]view.Host, n)
	for i := range all {
		id := fmt.Sprintf("h%03d", i)
		all[i] = view.Host{ID: id, Incarnation: id + "-1", Zone: fmt.Sprint("z", i%zones), InnerAddress: id}
	}
	for _, self := range all {
		w.start(self, all)
	}
	return w
}

func (w *network) start(self view.Host, all []view.Host) *testHost {
	h := &testHost{handlers: map[wire.Type]wire.Handler{}, totals: map[string]float64{}}
	v := view.New(nil, view.Decoder{}, hclog.NewNullLogger())
	h.Peers = New(self, nil, &link{w, self}, v, h, hclog.NewNullLogger())
	h.members.learn(all, self.ID, time.Now())
	h.Register(h)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts[self.InnerAddress] = h
	return h
}

// link is the caller of one host.
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
	answer, err := h.handlers[request.WireType()](ctx, from, wire.Request{Type: request.WireType(), Body: body})
	if err != nil {
		return err
	}
	if body, err = wire.Encode(answer); err != nil {
		return err
	}
	return wire.Request{Type: reply.WireType(), Body: body}.Decode(reply)
}

// round lets each host send one heartbeat.
func (w *network) round() {
	for _, h := range w.hosts {
		h.beat(context.Background())
	}
}

// Guards against hosts that don't learn the state of all others within a second in a
// large fleet, and against messages that grow with the square of the fleet.
func TestLargeFleetLearnsEachState(t *testing.T) {
	g := NewWithT(t)
	w := newNetwork(99, 6)
	for range 3 {
		w.round()
		time.Sleep(50 * time.Millisecond)
	}
	for id, h := range w.hosts {
		g.Eventually(h.heardOf).Should(Equal(98), id)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	g.Expect(w.sent).To(BeNumerically("<=", 3*99*22))
}

// Guards against a notice that some hosts miss in a large fleet, also when
// a host that should pass it on has died.
func TestNoticesReachALargeFleet(t *testing.T) {
	g := NewWithT(t)
	w := newNetwork(60, 3)
	for range 2 {
		w.round()
		time.Sleep(50 * time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for _, h := range w.hosts {
		go h.sendCacheNotices(ctx)
	}
	sender := w.hosts["h000"]
	sender.Tell(balance.CacheNotice{TargetID: "t"})
	layout, addresses := sender.layout()
	for id, h := range w.hosts {
		if h != sender {
			g.Eventually(h.count(&h.cacheNotices)).Should(Equal(1), id)
		}
	}
	lost := addresses[layout.Contacts(0)[0].ID]
	w.mu.Lock()
	delete(w.hosts, lost)
	w.mu.Unlock()
	sender.Notify(ctx, &EngineNotice{TargetID: "t"})
	for id, h := range w.hosts {
		if h != sender {
			g.Expect(h.count(&h.notices)()).To(BeNumerically(">=", 1), id)
		}
	}
}

// Guards against a heartbeat that was passed on and replaces a newer one.
func TestOlderHeartbeatIsNotNoted(t *testing.T) {
	g := NewWithT(t)
	w := newNetwork(2, 1)
	from := view.Host{ID: "h001", Incarnation: "h001-1"}
	h := w.hosts["h000"]
	h.note(&Heartbeat{From: from, Sequence: 2, Use: []AccountUse{{"club", 20}}})
	h.note(&Heartbeat{From: from, Sequence: 1, Use: []AccountUse{{"club", 10}}})
	g.Expect(h.totals["h001"]).To(Equal(20.0))
	from.Incarnation = "h001-2"
	h.note(&Heartbeat{From: from, Sequence: 1, Use: []AccountUse{{"club", 5}}})
	g.Expect(h.totals["h001"]).To(Equal(5.0))
}

// Guards against a table that changes all the time, for which a host that is a little
// behind asks all its peers, although it has each version soon after them.
func TestRowsAreAskedForOnlyIfTheyStayAway(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_700_000_000, 0)
	var l lag
	for version := uint64(10); version < 100; version++ {
		g.Expect(l.due(version-2, version, now, lagTolerance)).To(BeFalse())
		now = now.Add(100 * time.Millisecond)
	}
	g.Expect(l.due(97, 200, now.Add(lagTolerance), lagTolerance)).To(BeTrue())
	l.asking = true
	g.Expect(l.due(97, 200, now.Add(2*lagTolerance), lagTolerance)).To(BeFalse())
}

// Guards against a group that does not learn what its follower read, and against one
// whose hosts keep a gap after they missed a message.
func TestFollowerTellsItsGroup(t *testing.T) {
	g := NewWithT(t)
	w := newNetwork(60, 3)
	follower := w.hosts["h000"]
	row := func(version uint64) []store.Row {
		return []store.Row{{Key: fmt.Sprint("t", version), Version: version, Deleted: true}}
	}
	follower.view.Merge(follower.view.Targets, row(5), 0, time.Time{})
	follower.view.Merge(follower.view.Targets, row(9), 5, time.Time{})
	follower.push(follower.view.Targets, 5) // version 5 was missed
	layout, addresses := follower.layout()
	g.Expect(layout.Direct()).To(BeFalse())
	for _, h := range layout.Group() {
		targets := w.hosts[addresses[h.ID]].view.Targets
		g.Eventually(func() int { return len(targets.After(0)) }).Should(Equal(2), h.ID)
	}
}
