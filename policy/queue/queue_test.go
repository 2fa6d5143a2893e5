package queue

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sequoiaroad/sequoiaroad/policy/preset"
)

var start = time.Unix(1_000_000, 0)

// Guards against an account that gets less than its share while others are served: the
// served tokens of any two accounts that always have waiting items differ by at most
// one quantum and one largest item on each side.
func TestEveryAccountGetsItsFairShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := preset.For("")
		k.QueueItems, k.AccountShare = 1_000_000, 1
		k.Quantum = rapid.IntRange(1, 5000).Draw(t, "quantum")
		q := New[int](&k)
		accounts := rapid.IntRange(2, 6).Draw(t, "accounts")
		largest := 1
		sizes := make([]int, accounts)
		for i := range sizes {
			sizes[i] = rapid.IntRange(1, 20_000).Draw(t, "size")
			largest = max(largest, sizes[i])
			for j := range 300 {
				if err := q.Push(Item[int]{ID: uint64(j), Account: fmt.Sprint(i), Tokens: sizes[i]}, start, 0); err != nil {
					t.Fatal(err)
				}
			}
		}
		served := map[string]int{}
		remaining := map[string]int{}
		for i := range sizes {
			remaining[fmt.Sprint(i)] = 300
		}
		for {
			item, ok := q.Pop(true)
			if !ok {
				t.Fatal("no item although all accounts have waiting items")
			}
			served[item.Account] += item.Tokens
			if remaining[item.Account]--; remaining[item.Account] == 0 {
				return // from here on not all accounts wait
			}
			for i := range sizes {
				gap := served[item.Account] - served[fmt.Sprint(i)]
				if gap > 2*(k.Quantum+largest) {
					t.Fatalf("account %s is %d tokens ahead of %d, quantum %d, largest item %d", item.Account, gap, i, k.Quantum, largest)
				}
			}
		}
	})
}

// Guards against an account above its rate that delays one within it, a queue that
// exceeds its bounds, and items that are lost or served twice.
func TestOverRateNeverDelaysWithinRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := preset.For("")
		k.QueueItems = rapid.IntRange(1, 20).Draw(t, "items")
		q := New[int](&k)
		waiting := map[uint64]Item[int]{}
		tokens := 0
		markRemoved := func(item Item[int]) {
			if _, ok := waiting[item.ID]; !ok {
				t.Fatalf("item %d was not waiting", item.ID)
			}
			delete(waiting, item.ID)
			tokens -= item.Tokens
		}
		for id := range uint64(rapid.IntRange(1, 80).Draw(t, "steps")) {
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0, 1, 2:
				item := Item[int]{
					ID: id, Account: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"),
					Tokens: rapid.IntRange(1, 9000).Draw(t, "tokens"), OverRate: rapid.Bool().Draw(t, "over"),
					Deadline: start.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "deadline")) * time.Second),
				}
				if q.Push(item, start, 0) == nil {
					waiting[id] = item
					tokens += item.Tokens
				}
			case 3:
				allow := rapid.Bool().Draw(t, "allow over")
				item, ok := q.Pop(allow)
				if !ok {
					break
				}
				markRemoved(item)
				if item.OverRate && !allow {
					t.Fatal("an item above the rate was served though not allowed")
				}
				for _, other := range waiting {
					if item.OverRate && !other.OverRate {
						t.Fatal("an item above the rate was served before one within it")
					}
				}
			case 4:
				for waitingID, item := range waiting {
					if !q.Remove(item.Account, waitingID) {
						t.Fatal("a waiting item can't be removed")
					}
					markRemoved(item)
					break
				}
			case 5:
				now := start.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "now")) * time.Second)
				for _, item := range q.Expire(now) {
					markRemoved(item)
				}
				for _, item := range waiting {
					if !now.Before(item.Deadline) {
						t.Fatal("an item is left after its deadline")
					}
				}
			}
			if q.Len() != len(waiting) || q.Tokens() != tokens || q.Len() > k.QueueItems {
				t.Fatalf("%d items with %d tokens, want %d with %d", q.Len(), q.Tokens(), len(waiting), tokens)
			}
		}
		for _, item := range q.Clear() {
			markRemoved(item)
		}
		if len(waiting) > 0 || len(q.queuedByAccount) > 0 {
			t.Fatal("items were lost")
		}
	})
}

// Guards against an item that is accepted although its deadline can't be met, and an
// account that fills the whole queue.
func TestPushRejectsEarly(t *testing.T) {
	g := NewWithT(t)
	k := preset.For("")
	k.QueueItems, k.AccountShare = 4, 0.5
	q := New[int](&k)
	item := Item[int]{Account: "a", Deadline: start.Add(time.Second)}
	g.Expect(q.Push(item, start, 2*time.Second)).To(MatchError(ErrDeadline))
	g.Expect(q.Push(item, start, time.Second)).To(Succeed())
	g.Expect(q.Push(item, start, 0)).To(Succeed())
	g.Expect(q.Push(item, start, 0)).To(MatchError(ErrAccountFull))
	g.Expect(q.Push(Item[int]{Account: "b"}, start, 0)).To(Succeed())
	g.Expect(q.Push(Item[int]{Account: "b"}, start, 0)).To(Succeed())
	g.Expect(q.Push(Item[int]{Account: "c"}, start, 0)).To(MatchError(ErrFull))
}

// Guards against a limit that ignores the delay or leaves its bounds, and against
// requests above the rate that occupy a whole target.
func TestLimitFollowsDelay(t *testing.T) {
	g := NewWithT(t)
	k := preset.For("")
	var l Limit
	for l.HasCapacity(&k) {
		l.Start(false)
	}
	before := l.Value(&k)
	for range 100 {
		l.RecordDelay(&k, 0, start)
	}
	g.Expect(l.Value(&k)).To(BeNumerically(">", before))
	high := l.Value(&k)
	for range 100 {
		l.RecordDelay(&k, time.Minute, start)
	}
	g.Expect(l.Value(&k)).To(BeNumerically(">", high/2), "one short slowdown counts once")
	for i := range 100 {
		l.RecordDelay(&k, time.Minute, start.Add(time.Duration(i)*time.Second))
	}
	g.Expect(l.Value(&k)).To(Equal(k.MinInFlight))

	var overRate Limit
	for overRate.HasOverRateCapacity(&k) {
		overRate.Start(true)
	}
	g.Expect(overRate.InFlight()).To(Equal(initialLimit / 2))
	g.Expect(overRate.HasCapacity(&k)).To(BeTrue())
}

// BenchmarkPushPop measures the cost of one item by the number of waiting accounts.
func BenchmarkPushPop(b *testing.B) {
	for _, accounts := range []int{5, 50, 520} {
		b.Run(fmt.Sprint("accounts=", accounts), func(b *testing.B) {
			k := preset.For("")
			k.QueueItems = 4 * accounts
			q := New[int](&k)
			for i := range 2 * accounts {
				_ = q.Push(Item[int]{Account: fmt.Sprint(i % accounts), Tokens: 1000 + i%7*1000}, start, 0)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				item, _ := q.Pop(true)
				if err := q.Push(item, start, 0); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
