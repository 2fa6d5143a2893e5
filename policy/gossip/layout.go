package gossip

import (
	"cmp"
	"slices"
)

const (
	// MaxRelays bounds the hosts that contact members directly. With 9 members and 350
	// hosts a member has about 6 relays and a relay about 6 leaves that contact it
	// regularly, and as many for which it is the backup.
	MaxRelays = 50
	// parentsPerHost is a regular contact and a backup.
	parentsPerHost = 2
)

// Layout is the tree by which evidence and records spread: members contact each
// other, relays contact members, and the other hosts contact relays. It depends only
// on the ids, so that hosts with the same table agree, and the loss of a host moves
// only the hosts that contacted it and one new relay.
type Layout struct {
	members []string
	parents map[string][]string
}

// NewLayout lays out the live hosts. Members that are not live are used as parents
// only if none is live.
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
			l.parents[id] = top(id, roots)
		} else {
			l.parents[id] = top(id, relays)
		}
	}
	return l
}

// Parents returns the hosts that a host that is no member contacts, the regular one
// first.
func (l *Layout) Parents(hostID string) []string { return l.parents[hostID] }

// IsMember reports whether the host contacts all members.
func (l *Layout) IsMember(hostID string) bool { return slices.Contains(l.members, hostID) }

// Watch is a host that another host has to watch.
type Watch struct {
	HostID string
	// Backup says that another live host watches it first.
	Backup bool
}

// Watched returns the hosts that a host watches: those that contact it.
func (l *Layout) Watched(hostID string) []Watch {
	var watched []Watch
	if l.IsMember(hostID) {
		for _, m := range l.members {
			if m != hostID {
				watched = append(watched, Watch{HostID: m})
			}
		}
	}
	for id, parents := range l.parents {
		if rank := slices.Index(parents, hostID); rank >= 0 {
			watched = append(watched, Watch{HostID: id, Backup: rank > 0})
		}
	}
	slices.SortFunc(watched, func(a, b Watch) int { return cmp.Compare(a.HostID, b.HostID) })
	return watched
}

// top returns the first candidates in rendezvous order of a host.
func top(hostID string, candidates []string) []string {
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
