package balance

import "time"

const (
	// holdTime is how long after its last use a part counts as cached: engines evict
	// the least recently used parts within tens of seconds.
	holdTime = 12 * time.Second
	// maxKeys bounds the memory of the map.
	maxKeys = 20_000
	// storeID stands for the KV store among the holders.
	storeID = "\x00store"
)

// Key names a shared part of a prompt under one wall and one weights version.
type Key uint64

// cacheMap notes where shared prefixes were last read or used.
type cacheMap struct {
	holders map[Key]map[string]time.Time
	swept   time.Time
}

func newCacheMap() *cacheMap { return &cacheMap{holders: map[Key]map[string]time.Time{}} }

func (m *cacheMap) holds(key Key, holder string, now time.Time) bool {
	at, ok := m.holders[key][holder]
	return ok && now.Sub(at) < holdTime
}

func (m *cacheMap) used(key Key, holder string, now time.Time) {
	m.sweep(now)
	h := m.holders[key]
	if h == nil {
		if len(m.holders) >= maxKeys {
			return
		}
		h = map[string]time.Time{}
		m.holders[key] = h
	}
	h[holder] = now
}

// sweep forgets what is no longer held, once in a while.
func (m *cacheMap) sweep(now time.Time) {
	if now.Sub(m.swept) < holdTime/4 {
		return
	}
	m.swept = now
	for key, h := range m.holders {
		for holder, at := range h {
			if now.Sub(at) >= holdTime {
				delete(h, holder)
			}
		}
		if len(h) == 0 {
			delete(m.holders, key)
		}
	}
}

// evicted forgets that a holder has a part.
func (m *cacheMap) evicted(key Key, holder string) { delete(m.holders[key], holder) }

// drop forgets all that a holder had.
func (m *cacheMap) drop(holder string) {
	for _, h := range m.holders {
		delete(h, holder)
	}
}

// CacheNotice says that a target reads or uses shared parts, or has evicted them.
type CacheNotice struct {
	Keys []Key `msgpack:"k"`
	// TargetID is empty for the KV store.
	TargetID string `msgpack:"t,omitempty"`
	// SavedToStore says that the parts go to the KV store too.
	SavedToStore bool `msgpack:"s,omitempty"`
	Evicted      bool `msgpack:"e,omitempty"`
	// PrefillMs is how long the target reads the prompt; zero for a short one.
	PrefillMs float64 `msgpack:"r,omitempty"`
}

func (s *CacheNotice) holder() string {
	if s.TargetID == "" {
		return storeID
	}
	return s.TargetID
}

// RecordCacheNotice takes a notice of this host or of a peer.
func (b *Balancer) RecordCacheNotice(s CacheNotice, now time.Time) {
	for _, key := range s.Keys {
		switch {
		case s.Evicted:
			b.cache.evicted(key, s.holder())
		default:
			b.cache.used(key, s.holder(), now)
		}
		if s.SavedToStore {
			b.cache.used(key, storeID, now)
		}
	}
}

// Cached reports whether a holder is believed to have a part; an empty target id
// stands for the KV store.
func (b *Balancer) Cached(key Key, targetID string, now time.Time) bool {
	s := CacheNotice{TargetID: targetID}
	return b.cache.holds(key, s.holder(), now)
}

// DropCached forgets the cached parts of a target whose memory is gone; an empty target id
// stands for the KV store.
func (b *Balancer) DropCached(targetID string) {
	s := CacheNotice{TargetID: targetID}
	b.cache.drop(s.holder())
}
