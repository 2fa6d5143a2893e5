package dispatch

import (
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/kvcopy"
	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
	"github.com/sequoiaroad/sequoiaroad/policy/routing"
)

// Copier copies cached prefixes between engines. Its methods are called under the
// dispatcher's lock and must neither block nor call the dispatcher.
type Copier interface {
	// RecordRequest counts a request that uses a chain of blocks.
	RecordRequest(chain []prefix.BlockHash)
	// TryCopy starts a copy if it is worth its cost. It returns a channel that is closed
	// when the copy has ended, and the longest time to wait for it; the channel is nil if
	// the request should not wait for a copy.
	TryCopy(candidate *kvcopy.Candidate, link *routing.LinkBudget) (done <-chan struct{}, maxWait time.Duration)
}

// SetCopier enables KV copies. It must be called before the first completion.
func (d *Dispatcher) SetCopier(c Copier) { d.copier = c }

// tryCopy tries to start a copy for a request that was not routed to the target with the
// most cached blocks. While the copy runs, the request waits as it does for another
// request's prefill, and then chooses a target again. The caller holds the lock.
func (d *Dispatcher) tryCopy(r *completionRun, decision *routing.Decision, tq *targetQueue, mayAwaitPrefill bool, now time.Time) (pendingWait, bool) {
	if d.copier == nil {
		return pendingWait{}, false
	}
	if !r.requestRecorded {
		r.requestRecorded = true
		d.copier.RecordRequest(r.blockHashes)
	}
	// A target that is already computing the blocks would both compute and import them.
	alreadyComputing := decision.Cached > decision.CacheEstimate.Blocks*prefix.BlockBytes/prefix.BytesPerToken
	if decision.WarmTarget.TargetID == "" || alreadyComputing || !decision.Calibrated || !mayAwaitPrefill || tq.prefillWaiters >= d.knobs.QueueItems {
		return pendingWait{}, false
	}
	candidate := &kvcopy.Candidate{
		Seed: r.seed, Weights: r.model.WeightsVersion, Chain: r.blockHashes,
		From: decision.CacheEstimate.Blocks, To: decision.WarmTarget.Blocks,
		Source: d.cacheStateLocked(decision.WarmTarget.TargetID), Destination: d.cacheStateLocked(decision.TargetID),
		SourceLeaving: decision.WarmTarget.Leaving, HostRegion: d.options.Self.Region, TokenCost: decision.TokenCost(),
	}
	done, maxWait := d.copier.TryCopy(candidate, d.router.Link())
	predicted := time.Duration(decision.PredictedTTFT * float64(time.Second))
	if done == nil || !r.c.Deadline.IsZero() && now.Add(maxWait+predicted).After(r.c.Deadline) {
		return pendingWait{}, false
	}
	tq.prefillWaiters++
	return pendingWait{queue: tq, prefillDone: done, maxWait: maxWait}, true
}

func (d *Dispatcher) cacheStateLocked(targetID string) kvcopy.Endpoint {
	endpoint := kvcopy.Endpoint{TargetID: targetID}
	endpoint.Epoch = d.index.Epoch(targetID)
	endpoint.Weights = d.router.Weights(targetID, endpoint.Epoch)
	if t := d.config.Target(targetID); t != nil {
		endpoint.Region = t.Region
	}
	return endpoint
}

// CacheState returns the epoch and weights version last reported by a target.
func (d *Dispatcher) CacheState(targetID string) kvcopy.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyConfig()
	return d.cacheStateLocked(targetID)
}

// RecordCopy records that a target holds blocks under an epoch and weights version. It has
// no effect if either has changed since.
func (d *Dispatcher) RecordCopy(endpoint kvcopy.Endpoint, blocks []prefix.BlockHash) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyConfig()
	if current := d.cacheStateLocked(endpoint.TargetID); current.Epoch == endpoint.Epoch && current.Weights == endpoint.Weights {
		d.index.Stored(endpoint.TargetID, endpoint.Epoch, blocks)
	}
}

// ObserveLiveHosts divides the capacity of the link between regions among the live
// hosts of this host's region.
func (d *Dispatcher) ObserveLiveHosts(hosts int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.SetLinkShare(hosts)
}

// AllowLink reports whether a message of a class may be sent over the link between
// regions now, and deducts its bytes from the budget.
func (d *Dispatcher) AllowLink(class routing.LinkClass, bytes int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.router.Link().AllowMessage(class, bytes, d.clock())
}
