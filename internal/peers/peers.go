// Package peers exchanges what the hosts of the system know of each other: that they
// live, their load, the use of client accounts, and rows of the store for hosts that
// the store does not answer.
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
)

const (
	// heartbeatInterval is the age that loads and account use reach at peers.
	heartbeatInterval = 250 * time.Millisecond
	callTimeout       = 600 * time.Millisecond
	// liveAge is the silence after which callers are no longer sent to a host.
	liveAge = 1200 * time.Millisecond
	// knownAge is the silence after which a host no longer shares limits.
	knownAge = 10 * time.Second
	// noticeRing bounds the messages that wait to be sent.
	noticeRing = 256
	// sightingsDelay joins sightings that come close together.
	sightingsDelay = 10 * time.Millisecond
	// lagTolerance is how long a host may lag behind a peer before it asks it for
	// rows, so that the store is asked first.
	lagTolerance = 300 * time.Millisecond
	// maxReplyBytes keeps a reply below the limit of a frame.
	maxReplyBytes = 512 << 10
)

// Local is what the rest of the host provides and receives.
type Local interface {
	// Describe fills in a heartbeat.
	Describe() Heartbeat
	// HeardFrom takes a peer's heartbeat.
	HeardFrom(h *Heartbeat)
	// HeardSightings takes a peer's sightings.
	HeardSightings(all []balance.Sighting)
	// HeardNotice takes the notice of an order to a target.
	HeardNotice(n *EngineNotice)
}

// member is what is known of a peer.
type member struct {
	host    view.Host
	heard   time.Time
	ready   bool
	leaving bool
	// behindSince is when this host was first seen to lag behind the peer.
	behindSince time.Time
	asking      bool
}

// Peers runs the exchange.
type Peers struct {
	self   view.Host
	seeds  []string
	caller wire.Caller
	view   *view.View
	local  Local
	log    hclog.Logger

	sightings chan balance.Sighting

	mu      sync.Mutex
	members map[string]*member
}

// New returns peers without members.
func New(self view.Host, seeds []string, caller wire.Caller, v *view.View, local Local, log hclog.Logger) *Peers {
	return &Peers{
		self: self, seeds: seeds, caller: caller, view: v, local: local, log: log,
		sightings: make(chan balance.Sighting, noticeRing),
		members:   map[string]*member{},
	}
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
	r.Handle(wire.TypeSightings, func(_ context.Context, _ wire.Peer, request wire.Request) (wire.Message, error) {
		var s Sightings
		if err := request.Decode(&s); err != nil {
			return nil, err
		}
		p.local.HeardSightings(s.All)
		return &wire.Ack{}, nil
	})
	r.Handle(wire.TypeEngineNotice, func(_ context.Context, _ wire.Peer, request wire.Request) (wire.Message, error) {
		var n EngineNotice
		if err := request.Decode(&n); err != nil {
			return nil, err
		}
		p.local.HeardNotice(&n)
		return &wire.Ack{}, nil
	})
}

// heard notes a heartbeat and replies with the hosts that the sender may lack.
func (p *Peers) heard(ctx context.Context, h *Heartbeat) *HeartbeatReply {
	p.local.HeardFrom(h)
	p.mu.Lock()
	m := p.members[h.From.ID]
	fresh := m == nil || m.host.Incarnation != h.From.Incarnation
	if fresh {
		m = &member{}
		p.members[h.From.ID] = m
	}
	if fresh || time.Since(m.heard) > liveAge {
		p.log.Info("host heard", "host", h.From.ID, "incarnation", h.From.Incarnation, "address", h.From.InnerAddress)
	}
	m.host, m.heard, m.ready, m.leaving = h.From, time.Now(), h.Ready, h.Leaving
	p.mu.Unlock()
	p.compare(ctx, m, h)
	if !fresh {
		return &HeartbeatReply{}
	}
	return &HeartbeatReply{Hosts: p.known()}
}

// known lists the hosts of the store's table and those that were heard.
func (p *Peers) known() []view.Host {
	all := map[string]view.Host{}
	for id, h := range p.view.Snapshot().Hosts {
		all[id] = h
	}
	p.mu.Lock()
	for id, m := range p.members {
		all[id] = m.host
	}
	p.mu.Unlock()
	delete(all, p.self.ID)
	out := make([]view.Host, 0, len(all))
	for _, h := range all {
		out = append(out, h)
	}
	return out
}

// Live lists the hosts that callers may be sent to, without this one.
func (p *Peers) Live() []view.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []view.Host
	for _, m := range p.members {
		if m.ready && !m.leaving && time.Since(m.heard) < liveAge {
			out = append(out, m.host)
		}
	}
	return out
}

// HeardWithin reports whether a host was heard within a time.
func (p *Peers) HeardWithin(id string, age time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[id]
	return m != nil && time.Since(m.heard) < age
}

// Shares returns the number of hosts that share limits, this one included, and the
// part of them that has fallen silent.
func (p *Peers) Shares() (hosts int, silent float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts = 1
	quiet := 0
	for id, m := range p.members {
		age := time.Since(m.heard)
		if age > knownAge || m.leaving && age > liveAge {
			delete(p.members, id)
			continue
		}
		hosts++
		if age > liveAge {
			quiet++
		}
	}
	return hosts, float64(quiet) / float64(hosts)
}

// Run sends heartbeats and sightings until ctx ends.
func (p *Peers) Run(ctx context.Context) error {
	var running sync.WaitGroup
	running.Go(func() { p.sendSightings(ctx) })
	running.Go(func() { clock.Every(ctx, heartbeatInterval, func() { p.beat(ctx) }) })
	running.Wait()
	return nil
}
