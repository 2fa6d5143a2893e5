package membership

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

const places = 9

func apply(members []config.Member, c Change) []config.Member {
	members = slices.DeleteFunc(slices.Clone(members), func(m config.Member) bool { return slices.Contains(c.Remove, m) })
	return append(members, c.Add...)
}

func without(hosts, members []config.Member) []config.Member {
	return slices.DeleteFunc(slices.Clone(hosts), func(h config.Member) bool { return slices.Contains(members, h) })
}

// Guards against a list that needs one zone for a majority although another choice
// does not, against a choice that goes on changing, and against replacements in a list
// that is good enough.
func TestPlanSettlesInATolerantList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := make([]config.Member, rapid.IntRange(1, 40).Draw(t, "hosts"))
		for i := range hosts {
			hosts[i] = config.Member{HostID: fmt.Sprintf("h%02d", i), Zone: fmt.Sprint("z", rapid.IntRange(0, 4).Draw(t, "zone"))}
		}
		members := rapid.Permutation(hosts).Draw(t, "order")[:rapid.IntRange(0, min(len(hosts), places)).Draw(t, "members")]
		changes := 0
		for ; ; changes++ {
			c := Plan(members, without(hosts, members), places)
			if c.Empty() {
				break
			}
			if len(c.Remove) > 0 && slices.Max(sizes(members)) <= MaxPerZone(places) {
				t.Fatalf("a tolerant list is changed by %+v", c)
			}
			members = apply(members, c)
			if changes > places {
				t.Fatal("the list does not settle")
			}
		}
		if len(members) != min(len(hosts), places) {
			t.Fatalf("%d members of %d hosts", len(members), len(hosts))
		}
		possible := 0
		for _, n := range sizes(hosts) {
			possible += min(n, MaxPerZone(places))
		}
		if len(hosts) >= places && possible >= places && slices.Max(sizes(members)) > MaxPerZone(places) {
			t.Fatalf("zones have %v members", sizes(members))
		}
	})
}

// Guards against a replacement from a zone that has more members than another.
func TestFreePlaceGoesToTheSmallestZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members, waiting []config.Member
		for i := range 20 {
			h := config.Member{HostID: fmt.Sprint(i), Zone: fmt.Sprint("z", rapid.IntRange(0, 3).Draw(t, "zone"))}
			if i < places-1 {
				members = append(members, h)
			} else {
				waiting = append(waiting, h)
			}
		}
		added := Plan(members, waiting, places).Add
		counts := count(members)
		for _, w := range waiting {
			if len(added) != 1 || counts[w.Zone] < counts[added[0].Zone] {
				t.Fatalf("added %v to %v although %v waits", added, counts, w)
			}
		}
	})
}

func sizes(members []config.Member) []int {
	var sizes []int
	for _, n := range count(members) {
		sizes = append(sizes, n)
	}
	return sizes
}
