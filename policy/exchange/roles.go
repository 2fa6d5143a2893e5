package exchange

import (
	"time"
)

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
