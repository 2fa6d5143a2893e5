package peers

import (
	"context"
	"sync"
	"time"

	"github.com/sequoiaroad/sequoiaroad/internal/clock"
	"github.com/sequoiaroad/sequoiaroad/internal/wire"
	"github.com/sequoiaroad/sequoiaroad/policy/balance"
	"github.com/sequoiaroad/sequoiaroad/policy/fanout"
)

const (
	// noticeBatchDelay batches notices that are queued close together; relayBatchDelay
	// replaces it in a fleet in which hosts relay notices.
	noticeBatchDelay = 10 * time.Millisecond
	relayBatchDelay  = 60 * time.Millisecond
)

// broadcast sends a message to hosts and waits for their acknowledgements.
func (e *Exchange) broadcast(ctx context.Context, hosts []fanout.Host, addresses map[string]string, m wire.Message) {
	var running sync.WaitGroup
	for _, h := range hosts {
		running.Go(func() {
			if err := e.caller.Call(ctx, addresses[h.ID], m, &wire.Ack{}); err != nil {
				e.log.Debug("host did not acknowledge a message", "host", h.ID, "type", m.WireType(), "error", err)
			}
		})
	}
	running.Wait()
}

// responsive returns the hosts without those that are unresponsive.
func responsive(hosts []fanout.Host) []fanout.Host {
	var out []fanout.Host
	for _, h := range hosts {
		if !h.Unresponsive {
			out = append(out, h)
		}
	}
	return out
}

// BroadcastEngineNotice sends the notice of an order to all hosts, and waits until they
// have acknowledged it or ctx ends. Two contacts in each group relay it, since it is
// sent only once.
func (e *Exchange) BroadcastEngineNotice(ctx context.Context, n *EngineNotice) {
	toContact := *n
	toContact.Relay = true
	e.broadcastToAll(ctx, n, &toContact)
}

// BroadcastQuarantineNotice sends a quarantine notice to all hosts, in the same way as an
// engine notice.
func (e *Exchange) BroadcastQuarantineNotice(ctx context.Context, n *QuarantineNotice) {
	toContact := *n
	toContact.Relay = true
	e.broadcastToAll(ctx, n, &toContact)
}

// broadcastToAll sends one message to the hosts of the group, and another one to two
// contacts in each other group, which relay it there.
func (e *Exchange) broadcastToAll(ctx context.Context, toGroup, toContact wire.Message) {
	layout, addresses := e.layout()
	var running sync.WaitGroup
	running.Go(func() { e.broadcast(ctx, responsive(layout.Group()), addresses, toGroup) })
	for round := range uint64(2) {
		running.Go(func() { e.broadcast(ctx, responsive(layout.Contacts(round)), addresses, toContact) })
	}
	running.Wait()
}

func (e *Exchange) handleEngineNotice(ctx context.Context, n *EngineNotice) {
	e.local.HandleEngineNotice(n)
	if !n.Relay {
		return
	}
	n.Relay = false
	e.relayToGroup(ctx, n)
}

func (e *Exchange) handleQuarantineNotice(ctx context.Context, n *QuarantineNotice) {
	e.local.HandleQuarantineNotice(n)
	if !n.Relay {
		return
	}
	n.Relay = false
	e.relayToGroup(ctx, n)
}

func (e *Exchange) relayToGroup(ctx context.Context, m wire.Message) {
	layout, addresses := e.layout()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e.broadcast(ctx, responsive(layout.Group()), addresses, m)
}

// QueueCacheNotice queues a cache notice for the peers.
func (e *Exchange) QueueCacheNotice(n balance.CacheNotice) { e.enqueue(e.ownNotices, n) }

func (e *Exchange) enqueue(queue chan balance.CacheNotice, n balance.CacheNotice) {
	select {
	case queue <- n:
	default:
		e.log.Warn("cache notice dropped: the queue is full", "target", n.TargetID)
	}
}

func (e *Exchange) handleCacheNotices(notices *CacheNotices) {
	e.local.HandleCacheNotices(notices.Notices)
	if !notices.Relay {
		return
	}
	for _, n := range notices.Notices {
		e.enqueue(e.relayNotices, n)
	}
}

// dequeueAll returns all notices that wait in a queue.
func dequeueAll(queue chan balance.CacheNotice) []balance.CacheNotice {
	var out []balance.CacheNotice
	for {
		select {
		case n := <-queue:
			out = append(out, n)
		default:
			return out
		}
	}
}

// sendCacheNotices sends queued notices in batches until ctx ends.
func (e *Exchange) sendCacheNotices(ctx context.Context) {
	delay := noticeBatchDelay
	for {
		var own, relayed []balance.CacheNotice
		select {
		case <-ctx.Done():
			return
		case n := <-e.ownNotices:
			own = append(own, n)
		case n := <-e.relayNotices:
			relayed = append(relayed, n)
		}
		clock.Sleep(ctx, delay)
		own, relayed = append(own, dequeueAll(e.ownNotices)...), append(relayed, dequeueAll(e.relayNotices)...)
		layout, addresses := e.layout()
		delay = noticeBatchDelay
		if !layout.Direct() {
			delay = relayBatchDelay
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		go func() {
			defer cancel()
			e.broadcastCacheNotices(callCtx, layout, addresses, own, relayed)
		}()
	}
}

// broadcastCacheNotices sends all notices to the group, and those of this host to a
// contact in each other group.
func (e *Exchange) broadcastCacheNotices(ctx context.Context, layout *fanout.Layout, addresses map[string]string, own, relayed []balance.CacheNotice) {
	var running sync.WaitGroup
	running.Go(func() {
		e.broadcast(ctx, responsive(layout.Group()), addresses, &CacheNotices{Notices: append(relayed, own...)})
	})
	if len(own) > 0 {
		e.broadcast(ctx, responsive(layout.Contacts(uint64(time.Now().UnixNano()))), addresses, &CacheNotices{Notices: own, Relay: true})
	}
	running.Wait()
}
