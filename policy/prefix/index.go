package prefix

import (
	"slices"
)

const (
	// sweptEntriesPerEvent is how many entries are checked for retired slots with each
	// event, so that removing a target's entries never blocks the index for long.
	sweptEntriesPerEvent = 4
	// maxPastEpochs is how many past epochs of a target are kept to reject late events.
	maxPastEpochs = 4
	// maxBytesPerEntry is the upper bound for a block with up to five holders: 32 bytes
	// for the entry and at most 8 for its share of the buckets.
	maxBytesPerEntry = 40
	// maxVersions bounds the numbered weights versions; it is above the number of
	// targets of the largest fleet.
	maxVersions = 4096
	// unknownVersion stands for a weights version that no target has reported.
	unknownVersion = -1
)

// Event reports that a target stored or evicted a block.
type Event struct {
	Sequence uint64
	Hash     BlockHash
	Stored   bool
}

// Batch is one response of a target's event endpoint.
type Batch struct {
	Epoch string
	// Reset means that Events lists all blocks held, as of Sequence.
	Reset    bool
	Sequence uint64
	Events   []Event
}

// Match is the longest prefix of a chain that a target holds.
type Match struct {
	// Handle is the number given to SetHandle.
	Handle int32
	// Blocks is the number of leading blocks of the chain that are cached.
	Blocks int32
	// Uncertain means that events were lost, so that blocks may have been evicted.
	Uncertain bool
}

// Estimate is the cached prefix that the index recorded for a target when a request was
// routed there.
type Estimate struct {
	Blocks int
	// Sequence is the number of the last event that the index had applied; see
	// Index.Sequence.
	Sequence uint64
}

// slotState is one generation of a target's cache: an epoch under one weights version.
// When either changes, the target gets a new slot and the old one is retired: its
// entries are invalid at once, but stay in memory until the sweep removes them.
type slotState struct {
	// handle, weights and uncertain are copied from the target, so that a lookup reads
	// only one array.
	handle    int32
	weights   int32
	uncertain bool
	// retiredInRound is the sweep round in which the slot was retired.
	retiredInRound uint64
}

type indexTarget struct {
	id        string
	handle    int32
	slot      uint16
	epoch     string
	weights   string
	sequence  uint64
	uncertain bool
	// gaps counts the detected losses of events.
	gaps       uint64
	pastEpochs []string
}

// Index records which target holds which blocks. A lookup returns only blocks of a
// target's current epoch and weights; the hash chain itself separates client accounts,
// models and weights versions. Memory is bounded by the limit on blocks.
//
// An Index is not safe for concurrent use.
type Index struct {
	maxBlocks    int
	table        *table
	targets      map[string]*indexTarget
	slots        []slotState
	freeSlots    []uint16
	retiredSlots []uint16
	// liveSlots has a bit for each slot that is a target's current one.
	liveSlots []uint64
	// clockHand is the next entry that the sweep and the CLOCK eviction check.
	clockHand  uint32
	sweepRound uint64
	// remaining and inlineSlots are buffers of the lookup in progress: the slots that
	// hold all blocks so far, as a bit set and, after the last block with a bit set, as
	// a list.
	remaining   []uint64
	inlineSlots []uint16
	// versions numbers the weights versions, from 1; zero means unknown.
	versions map[string]int32
	// queryVersion is the weights version of the lookup in progress.
	queryVersion int32
}

// NewIndex returns an index of at most maxBlocks blocks. The seed keeps callers from
// choosing prompts that collide in the table; each process should draw its own.
func NewIndex(maxBlocks int, seed uint64) *Index {
	return &Index{maxBlocks: max(maxBlocks, 1), table: newTable(seed), targets: map[string]*indexTarget{}, versions: map[string]int32{}}
}

// Len returns the number of blocks in memory, including invalid ones that are not swept
// yet.
func (x *Index) Len() int { return x.table.inUse }

// Bytes returns an upper bound of the memory for blocks, without bit sets.
func (x *Index) Bytes() int {
	return len(x.table.chunks)*chunkEntries*32 + len(x.table.buckets)*4
}

// SetEpoch records the epoch and weights version that a target reports. Empty values
// mean unknown and change nothing. A new epoch or version invalidates the target's
// entries.
func (x *Index) SetEpoch(targetID, epoch, weights string) {
	t := x.getOrAddTarget(targetID)
	newEpoch := epoch != "" && epoch != t.epoch
	if newEpoch && slices.Contains(t.pastEpochs, epoch) {
		return
	}
	newWeights := weights != "" && weights != t.weights
	if newWeights {
		hadWeights := t.weights != ""
		t.weights = weights
		x.versionNumber(weights)
		if hadWeights && !newEpoch {
			t.sequence, t.uncertain = 0, true
			x.replaceSlot(t)
		}
		x.updateSlot(t)
	}
	if newEpoch {
		x.startEpoch(t, epoch)
	}
}

// SetHandle sets the number that lookups return for the target, so that the caller
// needs no map by id.
func (x *Index) SetHandle(targetID string, handle int) {
	t := x.getOrAddTarget(targetID)
	t.handle = int32(handle)
	x.updateSlot(t)
}

// updateSlot copies the fields that lookups need from a target to its slot.
func (x *Index) updateSlot(t *indexTarget) {
	x.slots[t.slot] = slotState{handle: t.handle, weights: x.versions[t.weights], uncertain: t.uncertain}
}

// versionNumber returns the number of a weights version and assigns one if needed.
func (x *Index) versionNumber(weights string) int32 {
	if weights == "" {
		return 0
	}
	if x.versions[weights] == 0 {
		if len(x.versions) >= maxVersions {
			x.renumberVersions()
		}
		x.versions[weights] = int32(len(x.versions)) + 1
	}
	return x.versions[weights]
}

// renumberVersions drops versions that no target has any more.
func (x *Index) renumberVersions() {
	clear(x.versions)
	for _, t := range x.targets {
		if t.weights != "" && x.versions[t.weights] == 0 {
			x.versions[t.weights] = int32(len(x.versions)) + 1
		}
	}
	for _, t := range x.targets {
		x.updateSlot(t)
	}
}

// startEpoch drops the state of a target's previous epoch.
func (x *Index) startEpoch(t *indexTarget, epoch string) {
	if t.epoch != "" {
		t.pastEpochs = append(t.pastEpochs, t.epoch)
		if len(t.pastEpochs) > maxPastEpochs {
			t.pastEpochs = t.pastEpochs[1:]
		}
	}
	t.epoch, t.sequence, t.uncertain = epoch, 0, false
	x.replaceSlot(t)
}

// Remove removes a target and invalidates its entries.
func (x *Index) Remove(targetID string) {
	if t := x.targets[targetID]; t != nil {
		x.retireSlot(t.slot)
		delete(x.targets, targetID)
	}
}

// Targets returns the ids of all targets in the index, in no order.
func (x *Index) Targets() []string {
	ids := make([]string, 0, len(x.targets))
	for id := range x.targets {
		ids = append(ids, id)
	}
	return ids
}

// Apply applies a batch and returns the epoch and sequence number from which the next
// poll continues. An empty epoch requests the full list.
func (x *Index) Apply(targetID string, b Batch) (epoch string, after uint64) {
	t := x.getOrAddTarget(targetID)
	if b.Epoch == "" || slices.Contains(t.pastEpochs, b.Epoch) {
		return x.nextPoll(t)
	}
	if b.Epoch != t.epoch {
		x.startEpoch(t, b.Epoch)
	}
	if b.Reset {
		t.uncertain = false
		x.replaceSlot(t)
		for i := range b.Events {
			x.sweep(sweptEntriesPerEvent)
			x.store(t, &b.Events[i].Hash)
		}
		t.sequence = b.Sequence
		return x.nextPoll(t)
	}
	for i := range b.Events {
		x.applyEvent(t, &b.Events[i])
	}
	x.updateSlot(t)
	return x.nextPoll(t)
}

func (x *Index) applyEvent(t *indexTarget, e *Event) {
	x.sweep(sweptEntriesPerEvent)
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
		x.removeHolder(t, &e.Hash)
	}
}

func (x *Index) nextPoll(t *indexTarget) (string, uint64) {
	if t.uncertain {
		return "", 0
	}
	return t.epoch, t.sequence
}

// Stored records, without an event, that a target holds the blocks, for example because
// it has just computed that prompt for a request.
func (x *Index) Stored(targetID, epoch string, chain []BlockHash) {
	t := x.targets[targetID]
	if t == nil || t.epoch != epoch {
		return
	}
	for i := range chain {
		x.store(t, &chain[i])
	}
}

// Gaps returns the number of detected losses of a target's events.
func (x *Index) Gaps(targetID string) uint64 {
	if t := x.targets[targetID]; t != nil {
		return t.gaps
	}
	return 0
}

// Epoch returns the last known epoch of a target; empty means unknown.
func (x *Index) Epoch(targetID string) string {
	if t := x.targets[targetID]; t != nil {
		return t.epoch
	}
	return ""
}

// Sequence returns the number of the last event of a target that the index has applied.
func (x *Index) Sequence(targetID string) uint64 {
	if t := x.targets[targetID]; t != nil {
		return t.sequence
	}
	return 0
}

// Correct applies the cached-token count of a response to a request that was routed
// with the estimate. Blocks that were cached are recorded. If the estimate was too
// high, the blocks beyond the count are removed and the target becomes uncertain, since
// it must have evicted blocks without an event. Nothing changes if events were applied
// since the estimate: they are newer than the count. Correct reports whether it removed
// blocks.
func (x *Index) Correct(targetID, epoch string, chain []BlockHash, estimate Estimate, cachedTokens int) bool {
	t := x.targets[targetID]
	if t == nil || t.epoch != epoch || estimate.Sequence != t.sequence {
		return false
	}
	cached := min(cachedTokens/(BlockBytes/BytesPerToken), len(chain))
	for i := range chain[:cached] {
		x.store(t, &chain[i])
	}
	estimated := min(estimate.Blocks, len(chain))
	for i := cached; i < estimated; i++ {
		x.removeHolder(t, &chain[i])
	}
	t.uncertain = t.uncertain || cached < estimated
	x.updateSlot(t)
	return cached < estimated
}

func (x *Index) store(t *indexTarget, h *BlockHash) {
	i := x.table.find(h)
	if i == noEntry {
		for x.table.inUse >= x.maxBlocks {
			x.evictOne()
		}
		i = x.table.insert(h)
	}
	x.table.addHolder(x.table.at(i), t.slot)
}

func (x *Index) removeHolder(t *indexTarget, h *BlockHash) {
	i := x.table.find(h)
	if i != noEntry && x.table.removeHolder(x.table.at(i), t.slot) {
		x.table.remove(i)
	}
}
