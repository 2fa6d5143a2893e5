package fleet

import (
	"slices"
	"time"

	"github.com/sequoiaroad/sequoiaroad/internal/wire"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/gossip"
)

// gossipState is the state of gossip in a large fleet. Its table includes the hosts that
// this host does not probe itself.
type gossipState struct {
	table *gossip.Table
	// layout is the tree for the table and the member list at layoutVersion; monitored
	// lists the hosts that this host monitors in it.
	layout            *gossip.Layout
	layoutVersion     layoutVersion
	monitored         []monitoredHost
	nextRandomProbeAt time.Time
	// lastReplyAt is when any host last replied to a probe.
	lastReplyAt time.Time
	// urgent makes the regular probes due at once, so that a change reaches the members
	// early.
	urgent bool
}

// layoutVersion identifies the inputs of a layout: the sequence number of the table and
// the revision of the member list.
type layoutVersion struct {
	sequence uint64
	revision uint64
}

// monitoredHost is a host that this host has monitored since a time.
type monitoredHost struct {
	gossip.MonitoredHost
	since time.Time
}

// isLive reports whether the table has a record of the host that is not marked as dead.
func (g *gossipState) isLive(hostID string) bool {
	r, ok := g.table.Get(hostID)
	return ok && !r.Dead
}

func (f *Fleet) usesGossip() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.usesGossipLocked()
}

// usesGossipLocked reports whether the fleet is too large to probe every host.
func (f *Fleet) usesGossipLocked() bool { return len(f.peers)+1 > maxFullMeshHosts }

// updateOwnRecord updates the gossip record of this host.
func (f *Fleet) updateOwnRecord() {
	if f.gossip.table.SetSelf(f.draining.Load(), f.Fresh()) {
		f.gossip.urgent = true
	}
}

// gossipPeersToProbe returns the hosts whose probes are due in a large fleet and marks
// them as being probed: the parents, or for a member the other members; suspect hosts;
// and every randomProbeInterval a random host.
func (f *Fleet) gossipPeersToProbe(now time.Time) []config.Member {
	f.updateLayout(now)
	var members []config.Member
	addIfDue := func(hostID string, interval time.Duration) {
		p := f.peers[hostID]
		if p == nil || p.probing || p.member.InnerAddress == "" || now.Before(p.nextProbeAt) {
			return
		}
		p.probing = true
		p.nextProbeAt = now.Add(interval*4/5 + time.Duration(f.random.Int64N(int64(interval*2/5))))
		members = append(members, p.member)
	}
	if f.gossip.urgent {
		f.gossip.urgent = false
		f.expediteProbes()
	}
	contacts := f.regularContacts(now)
	for _, id := range contacts {
		addIfDue(id, f.contactInterval())
	}
	for _, id := range f.backupContacts() {
		addIfDue(id, backupProbeInterval)
	}
	for _, m := range f.gossip.monitored {
		if f.isSuspect(m, now) {
			addIfDue(m.HostID, gossipProbeTimeout)
		}
	}
	if now.After(f.gossip.nextRandomProbeAt) || len(contacts) == 0 {
		f.gossip.nextRandomProbeAt = now.Add(randomProbeInterval)
		if id := f.randomPeer(); id != "" {
			addIfDue(id, parentProbeInterval)
		}
	}
	return members
}

// contactInterval returns the time between probes of a regular contact.
func (f *Fleet) contactInterval() time.Duration {
	if f.gossip.layout.IsMember(f.self.HostID) {
		return probeInterval
	}
	return parentProbeInterval
}

// expediteProbes makes the probes of the regular contacts due, which carry changes
// towards the members.
func (f *Fleet) expediteProbes() {
	for _, id := range f.regularContacts(f.now()) {
		if p := f.peers[id]; p != nil {
			p.nextProbeAt = time.Time{}
		}
	}
}

// regularContacts returns the hosts that this one probes at contactInterval. For a
// member these are the other members. For a non-member it is the first parent, and also
// the backup while the first does not reply.
func (f *Fleet) regularContacts(now time.Time) []string {
	l := f.gossip.layout
	if l.IsMember(f.self.HostID) {
		var ids []string
		for _, id := range f.memberIDs() {
			if id != f.self.HostID {
				ids = append(ids, id)
			}
		}
		return ids
	}
	parents := l.Parents(f.self.HostID)
	if len(parents) > 1 {
		if p := f.peers[parents[0]]; p != nil && !p.lastReplyAt.IsZero() && now.Sub(p.lastReplyAt) < suspectAfter {
			return parents[:1]
		}
	}
	return parents
}

// backupContacts returns the backup parents of a non-member.
func (f *Fleet) backupContacts() []string {
	if parents := f.gossip.layout.Parents(f.self.HostID); len(parents) > 1 {
		return parents[1:]
	}
	return nil
}

func (f *Fleet) randomPeer() string {
	skip := f.random.IntN(len(f.peers))
	for id := range f.peers {
		if skip == 0 {
			return id
		}
		skip--
	}
	return ""
}

// memberIDs returns the host IDs in the applied member list.
func (f *Fleet) memberIDs() []string {
	idx := f.index.Load()
	if idx == nil {
		return nil
	}
	var ids []string
	for _, m := range idx.Document().Members {
		ids = append(ids, m.HostID)
	}
	return ids
}

// updateLayout computes the layout again after a change of the table or the revision.
func (f *Fleet) updateLayout(now time.Time) {
	version := layoutVersion{f.gossip.table.Sequence(), f.state.Applied()}
	if f.gossip.layout != nil && version == f.gossip.layoutVersion {
		return
	}
	f.gossip.table.ExpireDead(now)
	f.gossip.layoutVersion = version
	f.gossip.layout = gossip.NewLayout(f.memberIDs(), f.gossip.table.Live())
	old := f.gossip.monitored
	f.gossip.monitored = nil
	for _, m := range f.gossip.layout.Monitored(f.self.HostID) {
		monitored := monitoredHost{m, now}
		if i := slices.IndexFunc(old, func(o monitoredHost) bool { return o.MonitoredHost == m }); i >= 0 {
			monitored.since = old[i].since
		}
		f.gossip.monitored = append(f.gossip.monitored, monitored)
	}
}

// isSuspect reports whether there was no contact with a monitored host for longer than
// suspectAfter, or backupSuspectAfter if this host is its backup monitor. The limit
// also applies to the time since this host began to monitor it.
func (f *Fleet) isSuspect(m monitoredHost, now time.Time) bool {
	p := f.peers[m.HostID]
	if p == nil || !f.gossip.isLive(m.HostID) {
		return false
	}
	limit := suspectAfter
	if m.Backup {
		limit = backupSuspectAfter
	}
	return now.Sub(p.lastContactAt) > limit && now.Sub(m.since) > limit
}

// recordProbeFailure marks the host of a failed probe as dead if it is monitored and
// suspect.
func (f *Fleet) recordProbeFailure(member config.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.usesGossipLocked() {
		return
	}
	now := f.now()
	for _, m := range f.gossip.monitored {
		if m.HostID == member.HostID && f.isSuspect(m, now) &&
			f.gossip.table.MarkDead(member.HostID, member.Incarnation, now) {
			f.log.Info("host does not reply", "host", member.HostID, "incarnation", member.Incarnation)
			f.gossip.urgent = true
		}
	}
}

// newProbe returns a probe, the sequence number up to which it carries the records of
// the table, and its timeout.
func (f *Fleet) newProbe(member config.Member) (*probeRequest, uint64, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers[member.HostID]
	if !f.usesGossipLocked() || p == nil {
		return &probeRequest{Sender: f.self}, 0, probeTimeout
	}
	message := &probeRequest{}
	if member.Incarnation != "" {
		message.Known = gossip.MemberHash(member)
	}
	if !p.link.Established() {
		message.Sender = f.self
	}
	var sentUpTo uint64
	message.Gossip, sentUpTo = f.gossip.table.Request(&p.link, member.HostID, f.now())
	return message, sentUpTo, gossipProbeTimeout
}

// recordProbe records the sender of a received probe and the time of contact.
func (f *Fleet) recordProbe(message *probeRequest, from wire.Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addSender(message.Sender)
	if p := f.peers[from.HostID]; p != nil {
		p.lastContactAt = f.now()
	}
}

// handleGossipRequest merges the records of a probe and returns the gossip part of the
// reply.
func (f *Fleet) handleGossipRequest(request *gossip.Request, from wire.Peer) *gossip.Reply {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updateOwnRecord()
	reply, changed := f.gossip.table.HandleRequest(request, from.HostID, f.now())
	if changed {
		f.addRecordHosts(request.Records)
		f.gossip.urgent = true
	}
	return reply
}

// handleGossipReply merges the records of a reply. sentUpTo is the sequence number that
// newProbe returned.
func (f *Fleet) handleGossipReply(reply *probeReply, sentUpTo uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	f.gossip.lastReplyAt = now
	p := f.peers[reply.Member.HostID]
	if reply.Gossip == nil || p == nil {
		return
	}
	if f.gossip.table.HandleReply(&p.link, reply.Gossip, sentUpTo, reply.Member.HostID, now) {
		f.addRecordHosts(reply.Gossip.Records)
	}
}

// addRecordHosts adds the hosts of the received records as peers. It uses the newest
// records, which are in the table, instead of the received ones.
func (f *Fleet) addRecordHosts(records []gossip.Record) {
	for _, received := range records {
		r, ok := f.gossip.table.Get(received.Member.HostID)
		if !ok || r.Dead {
			continue
		}
		if p := f.ensurePeer(r.Member.HostID); p != nil && (p.member.Incarnation < r.Member.Incarnation || !p.live(f.now())) {
			p.member = r.Member
		}
	}
}

// applyGossipRecord updates a status with the gossip record of the host. If no host has
// replied within liveWindow, the table may be outdated, and the status keeps only what
// this host observed itself.
func (f *Fleet) applyGossipRecord(status *HostStatus, now time.Time) {
	r, ok := f.gossip.table.Get(status.Member.HostID)
	if !ok || !f.usesGossipLocked() || r.Member.Incarnation != status.Member.Incarnation ||
		now.Sub(f.gossip.lastReplyAt) > liveWindow {
		return
	}
	status.Live = !r.Dead
	status.Fresh = status.Live && (status.Fresh || r.Fresh)
	status.Draining = status.Draining || r.Draining
}
