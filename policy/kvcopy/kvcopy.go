// Package kvcopy decides when the KV cache of a prefix is copied from one target to
// another instead of being computed again. It does no I/O; the time is an argument.
//
// Invariant (P1): a copy names one seed, one weights version and one epoch at each
// end; Valid is asked again right before each import, and a copy of which any of
// them has changed is dropped.
package kvcopy

import (
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
	"github.com/sequoiaroad/sequoiaroad/policy/routing"
)

const blockTokens = prefix.BlockBytes / prefix.BytesPerToken

const (
	// maxPredictedShare is the largest share of the saved computation that a copy may
	// take. Predictions of both are rough, and a copy also occupies the source.
	maxPredictedShare = 0.25
	// minSaved in seconds is below what is worth the calls of a copy.
	minSaved = 0.02
	// overhead in seconds is assumed for the calls of a copy besides the transfer.
	overhead = 0.004
	// farOverhead in seconds is added for each end in another region.
	farOverhead = 0.032
	// defaultRate in bytes per second is assumed for an engine until one is measured.
	defaultRate = 50e6
	// learningRate weighs a new sample.
	learningRate = 0.2
	// retryAfter is the pause after a failed copy of a prefix to a target.
	retryAfter = 5 * time.Second
)

// Finish is one end of a copy as the router knows it.
type Endpoint struct {
	TargetID string
	Epoch    string
	Weights  string
	Region   string
}

// Offer is a request that is about to compute blocks that another target holds.
type Offer struct {
	Seed    prefix.BlockHash
	Weights string
	Chain   []prefix.BlockHash
	// From is the number of blocks that the destination holds, To that of the source.
	From, To            int
	Source, Destination Endpoint
	// SourceLeaving says that the source gets no new work: its blocks are soon lost.
	SourceLeaving bool
	// HostRegion is that of the router, through which the bytes go.
	HostRegion string
	// TokenCost is the prefill cost at the destination in seconds per token.
	TokenCost float64
}

// Copy is a copy that was decided on.
type Copy struct {
	Seed    prefix.BlockHash
	Weights string
	// Blocks follow each other in the chain.
	Blocks              []prefix.BlockHash
	Source, Destination Endpoint
	// Probe says that the copy only measures: no request should wait for it.
	Probe bool
	// Predicted is the expected duration.
	Predicted time.Duration
}

// Tokens returns the number of tokens whose computation the copy saves.
func (c *Copy) Tokens() int { return len(c.Blocks) * blockTokens }

// Key names the first block that the copy brings to its destination.
func (c *Copy) Key() Key { return Key{c.Destination.TargetID, c.Blocks[0]} }

// ErrChanged means that an end of a copy has a new epoch or other weights.
var ErrChanged = errors.New("the epoch or the weights of an end of the copy have changed")

// Valid returns ErrChanged unless both ends are still as the copy names them.
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
	// MinRequests is the number of recent requests for a block, see Planner.Used, from which
	// on reuse is expected.
	MinRequests float64
}

// Key names the first block that a copy brings to a target. Of the copies that share
// it, which would bring the same blocks, only one runs at a time.
type Key struct {
	Destination string
	First       prefix.BlockHash
}

// Planner decides on copies and learns their costs. It is not safe for concurrent use.
type Planner struct {
	limits  Limits
	running map[Key]bool
	failed  map[Key]time.Time
	heat    heat
	exports map[string]float64
	imports map[string]float64
	// bytesPerToken is zero until it is measured.
	bytesPerToken float64
}

// NewPlanner returns a planner that has measured nothing.
func NewPlanner(l Limits) *Planner {
	return &Planner{
		limits: l, running: map[Key]bool{}, failed: map[Key]time.Time{}, heat: newHeat(),
		exports: map[string]float64{}, imports: map[string]float64{},
	}
}

// Decision is the answer to an offer.
type Decision string

// The verdicts.
const (
	Start Decision = "copy"
	// AlreadyRunning: a copy that brings the next block is under way.
	AlreadyRunning Decision = "a copy is running"
	Invalid        Decision = "an end has other weights or an unknown epoch"
	Busy           Decision = "too many copies in flight"
	Cold           Decision = "no reuse expected"
	Slow           Decision = "the copy takes too long"
	Large          Decision = "the blocks are too large"
	FailedLately   Decision = "a copy failed lately"
	LinkShort      Decision = "the link between regions has no room"
)

// RecordRequest counts a request for the blocks of a chain. It is called for each request, also
// if its target holds them: otherwise the first request that is sent past the warm
// target would find its prefix cold and compute it, and no copy would be left to do.
func (p *Planner) RecordRequest(chain []prefix.BlockHash, now time.Time) {
	for _, block := range chain {
		p.heat.touch(block, now)
	}
}

// BlockBytes returns the measured size of a block; zero before the first export.
func (p *Planner) BlockBytes() int { return int(p.bytesPerToken * blockTokens) }

// Plan decides on an offer. If the verdict is Start the copy counts as in flight until
// End, and its bytes are charged to the link. If it is Running, only the Key of the
// returned copy is that of the one under way.
func (p *Planner) Plan(o *Offer, link *routing.LinkBudget, now time.Time) (*Copy, Decision) {
	to := min(o.To, len(o.Chain))
	if o.From < 0 || o.From >= to {
		return nil, Invalid
	}
	hot := o.From
	for i := o.From; i < to; i++ {
		if p.heat.level(o.Chain[i], now) >= p.limits.MinRequests {
			hot = i + 1
		}
	}
	c := &Copy{Seed: o.Seed, Weights: o.Weights, Source: o.Source, Destination: o.Destination, Blocks: o.Chain[o.From:to]}
	if p.running[c.Key()] {
		return c, AlreadyRunning
	}
	if o.Source.Epoch == "" || o.Destination.Epoch == "" || o.Source.TargetID == o.Destination.TargetID ||
		c.Valid(o.Source, o.Destination) != nil {
		return nil, Invalid
	}
	if !o.SourceLeaving {
		if hot == o.From {
			return nil, Cold
		}
		c.Blocks = o.Chain[o.From:hot]
	}
	if p.bytesPerToken == 0 {
		// The first copy only measures the size of a block and the rates.
		c.Blocks, c.Probe = c.Blocks[:1], true
	}
	if v := p.worth(o, c, link, now); v != Start {
		return nil, v
	}
	p.running[c.Key()] = true
	return c, Start
}

// worth compares the copy with the computation that it saves, and charges the link as
// its last step.
func (p *Planner) worth(o *Offer, c *Copy, link *routing.LinkBudget, now time.Time) Decision {
	if until, ok := p.failed[c.Key()]; ok && now.Before(until) {
		return FailedLately
	}
	if len(p.running) >= p.limits.InFlight {
		return Busy
	}
	perToken := p.bytesPerToken
	if perToken == 0 {
		perToken = p.limits.BlockBytes / blockTokens // so that the first copy has time for any block
	}
	if perToken*blockTokens > p.limits.BlockBytes {
		return Large
	}
	bytes := perToken * float64(c.Tokens())
	saved := float64(c.Tokens()) * o.TokenCost
	predicted := overhead + bytes/p.rate(p.exports, o.Source.TargetID) + bytes/p.rate(p.imports, o.Destination.TargetID)
	// Bytes go through the router: each end in another region sends them over the link.
	legs := 0
	for _, end := range []Endpoint{o.Source, o.Destination} {
		if end.Region != o.HostRegion {
			legs++
		}
	}
	onLink := legs * int(bytes)
	if legs > 0 {
		if p.bytesPerToken == 0 || link == nil || !link.Worthwhile(onLink, saved*maxPredictedShare) {
			return LinkShort
		}
		predicted += float64(legs)*farOverhead + float64(onLink)/link.Rate + link.Delay(routing.LinkKVCopy, onLink, now)
	}
	if saved < minSaved || predicted > maxPredictedShare*saved && p.bytesPerToken > 0 {
		return Slow
	}
	if legs > 0 && !link.Allow(routing.LinkKVCopy, onLink, now) {
		return LinkShort
	}
	c.Predicted = time.Duration(predicted * float64(time.Second))
	return Start
}

// rate returns the measured bytes per second of a target, or of the slowest other one.
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
	return defaultRate
}

// RecordExport takes the measured size and time of an export.
func (p *Planner) RecordExport(targetID string, tokens, bytes int, elapsed time.Duration) {
	if tokens <= 0 || bytes <= 0 {
		return
	}
	learn(&p.bytesPerToken, float64(bytes)/float64(tokens))
	p.measured(p.exports, targetID, bytes, elapsed)
}

// RecordImport takes the measured size and time of an import.
func (p *Planner) RecordImport(targetID string, bytes int, elapsed time.Duration) {
	p.measured(p.imports, targetID, bytes, elapsed)
}

// RecordTooLarge records that a block has more than the largest size.
func (p *Planner) RecordTooLarge() {
	p.bytesPerToken = max(p.bytesPerToken, 2*p.limits.BlockBytes/blockTokens)
}

func (p *Planner) measured(rates map[string]float64, targetID string, bytes int, elapsed time.Duration) {
	if bytes <= 0 || elapsed <= 0 {
		return
	}
	r := rates[targetID]
	learn(&r, float64(bytes)/elapsed.Seconds())
	rates[targetID] = r
}

func learn(value *float64, sample float64) {
	if *value == 0 {
		*value = sample
		return
	}
	*value += learningRate * (sample - *value)
}

// Finish ends a copy that Plan started. After a failure the blocks are not copied to the
// target again for a while, so that requests don't wait for copies in vain.
func (p *Planner) Finish(c *Copy, failed bool, now time.Time) {
	delete(p.running, c.Key())
	for k, until := range p.failed {
		if !now.Before(until) {
			delete(p.failed, k)
		}
	}
	if failed {
		p.failed[c.Key()] = now.Add(retryAfter)
	}
}

// RemoveUnconfigured drops what was measured of targets that are no longer configured.
func (p *Planner) RemoveUnconfigured(configured func(targetID string) bool) {
	for _, rates := range []map[string]float64{p.exports, p.imports} {
		for id := range rates {
			if !configured(id) {
				delete(rates, id)
			}
		}
	}
}
