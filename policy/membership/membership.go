// Package membership decides which hosts hold the places of the member list, so that
// the loss of one availability zone leaves a majority of the members where the hosts
// allow it.
package membership

import (
	"cmp"
	"slices"

	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// Change is a change of the member list. The zero value means none.
type Change struct {
	Add    []config.Member
	Remove []config.Member
}

// Empty reports whether the list stays as it is.
func (c Change) Empty() bool { return len(c.Add) == 0 && len(c.Remove) == 0 }

// Plan returns the next change. Free places go to waiting hosts of the zone with the
// fewest members. In a full list one member is replaced only if the loss of its zone
// would leave no majority and the waiting hosts allow a list in which no zone is
// needed for one; any other improvement is not worth a revision and the wait of new
// owners of accounts.
func Plan(members, waiting []config.Member, places int) Change {
	waiting = slices.DeleteFunc(slices.Clone(waiting), func(w config.Member) bool {
		return slices.ContainsFunc(members, func(m config.Member) bool { return m.HostID == w.HostID })
	})
	slices.SortFunc(waiting, byID)
	counts := count(members)
	var change Change
	for range places - len(members) {
		i := fewest(counts, waiting, len(members)+len(waiting))
		if i < 0 {
			break
		}
		change.Add = append(change.Add, waiting[i])
		counts[waiting[i].Zone]++
		waiting = slices.Delete(waiting, i, i+1)
	}
	if len(members) == places && len(members) > 0 {
		return swap(members, waiting, counts)
	}
	return change
}

// MaxPerZone is the largest number of members that one zone may have if its loss is to
// leave a majority.
func MaxPerZone(members int) int { return (members - 1) / 2 }

// swap replaces one member of a zone with too many.
func swap(members, waiting []config.Member, counts map[string]int) Change {
	limit := MaxPerZone(len(members))
	largest := slices.MaxFunc(members, func(a, b config.Member) int {
		return cmp.Or(cmp.Compare(counts[a.Zone], counts[b.Zone]), byID(a, b))
	})
	if counts[largest.Zone] <= limit || !spreadable(counts, waiting, limit, len(members)) {
		return Change{}
	}
	i := fewest(counts, waiting, limit)
	if i < 0 {
		return Change{}
	}
	return Change{Add: []config.Member{waiting[i]}, Remove: []config.Member{largest}}
}

// spreadable reports whether the members and the waiting hosts can fill the places
// with at most limit hosts of a zone.
func spreadable(counts map[string]int, waiting []config.Member, limit, places int) bool {
	all := count(waiting)
	for zone, n := range counts {
		all[zone] += n
	}
	filled := 0
	for _, n := range all {
		filled += min(n, limit)
	}
	return filled >= places
}

// fewest returns the index of the waiting host whose zone has the fewest members, and
// less than limit; -1 if there is none.
func fewest(counts map[string]int, waiting []config.Member, limit int) int {
	best := -1
	for i, w := range waiting {
		if counts[w.Zone] < limit && (best < 0 || counts[w.Zone] < counts[waiting[best].Zone]) {
			best = i
		}
	}
	return best
}

func count(members []config.Member) map[string]int {
	counts := map[string]int{}
	for _, m := range members {
		counts[m.Zone]++
	}
	return counts
}

func byID(a, b config.Member) int { return cmp.Compare(a.HostID, b.HostID) }
