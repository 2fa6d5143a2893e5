// Package spread decides to which hosts a host sends its state, so that the messages of
// a host grow with the square root of the fleet. Hosts form groups inside their
// availability zone. A host tells its own group, and one host of each other group, which
// passes the state on to that group. It does no I/O.
package spread

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiaroad/sequoiaroad/policy/placement"
)

// DirectHosts is the size of a fleet up to which each host sends to all others.
const DirectHosts = 16

// Host is a host of the fleet.
type Host struct {
	ID   string
	Zone string
	// Unresponsive says that the host has not been heard of late. It is not asked to pass
	// state on while its group has others.
	Unresponsive bool
	// StoreUnreachable says that the store does not answer the host.
	StoreUnreachable bool
}

// Layout is the fleet as one host sees it. Hosts with the same members have the same
// groups.
type Layout struct {
	self   Host
	own    []Host
	others [][]Host
}

// NewLayout groups the host itself and the others.
func NewLayout(self Host, others []Host) *Layout {
	l := &Layout{self: self}
	if len(others) < DirectHosts {
		l.own = others
		return l
	}
	for _, group := range groups(append(slices.Clone(others), self)) {
		i := slices.IndexFunc(group, func(h Host) bool { return h.ID == self.ID })
		if i < 0 {
			l.others = append(l.others, group)
			continue
		}
		l.own = slices.Delete(group, i, i+1)
	}
	return l
}

// groups cuts each zone into even groups of about the square root of the fleet.
func groups(all []Host) [][]Host {
	slices.SortFunc(all, func(a, b Host) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.ID, b.ID))
	})
	size := math.Sqrt(float64(len(all)))
	var out [][]Host
	for start := 0; start < len(all); {
		end := start
		for end < len(all) && all[end].Zone == all[start].Zone {
			end++
		}
		zone := all[start:end]
		parts := max(1, int(math.Round(float64(len(zone))/size)))
		for i := range parts {
			out = append(out, slices.Clone(zone[i*len(zone)/parts:(i+1)*len(zone)/parts]))
		}
		start = end
	}
	return out
}

// Direct reports whether the host tells all others by itself.
func (l *Layout) Direct() bool { return len(l.others) == 0 }

// Group returns the other hosts of the own group; all others if the layout is direct.
func (l *Layout) Group() []Host { return l.own }

// WatchesStore reports whether the host follows the store for its group, which it tells of
// changes. In a small fleet every host does, and so does one that the store does not
// answer, until it answers again.
func (l *Layout) WatchesStore() bool {
	if l.Direct() || l.self.StoreUnreachable {
		return true
	}
	own := followScore(l.self)
	for _, h := range l.own {
		if !h.Unresponsive && !h.StoreUnreachable && followScore(h) > own {
			return false
		}
	}
	return true
}

func followScore(h Host) uint64 { return placement.Hash("follow", h.ID) }

// Contacts returns one host of each other group. Each round picks another one, so that
// a host which has just died keeps the state from its group for one round.
func (l *Layout) Contacts(round uint64) []Host {
	offset := xxhash.Sum64String(l.self.ID)
	out := make([]Host, 0, len(l.others))
	for _, group := range l.others {
		out = append(out, contact(group, offset+round))
	}
	return out
}

func contact(group []Host, turn uint64) Host {
	n := uint64(len(group))
	for i := range n {
		if h := group[(turn+i)%n]; !h.Unresponsive {
			return h
		}
	}
	return group[turn%n]
}
