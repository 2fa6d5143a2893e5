// Package routing chooses targets for requests by their predicted time to first token.
// It also implements the baseline policies for comparison, and the budgets and
// ejections that limit retries. It does no I/O; the current time is an argument.
package routing

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
	"github.com/sequoiaroad/sequoiaroad/policy/preset"
)

// The names of the policies.
const (
	PredictedTTFT = "predicted-ttft"
	RoundRobin    = "round-robin"
	LeastLoaded   = "least-loaded"
	PrefixHash    = "prefix-hash"
)

// minTieSeconds is a difference that is too small for a caller to notice.
const minTieSeconds = 0.002

// queuedRequestSeconds is about the time that a queued request takes, so that a
// queueing delay divided by it is the number of requests that a computation delays.
const queuedRequestSeconds = 0.1

// maxCountedQueueSeconds bounds what one target adds to the mean queueing delay, so
// that a single hot target does not look like an overload of all.
const maxCountedQueueSeconds = 0.5

// affinityShare is the share of the prefill penalty by which a target may be slower
// than the best one and still be chosen by rendezvous hashing. It is below 1, since
// prompts that share only their first block hash to the same target.
const affinityShare = 0.2

// minAffinityTokens is the uncached length from which on a prompt is likely to store
// blocks that others share, and not only its own end.
const minAffinityTokens = 2 * prefix.BlockBytes / prefix.BytesPerToken

// Exclusion is the reason why a target should not be chosen.
type Exclusion uint8

// The exclusions, in order of preference. Targets with one before Tried are used if no
// other target is left.
const (
	Usable Exclusion = iota
	Reinstating
	Refusing
	Ejected
	Loading
	Tried
	Leaving
)

func (e Exclusion) String() string {
	return [...]string{"", "reinstating", "refusing", "ejected", "loading", "tried", "leaving"}[e]
}

// Candidate is one target that serves the model. Times are in seconds.
type Candidate struct {
	// Handle is the target's position in the router.
	Handle int32
	// Cached and Uncached split the prompt's tokens.
	Cached, Uncached int32
	InFlight         int32
	Excluded         Exclusion
	// awaitsPrefill reports whether Cached includes blocks that another request is
	// computing now.
	awaitsPrefill bool
	// baseQueue is the queueing delay in seconds of the requests that a computation here
	// would delay, without the wait for a pending prefill.
	baseQueue float64
	// cost is the value that the policy minimizes.
	cost float64
	// Hash is the hash of the target's id for rendezvous hashing.
	Hash                                 uint64
	Network, Queue, Prefill, WeightsLoad float64
}

// Total returns the predicted time to first token in seconds.
func (c *Candidate) Total() float64 { return c.Network + c.Queue + c.Prefill + c.WeightsLoad }

// Prompt is the part of a request that a policy may use.
type Prompt struct {
	Chain []prefix.BlockHash
	// Hash is the hash of a prompt that is shorter than one block.
	Hash uint64
}

// rendezvousKey returns the key of block i for rendezvous hashing, or of the last block
// if the chain is shorter. Without a block it is the hash of the prompt.
func (p *Prompt) rendezvousKey(i int) uint64 {
	if i < 0 || len(p.Chain) == 0 {
		return p.Hash
	}
	return binary.LittleEndian.Uint64(p.Chain[min(i, len(p.Chain)-1)][:])
}

// Policy chooses one of the candidates with the lowest exclusion. Candidates above
// maxExclusion are not eligible.
type Policy interface {
	Name() string
	// Choose returns the position of the chosen candidate, or -1, and the reason.
	Choose(p *Prompt, candidates []Candidate, maxExclusion Exclusion) (int, string)
}

// NewPolicy returns the policy with the given name; the empty name means
// PredictedTTFT. The knobs are read at each choice.
func NewPolicy(name string, knobs *preset.Knobs) (Policy, error) {
	switch name {
	case "", PredictedTTFT:
		return &predictedTTFT{knobs: knobs}, nil
	case RoundRobin:
		return &roundRobin{}, nil
	case LeastLoaded:
		return &leastLoaded{}, nil
	case PrefixHash:
		return prefixHash{}, nil
	}
	return nil, errors.Errorf("routing policy %q is unknown", name)
}

// HashID returns the hash of a target id for rendezvous hashing. It is the same on all
// hosts.
func HashID(id string) uint64 { return xxhash.Sum64String(id) }

// rendezvous returns the score of a target for a key; the highest wins.
func rendezvous(key, targetHash uint64) uint64 {
	// The finalizer of splitmix64: hashing a string for each of hundreds of targets
	// would be too slow.
	x := key ^ targetHash
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// predictedTTFT minimizes the predicted time to first token.
type predictedTTFT struct {
	knobs *preset.Knobs
	// prefillPenalty is the cost of a second of computation in addition to its own
	// time, for the choice in progress.
	prefillPenalty float64
}

func (*predictedTTFT) Name() string { return PredictedTTFT }

// setPrefillPenalty derives the penalty of computations from the mean queueing delay
// over the targets. With a constant penalty, an overload made targets recompute what
// others had cached, which prolonged the overload. With each target's own queue, the
// short prefill on a warm target cost more than a whole recomputation elsewhere.
func (p *predictedTTFT) setPrefillPenalty(candidates []Candidate, maxExclusion Exclusion) {
	sum, count := 0.0, 0
	for i := range candidates {
		if candidates[i].Excluded <= maxExclusion {
			sum += min(candidates[i].baseQueue, maxCountedQueueSeconds)
			count++
		}
	}
	p.prefillPenalty = p.knobs.RecomputeWeight
	if count > 0 {
		p.prefillPenalty *= 1 + sum/float64(count)/queuedRequestSeconds
	}
}

// cost returns the predicted time to first token plus a penalty for the delay of other
// requests.
func (p *predictedTTFT) cost(c *Candidate) float64 { return c.Total() + p.prefillPenalty*c.Prefill }

func (p *predictedTTFT) Choose(prompt *Prompt, candidates []Candidate, maxExclusion Exclusion) (int, string) {
	p.setPrefillPenalty(candidates, maxExclusion)
	best, warm := -1, -1
	var bestCost, warmCost float64
	for i := range candidates {
		c := &candidates[i]
		if c.Excluded > maxExclusion {
			continue
		}
		c.cost = p.cost(c)
		cost := c.cost
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
		if warm < 0 || c.Cached > candidates[warm].Cached || c.Cached == candidates[warm].Cached && cost < warmCost {
			warm, warmCost = i, cost
		}
	}
	if best < 0 {
		return -1, ""
	}
	if candidates[warm].Cached > candidates[best].Cached {
		return p.spill(prompt, candidates, maxExclusion, best, warm)
	}
	ttftLimit := candidates[best].Total() + p.tieTolerance(&candidates[best])
	chosen := p.chooseByHash(candidates, maxExclusion, best, prompt.rendezvousKey(fullBlocks(candidates[best].Cached)), func(c *Candidate) bool {
		return c.Cached == candidates[best].Cached && c.Total() <= ttftLimit
	})
	if candidates[chosen].Cached > 0 {
		return chosen, "longest cached prefix in the least time"
	}
	return chosen, "no target has the prefix; least time, equals by prefix hash"
}

// spill chooses another target for a prefix if its warm target would take longer than a
// recomputation. The hashing key is the last block that the warm target has, so that
// all requests that share the hot prefix spill to the same target.
func (p *predictedTTFT) spill(prompt *Prompt, candidates []Candidate, maxExclusion Exclusion, best, warm int) (int, string) {
	key := prompt.rendezvousKey(fullBlocks(candidates[warm].Cached) - 1)
	costLimit, ttftLimit := candidates[warm].cost, candidates[best].Total()+p.tieTolerance(&candidates[best])
	chosen := p.chooseByHash(candidates, maxExclusion, best, key, func(c *Candidate) bool {
		return c.Cached >= candidates[best].Cached && c.Total() <= ttftLimit && c.cost < costLimit
	})
	return chosen, "the warm target's queue takes longer than a recomputation"
}

// tieTolerance returns by how many seconds a target may be slower than the best and
// still be chosen by hashing. A prefix that is stored away from its rendezvous target
// evicts blocks that others need, so that a longer computation justifies a longer wait
// for that target. Without it, short-lived differences between queues spread each
// prefix over the targets until no cache held its part of the working set.
func (p *predictedTTFT) tieTolerance(c *Candidate) float64 {
	tolerance := p.knobs.TieShare * c.Prefill
	if c.Uncached >= minAffinityTokens {
		tolerance += affinityShare * p.prefillPenalty * c.Prefill
	}
	return max(minTieSeconds, tolerance)
}

// chooseByHash returns the eligible candidate with the highest rendezvous score.
func (p *predictedTTFT) chooseByHash(candidates []Candidate, maxExclusion Exclusion, best int, key uint64, eligible func(*Candidate) bool) int {
	chosen, topScore := best, rendezvous(key, candidates[best].Hash)
	for i := range candidates {
		c := &candidates[i]
		if c.Excluded > maxExclusion {
			continue
		}
		if score := rendezvous(key, c.Hash); score > topScore && eligible(c) {
			chosen, topScore = i, score
		}
	}
	return chosen
}

func fullBlocks(tokens int32) int { return int(tokens) / (prefix.BlockBytes / prefix.BytesPerToken) }

// roundRobin chooses the targets in turn.
type roundRobin struct{ choices int }

func (*roundRobin) Name() string { return RoundRobin }

func (p *roundRobin) Choose(_ *Prompt, candidates []Candidate, maxExclusion Exclusion) (int, string) {
	for range candidates {
		p.choices++
		if i := p.choices % len(candidates); candidates[i].Excluded <= maxExclusion {
			return i, "next in turn"
		}
	}
	return -1, ""
}

// leastLoaded chooses the target with the fewest requests. Ties are broken in
// round-robin order.
type leastLoaded struct{ choices int }

func (*leastLoaded) Name() string { return LeastLoaded }

func (p *leastLoaded) Choose(_ *Prompt, candidates []Candidate, maxExclusion Exclusion) (int, string) {
	p.choices++
	best := -1
	for n := range candidates {
		i := (p.choices + n) % len(candidates)
		if candidates[i].Excluded <= maxExclusion && (best < 0 || candidates[i].InFlight < candidates[best].InFlight) {
			best = i
		}
	}
	return best, "fewest requests"
}

// prefixHashBlocks is the number of leading blocks that the prefix-hash baseline
// hashes. One block would send all prompts with a common system prompt to one target.
const prefixHashBlocks = 4

// prefixHash chooses by rendezvous hashing of the first blocks.
type prefixHash struct{}

func (prefixHash) Name() string { return PrefixHash }

func (prefixHash) Choose(prompt *Prompt, candidates []Candidate, maxExclusion Exclusion) (int, string) {
	best, topScore := -1, uint64(0)
	key := prompt.rendezvousKey(prefixHashBlocks - 1)
	for i := range candidates {
		if candidates[i].Excluded > maxExclusion {
			continue
		}
		if score := rendezvous(key, candidates[i].Hash); best < 0 || score > topScore {
			best, topScore = i, score
		}
	}
	return best, "hash of the first blocks"
}
