package prefix

import "encoding/binary"

const (
	// inlineHolders is how many holders an entry stores without a bit set. Most blocks
	// are held by one or two targets.
	inlineHolders = 5
	// chunkEntries is the number of entries allocated at once, so that growth neither
	// copies entries nor leaves much memory unused.
	chunkEntries = 4096
	noEntry      = ^uint32(0)
	noSlot       = ^uint16(0)
	bitSetMarker = 0xff
)

// entry is one cached block: 32 bytes.
type entry struct {
	hash BlockHash
	// next is the following entry of the bucket, or of the free list.
	next    uint32
	holders [inlineHolders]uint16
	// count is the number of inline holders, or bitSetMarker; then the first two
	// holders are the index of the bit set.
	count uint8
	// referenced means that the block was looked up since the eviction hand passed it.
	referenced bool
}

// table is a hash table of entries with chaining by index. Unlike a Go map it stores
// each key once and lets the eviction hand iterate over its entries in order.
type table struct {
	seed    uint64
	buckets []uint32
	chunks  []*[chunkEntries]entry
	// allocated counts entries ever taken from chunks, inUse those that hold a block.
	allocated   uint32
	inUse       int
	freeList    uint32
	bitSets     [][]uint64
	freeBitSets []uint32
}

func newTable(seed uint64) *table {
	t := &table{seed: seed | 1, freeList: noEntry}
	t.resize(1024)
	return t
}

func (t *table) at(i uint32) *entry { return &t.chunks[i/chunkEntries][i%chunkEntries] }

func (t *table) bucket(h *BlockHash) *uint32 {
	// The seed keeps callers, who choose the prompts, from filling one bucket.
	x := (binary.LittleEndian.Uint64(h[:]) ^ t.seed) * (t.seed*0x9e3779b97f4a7c15 | 1)
	return &t.buckets[(x>>32)&uint64(len(t.buckets)-1)]
}

func (t *table) find(h *BlockHash) uint32 {
	for i := *t.bucket(h); i != noEntry; {
		e := t.at(i)
		if e.hash == *h {
			return i
		}
		i = e.next
	}
	return noEntry
}

// insert adds an entry for a hash that is not in the table.
func (t *table) insert(h *BlockHash) uint32 {
	if t.inUse >= len(t.buckets) {
		t.resize(2 * len(t.buckets))
	}
	i := t.freeList
	if i != noEntry {
		t.freeList = t.at(i).next
	} else {
		i = t.allocated
		if i/chunkEntries == uint32(len(t.chunks)) {
			t.chunks = append(t.chunks, new([chunkEntries]entry))
		}
		t.allocated++
	}
	b := t.bucket(h)
	*t.at(i) = entry{hash: *h, next: *b}
	*b = i
	t.inUse++
	return i
}

// remove takes the entry out of its bucket and frees it.
func (t *table) remove(i uint32) {
	e := t.at(i)
	for link := t.bucket(&e.hash); ; link = &t.at(*link).next {
		if *link == i {
			*link = e.next
			break
		}
	}
	t.releaseBitSet(e)
	*e = entry{next: t.freeList}
	t.freeList = i
	t.inUse--
}

func (t *table) resize(size int) {
	old := t.buckets
	t.buckets = make([]uint32, size)
	for i := range t.buckets {
		t.buckets[i] = noEntry
	}
	for _, head := range old {
		for i := head; i != noEntry; {
			e := t.at(i)
			next := e.next
			b := t.bucket(&e.hash)
			e.next, *b = *b, i
			i = next
		}
	}
}

func (e *entry) bitSetIndex() uint32 { return uint32(e.holders[0])<<16 | uint32(e.holders[1]) }

func (t *table) bitSet(e *entry) []uint64 { return t.bitSets[e.bitSetIndex()] }

func (t *table) releaseBitSet(e *entry) {
	if e.count == bitSetMarker {
		t.bitSets[e.bitSetIndex()] = nil
		t.freeBitSets = append(t.freeBitSets, e.bitSetIndex())
	}
}

// addHolder makes the slot a holder of the entry.
func (t *table) addHolder(e *entry, slot uint16) {
	if e.count != bitSetMarker {
		for _, h := range e.holders[:e.count] {
			if h == slot {
				return
			}
		}
		if e.count < inlineHolders {
			e.holders[e.count] = slot
			e.count++
			return
		}
		t.convertToBitSet(e)
	}
	set := t.bitSet(e)
	word := int(slot / 64)
	if word >= len(set) {
		set = append(set, make([]uint64, word+1-len(set))...)
		t.bitSets[e.bitSetIndex()] = set
	}
	set[word] |= 1 << (slot % 64)
}

// convertToBitSet moves the inline holders to a bit set.
func (t *table) convertToBitSet(e *entry) {
	var index uint32
	if n := len(t.freeBitSets); n > 0 {
		index, t.freeBitSets = t.freeBitSets[n-1], t.freeBitSets[:n-1]
	} else {
		index = uint32(len(t.bitSets))
		t.bitSets = append(t.bitSets, nil)
	}
	highest := uint16(0)
	for _, h := range e.holders {
		highest = max(highest, h)
	}
	set := make([]uint64, highest/64+1)
	for _, h := range e.holders {
		set[h/64] |= 1 << (h % 64)
	}
	t.bitSets[index] = set
	e.holders = [inlineHolders]uint16{uint16(index >> 16), uint16(index)}
	e.count = bitSetMarker
}

// removeHolder removes the slot from the holders and reports whether none is left.
func (t *table) removeHolder(e *entry, slot uint16) bool {
	if e.count == bitSetMarker {
		set := t.bitSet(e)
		if word := int(slot / 64); word < len(set) {
			set[word] &^= 1 << (slot % 64)
		}
		for _, w := range set {
			if w != 0 {
				return false
			}
		}
		return true
	}
	for i, h := range e.holders[:e.count] {
		if h == slot {
			e.count--
			e.holders[i] = e.holders[e.count]
			break
		}
	}
	return e.count == 0
}

// retainHolders removes all holders that are not in the set and reports whether none is
// left.
func (t *table) retainHolders(e *entry, set []uint64) bool {
	if e.count == bitSetMarker {
		union := uint64(0)
		holders := t.bitSet(e)
		for i := range holders {
			if i >= len(set) {
				holders[i] = 0
			} else {
				holders[i] &= set[i]
			}
			union |= holders[i]
		}
		return union == 0
	}
	n := uint8(0)
	for _, h := range e.holders[:e.count] {
		if contains(set, h) {
			e.holders[n] = h
			n++
		}
	}
	e.count = n
	return n == 0
}

// hasHolder reports whether the slot is a holder.
func (t *table) hasHolder(e *entry, slot uint16) bool {
	if e.count == bitSetMarker {
		return contains(t.bitSet(e), slot)
	}
	for _, h := range e.holders[:e.count] {
		if h == slot {
			return true
		}
	}
	return false
}

func contains(set []uint64, slot uint16) bool {
	word := int(slot / 64)
	return word < len(set) && set[word]>>(slot%64)&1 == 1
}
