package kvcopy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
	"github.com/sequoiaroad/sequoiaroad/policy/routing"
)

var start = time.Unix(1000, 0)

func testLimits() Limits { return Limits{InFlight: 2, BlockBytes: 8 << 20, MinRequests: 2} }

func chainOf(account, weights string, content, blocks int) (prefix.BlockHash, []prefix.BlockHash) {
	seed := prefix.Namespace{AccountID: account, Model: "m", WeightsVersion: weights}.Seed()
	prompt := make([]byte, blocks*prefix.BlockBytes)
	for i := range prompt {
		prompt[i] = byte(content)
	}
	return seed, prefix.Chain(seed, prompt)
}

func newCandidate() *Candidate {
	seed, chain := chainOf("a", "v", 1, 8)
	return &Candidate{
		Seed: seed, Weights: "v", Chain: chain, To: 8, HostRegion: "r", TokenCost: 1e-4,
		Source:      Endpoint{TargetID: "s", Epoch: "1", Weights: "v", Region: "r"},
		Destination: Endpoint{TargetID: "d", Epoch: "1", Weights: "v", Region: "r"},
	}
}

// Guards against copies without benefit: of rarely requested blocks, slower than the
// computation, duplicate, right after a failure, beyond the limits or of other weights.
func TestPlanRejectsCopiesWithoutBenefit(t *testing.T) {
	g := NewWithT(t)
	decision := func(p *Planner, c *Candidate, link *routing.LinkBudget) Decision {
		_, d := p.Plan(c, link, start)
		return d
	}
	p := NewPlanner(testLimits())
	p.bytesPerToken = 500
	g.Expect(decision(p, newCandidate(), nil)).To(Equal(NoReuse))
	p.RecordRequest(newCandidate().Chain[:6], start)
	p.RecordRequest(newCandidate().Chain, start)
	c, d := p.Plan(newCandidate(), nil, start)
	g.Expect(d).To(Equal(Start))
	g.Expect(c.Blocks).To(HaveLen(6))
	g.Expect(decision(p, newCandidate(), nil)).To(Equal(AlreadyInFlight))
	p.Finish(c, true, start)
	g.Expect(decision(p, newCandidate(), nil)).To(Equal(RecentlyFailed))
	p.RecordRequest(newCandidate().Chain, start.Add(retryDelay))
	_, d = p.Plan(newCandidate(), nil, start.Add(retryDelay))
	g.Expect(d).To(Equal(Start))

	planFromLeaving := func(change func(c *Candidate, p *Planner)) Decision {
		c, p := newCandidate(), NewPlanner(testLimits())
		c.SourceLeaving = true
		p.bytesPerToken = 400
		change(c, p)
		return decision(p, c, &routing.LinkBudget{Rate: 8e6})
	}
	g.Expect(planFromLeaving(func(*Candidate, *Planner) {})).To(Equal(Start))
	g.Expect(planFromLeaving(func(c *Candidate, _ *Planner) { c.Source.Epoch = "" })).To(Equal(InvalidEndpoint))
	g.Expect(planFromLeaving(func(c *Candidate, _ *Planner) { c.Destination.Weights = "w" })).To(Equal(InvalidEndpoint))
	g.Expect(planFromLeaving(func(c *Candidate, _ *Planner) { c.TokenCost = 1e-6 })).To(Equal(TooSlow))
	g.Expect(planFromLeaving(func(_ *Candidate, p *Planner) { p.RecordExport("s", 1, 1000, time.Millisecond) })).To(Equal(TooSlow))
	g.Expect(planFromLeaving(func(_ *Candidate, p *Planner) { p.RecordTooLarge() })).To(Equal(TooLarge))
	g.Expect(planFromLeaving(func(_ *Candidate, p *Planner) { p.limits.InFlight = 0 })).To(Equal(TooManyInFlight))
	unmeasured := NewPlanner(testLimits())
	unmeasured.RecordRequest(newCandidate().Chain, start)
	unmeasured.RecordRequest(newCandidate().Chain, start)
	c, _ = unmeasured.Plan(newCandidate(), nil, start)
	g.Expect(c.Blocks).To(HaveLen(1))
	otherRegion := func(c *Candidate, _ *Planner) { c.Source.Region = "other" }
	g.Expect(planFromLeaving(otherRegion)).To(Equal(LinkBusy)) // 3.2 MB at 8 MB/s take half of the 0.8 s of prefill
	g.Expect(planFromLeaving(func(c *Candidate, p *Planner) { otherRegion(c, p); p.bytesPerToken = 100 })).To(Equal(Start))
	g.Expect(planFromLeaving(func(c *Candidate, p *Planner) { otherRegion(c, p); p.bytesPerToken = 0 })).To(Equal(LinkBusy))
}

// engineModel is the actual state of one target, and what it has reported to the
// router.
type engineModel struct {
	id             string
	epoch, weights int
	cache          map[prefix.BlockHash]bool
	sequence       uint64
	events         []prefix.Event
	// reported is the last report delivered; pastEpochs holds the reported epochs that a
	// later report has replaced.
	reported   Endpoint
	pastEpochs map[string]bool
	// held are all blocks ever stored, by epoch and weights.
	held map[string]bool
}

func (e *engineModel) endpoint() Endpoint {
	return Endpoint{TargetID: e.id, Epoch: fmt.Sprint(e.epoch), Weights: fmt.Sprint("v", e.weights), Region: "r"}
}

func (e *engineModel) store(blocks []prefix.BlockHash) {
	for _, h := range blocks {
		e.cache[h] = true
		e.held[fmt.Sprint(e.endpoint(), h)] = true
		e.sequence++
		e.events = append(e.events, prefix.Event{Sequence: e.sequence, Hash: h, Stored: true})
	}
}

type transfer struct {
	copy   *Copy
	blocks []prefix.BlockHash
}

// history is a random sequence of requests, events, reports and copies.
type history struct {
	draw              func(n int) int
	checkBeforeImport bool
	now               time.Time
	engines           []*engineModel
	index             *prefix.Index
	planner           *Planner
	// planned copies are not exported yet, exported ones not imported yet.
	planned, exported []*transfer
	imports           int
	violation         string
}

func newHistory(draw func(n int) int, check bool) *history {
	h := &history{draw: draw, checkBeforeImport: check, now: start, index: prefix.NewIndex(1000, 1), planner: NewPlanner(testLimits())}
	for i := range 3 {
		e := &engineModel{id: fmt.Sprint("t", i), cache: map[prefix.BlockHash]bool{}, pastEpochs: map[string]bool{}, held: map[string]bool{}}
		h.engines = append(h.engines, e)
		h.index.SetHandle(e.id, i)
		h.report(e)
	}
	return h
}

func (h *history) report(e *engineModel) {
	if e.reported.Epoch != "" && e.reported.Epoch != e.endpoint().Epoch {
		e.pastEpochs[e.reported.Epoch] = true
	}
	e.reported = e.endpoint()
	h.index.SetEpoch(e.id, e.reported.Epoch, e.reported.Weights)
}

func (h *history) state(id string) Endpoint {
	endpoint := Endpoint{TargetID: id, Epoch: h.index.Epoch(id), Region: "r"}
	if reported := h.engine(id).reported; reported.Epoch == endpoint.Epoch {
		endpoint.Weights = reported.Weights
	}
	return endpoint
}

func (h *history) step() {
	e := h.engines[h.draw(len(h.engines))]
	switch h.draw(10) {
	case 0:
		e.epoch++
		e.cache, e.events, e.sequence = map[prefix.BlockHash]bool{}, nil, 0
	case 1:
		e.weights = h.draw(2)
		clear(e.cache)
	case 2:
		h.report(e)
	case 3:
		if len(e.events) > 0 {
			e.events = e.events[h.draw(len(e.events)):] // lost events
		}
	case 4:
		h.index.Apply(e.id, prefix.Batch{Epoch: e.endpoint().Epoch, Events: e.events, Sequence: e.sequence})
		e.events = nil
	case 5, 6:
		h.request()
	case 7:
		h.export()
	default:
		h.deliver()
	}
	h.now = h.now.Add(time.Duration(h.draw(3)) * time.Second)
}

// request looks up a prompt, sends it to a target, and plans a copy if another target
// holds more of it.
func (h *history) request() {
	account, weights := fmt.Sprint("a", h.draw(2)), fmt.Sprint("v", h.draw(2))
	seed, chain := chainOf(account, weights, h.draw(2), 3)
	h.planner.RecordRequest(chain, h.now)
	var warm *engineModel
	blocks := 0
	for _, m := range h.index.Lookup(weights, chain, nil) {
		e := h.engines[m.Handle]
		// The chain determines the weights; a report of other weights drops the
		// entries.
		indexed := Endpoint{TargetID: e.id, Epoch: h.index.Epoch(e.id), Weights: weights, Region: "r"}
		changed := e.reported.Epoch == indexed.Epoch && e.reported.Weights != weights
		for _, b := range chain[:m.Blocks] {
			if !e.held[fmt.Sprint(indexed, b)] || e.pastEpochs[indexed.Epoch] || changed {
				h.violation = "a lookup returned a block that the target never held in its epoch and weights"
			}
		}
		if int(m.Blocks) > blocks {
			warm, blocks = e, int(m.Blocks)
		}
	}
	e := h.engines[h.draw(len(h.engines))]
	if warm == nil || warm == e {
		if e.endpoint().Weights == weights {
			e.store(chain)
			h.index.SetEpoch(e.id, e.endpoint().Epoch, "")
			h.index.Stored(e.id, e.endpoint().Epoch, chain)
		}
		return
	}
	candidate := &Candidate{
		Seed: seed, Weights: weights, Chain: chain, To: blocks, HostRegion: "r", TokenCost: 1e-3,
		Source: h.state(warm.id), Destination: h.state(e.id), SourceLeaving: h.draw(2) == 0,
	}
	if c, d := h.planner.Plan(candidate, nil, h.now); d == Start {
		h.planned = append(h.planned, &transfer{copy: c})
	}
}

func (h *history) engine(id string) *engineModel {
	for _, e := range h.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

func remove(from *[]*transfer, i int) *transfer {
	t := (*from)[i]
	*from = append((*from)[:i], (*from)[i+1:]...)
	return t
}

func (h *history) export() {
	if len(h.planned) == 0 {
		return
	}
	t := remove(&h.planned, h.draw(len(h.planned)))
	source := h.engine(t.copy.Source.TargetID)
	if source.endpoint().Epoch != t.copy.Source.Epoch || source.endpoint().Weights != t.copy.Weights {
		h.planner.Finish(t.copy, true, h.now)
		return
	}
	for _, b := range t.copy.Blocks {
		if source.cache[b] {
			t.blocks = append(t.blocks, b)
		}
	}
	h.exported = append(h.exported, t)
}

// deliver imports a copy, possibly long after its export. The destination checks its
// own epoch and weights; only the router can check those of the source.
func (h *history) deliver() {
	if len(h.exported) == 0 {
		return
	}
	t := remove(&h.exported, h.draw(len(h.exported)))
	c := t.copy
	if h.checkBeforeImport && c.Valid(h.state(c.Source.TargetID), h.state(c.Destination.TargetID)) != nil {
		h.planner.Finish(c, true, h.now)
		return
	}
	source, destination := h.engine(c.Source.TargetID), h.engine(c.Destination.TargetID)
	if source.pastEpochs[c.Source.Epoch] || source.reported.Weights != c.Weights {
		h.violation = "an import uses blocks of a past epoch or outdated weights"
	}
	if destination.endpoint().Epoch == c.Destination.Epoch && destination.endpoint().Weights == c.Weights {
		h.imports++
		destination.store(t.blocks)
		h.index.Stored(destination.id, c.Destination.Epoch, t.blocks)
	}
	h.planner.Finish(c, false, h.now)
}

// Guards against a choice, copy or import that relies on blocks of a past epoch,
// another client account or older weights because events or reports are lost or late.
func TestCopiesNeverMixEpochsAccountsOrWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") }, true)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			if h.step(); h.violation != "" {
				t.Fatal(h.violation)
			}
		}
	})
}

// Guards against the property test above passing vacuously: histories must import
// blocks, and must violate the invariant once the check right before the import is left
// out.
func TestCheckBeforeImportIsRequired(t *testing.T) {
	g := NewWithT(t)
	run := func(check bool) (imports, violations int) {
		for seed := range uint64(600) {
			random := rand.New(rand.NewPCG(seed, 1))
			h := newHistory(random.IntN, check)
			for range 150 {
				h.step()
			}
			imports += h.imports
			if h.violation != "" {
				violations++
			}
		}
		return imports, violations
	}
	imports, violations := run(true)
	g.Expect(imports).To(BeNumerically(">", 50))
	g.Expect(violations).To(BeZero())
	_, violations = run(false)
	g.Expect(violations).To(BeNumerically(">", 0))
	t.Logf("600 histories: %d imports with the check; %d histories violate the invariant without it", imports, violations)
}
