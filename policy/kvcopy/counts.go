package kvcopy

import (
	"math"
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
)

const (
	// requestHalfLife is the half-life of the count of requests for a block. Engines
	// evict blocks within seconds, so older requests do not predict reuse.
	requestHalfLife = 10 * time.Second
	// maxCountedBlocks bounds the blocks that are counted, about 1 MB.
	maxCountedBlocks = 16_384
	// negligibleCount is what remains of a single request after three half-lives.
	negligibleCount = 0.125
)

// decayingCount is a count that decays exponentially.
type decayingCount struct {
	count     float64
	updatedAt time.Time
}

// requestCounts counts recent requests for blocks.
type requestCounts struct {
	blocks map[prefix.BlockHash]decayingCount
}

func newRequestCounts() requestCounts { return requestCounts{map[prefix.BlockHash]decayingCount{}} }

// add counts a request for a block.
func (r *requestCounts) add(block prefix.BlockHash, now time.Time) {
	c, ok := r.blocks[block]
	if !ok && len(r.blocks) >= maxCountedBlocks {
		r.expire(now)
	}
	r.blocks[block] = decayingCount{c.decayed(now) + 1, now}
}

// count returns the decayed count of a block.
func (r *requestCounts) count(block prefix.BlockHash, now time.Time) float64 {
	return r.blocks[block].decayed(now)
}

// expire drops blocks with negligible counts, or all blocks if none has a negligible
// count: those in frequent use are soon counted again.
func (r *requestCounts) expire(now time.Time) {
	for block, c := range r.blocks {
		if c.decayed(now) <= negligibleCount {
			delete(r.blocks, block)
		}
	}
	if len(r.blocks) >= maxCountedBlocks {
		clear(r.blocks)
	}
}

func (c decayingCount) decayed(now time.Time) float64 {
	if c.count == 0 {
		return 0
	}
	return c.count * math.Exp2(-max(0, now.Sub(c.updatedAt).Seconds())/requestHalfLife.Seconds())
}
