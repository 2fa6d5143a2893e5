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
		r.RecordCrash(Crash{Parts: []string{"manual", "deadly"}, Target: fmt.Sprint("engine-", n)}, at(n))
	}
	g.Expect(matches(r, "manual", "deadly")).To(BeTrue())
	g.Expect(matches(r, "manual")).To(BeFalse())
	g.Expect(matches(r, "manual", "other")).To(BeFalse())
	cleared, changed := r.RecordCompletion([]string{"manual"}, at(5))
	g.Expect(cleared).To(ConsistOf("manual"))
	g.Expect(changed).To(HaveLen(1))
	g.Expect(changed[0].Parts).To(ConsistOf("deadly"))
	g.Expect(matches(r, "other", "deadly")).To(BeTrue())
	g.Expect(matches(r, "manual", "other")).To(BeFalse())
}

// Guards against a sound part that is rejected because several parts that crash engines
// come together with it: a completion at any moment between their crashes clears it, for as
// long as it comes. Without one, it looks like a part that crashes engines itself.
func TestPartCommonToSeveralCausesIsNotQuarantined(t *testing.T) {
	for moment := range 8 {
		g := NewWithT(t)
		r := New()
		now := 0
		next := func() time.Time {
			if now == moment {
				r.RecordCompletion([]string{"manual", "three"}, at(now))
			}
			now++
			return at(now)
		}
		for n := range 4 {
			r.RecordCrash(Crash{Parts: []string{"manual", "one"}, Prompt: fmt.Sprint("one-", n), Target: fmt.Sprint("a", n)}, next())
			r.RecordCrash(Crash{Parts: []string{"manual", "two"}, Prompt: fmt.Sprint("two-", n), Target: fmt.Sprint("b", n)}, next())
			g.Expect(matches(r, "manual", "three")).To(Equal(now <= moment && now >= crashesToQuarantine+1), "crash %d, completed after %d", now, moment)
		}
		g.Expect(matches(r, "manual", "one")).To(BeTrue())
		g.Expect(matches(r, "manual", "two")).To(BeTrue())
		g.Expect(matches(r, "manual", "three")).To(BeFalse())
	}
}

// Guards against one engine that breaks off several answers and against parts that
// complete elsewhere.
func TestSoundPartsAreNotQuarantined(t *testing.T) {
	g := NewWithT(t)
	r := New()
	for n := range 5 {
		r.RecordCrash(Crash{Parts: []string{"p"}, Target: "engine-1"}, at(n))
	}
	g.Expect(matches(r, "p")).To(BeFalse())
	r.RecordCompletion([]string{"q"}, at(0))
	for n := range 5 {
		outcome := r.RecordCrash(Crash{Parts: []string{"q"}, Target: fmt.Sprint("engine-", n)}, at(n))
		g.Expect(outcome.Innocent).To(ConsistOf(Completion{"q", at(0)}))
	}
	g.Expect(matches(r, "q")).To(BeFalse())
	r.AddEntry(Entry{ID: "x", Parts: []string{"q", "r"}, Until: at(60_000)}, at(5))
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
				r.RecordCrash(Crash{Parts: append(parts, "deadly"), Target: fmt.Sprint("engine-", step%7)}, at(step))
				continue
			}
			r.RecordCompletion(parts, at(step))
			g.Expect(matches(r, parts...)).To(BeFalse())
		}
		g.Expect(matches(r, sound...)).To(BeFalse())
	})
}

// Guards against parts that stay in quarantine although they no longer crash targets, and
// against parts that crash several targets again after each trial.
func TestQuarantineEndsAndIsResumed(t *testing.T) {
	g := NewWithT(t)
	r := New()
	for n := range 3 {
		r.RecordCrash(Crash{Parts: []string{"deadly"}, Target: fmt.Sprint("engine-", n)}, at(n))
	}
	end := at(2).Add(FirstDuration)
	rejects := func(now time.Time) bool {
		_, ok := r.Match([]string{"deadly"}, now)
		return ok
	}
	isTrialDue := func(now time.Time) bool {
		e, ok := r.Match([]string{"deadly"}, now)
		return ok && e.IsTrialDue(now)
	}
	g.Expect(rejects(end.Add(-time.Millisecond))).To(BeTrue())
	g.Expect(isTrialDue(end.Add(-time.Millisecond))).To(BeFalse())
	g.Expect(isTrialDue(end)).To(BeTrue())
	resumed := r.RecordCrash(Crash{Parts: []string{"deadly"}, Target: "engine-9"}, end)
	g.Expect(resumed.Added).To(HaveLen(1))
	g.Expect(rejects(end.Add(durationFactor*FirstDuration - time.Millisecond))).To(BeTrue())
	g.Expect(isTrialDue(end.Add(durationFactor*FirstDuration - time.Millisecond))).To(BeFalse())
	r.RecordCompletion([]string{"deadly"}, end.Add(time.Second))
	g.Expect(rejects(end.Add(2 * time.Second))).To(BeFalse())
	g.Expect(r.Digest()).To(BeZero())
}

// Guards against requests that follow a trial before its outcome is known, and against a
// quarantine that no request ends any more.
func TestOneRequestIsTriedAtATime(t *testing.T) {
	g := NewWithT(t)
	r := New()
	for n := range 3 {
		r.RecordCrash(Crash{Parts: []string{"deadly"}, Target: fmt.Sprint("engine-", n)}, at(n))
	}
	due := at(2).Add(FirstDuration)
	e, _ := r.Match([]string{"deadly"}, due)
	g.Expect(e.IsTrialDue(due)).To(BeTrue())
	r.AddEntry(e.Prolonged(due), due)
	_, rejected := r.Index().Match([]string{"deadly"}, Trials{e.ID: true}, due)
	g.Expect(rejected).To(BeFalse(), "the request that is tried")
	other, rejected := r.Match([]string{"deadly"}, due)
	g.Expect(rejected && !other.IsTrialDue(due)).To(BeTrue(), "the next one")
	abandoned := other.Until.Add(Probation)
	_, rejected = r.Match([]string{"deadly"}, abandoned)
	g.Expect(rejected).To(BeFalse(), "no request came for the time of Probation")
}

// Guards against a part that crashes engines beside ever new other parts and is taken for
// what these have in common.
func TestPartBesideManyOthersIsQuarantined(t *testing.T) {
	g := NewWithT(t)
	r := New()
	crashes := 0
	for n := 0; crashes < 100; n++ {
		other := fmt.Sprint("other-", max(0, n-1))
		if matches(r, other, "deadly") {
			break
		}
		r.RecordCrash(Crash{Parts: []string{other, "deadly"}, Target: fmt.Sprint("engine-", n)}, at(n))
		crashes++
	}
	g.Expect(crashes).To(BeNumerically("<=", 5))
}

// Guards against a part that stays innocent for as long as it goes on crashing targets.
func TestInnocenceExpires(t *testing.T) {
	g := NewWithT(t)
	one, two := New(), New()
	one.RecordCompletion([]string{"p"}, at(0))
	for n := range 6 {
		now := at(n * 10_000)
		c := Crash{Parts: []string{"p"}, Target: fmt.Sprint("engine-", n)}
		for _, pair := range [...][2]*Registry{{one, two}, {two, one}} {
			for _, i := range pair[0].RecordCrash(c, now).Innocent {
				pair[1].RecordCompletion([]string{i.Part}, i.At)
			}
		}
	}
	_, ok := one.Match([]string{"p"}, at(51_000))
	g.Expect(ok).To(BeTrue())
}

// Guards against a part that goes on crashing engines because each prompt that has it is sent
// again: every such prompt explained its own crashes, and the part was left out.
func TestPartOfRepeatedPromptsIsQuarantined(t *testing.T) {
	for _, sends := range [...]int{2, 3, 4} {
		g := NewWithT(t)
		r := New()
		crashes := 0
		for n := 0; !matches(r, "deadly", "other") && crashes < 50; n++ {
			prompt := fmt.Sprint("prompt:", n)
			for range sends {
				if !matches(r, "deadly", prompt) {
					r.RecordCrash(Crash{Parts: []string{"deadly", prompt}, Prompt: prompt, Target: fmt.Sprint("engine-", crashes)}, at(crashes))
					crashes++
				}
			}
		}
		g.Expect(crashes).To(BeNumerically("<=", crashesToQuarantine+1), "each prompt is sent %d times", sends)
	}
}

// Guards against a sound part that is rejected because one prompt that has it crashes engines
// each time it is sent again.
func TestPartOfOneRepeatedPromptIsNotQuarantined(t *testing.T) {
	g := NewWithT(t)
	r := New()
	for n := range 4 {
		r.RecordCrash(Crash{Parts: []string{"manual", "prompt:1"}, Prompt: "prompt:1", Target: fmt.Sprint("engine-", n)}, at(n))
	}
	g.Expect(matches(r, "manual", "prompt:1")).To(BeTrue())
	g.Expect(matches(r, "manual", "prompt:2")).To(BeFalse())
}

// Guards against a part that crashes engines for as long as prompts with it come, because
// they are so rare that a crash no longer counts when the third one happens.
func TestPartOfRarePromptsIsQuarantined(t *testing.T) {
	g := NewWithT(t)
	r := New()
	const interval = 10 * time.Minute
	for n := range crashesToQuarantine {
		r.RecordCrash(Crash{Parts: []string{"deadly"}, Target: fmt.Sprint("engine-", n)}, at(0).Add(time.Duration(n)*interval))
	}
	_, ok := r.Match([]string{"deadly"}, at(0).Add(crashesToQuarantine*interval-time.Millisecond))
	g.Expect(ok).To(BeTrue())
}
