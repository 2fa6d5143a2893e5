// Package peers exchanges state among the hosts of the system: heartbeats, load, the
// usage of client accounts, cache notices, and rows of the store for hosts that the
// store does not respond to. In a large fleet hosts relay messages, as package fanout
// lays out.
package peers

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/sequoiaroad/sequoiaroad/internal/clock"
	"github.com/sequoiaroad/sequoiaroad/internal/view"
	"github.com/sequoiaroad/sequoiaroad/internal/wire"
	"github.com/sequoiaroad/sequoiaroad/policy/backpressure"
	"github.com/sequoiaroad/sequoiaroad/policy/balance"
	"github.com/sequoiaroad/sequoiaroad/policy/fanout"
)

const (
	// heartbeatInterval is the interval between heartbeats, and so the age that loads
	// and account usage reach at peers.
	heartbeatInterval = 250 * time.Millisecond
	callTimeout       = 600 * time.Millisecond
	// liveTimeout is the time without a heartbeat after which callers are no longer
	// directed to a host.
	liveTimeout = 1200 * time.Millisecond
	// peerTimeout is the time without a heartbeat after which a host no longer shares
	// limits.
	peerTimeout = 10 * time.Second
	// hostCountTTL is how long a count of the hosts is cached.
	hostCountTTL = 20 * time.Millisecond
	// noticeQueueSize bounds the notices that wait to be sent.
	noticeQueueSize = 256
	// lagTolerance is how long a host may lag behind a peer before it requests rows
	// from that peer, so that rows come from the store if it responds.
	lagTolerance = 300 * time.Millisecond
	// maxReplyBytes keeps a reply below the frame size limit.
	maxReplyBytes = 512 << 10
	// rowOverhead is the approximate encoded size of a row without key and value.
	rowOverhead = 32
)

// LocalHost provides the state of this host and handles messages of peers.
type LocalHost interface {
	// LocalState returns a heartbeat with the state of this host.
	LocalState() Heartbeat
	// HandleHeartbeat handles a peer's heartbeat.
	HandleHeartbeat(h *Heartbeat)
	// AllLimits returns all limits that targets have named, for a host that has just
	// started.
	AllLimits() []backpressure.Report
	// HandleLimits handles limits of targets that a peer reports.
	HandleLimits(reports []backpressure.Report)
	// HandleCacheNotices handles cache notices of a peer.
	HandleCacheNotices(notices []balance.CacheNotice)
	// HandleEngineNotice handles the notice of an order to a target.
	HandleEngineNotice(n *EngineNotice)
	// HandleQuarantineNotice handles a peer's notice of crashes of targets.
	HandleQuarantineNotice(n *QuarantineNotice)
}

// Exchange sends the state of this host to the other hosts and receives theirs.
type Exchange struct {
	self   view.Host
	seeds  []string
	caller wire.Caller
	view   *view.View
	local  LocalHost
	log    hclog.Logger
	peers  *peerTable
	// ownNotices holds notices of this host, relayNotices those to relay to its group.
	ownNotices, relayNotices chan balance.CacheNotice

	mu       sync.Mutex
	sequence uint64
	// pendingRelays holds the heartbeats to relay to the group, by host.
	pendingRelays map[string]Heartbeat
	// lags holds, by table, how far this host lags behind its peers.
	lags map[string]*lag
}

// New returns an exchange that has recorded no other host.
func New(self view.Host, seeds []string, caller wire.Caller, v *view.View, local LocalHost, log hclog.Logger) *Exchange {
	e := &Exchange{
		self: self, seeds: seeds, caller: caller, view: v, local: local, log: log, peers: newPeerTable(),
		ownNotices: make(chan balance.CacheNotice, noticeQueueSize), relayNotices: make(chan balance.CacheNotice, noticeQueueSize),
		pendingRelays: map[string]Heartbeat{},
		lags:          map[string]*lag{operatorTable: {}, targetTable: {}, documentsInForce: {}},
	}
	v.ConfigureSharing(e.watchesStore, e.pushRows)
	return e
}

// Register registers the handlers of messages from peers.
func (e *Exchange) Register(r wire.Registry) {
	r.Handle(wire.TypeHeartbeat, func(ctx context.Context, _ wire.Peer, request wire.Request) (wire.Message, error) {
		var h Heartbeat
		if err := request.Decode(&h); err != nil {
			return nil, err
		}
		return e.handleHeartbeat(ctx, &h), nil
	})
	r.Handle(wire.TypeRowsRequest, func(_ context.Context, _ wire.Peer, request wire.Request) (wire.Message, error) {
		var q RowsRequest
		if err := request.Decode(&q); err != nil {
			return nil, err
		}
		return e.handleRowsRequest(&q), nil
	})
	r.Handle(wire.TypeRowsPush, func(ctx context.Context, from wire.Peer, request wire.Request) (wire.Message, error) {
		var m RowsPush
		if err := request.Decode(&m); err != nil {
			return nil, err
		}
		e.handleRowsPush(ctx, from, &m)
		return &wire.Ack{}, nil
	})
	r.Handle(wire.TypeCacheNotices, func(_ context.Context, _ wire.Peer, request wire.Request) (wire.Message, error) {
		var notices CacheNotices
		if err := request.Decode(&notices); err != nil {
			return nil, err
		}
		e.handleCacheNotices(&notices)
		return &wire.Ack{}, nil
	})
	r.Handle(wire.TypeEngineNotice, func(ctx context.Context, _ wire.Peer, request wire.Request) (wire.Message, error) {
		var n EngineNotice
		if err := request.Decode(&n); err != nil {
			return nil, err
		}
		e.handleEngineNotice(ctx, &n)
		return &wire.Ack{}, nil
	})
	r.Handle(wire.TypeQuarantineNotice, func(ctx context.Context, _ wire.Peer, request wire.Request) (wire.Message, error) {
		var n QuarantineNotice
		if err := request.Decode(&n); err != nil {
			return nil, err
		}
		e.handleQuarantineNotice(ctx, &n)
		return &wire.Ack{}, nil
	})
}

// knownHosts returns the recorded hosts and those of the store's table, with their
// states. Hosts that are only in the table count as unresponsive.
func (e *Exchange) knownHosts() map[view.Host]hostState {
	states := e.peers.states(time.Now())
	ids := make(map[string]bool, len(states))
	for h := range states {
		ids[h.ID] = true
	}
	for id, h := range e.view.Snapshot().Hosts {
		if !ids[id] && id != e.self.ID {
			states[h] = hostState{unresponsive: true}
		}
	}
	return states
}

// layout groups the known hosts, and returns their inner addresses by ID.
func (e *Exchange) layout() (*fanout.Layout, map[string]string) {
	var others []fanout.Host
	addresses := map[string]string{}
	for h, state := range e.knownHosts() {
		others = append(others, fanout.Host{ID: h.ID, Zone: h.Zone, Unresponsive: state.unresponsive, StoreUnreachable: state.storeUnreachable})
		addresses[h.ID] = h.InnerAddress
	}
	return fanout.NewLayout(fanout.Host{ID: e.self.ID, Zone: e.self.Zone, StoreUnreachable: e.view.StoreUnreachable()}, others), addresses
}

// watchesStore reports whether this host watches the store for its group.
func (e *Exchange) watchesStore() bool {
	layout, _ := e.layout()
	return layout.WatchesStore()
}

// Live returns the hosts to which callers may be directed, without this one.
func (e *Exchange) Live() []view.Host { return e.peers.live(time.Now()) }

// ContactedWithin reports whether the last contact of a host is more recent than age.
func (e *Exchange) ContactedWithin(id string, age time.Duration) bool {
	return e.peers.contactedWithin(id, age, time.Now())
}

// HostIDs returns the hosts that respond, including this one.
func (e *Exchange) HostIDs() []string { return append(e.peers.responsive(time.Now()), e.self.ID) }

// CountHosts returns the number of hosts that share limits, including this one, and the
// share of them that is unresponsive.
func (e *Exchange) CountHosts() (hosts int, unresponsiveShare float64) {
	count := e.peers.countHosts(time.Now())
	return count.hosts, count.unresponsiveShare
}

// Run sends heartbeats and cache notices until ctx ends. The first heartbeat is sent at
// once, since its reply tells a new process which hosts and limits there are.
func (e *Exchange) Run(ctx context.Context) error {
	e.sendHeartbeats(ctx)
	var running sync.WaitGroup
	running.Go(func() { e.sendCacheNotices(ctx) })
	running.Go(func() { clock.Every(ctx, heartbeatInterval, func() { e.sendHeartbeats(ctx) }) })
	running.Wait()
	return nil
}
