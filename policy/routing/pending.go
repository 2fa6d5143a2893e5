package routing

import (
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
)

// maxPending bounds the blocks that are being prefilled; more are not tracked.
const maxPending = 1 << 16

// pendingBlock is a block that a target computes now.
type pendingBlock struct {
	handle int32
	owner  uint64
	ready  time.Time
	// expires frees the entry if its request never ends.
	expires time.Time
}

// pendingPrefills lets a cold prefix be prefilled once: while one request computes
// it, later requests with the same uncached blocks go to the same target.
type pendingPrefills struct {
	blocks map[prefix.BlockHash]pendingBlock
}

// start records that a request computes the blocks on a target. Blocks that another
// request computes there keep their entry.
func (p *pendingPrefills) start(blocks []prefix.BlockHash, b pendingBlock, now time.Time) {
	for _, h := range blocks {
		if len(p.blocks) >= maxPending {
			return
		}
		if old, ok := p.blocks[h]; ok && old.handle == b.handle && old.expires.After(now) {
			continue
		}
		p.blocks[h] = b
	}
}

// end removes the entries of a request.
func (p *pendingPrefills) end(blocks []prefix.BlockHash, owner uint64) {
	for _, h := range blocks {
		if b, ok := p.blocks[h]; ok && b.owner == owner {
			delete(p.blocks, h)
		}
	}
}

// find returns the first pending block of the chain, and up to which block the same
// target computes the chain.
func (p *pendingPrefills) find(chain []prefix.BlockHash, now time.Time) (first, end int, b pendingBlock) {
	if len(p.blocks) == 0 {
		return 0, 0, b
	}
	for first = range chain {
		entry, ok := p.blocks[chain[first]]
		if !ok || entry.expires.Before(now) {
			continue
		}
		for end = first; end < len(chain); end++ {
			next, ok := p.blocks[chain[end]]
			if !ok || next.handle != entry.handle || next.expires.Before(now) {
				break
			}
			b = next
		}
		return first, end, b
	}
	return 0, 0, b
}

// expire drops the entries of requests that never ended and of targets that went.
func (p *pendingPrefills) expire(now time.Time, gone func(handle int32) bool) {
	for h, b := range p.blocks {
		if b.expires.Before(now) || gone(b.handle) {
			delete(p.blocks, h)
		}
	}
}
