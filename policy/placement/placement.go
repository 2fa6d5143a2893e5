// Package placement assigns client accounts and prefixes to hosts and targets by
// weighted rendezvous hashing: when a node joins or leaves, only the keys that it gains
// or loses move.
package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// HomesPerAccount is the number of hosts that normally serve a client account. One of
// them holds the account's main pool; all hold a floor, a small guaranteed share of the
// rate.
const HomesPerAccount = 3

// Node is a host or a target.
type Node struct {
	ID     string
	Zone   string
	Region string
	// Weight scales the share of keys; zero means 1.
	Weight float64
}

// Hash returns the unweighted rendezvous score of a node for a key. The node with the
// highest score owns the key.
func Hash(key, nodeID string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(nodeID)
	return digest.Sum64()
}

// score returns the weighted rendezvous score -w/ln(u), where u is uniform in (0,1) by
// hashing.
func score(key string, n Node) float64 {
	const mantissaBits = 53
	u := (float64(Hash(key, n.ID)>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	weight := n.Weight
	if weight == 0 {
		weight = 1
	}
	return -weight / math.Log(u)
}

// Rank returns the nodes in rendezvous order for the key, best first. Ties are broken
// by ID so that all hosts agree.
func Rank(key string, nodes []Node) []Node {
	type scored struct {
		node  Node
		score float64
	}
	all := make([]scored, len(nodes))
	for i, n := range nodes {
		all[i] = scored{n, score(key, n)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.node.ID, b.node.ID)
	})
	ranked := make([]Node, len(all))
	for i := range all {
		ranked[i] = all[i].node
	}
	return ranked
}

// Homes returns the hosts of a client account, the owner first.
func Homes(accountID string, nodes []Node) []Node {
	ranked := Rank("account/"+accountID, nodes)
	return ranked[:min(HomesPerAccount, len(ranked))]
}

// Locate orders hosts for a caller. The account's homes come first, those in the
// caller's availability zone before the others; among equals the order is by the
// rendezvous rank of the prefix, so that requests with the same prefix go to the same
// host. All other hosts follow in the account's rendezvous order. An empty zone
// expresses no preference.
func Locate(accountID, prefixKey, zone string, nodes []Node) []Node {
	ranked := Rank("account/"+accountID, nodes)
	count := min(HomesPerAccount, len(ranked))
	homes := ranked[:count]
	if prefixKey != "" {
		homes = Rank("prefix/"+accountID+"/"+prefixKey, homes)
	}
	ordered := slices.Clone(homes)
	slices.SortStableFunc(ordered, func(a, b Node) int {
		return cmp.Compare(zoneRank(a, zone), zoneRank(b, zone))
	})
	return append(ordered, ranked[count:]...)
}

func zoneRank(n Node, zone string) int {
	if zone != "" && n.Zone == zone {
		return 0
	}
	return 1
}
