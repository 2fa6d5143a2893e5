package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/gossip"
)

// peer is what this host knows of another host.
type peer struct {
	member config.Member
	// inHostList says that the platform's host list names the host, leaving that it
	// names it as leaving.
	inHostList bool
	leaving    bool
	// answeredAt is when the last answer arrived; knownSince is when the host was
	// first heard of.
	answeredAt time.Time
	knownSince time.Time
	reply      probeReply
	probing    bool
	// The rest is used in a large fleet. heardAt is when the host last probed this one
	// or answered it, dueAt when the next probe is due.
	heardAt time.Time
	dueAt   time.Time
	link    gossip.Link
}

func (p *peer) live(now time.Time) bool {
	return !p.answeredAt.IsZero() && now.Sub(p.answeredAt) <= liveWindow
}

// silence is how long the host has not answered.
func (p *peer) silence(now time.Time) time.Duration {
	if p.answeredAt.IsZero() {
		return now.Sub(p.knownSince)
	}
	return now.Sub(p.answeredAt)
}

// ensurePeer returns the entry of a host; nil for this host.
func (f *Fleet) ensurePeer(hostID string) *peer {
	if hostID == "" || hostID == f.self.HostID {
		return nil
	}
	p := f.peers[hostID]
	if p == nil {
		p = &peer{member: config.Member{HostID: hostID}, knownSince: f.now()}
		f.peers[hostID] = p
	}
	return p
}

// notePeers adds the members of a document. A newer incarnation that has already
// answered is kept.
func (f *Fleet) notePeers(d *config.Document) {
	for _, m := range d.Members {
		p := f.ensurePeer(m.HostID)
		if p != nil && (p.answeredAt.IsZero() || p.member.InnerAddress == "") {
			p.member = m
		}
	}
}

// noteSender adds the sender of a probe, which may not be listed anywhere yet.
func (f *Fleet) noteSender(m config.Member) {
	if p := f.ensurePeer(m.HostID); p != nil && m.InnerAddress != "" {
		p.member = m
	}
}

// noteHostList replaces what the host list says about hosts.
func (f *Fleet) noteHostList(hosts []platform.ListedHost) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hostListAt = f.now()
	for _, p := range f.peers {
		p.inHostList, p.leaving = false, false
	}
	for _, h := range hosts {
		if h.Role != hostListRole {
			continue
		}
		p := f.ensurePeer(h.ID)
		if p == nil {
			continue
		}
		p.inHostList = true
		p.leaving = h.State == platform.HostLeaving
		if p.member.InnerAddress == "" || !p.live(f.now()) {
			p.member.InnerAddress = h.Address
		}
		if p.member.Zone == "" {
			p.member.Zone = h.Zone
		}
	}
	f.forgetPeers()
}

// forgetPeers bounds the table by the hosts that are listed somewhere or answer.
func (f *Fleet) forgetPeers() {
	now := f.now()
	for id, p := range f.peers {
		if !p.inHostList && !f.listsHost(id) && !f.gossip.holdsLive(id) && p.silence(now) > forgetAfter {
			delete(f.peers, id)
		}
	}
}

// listsHost reports whether the applied revision lists any incarnation of a host.
func (f *Fleet) listsHost(hostID string) bool {
	x := f.index.Load()
	return x != nil && slices.ContainsFunc(x.Document().Members, func(m config.Member) bool { return m.HostID == hostID })
}

// lists reports whether the applied revision lists exactly this incarnation.
func (f *Fleet) lists(m config.Member) bool {
	x := f.index.Load()
	return x != nil && slices.ContainsFunc(x.Document().Members, func(l config.Member) bool { return memberOf(l) == memberOf(m) })
}

// peerAddresses returns the addresses of the other known hosts.
func (f *Fleet) peerAddresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addresses []string
	for _, p := range f.peers {
		if p.member.InnerAddress != "" {
			addresses = append(addresses, p.member.InnerAddress)
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// observe records the answer of a host to a message sent at sentAt.
func (f *Fleet) observe(reply *probeReply, sentAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if p := f.ensurePeer(reply.Member.HostID); p != nil {
		p.member = reply.Member
		p.answeredAt, p.heardAt = now, now
		p.reply = *reply
		p.reply.Gossip = nil
	}
	f.state.Observe(reply.Report, sentAt, now)
	f.hearLocked(reply.Withdrawals)
	f.publishLocked()
}

// selfReply returns the state of this host.
func (f *Fleet) selfReply() *probeReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	report := f.state.Report(now)
	f.publishLocked()
	at := f.state.EvidenceAt()
	reply := &probeReply{
		Member:      f.self,
		Report:      report,
		Draining:    f.draining.Load(),
		Fresh:       f.Fresh(),
		HasEvidence: !at.IsZero(),
		Withdrawals: f.withdrawals.list(),
	}
	if reply.HasEvidence {
		reply.EvidenceAge = now.Sub(at)
	}
	return reply
}

// Hosts implements View. A host without evidence has the greatest evidence age.
func (f *Fleet) Hosts() []HostStatus {
	own := f.selfReply()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	hosts := []HostStatus{f.status(own, 0, true, false)}
	for _, p := range f.peers {
		reply := p.reply
		reply.Member = p.member
		status := f.status(&reply, now.Sub(p.answeredAt), p.live(now), p.leaving)
		f.applyRecord(&status, now)
		hosts = append(hosts, status)
	}
	slices.SortFunc(hosts, func(a, b HostStatus) int { return cmp.Compare(a.Member.HostID, b.Member.HostID) })
	return hosts
}

const unknownAge = time.Duration(1<<63 - 1)

func (f *Fleet) status(reply *probeReply, since time.Duration, live, leaving bool) HostStatus {
	status := HostStatus{
		Member:      reply.Member,
		Listed:      f.lists(reply.Member),
		Live:        live,
		Draining:    reply.Draining || leaving,
		Revision:    reply.Report.Applied,
		EvidenceAge: unknownAge,
	}
	if reply.HasEvidence {
		status.EvidenceAge = reply.EvidenceAge + since
		status.Fresh = live && reply.Fresh && status.EvidenceAge < f.options.FreshnessDeadline
	}
	return status
}
