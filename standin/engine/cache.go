package engine

import (
	"container/list"
	"math/rand/v2"
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
)

// block is a cached block. An export sends its content and its predecessor's hash, so
// that the importing engine can verify the block's own hash.
type block struct {
	hash     prefix.BlockHash
	previous prefix.BlockHash
	seed     prefix.BlockHash
	content  []byte
}

// cacheEvent records that a block was stored in the cache or evicted from it.
type cacheEvent struct {
	Sequence   uint64 `json:"sequence"`
	Hash       string `json:"hash"`
	Stored     bool   `json:"stored"`
	recordedAt time.Time
}

// cache is an LRU cache of blocks that logs its changes. It is guarded by the engine's
// mutex.
type cache struct {
	maxBlocks     int
	lru           *list.List // of *block, most recently used first
	blocks        map[prefix.BlockHash]*list.Element
	everStored    map[prefix.BlockHash]bool // identifies blocks that are computed again
	events        []cacheEvent
	maxEvents     int
	eventLossRate float64
	rng           *rand.Rand
	sequence      uint64
	// lastDropped is the sequence number of the last event that was removed from the log.
	lastDropped uint64
}

func newCache(o Options) *cache {
	return &cache{
		maxBlocks: o.CacheBlocks, lru: list.New(), blocks: map[prefix.BlockHash]*list.Element{},
		everStored: map[prefix.BlockHash]bool{}, maxEvents: o.EventLogSize, eventLossRate: o.EventLossRate,
		rng: rand.New(rand.NewPCG(o.Seed, o.Seed+1)),
	}
}

// cachedPrefix returns the number of leading blocks of the chain that are cached.
func (c *cache) cachedPrefix(chain []prefix.BlockHash) int {
	for i, h := range chain {
		if _, ok := c.blocks[h]; !ok {
			return i
		}
	}
	return len(chain)
}

// usePrefix is like cachedPrefix and marks the cached blocks as most recently used.
func (c *cache) usePrefix(chain []prefix.BlockHash) int {
	cached := c.cachedPrefix(chain)
	for _, h := range chain[:cached] {
		c.lru.MoveToFront(c.blocks[h])
	}
	return cached
}

// store adds a block and evicts the least recently used ones over the limit.
func (c *cache) store(b *block, now time.Time) {
	if e, ok := c.blocks[b.hash]; ok {
		c.lru.MoveToFront(e)
		return
	}
	c.blocks[b.hash] = c.lru.PushFront(b)
	c.everStored[b.hash] = true
	c.recordEvent(b.hash, true, now)
	for c.lru.Len() > c.maxBlocks {
		oldest := c.lru.Remove(c.lru.Back()).(*block)
		delete(c.blocks, oldest.hash)
		c.recordEvent(oldest.hash, false, now)
	}
}

// clear evicts all blocks and records an event for each.
func (c *cache) clear(now time.Time) {
	for c.lru.Len() > 0 {
		oldest := c.lru.Remove(c.lru.Back()).(*block)
		delete(c.blocks, oldest.hash)
		c.recordEvent(oldest.hash, false, now)
	}
}

// recordEvent appends an event to the log. A simulated loss skips its sequence number,
// so that readers can detect the gap.
func (c *cache) recordEvent(h prefix.BlockHash, stored bool, now time.Time) {
	c.sequence++
	if c.eventLossRate > 0 && c.rng.Float64() < c.eventLossRate {
		return
	}
	c.events = append(c.events, cacheEvent{c.sequence, h.String(), stored, now})
	if len(c.events) > c.maxEvents {
		c.lastDropped = c.events[0].Sequence
		c.events = c.events[1:]
	}
}

// eventsAfter returns the events after a sequence number that were recorded by cutoff,
// and the sequence number of the last one. It returns false if the log no longer
// contains all events after that number, or if no event has that number yet.
func (c *cache) eventsAfter(after uint64, cutoff time.Time) ([]cacheEvent, uint64, bool) {
	if after < c.lastDropped || after > c.sequence {
		return nil, 0, false
	}
	events, last := []cacheEvent{}, after
	for _, e := range c.events {
		if e.recordedAt.After(cutoff) {
			break
		}
		if e.Sequence > after {
			events = append(events, e)
			last = e.Sequence
		}
	}
	return events, last, true
}

// snapshot returns a store event for each cached block, least recently used first.
func (c *cache) snapshot() []cacheEvent {
	events := make([]cacheEvent, 0, c.lru.Len())
	for e := c.lru.Back(); e != nil; e = e.Prev() {
		events = append(events, cacheEvent{Sequence: c.sequence, Hash: e.Value.(*block).hash.String(), Stored: true})
	}
	return events
}
