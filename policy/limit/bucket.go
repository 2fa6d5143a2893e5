package limit

import (
	"slices"
	"time"
)

// Mark identifies an event in a bucket's history.
type Mark uint64

// maxHeadroomRecords bounds the memory of a bucket's history.
const maxHeadroomRecords = 128

// headroomRecord is the headroom, the unused capacity of a bucket, just before an event
// that raised it.
type headroomRecord struct {
	mark     Mark
	headroom float64
}

// headroomHistory finds the smallest headroom since a mark. Headroom falls by refill and
// rises only at events, so its local minima lie just before those events. A record whose
// headroom is not below that of all later ones cannot be the smallest and is dropped,
// which keeps the headrooms ascending.
type headroomHistory struct {
	records []headroomRecord
	last    Mark
}

// record adds the headroom just before an event and returns the mark of the event.
func (h *headroomHistory) record(headroom float64) Mark {
	h.last++
	h.truncate(len(h.records), headroom)
	if len(h.records) >= maxHeadroomRecords {
		h.mergeOldest()
	}
	h.records = append(h.records, headroomRecord{h.last, headroom})
	return h.last
}

// truncate removes the records before index end that are not below headroom and
// returns the index that follows the remaining ones.
func (h *headroomHistory) truncate(end int, headroom float64) int {
	keep := end
	for keep > 0 && h.records[keep-1].headroom >= headroom {
		keep--
	}
	h.records = slices.Delete(h.records, keep, end)
	return keep
}

// mergeOldest joins the older half of the records in pairs. A joined record has
// the smaller headroom for the time of both, so that refunds only get smaller.
func (h *headroomHistory) mergeOldest() {
	const older = maxHeadroomRecords / 2
	merged := h.records[:0]
	for i := 0; i < older; i += 2 {
		merged = append(merged, headroomRecord{h.records[i+1].mark, h.records[i].headroom})
	}
	h.records = append(merged, h.records[older:]...)
}

// firstAfter returns the index of the first record after the mark.
func (h *headroomHistory) firstAfter(mark Mark) int {
	i, _ := slices.BinarySearchFunc(h.records, mark, func(r headroomRecord, m Mark) int {
		if r.mark <= m {
			return -1
		}
		return 1
	})
	return i
}

// refund returns how much of tokens, taken at the mark, would still be in the
// bucket had they never been taken, and rewrites the history to that case. Without
// the rewrite two refunds of the same period could use the same headroom twice.
func (h *headroomHistory) refund(mark Mark, tokens, headroom float64) float64 {
	first := h.firstAfter(mark)
	refunded := min(tokens, headroom)
	if first == len(h.records) {
		return refunded
	}
	smallest := h.records[first].headroom
	refunded = min(refunded, smallest)
	shift := min(tokens, smallest)
	for i := first; i < len(h.records); i++ {
		h.records[i].headroom -= shift
	}
	h.truncate(first, h.records[first].headroom)
	return refunded
}

// Bucket is a token bucket with refunds. Refill never raises the sum of available and
// held tokens above the capacity.
type Bucket struct {
	limits Limits
	level  float64
	// held tokens are lent: they are not available but take up capacity.
	held    float64
	updated time.Time
	history headroomHistory
}

// NewBucket returns a bucket that is empty until start and refills from then on.
func NewBucket(limits Limits, start time.Time) *Bucket {
	return &Bucket{limits: limits, updated: start}
}

func (b *Bucket) headroom() float64 { return max(0, b.limits.Burst-b.held-b.level) }

// advance refills the bucket up to now. A time before the last one changes nothing.
func (b *Bucket) advance(now time.Time) {
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	b.updated = now
	b.level += min(elapsed.Seconds()*b.limits.Rate*(1-MaxClockDrift), b.headroom())
}

// Level returns the available tokens. It is negative after the capacity was
// lowered below the tokens held.
func (b *Bucket) Level(now time.Time) float64 {
	b.advance(now)
	return b.level
}

// Take removes tokens if all of them are available.
func (b *Bucket) Take(now time.Time, tokens float64) (Mark, bool) {
	b.advance(now)
	if b.level < tokens {
		return 0, false
	}
	mark := b.history.record(b.headroom())
	b.level -= tokens
	return mark, true
}

// Refund credits tokens of a Take that were not spent and returns how many the bucket
// accepted: no more than would be in it had they never been taken.
func (b *Bucket) Refund(now time.Time, mark Mark, tokens float64) float64 {
	b.advance(now)
	refunded := b.history.refund(mark, tokens, b.headroom())
	b.level += refunded
	return refunded
}

// SetLimits changes rate and capacity from now on. A lower capacity reduces the level at
// once; a higher one adds no tokens.
func (b *Bucket) SetLimits(now time.Time, limits Limits) {
	b.advance(now)
	b.history.record(b.headroom())
	b.limits = limits
	b.level = min(b.level, limits.Burst-b.held)
}

// lend moves available tokens to the held ones.
func (b *Bucket) lend(tokens float64) {
	b.level -= tokens
	b.held += tokens
}

// restore moves held tokens back to the available ones.
func (b *Bucket) restore(tokens float64) {
	b.level += tokens
	b.held -= tokens
}

// spendHeld removes held tokens that may have been spent and returns the mark of the
// event.
func (b *Bucket) spendHeld(tokens float64) Mark {
	mark := b.history.record(b.headroom())
	b.held -= tokens
	return mark
}

// timeUntil returns how long refill takes to reach the tokens, and false if it
// cannot: the capacity less the tokens held is too small.
func (b *Bucket) timeUntil(now time.Time, tokens float64) (time.Duration, bool) {
	b.advance(now)
	if b.level >= tokens {
		return 0, true
	}
	if tokens > b.limits.Burst {
		return 0, false
	}
	seconds := (tokens - b.level) / (b.limits.Rate * (1 - MaxClockDrift))
	wait := time.Duration(seconds*float64(time.Second)) + time.Nanosecond
	return wait + max(0, b.updated.Sub(now)), true
}
