package prefix

import (
	"math/bits"
	"slices"
)

// Export is the content of an index in a form that can be stored. Block i is held by
// the targets Targets[Holders[i][...]].
type Export struct {
	Targets []ExportTarget
	Hashes  []BlockHash
	Holders [][]uint16
}

// ExportTarget identifies the cache of one target.
type ExportTarget struct {
	ID      string
	Epoch   string
	Weights string
}

// Export returns at most maxBlocks valid blocks, starting with those looked up since
// the eviction hand passed them.
func (x *Index) Export(maxBlocks int) Export {
	var out Export
	positions := map[uint16]uint16{}
	for _, t := range x.targets {
		positions[t.slot] = uint16(len(out.Targets))
		out.Targets = append(out.Targets, ExportTarget{t.id, t.epoch, t.weights})
	}
	for _, referenced := range []bool{true, false} {
		for i := uint32(0); i < x.table.allocated && len(out.Hashes) < maxBlocks; i++ {
			e := x.table.at(i)
			if e.count == 0 || e.referenced != referenced {
				continue
			}
			if holders := x.exportHolders(e, positions); len(holders) > 0 {
				out.Hashes = append(out.Hashes, e.hash)
				out.Holders = append(out.Holders, holders)
			}
		}
	}
	return out
}

func (x *Index) exportHolders(e *entry, positions map[uint16]uint16) []uint16 {
	var holders []uint16
	add := func(slot uint16) {
		if position, ok := positions[slot]; ok {
			holders = append(holders, position)
		}
	}
	if e.count != bitSetMarker {
		for _, slot := range e.holders[:e.count] {
			add(slot)
		}
		return holders
	}
	for w, set := range x.table.bitSet(e) {
		for ; set != 0; set &= set - 1 {
			add(uint16(w*64 + bits.TrailingZeros64(set)))
		}
	}
	return holders
}

// Import adds exported blocks. A target whose epoch is already known keeps its state.
// Imported entries are uncertain until the target's next full list.
func (x *Index) Import(in Export) {
	targets := make([]*indexTarget, len(in.Targets))
	for i, from := range in.Targets {
		if from.Epoch == "" || x.hasEpoch(from.ID) {
			continue
		}
		t := x.getOrAddTarget(from.ID)
		x.versionNumber(from.Weights)
		t.epoch, t.weights, t.sequence, t.uncertain = from.Epoch, from.Weights, 0, true
		x.replaceSlot(t)
		targets[i] = t
	}
	for i := range min(len(in.Hashes), len(in.Holders)) {
		for _, position := range in.Holders[i] {
			if int(position) < len(targets) && targets[position] != nil {
				x.store(targets[position], &in.Hashes[i])
			}
		}
	}
}

func (x *Index) hasEpoch(id string) bool {
	t := x.targets[id]
	return t != nil && (t.epoch != "" || slices.ContainsFunc(t.pastEpochs, func(e string) bool { return e != "" }))
}
