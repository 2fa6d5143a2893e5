package peers

import (
	"context"
	"time"

	"github.com/sequoiaroad/sequoiaroad/internal/view"
)

// handleHeartbeat records a heartbeat and those relayed with it. The reply lists the
// known hosts and limits of targets if the sender's incarnation is new here, since it may
// lack some of them.
func (e *Exchange) handleHeartbeat(ctx context.Context, h *Heartbeat) *HeartbeatReply {
	relayed := h.Relayed
	h.Relayed = nil
	for i := range relayed {
		e.record(&relayed[i])
	}
	newIncarnation := e.record(h)
	if h.Relay {
		e.queueRelay(h)
	}
	e.checkLag(ctx, h)
	if !newIncarnation {
		return &HeartbeatReply{}
	}
	var hosts []view.Host
	for host := range e.knownHosts() {
		hosts = append(hosts, host)
	}
	return &HeartbeatReply{Hosts: hosts, Limits: e.local.AllLimits()}
}

// record records the state of one host, and reports whether its incarnation is new
// here.
func (e *Exchange) record(h *Heartbeat) bool {
	if h.From.ID == e.self.ID {
		return false
	}
	result := e.peers.record(h, time.Now())
	if result.newer {
		e.local.HandleHeartbeat(h)
	}
	if result.recovered {
		e.log.Info("host heard", "host", h.From.ID, "incarnation", h.From.Incarnation, "address", h.From.InnerAddress)
	}
	return result.newIncarnation
}

// queueRelay keeps a heartbeat for the group until the next round.
func (e *Exchange) queueRelay(h *Heartbeat) {
	relay := *h
	relay.Relay = false
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pendingRelays[h.From.ID] = relay
}

// nextHeartbeat returns this host's heartbeat and those to relay with it.
func (e *Exchange) nextHeartbeat() (own Heartbeat, relayed []Heartbeat) {
	own = e.local.LocalState()
	own.From = e.self
	own.StoreUnreachable = e.view.StoreUnreachable()
	operator, targets := e.view.Operator.Newest(), e.view.Targets.Newest()
	own.OperatorVersion, own.OperatorEra = operator.Version, operator.Era
	own.TargetsVersion, own.TargetsEra = targets.Version, targets.Era
	own.DocumentVersions = e.view.DocumentVersions()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	own.Sequence = e.sequence
	for _, h := range e.pendingRelays {
		relayed = append(relayed, h)
	}
	clear(e.pendingRelays)
	return own, relayed
}

// sendHeartbeats sends a heartbeat to each host of the group and to one contact in each
// other group. A host without known hosts sends it to its seeds.
func (e *Exchange) sendHeartbeats(ctx context.Context) {
	e.peers.removeExpired(time.Now())
	own, relayed := e.nextHeartbeat()
	layout, addresses := e.layout()
	if len(addresses) == 0 {
		for _, address := range e.seeds {
			if address != e.self.InnerAddress {
				go e.sendHeartbeat(ctx, address, &own)
			}
		}
		return
	}
	toGroup, toContact := own, own
	toGroup.Relayed, toContact.Relay = relayed, true
	for _, h := range layout.Group() {
		go e.sendHeartbeat(ctx, addresses[h.ID], &toGroup)
	}
	for _, h := range layout.Contacts(own.Sequence) {
		go e.sendHeartbeat(ctx, addresses[h.ID], &toContact)
	}
}

func (e *Exchange) sendHeartbeat(ctx context.Context, address string, h *Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply HeartbeatReply
	if err := e.caller.Call(ctx, address, h, &reply); err != nil {
		e.log.Debug("failed to send a heartbeat", "address", address, "error", err)
		return
	}
	e.peers.addReported(reply.Hosts, e.self.ID, time.Now())
	e.local.HandleLimits(reply.Limits)
}
