package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/gossip"
)

// peer is the state of another host as recorded by this one.
type peer struct {
	member config.Member
	// inHostList reports whether the platform's host list contains the host; leaving
	// reports whether the list marks it as leaving.
	inHostList bool
	leaving    bool
	// lastReplyAt is when the last reply arrived; discoveredAt is when the entry was
	// created.
	lastReplyAt  time.Time
	discoveredAt time.Time
	reply        probeReply
	probing      bool
	// The following fields are used in a large fleet. lastContactAt is when the host last
	// sent a probe or a reply to this one; nextProbeAt is when the next probe is due.
	lastContactAt time.Time
	nextProbeAt   time.Time
	link          gossip.Link
}

// live reports whether the host has replied within liveWindow.
func (p *peer) live(now time.Time) bool {
	return !p.lastReplyAt.IsZero() && now.Sub(p.lastReplyAt) <= liveWindow
}

// timeSinceReply returns the time since the last reply, or since the discovery of a host
// that has never replied.
func (p *peer) timeSinceReply(now time.Time) time.Duration {
	if p.lastReplyAt.IsZero() {
		return now.Sub(p.discoveredAt)
	}
	return now.Sub(p.lastReplyAt)
}

// ensurePeer returns the entry of a host and creates it if needed. It returns nil for
// this host and for an empty ID.
func (f *Fleet) ensurePeer(hostID string) *peer {
	if hostID == "" || hostID == f.self.HostID {
		return nil
	}
	p := f.peers[hostID]
	if p == nil {
		p = &peer{member: config.Member{HostID: hostID}, discoveredAt: f.now()}
		f.peers[hostID] = p
	}
	return p
}

// addMembers adds the members of a document. The entry of a host that has already
// replied is kept, since it may be a newer incarnation.
func (f *Fleet) addMembers(d *config.Document) {
	for _, m := range d.Members {
		p := f.ensurePeer(m.HostID)
		if p != nil && (p.lastReplyAt.IsZero() || p.member.InnerAddress == "") {
			p.member = m
		}
	}
}

// addSender adds the sender of a probe, which may be in neither the member list nor the
// host list yet.
func (f *Fleet) addSender(m config.Member) {
	if p := f.ensurePeer(m.HostID); p != nil && m.InnerAddress != "" {
		p.member = m
	}
}

// applyHostList replaces the state that was taken from an earlier host list.
func (f *Fleet) applyHostList(hosts []platform.ListedHost) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hostListReadAt = f.now()
	for _, p := range f.peers {
		p.inHostList, p.leaving = false, false
	}
	for _, h := range hosts {
		if h.Role != routerRole {
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
	f.expirePeers()
}

// expirePeers bounds the peer table: it deletes hosts that are neither members nor in
// the host list, are not live in the gossip table and have not replied for
// expirePeerAfter.
func (f *Fleet) expirePeers() {
	now := f.now()
	for id, p := range f.peers {
		if !p.inHostList && !f.isMemberHost(id) && !f.gossip.isLive(id) && p.timeSinceReply(now) > expirePeerAfter {
			delete(f.peers, id)
		}
	}
}

// isMemberHost reports whether the applied revision lists any incarnation of a host as
// a member.
func (f *Fleet) isMemberHost(hostID string) bool {
	idx := f.index.Load()
	return idx != nil && slices.ContainsFunc(idx.Document().Members, func(m config.Member) bool { return m.HostID == hostID })
}

// isListed reports whether the applied revision lists this incarnation as a member.
func (f *Fleet) isListed(m config.Member) bool {
	idx := f.index.Load()
	return idx != nil && slices.ContainsFunc(idx.Document().Members, func(listed config.Member) bool { return toFreshnessMember(listed) == toFreshnessMember(m) })
}

// peerAddresses returns the inner addresses of all peers.
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

// observeReply records the reply of a host to a message that was sent at sentAt.
func (f *Fleet) observeReply(reply *probeReply, sentAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if p := f.ensurePeer(reply.Member.HostID); p != nil {
		p.member = reply.Member
		p.lastReplyAt, p.lastContactAt = now, now
		p.reply = *reply
		p.reply.Gossip = nil
	}
	f.state.Observe(reply.Report, sentAt, now)
	f.recordWithdrawalsLocked(reply.Withdrawals)
	f.publishFreshUntilLocked()
}

// selfReply returns the state of this host as a reply to a probe.
func (f *Fleet) selfReply() *probeReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	report := f.state.Report(now)
	f.publishFreshUntilLocked()
	at := f.state.EvidenceAt()
	reply := &probeReply{
		Member:      f.self,
		Report:      report,
		Draining:    f.draining.Load(),
		Fresh:       f.Fresh(),
		HasEvidence: !at.IsZero(),
		Withdrawals: f.withdrawals.pendingKeys(),
	}
	if reply.HasEvidence {
		reply.EvidenceAge = now.Sub(at)
	}
	return reply
}

// Hosts implements View. A host without evidence has the evidence age unknownAge.
func (f *Fleet) Hosts() []HostStatus {
	own := f.selfReply()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	hosts := []HostStatus{f.hostStatus(own, 0, true, false)}
	for _, p := range f.peers {
		reply := p.reply
		reply.Member = p.member
		status := f.hostStatus(&reply, now.Sub(p.lastReplyAt), p.live(now), p.leaving)
		f.applyGossipRecord(&status, now)
		hosts = append(hosts, status)
	}
	slices.SortFunc(hosts, func(a, b HostStatus) int { return cmp.Compare(a.Member.HostID, b.Member.HostID) })
	return hosts
}

// unknownAge is the evidence age of a host that has reported no evidence.
const unknownAge = time.Duration(1<<63 - 1)

// hostStatus returns the status of a host from a reply that arrived replyAge ago.
func (f *Fleet) hostStatus(reply *probeReply, replyAge time.Duration, live, leaving bool) HostStatus {
	status := HostStatus{
		Member:      reply.Member,
		Listed:      f.isListed(reply.Member),
		Live:        live,
		Draining:    reply.Draining || leaving,
		Revision:    reply.Report.Applied,
		EvidenceAge: unknownAge,
	}
	if reply.HasEvidence {
		status.EvidenceAge = reply.EvidenceAge + replyAge
		status.Fresh = live && reply.Fresh && status.EvidenceAge < f.options.FreshnessDeadline
	}
	return status
}
