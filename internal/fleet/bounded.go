package fleet

import (
	"slices"
	"time"

	"github.com/sequoiaroad/sequoiaroad/internal/wire"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/gossip"
)

// gossipState is what a host knows of the hosts that it does not probe itself.
type gossipState struct {
	table *gossip.Table
	// layout is the tree for the table and the member list at layoutOf; watched are
	// the hosts that this host watches in it.
	layout   *gossip.Layout
	layoutOf layoutKey
	watched  []watchedHost
	randomAt time.Time
	// answeredAt is when any host last answered a probe.
	answeredAt time.Time
	// urgent makes the regular probes due at once, to send a change towards the
	// members.
	urgent bool
}

type layoutKey struct {
	sequence uint64
	revision uint64
}

type watchedHost struct {
	gossip.Watch
	since time.Time
}

func (g *gossipState) holdsLive(hostID string) bool {
	r, ok := g.table.Get(hostID)
	return ok && !r.Dead
}

func (f *Fleet) bounded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.boundedLocked()
}

// boundedLocked reports whether the fleet is too large to probe every host.
func (f *Fleet) boundedLocked() bool { return len(f.peers)+1 > fullProbeHosts }

// refreshSelf puts the state of this host into its record.
func (f *Fleet) refreshSelf() {
	if f.gossip.table.SetSelf(f.draining.Load(), f.Fresh()) {
		f.gossip.urgent = true
	}
}

// boundedTargets returns the hosts whose probes are due in a large fleet and marks
// them as probed: parents, or the other members; watched hosts that are silent; and
// now and then a random host.
func (f *Fleet) boundedTargets(now time.Time) []config.Member {
	f.updateLayout(now)
	var targets []config.Member
	add := func(hostID string, interval time.Duration) {
		p := f.peers[hostID]
		if p == nil || p.probing || p.member.InnerAddress == "" || now.Before(p.dueAt) {
			return
		}
		p.probing = true
		p.dueAt = now.Add(interval*4/5 + time.Duration(f.random.Int64N(int64(interval*2/5))))
		targets = append(targets, p.member)
	}
	if f.gossip.urgent {
		f.gossip.urgent = false
		f.hasten()
	}
	contacts := f.regularContacts(now)
	for _, id := range contacts {
		add(id, f.contactInterval())
	}
	for _, id := range f.backupContacts() {
		add(id, backupInterval)
	}
	for _, w := range f.gossip.watched {
		if f.suspects(w, now) {
			add(w.HostID, boundedProbeTimeout)
		}
	}
	if now.After(f.gossip.randomAt) || len(contacts) == 0 {
		f.gossip.randomAt = now.Add(randomInterval)
		if id := f.randomPeer(); id != "" {
			add(id, parentInterval)
		}
	}
	return targets
}

func (f *Fleet) contactInterval() time.Duration {
	if f.gossip.layout.IsMember(f.self.HostID) {
		return probeInterval
	}
	return parentInterval
}

// hasten makes the probes that carry changes towards the members due.
func (f *Fleet) hasten() {
	for _, id := range f.regularContacts(f.now()) {
		if p := f.peers[id]; p != nil {
			p.dueAt = time.Time{}
		}
	}
}

// regularContacts returns the other members for a member. For another host it is the
// first parent, and the backup too while the first does not answer.
func (f *Fleet) regularContacts(now time.Time) []string {
	l := f.gossip.layout
	if l.IsMember(f.self.HostID) {
		var ids []string
		for _, w := range f.members() {
			if w != f.self.HostID {
				ids = append(ids, w)
			}
		}
		return ids
	}
	parents := l.Parents(f.self.HostID)
	if len(parents) > 1 {
		if p := f.peers[parents[0]]; p != nil && !p.answeredAt.IsZero() && now.Sub(p.answeredAt) < suspectAfter {
			return parents[:1]
		}
	}
	return parents
}

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

func (f *Fleet) members() []string {
	x := f.index.Load()
	if x == nil {
		return nil
	}
	var ids []string
	for _, m := range x.Document().Members {
		ids = append(ids, m.HostID)
	}
	return ids
}

// updateLayout lays out the fleet again after a change of the table or the revision.
func (f *Fleet) updateLayout(now time.Time) {
	key := layoutKey{f.gossip.table.Sequence(), f.state.Applied()}
	if f.gossip.layout != nil && key == f.gossip.layoutOf {
		return
	}
	f.gossip.table.ExpireDead(now)
	f.gossip.layoutOf = key
	f.gossip.layout = gossip.NewLayout(f.members(), f.gossip.table.Live())
	old := f.gossip.watched
	f.gossip.watched = nil
	for _, w := range f.gossip.layout.Watched(f.self.HostID) {
		host := watchedHost{w, now}
		if i := slices.IndexFunc(old, func(o watchedHost) bool { return o.Watch == w }); i >= 0 {
			host.since = old[i].since
		}
		f.gossip.watched = append(f.gossip.watched, host)
	}
}

// suspects reports whether a watched host has been silent for too long. A host that
// this one has only begun to watch gets the same time.
func (f *Fleet) suspects(w watchedHost, now time.Time) bool {
	p := f.peers[w.HostID]
	if p == nil || !f.gossip.holdsLive(w.HostID) {
		return false
	}
	limit := suspectAfter
	if w.Backup {
		limit = backupSuspectAfter
	}
	return now.Sub(p.heardAt) > limit && now.Sub(w.since) > limit
}

// noteFailure declares a watched host dead that is silent and does not answer a
// probe.
func (f *Fleet) noteFailure(target config.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.boundedLocked() {
		return
	}
	now := f.now()
	for _, w := range f.gossip.watched {
		if w.HostID == target.HostID && f.suspects(w, now) &&
			f.gossip.table.MarkDead(target.HostID, target.Incarnation, now) {
			f.log.Info("host does not answer", "host", target.HostID, "incarnation", target.Incarnation)
			f.gossip.urgent = true
		}
	}
}

// newProbe returns a probe, the sequence number of the table that it carries, and
// its timeout.
func (f *Fleet) newProbe(target config.Member) (*probe, uint64, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers[target.HostID]
	if !f.boundedLocked() || p == nil {
		return &probe{Sender: f.self}, 0, probeTimeout
	}
	message := &probe{}
	if target.Incarnation != "" {
		message.Known = gossip.MemberHash(target)
	}
	if !p.link.Established() {
		message.Sender = f.self
	}
	var upTo uint64
	message.Gossip, upTo = f.gossip.table.Request(&p.link, target.HostID, f.now())
	return message, upTo, boundedProbeTimeout
}

// noteProbe records that a host probed this one.
func (f *Fleet) noteProbe(message *probe, from wire.Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteSender(message.Sender)
	if p := f.peers[from.HostID]; p != nil {
		p.heardAt = f.now()
	}
}

func (f *Fleet) answerGossip(request *gossip.Request, from wire.Peer) *gossip.Reply {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshSelf()
	reply, changed := f.gossip.table.HandleRequest(request, from.HostID, f.now())
	if changed {
		f.noteRecords(request.Records)
		f.gossip.urgent = true
	}
	return reply
}

func (f *Fleet) completeGossip(reply *probeReply, sentUpTo uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	f.gossip.answeredAt = now
	p := f.peers[reply.Member.HostID]
	if reply.Gossip == nil || p == nil {
		return
	}
	if f.gossip.table.HandleReply(&p.link, reply.Gossip, sentUpTo, reply.Member.HostID, now) {
		f.noteRecords(reply.Gossip.Records)
	}
}

// noteRecords makes the hosts of the records known. The table holds the newest record
// of each, whatever was received.
func (f *Fleet) noteRecords(records []gossip.Record) {
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

// applyRecord replaces what this host has not observed itself. Without an answer from
// any host the table may be old, and only own observations count.
func (f *Fleet) applyRecord(status *HostStatus, now time.Time) {
	r, ok := f.gossip.table.Get(status.Member.HostID)
	if !ok || !f.boundedLocked() || r.Member.Incarnation != status.Member.Incarnation ||
		now.Sub(f.gossip.answeredAt) > liveWindow {
		return
	}
	status.Live = !r.Dead
	status.Fresh = status.Live && (status.Fresh || r.Fresh)
	status.Draining = status.Draining || r.Draining
}
