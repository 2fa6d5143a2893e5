package prefix

import (
	"math/bits"
)

// Lookup appends to matches the longest cached prefix of the chain for each target that
// holds at least the first block. Targets known to have another weights version are
// omitted.
func (x *Index) Lookup(weights string, chain []BlockHash, matches []Match) []Match {
	x.queryVersion = x.versions[weights]
	if weights != "" && x.queryVersion == 0 {
		x.queryVersion = unknownVersion
	}
	x.remaining = append(x.remaining[:0], x.liveSlots...)
	depth := 0
	for depth < len(chain) {
		e := x.findAndMark(&chain[depth])
		if e == nil || e.count != bitSetMarker {
			break
		}
		matches = x.intersect(x.table.bitSet(e), depth, matches)
		depth++
	}
	return x.matchInline(chain, depth, matches)
}

// findAndMark finds an entry and marks it as referenced, or returns nil.
func (x *Index) findAndMark(h *BlockHash) *entry {
	i := x.table.find(h)
	if i == noEntry {
		return nil
	}
	e := x.table.at(i)
	e.referenced = true
	return e
}

// intersect removes the slots that are not in the set from remaining and appends
// matches for those whose prefix ends here.
func (x *Index) intersect(set []uint64, depth int, matches []Match) []Match {
	for w, candidates := range x.remaining {
		held := uint64(0)
		if w < len(set) {
			held = candidates & set[w]
		}
		matches = x.appendMatches(w, candidates&^held, depth, matches)
		x.remaining[w] = held
	}
	return matches
}

// matchInline continues from the first entry without a bit set. At most inlineHolders
// slots can hold that block, so a short list replaces the set.
func (x *Index) matchInline(chain []BlockHash, depth int, matches []Match) []Match {
	var slots []uint16
	if depth < len(chain) {
		if e := x.findAndMark(&chain[depth]); e != nil {
			slots = x.extractInline(e)
		}
	}
	for w, set := range x.remaining {
		matches = x.appendMatches(w, set, depth, matches)
	}
	for depth++; len(slots) > 0; depth++ {
		var e *entry
		if depth < len(chain) {
			e = x.findAndMark(&chain[depth])
		}
		kept := slots[:0]
		for _, slot := range slots {
			if e != nil && x.table.hasHolder(e, slot) {
				kept = append(kept, slot)
			} else {
				matches = x.appendMatch(slot, depth, matches)
			}
		}
		slots = kept
	}
	return matches
}

// extractInline moves the holders of an entry without a bit set from remaining to a
// list.
func (x *Index) extractInline(e *entry) []uint16 {
	x.inlineSlots = x.inlineSlots[:0]
	for _, slot := range e.holders[:e.count] {
		if contains(x.remaining, slot) {
			x.remaining[slot/64] &^= 1 << (slot % 64)
			x.inlineSlots = append(x.inlineSlots, slot)
		}
	}
	return x.inlineSlots
}

// appendMatches appends the targets of one word of a slot set, if depth is above 0.
func (x *Index) appendMatches(word int, set uint64, depth int, matches []Match) []Match {
	if depth == 0 {
		return matches
	}
	for ; set != 0; set &= set - 1 {
		matches = x.appendMatch(uint16(word*64+bits.TrailingZeros64(set)), depth, matches)
	}
	return matches
}

// appendMatch appends one target unless its weights are known to differ.
func (x *Index) appendMatch(slot uint16, depth int, matches []Match) []Match {
	s := &x.slots[slot]
	if s.weights != x.queryVersion && s.weights != 0 && x.queryVersion != 0 {
		return matches
	}
	return append(matches, Match{Handle: s.handle, Blocks: int32(depth), Uncertain: s.uncertain})
}
