package prefix

import (
	"fmt"
	"runtime"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func testChain(account, weights string, content, length int) []BlockHash {
	seed := Namespace{AccountID: account, Model: "m", WeightsVersion: weights}.Seed()
	prompt := make([]byte, length*BlockBytes)
	for i := range prompt {
		prompt[i] = byte(content)
	}
	return Chain(seed, prompt)
}

// reference is a simple model of the content of an index.
type reference struct {
	epoch, weights string
	pastEpochs     []string
	sequence       uint64
	// held are the blocks stored in the current epoch and weights.
	held       map[BlockHash]bool
	eventsLost bool
}

// Guards against a lookup that returns an evicted block, or an entry of a past epoch,
// another client account or older weights, after any sequence of new epochs, new
// weights and late or lost events.
func TestLookupReturnsOnlyUsableEntries(t *testing.T) {
	accounts, versions := []string{"a", "b"}, []string{"v1", "v2"}
	chains := map[string][]BlockHash{}
	for _, a := range accounts {
		for _, v := range versions {
			chains[a+v] = testChain(a, v, 1, 4)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.SampledFrom([]int{3, 1000}).Draw(t, "limit")
		x := NewIndex(limit, rapid.Uint64().Draw(t, "seed"))
		model := map[string]*reference{}
		for i := range 7 { // more targets than an entry holds inline
			model[fmt.Sprint("t", i)] = &reference{weights: "v1", epoch: "e0", held: map[BlockHash]bool{}}
			x.SetEpoch(fmt.Sprint("t", i), "e0", "v1")
			x.SetHandle(fmt.Sprint("t", i), i)
		}
		epochs := 0
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			id := fmt.Sprint("t", rapid.IntRange(0, 6).Draw(t, "target"))
			m := model[id]
			switch rapid.IntRange(0, 6).Draw(t, "kind") {
			case 0: // new epoch, known from a load report
				epochs++
				m.pastEpochs = append(m.pastEpochs, m.epoch)
				m.epoch = fmt.Sprint("e", epochs)
				m.held, m.sequence, m.eventsLost = map[BlockHash]bool{}, 0, false
				x.SetEpoch(id, m.epoch, "")
			case 1: // other weights
				m.weights = rapid.SampledFrom(versions).Draw(t, "weights")
				before := x.targets[id].weights
				x.SetEpoch(id, "", m.weights)
				if before != m.weights {
					m.held, m.sequence, m.eventsLost = map[BlockHash]bool{}, 0, true
				}
			case 2: // late events of a past epoch
				if len(m.pastEpochs) > 0 && len(m.pastEpochs) <= maxPastEpochs {
					old := rapid.SampledFrom(m.pastEpochs).Draw(t, "old")
					all := chains["a"+m.weights]
					x.Apply(id, Batch{Epoch: old, Events: []Event{{Sequence: m.sequence + 1, Hash: all[0], Stored: true}}})
					x.Apply(id, Batch{Epoch: old, Reset: true, Sequence: 9, Events: []Event{{Hash: all[0], Stored: true}}})
				}
			case 3: // full list
				chain := chains[rapid.SampledFrom(accounts).Draw(t, "account")+m.weights]
				count := rapid.IntRange(0, len(chain)).Draw(t, "count")
				m.sequence += uint64(rapid.IntRange(0, 3).Draw(t, "skipped"))
				m.held, m.eventsLost = map[BlockHash]bool{}, false
				batch := Batch{Epoch: m.epoch, Reset: true, Sequence: m.sequence}
				for _, h := range chain[:count] {
					batch.Events = append(batch.Events, Event{Hash: h, Stored: true})
					m.held[h] = true
				}
				x.Apply(id, batch)
			default:
				chain := chains[rapid.SampledFrom(accounts).Draw(t, "account")+m.weights]
				h := rapid.SampledFrom(chain).Draw(t, "block")
				stored := rapid.Bool().Draw(t, "stored")
				skip := uint64(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "lost"))
				m.eventsLost = m.eventsLost || skip > 0
				m.sequence += 1 + skip
				epoch, _ := x.Apply(id, Batch{Epoch: m.epoch, Sequence: m.sequence, Events: []Event{{m.sequence, h, stored}}})
				if (epoch == "") != m.eventsLost {
					t.Fatalf("full list requested: %v, events lost: %v", epoch == "", m.eventsLost)
				}
				if stored {
					m.held[h] = true
				} else {
					delete(m.held, h)
				}
			}
			x.Maintain(rapid.IntRange(0, 3).Draw(t, "sweep"))
			if x.Len() > limit {
				t.Fatalf("%d blocks, limit %d", x.Len(), limit)
			}
			for _, a := range accounts {
				for _, v := range versions {
					checkMatches(t, x, model, chains[a+v], v, limit == 1000)
				}
			}
		}
	})
}

func checkMatches(t *rapid.T, x *Index, model map[string]*reference, chain []BlockHash, weights string, exact bool) {
	matches := x.Lookup(weights, chain, nil)
	found := map[string]int{}
	for _, match := range matches {
		id := fmt.Sprint("t", match.Handle)
		m := model[id]
		if _, twice := found[id]; twice {
			t.Fatalf("target %s returned twice", id)
		}
		found[id] = int(match.Blocks)
		if m.weights != weights {
			t.Fatalf("target %s with weights %s returned for %s", id, m.weights, weights)
		}
		if match.Uncertain != m.eventsLost {
			t.Fatalf("target %s: uncertain %v, events lost %v", id, match.Uncertain, m.eventsLost)
		}
		for _, h := range chain[:match.Blocks] {
			if !m.held[h] {
				t.Fatalf("target %s does not hold a block that was returned", id)
			}
		}
	}
	for id, m := range model {
		length := 0
		for length < len(chain) && m.held[chain[length]] {
			length++
		}
		if exact && m.weights == weights && found[id] != length {
			t.Fatalf("target %s holds %d blocks, lookup returned %d", id, length, found[id])
		}
	}
}

// Guards against a slot that is reused while entries still refer to its previous use: a
// target that changes its epoch more often than there are slots must not get back old
// entries.
func TestSlotsAreNotReusedBeforeTheSweep(t *testing.T) {
	g := NewWithT(t)
	x := NewIndex(100, 1)
	chain := testChain("a", "v1", 1, 3)
	for i := range 3 * int(noSlot) / 2 {
		epoch := fmt.Sprint("e", i)
		x.SetEpoch("t", epoch, "v1")
		if i%1000 == 0 {
			x.Apply("t", Batch{Epoch: epoch, Events: []Event{{1, chain[0], true}}})
		} else if matches := x.Lookup("v1", chain, nil); len(matches) > 0 {
			t.Fatalf("entry of a past epoch returned at epoch %d", i)
		}
	}
	g.Expect(len(x.slots)).To(BeNumerically("<=", int(noSlot)))
}

// Guards against memory that grows with each weights version, and against versions that
// are confused when numbers are reused.
func TestVersionsAreBounded(t *testing.T) {
	g := NewWithT(t)
	x := NewIndex(100, 1)
	chain := testChain("a", "v", 1, 2)
	x.SetEpoch("steady", "e", "v")
	x.Stored("steady", "e", chain)
	for i := range 3 * maxVersions {
		x.SetEpoch("t", "e", fmt.Sprint("w", i))
	}
	x.Stored("t", "e", chain)
	g.Expect(len(x.versions)).To(BeNumerically("<=", maxVersions))
	g.Expect(x.Lookup("v", chain, nil)).To(HaveLen(1))
	g.Expect(x.Lookup(fmt.Sprint("w", 3*maxVersions-1), chain, nil)).To(HaveLen(1))
	g.Expect(x.Lookup("w0", chain, nil)).To(BeEmpty())
}

// Guards against a correction that overrides newer events or another epoch's entries,
// or that is not applied.
func TestCorrection(t *testing.T) {
	g := NewWithT(t)
	x := NewIndex(100, 1)
	chain := testChain("a", "v1", 1, 4)
	x.SetEpoch("t", "e", "v1")
	x.Stored("t", "e", chain[:3])
	estimate := Estimate{Blocks: 3, Sequence: x.Sequence("t")}
	g.Expect(x.Lookup("v1", chain, nil)[0].Blocks).To(BeEquivalentTo(3))
	x.Correct("t", "other", chain, estimate, 0)
	g.Expect(x.Lookup("v1", chain, nil)[0].Blocks).To(BeEquivalentTo(3), "a correction of another epoch must not apply")
	x.Correct("t", "e", chain, estimate, 1000)
	match := x.Lookup("v1", chain, nil)[0]
	g.Expect(match.Blocks).To(BeEquivalentTo(1))
	g.Expect(match.Uncertain).To(BeTrue(), "blocks were evicted without an event, so others may be missing too")
	estimate = Estimate{Blocks: 1, Sequence: x.Sequence("t")}
	x.Apply("t", Batch{Epoch: "e", Events: []Event{{1, chain[1], true}}})
	x.Correct("t", "e", chain, estimate, 0)
	g.Expect(x.Lookup("v1", chain, nil)[0].Blocks).To(BeEquivalentTo(2), "events since the estimate are newer than the count")
}

// Guards against an export that loses blocks, and an import that restores a past epoch.
func TestExportImport(t *testing.T) {
	g := NewWithT(t)
	x := NewIndex(100, 1)
	chain := testChain("a", "v1", 1, 4)
	for i := range 9 {
		id := fmt.Sprint("t", i)
		x.SetEpoch(id, "e", "v1")
		x.Stored(id, "e", chain[:1+i%4])
	}
	y := NewIndex(100, 2)
	y.SetEpoch("t0", "newer", "v1")
	y.Import(x.Export(100))
	for i := range 9 {
		y.SetHandle(fmt.Sprint("t", i), i)
	}
	got := map[int32]int32{}
	for _, m := range y.Lookup("v1", chain, nil) {
		got[m.Handle] = m.Blocks
		g.Expect(m.Uncertain).To(BeTrue())
	}
	g.Expect(got).To(Equal(map[int32]int32{1: 2, 2: 3, 3: 4, 4: 1, 5: 2, 6: 3, 7: 4, 8: 1}))
	g.Expect(x.Export(2).Hashes).To(HaveLen(2))
}

// Guards against more than 64 bytes per block entry.
func TestBytesPerEntry(t *testing.T) {
	g := NewWithT(t)
	const blocks = 1 << 20
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	x := filledIndex(blocks, 1)
	runtime.GC()
	runtime.ReadMemStats(&after)
	perEntry := float64(after.HeapAlloc-before.HeapAlloc) / blocks
	t.Logf("%.1f bytes per block entry", perEntry)
	g.Expect(perEntry).To(BeNumerically("<", 64))
	g.Expect(float64(x.Bytes()) / blocks).To(BeNumerically("<=", maxBytesPerEntry+0.1))
}

func syntheticHash(i int) BlockHash {
	var h BlockHash
	for shift, mixed := 0, uint64(i+1)*0x9e3779b97f4a7c15; shift < 8; shift++ {
		h[shift] = byte(mixed >> (8 * shift))
		h[8+shift] = byte(i >> (8 * shift))
	}
	return h
}

func filledIndex(blocks, holders int) *Index {
	x := NewIndex(blocks, 1)
	for i := range blocks {
		chain := []BlockHash{syntheticHash(i)}
		for j := range holders {
			id := fmt.Sprint("t", (i+j)%830)
			x.SetEpoch(id, "e", "v")
			x.Stored(id, "e", chain)
		}
	}
	return x
}

// BenchmarkEvent measures one cache event at several index sizes, at the limit, so that
// each stored block evicts another one.
func BenchmarkEvent(b *testing.B) {
	for _, blocks := range []int{1 << 14, 1 << 17, 1 << 20} {
		b.Run(fmt.Sprint("blocks=", blocks), func(b *testing.B) {
			x := filledIndex(blocks, 1)
			events := make([]Event, 256)
			sequence := uint64(0)
			b.ResetTimer()
			for i := 0; i < b.N; i += len(events) {
				for j := range events {
					sequence++
					events[j] = Event{Sequence: sequence, Hash: syntheticHash(blocks + int(sequence/2)), Stored: sequence%2 == 0}
				}
				x.Apply("t1", Batch{Epoch: "e", Events: events})
			}
		})
	}
}

// BenchmarkLookup measures a lookup by chain length and holders.
func BenchmarkLookup(b *testing.B) {
	for _, holders := range []int{1, 40, 830} {
		for _, length := range []int{8, 32, 128} {
			b.Run(fmt.Sprintf("holders=%d/chain=%d", holders, length), func(b *testing.B) {
				x := filledIndex(1<<17, 1)
				chain := make([]BlockHash, length)
				for i := range chain {
					chain[i] = syntheticHash(i + 1<<20)
				}
				for j := range holders {
					x.Stored(fmt.Sprint("t", j), "e", chain)
				}
				var matches []Match
				b.ResetTimer()
				for range b.N {
					matches = x.Lookup("v", chain, matches[:0])
				}
				if len(matches) != holders {
					b.Fatalf("%d matches, %d holders", len(matches), holders)
				}
			})
		}
	}
}

// BenchmarkBytesPerEntry measures the memory of the index by number of blocks.
func BenchmarkBytesPerEntry(b *testing.B) {
	for _, blocks := range []int{1 << 16, 1 << 18, 1 << 20} {
		b.Run(fmt.Sprint("blocks=", blocks), func(b *testing.B) {
			var before, after runtime.MemStats
			var perEntry float64
			for range b.N {
				runtime.GC()
				runtime.ReadMemStats(&before)
				x := filledIndex(blocks, 1)
				runtime.GC()
				runtime.ReadMemStats(&after)
				perEntry = float64(after.HeapAlloc-before.HeapAlloc) / float64(blocks)
				runtime.KeepAlive(x)
			}
			b.ReportMetric(perEntry, "bytes/entry")
		})
	}
}
