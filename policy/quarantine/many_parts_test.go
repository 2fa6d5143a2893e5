package quarantine

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// manyParts returns the parts of a prompt; those below shared are the same for all prompts.
func manyParts(n, shared, prompt int) []string {
	parts := make([]string, 0, n)
	for i := range n {
		if i < shared {
			parts = append(parts, fmt.Sprint("model/shared-", i))
			continue
		}
		parts = append(parts, fmt.Sprint("model/", prompt, "-", i))
	}
	return parts
}

// simpleRegistry decides like Registry, part by part and without bounds on memory.
type simpleRegistry struct {
	crashes   []simpleCrash
	completed map[string]time.Time
	entries   map[string]Entry
	unsettled map[string]bool
	// guilty are the parts whose crashes share what is in quarantine.
	guilty map[string]simpleGuilt
}

type simpleGuilt struct {
	since   time.Time
	widened bool
}

type simpleCrash struct {
	Crash
	at time.Time
}

// crashesOf returns the recorded crashes that have a part.
func (r *simpleRegistry) crashesOf(part string) []simpleCrash {
	return slices.DeleteFunc(slices.Clone(r.crashes), func(c simpleCrash) bool { return !slices.Contains(c.Parts, part) })
}

// targetsOf returns the targets that have crashed, with the time of the last crash of each.
func targetsOf(crashes []simpleCrash) map[string]time.Time {
	out := map[string]time.Time{}
	for _, c := range crashes {
		out[c.Target] = c.at
	}
	return out
}

// commonParts returns what all crashes share.
func commonParts(crashes []simpleCrash) []string {
	common := slices.Sorted(slices.Values(crashes[0].Parts))
	for _, c := range crashes[1:] {
		common = slices.DeleteFunc(common, func(part string) bool { return !slices.Contains(c.Parts, part) })
	}
	return common
}

func (r *simpleRegistry) complete(parts []string, at time.Time) {
	for _, part := range parts {
		r.completed[part] = at
		for i := range r.crashes {
			r.crashes[i].Parts = slices.DeleteFunc(r.crashes[i].Parts, func(p string) bool { return p == part })
		}
		for id, e := range r.entries {
			e.Parts = slices.DeleteFunc(slices.Clone(e.Parts), func(p string) bool { return p == part })
			if r.entries[id] = e; len(e.Parts) == 0 {
				delete(r.entries, id)
			}
		}
	}
}

func (r *simpleRegistry) crash(c Crash, now time.Time) {
	c.Parts = slices.DeleteFunc(slices.Clone(c.Parts), func(p string) bool { return !r.completed[p].IsZero() })
	for _, part := range c.Parts {
		if crashes := r.crashesOf(part); len(crashes) > 0 && slices.ContainsFunc(commonParts(crashes), func(p string) bool { return !slices.Contains(c.Parts, p) }) {
			delete(r.guilty, part)
		}
	}
	r.crashes = append(r.crashes, simpleCrash{c, now})
	for _, part := range c.Parts {
		r.judge(part, now)
	}
}

// review judges the parts again that were unsettled.
func (r *simpleRegistry) review(now time.Time) {
	for _, part := range slices.Sorted(maps.Keys(r.unsettled)) {
		r.judge(part, now)
	}
}

func (r *simpleRegistry) judge(part string, now time.Time) {
	delete(r.unsettled, part)
	crashes := r.crashesOf(part)
	if len(targetsOf(crashes)) < crashesToQuarantine {
		return
	}
	common := commonParts(crashes)
	verdict, widened := r.verdict(crashes, common, now)
	switch verdict {
	case unsettled:
		r.unsettled[part] = true
	case guilty:
		if r.guilty[part].since.IsZero() {
			r.guilty[part] = simpleGuilt{now, widened}
		}
		id := entryID(common)
		if _, known := r.entries[id]; !known {
			r.entries[id] = Entry{ID: id, Parts: common}
		}
	}
}

// comeFromSeveralPrompts reports whether crashes come from more than one prompt.
func comeFromSeveralPrompts(crashes []simpleCrash) bool {
	return slices.ContainsFunc(crashes, func(c simpleCrash) bool { return c.Prompt != crashes[0].Prompt })
}

func (r *simpleRegistry) verdict(crashes []simpleCrash, common []string, now time.Time) (result judgement, widened bool) {
	for _, c := range r.crashes {
		for _, part := range c.Parts {
			others := r.crashesOf(part)
			if comeFromSeveralPrompts(crashes) && !comeFromSeveralPrompts(others) {
				continue
			}
			wider := commonParts(others)
			if len(wider) <= len(common) || slices.ContainsFunc(common, func(p string) bool { return !slices.Contains(wider, p) }) {
				continue
			}
			guilt := r.guilty[part]
			widened = widened || !guilt.since.IsZero()
			left := targetsOf(crashes)
			maps.DeleteFunc(left, func(target string, _ time.Time) bool { _, ok := targetsOf(others)[target]; return ok })
			if len(left) == 0 {
				return explained, false
			}
			for _, at := range left {
				tooNarrow := !guilt.since.IsZero() && (guilt.widened || at.Sub(guilt.since) >= SettleTime)
				if len(left) == 1 && now.Sub(at) < SettleTime && !tooNarrow {
					result = unsettled
				}
			}
		}
	}
	return result, widened
}

// Guards against groups of suspects that decide otherwise than their parts one by one.
func TestRegistryAgreesWithPartsOneByOne(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		r, simple := New(), &simpleRegistry{completed: map[string]time.Time{}, entries: map[string]Entry{}, unsettled: map[string]bool{}, guilty: map[string]simpleGuilt{}}
		names := []string{"a", "b", "c", "d", "e", "f", "g"}
		now := start
		for range rapid.IntRange(1, 25).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(rt, "ms")) * time.Millisecond)
			r.Review(now)
			simple.review(now)
			parts := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, 5, rapid.ID[string]).Draw(rt, "parts")
			if rapid.IntRange(0, 5).Draw(rt, "completion") == 0 {
				parts = parts[:1]
				r.RecordCompletion(parts, now)
				simple.complete(parts, now)
			} else {
				c := Crash{
					Parts: parts, Target: fmt.Sprint("engine-", rapid.IntRange(0, 5).Draw(rt, "engine")),
					Prompt: fmt.Sprint("prompt-", rapid.IntRange(0, 3).Draw(rt, "prompt")),
				}
				r.RecordCrash(c, now)
				simple.crash(c, now)
			}
			found := map[string][]string{}
			for _, e := range r.Entries(now) {
				found[e.ID] = e.Parts
			}
			wanted := map[string][]string{}
			for id, e := range simple.entries {
				wanted[id] = e.Parts
			}
			g.Expect(found).To(Equal(wanted))
			held := 0
			for s := range r.suspects.all {
				held += s.size()
			}
			g.Expect(r.suspects.held).To(Equal(held))
		}
	})
}

// Guards against prompts of many parts that crash targets and fill the memory of the host,
// and against the bounds that make it forget a part that goes on crashing them.
func TestSuspectsAndEntriesAreBounded(t *testing.T) {
	g := NewWithT(t)
	r := New()
	for n := range 60 {
		for target := range crashesToQuarantine {
			r.RecordCrash(Crash{Parts: manyParts(2000, 0, n), Target: fmt.Sprint("engine-", n, target)}, at(n))
		}
		r.RecordCompletion(manyParts(1000, 0, 100_000+n), at(n))
		g.Expect(r.suspects.held).To(BeNumerically("<=", maxHeld))
		g.Expect(r.entries.held).To(BeNumerically("<=", maxParts))
		g.Expect(len(r.completed)).To(BeNumerically("<=", maxParts))
	}
	g.Expect(matches(r, manyParts(2000, 0, 59)...)).To(BeTrue())
	for n := range crashesToQuarantine {
		r.RecordCrash(Crash{Parts: append(manyParts(2000, 0, 1000+n), "deadly"), Target: fmt.Sprint("engine-", n)}, at(1000))
	}
	g.Expect(matches(r, "deadly")).To(BeTrue())
}

// partCounts are the sizes of the benchmarks; 1,000 parts take most of a caller's header.
var partCounts = [...]int{10, 100, 1000}

// BenchmarkCrashes records the crashes of an engine under prompts that share all parts but
// one, at three engines.
func BenchmarkCrashes(b *testing.B) {
	for _, n := range partCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				r := New()
				for crash := range 16 {
					r.RecordCrash(Crash{Parts: manyParts(n, n-1, crash), Target: fmt.Sprint("engine-", crash%3)}, at(crash))
				}
			}
		})
	}
}

// BenchmarkRequests matches a prompt and records its completion while another one is in
// quarantine.
func BenchmarkRequests(b *testing.B) {
	for _, n := range partCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := New()
			for crash := range crashesToQuarantine {
				r.RecordCrash(Crash{Parts: append(manyParts(n, n-1, crash), "deadly"), Target: fmt.Sprint("engine-", crash)}, at(crash))
			}
			parts := manyParts(n, n-1, 100)
			for b.Loop() {
				if _, ok := r.Match(parts, at(1000)); ok {
					b.Fatal("a sound prompt is in quarantine")
				}
				r.RecordCompletion(parts, at(1000))
			}
		})
	}
}
