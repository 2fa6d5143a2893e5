package balance

import "time"

const (
	// cacheTTL is how long after its last use a prompt part counts as cached: engines
	// evict the least recently used parts within tens of seconds.
	cacheTTL = 12 * time.Second
	// maxCachedKeys bounds the memory of the map.
	maxCachedKeys = 20_000
	// storeHolder is the holder ID of the KV store.
	storeHolder = "\x00store"
)

// Key identifies a shared prompt part under one model and one cache salt.
type Key uint64

// cacheMap records when each holder last computed or used a shared prompt part.
type cacheMap struct {
	holders   map[Key]map[string]time.Time
	lastSweep time.Time
}

func newCacheMap() *cacheMap { return &cacheMap{holders: map[Key]map[string]time.Time{}} }

// holds reports whether a holder computed or used a part within cacheTTL.
func (m *cacheMap) holds(key Key, holder string, now time.Time) bool {
	at, ok := m.holders[key][holder]
	return ok && now.Sub(at) < cacheTTL
}

// touch records that a holder computes or uses a part now. A new part is ignored if the
// map is full.
func (m *cacheMap) touch(key Key, holder string, now time.Time) {
	m.sweep(now)
	h := m.holders[key]
	if h == nil {
		if len(m.holders) >= maxCachedKeys {
			return
		}
		h = map[string]time.Time{}
		m.holders[key] = h
	}
	h[holder] = now
}

// sweep removes expired entries, at most once per quarter of cacheTTL.
func (m *cacheMap) sweep(now time.Time) {
	if now.Sub(m.lastSweep) < cacheTTL/4 {
		return
	}
	m.lastSweep = now
	for key, h := range m.holders {
		for holder, at := range h {
			if now.Sub(at) >= cacheTTL {
				delete(h, holder)
			}
		}
		if len(h) == 0 {
			delete(m.holders, key)
		}
	}
}

// evict records that a holder has evicted a part.
func (m *cacheMap) evict(key Key, holder string) { delete(m.holders[key], holder) }

// dropHolder removes all parts of a holder.
func (m *cacheMap) dropHolder(holder string) {
	for _, h := range m.holders {
		delete(h, holder)
	}
}

// CacheNotice reports that a target computes or uses shared prompt parts, or has
// evicted them.
type CacheNotice struct {
	Keys []Key `msgpack:"k"`
	// TargetID is empty for the KV store.
	TargetID string `msgpack:"t,omitempty"`
	// SavedToStore reports that the parts are also saved to the KV store.
	SavedToStore bool `msgpack:"s,omitempty"`
	Evicted      bool `msgpack:"e,omitempty"`
	// PrefillMs is the target's prefill time for the prompt; zero for a short one.
	PrefillMs float64 `msgpack:"r,omitempty"`
}

func (n *CacheNotice) holder() string {
	if n.TargetID == "" {
		return storeHolder
	}
	return n.TargetID
}

// RecordCacheNotice applies a notice of this host or of a peer.
func (b *Balancer) RecordCacheNotice(n CacheNotice, now time.Time) {
	for _, key := range n.Keys {
		switch {
		case n.Evicted:
			b.cache.evict(key, n.holder())
		default:
			b.cache.touch(key, n.holder(), now)
		}
		if n.SavedToStore {
			b.cache.touch(key, storeHolder, now)
		}
	}
}

// Cached reports whether a holder is expected to have a part cached. An empty target ID
// stands for the KV store.
func (b *Balancer) Cached(key Key, targetID string, now time.Time) bool {
	n := CacheNotice{TargetID: targetID}
	return b.cache.holds(key, n.holder(), now)
}

// DropCached removes the cached parts of a target that has lost its memory. An empty
// target ID stands for the KV store.
func (b *Balancer) DropCached(targetID string) {
	n := CacheNotice{TargetID: targetID}
	b.cache.dropHolder(n.holder())
}
