package prefix

func (x *Index) getOrAddTarget(id string) *indexTarget {
	t := x.targets[id]
	if t == nil {
		t = &indexTarget{id: id, slot: noSlot}
		x.targets[id] = t
		x.assignSlot(t)
	}
	return t
}

// replaceSlot gives the target a new slot, which invalidates all its entries.
func (x *Index) replaceSlot(t *indexTarget) {
	x.retireSlot(t.slot)
	x.assignSlot(t)
}

func (x *Index) retireSlot(slot uint16) {
	x.slots[slot] = slotState{retiredInRound: x.sweepRound}
	x.liveSlots[slot/64] &^= 1 << (slot % 64)
	x.retiredSlots = append(x.retiredSlots, slot)
}

func (x *Index) assignSlot(t *indexTarget) {
	if len(x.freeSlots) == 0 && len(x.slots) >= int(noSlot) {
		// No slot is left; finish the sweep now to free the retired ones.
		x.sweep(2 * (int(x.table.allocated) + 1))
	}
	var slot uint16
	if n := len(x.freeSlots); n > 0 {
		slot, x.freeSlots = x.freeSlots[n-1], x.freeSlots[:n-1]
	} else {
		slot = uint16(len(x.slots))
		x.slots = append(x.slots, slotState{})
		if int(slot/64) == len(x.liveSlots) {
			x.liveSlots = append(x.liveSlots, 0)
		}
	}
	t.slot = slot
	x.updateSlot(t)
	x.liveSlots[slot/64] |= 1 << (slot % 64)
}

// advanceHand moves the hand by one entry and returns its previous position.
func (x *Index) advanceHand() uint32 {
	i := x.clockHand
	x.clockHand++
	if x.clockHand >= x.table.allocated {
		x.clockHand = 0
		x.sweepRound++
		x.freeSweptSlots()
	}
	return i
}

// freeSweptSlots frees the retired slots whose entries the sweep has removed. A slot may
// be retired mid-round, so it is freed at the end of the following round.
func (x *Index) freeSweptSlots() {
	waiting := x.retiredSlots[:0]
	for _, slot := range x.retiredSlots {
		if x.sweepRound >= x.slots[slot].retiredInRound+2 {
			x.freeSlots = append(x.freeSlots, slot)
		} else {
			waiting = append(waiting, slot)
		}
	}
	x.retiredSlots = waiting
}

// sweep checks up to n entries for retired slots. It does nothing if no slot is
// retired.
func (x *Index) sweep(n int) {
	for ; n > 0 && len(x.retiredSlots) > 0; n-- {
		if x.table.allocated == 0 {
			x.sweepRound++
			x.freeSweptSlots()
			continue
		}
		x.sweepEntry(x.advanceHand())
	}
}

func (x *Index) sweepEntry(i uint32) {
	e := x.table.at(i)
	if e.count > 0 && x.table.retainHolders(e, x.liveSlots) {
		x.table.remove(i)
	}
}

// evictOne removes one block that has no live holder or was not looked up since the
// hand last passed it.
func (x *Index) evictOne() {
	for {
		i := x.advanceHand()
		e := x.table.at(i)
		if e.count == 0 {
			continue // free
		}
		if x.table.retainHolders(e, x.liveSlots) || !e.referenced {
			x.table.remove(i)
			return
		}
		e.referenced = false
	}
}

// Maintain sweeps n entries; the owner calls it periodically so that invalid entries
// are removed even if no events arrive.
func (x *Index) Maintain(n int) { x.sweep(n) }
