// Package fanout decides to which hosts a host sends its state, so that the number of
// messages per host grows with the square root of the fleet. Hosts form groups within
// their availability zone. A host sends its state to its own group and to one host of
// each other group, which relays it to that group. The package does no I/O.
package fanout

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiaroad/sequoiaroad/policy/placement"
)

// DirectHosts is the largest fleet in which each host sends to all others.
const DirectHosts = 16

// Host is a host of the fleet.
type Host struct {
	ID   string
	Zone string
	// Unresponsive reports that nothing has been received from the host recently. It is
	// not used as a relay while its group has responsive hosts.
	Unresponsive bool
	// StoreUnreachable reports that the store does not respond to the host.
	StoreUnreachable bool
}

// Layout is the grouping of the fleet from the point of view of one host. Hosts with
// the same list of hosts compute the same groups.
type Layout struct {
	self        Host
	group       []Host
	otherGroups [][]Host
}

// NewLayout groups the host itself and the others.
func NewLayout(self Host, others []Host) *Layout {
	l := &Layout{self: self}
	if len(others) < DirectHosts {
		l.group = others
		return l
	}
	for _, group := range groups(append(slices.Clone(others), self)) {
		i := slices.IndexFunc(group, func(h Host) bool { return h.ID == self.ID })
		if i < 0 {
			l.otherGroups = append(l.otherGroups, group)
			continue
		}
		l.group = slices.Delete(group, i, i+1)
	}
	return l
}

// groups splits each zone into even groups of about the square root of the fleet size.
func groups(all []Host) [][]Host {
	slices.SortFunc(all, func(a, b Host) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.ID, b.ID))
	})
	groupSize := math.Sqrt(float64(len(all)))
	var out [][]Host
	for start := 0; start < len(all); {
		end := start
		for end < len(all) && all[end].Zone == all[start].Zone {
			end++
		}
		zone := all[start:end]
		count := max(1, int(math.Round(float64(len(zone))/groupSize)))
		for i := range count {
			out = append(out, slices.Clone(zone[i*len(zone)/count:(i+1)*len(zone)/count]))
		}
		start = end
	}
	return out
}

// Direct reports whether the host sends to all others itself, without relays.
func (l *Layout) Direct() bool { return len(l.otherGroups) == 0 }

// Group returns the other hosts of the host's own group; all others if the layout is
// direct.
func (l *Layout) Group() []Host { return l.group }

// WatchesStore reports whether the host watches the store for its group and forwards
// changes to it. In a small fleet every host does. So does a host to which the store
// does not respond, until it responds again.
func (l *Layout) WatchesStore() bool {
	if l.Direct() || l.self.StoreUnreachable {
		return true
	}
	ownScore := watchScore(l.self)
	for _, h := range l.group {
		if !h.Unresponsive && !h.StoreUnreachable && watchScore(h) > ownScore {
			return false
		}
	}
	return true
}

func watchScore(h Host) uint64 { return placement.Hash("follow", h.ID) }

// Contacts returns one host of each other group. Each round picks a different one, so
// that a contact that has just failed leaves its group without the state for one round
// only.
func (l *Layout) Contacts(round uint64) []Host {
	offset := xxhash.Sum64String(l.self.ID)
	out := make([]Host, 0, len(l.otherGroups))
	for _, group := range l.otherGroups {
		out = append(out, contact(group, offset+round))
	}
	return out
}

func contact(group []Host, first uint64) Host {
	n := uint64(len(group))
	for i := range n {
		if h := group[(first+i)%n]; !h.Unresponsive {
			return h
		}
	}
	return group[first%n]
}
