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
