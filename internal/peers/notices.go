package peers

import (
	"context"
	"sync"
	"time"

	"github.com/sequoiaroad/sequoiaroad/internal/clock"
	"github.com/sequoiaroad/sequoiaroad/internal/wire"
	"github.com/sequoiaroad/sequoiaroad/policy/balance"
	"github.com/sequoiaroad/sequoiaroad/policy/spread"
)

const (
	// cacheNoticesDelay joins notices that come close together, and passDelay those of
	// a fleet in which hosts pass them on.
	cacheNoticesDelay = 10 * time.Millisecond
	passDelay         = 60 * time.Millisecond
)

// tell sends a message to hosts and waits for their answers.
func (p *Peers) tell(ctx context.Context, hosts []spread.Host, addresses map[string]string, m wire.Message) {
	var running sync.WaitGroup
	for _, h := range hosts {
		running.Go(func() {
			if err := p.caller.Call(ctx, addresses[h.ID], m, &wire.Ack{}); err != nil {
				p.log.Debug("host did not take a notice", "host", h.ID, "type", m.WireType(), "error", err)
			}
		})
	}
	running.Wait()
}

func heard(hosts []spread.Host) []spread.Host {
	var out []spread.Host
	for _, h := range hosts {
		if !h.Unresponsive {
			out = append(out, h)
		}
	}
	return out
}

// Notify tells all hosts of an order to a target, and waits until they have taken it or
// ctx ends. Two contacts in each group pass it on, since none is told a second time.
func (p *Peers) Notify(ctx context.Context, n *EngineNotice) {
	layout, addresses := p.layout()
	toContact := *n
	toContact.PassOn = true
	var running sync.WaitGroup
	running.Go(func() { p.tell(ctx, heard(layout.Group()), addresses, n) })
	for round := range uint64(2) {
		running.Go(func() { p.tell(ctx, heard(layout.Contacts(round)), addresses, &toContact) })
	}
	running.Wait()
}

func (p *Peers) heardNotice(ctx context.Context, n *EngineNotice) {
	p.local.HeardNotice(n)
	if !n.PassOn {
		return
	}
	n.PassOn = false
	layout, addresses := p.layout()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p.tell(ctx, heard(layout.Group()), addresses, n)
}

// Tell queues a notice of cached parts for the peers.
func (p *Peers) Tell(s balance.CacheNotice) { p.queue(p.cacheNotices, s) }

func (p *Peers) queue(ring chan balance.CacheNotice, s balance.CacheNotice) {
	select {
	case ring <- s:
	default:
		p.log.Warn("notice of cached parts dropped; the ring is full", "target", s.TargetID)
	}
}

func (p *Peers) heardCacheNotices(s *CacheNotices) {
	p.local.HeardCacheNotices(s.All)
	if !s.PassOn {
		return
	}
	for _, one := range s.All {
		p.queue(p.passedNotices, one)
	}
}

// drain takes what waits in a ring.
func drain(ring chan balance.CacheNotice) []balance.CacheNotice {
	var out []balance.CacheNotice
	for {
		select {
		case s := <-ring:
			out = append(out, s)
		default:
			return out
		}
	}
}

func (p *Peers) sendCacheNotices(ctx context.Context) {
	delay := cacheNoticesDelay
	for {
		var own, passed []balance.CacheNotice
		select {
		case <-ctx.Done():
			return
		case s := <-p.cacheNotices:
			own = append(own, s)
		case s := <-p.passedNotices:
			passed = append(passed, s)
		}
		clock.Sleep(ctx, delay)
		own, passed = append(own, drain(p.cacheNotices)...), append(passed, drain(p.passedNotices)...)
		layout, addresses := p.layout()
		delay = cacheNoticesDelay
		if !layout.Direct() {
			delay = passDelay
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		go func() {
			defer cancel()
			p.spreadCacheNotices(callCtx, layout, addresses, own, passed)
		}()
	}
}

// spreadCacheNotices tells the group all, and the contacts those of this host.
func (p *Peers) spreadCacheNotices(ctx context.Context, layout *spread.Layout, addresses map[string]string, own, passed []balance.CacheNotice) {
	var running sync.WaitGroup
	running.Go(func() {
		p.tell(ctx, heard(layout.Group()), addresses, &CacheNotices{All: append(passed, own...)})
	})
	if len(own) > 0 {
		p.tell(ctx, heard(layout.Contacts(uint64(time.Now().UnixNano()))), addresses, &CacheNotices{All: own, PassOn: true})
	}
	running.Wait()
}
