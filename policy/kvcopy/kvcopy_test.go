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

func chainOf(account, weights string, family, blocks int) (prefix.BlockHash, []prefix.BlockHash) {
	seed := prefix.Namespace{AccountID: account, Model: "m", WeightsVersion: weights}.Seed()
	prompt := make([]byte, blocks*prefix.BlockBytes)
	for i := range prompt {
		prompt[i] = byte(family)
	}
	return seed, prefix.Chain(seed, prompt)
}

func offer() *Offer {
	seed, chain := chainOf("a", "v", 1, 8)
	return &Offer{
		Seed: seed, Weights: "v", Chain: chain, To: 8, HostRegion: "r", TokenCost: 1e-4,
		Source:      Endpoint{TargetID: "s", Epoch: "1", Weights: "v", Region: "r"},
		Destination: Endpoint{TargetID: "d", Epoch: "1", Weights: "v", Region: "r"},
	}
}

// Guards against copies without benefit: of cold blocks, slower than the computation,
// twice at once, right after a failure, beyond the budgets or of other weights.
func TestPlanCopiesOnlyWhatIsWorthIt(t *testing.T) {
	g := NewWithT(t)
	verdict := func(p *Planner, o *Offer, link *routing.LinkBudget) Decision {
		_, v := p.Plan(o, link, start)
		return v
	}
	p := NewPlanner(testLimits())
	p.bytesPerToken = 500
	g.Expect(verdict(p, offer(), nil)).To(Equal(Cold))
	p.RecordRequest(offer().Chain[:6], start)
	p.RecordRequest(offer().Chain, start)
	c, v := p.Plan(offer(), nil, start)
	g.Expect(v).To(Equal(Start))
	g.Expect(c.Blocks).To(HaveLen(6))
	g.Expect(verdict(p, offer(), nil)).To(Equal(AlreadyRunning))
	p.Finish(c, true, start)
	g.Expect(verdict(p, offer(), nil)).To(Equal(FailedLately))
	p.RecordRequest(offer().Chain, start.Add(retryAfter))
	_, v = p.Plan(offer(), nil, start.Add(retryAfter))
	g.Expect(v).To(Equal(Start))

	leaving := func(change func(o *Offer, p *Planner)) Decision {
		o, p := offer(), NewPlanner(testLimits())
		o.SourceLeaving = true
		p.bytesPerToken = 400
		change(o, p)
		return verdict(p, o, &routing.LinkBudget{Rate: 8e6})
	}
	g.Expect(leaving(func(*Offer, *Planner) {})).To(Equal(Start))
	g.Expect(leaving(func(o *Offer, _ *Planner) { o.Source.Epoch = "" })).To(Equal(Invalid))
	g.Expect(leaving(func(o *Offer, _ *Planner) { o.Destination.Weights = "w" })).To(Equal(Invalid))
	g.Expect(leaving(func(o *Offer, _ *Planner) { o.TokenCost = 1e-6 })).To(Equal(Slow))
	g.Expect(leaving(func(_ *Offer, p *Planner) { p.RecordExport("s", 1, 1000, time.Millisecond) })).To(Equal(Slow))
	g.Expect(leaving(func(_ *Offer, p *Planner) { p.RecordTooLarge() })).To(Equal(Large))
	g.Expect(leaving(func(_ *Offer, p *Planner) { p.limits.InFlight = 0 })).To(Equal(Busy))
	first := NewPlanner(testLimits())
	first.RecordRequest(offer().Chain, start)
	first.RecordRequest(offer().Chain, start)
	c, _ = first.Plan(offer(), nil, start)
	g.Expect(c.Blocks).To(HaveLen(1))
	far := func(o *Offer, _ *Planner) { o.Source.Region = "other" }
	g.Expect(leaving(far)).To(Equal(LinkShort)) // 3.2 MB at 8 MB/s take half of the 0.8 s of prefill
	g.Expect(leaving(func(o *Offer, p *Planner) { far(o, p); p.bytesPerToken = 100 })).To(Equal(Start))
	g.Expect(leaving(func(o *Offer, p *Planner) { far(o, p); p.bytesPerToken = 0 })).To(Equal(LinkShort))
}

// engineModel is the truth of one target, and what the router has been told of it.
type engineModel struct {
	id             string
	epoch, weights int
	cache          map[prefix.BlockHash]bool
	sequence       uint64
	events         []prefix.Event
	// known is the last report delivered; dead holds the epochs known to be over.
	known Endpoint
	dead  map[string]bool
	// held are all blocks ever stored, by epoch and weights.
	held map[string]bool
}

func (e *engineModel) end() Endpoint {
	return Endpoint{TargetID: e.id, Epoch: fmt.Sprint(e.epoch), Weights: fmt.Sprint("v", e.weights), Region: "r"}
}

func (e *engineModel) store(blocks []prefix.BlockHash) {
	for _, h := range blocks {
		e.cache[h] = true
		e.held[fmt.Sprint(e.end(), h)] = true
		e.sequence++
		e.events = append(e.events, prefix.Event{Sequence: e.sequence, Hash: h, Stored: true})
	}
}

type transfer struct {
	copy   *Copy
	blocks []prefix.BlockHash
}

// history is a random history of targets, events and copies.
type history struct {
	draw    func(n int) int
	check   bool
	now     time.Time
	engines []*engineModel
	index   *prefix.Index
	planner *Planner
	// planned copies are not exported yet, exported ones are on their way.
	planned, exported []*transfer
	imports           int
	fault             string
}

func newHistory(draw func(n int) int, check bool) *history {
	h := &history{draw: draw, check: check, now: start, index: prefix.NewIndex(1000, 1), planner: NewPlanner(testLimits())}
	for i := range 3 {
		e := &engineModel{id: fmt.Sprint("t", i), cache: map[prefix.BlockHash]bool{}, dead: map[string]bool{}, held: map[string]bool{}}
		h.engines = append(h.engines, e)
		h.index.SetHandle(e.id, i)
		h.report(e)
	}
	return h
}

func (h *history) report(e *engineModel) {
	if e.known.Epoch != "" && e.known.Epoch != e.end().Epoch {
		e.dead[e.known.Epoch] = true
	}
	e.known = e.end()
	h.index.SetEpoch(e.id, e.known.Epoch, e.known.Weights)
}

func (h *history) state(id string) Endpoint {
	end := Endpoint{TargetID: id, Epoch: h.index.Epoch(id), Region: "r"}
	if known := h.engine(id).known; known.Epoch == end.Epoch {
		end.Weights = known.Weights
	}
	return end
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
		h.index.Apply(e.id, prefix.Batch{Epoch: e.end().Epoch, Events: e.events, Sequence: e.sequence})
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

// request looks a prompt up, sends it to a target, and offers a copy if another target
// holds more of it.
func (h *history) request() {
	account, weights := fmt.Sprint("a", h.draw(2)), fmt.Sprint("v", h.draw(2))
	seed, chain := chainOf(account, weights, h.draw(2), 3)
	h.planner.RecordRequest(chain, h.now)
	var warm *engineModel
	blocks := 0
	for _, m := range h.index.Lookup(weights, chain, nil) {
		e := h.engines[m.Handle]
		// The chain names the weights; a report of others drops the entries.
		known := Endpoint{TargetID: e.id, Epoch: h.index.Epoch(e.id), Weights: weights, Region: "r"}
		changed := e.known.Epoch == known.Epoch && e.known.Weights != weights
		for _, b := range chain[:m.Blocks] {
			if !e.held[fmt.Sprint(known, b)] || e.dead[known.Epoch] || changed {
				h.fault = "a choice relies on a block that the target's epoch never held"
			}
		}
		if int(m.Blocks) > blocks {
			warm, blocks = e, int(m.Blocks)
		}
	}
	e := h.engines[h.draw(len(h.engines))]
	if warm == nil || warm == e {
		if e.end().Weights == weights {
			e.store(chain)
			h.index.SetEpoch(e.id, e.end().Epoch, "")
			h.index.Stored(e.id, e.end().Epoch, chain)
		}
		return
	}
	o := &Offer{
		Seed: seed, Weights: weights, Chain: chain, To: blocks, HostRegion: "r", TokenCost: 1e-3,
		Source: h.state(warm.id), Destination: h.state(e.id), SourceLeaving: h.draw(2) == 0,
	}
	if c, v := h.planner.Plan(o, nil, h.now); v == Start {
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

func take(from *[]*transfer, i int) *transfer {
	t := (*from)[i]
	*from = append((*from)[:i], (*from)[i+1:]...)
	return t
}

func (h *history) export() {
	if len(h.planned) == 0 {
		return
	}
	t := take(&h.planned, h.draw(len(h.planned)))
	source := h.engine(t.copy.Source.TargetID)
	if source.end().Epoch != t.copy.Source.Epoch || source.end().Weights != t.copy.Weights {
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

// deliver imports a copy, perhaps long after its export. The destination checks its
// own epoch and weights; only the router can check the source's.
func (h *history) deliver() {
	if len(h.exported) == 0 {
		return
	}
	t := take(&h.exported, h.draw(len(h.exported)))
	c := t.copy
	if h.check && c.Valid(h.state(c.Source.TargetID), h.state(c.Destination.TargetID)) != nil {
		h.planner.Finish(c, true, h.now)
		return
	}
	source, destination := h.engine(c.Source.TargetID), h.engine(c.Destination.TargetID)
	if source.dead[c.Source.Epoch] || source.known.Weights != c.Weights {
		h.fault = "an import uses blocks of an epoch or weights known to be over"
	}
	if destination.end().Epoch == c.Destination.Epoch && destination.end().Weights == c.Weights {
		h.imports++
		destination.store(t.blocks)
		h.index.Stored(destination.id, c.Destination.Epoch, t.blocks)
	}
	h.planner.Finish(c, false, h.now)
}

// Guards P1: no choice, copy or import relies on blocks of a dead epoch, another
// client account or older weights, whatever is lost or late.
func TestCopiesKeepEpochsAccountsAndWeightsApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") }, true)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			if h.step(); h.fault != "" {
				t.Fatal(h.fault)
			}
		}
	})
}

// Guards the property above against passing without meaning: histories must import
// blocks, and must break P1 once the check right before the import is left out.
func TestCheckBeforeImportIsNeeded(t *testing.T) {
	g := NewWithT(t)
	run := func(check bool) (imports, faults int) {
		for seed := range uint64(600) {
			random := rand.New(rand.NewPCG(seed, 1))
			h := newHistory(random.IntN, check)
			for range 150 {
				h.step()
			}
			imports += h.imports
			if h.fault != "" {
				faults++
			}
		}
		return imports, faults
	}
	imports, faults := run(true)
	g.Expect(imports).To(BeNumerically(">", 50))
	g.Expect(faults).To(BeZero())
	_, faults = run(false)
	g.Expect(faults).To(BeNumerically(">", 0))
	t.Logf("600 histories: %d imports with the check; %d histories break P1 without it", imports, faults)
}
