package limit

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var (
	testStart  = time.Unix(1000, 0)
	testTiming = NewTiming(3 * time.Second)
)

// exactRate compensates for the reduced refill rate of buckets, see MaxClockDrift, so that
// a bucket gains whole tokens.
func exactRate(rate float64) float64 { return rate / (1 - MaxClockDrift) }

func fullBucket(rate, burst float64) *Bucket {
	b := NewBucket(Limits{Rate: exactRate(rate), Burst: burst}, testStart.Add(-time.Hour))
	b.advance(testStart)
	return b
}

// Guards against an idle account that loses its refund because the bucket was full
// just before the reservation.
func TestRefundAfterTakeFromFullBucketIsComplete(t *testing.T) {
	g := NewWithT(t)
	b := fullBucket(10, 100)
	mark, ok := b.Take(testStart, 80)
	g.Expect(ok).To(BeTrue())
	g.Expect(b.Refund(testStart.Add(time.Second), mark, 50)).To(BeNumerically("~", 50, 1e-6))
	g.Expect(b.Level(testStart.Add(time.Second))).To(BeNumerically("~", 80, 1e-6))
}

// Guards against a refund of tokens that refill has already replaced.
func TestRefundStopsAtHeadroomSinceTake(t *testing.T) {
	g := NewWithT(t)
	b := fullBucket(10, 100)
	mark, _ := b.Take(testStart, 80)
	later := testStart.Add(7 * time.Second) // 90 in the bucket, headroom 10
	_, ok := b.Take(later, 89)
	g.Expect(ok).To(BeTrue())
	g.Expect(b.Refund(later, mark, 80)).To(BeNumerically("~", 10, 1e-6))
}

// referenceBucket records all operations and replays them with the tokens that were
// used. It defines the level of a bucket from which the unused tokens had never been
// taken.
type referenceBucket struct {
	limits     Limits
	operations []*referenceTake
}

type referenceTake struct {
	at     time.Time
	tokens float64
}

func (r *referenceBucket) level(now time.Time) float64 {
	level, last := r.limits.Burst, testStart
	for _, o := range r.operations {
		level = min(r.limits.Burst, level+o.at.Sub(last).Seconds()*r.limits.Rate*(1-MaxClockDrift)) - o.tokens
		last = o.at
	}
	return min(r.limits.Burst, level+now.Sub(last).Seconds()*r.limits.Rate*(1-MaxClockDrift))
}

// Guards against refunds after which a bucket has more tokens, or needlessly fewer, than
// one from which they had never been taken.
func TestRefundsEqualReplayWithoutTheTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Rate: 10, Burst: 100}
		b := fullBucket(10, 100)
		b.limits.Rate = limits.Rate
		reference := &referenceBucket{limits: limits}
		marks := map[*referenceTake]Mark{}
		var open []*referenceTake
		now := testStart
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			if len(open) > 0 && rapid.Bool().Draw(t, "settle") {
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				o := open[i]
				open = append(open[:i:i], open[i+1:]...)
				unused := float64(rapid.IntRange(0, int(o.tokens)).Draw(t, "unused"))
				b.Refund(now, marks[o], unused)
				o.tokens -= unused
			} else {
				tokens := float64(rapid.IntRange(1, 60).Draw(t, "tokens"))
				if mark, ok := b.Take(now, tokens); ok {
					o := &referenceTake{now, tokens}
					reference.operations = append(reference.operations, o)
					open = append(open, o)
					marks[o] = mark
				}
			}
			if want, got := reference.level(now), b.Level(now); got > want+1e-6 || got < want-1e-6 {
				t.Fatalf("level %.6f, replay %.6f", got, want)
			}
		}
	})
}

// Guards against a history that grows without bound, and against merged records that
// allow larger refunds.
func TestHistoryIsBoundedAndMergesTowardsSmallerRefunds(t *testing.T) {
	g := NewWithT(t)
	var h headroomHistory
	marks := make([]Mark, 0, 1000)
	for i := range 1000 {
		marks = append(marks, h.record(float64(i)))
	}
	g.Expect(len(h.records)).To(BeNumerically("<=", maxHeadroomRecords))
	for i, m := range marks[:len(marks)-1] {
		first := h.firstAfter(m)
		g.Expect(h.records[first].headroom).To(BeNumerically("<=", float64(i+1)))
	}
}

// Guards against a lowered limit that applies late, and a raised one that adds tokens
// for the time before the change.
func TestLimitChange(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(testTiming, 1, Limits{exactRate(10), 100}, 1, testStart.Add(-time.Hour))
	_, tokens, ok := p.Issue(testStart, 60, 60)
	g.Expect(ok).To(BeTrue())
	g.Expect(tokens).To(Equal(int64(60)))
	p.Update(testStart, Limits{exactRate(10), 50}, 1)
	g.Expect(p.Level(testStart) + p.Outstanding(testStart)).To(BeNumerically("~", 50, 1e-6))
	p.Update(testStart, Limits{exactRate(20), 200}, 1)
	g.Expect(p.Level(testStart) + p.Outstanding(testStart)).To(BeNumerically("~", 50, 1e-6))
	soon := testStart.Add(time.Second)
	g.Expect(p.Level(soon) + p.Outstanding(soon)).To(BeNumerically("~", 70, 1e-6))
}

// Guards against a repeated or late return that credits spent tokens, and against
// spent grants that stop the refill until they expire.
func TestReturnIsIdempotent(t *testing.T) {
	g := NewWithT(t)
	p := NewPool(testTiming, 1, Limits{exactRate(10), 100}, 1, testStart.Add(-time.Hour))
	id, _, _ := p.Issue(testStart, 60, 60)
	for range 3 {
		p.Return(testStart, id, 20)
		g.Expect(p.Level(testStart)).To(BeNumerically("~", 60, 1e-6))
		g.Expect(p.Outstanding(testStart)).To(BeZero())
	}
	soon := testStart.Add(500 * time.Millisecond)
	g.Expect(p.Level(soon)).To(BeNumerically("~", 65, 1e-6))
	p.Return(soon, id, 30)
	g.Expect(p.Level(soon)).To(BeNumerically("~", 75, 1e-6))
	// Refill has replaced all but 5 of the 30 tokens that were not returned.
	later := soon.Add(2 * time.Second)
	p.Return(later, id, 1000)
	g.Expect(p.Level(later)).To(BeNumerically("~", 100, 1e-6))
	p.Return(later, GrantID{Epoch: 2, Number: id.Number}, 60)
	g.Expect(p.Level(later)).To(BeNumerically("~", 100, 1e-6))
}

// Guards against a holder that spends a grant after its lifetime from the sending of
// the request, or that loses tokens settled after that.
func TestGrantExpiresFromSending(t *testing.T) {
	g := NewWithT(t)
	a := NewAccount(testTiming)
	a.Apply(testStart, Role{Revision: 1, Limits: Limits{10, 100}, Rank: -1, HomeCount: 3})
	received := testStart.Add(900 * time.Millisecond)
	a.Holder().Accept(received, &Grant{ID: GrantID{1, 1}, Issuer: "owner"}, 30, testStart)
	r, ok := a.Reserve(received, 20)
	g.Expect(ok).To(BeTrue())
	expired := testStart.Add(time.Second)
	_, ok = a.Reserve(expired, 1)
	g.Expect(ok).To(BeFalse())
	g.Expect(a.Holder().TakeReturns(expired, false)).To(ConsistOf(Return{"owner", GrantID{1, 1}, 10}))
	a.Settle(expired, r, 5)
	g.Expect(a.Holder().TakeReturns(expired, false)).To(ConsistOf(Return{"owner", GrantID{1, 1}, 25}))
	g.Expect(a.Holder().TakeReturns(expired, false)).To(BeEmpty())
}

// Guards against spending tokens of a grant after the holder has reported it to its
// issuer as used up.
func TestSpentGrantIsReportedAndNotReused(t *testing.T) {
	g := NewWithT(t)
	a := NewAccount(testTiming)
	a.Apply(testStart, Role{Revision: 1, Limits: Limits{10, 100}, Rank: -1, HomeCount: 3})
	a.Holder().Accept(testStart, &Grant{ID: GrantID{1, 1}, Issuer: "owner"}, 30, testStart)
	a.Holder().Accept(testStart, &Grant{ID: GrantID{1, 2}, Issuer: "home"}, 30, testStart)
	r, ok := a.Reserve(testStart, 35)
	g.Expect(ok).To(BeTrue())
	g.Expect(a.Holder().TakeReturnsTo(testStart, "home")).To(BeEmpty())
	g.Expect(a.Holder().TakeReturnsTo(testStart, "owner")).To(ConsistOf(Return{"owner", GrantID{1, 1}, 0}))
	a.Settle(testStart, r, 0)
	g.Expect(a.Available(testStart)).To(Equal(int64(30)))
	g.Expect(a.Holder().TakeReturns(testStart, false)).To(ConsistOf(Return{"owner", GrantID{1, 1}, 30}))
}

// Guards against prefetch without recent use, and against prefetch of tokens that the
// holder already has.
func TestPrefetchFollowsRecentUse(t *testing.T) {
	g := NewWithT(t)
	h := NewHolder(testTiming)
	g.Expect(h.PrefetchTokens(testStart)).To(BeZero())
	now := testStart
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		h.recordUse(now, 100)
	}
	prefetch := h.PrefetchTokens(now)
	g.Expect(prefetch).To(BeNumerically("~", 1000, 100))
	h.Accept(now, &Grant{}, prefetch, now)
	g.Expect(h.PrefetchTokens(now)).To(BeZero())
	g.Expect(h.PrefetchTokens(now.Add(time.Minute))).To(BeZero())
}

// Guards against shares that add up to more than the account's limits, or leave a part
// of them unused.
func TestSharesAddUpToOne(t *testing.T) {
	g := NewWithT(t)
	for homes := 1; homes <= 3; homes++ {
		sum := 0.0
		for rank := range homes {
			sum += Share(rank, homes)
		}
		g.Expect(sum).To(BeNumerically("~", 1, 1e-12))
	}
	g.Expect(Share(-1, 3)).To(BeZero())
	g.Expect(LargestRequest(Limits{10, 300}, 3)).To(Equal(int64(260)))
}
