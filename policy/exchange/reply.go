package exchange

import (
	"time"
)

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
