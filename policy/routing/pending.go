package routing

import (
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
)

// maxPending bounds the blocks that are tracked while they are prefilled.
const maxPending = 1 << 16

// pendingBlock is a block that a target is computing.
type pendingBlock struct {
	handle   int32
	flightID uint64
	// firstBlock is the first block that the flight computes; the target has those
	// before it.
	firstBlock int
	readyAt    time.Time
	// expiresAt is when the entry is dropped if its request never ends.
	expiresAt time.Time
}

// pendingPrefills prevents duplicate prefills of a cold prefix: while one request
// computes it, later requests with the same uncached blocks go to the same target.
type pendingPrefills struct {
	blocks map[prefix.BlockHash]pendingBlock
}

// start records that a request computes the blocks on a target. Blocks that another
// request is already computing there keep their entry.
func (p *pendingPrefills) start(blocks []prefix.BlockHash, b pendingBlock, now time.Time) {
	for _, h := range blocks {
		if len(p.blocks) >= maxPending {
			return
		}
		if old, ok := p.blocks[h]; ok && old.handle == b.handle && old.expiresAt.After(now) {
			continue
		}
		p.blocks[h] = b
	}
}

// end removes the entries of a request.
func (p *pendingPrefills) end(blocks []prefix.BlockHash, flightID uint64) {
	for _, h := range blocks {
		if b, ok := p.blocks[h]; ok && b.flightID == flightID {
			delete(p.blocks, h)
		}
	}
}

// pendingRun is a run of consecutive blocks of a chain, up to but not including block
// end, that one target is computing.
type pendingRun struct {
	pendingBlock
	end int
}

// find appends the pending runs of a chain, in order. Different targets may compute
// different parts, for example a shared first block and the document after it.
func (p *pendingPrefills) find(chain []prefix.BlockHash, now time.Time, runs []pendingRun) []pendingRun {
	if len(p.blocks) == 0 {
		return runs
	}
	for i := range chain {
		b, ok := p.blocks[chain[i]]
		if !ok || b.expiresAt.Before(now) {
			continue
		}
		if last := len(runs) - 1; last >= 0 && runs[last].end == i && runs[last].handle == b.handle {
			from := min(runs[last].firstBlock, b.firstBlock)
			runs[last] = pendingRun{b, i + 1}
			runs[last].firstBlock = from
			continue
		}
		runs = append(runs, pendingRun{b, i + 1})
	}
	return runs
}

// expire drops the entries of requests that never ended and of removed targets.
func (p *pendingPrefills) expire(now time.Time, removed func(handle int32) bool) {
	for h, b := range p.blocks {
		if b.expiresAt.Before(now) || removed(b.handle) {
			delete(p.blocks, h)
		}
	}
}
