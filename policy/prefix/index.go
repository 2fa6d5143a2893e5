package prefix

import (
	"math/bits"
	"slices"
)

const (
	// sweepPerEvent is how many entries are checked for dead holders with each event,
	// so that dropping a target's entries never stops the index for long.
	sweepPerEvent = 4
	// pastEpochs is how many dead epochs of a target are remembered to reject events
	// that arrive late.
	pastEpochs = 4
	// bytesPerEntry is the upper bound for a block with up to five holders: 32 bytes
	// for the entry and at most 8 for its share of the buckets.
	bytesPerEntry = 40
	// maxVersions bounds the weights versions that are numbered, above the number of
	// targets of the largest fleet.
	maxVersions = 4096
	// unknownVersion stands for a weights version that no target has reported.
	unknownVersion = -1
)

// Event says that a target stored or evicted a block.
type Event struct {
	Sequence uint64
	Hash     BlockHash
	Stored   bool
}

// Batch is one answer of a target's event endpoint.
type Batch struct {
	Epoch string
	// Reset says that Events list all blocks held, as of Sequence.
	Reset    bool
	Sequence uint64
	Events   []Event
}

// Match is the longest chain that a target holds.
type Match struct {
	// Handle is the number given to SetHandle.
	Handle int32
	// Blocks is the number of leading blocks of the chain that are cached.
	Blocks int32
	// Uncertain says that events were lost, so that blocks may have gone.
	Uncertain bool
}

// CacheEstimate is what the index said about a target when a request was sent there.
type Estimate struct {
	Blocks int
	// Sequence is the last event that the index had seen; see Index.Sequence.
	Sequence uint64
}

// slotState is one generation of a target's cache: an epoch under one weights
// version. When either changes the target gets a new slot, and the entries of the
// old slot are dead at once, though still in memory until the sweep passes.
type slotState struct {
	// handle, weights and uncertain are copies of the owner's, so that a look-up
	// touches one array only.
	handle    int32
	weights   int32
	uncertain bool
	// deadSince is the sweep round in which the slot died.
	deadSince uint64
}

type indexTarget struct {
	id        string
	handle    int32
	slot      uint16
	epoch     string
	weights   string
	sequence  uint64
	uncertain bool
	// gaps counts the losses of events that were noticed.
	gaps uint64
	past []string
}

// Index knows which target holds which blocks. A look-up names only blocks of a
// target's current epoch and weights; the hash chain itself separates client
// accounts, models and weights versions. Memory is bounded by the limit on blocks.
//
// An Index is not safe for concurrent use.
type Index struct {
	limit   int
	table   *table
	targets map[string]*indexTarget
	slots   []slotState
	free    []uint16
	dead    []uint16
	// live has a bit for each slot that is a target's current one.
	live []uint64
	// hand is the next entry that the sweep and the eviction look at.
	hand    uint32
	round   uint64
	scratch []uint64
	reached []uint16
	// versions numbers the weights versions, from 1; zero is unknown.
	versions map[string]int32
	// wanted is the weights version of the look-up in progress.
	wanted int32
}

// NewIndex returns an index of at most maxBlocks blocks. The seed keeps callers from
// choosing prompts that collide in the table; each process should draw its own.
func NewIndex(maxBlocks int, seed uint64) *Index {
	return &Index{limit: max(maxBlocks, 1), table: newTable(seed), targets: map[string]*indexTarget{}, versions: map[string]int32{}}
}

// Len returns the number of blocks in memory, dead ones that are not swept included.
func (x *Index) Len() int { return x.table.live }

// Bytes returns an upper bound of the memory for blocks, without bit sets.
func (x *Index) Bytes() int {
	return len(x.table.chunks)*chunkEntries*32 + len(x.table.buckets)*4
}

// SetEpoch records the epoch and weights version that a target reports. Empty values
// are unknown and change nothing. A new epoch or version drops the target's entries.
func (x *Index) SetEpoch(targetID, epoch, weights string) {
	t := x.target(targetID)
	newEpoch := epoch != "" && epoch != t.epoch
	if newEpoch && slices.Contains(t.past, epoch) {
		return
	}
	newWeights := weights != "" && weights != t.weights
	if newWeights {
		known := t.weights != ""
		t.weights = weights
		x.version(weights)
		if known && !newEpoch {
			t.sequence, t.uncertain = 0, true
			x.forget(t)
		}
		x.publish(t)
	}
	if newEpoch {
		x.startEpoch(t, epoch)
	}
}

// SetHandle stores a number that look-ups return for the target, so that the caller
// needs no map by id.
func (x *Index) SetHandle(targetID string, handle int) {
	t := x.target(targetID)
	t.handle = int32(handle)
	x.publish(t)
}

// publish copies what look-ups need of a target into its slot.
func (x *Index) publish(t *indexTarget) {
	x.slots[t.slot] = slotState{handle: t.handle, weights: x.versions[t.weights], uncertain: t.uncertain}
}

// version returns the number of a weights version.
func (x *Index) version(weights string) int32 {
	if weights == "" {
		return 0
	}
	if x.versions[weights] == 0 {
		if len(x.versions) >= maxVersions {
			x.renumber()
		}
		x.versions[weights] = int32(len(x.versions)) + 1
	}
	return x.versions[weights]
}

// renumber forgets versions that no target has any more.
func (x *Index) renumber() {
	clear(x.versions)
	for _, t := range x.targets {
		if t.weights != "" && x.versions[t.weights] == 0 {
			x.versions[t.weights] = int32(len(x.versions)) + 1
		}
	}
	for _, t := range x.targets {
		x.publish(t)
	}
}

// startEpoch drops everything known of a target's older epoch.
func (x *Index) startEpoch(t *indexTarget, epoch string) {
	if t.epoch != "" {
		t.past = append(t.past, t.epoch)
		if len(t.past) > pastEpochs {
			t.past = t.past[1:]
		}
	}
	t.epoch, t.sequence, t.uncertain = epoch, 0, false
	x.forget(t)
}

// Remove forgets a target.
func (x *Index) Remove(targetID string) {
	if t := x.targets[targetID]; t != nil {
		x.retire(t.slot)
		delete(x.targets, targetID)
	}
}

// Targets returns the ids of all targets known to the index, in no order.
func (x *Index) Targets() []string {
	ids := make([]string, 0, len(x.targets))
	for id := range x.targets {
		ids = append(ids, id)
	}
	return ids
}

// Apply applies a batch and returns the epoch and sequence number from which the next
// poll goes on. An empty epoch asks for the full list.
func (x *Index) Apply(targetID string, b Batch) (epoch string, after uint64) {
	t := x.target(targetID)
	if b.Epoch == "" || slices.Contains(t.past, b.Epoch) {
		return x.next(t)
	}
	if b.Epoch != t.epoch {
		x.startEpoch(t, b.Epoch)
	}
	if b.Reset {
		t.uncertain = false
		x.forget(t)
		for i := range b.Events {
			x.sweep(sweepPerEvent)
			x.store(t, &b.Events[i].Hash)
		}
		t.sequence = b.Sequence
		return x.next(t)
	}
	for i := range b.Events {
		x.applyEvent(t, &b.Events[i])
	}
	x.publish(t)
	return x.next(t)
}

func (x *Index) applyEvent(t *indexTarget, e *Event) {
	x.sweep(sweepPerEvent)
	if e.Sequence <= t.sequence {
		return // already applied
	}
	if e.Sequence != t.sequence+1 {
		t.gaps++
		t.uncertain = true
	}
	t.sequence = e.Sequence
	if e.Stored {
		x.store(t, &e.Hash)
	} else {
		x.evicted(t, &e.Hash)
	}
}

func (x *Index) next(t *indexTarget) (string, uint64) {
	if t.uncertain {
		return "", 0
	}
	return t.epoch, t.sequence
}

// Stored records that a target holds the blocks without an event, for example because
// it has just answered a request with that prompt.
func (x *Index) Stored(targetID, epoch string, chain []BlockHash) {
	t := x.targets[targetID]
	if t == nil || t.epoch != epoch {
		return
	}
	for i := range chain {
		x.store(t, &chain[i])
	}
}

// Gaps returns how many losses of a target's events were noticed.
func (x *Index) Gaps(targetID string) uint64 {
	if t := x.targets[targetID]; t != nil {
		return t.gaps
	}
	return 0
}

// Epoch returns the last known epoch of a target; empty is unknown.
func (x *Index) Epoch(targetID string) string {
	if t := x.targets[targetID]; t != nil {
		return t.epoch
	}
	return ""
}

// Sequence returns the last event that the index has seen of a target.
func (x *Index) Sequence(targetID string) uint64 {
	if t := x.targets[targetID]; t != nil {
		return t.sequence
	}
	return 0
}

// Correct applies the cached-token count of a response to a request for which the
// index made the claim. Blocks that were cached are recorded. If the claim was too
// high, the blocks beyond the count are dropped and the target becomes uncertain,
// since it must have evicted blocks without an event. Nothing changes if events came
// since the claim: they are newer than the count. Correct reports whether it dropped
// blocks.
func (x *Index) Correct(targetID, epoch string, chain []BlockHash, claim Estimate, cachedTokens int) bool {
	t := x.targets[targetID]
	if t == nil || t.epoch != epoch || claim.Sequence != t.sequence {
		return false
	}
	cached := min(cachedTokens/(BlockBytes/BytesPerToken), len(chain))
	for i := range chain[:cached] {
		x.store(t, &chain[i])
	}
	claimed := min(claim.Blocks, len(chain))
	for i := cached; i < claimed; i++ {
		x.evicted(t, &chain[i])
	}
	t.uncertain = t.uncertain || cached < claimed
	x.publish(t)
	return cached < claimed
}

// Lookup appends to matches the longest cached chain of each target that holds at
// least the first block. Targets known to have another weights version are left out.
func (x *Index) Lookup(weights string, chain []BlockHash, matches []Match) []Match {
	x.wanted = x.versions[weights]
	if weights != "" && x.wanted == 0 {
		x.wanted = unknownVersion
	}
	x.scratch = append(x.scratch[:0], x.live...)
	depth := 0
	for depth < len(chain) {
		e := x.touch(&chain[depth])
		if e == nil || e.count != usesBits {
			break
		}
		matches = x.narrow(x.table.bitsOf(e), depth, matches)
		depth++
	}
	return x.follow(chain, depth, matches)
}

// touch finds an entry and marks it as used, or returns nil.
func (x *Index) touch(h *BlockHash) *entry {
	i := x.table.find(h)
	if i == noEntry {
		return nil
	}
	e := x.table.at(i)
	e.used = true
	return e
}

// narrow takes the slots that are not in the set out of scratch and appends those
// whose chain ends here.
func (x *Index) narrow(set []uint64, depth int, matches []Match) []Match {
	for w, alive := range x.scratch {
		held := uint64(0)
		if w < len(set) {
			held = alive & set[w]
		}
		matches = x.matchesOf(w, alive&^held, depth, matches)
		x.scratch[w] = held
	}
	return matches
}

// follow goes on from the first entry without a bit set. At most inlineHolders
// slots can hold that block, so a short list replaces the set.
func (x *Index) follow(chain []BlockHash, depth int, matches []Match) []Match {
	var slots []uint16
	if depth < len(chain) {
		if e := x.touch(&chain[depth]); e != nil {
			slots = x.takeInline(e)
		}
	}
	for w, set := range x.scratch {
		matches = x.matchesOf(w, set, depth, matches)
	}
	for depth++; len(slots) > 0; depth++ {
		var e *entry
		if depth < len(chain) {
			e = x.touch(&chain[depth])
		}
		kept := slots[:0]
		for _, slot := range slots {
			if e != nil && x.table.holds(e, slot) {
				kept = append(kept, slot)
			} else {
				matches = x.match(slot, depth, matches)
			}
		}
		slots = kept
	}
	return matches
}

// takeInline moves the holders of an entry without a bit set from scratch to a list.
func (x *Index) takeInline(e *entry) []uint16 {
	x.reached = x.reached[:0]
	for _, slot := range e.holders[:e.count] {
		if contains(x.scratch, slot) {
			x.scratch[slot/64] &^= 1 << (slot % 64)
			x.reached = append(x.reached, slot)
		}
	}
	return x.reached
}

// matchesOf appends the targets of one word of a slot set, if depth is above 0.
func (x *Index) matchesOf(word int, set uint64, depth int, matches []Match) []Match {
	if depth == 0 {
		return matches
	}
	for ; set != 0; set &= set - 1 {
		matches = x.match(uint16(word*64+bits.TrailingZeros64(set)), depth, matches)
	}
	return matches
}

// match appends one target unless its weights are known to differ.
func (x *Index) match(slot uint16, depth int, matches []Match) []Match {
	s := &x.slots[slot]
	if s.weights != x.wanted && s.weights != 0 && x.wanted != 0 {
		return matches
	}
	return append(matches, Match{Handle: s.handle, Blocks: int32(depth), Uncertain: s.uncertain})
}

func (x *Index) target(id string) *indexTarget {
	t := x.targets[id]
	if t == nil {
		t = &indexTarget{id: id, slot: noSlot}
		x.targets[id] = t
		x.assign(t)
	}
	return t
}

// forget gives the target a new slot, which kills all its entries.
func (x *Index) forget(t *indexTarget) {
	x.retire(t.slot)
	x.assign(t)
}

func (x *Index) retire(slot uint16) {
	x.slots[slot] = slotState{deadSince: x.round}
	x.live[slot/64] &^= 1 << (slot % 64)
	x.dead = append(x.dead, slot)
}

func (x *Index) assign(t *indexTarget) {
	if len(x.free) == 0 && len(x.slots) >= int(noSlot) {
		// Every slot waits for the sweep; finish it now.
		x.sweep(2 * (int(x.table.length) + 1))
	}
	var slot uint16
	if n := len(x.free); n > 0 {
		slot, x.free = x.free[n-1], x.free[:n-1]
	} else {
		slot = uint16(len(x.slots))
		x.slots = append(x.slots, slotState{})
		if int(slot/64) == len(x.live) {
			x.live = append(x.live, 0)
		}
	}
	t.slot = slot
	x.publish(t)
	x.live[slot/64] |= 1 << (slot % 64)
}

func (x *Index) store(t *indexTarget, h *BlockHash) {
	i := x.table.find(h)
	if i == noEntry {
		for x.table.live >= x.limit {
			x.evictOne()
		}
		i = x.table.insert(h)
	}
	x.table.add(x.table.at(i), t.slot)
}

func (x *Index) evicted(t *indexTarget, h *BlockHash) {
	i := x.table.find(h)
	if i != noEntry && x.table.drop(x.table.at(i), t.slot) {
		x.table.remove(i)
	}
}

// advance moves the hand by one entry and returns the entry it was at.
func (x *Index) advance() uint32 {
	i := x.hand
	x.hand++
	if x.hand >= x.table.length {
		x.hand = 0
		x.round++
		x.reuseSlots()
	}
	return i
}

// reuseSlots frees the slots that a whole round of the sweep has passed since they
// died. It starts at the second round's end, since a slot may die mid-round.
func (x *Index) reuseSlots() {
	waiting := x.dead[:0]
	for _, slot := range x.dead {
		if x.round >= x.slots[slot].deadSince+2 {
			x.free = append(x.free, slot)
		} else {
			waiting = append(waiting, slot)
		}
	}
	x.dead = waiting
}

// sweep checks up to n entries for dead holders. It does nothing if no slot is dead.
func (x *Index) sweep(n int) {
	for ; n > 0 && len(x.dead) > 0; n-- {
		if x.table.length == 0 {
			x.round++
			x.reuseSlots()
			continue
		}
		x.sweepEntry(x.advance())
	}
}

func (x *Index) sweepEntry(i uint32) {
	e := x.table.at(i)
	if e.count > 0 && x.table.keep(e, x.live) {
		x.table.remove(i)
	}
}

// evictOne removes one block that was not looked up since the hand last passed it.
func (x *Index) evictOne() {
	for {
		i := x.advance()
		e := x.table.at(i)
		if e.count == 0 {
			continue // free
		}
		if x.table.keep(e, x.live) || !e.used {
			x.table.remove(i)
			return
		}
		e.used = false
	}
}

// Maintain sweeps n entries; the owner calls it from time to time so that dead
// entries go even if no events arrive.
func (x *Index) Maintain(n int) { x.sweep(n) }
