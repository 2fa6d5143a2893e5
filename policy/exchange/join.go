package exchange

import (
	"slices"
	"time"
)

// joinTime is how long a process that has just started reports to a seed, if that one has
// just started too. It covers the time within which all hosts start and two rounds. When all hosts start at the same time, each would otherwise report to all
// that it hears of before the groups are known.
const joinTime = 600 * time.Millisecond

// isJoining reports whether this host looks for its hub.
func (n *Node) isJoining(now time.Time) bool {
	if n.joining && (now.Sub(n.started) >= joinTime || len(n.seeds) == 0) {
		n.endJoining()
	}
	return len(n.seeds) > 0 && (n.joining && !n.hasMembers(now) || len(n.hosts.byID) == 0)
}

// IsJoining reports whether this host does not know the other hosts yet.
func (n *Node) IsJoining() bool { return n.joining }

// endJoining makes the host report to the hub of its group from now on.
func (n *Node) endJoining() {
	n.joining = false
	if n.up != nil {
		n.up.state = 0 // a host that joins is not told of all others
	}
}

// join returns a report to the host that this one joins: the hub that a seed has named, the
// seed that has answered, or one seed after the other.
func (n *Node) join(now time.Time) []Outgoing {
	for id := range n.redirects {
		if h := n.hosts.byID[id]; h != nil {
			return n.reportTo([]string{id}, false, now)
		}
	}
	if n.up != nil && now.Sub(n.up.repliedAt) <= liveTimeout && n.hosts.byID[n.up.id] != nil {
		return n.reportTo([]string{n.up.id}, false, now)
	}
	address := n.seeds[(n.round+hubScore(n.self.ID))%uint64(len(n.seeds))]
	return []Outgoing{{Address: address, Report: n.report("", &contact{}, false, now)}}
}

// reportToLostSeeds returns reports to the seeds that are not known as hosts, now and then,
// so that parts of a fleet that do not know each other are joined.
func (n *Node) reportToLostSeeds(now time.Time) []Outgoing {
	interval := seekInterval
	if !n.isYoung(now) {
		interval = seedInterval
	}
	if now.Sub(n.seedsAskedAt) < interval {
		return nil
	}
	n.seedsAskedAt = now
	known := map[string]bool{}
	for _, h := range n.hosts.byID {
		known[h.Host.InnerAddress] = known[h.Host.InnerAddress] || !h.status().Has(Unresponsive)
	}
	var out []Outgoing
	for _, address := range n.seeds {
		if !known[address] {
			out = append(out, Outgoing{Address: address, Report: n.report("", &contact{}, true, now)})
		}
	}
	return out
}

// hostsToJoin returns the records that a host needs to find its hub: those of its zone, and
// of so many others that it knows whether the fleet has groups.
func (n *Node) hostsToJoin(id string, records []HostRecord) []HostRecord {
	zone := n.hosts.byID[id].Host.Zone
	others := 0
	return slices.DeleteFunc(records, func(r HostRecord) bool {
		if r.Host.Zone == zone {
			return false
		}
		others++
		return others > DirectHosts
	})
}
