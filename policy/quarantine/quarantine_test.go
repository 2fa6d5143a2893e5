package quarantine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func matches(r *Registry, parts ...string) bool {
	_, ok := r.Match(parts, at(10_000))
	return ok
}

// Guards against requests with a part that crashes engines, which crash one after the
// other, and against rejecting requests that share only other parts with them.
func TestPartThatCrashesTargetsIsQuarantined(t *testing.T) {
	g := NewWithT(t)
	r := New()
	for n := range 3 {
		g.Expect(matches(r, "manual", "deadly")).To(BeFalse())
		r.RecordCrash(Crash{[]string{"manual", "deadly"}, fmt.Sprint("engine-", n)}, at(n))
	}
	g.Expect(matches(r, "manual", "deadly")).To(BeTrue())
	g.Expect(matches(r, "manual")).To(BeFalse())
	g.Expect(matches(r, "manual", "other")).To(BeFalse())
	g.Expect(r.RecordCompletion([]string{"manual"}, at(5))).To(ConsistOf("manual"))
	g.Expect(matches(r, "other", "deadly")).To(BeTrue())
	g.Expect(matches(r, "manual", "other")).To(BeFalse())
	_, ok := r.Match([]string{"deadly"}, at(3).Add(Duration))
	g.Expect(ok).To(BeFalse())
}

// Guards against a sound part that is rejected because several parts that crash engines
// come together with it.
func TestPartCommonToSeveralCausesIsNotQuarantined(t *testing.T) {
	g := NewWithT(t)
	r := New()
	for n := range 4 {
		r.RecordCrash(Crash{[]string{"manual", "one"}, fmt.Sprint("a", n)}, at(n))
		r.RecordCrash(Crash{[]string{"manual", "two"}, fmt.Sprint("b", n)}, at(n))
	}
	g.Expect(matches(r, "manual", "one")).To(BeTrue())
	g.Expect(matches(r, "manual", "two")).To(BeTrue())
	g.Expect(matches(r, "manual", "three")).To(BeFalse())
}

// Guards against one engine that breaks off several answers and against parts that
// complete elsewhere.
func TestSoundPartsAreNotQuarantined(t *testing.T) {
	g := NewWithT(t)
	r := New()
	for n := range 5 {
		r.RecordCrash(Crash{[]string{"p"}, "engine-1"}, at(n))
	}
	g.Expect(matches(r, "p")).To(BeFalse())
	r.RecordCompletion([]string{"q"}, at(0))
	for n := range 5 {
		_, innocent := r.RecordCrash(Crash{[]string{"q"}, fmt.Sprint("engine-", n)}, at(n))
		g.Expect(innocent).To(ConsistOf("q"))
	}
	g.Expect(matches(r, "q")).To(BeFalse())
	r.AddEntry(Entry{ID: "x", Parts: []string{"q", "r"}, Until: at(60_000)})
	g.Expect(matches(r, "r")).To(BeTrue())
	r.RecordCompletion([]string{"r"}, at(9))
	g.Expect(matches(r, "r")).To(BeFalse())
}

// Guards against a part in quarantine that has completed since, and against a request
// without the cause that is rejected after some sound request with the same parts.
func TestQuarantineOnlyHoldsPartsWithoutCompletion(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		r := New()
		sound := []string{"a", "b", "c"}
		for step := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			parts := rapid.SliceOfNDistinct(rapid.SampledFrom(sound), 1, 3, rapid.ID[string]).Draw(rt, "parts")
			if rapid.Bool().Draw(rt, "crash") {
				r.RecordCrash(Crash{append(parts, "deadly"), fmt.Sprint("engine-", step%7)}, at(step))
				continue
			}
			r.RecordCompletion(parts, at(step))
			g.Expect(matches(r, parts...)).To(BeFalse())
		}
		g.Expect(matches(r, sound...)).To(BeFalse())
	})
}
