package quota

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/sequoiaroad/sequoiaroad/internal/fleet"
	"github.com/sequoiaroad/sequoiaroad/internal/wire"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/placement"
)

func TestQuota(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quota")
}

// testFleet is a set of limiters that call each other in memory. Its clock is the real
// one plus an offset, so that tests need not wait for seconds.
type testFleet struct {
	mu          sync.Mutex
	hosts       map[string]*testHost // by inner address
	clockOffset atomic.Int64
	calls       atomic.Int64
}

type testHost struct {
	fleet        *testFleet
	member       config.Member
	index        atomic.Pointer[config.Index]
	freshUntil   atomic.Int64 // end of the evidence in nanoseconds of the fleet's clock
	down         atomic.Bool  // refuses connections
	unresponsive atomic.Bool  // does not respond
	onApply      func()
	handlers     map[wire.Type]wire.Handler
	limiter      *FleetLimiter
	// lostReturnReplies is the number of following returns whose reply is lost, and
	// droppedReturns that of following returns that are lost themselves.
	lostReturnReplies, droppedReturns atomic.Int64
}

var clockStart = time.Now()

func (f *testFleet) clock() time.Time { return time.Now().Add(time.Duration(f.clockOffset.Load())) }

func (f *testFleet) advance(d time.Duration) { f.clockOffset.Add(int64(d)) }

func newTestFleet(hosts int, o Options) *testFleet {
	f := &testFleet{hosts: map[string]*testHost{}}
	for i := range hosts {
		f.add(fmt.Sprintf("h%d", i), "1", o)
	}
	return f
}

// add starts a host and replaces an earlier one with the same id.
func (f *testFleet) add(id, incarnation string, o Options) *testHost {
	h := &testHost{
		fleet: f, handlers: map[wire.Type]wire.Handler{},
		member: config.Member{
			HostID: id, Incarnation: incarnation, InnerAddress: id + ":1", CallerAddress: id + ":2",
		},
	}
	h.index.Store(config.NewIndex(&config.Document{Revision: 1}))
	o.View, o.Caller, o.Registry, o.Clock = h, h, h, f.clock
	f.mu.Lock()
	f.hosts[h.member.InnerAddress] = h
	f.mu.Unlock()
	h.limiter = New(o)
	return h
}

func (f *testFleet) members() []config.Member {
	var members []config.Member
	for _, h := range f.hosts {
		members = append(members, h.member)
	}
	return members
}

// apply applies a document on all hosts.
func (f *testFleet) apply(d *config.Document) {
	index := config.NewIndex(d)
	for _, h := range f.hosts {
		h.apply(index)
	}
}

// applyReady applies a first document and advances the clock past the wait of its homes
// and the refill of their pools.
func (f *testFleet) applyReady(accounts ...config.Account) *config.Document {
	d := &config.Document{Revision: 2, MembersRevision: 2, Members: f.members(), Accounts: accounts}
	f.apply(d)
	f.advance(time.Hour)
	f.renewFreshness()
	return d
}

func (f *testFleet) renewFreshness() {
	for _, h := range f.hosts {
		h.renewFreshness()
	}
}

// hostsByRank returns all hosts in the order of their rank for an account: the owner, the
// other homes and then the rest.
func (f *testFleet) hostsByRank(accountID string) []*testHost {
	var nodes []placement.Node
	for _, m := range f.members() {
		nodes = append(nodes, placement.Node{ID: m.HostID})
	}
	var ranked []*testHost
	for _, n := range placement.Rank("account/"+accountID, nodes) {
		ranked = append(ranked, f.hosts[n.ID+":1"])
	}
	return ranked
}

func (h *testHost) apply(index *config.Index) {
	h.index.Store(index)
	h.onApply()
}

func (h *testHost) renewFreshness() {
	h.freshUntil.Store(int64(h.fleet.clock().Add(DefaultFreshnessDeadline).Sub(clockStart)))
}

// The following methods implement fleet.View.

func (h *testHost) Index() *config.Index      { return h.index.Load() }
func (h *testHost) Self() config.Member       { return h.member }
func (h *testHost) Fresh() bool               { return h.fleet.clock().Before(h.FreshUntil()) }
func (h *testHost) FreshUntil() time.Time     { return clockStart.Add(time.Duration(h.freshUntil.Load())) }
func (h *testHost) Withdrawn(string) bool     { return false }
func (h *testHost) Hosts() []fleet.HostStatus { return nil }
func (h *testHost) Subscribe(f func())        { h.onApply = f }

// Handle implements wire.Registry.
func (h *testHost) Handle(t wire.Type, handler wire.Handler) { h.handlers[t] = handler }

// Call implements wire.Caller.
func (h *testHost) Call(ctx context.Context, address string, request, reply wire.Message) error {
	h.fleet.calls.Add(1)
	h.fleet.mu.Lock()
	peer := h.fleet.hosts[address]
	h.fleet.mu.Unlock()
	if peer == nil || peer.down.Load() || h.down.Load() {
		return errors.New("connection refused")
	}
	if peer.unresponsive.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	isReturn := request.WireType() == wire.TypeGrantReturn
	if isReturn && h.droppedReturns.Add(-1) >= 0 {
		return errors.New("connection reset")
	}
	body, err := msgpack.Marshal(request)
	if err != nil {
		return err
	}
	from := wire.Peer{HostID: h.member.HostID, Incarnation: h.member.Incarnation}
	handlerReply, err := peer.handlers[request.WireType()](ctx, from, wire.Request{Type: request.WireType(), Body: body})
	if err != nil {
		return err
	}
	if isReturn && h.lostReturnReplies.Add(-1) >= 0 {
		return errors.New("connection reset")
	}
	if handlerReply.WireType() != reply.WireType() {
		return errors.Errorf("reply has type %d", handlerReply.WireType())
	}
	if body, err = msgpack.Marshal(handlerReply); err != nil {
		return err
	}
	return msgpack.Unmarshal(body, reply)
}
