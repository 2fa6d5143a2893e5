package kvcopy

import (
	"math"
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
)

const (
	// heatHalfLife is how fast past requests for a block lose weight. Engines evict
	// blocks within seconds, so that older requests promise no reuse.
	heatHalfLife = 10 * time.Second
	// maxHeatBlocks bounds the blocks that are counted, about 1 MB.
	maxHeatBlocks = 16_384
	// negligibleHeat is what a single request leaves after three half-lives.
	negligibleHeat = 0.125
)

type warmth struct {
	level float64
	at    time.Time
}

// heat counts recent requests for blocks.
type heat struct{ blocks map[prefix.BlockHash]warmth }

func newHeat() heat { return heat{map[prefix.BlockHash]warmth{}} }

// touch counts a request.
func (h *heat) touch(block prefix.BlockHash, now time.Time) {
	w, known := h.blocks[block]
	if !known && len(h.blocks) >= maxHeatBlocks {
		h.expire(now)
	}
	h.blocks[block] = warmth{w.decayed(now) + 1, now}
}

// level returns the decayed count.
func (h *heat) level(block prefix.BlockHash, now time.Time) float64 {
	return h.blocks[block].decayed(now)
}

// expire drops cold blocks, or all if none is cold: the hot ones come back soon.
func (h *heat) expire(now time.Time) {
	for block, w := range h.blocks {
		if w.decayed(now) <= negligibleHeat {
			delete(h.blocks, block)
		}
	}
	if len(h.blocks) >= maxHeatBlocks {
		clear(h.blocks)
	}
}

func (w warmth) decayed(now time.Time) float64 {
	if w.level == 0 {
		return 0
	}
	return w.level * math.Exp2(-max(0, now.Sub(w.at).Seconds())/heatHalfLife.Seconds())
}
