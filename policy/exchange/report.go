package exchange

import (
	"slices"
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/backpressure"
	"github.com/sequoiaroad/sequoiaroad/policy/balance"
)

// Outgoing is a report to send. To is empty if the host at the address is not known.
type Outgoing struct {
	To      string
	Address string
	Report  *Report
}

// reportTo returns a report to each of the hosts that has answered the last one.
func (n *Node) reportTo(ids []string, hub bool, now time.Time) []Outgoing {
	var out []Outgoing
	for _, id := range ids {
		h, c := n.hosts.byID[id], n.contact(id)
		c.begin(h.Host.Incarnation)
		if c.busy {
			continue
		}
		c.busy, c.lastAttemptAt = true, now
		out = append(out, Outgoing{To: id, Address: h.Host.InnerAddress, Report: n.report(id, c, hub, now)})
	}
	return out
}

func (n *Node) report(to string, c *contact, hub bool, now time.Time) *Report {
	r := &Report{Hub: hub, Joining: n.joining && !hub, Round: n.round, Status: n.local.Status, Changes: n.groupChanges(c, now), Members: n.memberDigest("")}
	r.InformedMs = n.informedAge(now).Milliseconds()
	if c.through == 0 {
		r.From = &n.self
	}
	if hub {
		return r
	}
	r.Own = n.unsettled(c.through == 0)
	if n.up != nil && n.up.id == to && n.up.incarnation == c.incarnation {
		r.After = n.up.state
	}
	return r
}

// unsettled returns what this host has admitted and what its hub may have to attribute to
// itself; with all, also the accounts for which nothing is left.
func (n *Node) unsettled(all bool) []OwnUsage {
	var out []OwnUsage
	for account, admitted := range n.own.admitted {
		if settled := n.own.settled[account]; all || admitted > settled {
			out = append(out, OwnUsage{Account: account, Total: admitted, Settled: settled})
		}
	}
	return out
}

// usageAfter returns the totals of the hubs that match and have changed after a state.
func (n *Node) usageAfter(after uint64, match func(hub, toldBy string) bool, now time.Time) []HubUsage {
	var out []HubUsage
	for hub, t := range n.totals {
		if !match(hub, t.toldBy) {
			continue
		}
		if usage := t.changesAfter(after, now); len(usage) > 0 {
			out = append(out, HubUsage{Hub: hub, Incarnation: t.incarnation, Usage: usage})
		}
	}
	return out
}

// informedAge returns how long ago this host was last told of the fleet by a hub.
func (n *Node) informedAge(now time.Time) time.Duration {
	if n.informedAt.IsZero() {
		return windowAge
	}
	return min(now.Sub(n.informedAt), windowAge)
}

// groupChanges returns what this host tells in a report: what has changed of itself and of
// its members.
func (n *Node) groupChanges(to *contact, now time.Time) Changes {
	after := to.through
	c := n.group.changes(after, "", recentAge, now)
	c.Through = n.state
	c.Usage = n.usageAfter(after, func(hub, toldBy string) bool { return hub == n.self.ID || n.isMember(toldBy) }, now)
	c.Hosts = n.hosts.changesAfter(min(after, to.hostsThrough), func(h *hostState) bool { return h.via == "" && n.isMember(h.Host.ID) })
	if after == 0 {
		c.Hubs = n.heardHubs(now)
		c.CoversMs = n.coveredTime(now).Milliseconds()
	}
	c.Suspects = n.suspects(true, "")
	c.Limits = n.limitsAfter(after, true, now)
	if c.First {
		c.Limits = n.local.AllLimits
	}
	return c
}

// fleetChanges returns what this host tells one of its members of the fleet.
func (n *Node) fleetChanges(member string, r *Report, now time.Time) Changes {
	after, informed := r.After, time.Duration(r.InformedMs)*time.Millisecond
	c := n.fleet.changes(after, member, max(recentAge, informed), now)
	if c.First {
		after = 0
		c.CoversMs = n.coveredTime(now).Milliseconds()
	}
	c.Through = n.state
	c.Usage = n.usageAfter(after, func(string, string) bool { return true }, now)
	c.Hosts = n.hosts.changesAfter(after, func(h *hostState) bool { return h.Host.ID != member })
	if r.Joining {
		c.Hosts = n.hostsToJoin(member, c.Hosts)
	}
	if c.First {
		c.Hosts = append(c.Hosts, HostRecord{Host: n.self, Status: n.local.Status, Round: n.round})
	}
	c.Suspects = n.suspects(false, member)
	c.Limits = n.limitsAfter(after, false, now)
	if c.First {
		c.Limits = append(c.Limits, n.local.AllLimits...)
	}
	return c
}

// coveredTime returns the time of which this process knows the totals.
func (n *Node) coveredTime(now time.Time) time.Duration {
	return min(now.Sub(n.started), windowAge)
}

// suspects returns the targets that hosts have ejected, but for those that only one host
// has. With group, only this host and its members count.
func (n *Node) suspects(group bool, except string) []string {
	seen := map[string]bool{}
	for _, target := range n.local.Suspects {
		seen[target] = true
	}
	for id, s := range n.sources {
		if id == except || group && s.hub {
			continue
		}
		for _, target := range s.suspects {
			seen[target] = true
		}
	}
	out := make([]string, 0, len(seen))
	for target := range seen {
		out = append(out, target)
	}
	slices.Sort(out)
	return out
}

func (n *Node) recordLimit(r backpressure.Report, fromGroup bool, now time.Time) {
	statedAt := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
	if l := n.limits[r.Target.ID]; l != nil && l.report.Target == r.Target && l.report.Leaving == r.Leaving && l.receivedAt.Add(-time.Duration(l.report.AgeMs)*time.Millisecond).After(statedAt) {
		return // a later statement is known
	}
	n.limits[r.Target.ID] = &limit{report: r, receivedAt: now, changed: n.state, fromGroup: fromGroup}
}

func (n *Node) limitsAfter(after uint64, group bool, now time.Time) []backpressure.Report {
	var out []backpressure.Report
	for _, l := range n.limits {
		if l.changed > after && (l.fromGroup || !group) {
			r := l.report
			r.AgeMs += now.Sub(l.receivedAt).Milliseconds()
			out = append(out, r)
		}
	}
	return out
}

// AddNotice adds a cache notice of this host.
func (n *Node) AddNotice(notice balance.CacheNotice, now time.Time) {
	n.state++
	n.group.addNotice(notice, n.self.ID, n.state, now)
	n.fleet.addNotice(notice, n.self.ID, n.state, now)
}
