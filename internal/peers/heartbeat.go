package peers

import (
	"context"
	"time"

	"github.com/sequoiaroad/sequoiaroad/internal/view"
)

// heard takes a heartbeat with those that it passes on, and replies with the hosts
// that the sender may lack.
func (p *Peers) heard(ctx context.Context, h *Heartbeat) *HeartbeatReply {
	passed := h.Passed
	h.Passed = nil
	for i := range passed {
		p.note(&passed[i])
	}
	fresh := p.note(h)
	if h.PassOn {
		p.passOn(h)
	}
	p.compare(ctx, h)
	if !fresh {
		return &HeartbeatReply{}
	}
	var hosts []view.Host
	for host := range p.known() {
		hosts = append(hosts, host)
	}
	return &HeartbeatReply{Hosts: hosts}
}

// note takes the state of one host, and reports whether its incarnation is new here.
func (p *Peers) note(h *Heartbeat) bool {
	if h.From.ID == p.self.ID {
		return false
	}
	got := p.members.note(h, time.Now())
	if got.newer {
		p.local.HeardFrom(h)
	}
	if got.back {
		p.log.Info("host heard", "host", h.From.ID, "incarnation", h.From.Incarnation, "address", h.From.InnerAddress)
	}
	return got.fresh
}

// passOn keeps a heartbeat for the group until the next round.
func (p *Peers) passOn(h *Heartbeat) {
	kept := *h
	kept.PassOn = false
	p.mu.Lock()
	defer p.mu.Unlock()
	p.passed[h.From.ID] = kept
}

// describe returns this host's heartbeat and those to pass on with it.
func (p *Peers) describe() (own Heartbeat, passed []Heartbeat) {
	own = p.local.Describe()
	own.From = p.self
	own.Cut = p.view.Cut()
	own.Operator, own.Targets = p.view.Operator.Newest(), p.view.Targets.Newest()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sequence++
	own.Sequence = p.sequence
	for _, h := range p.passed {
		passed = append(passed, h)
	}
	clear(p.passed)
	return own, passed
}

// beat sends a heartbeat to each host of the group and to a contact in each other one.
// A host that knows no other one asks its seeds.
func (p *Peers) beat(ctx context.Context) {
	p.members.forget(time.Now())
	own, passed := p.describe()
	layout, addresses := p.layout()
	if len(addresses) == 0 {
		for _, address := range p.seeds {
			if address != p.self.InnerAddress {
				go p.beatOne(ctx, address, &own)
			}
		}
		return
	}
	toGroup, toContact := own, own
	toGroup.Passed, toContact.PassOn = passed, true
	for _, h := range layout.Group() {
		go p.beatOne(ctx, addresses[h.ID], &toGroup)
	}
	for _, h := range layout.Contacts(own.Sequence) {
		go p.beatOne(ctx, addresses[h.ID], &toContact)
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
	p.members.learn(reply.Hosts, p.self.ID, time.Now())
}
