package peers

import (
	"context"
	"sync"
	"time"

	"github.com/sequoiaroad/sequoiaroad/internal/clock"
	"github.com/sequoiaroad/sequoiaroad/internal/wire"
	"github.com/sequoiaroad/sequoiaroad/policy/balance"
)

func (p *Peers) addresses() []string {
	seen := map[string]bool{p.self.InnerAddress: true}
	var out []string
	add := func(address string) {
		if address != "" && !seen[address] {
			seen[address] = true
			out = append(out, address)
		}
	}
	for _, h := range p.known() {
		add(h.InnerAddress)
	}
	if len(out) == 0 {
		for _, address := range p.seeds {
			add(address)
		}
	}
	return out
}

func (p *Peers) beat(ctx context.Context) {
	h := p.local.Describe()
	h.From = p.self
	h.Operator, h.Targets = p.view.Operator.Newest(), p.view.Targets.Newest()
	for _, address := range p.addresses() {
		go p.beatOne(ctx, address, &h)
	}
}

func (p *Peers) beatOne(ctx context.Context, address string, h *Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply HeartbeatReply
	if err := p.caller.Call(ctx, address, h, &reply); err != nil {
		p.log.Debug("heartbeat was not answered", "address", address, "error", err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, host := range reply.Hosts {
		if host.ID != p.self.ID && p.members[host.ID] == nil {
			p.members[host.ID] = &member{host: host, heard: time.Now()}
		}
	}
}

// Broadcast sends a message to all live hosts and returns once each has answered or
// the context ends.
func (p *Peers) Broadcast(ctx context.Context, m wire.Message) {
	var running sync.WaitGroup
	for _, h := range p.Live() {
		running.Go(func() {
			if err := p.caller.Call(ctx, h.InnerAddress, m, &wire.Ack{}); err != nil {
				p.log.Debug("host did not take a notice", "host", h.ID, "type", m.WireType(), "error", err)
			}
		})
	}
	running.Wait()
}

// Tell passes a sighting on to the peers; it is dropped if too many wait.
func (p *Peers) Tell(s balance.Sighting) {
	select {
	case p.sightings <- s:
	default:
		p.log.Warn("sighting dropped; the ring is full", "target", s.TargetID)
	}
}

func (p *Peers) sendSightings(ctx context.Context) {
	for {
		var batch Sightings
		select {
		case <-ctx.Done():
			return
		case s := <-p.sightings:
			batch.All = append(batch.All, s)
		}
		clock.Sleep(ctx, sightingsDelay)
		for more := true; more; {
			select {
			case s := <-p.sightings:
				batch.All = append(batch.All, s)
			default:
				more = false
			}
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		go func() {
			defer cancel()
			p.Broadcast(callCtx, &batch)
		}()
	}
}
