package exchange

import (
	"cmp"
	"slices"

	"github.com/sequoiaroad/sequoiaroad/policy/placement"
)

const (
	// DirectHosts is the largest fleet in which each host is a hub and reports to all
	// others.
	DirectHosts = 16
	// maxGroup bounds the hosts that report to one hub.
	maxGroup = 64
)

// candidate is a host that may be the hub of its group.
type candidate struct {
	host   Host
	status Status
	// failed means that a call of this host to it has failed recently.
	failed bool
}

// hubScore orders the hosts of a group that are equally fit to be its hub.
func hubScore(id string) uint64 { return placement.Hash("hub", id) }

// compareCandidates orders the hosts of a group by how fit they are to be its hub. A host
// that the store does not respond to is worse than one that it responds to, since the hub
// watches the store for its group.
func compareCandidates(a, b candidate) int {
	for _, unfit := range [...]func(candidate) bool{
		func(c candidate) bool { return c.failed },
		func(c candidate) bool { return c.status.Has(Unresponsive) },
		func(c candidate) bool { return c.status.Has(Draining) },
		func(c candidate) bool { return c.status.Has(StoreUnreachable) },
	} {
		if unfit(a) != unfit(b) {
			if unfit(a) {
				return 1
			}
			return -1
		}
	}
	return compareRank(a.host, b.host)
}

// compareRank orders hosts by their rank as hubs, whatever their state.
func compareRank(a, b Host) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(hubScore(b.ID), hubScore(a.ID)), cmp.Compare(a.ID, b.ID))
}

// splitGroups splits hosts into groups: in a small fleet each host is one, in a larger one
// the hosts of each availability zone are, in even parts of at most maxGroup. Hosts that know the same
// hosts compute the same groups.
func splitGroups(all []candidate) [][]candidate {
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.host.Zone, b.host.Zone), cmp.Compare(a.host.ID, b.host.ID))
	})
	var out [][]candidate
	if len(all) <= DirectHosts {
		for i := range all {
			out = append(out, all[i:i+1])
		}
		return out
	}
	for start := 0; start < len(all); {
		end := start
		for end < len(all) && all[end].host.Zone == all[start].host.Zone {
			end++
		}
		zone := all[start:end]
		parts := (len(zone) + maxGroup - 1) / maxGroup
		for i := range parts {
			out = append(out, zone[i*len(zone)/parts:(i+1)*len(zone)/parts])
		}
		start = end
	}
	return out
}
