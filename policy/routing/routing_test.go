package routing

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
	"github.com/sequoiaroad/sequoiaroad/policy/preset"
)

var start = time.Unix(1_000_000, 0)

func testDocument(replicas int) *config.Document {
	d := &config.Document{Revision: 1}
	for i := range replicas {
		d.Targets = append(d.Targets, config.Target{
			ID: fmt.Sprint("t", i), Kind: config.TargetEngine, Zone: "a", Region: "r", Models: []string{"m"},
		})
	}
	return d
}

func testRouter(policy string, d *config.Document) *Router {
	knobs := preset.For("")
	r, err := NewRouter(Options{Policy: policy, Knobs: &knobs, Zone: "a", Region: "r", Index: prefix.NewIndex(1<<17, 1)})
	if err != nil {
		panic(err)
	}
	r.Configure(d)
	for _, t := range d.Targets {
		r.ObserveLoad(t.ID, "e", "v", false, Report{MeasuredAt: start}, start)
	}
	return r
}

func testQuery(account string, blocks int) *Query {
	prompt := make([]byte, blocks*prefix.BlockBytes)
	seed := prefix.Namespace{AccountID: account, Model: "m", WeightsVersion: "v"}.Seed()
	return &Query{Model: "m", Weights: "v", Chain: prefix.Chain(seed, prompt), PromptBytes: len(prompt)}
}

// Guards against a policy that chooses a leaving, ejected, tried or wrong-model target
// while another is usable, after any sequence of reports, failures and polls.
func TestNeverChoosesExcludedTargets(t *testing.T) {
	policies := []string{PredictedTTFT, RoundRobin, LeastLoaded, PrefixHash}
	rapid.Check(t, func(t *rapid.T) {
		d := testDocument(rapid.IntRange(1, 6).Draw(t, "replicas"))
		other := rapid.IntRange(0, len(d.Targets)-1).Draw(t, "other model")
		if rapid.Bool().Draw(t, "has other") {
			d.Targets[other].Models = []string{"n"}
		}
		r := testRouter(rapid.SampledFrom(policies).Draw(t, "policy"), d)
		now := start
		q := testQuery("x", rapid.IntRange(0, 3).Draw(t, "blocks"))
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			id := fmt.Sprint("t", rapid.IntRange(0, len(d.Targets)-1).Draw(t, "target"))
			q.Tried = nil
			switch rapid.IntRange(0, 7).Draw(t, "kind") {
			case 0:
				r.SetLeaving([]string{id})
			case 1:
				r.ObserveLoad(id, "e", "v", rapid.Bool().Draw(t, "draining"), Report{MeasuredAt: now, PendingPrefillTokens: rapid.IntRange(0, 50_000).Draw(t, "pending")}, now)
			case 2:
				for range r.knobs.EjectAfter {
					r.Failed(id, now)
				}
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(0, 15_000).Draw(t, "ms")) * time.Millisecond)
			case 4:
				q.Tried = map[string]bool{id: true}
			case 5:
				r.ObserveUnreachable(id, now)
			case 6:
				r.index.Stored(id, "e", q.Chain)
			}
			checkChoice(t, r, q, now)
		}
	})
}

func checkChoice(t *rapid.T, r *Router, q *Query, now time.Time) {
	usable, possible := 0, 0
	for _, handle := range r.byModel["m"] {
		p := r.replicas[handle]
		if p.leaving() || q.Tried[p.id] {
			continue
		}
		possible++
		if p.health.peek(r.knobs, now) == Usable && !(p.unreachable && now.Before(p.unreachableUntil)) {
			usable++
		}
	}
	wasEjected := map[string]bool{}
	for id, p := range r.byID {
		wasEjected[id] = p.health.peek(r.knobs, now) == Ejected || p.unreachable && now.Before(p.unreachableUntil)
	}
	d, ok := r.Choose(q, now)
	if ok != (possible > 0) {
		t.Fatalf("chosen: %v, possible targets: %d", ok, possible)
	}
	if !ok {
		return
	}
	p := r.byID[d.TargetID]
	if p.leaving() || q.Tried[p.id] || p.draining {
		t.Fatalf("chose excluded target %s", p.id)
	}
	served := false
	for _, m := range r.byModel["m"] {
		served = served || m == p.handle
	}
	if !served {
		t.Fatalf("target %s does not serve the model", p.id)
	}
	if usable > 0 && wasEjected[p.id] {
		t.Fatalf("chose ejected target %s with %d usable", p.id, usable)
	}
	f := r.Begin(q, d, now)
	if f.id%2 == 0 {
		r.Send(f, now)
	}
	if f.id%4 == 0 {
		r.FirstToken(f, "e", now)
	}
	r.End(f)
	if p.inFlight != 0 || p.queuedTokens != 0 || len(p.estimator.sentRequests) != 0 {
		t.Fatalf("state of an ended request remains: %+v", p)
	}
}

// Guards against a cold prefix that is computed on several targets at once: a second
// request must wait for the first one's prefill on the same target.
func TestColdPrefixIsPrefilledOnce(t *testing.T) {
	g := NewWithT(t)
	r := testRouter("", testDocument(8))
	q := testQuery("x", 20)
	first, _ := r.Choose(q, start)
	g.Expect(first.WaitFor).To(BeZero())
	f := r.Begin(q, first, start)
	r.Send(f, start)
	deeper := testQuery("x", 25)
	second, _ := r.Choose(deeper, start)
	g.Expect(second.TargetID).To(Equal(first.TargetID))
	g.Expect(second.WaitFor).To(Equal(f.ID()))
	g.Expect(second.Uncached).To(Equal(5000))
	r.FirstToken(f, "e", start.Add(2*time.Second))
	third, _ := r.Choose(deeper, start.Add(2*time.Second))
	g.Expect(third.TargetID).To(Equal(first.TargetID))
	g.Expect(third.WaitFor).To(BeZero())
	g.Expect(third.Cached).To(Equal(20_000))
	g.Expect(third.BestCached).To(Equal(20_000))
}

// Guards against a document that is computed twice because another target computes the
// first block that all documents share, and against waiting for that block alone.
func TestSharedFirstBlockDoesNotHidePendingPrefill(t *testing.T) {
	g := NewWithT(t)
	r := testRouter("", testDocument(8))
	document := func(content byte) *Query {
		prompt := make([]byte, 10*prefix.BlockBytes)
		for i := prefix.BlockBytes; i < len(prompt); i++ {
			prompt[i] = content
		}
		seed := prefix.Namespace{AccountID: "x", Model: "m", WeightsVersion: "v"}.Seed()
		return &Query{Model: "m", Weights: "v", Chain: prefix.Chain(seed, prompt), PromptBytes: len(prompt)}
	}
	one, two := document(1), document(2)
	first, _ := r.Choose(one, start)
	r.Send(r.Begin(one, first, start), start)
	second, _ := r.Choose(two, start)
	g.Expect(second.WaitFor).To(BeZero())
	g.Expect(second.TargetID).NotTo(Equal(first.TargetID))
	r.Send(r.Begin(two, second, start), start)
	for q, d := range map[*Query]Decision{one: first, two: second} {
		again, _ := r.Choose(q, start)
		g.Expect(again.TargetID).To(Equal(d.TargetID))
		g.Expect(again.WaitFor).NotTo(BeZero())
	}
	for _, w := range r.runPositions {
		g.Expect(w).To(BeZero())
	}
}

// Guards against requests that wait for a prefill whose request has failed.
func TestFailedPrefillIsNoLongerPending(t *testing.T) {
	g := NewWithT(t)
	r := testRouter("", testDocument(3))
	q := testQuery("x", 20)
	d, _ := r.Choose(q, start)
	f := r.Begin(q, d, start)
	r.Send(f, start)
	r.End(f)
	g.Expect(r.pending.blocks).To(BeEmpty())
	q.Tried = map[string]bool{d.TargetID: true}
	again, _ := r.Choose(q, start)
	g.Expect(again.WaitFor).To(BeZero())
}

// Guards against hosts that spill requests of one hot prefix to different targets
// because their load reports differ slightly.
func TestSpilloverUsesOneTarget(t *testing.T) {
	g := NewWithT(t)
	warm := map[string]int{}
	spilled := map[string]int{}
	for host := range 5 {
		r := testRouter("", testDocument(10))
		q := testQuery("x", 10)
		r.index.Stored("t3", "e", q.Chain)
		d, _ := r.Choose(q, start)
		warm[d.TargetID]++
		r.ObserveLoad("t3", "e", "v", false, Report{MeasuredAt: start, PendingPrefillTokens: 50_000}, start)
		// Each host has slightly different load reports.
		r.ObserveLoad(fmt.Sprint("t", host), "e", "v", false, Report{MeasuredAt: start, Running: host}, start)
		r.ObserveLoad("t3", "e", "v", false, Report{MeasuredAt: start, PendingPrefillTokens: 50_000}, start)
		d, _ = r.Choose(q, start)
		spilled[d.TargetID]++
	}
	g.Expect(warm).To(Equal(map[string]int{"t3": 5}))
	g.Expect(spilled).To(HaveLen(1))
	g.Expect(spilled).NotTo(HaveKey("t3"))
}

// Guards against predictions that ignore the age of a report, requests sent since,
// missing weights or the distance to another region.
func TestPredictionTerms(t *testing.T) {
	g := NewWithT(t)
	var e Estimator
	e.SetTokenCost(0.001)
	e.Observe(Report{PendingPrefillTokens: 1000, MeasuredAt: start}, start)
	g.Expect(e.Queue(start)).To(BeNumerically("~", 1, 0.01))
	g.Expect(e.Queue(start.Add(400 * time.Millisecond))).To(BeNumerically("~", 0.6, 0.01))
	e.Sent(1, 500, start.Add(time.Millisecond))
	g.Expect(e.Queue(start.Add(400 * time.Millisecond))).To(BeNumerically("~", 1.1, 0.01))
	e.Observe(Report{PendingPrefillTokens: 500, MeasuredAt: start.Add(time.Second)}, start.Add(time.Second))
	g.Expect(e.Queue(start.Add(time.Second))).To(BeNumerically("~", 0.5, 0.01))
	e.End(1)
	g.Expect(e.unreportedTokens).To(BeZero())
	for range 40 {
		e.LearnCost(time.Second, 5000, 0, true)
	}
	g.Expect(e.TokenCost()).To(BeNumerically("~", 0.0002, 0.00001))
	for range 10 {
		e.LearnCost(20*time.Second, 5000, 0, false) // overload adds queueing, but the target computes no slower
	}
	g.Expect(e.TokenCost()).To(BeNumerically("<", 0.0003))

	// The target reports whole prompts, of which a tenth has to be computed.
	e = Estimator{}
	for range 40 {
		e.Observe(Report{PendingPrefillTokens: 10_000, MeasuredAt: start}, start)
		e.LearnDelay(100*time.Millisecond, 10, 0, e.Queue(start), start)
	}
	g.Expect(e.Queue(start)).To(BeNumerically("~", 0.1, 0.02))

	d := testDocument(3)
	d.Targets[1].Region = "far"
	r := testRouter("", d)
	r.ObserveLoad("t2", "e", "old", false, Report{MeasuredAt: start}, start)
	_, _, all := r.Explain(testQuery("x", 10), start)
	g.Expect(all[1].Network).To(BeNumerically(">", all[0].Network+40_000/DefaultLinkRate))
	g.Expect(all[2].WeightsLoad).To(Equal(weightsLoadSeconds))
	g.Expect(all[0].WeightsLoad).To(BeZero())
}

// Guards against retries that multiply an overload, and against a link budget that lets
// KV copies delay requests.
func TestRetryAndLinkBudgets(t *testing.T) {
	g := NewWithT(t)
	k := preset.For("")
	var b RetryBudget
	g.Expect(b.Take()).To(BeFalse())
	allowed := 0
	for range 1000 {
		b.Request(&k)
		if b.Take() {
			allowed++
		}
	}
	g.Expect(allowed).To(BeNumerically("<=", int(k.RetryFloor+1000*k.RetryShare)+1))
	g.Expect(allowed).To(BeNumerically(">=", 100))

	l := LinkBudget{Rate: 1000}
	g.Expect(l.Allow(LinkSnapshot, 300, start)).To(BeFalse())
	g.Expect(l.Allow(LinkKVCopy, 400, start)).To(BeTrue())
	g.Expect(l.Allow(LinkKVCopy, 200, start)).To(BeFalse())
	g.Expect(l.Allow(LinkRequest, 600, start)).To(BeTrue())
	g.Expect(l.Allow(LinkRequest, 1, start)).To(BeFalse())
	g.Expect(l.Allow(LinkControl, 100, start)).To(BeTrue())
	g.Expect(l.Delay(LinkRequest, 100, start)).To(BeNumerically("~", 0.2, 0.001))
	g.Expect(l.Allow(LinkRequest, 400, start.Add(time.Second))).To(BeTrue())
	g.Expect(l.Worthwhile(500, 0.4)).To(BeFalse())
	g.Expect(l.Worthwhile(500, 0.6)).To(BeTrue())
}

// Guards against requests that are not charged to an exhausted budget, an unbounded
// overdraft, and messages that never pass because a host's share of the link is small.
func TestLinkOverdraft(t *testing.T) {
	g := NewWithT(t)
	l := LinkBudget{Rate: 1000}
	l.Charge(1200, start)
	g.Expect(l.Delay(LinkRequest, 100, start)).To(BeNumerically("~", 0.3, 0.001))
	l.Charge(1e6, start)
	g.Expect(l.Delay(LinkRequest, 0, start)).To(BeNumerically("~", 1, 0.001))
	g.Expect(l.AllowMessage(LinkSnapshot, 500, start.Add(time.Second))).To(BeFalse())
	g.Expect(l.AllowMessage(LinkSnapshot, 500, start.Add(2*time.Second))).To(BeTrue())
	g.Expect(l.AllowMessage(LinkSnapshot, 500, start.Add(2*time.Second))).To(BeFalse())
	r := testRouter("", testDocument(2))
	r.SetLinkShare(5)
	g.Expect(r.Link().Rate).To(Equal(DefaultLinkRate / 5.0))
	r.SetLinkShare(0)
	g.Expect(r.Link().Rate).To(Equal(float64(DefaultLinkRate)))
}

// Guards against requests that wait for a load of weights, a target that stays excluded
// after it, and requests that get no target while the only one is loading.
func TestLoadingTargetIsAvoided(t *testing.T) {
	g := NewWithT(t)
	r := testRouter(RoundRobin, testDocument(2))
	chosen := func(model string, now time.Time) map[string]bool {
		ids := map[string]bool{}
		for range 4 {
			d, ok := r.Choose(&Query{Model: model, Weights: "v", PromptBytes: 100}, now)
			g.Expect(ok).To(BeTrue())
			ids[d.TargetID] = true
		}
		return ids
	}
	model := testDocument(2).Targets[0].Models[0]
	all := chosen(model, start)
	g.Expect(all).To(HaveLen(2))
	var loading string
	for loading = range all {
		break
	}
	until := start.Add(10 * time.Second)
	r.SetLoading(loading, model, "w", until)
	g.Expect(chosen(model, start)).NotTo(HaveKey(loading))
	r.ObserveLoad(loading, "1", "v", false, Report{MeasuredAt: start}, start)
	g.Expect(chosen(model, start)).NotTo(HaveKey(loading))
	g.Expect(chosen(model, until)).To(HaveLen(2))
	for id := range all {
		r.SetLoading(id, "", "w", until)
	}
	g.Expect(chosen(model, start)).To(HaveLen(2))
	r.ObserveLoad(loading, "1", "w", false, Report{MeasuredAt: start}, start)
	g.Expect(chosen(model, start)).To(Equal(map[string]bool{loading: true}))
	r.SetLoading(loading, "another model", "x", until)
	g.Expect(chosen(model, start)).To(Equal(map[string]bool{loading: true}))
	r.ClearLoading(loading)
}

// Guards against full traffic right after an ejection, and against state of a removed
// target that is kept.
func TestReinstatementAndRemoval(t *testing.T) {
	g := NewWithT(t)
	d := testDocument(2)
	r := testRouter(RoundRobin, d)
	for range r.knobs.EjectAfter {
		r.Failed("t0", start)
	}
	share := func(at time.Time) int {
		n := 0
		for range 100 {
			if choice, _ := r.Choose(testQuery("x", 1), at); choice.TargetID == "t0" {
				n++
			}
		}
		return n
	}
	g.Expect(share(start.Add(time.Second))).To(BeZero())
	early := share(start.Add(r.knobs.EjectFor + time.Millisecond))
	g.Expect(early).To(And(BeNumerically(">", 0), BeNumerically("<=", 10)))
	g.Expect(share(start.Add(r.knobs.EjectFor + r.knobs.ReinstateOver))).To(Equal(50))
	learned := r.ExportLearned(start.Add(time.Second))
	fresh := testRouter(RoundRobin, d)
	fresh.ImportLearned(learned, start)
	g.Expect(fresh.byID["t0"].health.peek(fresh.knobs, start)).To(Equal(Ejected))

	q := testQuery("x", 2)
	r.index.Stored("t0", "e", q.Chain)
	d.Targets = d.Targets[1:]
	r.Configure(d)
	g.Expect(r.index.Lookup("v", q.Chain, nil)).To(BeEmpty())
	g.Expect(r.index.Targets()).To(Equal([]string{"t1"}))
}

// Guards against an old load report that reverts a target's own report that it is
// draining.
func TestLateReportDoesNotEndDraining(t *testing.T) {
	g := NewWithT(t)
	r := testRouter("", testDocument(1))
	r.SetDraining("t0", start.Add(time.Second))
	r.ObserveLoad("t0", "e", "v", false, Report{MeasuredAt: start}, start.Add(2*time.Second))
	g.Expect(r.Leaving("t0")).To(BeTrue())
	r.ObserveLoad("t0", "e", "v", false, Report{MeasuredAt: start.Add(3 * time.Second)}, start.Add(3*time.Second))
	g.Expect(r.Leaving("t0")).To(BeFalse())
}

// BenchmarkChoose measures a choice by replicas of the model, chain length and the
// number of replicas that hold the prefix. Replicas of other models should not affect
// it.
func BenchmarkChoose(b *testing.B) {
	run := func(name string, replicas, others, chain, holders int) {
		b.Run(name, func(b *testing.B) {
			d := testDocument(replicas)
			for i := range others {
				d.Targets = append(d.Targets, config.Target{ID: fmt.Sprint("o", i), Kind: config.TargetEngine, Models: []string{"o"}})
			}
			r := testRouter("", d)
			q := testQuery("x", chain)
			for i := range holders {
				r.index.Stored(fmt.Sprint("t", i), "e", q.Chain[:len(q.Chain)/2])
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if _, ok := r.Choose(q, start); !ok {
					b.Fatal("no usable target")
				}
			}
		})
	}
	for _, replicas := range []int{40, 210, 830} {
		for _, chain := range []int{8, 32, 128} {
			run(fmt.Sprintf("replicas=%d/chain=%d/holders=4", replicas, chain), replicas, 0, chain, 4)
		}
	}
	for _, holders := range []int{40, 210, 830} {
		run(fmt.Sprintf("replicas=830/chain=32/holders=%d", holders), 830, 0, 32, holders)
	}
	for _, others := range []int{0, 400, 790} {
		run(fmt.Sprintf("replicas=40/others=%d", others), 40, others, 32, 4)
	}
}
