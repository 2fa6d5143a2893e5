package exchange

import (
	"slices"
	"time"
)

// candidates returns the groups of all hosts, this one included.
func (n *Node) candidates() [][]candidate {
	if n.groupsVersion == n.hosts.version {
		return n.groups
	}
	all := make([]candidate, 0, len(n.hosts.byID)+1)
	all = append(all, candidate{host: n.self})
	for _, h := range n.hosts.byID {
		all = append(all, candidate{host: h.Host})
	}
	n.groups, n.groupsVersion = splitGroups(all), n.hosts.version
	return n.groups
}

// refresh fills in the present state of the hosts of a group and orders them by how fit
// they are to be its hub.
func (n *Node) refresh(group []candidate, now time.Time) {
	for i := range group {
		c := &group[i]
		if c.host.ID == n.self.ID {
			c.status, c.failed = n.local.Status, false
			continue
		}
		h, known := n.hosts.byID[c.host.ID], n.contacts[c.host.ID]
		c.status = h.status()
		c.failed = known != nil && now.Before(known.failedUntil)
	}
	slices.SortFunc(group, compareCandidates)
}

// Hub returns the hub of this host, which is the host itself while it has members.
func (n *Node) Hub(now time.Time) string {
	if n.hasMembers(now) {
		return n.self.ID
	}
	for _, group := range n.candidates() {
		if slices.ContainsFunc(group, func(c candidate) bool { return c.host.ID == n.self.ID }) {
			n.refresh(group, now)
			return group[0].host.ID
		}
	}
	return n.self.ID
}

// IsHub reports whether this host is a hub, which watches the store for its group.
func (n *Node) IsHub(now time.Time) bool { return n.Hub(now) == n.self.ID }

// hasMembers reports whether hosts that are no hubs report to this one.
func (n *Node) hasMembers(now time.Time) bool {
	for _, s := range n.sources {
		if !s.hub && now.Sub(s.heardAt) <= liveTimeout {
			return true
		}
	}
	return false
}

// otherHubs returns the hosts to which a hub reports: the hubs that it hears and those that
// were named to it, the best candidate of each group of which it hears none, and now and
// then the hosts that would be better hubs of its own group.
func (n *Node) otherHubs(now time.Time) []string {
	hubs := map[string]bool{}
	for id, s := range n.sources {
		if s.hub && now.Sub(s.heardAt) <= liveTimeout && n.hosts.byID[id] != nil {
			hubs[id] = true
		}
	}
	for id := range n.redirects {
		if n.hosts.byID[id] != nil {
			hubs[id] = true
		}
	}
	for _, group := range n.candidates() {
		own := slices.ContainsFunc(group, func(c candidate) bool { return c.host.ID == n.self.ID })
		heard := slices.ContainsFunc(group, func(c candidate) bool { return hubs[c.host.ID] })
		switch {
		case own:
			n.addBetterCandidates(group, hubs, now)
		case !heard:
			n.refresh(group, now)
			n.seek(group[0], hubs, now)
		}
	}
	out := make([]string, 0, len(hubs))
	for id := range hubs {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// addBetterCandidates adds the hosts of the own group that come before this host.
func (n *Node) addBetterCandidates(group []candidate, hubs map[string]bool, now time.Time) {
	n.refresh(group, now)
	for _, c := range group {
		if c.host.ID != n.self.ID && compareRank(c.host, n.self) < 0 {
			n.seek(c, hubs, now)
		}
	}
}

// seek adds a host that may be a hub. One that does not respond is asked only now and then.
func (n *Node) seek(c candidate, hubs map[string]bool, now time.Time) {
	known := n.contacts[c.host.ID]
	if known != nil && (c.failed || c.status.Has(Unresponsive)) && now.Sub(known.lastAttemptAt) < seekInterval {
		return
	}
	hubs[c.host.ID] = true
}

// becomeMember ends the use of reports of other hubs, since the own hub tells of the fleet.
func (n *Node) becomeMember(learned *Learned, now time.Time) {
	for id, s := range n.sources {
		if s.hub {
			n.dropLoads(s, learned, now)
			delete(n.sources, id)
		}
	}
}

// leaveHub ends the use of what a hub has told of the fleet.
func (n *Node) leaveHub(learned *Learned) {
	if n.up == nil {
		return
	}
	n.dropUpstreamLoads(learned)
	n.up = nil
}

// heardHubIDs returns the hubs that report to this host.
func (n *Node) heardHubIDs(now time.Time) []string {
	var out []string
	for id := range n.sources {
		if n.hosts.byID[id] != nil && n.isHeardHub(id, now) {
			out = append(out, id)
		}
	}
	return out
}

func (n *Node) heardHubs(now time.Time) []Host {
	var out []Host
	for _, id := range n.heardHubIDs(now) {
		out = append(out, n.hosts.byID[id].Host)
	}
	return out
}

// memberDigest identifies the responsive hosts of which a hub has told, or those that report
// to this host if hub is empty.
func (n *Node) memberDigest(hub string) uint64 {
	var digest uint64
	for id, h := range n.hosts.byID {
		if h.via == hub && !h.status().Has(Unresponsive) && (hub != "" || n.isMember(id)) {
			digest ^= hubScore(id)
		}
	}
	return digest
}

func (n *Node) isMember(id string) bool {
	s := n.sources[id]
	return s != nil && !s.hub
}
