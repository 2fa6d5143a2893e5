// Package peers exchanges what the hosts of the system know of each other: that they
// live, their load, the use of client accounts, and rows of the store for hosts that
// the store does not answer. In a large fleet hosts pass on what others tell them, as
// package spread lays out.
package peers

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/sequoiaroad/sequoiaroad/internal/clock"
	"github.com/sequoiaroad/sequoiaroad/internal/view"
	"github.com/sequoiaroad/sequoiaroad/internal/wire"
	"github.com/sequoiaroad/sequoiaroad/policy/balance"
	"github.com/sequoiaroad/sequoiaroad/policy/spread"
)

const (
	// heartbeatInterval is the age that loads and account use reach at peers.
	heartbeatInterval = 250 * time.Millisecond
	callTimeout       = 600 * time.Millisecond
	// liveAge is the silence after which callers are no longer sent to a host.
	liveAge = 1200 * time.Millisecond
	// knownAge is the silence after which a host no longer shares limits.
	knownAge = 10 * time.Second
	// sharesAge is how long a count of the hosts holds.
	sharesAge = 20 * time.Millisecond
	// noticeRing bounds the messages that wait to be sent.
	noticeRing = 256
	// lagTolerance is how long a host may lag behind a peer before it asks it for
	// rows, so that the store is asked first.
	lagTolerance = 300 * time.Millisecond
	// maxReplyBytes keeps a reply below the limit of a frame.
	maxReplyBytes = 512 << 10
	// rowOverhead is about what the fields of a row take besides key and value.
	rowOverhead = 32
)

// Local is what the rest of the host provides and receives.
type Local interface {
	// Describe fills in a heartbeat.
	Describe() Heartbeat
	// HeardFrom takes a peer's heartbeat.
	HeardFrom(h *Heartbeat)
	// HeardCacheNotices takes a peer's notices of cached parts.
	HeardCacheNotices(all []balance.CacheNotice)
	// HeardNotice takes the notice of an order to a target.
	HeardNotice(n *EngineNotice)
}

// Peers runs the exchange.
type Peers struct {
	self    view.Host
	seeds   []string
	caller  wire.Caller
	view    *view.View
	local   Local
	log     hclog.Logger
	members *members
	// cacheNotices are those of this host, passedNotices those to pass on to its group.
	cacheNotices, passedNotices chan balance.CacheNotice

	mu       sync.Mutex
	sequence uint64
	// passed holds the heartbeats to pass on to the group, by host.
	passed map[string]Heartbeat
	// lags says by table how far this host is behind.
	lags map[string]*lag
}

// New returns peers without members.
func New(self view.Host, seeds []string, caller wire.Caller, v *view.View, local Local, log hclog.Logger) *Peers {
	p := &Peers{
		self: self, seeds: seeds, caller: caller, view: v, local: local, log: log, members: newMembers(),
		cacheNotices: make(chan balance.CacheNotice, noticeRing), passedNotices: make(chan balance.CacheNotice, noticeRing),
		passed: map[string]Heartbeat{},
		lags:   map[string]*lag{operatorTable: {}, targetTable: {}},
	}
	v.Share(p.follows, p.push)
	return p
}

// Register adds the handlers of requests from peers.
func (p *Peers) Register(r wire.Registry) {
	r.Handle(wire.TypeHeartbeat, func(ctx context.Context, _ wire.Peer, request wire.Request) (wire.Message, error) {
		var h Heartbeat
		if err := request.Decode(&h); err != nil {
			return nil, err
		}
		return p.heard(ctx, &h), nil
	})
	r.Handle(wire.TypeRowsRequest, func(_ context.Context, _ wire.Peer, request wire.Request) (wire.Message, error) {
		var q RowsRequest
		if err := request.Decode(&q); err != nil {
			return nil, err
		}
		return p.rows(&q), nil
	})
	r.Handle(wire.TypeRowsPush, func(ctx context.Context, from wire.Peer, request wire.Request) (wire.Message, error) {
		var m RowsPush
		if err := request.Decode(&m); err != nil {
			return nil, err
		}
		p.heardRows(ctx, from, &m)
		return &wire.Ack{}, nil
	})
	r.Handle(wire.TypeCacheNotices, func(_ context.Context, _ wire.Peer, request wire.Request) (wire.Message, error) {
		var s CacheNotices
		if err := request.Decode(&s); err != nil {
			return nil, err
		}
		p.heardCacheNotices(&s)
		return &wire.Ack{}, nil
	})
	r.Handle(wire.TypeEngineNotice, func(ctx context.Context, _ wire.Peer, request wire.Request) (wire.Message, error) {
		var n EngineNotice
		if err := request.Decode(&n); err != nil {
			return nil, err
		}
		p.heardNotice(ctx, &n)
		return &wire.Ack{}, nil
	})
}

// known lists the hosts of the store's table and those that were heard, and whether
// each is silent or cut from the store.
func (p *Peers) known() map[view.Host]condition {
	heard := p.members.all(time.Now())
	ids := make(map[string]bool, len(heard))
	for h := range heard {
		ids[h.ID] = true
	}
	for id, h := range p.view.Snapshot().Hosts {
		if !ids[id] && id != p.self.ID {
			heard[h] = condition{silent: true}
		}
	}
	return heard
}

// layout groups the known hosts, and returns their addresses by id.
func (p *Peers) layout() (*spread.Layout, map[string]string) {
	var others []spread.Host
	addresses := map[string]string{}
	for h, state := range p.known() {
		others = append(others, spread.Host{ID: h.ID, Zone: h.Zone, Unresponsive: state.silent, StoreUnreachable: state.cut})
		addresses[h.ID] = h.InnerAddress
	}
	return spread.NewLayout(spread.Host{ID: p.self.ID, Zone: p.self.Zone, StoreUnreachable: p.view.Cut()}, others), addresses
}

// follows reports whether this host follows the store.
func (p *Peers) follows() bool {
	layout, _ := p.layout()
	return layout.WatchesStore()
}

// Live lists the hosts that callers may be sent to, without this one.
func (p *Peers) Live() []view.Host { return p.members.live(time.Now()) }

// HeardWithin reports whether a host was heard within a time.
func (p *Peers) HeardWithin(id string, age time.Duration) bool {
	return p.members.heardWithin(id, age, time.Now())
}

// Shares returns the number of hosts that share limits, this one included, and the
// part of them that has fallen silent.
func (p *Peers) Shares() (hosts int, silent float64) {
	s := p.members.share(time.Now())
	return s.hosts, s.silent
}

// Run sends heartbeats and notices of cached parts until ctx ends.
func (p *Peers) Run(ctx context.Context) error {
	var running sync.WaitGroup
	running.Go(func() { p.sendCacheNotices(ctx) })
	running.Go(func() { clock.Every(ctx, heartbeatInterval, func() { p.beat(ctx) }) })
	running.Wait()
	return nil
}
