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
	// RecordUse counts a request for the blocks of a chain.
	RecordUse(chain []prefix.BlockHash)
	// Offer returns a channel that is closed when a copy has ended and the longest time
	// to wait for it, or nil if there is none.
	Offer(o *kvcopy.Offer, link *routing.LinkBudget) (done <-chan struct{}, patience time.Duration)
}

// SetCopier switches KV copies on. It must be called before the first completion.
func (d *Dispatcher) SetCopier(c Copier) { d.copier = c }

// offerCopy offers a copy for a request that was sent past its warm target. While the
// copy runs the request waits as it does for another request's prefill, and chooses
// again after it. The caller holds the lock.
func (d *Dispatcher) offerCopy(r *run, decision *routing.Decision, l *targetQueue, mayWait bool, now time.Time) (queued, bool) {
	if d.copier == nil {
		return queued{}, false
	}
	if !r.counted {
		r.counted = true
		d.copier.RecordUse(r.chain)
	}
	// A target that computes the blocks already would only compute and import them.
	computing := decision.Cached > decision.CacheEstimate.Blocks*prefix.BlockBytes/prefix.BytesPerToken
	if decision.WarmTarget.TargetID == "" || computing || !decision.Calibrated || !mayWait || l.prefillWaiters >= d.knobs.QueueItems {
		return queued{}, false
	}
	offer := &kvcopy.Offer{
		Seed: r.seed, Weights: r.model.WeightsVersion, Chain: r.chain,
		From: decision.CacheEstimate.Blocks, To: decision.WarmTarget.Blocks,
		Source: d.cacheState(decision.WarmTarget.TargetID), Destination: d.cacheState(decision.TargetID),
		SourceLeaving: decision.WarmTarget.Leaving, HostRegion: d.options.Self.Region, TokenCost: decision.TokenCost(),
	}
	done, patience := d.copier.Offer(offer, d.router.Link())
	predicted := time.Duration(decision.PredictedTTFT * float64(time.Second))
	if done == nil || !r.c.Deadline.IsZero() && now.Add(patience+predicted).After(r.c.Deadline) {
		return queued{}, false
	}
	l.prefillWaiters++
	return queued{queue: l, prefill: done, patience: patience}, true
}

func (d *Dispatcher) cacheState(targetID string) kvcopy.Endpoint {
	end := kvcopy.Endpoint{TargetID: targetID}
	end.Epoch = d.index.Epoch(targetID)
	end.Weights = d.router.Weights(targetID, end.Epoch)
	if t := d.applied.Target(targetID); t != nil {
		end.Region = t.Region
	}
	return end
}

// CacheState returns the epoch and weights version last reported by a target.
func (d *Dispatcher) CacheState(targetID string) kvcopy.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follow()
	return d.cacheState(targetID)
}

// RecordCopy records that a target holds blocks under an epoch and weights version. It has
// no effect if either has changed since.
func (d *Dispatcher) RecordCopy(end kvcopy.Endpoint, blocks []prefix.BlockHash) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follow()
	if now := d.cacheState(end.TargetID); now.Epoch == end.Epoch && now.Weights == end.Weights {
		d.index.Stored(end.TargetID, end.Epoch, blocks)
	}
}

// ObserveLiveHosts divides the link between regions among the live hosts of this
// host's region.
func (d *Dispatcher) ObserveLiveHosts(hosts int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.SetLinkShare(hosts)
}

// AllowLink reports whether a message of a class may use the link between regions now,
// and counts its bytes.
func (d *Dispatcher) AllowLink(class routing.LinkClass, bytes int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.router.Link().AllowMessage(class, bytes, d.clock())
}
