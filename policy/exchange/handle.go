package exchange

import (
	"time"
)

// HandleReport applies a report of another host and returns the reply.
func (n *Node) HandleReport(id, incarnation string, r *Report, now time.Time) (*Reply, Learned) {
	n.state++
	reply := &Reply{From: n.self, Status: n.local.Status, Round: n.round, Joining: n.joining}
	var learned Learned
	host, ok := n.sender(id, incarnation, r)
	if !ok {
		reply.Unknown = true
		return reply, learned
	}
	if hub := n.Hub(now); hub != n.self.ID && (r.Hub || r.Joining && !n.joining) {
		redirect := n.hosts.byID[hub].Host
		reply.Redirect = &redirect
		return reply, learned
	}
	s := n.sources[id]
	isNew := s == nil || s.incarnation != incarnation
	if !isNew && r.Round <= s.round {
		return reply, learned // a later report has overtaken it
	}
	if reply.Unknown = !r.Changes.First && (isNew || s.hub != r.Hub || now.Sub(s.heardAt) > liveTimeout); reply.Unknown {
		return reply, learned
	}
	newRole := isNew || s.hub != r.Hub
	if newRole {
		s = n.addSource(id, incarnation, r.Hub, &learned, now)
	}
	s.round, s.heardAt, s.suspects = r.Round, now, r.Changes.Suspects
	n.applyHost(HostRecord{Host: host, Status: r.Status, Round: r.Round}, "", &learned, now)
	if newRole {
		n.hosts.byID[id].changed = n.state // other hubs must be told of a new member
	}
	n.applyChanges(id, s, &r.Changes, &learned, now)
	if r.Hub && !n.joining && r.Members != n.memberDigest(id) && now.Sub(s.resentAt) >= seekInterval {
		reply.ResendHosts, s.resentAt = true, now
	}
	if !r.Hub {
		reply.Counted = n.attribute(s, r, &learned)
		changes := n.fleetChanges(id, r, now)
		reply.Changes, reply.UnspreadMs = &changes, n.unspread(now).Milliseconds()
	}
	return reply, learned
}

// sender returns the sender of a report, if its incarnation is known or stated.
func (n *Node) sender(id, incarnation string, r *Report) (Host, bool) {
	if r.From != nil {
		return *r.From, r.From.ID == id && r.From.Incarnation == incarnation && id != n.self.ID
	}
	h := n.hosts.byID[id]
	if h == nil || h.Host.Incarnation != incarnation {
		return Host{}, false
	}
	return h.Host, true
}

// addSource replaces the source of a host that has a new incarnation or role. What an
// incarnation has admitted outlives a change of its role.
func (n *Node) addSource(id, incarnation string, hub bool, learned *Learned, now time.Time) *source {
	s := &source{incarnation: incarnation, hub: hub, admitted: map[string]float64{}, counted: map[string]float64{}, loads: map[string]int{}}
	if before := n.sources[id]; before != nil {
		n.dropLoads(before, learned, now)
		if before.incarnation == incarnation {
			s.admitted, s.counted = before.admitted, before.counted
		}
	}
	n.sources[id] = s
	if t := n.totals[id]; t != nil && !hub {
		t.markChanged(n.state) // what it told as a hub may not have reached all other hubs
	}
	return s
}

// applyHost applies a record of a host that this host or a hub has heard.
func (n *Node) applyHost(r HostRecord, via string, learned *Learned, now time.Time) {
	if r.Host.ID == n.self.ID {
		return
	}
	if h := n.hosts.byID[r.Host.ID]; h != nil && via != "" && h.via == "" && !h.lost && r.Round > h.Round {
		h.next = &toldRecord{r, via} // until the host itself becomes silent
		return
	}
	if n.hosts.apply(r, via, n.state, now) {
		learned.Heard = append(learned.Heard, r.Host)
	}
}

// isHeardHub reports whether a host reports to this one as a hub.
func (n *Node) isHeardHub(id string, now time.Time) bool {
	s := n.sources[id]
	return s != nil && s.hub && now.Sub(s.heardAt) <= liveTimeout
}

// applyChanges applies what a source tells of itself and its members.
func (n *Node) applyChanges(id string, s *source, c *Changes, learned *Learned, now time.Time) {
	for _, r := range c.Hosts {
		n.applyHost(r, id, learned, now)
	}
	for _, h := range c.Hubs {
		n.AddHost(h, now)
	}
	n.applyUsage(id, c, nil, learned, now)
	setLoads(s.loads, loadsByTarget(c.Loads), c.First, func(target string, change int) {
		n.addSourceLoad(s, target, change, learned, now)
	})
	for _, notice := range c.Notices {
		if !s.hub {
			n.group.addNotice(notice, id, n.state, now)
		}
		n.fleet.addNotice(notice, id, n.state, now)
	}
	for _, r := range c.Limits {
		n.recordLimit(r, !s.hub, now)
	}
	learned.Notices = append(learned.Notices, c.Notices...)
	learned.Suspects = append(learned.Suspects, c.Suspects...)
	learned.Limits = append(learned.Limits, c.Limits...)
}

// attribute attributes to this host, as a hub, what one of its members has admitted, and
// returns how much that is in all.
func (n *Node) attribute(s *source, r *Report, learned *Learned) []Counted {
	totals := n.totals[n.self.ID]
	var out []Counted
	for _, u := range r.Own {
		before := s.admitted[u.Account]
		if r.Changes.First {
			before = max(before, u.Settled)
		}
		s.admitted[u.Account] = max(before, u.Total)
		if amount := u.Total - before; amount > 0 {
			totals.raise(u.Account, totals.byAccount[u.Account].value+amount, n.state)
			s.counted[u.Account] += amount
			learned.Usage = append(learned.Usage, UsageDelta{Account: u.Account, Amount: amount})
		}
		out = append(out, Counted{Account: u.Account, Total: s.counted[u.Account]})
	}
	return out
}

// applyUsage takes the totals of hubs that another host has told, and learns what has been
// admitted since they were last known. Of a hub that is not known it learns the use of
// windowAge. own is what is included of this host's own use, by account; it belongs to the
// hub that told of it.
func (n *Node) applyUsage(toldBy string, c *Changes, own map[string]float64, learned *Learned, now time.Time) {
	for _, hub := range c.Usage {
		if hub.Hub == n.self.ID || n.isSuperseded(hub) {
			continue
		}
		t := n.totals[hub.Hub]
		if t == nil || t.incarnation != hub.Incarnation {
			t = newHubTotals(hub.Incarnation)
			n.totals[hub.Hub] = t
		}
		t.toldBy, t.raisedAt = toldBy, now
		for _, u := range hub.Usage {
			amount, known := t.raise(u.Account, u.Total, n.state)
			delta := UsageDelta{Account: u.Account, Amount: amount}
			if !known && c.First {
				delta.Amount = u.Total - u.Before
				delta.Over = max(0, time.Duration(c.CoversMs)*time.Millisecond-now.Sub(n.started))
			}
			if hub.Hub == toldBy {
				delta.Amount -= own[u.Account]
			}
			if delta.Amount > 0 {
				learned.Usage = append(learned.Usage, delta)
			}
		}
	}
}

// isYoung reports whether this process started so recently that what others admitted before
// still counts against limits.
func (n *Node) isYoung(now time.Time) bool { return now.Sub(n.started) < windowAge }

// isSuperseded reports whether the totals are those of an earlier incarnation of a hub. A hub
// that has restarted is told its own earlier ones, too.
func (n *Node) isSuperseded(hub HubUsage) bool {
	t, h := n.totals[hub.Hub], n.hosts.byID[hub.Hub]
	return t != nil && h != nil && t.incarnation != hub.Incarnation && t.incarnation == h.Host.Incarnation
}

func loadsByTarget(loads []Load) map[string]int {
	out := make(map[string]int, len(loads))
	for _, l := range loads {
		out[l.TargetID] = max(0, l.Requests)
	}
	return out
}

// unspread returns the age of the oldest usage that another hub may not have received.
func (n *Node) unspread(now time.Time) time.Duration {
	var oldest time.Duration
	for _, id := range n.peerHubs {
		h, c := n.hosts.byID[id], n.contact(id)
		if h != nil && !h.status().Has(Unresponsive) && !c.redirects {
			oldest = max(oldest, now.Sub(c.spreadAt))
		}
	}
	return min(oldest, windowAge)
}

// HandleFailure notes that a report was not answered.
func (n *Node) HandleFailure(to string, now time.Time) {
	c := n.contacts[to]
	if c == nil {
		return
	}
	c.busy = false
	if c.failures++; c.failures >= failuresToLeave {
		c.failedUntil = now.Add(min(minRetry<<min(c.failures-failuresToLeave, 10), maxRetry))
	}
}

// HandleReply applies the reply to a report that was sent at a time. to is empty for a
// report to a seed.
func (n *Node) HandleReply(to string, sent *Report, reply *Reply, sentAt, now time.Time) Learned {
	n.state++
	var learned Learned
	if c := n.contacts[to]; c != nil {
		c.busy, c.failures, c.failedUntil = false, 0, time.Time{}
	}
	if reply.From.ID == n.self.ID || to != "" && to != reply.From.ID {
		return learned // the address belongs to another host now
	}
	c := n.contact(reply.From.ID)
	c.begin(reply.From.Incarnation)
	switch {
	case reply.Unknown:
		c.through = 0
	case reply.Redirect != nil:
		c.redirects = true
		n.redirect(*reply.Redirect, now)
		return learned
	default:
		c.through, c.hostsThrough, c.spreadAt, c.redirects = sent.Changes.Through, sent.Changes.Through, sentAt, false
		c.recordReported(&sent.Changes)
	}
	if reply.ResendHosts {
		c.hostsThrough = 0
	}
	if sent.Hub {
		n.applyHost(HostRecord{Host: reply.From, Status: reply.Status, Round: reply.Round}, "", &learned, now)
		return learned
	}
	counted := c.newlyCounted(reply.Counted)
	if reply.Changes != nil && !n.hasMembers(now) {
		n.applyFleet(sent, reply, counted, &learned, now)
	}
	return learned
}

// redirect adds a hub that another host has named.
func (n *Node) redirect(hub Host, now time.Time) {
	if hub.ID == n.self.ID {
		return
	}
	n.AddHost(hub, now)
	n.redirects[hub.ID] = now.Add(redirectTTL)
}

// applyFleet applies what the hub of this host tells of the fleet.
func (n *Node) applyFleet(sent *Report, reply *Reply, counted map[string]float64, learned *Learned, now time.Time) {
	up := n.up
	if up == nil || up.id != reply.From.ID || up.incarnation != reply.From.Incarnation {
		up = &upstream{id: reply.From.ID, incarnation: reply.From.Incarnation, loads: map[string]int{}}
		if n.up != nil {
			up.loads = n.up.loads
		}
		n.own.pending = nil // the earlier hub can't confirm it any more
		n.up = up
	}
	c := n.contact(up.id)
	n.applyFleetHosts(reply, learned, now)
	if n.joining && !reply.Joining {
		n.endJoining()
	}
	n.applyUsage(up.id, reply.Changes, counted, learned, now)
	n.own.acknowledge(sent.Own, time.Duration(reply.UnspreadMs)*time.Millisecond, now)
	others := loadsByTarget(reply.Changes.Loads)
	for target := range others {
		others[target] = max(0, others[target]-c.reported[target])
	}
	setLoads(up.loads, others, reply.Changes.First, func(target string, change int) {
		learned.Loads = append(learned.Loads, LoadDelta{target, change})
	})
	learned.Notices, learned.Suspects, learned.Limits = reply.Changes.Notices, reply.Changes.Suspects, reply.Changes.Limits
	up.repliedAt = now
	if sent.Joining == n.joining {
		up.state = reply.Changes.Through
	}
	n.informedAt = now
}

// applyFleetHosts applies what the hub tells of the hosts. The hub's word replaces that of
// earlier hubs.
func (n *Node) applyFleetHosts(reply *Reply, learned *Learned, now time.Time) {
	hub := reply.From.ID
	told := map[string]bool{}
	for _, r := range append(reply.Changes.Hosts, HostRecord{Host: reply.From, Status: reply.Status, Round: reply.Round}) {
		told[r.Host.ID] = true
		if r.Host.ID != n.self.ID && n.hosts.adopt(r, hub, n.state, now) {
			learned.Heard = append(learned.Heard, r.Host)
			if c := n.contacts[r.Host.ID]; c != nil {
				c.failures, c.failedUntil = 0, time.Time{}
			}
		}
	}
	if reply.Changes.First {
		n.hosts.setLost(func(h *hostState) bool { return !told[h.Host.ID] }, n.state, now)
	}
}

// recordReported records the loads that the contact has received.
func (c *contact) recordReported(sent *Changes) {
	if sent.First {
		clear(c.reported)
	}
	for _, l := range sent.Loads {
		c.reported[l.TargetID] = l.Requests
	}
}

// newlyCounted returns what a hub has attributed to itself of this host's use since its last
// reply.
func (c *contact) newlyCounted(counted []Counted) map[string]float64 {
	out := make(map[string]float64, len(counted))
	for _, u := range counted {
		before := c.counted[u.Account]
		if u.Total < before {
			before = 0 // the hub had forgotten this host
		}
		out[u.Account] = u.Total - before
		c.counted[u.Account] = u.Total
	}
	return out
}

// Live returns the other hosts to which callers may be directed.
func (n *Node) Live() []Host {
	var out []Host
	for _, h := range n.hosts.byID {
		if status := h.status(); status.Has(Ready) && !status.Has(Draining) && !status.Has(Unresponsive) {
			out = append(out, h.Host)
		}
	}
	return out
}

// Responsive returns the other hosts that share limits of targets: those that respond and do
// not stop.
func (n *Node) Responsive() []Host {
	var out []Host
	for _, h := range n.hosts.byID {
		if status := h.status(); !status.Has(Draining) && !status.Has(Unresponsive) {
			out = append(out, h.Host)
		}
	}
	return out
}

// StoreReachedElsewhere reports whether the store responds to another host.
func (n *Node) StoreReachedElsewhere() bool {
	for _, h := range n.hosts.byID {
		if status := h.status(); status.Has(StoreReached) && !status.Has(Unresponsive) {
			return true
		}
	}
	return false
}

// Responds reports whether a host is known and responds.
func (n *Node) Responds(id string) bool {
	h := n.hosts.byID[id]
	return h != nil && !h.status().Has(Unresponsive)
}

// Count returns the number of hosts that share limits, including this one, and the share of
// them that is unresponsive.
func (n *Node) Count() (hosts int, unresponsiveShare float64) {
	hosts = 1
	unresponsive := 0
	for _, h := range n.hosts.byID {
		status := h.status()
		if status.Has(Draining|Unresponsive) || h.neverHeard() {
			continue
		}
		hosts++
		if status.Has(Unresponsive) {
			unresponsive++
		}
	}
	return hosts, float64(unresponsive) / float64(hosts)
}

// WatchesStore reports whether this host watches the store for others: in a small fleet each
// host does, in a larger one the best hub of each region, so that the number of calls does not
// grow with the fleet. A hub that does not hear a better one takes its place.
func (n *Node) WatchesStore(now time.Time) bool {
	if !n.IsHub(now) {
		return false
	}
	if len(n.hosts.byID) < DirectHosts {
		return true
	}
	self := candidate{host: n.self, status: n.local.Status}
	for id, s := range n.sources {
		h := n.hosts.byID[id]
		if h == nil || !s.hub || now.Sub(s.heardAt) > liveTimeout || h.Host.Region != n.self.Region {
			continue
		}
		if compareCandidates(candidate{host: h.Host, status: h.status()}, self) < 0 {
			return false
		}
	}
	return true
}

// ListsHosts reports whether this host is to read the hosts' entries in the store. A process
// that has just started first asks the seeds.
func (n *Node) ListsHosts(now time.Time) bool {
	return now.Sub(n.started) >= seedTime && n.WatchesStore(now)
}

// ReadsForItself reports whether this host is to read from the store what hubs tell their
// members: hubs do, seeds at once after the start, and others if nobody has answered them.
func (n *Node) ReadsForItself(now time.Time) bool {
	switch {
	case n.up != nil:
		return false
	case n.isSeed || !n.joining:
		return true
	}
	return now.Sub(n.started) >= seedTime/2
}

// seedTime is how long a process that has just started relies on the seeds.
const seedTime = time.Second

// IsEntryHost reports whether this host is one of those that others find in the store: in a large
// fleet those that come first as hubs of their groups.
func (n *Node) IsEntryHost() bool {
	for _, group := range n.candidates() {
		before, own := 0, false
		for _, c := range group {
			own = own || c.host.ID == n.self.ID
			if c.host.ID != n.self.ID && compareRank(c.host, n.self) < 0 {
				before++
			}
		}
		if own {
			return before < entryHosts
		}
	}
	return true
}

// entryHosts is the number of hosts of each group that have an entry in the store.
const entryHosts = 3

// Members returns the hosts that are no hubs and report to this one.
func (n *Node) Members() []Host {
	var out []Host
	for id, s := range n.sources {
		if h := n.hosts.byID[id]; !s.hub && h != nil && !h.status().Has(Unresponsive) {
			out = append(out, h.Host)
		}
	}
	return out
}

// RowReceivers returns the hosts to which this one sends rows of the store that have changed:
// its members, and in a larger fleet the other hubs.
func (n *Node) RowReceivers() []Host {
	out := n.Members()
	if len(n.hosts.byID) < DirectHosts {
		return out // all hosts watch the store
	}
	for id, s := range n.sources {
		if h := n.hosts.byID[id]; s.hub && h != nil && !h.status().Has(Unresponsive) {
			out = append(out, h.Host)
		}
	}
	return out
}

// NoticeRoutes returns how a notice reaches all hosts at once: the other hosts of the own
// group, and for each other group those that may pass it on there, the best first.
func (n *Node) NoticeRoutes(now time.Time) (group []Host, others [][]Host) {
	for _, candidates := range n.candidates() {
		n.refresh(candidates, now)
		own := false
		hosts := make([]Host, 0, len(candidates))
		for _, c := range candidates {
			own = own || c.host.ID == n.self.ID
			if c.host.ID != n.self.ID && !c.status.Has(Unresponsive) {
				hosts = append(hosts, c.host)
			}
		}
		switch {
		case own:
			group = hosts
		case len(hosts) > 0:
			others = append(others, hosts)
		}
	}
	return group, others
}
