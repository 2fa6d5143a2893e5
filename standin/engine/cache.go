package engine

import (
	"container/list"
	"math/rand/v2"
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
)

// block is a cached block with what an export needs to prove its hash.
type block struct {
	hash     prefix.BlockHash
	previous prefix.BlockHash
	seed     prefix.BlockHash
	content  []byte
}

type cacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Hash     string `json:"hash"`
	Stored   bool   `json:"stored"`
	at       time.Time
}

// cache is an LRU cache of blocks that logs its changes. The engine's mutex guards it.
type cache struct {
	limit    int
	order    *list.List // of *block, most recently used first
	blocks   map[prefix.BlockHash]*list.Element
	seen     map[prefix.BlockHash]bool // every block ever stored, to count recomputation
	log      []cacheEvent
	logLimit int
	loss     float64
	random   *rand.Rand
	sequence uint64
	// firstKept is the sequence number before the oldest event of the log.
	firstKept uint64
}

func newCache(o Options) *cache {
	return &cache{
		limit: o.CacheBlocks, order: list.New(), blocks: map[prefix.BlockHash]*list.Element{},
		seen: map[prefix.BlockHash]bool{}, logLimit: o.EventLogSize, loss: o.EventLossRate,
		random: rand.New(rand.NewPCG(o.Seed, o.Seed+1)),
	}
}

// held returns how many blocks of the chain are held from its start.
func (c *cache) held(chain []prefix.BlockHash) int {
	for i, h := range chain {
		if _, ok := c.blocks[h]; !ok {
			return i
		}
	}
	return len(chain)
}

// match is held for a request that uses the blocks, which become the youngest.
func (c *cache) match(chain []prefix.BlockHash) int {
	held := c.held(chain)
	for _, h := range chain[:held] {
		c.order.MoveToFront(c.blocks[h])
	}
	return held
}

func (c *cache) store(b *block, now time.Time) {
	if e, ok := c.blocks[b.hash]; ok {
		c.order.MoveToFront(e)
		return
	}
	c.blocks[b.hash] = c.order.PushFront(b)
	c.seen[b.hash] = true
	c.record(b.hash, true, now)
	for c.order.Len() > c.limit {
		oldest := c.order.Remove(c.order.Back()).(*block)
		delete(c.blocks, oldest.hash)
		c.record(oldest.hash, false, now)
	}
}

// clear drops all blocks, with an event for each.
func (c *cache) clear(now time.Time) {
	for c.order.Len() > 0 {
		oldest := c.order.Remove(c.order.Back()).(*block)
		delete(c.blocks, oldest.hash)
		c.record(oldest.hash, false, now)
	}
}

func (c *cache) record(h prefix.BlockHash, stored bool, now time.Time) {
	c.sequence++
	if c.loss > 0 && c.random.Float64() < c.loss {
		return
	}
	c.log = append(c.log, cacheEvent{c.sequence, h.String(), stored, now})
	if len(c.log) > c.logLimit {
		c.firstKept = c.log[0].Sequence
		c.log = c.log[1:]
	}
}

// eventsAfter returns the events up to visible that follow a sequence number, and
// false if the log does not reach back that far.
func (c *cache) eventsAfter(after uint64, visible time.Time) ([]cacheEvent, uint64, bool) {
	if after < c.firstKept || after > c.sequence {
		return nil, 0, false
	}
	events, last := []cacheEvent{}, after
	for _, e := range c.log {
		if e.at.After(visible) {
			break
		}
		if e.Sequence > after {
			events = append(events, e)
			last = e.Sequence
		}
	}
	return events, last, true
}

func (c *cache) all() []cacheEvent {
	events := make([]cacheEvent, 0, c.order.Len())
	for e := c.order.Back(); e != nil; e = e.Prev() {
		events = append(events, cacheEvent{Sequence: c.sequence, Hash: e.Value.(*block).hash.String(), Stored: true})
	}
	return events
}
