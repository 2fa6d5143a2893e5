package gossip

import (
	"cmp"
	"slices"
)

const (
	// MaxRelays bounds the hosts that contact members directly. With 9 members and 350
	// hosts, a member has about 6 relays. A relay has about 6 leaves that contact it
	// regularly, and as many that use it as their backup.
	MaxRelays = 50
	// parentsPerHost counts the regular contact and one backup.
	parentsPerHost = 2
)

// Layout is the tree over which freshness evidence and records spread: members contact
// each other, relays contact members, and all other hosts contact relays. It depends
// only on the host IDs, so that hosts with the same table agree. The loss of a host
// changes only the parents of the hosts that contacted it and of one new relay.
type Layout struct {
	members []string
	parents map[string][]string
}

// NewLayout lays out the live hosts. Members that are not live are used as parents only
// if no member is live.
func NewLayout(members, live []string) *Layout {
	l := &Layout{members: members, parents: map[string][]string{}}
	roots := intersect(members, live)
	if len(roots) == 0 {
		roots = members
	}
	var others []string
	for _, id := range live {
		if !slices.Contains(members, id) {
			others = append(others, id)
		}
	}
	sortByHash("relay", others)
	relays := others[:min(len(others), MaxRelays)]
	for i, id := range others {
		if i < len(relays) {
			l.parents[id] = topRanked(id, roots)
		} else {
			l.parents[id] = topRanked(id, relays)
		}
	}
	return l
}

// Parents returns the hosts that a non-member contacts, the regular contact first.
func (l *Layout) Parents(hostID string) []string { return l.parents[hostID] }

// IsMember reports whether the host is a member; members contact all other members.
func (l *Layout) IsMember(hostID string) bool { return slices.Contains(l.members, hostID) }

// MonitoredHost is a host whose liveness another host monitors.
type MonitoredHost struct {
	HostID string
	// Backup reports that another live host is the primary monitor.
	Backup bool
}

// Monitored returns the hosts that a host monitors: those that contact it.
func (l *Layout) Monitored(hostID string) []MonitoredHost {
	var monitored []MonitoredHost
	if l.IsMember(hostID) {
		for _, m := range l.members {
			if m != hostID {
				monitored = append(monitored, MonitoredHost{HostID: m})
			}
		}
	}
	for id, parents := range l.parents {
		if rank := slices.Index(parents, hostID); rank >= 0 {
			monitored = append(monitored, MonitoredHost{HostID: id, Backup: rank > 0})
		}
	}
	slices.SortFunc(monitored, func(a, b MonitoredHost) int { return cmp.Compare(a.HostID, b.HostID) })
	return monitored
}

// topRanked returns the first candidates in a host's rendezvous order.
func topRanked(hostID string, candidates []string) []string {
	ranked := slices.Clone(candidates)
	sortByHash(hostID, ranked)
	return ranked[:min(len(ranked), parentsPerHost)]
}

func sortByHash(key string, ids []string) {
	hashes := make(map[string]uint64, len(ids))
	for _, id := range ids {
		hashes[id] = hashOf(key, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(hashes[a], hashes[b]), cmp.Compare(a, b))
	})
}

func intersect(a, b []string) []string {
	var both []string
	for _, id := range a {
		if slices.Contains(b, id) {
			both = append(both, id)
		}
	}
	return both
}
