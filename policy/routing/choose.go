package routing

import (
	"slices"
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
)

// Query describes a request to be routed.
type Query struct {
	Model   string
	Weights string
	Chain   []prefix.BlockHash
	// PromptHash is the hash of a prompt that is shorter than one block and has no
	// Chain.
	PromptHash  uint64
	PromptBytes int
	// Tried holds the ids of targets that the request must not be sent to again.
	Tried map[string]bool
	// SameWeights excludes targets that would have to load the weights: a stream can
	// only be resumed on a target that already serves the weights with which it began.
	SameWeights bool
}

// Decision is the result of Choose with the values that it is based on.
type Decision struct {
	TargetID string
	Reason   string
	// Cached is the number of prompt tokens that should need no computation, including
	// those that another request is computing now. Uncached is the number of the
	// others.
	Cached, Uncached int
	// CacheEstimate is the cached prefix that the index records for the chosen target.
	CacheEstimate prefix.Estimate
	// BestCached is the largest number of tokens that any usable target has cached.
	BestCached int
	// WaitFor is the ID of the flight that is computing blocks of this prompt on the
	// chosen target; the request should be sent after its first token. Zero means none.
	WaitFor uint64
	// WarmTarget has a longer cached prefix than the chosen target; its ID is empty if
	// no target does. It may be leaving.
	WarmTarget WarmTarget
	// PredictedTTFT is the predicted time to first token in seconds.
	PredictedTTFT float64
	// Calibrated reports whether the prediction is based on measurements. If not, it is
	// no reason to reject a request.
	Calibrated bool
	network    float64
	replica    *replica
}

// WarmTarget is a target that was not chosen although it has a longer cached prefix.
type WarmTarget struct {
	TargetID string
	Blocks   int
	Leaving  bool
}

// TokenCost returns the prefill cost of the chosen target in seconds per token.
func (d *Decision) TokenCost() float64 { return d.replica.estimator.TokenCost() }

// Choose returns the target for a request, or false if no target is eligible.
func (r *Router) Choose(q *Query, now time.Time) (Decision, bool) {
	r.computeCandidates(q, now, true)
	chosen, reason := r.choose(q)
	if chosen < 0 {
		r.clearRunPositions()
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
	if c.awaitsPrefill && r.policy.Name() == PredictedTTFT {
		d.WaitFor = r.pendingRuns[r.runPositions[c.Handle]-1].flightID
	}
	r.clearRunPositions()
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

// choose applies the policy to the candidates with the lowest exclusion. A reinstating
// or ejected target is used only if no other is left, a leaving or tried one never.
func (r *Router) choose(q *Query) (int, string) {
	if r.lowestExclusion >= Tried {
		return -1, ""
	}
	return r.policy.Choose(&Prompt{Chain: q.Chain, Hash: q.PromptHash}, r.candidates, r.lowestExclusion)
}

// TargetCandidate is a candidate with the id of its target, for display.
type TargetCandidate struct {
	Candidate
	TargetID string
}

// Explain returns the choice that Choose would make and all candidates. It changes no
// state except the position of the baseline policies in their rotation.
func (r *Router) Explain(q *Query, now time.Time) (chosen, reason string, all []TargetCandidate) {
	r.computeCandidates(q, now, false)
	i, reason := r.choose(q)
	if i >= 0 {
		chosen = r.replicas[r.candidates[i].Handle].id
	}
	r.clearRunPositions()
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

// computeCandidates computes the candidates of a query. Its cost is proportional to the
// replicas of the model and the length of the chain, not to the size of the fleet.
func (r *Router) computeCandidates(q *Query, now time.Time, count bool) {
	r.matches = r.index.Lookup(q.Weights, q.Chain, r.matches[:0])
	for _, m := range r.matches {
		tokens := int(m.Blocks) * blockTokens
		if m.Uncertain {
			tokens = int(float64(tokens) * r.knobs.UncertainShare)
		}
		r.cachedTokens[m.Handle] = int32(tokens)
	}
	prompt := int32(prefix.Tokens(q.PromptBytes))
	r.findPendingRuns(q, prompt, now)
	linkSeconds := float64(q.PromptBytes) / DefaultLinkRate
	linkWait := r.link.Delay(LinkRequest, q.PromptBytes, now)
	r.lowestExclusion = Leaving
	nowSeconds := r.clock(now)
	weights := r.weightsVersions[q.Weights]
	handles := r.byModel[q.Model]
	r.candidates = slices.Grow(r.candidates[:0], len(handles))[:len(handles)]
	for i, handle := range handles {
		// Written in place: copying candidates took a third of the time of a choice.
		c, s := &r.candidates[i], &r.summaries[handle]
		cached := r.cachedTokens[handle]
		c.Queue = s.fixedQueue + max(0, s.drainedAt-nowSeconds)
		c.baseQueue = c.Queue
		run := int32(0)
		if len(r.pendingRuns) > 0 {
			run = r.runPositions[handle]
		}
		if c.awaitsPrefill = run > 0; c.awaitsPrefill {
			cached = int32(r.pendingRuns[run-1].end * blockTokens)
			c.Queue = max(c.Queue, r.pendingRuns[run-1].readyAt.Sub(now).Seconds())
		}
		c.Cached = min(cached, prompt)
		c.Uncached = prompt - c.Cached
		c.Handle, c.Hash, c.InFlight, c.Excluded = handle, s.hash, s.inFlight, Usable
		c.Network, c.Prefill, c.WeightsLoad = s.network, float64(c.Uncached)*s.tokenCost, 0
		if s.weights != weights && s.weights != 0 && q.Weights != "" {
			c.WeightsLoad = weightsLoadSeconds
			if q.SameWeights {
				c.Excluded = Tried
			}
		}
		if s.needsFullCheck {
			p := r.replicas[handle]
			c.Excluded = max(c.Excluded, r.exclusion(p, q, now, count))
			c.Queue += p.estimator.Residual(now)
			if p.otherRegion {
				c.Network += linkSeconds + linkWait
			}
		} else if len(q.Tried) > 0 && q.Tried[r.replicas[handle].id] {
			c.Excluded = Tried
		}
		r.lowestExclusion = min(r.lowestExclusion, c.Excluded)
	}
	for _, m := range r.matches {
		r.cachedTokens[m.Handle] = 0
	}
}

// findPendingRuns records the targets that are computing blocks of the chain. Waiting
// for them is considered only if it saves at least half of the work: for less, for
// example a shared first block, the request would wait for the whole prefill of another
// prompt.
func (r *Router) findPendingRuns(q *Query, prompt int32, now time.Time) {
	r.pendingRuns = r.pending.find(q.Chain, now, r.pendingRuns[:0])
	for i, run := range r.pendingRuns {
		cached, end := r.cachedTokens[run.handle], int32(run.end*blockTokens)
		if cached >= int32(run.firstBlock*blockTokens) && cached < end && 2*(end-cached) >= prompt-cached {
			r.runPositions[run.handle] = int32(i) + 1
		}
	}
}

func (r *Router) clearRunPositions() {
	for _, run := range r.pendingRuns {
		r.runPositions[run.handle] = 0
	}
}

// exclusion returns the reason why a replica should not be chosen. If count is set, the
// call counts as one choice in its reinstatement; see Health.State.
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

// Flight is a request at its chosen target, from Router.Begin to Router.End.
type Flight struct {
	Decision
	id             uint64
	chain          []prefix.BlockHash
	sentAt         time.Time
	predictedQueue float64
	// sentToIdle reports whether no request was known to wait at the target when this
	// one was sent.
	sentToIdle bool
	// ttft is the time from sending to the first token.
	ttft  time.Duration
	state flightState
}

type flightState uint8

const (
	flightQueued flightState = iota
	flightSent
	flightDecoding
	flightEnded
)

// Begin registers a request at the target of a decision, before it is sent.
func (r *Router) Begin(q *Query, d Decision, now time.Time) *Flight {
	r.nextID++
	f := &Flight{Decision: d, id: r.nextID, chain: q.Chain}
	d.replica.inFlight++
	d.replica.queuedTokens += d.Uncached
	r.refresh(d.replica)
	ready := now.Add(seconds(d.PredictedTTFT))
	from := min(d.Cached/blockTokens, len(q.Chain))
	r.pending.start(q.Chain[from:], pendingBlock{
		handle: d.replica.handle, flightID: f.id, firstBlock: from, readyAt: ready, expiresAt: ready.Add(pendingGrace),
	}, now)
	if d.replica.otherRegion {
		r.link.Charge(q.PromptBytes, now) // the request is sent even if the budget is exhausted
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
	f.predictedQueue, f.sentToIdle = p.estimator.Queue(now), p.estimator.idle()
	p.estimator.Sent(f.id, f.Uncached, now)
	r.refresh(p)
}

// FirstToken records that the target has computed the prompt in the given engine epoch.
// The blocks are indexed at once, so that no other request computes them before the
// cache events arrive.
func (r *Router) FirstToken(f *Flight, epoch string, now time.Time) {
	if f.state != flightSent {
		return
	}
	f.state = flightDecoding
	p := f.replica
	f.ttft = now.Sub(f.sentAt)
	p.estimator.LearnDelay(f.ttft, f.Uncached, f.network, f.predictedQueue, now)
	p.estimator.End(f.id)
	r.refresh(p)
	if r.byID[p.id] == p {
		r.index.SetEpoch(p.id, epoch, "")
		r.index.Stored(p.id, epoch, f.chain)
	}
	r.pending.end(f.chain, f.id)
}

// QueueDelay returns how long the request has waited at the target beyond its own
// predicted network delay and prefill.
func (f *Flight) QueueDelay(now time.Time) time.Duration {
	expected := f.network + float64(f.Uncached)*f.replica.estimator.TokenCost()
	return max(0, now.Sub(f.sentAt)-seconds(expected))
}

// Correct applies the cached-token count of the response. It also updates the learned
// prefill cost, since only this count shows how many tokens the target computed. Blocks
// removed by the correction have just been computed by this request, so they are
// recorded again.
func (r *Router) Correct(f *Flight, epoch string, cachedTokens int) {
	if r.byID[f.TargetID] != f.replica {
		return
	}
	f.replica.estimator.LearnCost(f.ttft, f.Cached+f.Uncached-cachedTokens, f.network, f.sentToIdle)
	r.refreshFleetCost()
	if r.index.Correct(f.TargetID, epoch, f.chain, f.CacheEstimate, cachedTokens) {
		r.index.Stored(f.TargetID, epoch, f.chain)
	}
}

// End records that the request has left the target, whether or not it succeeded.
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

// ChooseService returns a replica of a plain service that is not in tried: the one with
// the lowest exclusion, then the shortest network delay, then the fewest requests in
// flight. Ties are broken in round-robin order.
func (r *Router) ChooseService(service string, tried map[string]bool, now time.Time) (string, bool) {
	all := r.byService[service]
	r.serviceChoices++
	var best *replica
	var bestRank serviceRank
	for n := range all {
		p := all[(r.serviceChoices+n)%len(all)]
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

// ServiceDone records the end of a call to a plain service.
func (r *Router) ServiceDone(id string, failed bool, now time.Time) {
	p := r.byID[id]
	if p == nil {
		return
	}
	p.inFlight = max(0, p.inFlight-1)
	if failed {
		r.recordFailure(p, now)
	} else {
		p.health.Succeeded(now)
	}
	r.refresh(p)
}
