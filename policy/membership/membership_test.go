package membership

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

const listSize = 9

func apply(members []config.Member, c Change) []config.Member {
	members = slices.DeleteFunc(slices.Clone(members), func(m config.Member) bool { return slices.Contains(c.Remove, m) })
	return append(members, c.Add...)
}

func without(hosts, members []config.Member) []config.Member {
	return slices.DeleteFunc(slices.Clone(hosts), func(h config.Member) bool { return slices.Contains(members, h) })
}

// Guards against a list that needs one zone for a majority although other hosts are
// available, against a plan that never converges, and against replacements in a list
// that already tolerates the loss of a zone.
func TestPlanConvergesToAListThatToleratesAZoneLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := make([]config.Member, rapid.IntRange(1, 40).Draw(t, "hosts"))
		for i := range hosts {
			hosts[i] = config.Member{HostID: fmt.Sprintf("h%02d", i), Zone: fmt.Sprint("z", rapid.IntRange(0, 4).Draw(t, "zone"))}
		}
		members := rapid.Permutation(hosts).Draw(t, "order")[:rapid.IntRange(0, min(len(hosts), listSize)).Draw(t, "members")]
		changes := 0
		for ; ; changes++ {
			c := Plan(members, without(hosts, members), listSize)
			if c.Empty() {
				break
			}
			if len(c.Remove) > 0 && slices.Max(sizes(members)) <= MaxPerZone(listSize) {
				t.Fatalf("a tolerant list is changed by %+v", c)
			}
			members = apply(members, c)
			if changes > listSize {
				t.Fatal("the list does not converge")
			}
		}
		if len(members) != min(len(hosts), listSize) {
			t.Fatalf("%d members of %d hosts", len(members), len(hosts))
		}
		possible := 0
		for _, n := range sizes(hosts) {
			possible += min(n, MaxPerZone(listSize))
		}
		if len(hosts) >= listSize && possible >= listSize && slices.Max(sizes(members)) > MaxPerZone(listSize) {
			t.Fatalf("zones have %v members although a tolerant list is possible", sizes(members))
		}
	})
}

// Guards against a vacancy that is filled from a zone with more members than another
// candidate's zone.
func TestVacancyIsFilledFromTheZoneWithFewestMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members, candidates []config.Member
		for i := range 20 {
			h := config.Member{HostID: fmt.Sprint(i), Zone: fmt.Sprint("z", rapid.IntRange(0, 3).Draw(t, "zone"))}
			if i < listSize-1 {
				members = append(members, h)
			} else {
				candidates = append(candidates, h)
			}
		}
		added := Plan(members, candidates, listSize).Add
		counts := countByZone(members)
		for _, c := range candidates {
			if len(added) != 1 || counts[c.Zone] < counts[added[0].Zone] {
				t.Fatalf("added %v to %v although %v is a candidate", added, counts, c)
			}
		}
	})
}

func sizes(members []config.Member) []int {
	var sizes []int
	for _, n := range countByZone(members) {
		sizes = append(sizes, n)
	}
	return sizes
}
