// Package routing chooses targets for requests: the predicted time to first token of
// each target, the baselines it is compared with, and the budgets and ejections that
// limit retries. It does no I/O; the time is an argument.
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

// minimumTie in seconds is below any difference that a caller notices.
const minimumTie = 0.002

// queueUnit in seconds is about the time that a queued request takes, so that a queue
// divided by it is the number of requests that a computation delays.
const queueUnit = 0.1

// longQueue in seconds bounds what one target adds to the mean queue, so that a single
// hot target does not look like an overload of all.
const longQueue = 0.5

// homeShare of the price of a computation is what its home is worth. It is below the
// price, since prompts that share only their first block have the same home.
const homeShare = 0.2

// minHomeTokens is the uncached part from which on a prompt is likely to store blocks
// that others share, and not only its own end.
const minHomeTokens = 2 * prefix.BlockBytes / prefix.BytesPerToken

// Exclusion says why a target may not be chosen.
type Exclusion uint8

// The exclusions. Those before Tried are used if no other target is left.
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
	// waits says that Cached includes blocks that another request computes now.
	waits bool
	// delays is the queue in seconds of other requests that a computation here delays.
	delays float64
	// cost is the policy's own figure.
	cost float64
	// Hash is the hash of the target's id for rendezvous hashing.
	Hash                                 uint64
	Network, Queue, Prefill, WeightsLoad float64
}

// Total is the predicted time to first token in seconds.
func (c *Candidate) Total() float64 { return c.Network + c.Queue + c.Prefill + c.WeightsLoad }

// Prompt is what a policy may know about a request.
type Prompt struct {
	Chain []prefix.BlockHash
	// Key stands for a prompt that is shorter than one block.
	Key uint64
}

// key returns the rendezvous key of block i, or of the whole prompt beyond its end.
func (p *Prompt) key(i int) uint64 {
	if i < 0 || len(p.Chain) == 0 {
		return p.Key
	}
	return binary.LittleEndian.Uint64(p.Chain[min(i, len(p.Chain)-1)][:])
}

// Policy chooses one of the candidates that have the lowest exclusion. Candidates
// with an exclusion above max are not eligible.
type Policy interface {
	Name() string
	// Choose returns the position of the choice and the reason, or -1.
	Choose(p *Prompt, candidates []Candidate, max Exclusion) (int, string)
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

// HashID returns the hash of a target id for rendezvous hashing. All hosts agree on it.
func HashID(id string) uint64 { return xxhash.Sum64String(id) }

// rendezvous returns the score of a target for a key; the highest wins.
func rendezvous(key, target uint64) uint64 {
	// The finalizer of splitmix64: a choice over hundreds of targets can't afford a
	// hash of strings for each.
	x := key ^ target
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// predictedTTFT minimizes the predicted time to first token.
type predictedTTFT struct {
	knobs *preset.Knobs
	// price is the cost of a second of computation besides its own time, for the choice
	// in progress.
	price float64
}

func (*predictedTTFT) Name() string { return PredictedTTFT }

// setPrice sets the price of computations from the mean queue that they delay. With a
// constant price, an overload made targets recompute what others had cached, which kept
// up the overload. With each target's own queue, the little that a warm target has to
// compute cost more than a whole recomputation elsewhere.
func (p *predictedTTFT) setPrice(candidates []Candidate, max Exclusion) {
	sum, count := 0.0, 0
	for i := range candidates {
		if candidates[i].Excluded <= max {
			sum += min(candidates[i].delays, longQueue)
			count++
		}
	}
	p.price = p.knobs.RecomputeWeight
	if count > 0 {
		p.price *= 1 + sum/float64(count)/queueUnit
	}
}

// cost is the predicted time to first token and a price for the delay of others.
func (p *predictedTTFT) cost(c *Candidate) float64 { return c.Total() + p.price*c.Prefill }

func (p *predictedTTFT) Choose(prompt *Prompt, candidates []Candidate, max Exclusion) (int, string) {
	p.setPrice(candidates, max)
	best, warm := -1, -1
	var bestCost, warmCost float64
	for i := range candidates {
		c := &candidates[i]
		if c.Excluded > max {
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
		return p.spill(prompt, candidates, max, best, warm)
	}
	tie := candidates[best].Total() + p.tie(&candidates[best])
	chosen := p.agree(candidates, max, best, prompt.key(blocksOf(candidates[best].Cached)), func(c *Candidate) bool {
		return c.Cached == candidates[best].Cached && c.Total() <= tie
	})
	if candidates[chosen].Cached > 0 {
		return chosen, "longest cached prefix in the least time"
	}
	return chosen, "no target has the prefix; least time, equals by prefix hash"
}

// spill chooses the second home of a prefix whose warm target would take longer than
// a recomputation. The key is the last block that the warm target has, so that all
// requests that share the hot prefix spill to the same target.
func (p *predictedTTFT) spill(prompt *Prompt, candidates []Candidate, max Exclusion, best, warm int) (int, string) {
	key := prompt.key(blocksOf(candidates[warm].Cached) - 1)
	limit, tie := candidates[warm].cost, candidates[best].Total()+p.tie(&candidates[best])
	chosen := p.agree(candidates, max, best, key, func(c *Candidate) bool {
		return c.Cached >= candidates[best].Cached && c.Total() <= tie && c.cost < limit
	})
	return chosen, "the warm target's queue takes longer than a recomputation"
}

// tie returns by how many seconds a target may be slower than the best and still be
// chosen by hashing. A prefix that is stored away from its home takes the place of
// blocks that others need, so that a longer computation is worth a longer wait at the
// home. Without that, queues that differ for a moment spread each prefix over the
// targets until no cache held its part of the working set.
func (p *predictedTTFT) tie(c *Candidate) float64 {
	tie := p.knobs.TieShare * c.Prefill
	if c.Uncached >= minHomeTokens {
		tie += homeShare * p.price * c.Prefill
	}
	return max(minimumTie, tie)
}

// agree returns the eligible candidate with the highest rendezvous score.
func (p *predictedTTFT) agree(candidates []Candidate, max Exclusion, best int, key uint64, eligible func(*Candidate) bool) int {
	chosen, top := best, rendezvous(key, candidates[best].Hash)
	for i := range candidates {
		c := &candidates[i]
		if c.Excluded > max {
			continue
		}
		if score := rendezvous(key, c.Hash); score > top && eligible(c) {
			chosen, top = i, score
		}
	}
	return chosen
}

func blocksOf(tokens int32) int { return int(tokens) / (prefix.BlockBytes / prefix.BytesPerToken) }

// roundRobin takes the targets in turn.
type roundRobin struct{ turn int }

func (*roundRobin) Name() string { return RoundRobin }

func (p *roundRobin) Choose(_ *Prompt, candidates []Candidate, max Exclusion) (int, string) {
	for range candidates {
		p.turn++
		if i := p.turn % len(candidates); candidates[i].Excluded <= max {
			return i, "next in turn"
		}
	}
	return -1, ""
}

// leastLoaded takes the target with the fewest requests, equals in turn.
type leastLoaded struct{ turn int }

func (*leastLoaded) Name() string { return LeastLoaded }

func (p *leastLoaded) Choose(_ *Prompt, candidates []Candidate, max Exclusion) (int, string) {
	p.turn++
	best := -1
	for n := range candidates {
		i := (p.turn + n) % len(candidates)
		if candidates[i].Excluded <= max && (best < 0 || candidates[i].InFlight < candidates[best].InFlight) {
			best = i
		}
	}
	return best, "fewest requests"
}

// hashedBlocks is the depth at which the prefix-hash baseline cuts a prompt. One block
// would send all prompts with a common system prompt to one target.
const hashedBlocks = 4

// prefixHash hashes the first blocks consistently over the targets.
type prefixHash struct{}

func (prefixHash) Name() string { return PrefixHash }

func (prefixHash) Choose(prompt *Prompt, candidates []Candidate, max Exclusion) (int, string) {
	best, top := -1, uint64(0)
	key := prompt.key(hashedBlocks - 1)
	for i := range candidates {
		if candidates[i].Excluded > max {
			continue
		}
		if score := rendezvous(key, candidates[i].Hash); best < 0 || score > top {
			best, top = i, score
		}
	}
	return best, "hash of the first blocks"
}
