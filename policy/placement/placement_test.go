package placement

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var zones = []string{"a", "b", "c"}

func drawNodes(t *rapid.T) []Node {
	ids := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z0-9]{1,8}`), 1, 20, rapid.ID).Draw(t, "ids")
	nodes := make([]Node, len(ids))
	for i, id := range ids {
		nodes[i] = Node{
			ID: id, Zone: rapid.SampledFrom(zones).Draw(t, "zone"),
			Weight: rapid.SampledFrom([]float64{0, 0.5, 1, 3}).Draw(t, "weight"),
		}
	}
	return nodes
}

func ids(nodes []Node) []string {
	out := make([]string, len(nodes))
	for i, n := range nodes {
		out[i] = n.ID
	}
	return out
}

// Guards against a node whose joining or leaving reorders the other nodes of a key,
// which would move keys that it neither gains nor loses.
func TestOnlyKeysOfTheChangedNodeMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := drawNodes(t)
		key := rapid.String().Draw(t, "key")
		removed := rapid.IntRange(0, len(nodes)-1).Draw(t, "removed")
		with := ids(Rank(key, nodes))
		without := ids(Rank(key, slices.Delete(slices.Clone(nodes), removed, removed+1)))
		expected := slices.DeleteFunc(with, func(id string) bool { return id == nodes[removed].ID })
		if !slices.Equal(without, expected) {
			t.Fatalf("order without %q is %v, want %v", nodes[removed].ID, without, expected)
		}
	})
}

// Guards against hosts that disagree because they list the nodes in a different order.
func TestRankDoesNotDependOnListOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := drawNodes(t)
		key := rapid.String().Draw(t, "key")
		shuffled := rapid.Permutation(nodes).Draw(t, "shuffled")
		if a, b := ids(Rank(key, nodes)), ids(Rank(key, shuffled)); !slices.Equal(a, b) {
			t.Fatalf("order depends on the list: %v and %v", a, b)
		}
	})
}

// Guards against a higher weight that makes a node lose a key.
func TestHigherWeightNeverLosesKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := drawNodes(t)
		key := rapid.String().Draw(t, "key")
		i := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
		before := slices.Index(ids(Rank(key, nodes)), nodes[i].ID)
		heavier := slices.Clone(nodes)
		heavier[i].Weight = max(heavier[i].Weight, 1) * 2
		if after := slices.Index(ids(Rank(key, heavier)), nodes[i].ID); after > before {
			t.Fatalf("a higher weight moved the node from rank %d to rank %d", before, after)
		}
	})
}

// Guards against shares of keys that are not proportional to the weights.
func TestWeightsGiveProportionalShares(t *testing.T) {
	g := NewWithT(t)
	nodes := []Node{{ID: "one"}, {ID: "two", Weight: 2}, {ID: "half", Weight: 0.5}, {ID: "four", Weight: 4}}
	const keys = 40_000
	count := map[string]int{}
	for i := range keys {
		count[Rank(fmt.Sprintf("key-%d", i), nodes)[0].ID]++
	}
	const total = 7.5
	for id, weight := range map[string]float64{"one": 1, "two": 2, "half": 0.5, "four": 4} {
		// Five standard deviations of a binomial share are below 0.0125 here.
		g.Expect(float64(count[id])/keys).To(BeNumerically("~", weight/total, 0.0125), id)
	}
}

// Guards against callers that are sent to a host without a share of their account
// although a home is available, and against hosts listed twice or not at all.
func TestLocateKeepsHomesFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := drawNodes(t)
		account := rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "account")
		prefix := rapid.SampledFrom([]string{"", "p", "q"}).Draw(t, "prefix")
		zone := rapid.SampledFrom(append([]string{""}, zones...)).Draw(t, "zone")
		located := Locate(account, prefix, zone, nodes)
		homes := Homes(account, nodes)
		front := ids(located[:len(homes)])
		if !slices.Equal(sorted(front), sorted(ids(homes))) {
			t.Fatalf("first hosts are %v, want the homes %v", front, ids(homes))
		}
		if !slices.Equal(sorted(ids(located)), sorted(ids(nodes))) {
			t.Fatalf("located %v, want each of %v once", ids(located), ids(nodes))
		}
		otherZoneSeen := false
		for _, n := range located[:len(homes)] {
			if zone != "" && n.Zone == zone && otherZoneSeen {
				t.Fatalf("home %q of zone %q follows one of another zone", n.ID, zone)
			}
			otherZoneSeen = otherZoneSeen || n.Zone != zone
		}
	})
}

func sorted(s []string) []string {
	s = slices.Clone(s)
	slices.Sort(s)
	return s
}

// Guards against requests with one prefix that are spread over several homes, and
// against all prefixes of an account going to one home.
func TestLocateSpreadsPrefixesOverHomes(t *testing.T) {
	g := NewWithT(t)
	nodes := benchmarkNodes(9)
	first := map[string]int{}
	const prefixes = 3000
	for i := range prefixes {
		first[Locate("club", fmt.Sprintf("prefix-%d", i), "", nodes)[0].ID]++
	}
	g.Expect(first).To(HaveLen(HomesPerAccount))
	for id, n := range first {
		g.Expect(n).To(BeNumerically("~", prefixes/HomesPerAccount, prefixes/10), id)
	}
}

func benchmarkNodes(n int) []Node {
	nodes := make([]Node, n)
	for i := range nodes {
		nodes[i] = Node{ID: fmt.Sprintf("host-%03d", i), Zone: zones[i%len(zones)]}
	}
	return nodes
}

// BenchmarkRank measures the ranking of all hosts for one account.
func BenchmarkRank(b *testing.B) {
	for _, hosts := range []int{9, 35, 350} {
		nodes := benchmarkNodes(hosts)
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Rank("account/club", nodes)
			}
		})
	}
}

// BenchmarkLocate measures the ordering of all hosts for one caller.
func BenchmarkLocate(b *testing.B) {
	for _, hosts := range []int{9, 35, 350} {
		nodes := benchmarkNodes(hosts)
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Locate("club", "prefix", "a", nodes)
			}
		})
	}
}
