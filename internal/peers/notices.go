package peers

import (
	"context"
	"sync"

	"github.com/sequoiaroad/sequoiaroad/internal/wire"
	"github.com/sequoiaroad/sequoiaroad/policy/exchange"
)

// notice is a message for all hosts. The hosts of other groups get it from one of theirs.
type notice interface {
	wire.Message
	// withRelay returns the notice for a host that passes it on, or for one that does not.
	withRelay(relay bool) notice
}

// maxRelayAttempts is the number of hosts of a group that are asked to pass a notice on.
const maxRelayAttempts = 3

// send sends a message to hosts and waits for their acknowledgements.
func (e *Exchange) send(ctx context.Context, hosts []exchange.Host, m wire.Message) {
	var running sync.WaitGroup
	for _, h := range hosts {
		running.Go(func() {
			if err := e.caller.Call(ctx, h.InnerAddress, m, &wire.Ack{}); err != nil {
				e.log.Debug("host did not acknowledge a message", "host", h.ID, "type", m.WireType(), "error", err)
			}
		})
	}
	running.Wait()
}

// BroadcastEngineNotice sends the notice of an order to all hosts, and waits until they
// have acknowledged it or ctx ends.
func (e *Exchange) BroadcastEngineNotice(ctx context.Context, n *EngineNotice) { e.broadcast(ctx, n) }

// BroadcastQuarantineNotice sends a quarantine notice to all hosts, in the same way as an
// engine notice.
func (e *Exchange) BroadcastQuarantineNotice(ctx context.Context, n *QuarantineNotice) {
	e.broadcast(ctx, n)
}

func (e *Exchange) broadcast(ctx context.Context, n notice) {
	e.mu.Lock()
	group, others := e.node.NoticeRoutes(e.now())
	e.mu.Unlock()
	var running sync.WaitGroup
	running.Go(func() { e.send(ctx, group, n.withRelay(false)) })
	for _, candidates := range others {
		running.Go(func() { e.sendToOne(ctx, candidates[:min(len(candidates), maxRelayAttempts)], n.withRelay(true)) })
	}
	running.Wait()
}

// sendToOne sends a message to the first of the hosts that acknowledges it.
func (e *Exchange) sendToOne(ctx context.Context, hosts []exchange.Host, m wire.Message) {
	for _, h := range hosts {
		err := e.caller.Call(ctx, h.InnerAddress, m, &wire.Ack{})
		if err == nil || ctx.Err() != nil {
			return
		}
		e.log.Warn("host did not pass a notice on", "host", h.ID, "type", m.WireType(), "error", err)
	}
}

// relay passes a notice on to the group of this host. The sender waits meanwhile.
func (e *Exchange) relay(ctx context.Context, n notice) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e.mu.Lock()
	group, _ := e.node.NoticeRoutes(e.now())
	e.mu.Unlock()
	e.send(ctx, group, n.withRelay(false))
}
