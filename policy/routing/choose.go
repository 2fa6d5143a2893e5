package routing

import (
	"slices"
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
)

// Query is a request that needs a target.
type Query struct {
	Model   string
	Weights string
	Chain   []prefix.BlockHash
	// PromptHash stands for the prompt if it is shorter than a block.
	PromptHash  uint64
	PromptBytes int
	// Tried targets are not chosen again.
	Tried map[string]bool
	// SameWeights leaves out targets that would have to load the weights, because a
	// stream can only be continued where they are.
	SameWeights bool
}

// Decision is a choice with what it was based on.
type Decision struct {
	TargetID string
	Reason   string
	// Cached tokens are expected to need no computation, those that another request
	// computes now included.
	Cached, Uncached int
	// CacheEstimate is what the index said about the chosen target.
	CacheEstimate prefix.Estimate
	// BestCached is the most tokens that any usable target has cached.
	BestCached int
	// WaitFor is the flight that computes blocks of this prompt on the chosen target;
	// the request should be sent after its first token. Zero means none.
	WaitFor uint64
	// WarmTarget holds more of the prompt than the chosen target; its ID is empty if no target
	// does. It may be leaving.
	WarmTarget WarmTarget
	// PredictedTTFT is the predicted time to first token in seconds.
	PredictedTTFT float64
	// LearnedState says that the prediction rests on measurements. Without any, it is no
	// ground to refuse a request.
	Calibrated bool
	network    float64
	replica    *replica
}

// WarmTarget is a target that is passed over although it holds more of a prompt.
type WarmTarget struct {
	TargetID string
	Blocks   int
	Leaving  bool
}

// TokenCost returns the prefill cost of the chosen target in seconds per token.
func (d *Decision) TokenCost() float64 { return d.replica.estimator.TokenCost() }

// Choose returns the target for a request, or false if none can take it.
func (r *Router) Choose(q *Query, now time.Time) (Decision, bool) {
	r.fill(q, now, true)
	chosen, reason := r.choose(q)
	if chosen < 0 {
		r.clearWaits()
		return Decision{}, false
	}
	c := &r.candidates[chosen]
	d := Decision{
		Reason: reason, Cached: int(c.Cached), Uncached: int(c.Uncached),
		PredictedTTFT: c.Total(), network: c.Network, replica: r.replicas[c.Handle],
	}
	d.TargetID = d.replica.id
	d.Calibrated = d.replica.estimator.Calibrated()
	d.CacheEstimate.Sequence = r.index.Sequence(d.TargetID)
	if c.waits && r.policy.Name() == PredictedTTFT {
		d.WaitFor = r.runs[r.waits[c.Handle]-1].owner
	}
	r.clearWaits()
	for _, m := range r.matches {
		if m.Handle == c.Handle {
			d.CacheEstimate.Blocks = int(m.Blocks)
		}
		if tokens := int(m.Blocks) * blockTokens; tokens > d.BestCached && !m.Uncertain && !r.replicas[m.Handle].leaving() {
			d.BestCached = tokens
		}
	}
	for _, m := range r.matches {
		p := r.replicas[m.Handle]
		if blocks := int(m.Blocks); blocks > max(d.CacheEstimate.Blocks, d.WarmTarget.Blocks) && !m.Uncertain && !p.unreachable {
			d.WarmTarget = WarmTarget{p.id, blocks, p.leaving()}
		}
	}
	d.BestCached = min(d.BestCached, prefix.Tokens(q.PromptBytes))
	return d, true
}

// choose takes the least excluded candidates: a reinstating or ejected target is used
// only if no other is left, a leaving or tried one never.
func (r *Router) choose(q *Query) (int, string) {
	if r.least >= Tried {
		return -1, ""
	}
	return r.policy.Choose(&Prompt{Chain: q.Chain, Key: q.PromptHash}, r.candidates, r.least)
}

// TargetCandidate is a candidate for display.
type TargetCandidate struct {
	Candidate
	TargetID string
}

// Explain returns the choice that Choose would make, without effect on any state but
// the turn of the baselines, and all candidates.
func (r *Router) Explain(q *Query, now time.Time) (chosen, reason string, all []TargetCandidate) {
	r.fill(q, now, false)
	i, reason := r.choose(q)
	if i >= 0 {
		chosen = r.replicas[r.candidates[i].Handle].id
	}
	r.clearWaits()
	return chosen, reason, r.Candidates()
}

// Candidates returns the candidates of the last choice.
func (r *Router) Candidates() []TargetCandidate {
	all := make([]TargetCandidate, 0, len(r.candidates))
	for _, c := range r.candidates {
		all = append(all, TargetCandidate{c, r.replicas[c.Handle].id})
	}
	return all
}

// fill computes the candidates of a query. Work is proportional to the replicas of
// the model and to the chain, not to the fleet.
func (r *Router) fill(q *Query, now time.Time, count bool) {
	r.matches = r.index.Lookup(q.Weights, q.Chain, r.matches[:0])
	for _, m := range r.matches {
		tokens := int(m.Blocks) * blockTokens
		if m.Uncertain {
			tokens = int(float64(tokens) * r.knobs.UncertainShare)
		}
		r.cached[m.Handle] = int32(tokens)
	}
	prompt := int32(prefix.Tokens(q.PromptBytes))
	r.expectPending(q, prompt, now)
	linkSeconds := float64(q.PromptBytes) / DefaultLinkRate
	linkWait := r.link.Delay(LinkRequest, q.PromptBytes, now)
	r.least = Leaving
	at := r.clock(now)
	weights := r.versions[q.Weights]
	handles := r.byModel[q.Model]
	r.candidates = slices.Grow(r.candidates[:0], len(handles))[:len(handles)]
	for i, handle := range handles {
		// Written in place: copies of candidates were a third of a choice's time.
		c, s := &r.candidates[i], &r.summaries[handle]
		cached := r.cached[handle]
		c.Queue = s.fixedQueue + max(0, s.drainedAt-at)
		c.delays = c.Queue
		run := int32(0)
		if len(r.runs) > 0 {
			run = r.waits[handle]
		}
		if c.waits = run > 0; c.waits {
			cached = int32(r.runs[run-1].end * blockTokens)
			c.Queue = max(c.Queue, r.runs[run-1].ready.Sub(now).Seconds())
		}
		c.Cached = min(cached, prompt)
		c.Uncached = prompt - c.Cached
		c.Handle, c.Hash, c.InFlight, c.Excluded = handle, s.hash, s.busy, Usable
		c.Network, c.Prefill, c.WeightsLoad = s.network, float64(c.Uncached)*s.tokenCost, 0
		if s.weights != weights && s.weights != 0 && q.Weights != "" {
			c.WeightsLoad = weightsLoad
			if q.SameWeights {
				c.Excluded = Tried
			}
		}
		if s.special {
			p := r.replicas[handle]
			c.Excluded = max(c.Excluded, r.exclusion(p, q, now, count))
			c.Queue += p.estimator.Residual(now)
			if p.far {
				c.Network += linkSeconds + linkWait
			}
		} else if len(q.Tried) > 0 && q.Tried[r.replicas[handle].id] {
			c.Excluded = Tried
		}
		r.least = min(r.least, c.Excluded)
	}
	for _, m := range r.matches {
		r.cached[m.Handle] = 0
	}
}

// expectPending notes the targets that are computing blocks of the chain. Waiting for
// them is considered only if it saves at least half of the work: for less, for example
// a common first block, the request would wait for all of another prompt.
func (r *Router) expectPending(q *Query, prompt int32, now time.Time) {
	r.runs = r.pending.find(q.Chain, now, r.runs[:0])
	for i, run := range r.runs {
		cached, end := r.cached[run.handle], int32(run.end*blockTokens)
		if cached >= int32(run.from*blockTokens) && cached < end && 2*(end-cached) >= prompt-cached {
			r.waits[run.handle] = int32(i) + 1
		}
	}
}

func (r *Router) clearWaits() {
	for _, run := range r.runs {
		r.waits[run.handle] = 0
	}
}

func (r *Router) exclusion(p *replica, q *Query, now time.Time, count bool) Exclusion {
	if p.leaving() {
		return Leaving
	}
	if len(q.Tried) > 0 && q.Tried[p.id] {
		return Tried
	}
	if now.Before(p.loadingUntil) && (p.loadingModel == "" || p.loadingModel == q.Model) {
		return Loading
	}
	if p.unreachable && now.Before(p.unreachableUntil) {
		return Ejected
	}
	if now.Before(p.refusingUntil) {
		return Refusing
	}
	if count {
		return p.health.State(r.knobs, now)
	}
	return p.health.peek(r.knobs, now)
}

// ID identifies the flight; see Decision.WaitFor.
func (f *Flight) ID() uint64 { return f.id }

// Flight is a request from the choice of its target to its end there.
type Flight struct {
	Decision
	id     uint64
	chain  []prefix.BlockHash
	sentAt time.Time
	queue  float64
	// foundIdle says that nothing was known to wait at the target at the send.
	foundIdle bool
	// prefill is the time from sending to the first token.
	prefill time.Duration
	state   flightState
}

type flightState uint8

const (
	flightQueued flightState = iota
	flightSent
	flightDecoding
	flightEnded
)

// Begin records a decision that is being carried out.
func (r *Router) Begin(q *Query, d Decision, now time.Time) *Flight {
	r.nextID++
	f := &Flight{Decision: d, id: r.nextID, chain: q.Chain}
	d.replica.inFlight++
	d.replica.queuedTokens += d.Uncached
	r.refresh(d.replica)
	ready := now.Add(seconds(d.PredictedTTFT))
	from := min(d.Cached/blockTokens, len(q.Chain))
	r.pending.start(q.Chain[from:], pendingBlock{
		handle: d.replica.handle, owner: f.id, from: from, ready: ready, expires: ready.Add(pendingGrace),
	}, now)
	if d.replica.far {
		r.link.Charge(q.PromptBytes, now) // it is sent whether or not the budget has room
	}
	return f
}

// Send records that the request is being sent.
func (r *Router) Send(f *Flight, now time.Time) {
	if f.state != flightQueued {
		return
	}
	p := f.replica
	f.state, f.sentAt = flightSent, now
	p.queuedTokens -= f.Uncached
	f.queue, f.foundIdle = p.estimator.Queue(now), p.estimator.idle()
	p.estimator.Sent(f.id, f.Uncached, now)
	r.refresh(p)
}

// FirstToken records that the prompt has been computed by the given epoch. The blocks
// count as stored at once, so that no other request computes them before the events
// arrive.
func (r *Router) FirstToken(f *Flight, epoch string, now time.Time) {
	if f.state != flightSent {
		return
	}
	f.state = flightDecoding
	p := f.replica
	f.prefill = now.Sub(f.sentAt)
	p.estimator.Learn(f.prefill, f.Uncached, f.network, f.queue, now)
	p.estimator.End(f.id)
	r.refresh(p)
	if r.byID[p.id] == p {
		r.index.SetEpoch(p.id, epoch, "")
		r.index.Stored(p.id, epoch, f.chain)
	}
	r.pending.end(f.chain, f.id)
}

// QueueDelay returns the time that the request waited at the target beyond its own prefill.
func (f *Flight) QueueDelay(now time.Time) time.Duration {
	own := f.network + float64(f.Uncached)*f.replica.estimator.TokenCost()
	return max(0, now.Sub(f.sentAt)-seconds(own))
}

// Correct applies the cached-token count of the response. It teaches the prefill cost,
// since only the count says how much the target computed. Blocks dropped by the
// correction have been computed by this request, so they are recorded again.
func (r *Router) Correct(f *Flight, epoch string, cachedTokens int) {
	if r.byID[f.TargetID] != f.replica {
		return
	}
	f.replica.estimator.LearnCost(f.prefill, f.Cached+f.Uncached-cachedTokens, f.network, f.foundIdle)
	r.followFleetCost()
	if r.index.Correct(f.TargetID, epoch, f.chain, f.CacheEstimate, cachedTokens) {
		r.index.Stored(f.TargetID, epoch, f.chain)
	}
}

// End records that the request has left the target, with or without an answer.
func (r *Router) End(f *Flight) {
	p := f.replica
	switch f.state {
	case flightEnded:
		return
	case flightQueued:
		p.queuedTokens -= f.Uncached
	case flightSent:
		p.estimator.End(f.id)
	}
	if f.state != flightDecoding {
		r.pending.end(f.chain, f.id)
	}
	f.state = flightEnded
	p.inFlight--
	r.refresh(p)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// ChooseService returns a replica of a plain service that is not in tried: the least
// excluded, then the nearest, then the least busy, equals in turn.
func (r *Router) ChooseService(service string, tried map[string]bool, now time.Time) (string, bool) {
	all := r.byService[service]
	r.serviceTurn++
	var best *replica
	var bestRank serviceRank
	for n := range all {
		p := all[(r.serviceTurn+n)%len(all)]
		rank := serviceRank{r.exclusion(p, &Query{Tried: tried}, now, true), p.network, p.inFlight}
		if rank.excluded >= Tried {
			continue
		}
		if best == nil || rank.before(bestRank) {
			best, bestRank = p, rank
		}
	}
	if best == nil {
		return "", false
	}
	best.inFlight++
	return best.id, true
}

type serviceRank struct {
	excluded Exclusion
	network  float64
	inFlight int
}

func (a serviceRank) before(b serviceRank) bool {
	if a.excluded != b.excluded {
		return a.excluded < b.excluded
	}
	if a.network != b.network {
		return a.network < b.network
	}
	return a.inFlight < b.inFlight
}

// ServiceDone records the end of a call of a plain service.
func (r *Router) ServiceDone(id string, failed bool, now time.Time) {
	p := r.byID[id]
	if p == nil {
		return
	}
	p.inFlight = max(0, p.inFlight-1)
	if failed {
		r.noteFailure(p, now)
	} else {
		p.health.Succeeded(now)
	}
	r.refresh(p)
}
