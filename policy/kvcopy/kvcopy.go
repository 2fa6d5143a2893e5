// Package kvcopy decides when the KV cache of a prefix is copied from one target to
// another instead of being computed again. It does no I/O; the current time is an
// argument.
//
// Invariant: a copy has one seed, one weights version and one epoch at each endpoint.
// Copy.Valid is checked again right before each import, and the copy is dropped if any
// of them has changed.
package kvcopy

import (
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
	"github.com/sequoiaroad/sequoiaroad/policy/routing"
)

const blockTokens = prefix.BlockBytes / prefix.BytesPerToken

const (
	// maxCostShare is the largest share of the saved computation time that a copy may
	// take. Predictions of both are rough, and a copy also occupies the source.
	maxCostShare = 0.25
	// minSavedSeconds is the smallest saving that justifies the calls of a copy.
	minSavedSeconds = 0.02
	// overheadSeconds is assumed for the calls of a copy besides the transfer.
	overheadSeconds = 0.004
	// otherRegionOverheadSeconds is added for each endpoint in another region.
	otherRegionOverheadSeconds = 0.032
	// defaultBytesPerSecond is assumed for an engine until a rate is measured.
	defaultBytesPerSecond = 50e6
	// learningRate is the weight of a new sample.
	learningRate = 0.2
	// retryDelay is the pause after a failed copy of a prefix to a target.
	retryDelay = 5 * time.Second
)

// Endpoint is the source or the destination of a copy, as last reported to the router.
type Endpoint struct {
	TargetID string
	Epoch    string
	Weights  string
	Region   string
}

// Candidate is a possible copy: a request is about to compute blocks that another target
// holds.
type Candidate struct {
	Seed    prefix.BlockHash
	Weights string
	Chain   []prefix.BlockHash
	// From is the number of leading blocks that the destination holds, To that of the
	// source.
	From, To            int
	Source, Destination Endpoint
	// SourceLeaving means that the source gets no new requests and its blocks are soon
	// lost.
	SourceLeaving bool
	// HostRegion is the region of the router, which relays the bytes.
	HostRegion string
	// TokenCost is the prefill cost at the destination in seconds per token.
	TokenCost float64
}

// Copy is a copy that Planner.Plan has decided on.
type Copy struct {
	Seed    prefix.BlockHash
	Weights string
	// Blocks are consecutive in the chain.
	Blocks              []prefix.BlockHash
	Source, Destination Endpoint
	// Probe means that the copy only measures sizes and rates; no request should wait
	// for it.
	Probe bool
	// Predicted is the expected duration.
	Predicted time.Duration
}

// Tokens returns the number of tokens whose computation the copy saves.
func (c *Copy) Tokens() int { return len(c.Blocks) * blockTokens }

// Key identifies the first block that the copy stores at its destination.
func (c *Copy) Key() Key { return Key{c.Destination.TargetID, c.Blocks[0]} }

// ErrChanged means that an endpoint of a copy has a new epoch or other weights.
var ErrChanged = errors.New("the epoch or the weights of an endpoint of the copy have changed")

// Valid returns ErrChanged unless both endpoints still have the copy's epochs and weights.
func (c *Copy) Valid(source, destination Endpoint) error {
	if source.Epoch != c.Source.Epoch || source.Weights != c.Weights ||
		destination.Epoch != c.Destination.Epoch || destination.Weights != c.Weights {
		return ErrChanged
	}
	return nil
}

// Limits bound the copies of one host.
type Limits struct {
	// InFlight bounds the copies that wait or run; zero allows none.
	InFlight int
	// BlockBytes is the largest size of a block that is copied; zero allows none.
	BlockBytes float64
	// MinRequests is the number of recent requests for a block, see
	// Planner.RecordRequest, from which on reuse is expected.
	MinRequests float64
}

// Key identifies the first block that a copy stores at a target. Copies with the same
// key would store the same blocks, so only one of them runs at a time.
type Key struct {
	Destination string
	First       prefix.BlockHash
}

// Planner decides on copies and learns their costs. It is not safe for concurrent use.
type Planner struct {
	limits        Limits
	inFlight      map[Key]bool
	failedUntil   map[Key]time.Time
	requestCounts requestCounts
	exportRates   map[string]float64
	importRates   map[string]float64
	// bytesPerToken is zero until it is measured.
	bytesPerToken float64
}

// NewPlanner returns a planner without measurements.
func NewPlanner(l Limits) *Planner {
	return &Planner{
		limits: l, inFlight: map[Key]bool{}, failedUntil: map[Key]time.Time{}, requestCounts: newRequestCounts(),
		exportRates: map[string]float64{}, importRates: map[string]float64{},
	}
}

// Decision is the result of Planner.Plan.
type Decision string

// The decisions. Only Start begins a copy.
const (
	Start Decision = "copy"
	// AlreadyInFlight means that a copy of the next block is in flight.
	AlreadyInFlight Decision = "a copy is in flight"
	InvalidEndpoint Decision = "an endpoint has other weights or an unknown epoch"
	TooManyInFlight Decision = "too many copies in flight"
	NoReuse         Decision = "no reuse expected"
	TooSlow         Decision = "the copy takes too long"
	TooLarge        Decision = "the blocks are too large"
	RecentlyFailed  Decision = "a copy failed recently"
	LinkBusy        Decision = "the link between regions has no capacity left"
)

// RecordRequest counts a request for the blocks of a chain. It is called for each
// request, even if its target holds them: otherwise the first request that is sent past
// the warm target would find its prefix cold and compute it, and a copy would come too
// late.
func (p *Planner) RecordRequest(chain []prefix.BlockHash, now time.Time) {
	for _, block := range chain {
		p.requestCounts.add(block, now)
	}
}

// BlockBytes returns the measured size of a block; zero before the first export.
func (p *Planner) BlockBytes() int { return int(p.bytesPerToken * blockTokens) }

// Plan decides on a candidate. If the decision is Start, the copy counts as in flight
// until Finish, and its bytes are charged to the link. If it is AlreadyInFlight, only
// the Key of the returned copy is meaningful: it is that of the copy in flight.
func (p *Planner) Plan(candidate *Candidate, link *routing.LinkBudget, now time.Time) (*Copy, Decision) {
	to := min(candidate.To, len(candidate.Chain))
	if candidate.From < 0 || candidate.From >= to {
		return nil, InvalidEndpoint
	}
	hotEnd := candidate.From
	for i := candidate.From; i < to; i++ {
		if p.requestCounts.count(candidate.Chain[i], now) >= p.limits.MinRequests {
			hotEnd = i + 1
		}
	}
	c := &Copy{Seed: candidate.Seed, Weights: candidate.Weights, Source: candidate.Source, Destination: candidate.Destination, Blocks: candidate.Chain[candidate.From:to]}
	if p.inFlight[c.Key()] {
		return c, AlreadyInFlight
	}
	if candidate.Source.Epoch == "" || candidate.Destination.Epoch == "" || candidate.Source.TargetID == candidate.Destination.TargetID ||
		c.Valid(candidate.Source, candidate.Destination) != nil {
		return nil, InvalidEndpoint
	}
	if !candidate.SourceLeaving {
		if hotEnd == candidate.From {
			return nil, NoReuse
		}
		c.Blocks = candidate.Chain[candidate.From:hotEnd]
	}
	if p.bytesPerToken == 0 {
		// The first copy only measures the size of a block and the rates.
		c.Blocks, c.Probe = c.Blocks[:1], true
	}
	if d := p.evaluate(candidate, c, link, now); d != Start {
		return nil, d
	}
	p.inFlight[c.Key()] = true
	return c, Start
}

// evaluate compares the copy with the computation that it saves, and charges the link
// as its last step.
func (p *Planner) evaluate(candidate *Candidate, c *Copy, link *routing.LinkBudget, now time.Time) Decision {
	if until, ok := p.failedUntil[c.Key()]; ok && now.Before(until) {
		return RecentlyFailed
	}
	if len(p.inFlight) >= p.limits.InFlight {
		return TooManyInFlight
	}
	bytesPerToken := p.bytesPerToken
	if bytesPerToken == 0 {
		bytesPerToken = p.limits.BlockBytes / blockTokens // leaves the first copy enough time for any block
	}
	if bytesPerToken*blockTokens > p.limits.BlockBytes {
		return TooLarge
	}
	bytes := bytesPerToken * float64(c.Tokens())
	saved := float64(c.Tokens()) * candidate.TokenCost
	predicted := overheadSeconds + bytes/p.rate(p.exportRates, candidate.Source.TargetID) + bytes/p.rate(p.importRates, candidate.Destination.TargetID)
	// Bytes pass through the router: each endpoint in another region adds a transfer
	// over the link.
	linkTransfers := 0
	for _, endpoint := range []Endpoint{candidate.Source, candidate.Destination} {
		if endpoint.Region != candidate.HostRegion {
			linkTransfers++
		}
	}
	linkBytes := linkTransfers * int(bytes)
	if linkTransfers > 0 {
		if p.bytesPerToken == 0 || link == nil || !link.Worthwhile(linkBytes, saved*maxCostShare) {
			return LinkBusy
		}
		predicted += float64(linkTransfers)*otherRegionOverheadSeconds + float64(linkBytes)/link.Rate + link.Delay(routing.LinkKVCopy, linkBytes, now)
	}
	if saved < minSavedSeconds || predicted > maxCostShare*saved && p.bytesPerToken > 0 {
		return TooSlow
	}
	if linkTransfers > 0 && !link.Allow(routing.LinkKVCopy, linkBytes, now) {
		return LinkBusy
	}
	c.Predicted = time.Duration(predicted * float64(time.Second))
	return Start
}

// rate returns the measured bytes per second of a target, or else of the slowest other
// one, or a default.
func (p *Planner) rate(rates map[string]float64, targetID string) float64 {
	if r := rates[targetID]; r > 0 {
		return r
	}
	slowest := 0.0
	for _, r := range rates {
		if slowest == 0 || r < slowest {
			slowest = r
		}
	}
	if slowest > 0 {
		return slowest
	}
	return defaultBytesPerSecond
}

// RecordExport records the measured size and duration of an export.
func (p *Planner) RecordExport(targetID string, tokens, bytes int, elapsed time.Duration) {
	if tokens <= 0 || bytes <= 0 {
		return
	}
	updateAverage(&p.bytesPerToken, float64(bytes)/float64(tokens))
	p.recordRate(p.exportRates, targetID, bytes, elapsed)
}

// RecordImport records the measured size and duration of an import.
func (p *Planner) RecordImport(targetID string, bytes int, elapsed time.Duration) {
	p.recordRate(p.importRates, targetID, bytes, elapsed)
}

// RecordTooLarge records that a block exceeds the largest size.
func (p *Planner) RecordTooLarge() {
	p.bytesPerToken = max(p.bytesPerToken, 2*p.limits.BlockBytes/blockTokens)
}

func (p *Planner) recordRate(rates map[string]float64, targetID string, bytes int, elapsed time.Duration) {
	if bytes <= 0 || elapsed <= 0 {
		return
	}
	r := rates[targetID]
	updateAverage(&r, float64(bytes)/elapsed.Seconds())
	rates[targetID] = r
}

// updateAverage applies a sample to an exponentially weighted moving average.
func updateAverage(value *float64, sample float64) {
	if *value == 0 {
		*value = sample
		return
	}
	*value += learningRate * (sample - *value)
}

// Finish ends a copy that Plan started. After a failure the blocks are not copied to
// the target again for retryDelay, so that requests don't wait for copies that fail
// again.
func (p *Planner) Finish(c *Copy, failed bool, now time.Time) {
	delete(p.inFlight, c.Key())
	for k, until := range p.failedUntil {
		if !now.Before(until) {
			delete(p.failedUntil, k)
		}
	}
	if failed {
		p.failedUntil[c.Key()] = now.Add(retryDelay)
	}
}

// RemoveUnconfigured drops the measurements of targets that are no longer configured.
func (p *Planner) RemoveUnconfigured(configured func(targetID string) bool) {
	for _, rates := range []map[string]float64{p.exportRates, p.importRates} {
		for id := range rates {
			if !configured(id) {
				delete(rates, id)
			}
		}
	}
}
