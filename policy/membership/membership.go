// Package membership decides which hosts are on the member list, so that a majority of
// the members survives the loss of one availability zone where the available hosts
// allow it.
package membership

import (
	"cmp"
	"slices"

	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// Change is a change of the member list. The zero value means no change.
type Change struct {
	Add    []config.Member
	Remove []config.Member
}

// Empty reports whether the list stays unchanged.
func (c Change) Empty() bool { return len(c.Add) == 0 && len(c.Remove) == 0 }

// Plan returns the next change of a member list with the given size. Vacancies are filled
// with candidates of the zone with the fewest members. In a full list, one member is
// replaced only if the loss of its zone would leave no majority and the candidates
// allow a list in which no single zone is needed for a majority. Any other improvement
// is not worth a new revision, which makes the new owners of accounts wait.
func Plan(members, candidates []config.Member, size int) Change {
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(c config.Member) bool {
		return slices.ContainsFunc(members, func(m config.Member) bool { return m.HostID == c.HostID })
	})
	slices.SortFunc(candidates, byID)
	counts := countByZone(members)
	var change Change
	for range size - len(members) {
		i := leastRepresented(counts, candidates, len(members)+len(candidates))
		if i < 0 {
			break
		}
		change.Add = append(change.Add, candidates[i])
		counts[candidates[i].Zone]++
		candidates = slices.Delete(candidates, i, i+1)
	}
	if len(members) == size && len(members) > 0 {
		return replaceMember(members, candidates, counts)
	}
	return change
}

// MaxPerZone returns how many members one zone may have so that a majority survives the
// loss of that zone.
func MaxPerZone(members int) int { return (members - 1) / 2 }

// replaceMember replaces one member of the zone with the most members if that zone
// exceeds the limit.
func replaceMember(members, candidates []config.Member, counts map[string]int) Change {
	limit := MaxPerZone(len(members))
	largest := slices.MaxFunc(members, func(a, b config.Member) int {
		return cmp.Or(cmp.Compare(counts[a.Zone], counts[b.Zone]), byID(a, b))
	})
	if counts[largest.Zone] <= limit || !canBalance(counts, candidates, limit, len(members)) {
		return Change{}
	}
	i := leastRepresented(counts, candidates, limit)
	if i < 0 {
		return Change{}
	}
	return Change{Add: []config.Member{candidates[i]}, Remove: []config.Member{largest}}
}

// canBalance reports whether the members and the candidates can fill the list with at
// most limit hosts of each zone.
func canBalance(counts map[string]int, candidates []config.Member, limit, size int) bool {
	all := countByZone(candidates)
	for zone, n := range counts {
		all[zone] += n
	}
	filled := 0
	for _, n := range all {
		filled += min(n, limit)
	}
	return filled >= size
}

// leastRepresented returns the index of the candidate whose zone has the fewest
// members, and fewer than limit; -1 if there is none.
func leastRepresented(counts map[string]int, candidates []config.Member, limit int) int {
	best := -1
	for i, c := range candidates {
		if counts[c.Zone] < limit && (best < 0 || counts[c.Zone] < counts[candidates[best].Zone]) {
			best = i
		}
	}
	return best
}

func countByZone(members []config.Member) map[string]int {
	counts := map[string]int{}
	for _, m := range members {
		counts[m.Zone]++
	}
	return counts
}

func byID(a, b config.Member) int { return cmp.Compare(a.HostID, b.HostID) }
