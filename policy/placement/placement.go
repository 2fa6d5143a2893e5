// Package placement assigns client accounts and prefixes to hosts and targets by
// weighted rendezvous hashing: when a node joins or leaves, only the keys that it
// gains or loses move.
package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// HomesPerAccount is the number of hosts that serve a client account as a rule. One
// holds the account's pool, all hold a floor.
const HomesPerAccount = 3

// Node is a host or a target.
type Node struct {
	ID     string
	Zone   string
	Region string
	// Weight scales the share of keys; zero means 1.
	Weight float64
}

// Hash is the unweighted rendezvous score of a node for a key: the node with the
// highest one has the key.
func Hash(key, nodeID string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(nodeID)
	return digest.Sum64()
}

// score is the weighted rendezvous score -w/ln(u), u uniform in (0,1) by hashing.
func score(key string, n Node) float64 {
	const mantissaBits = 53
	u := (float64(Hash(key, n.ID)>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	weight := n.Weight
	if weight == 0 {
		weight = 1
	}
	return -weight / math.Log(u)
}

// Rank returns the nodes in rendezvous order for the key, best first. Ties are
// broken by id so that all hosts agree.
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

// Locate orders hosts for a caller: the account's homes first, those of the caller's
// availability zone before the others, and among equals the home that the prefix
// ranks best, so that requests with one prefix meet at one host. The other hosts
// follow in the account's rendezvous order. An empty zone prefers none.
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
