// Package cachefeed follows the cache events of engines and of the KV store. Each of
// these holders is followed by one host, which announces evictions to the others.
package cachefeed

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/sequoiaroad/sequoiaroad/internal/clock"
	"github.com/sequoiaroad/sequoiaroad/internal/message"
	"github.com/sequoiaroad/sequoiaroad/internal/view"
	"github.com/sequoiaroad/sequoiaroad/policy/placement"
)

const (
	// longPollTimeout is how long a holder keeps a call without events open.
	longPollTimeout = 800 * time.Millisecond
	// batchDelay batches events that come close together into one response.
	batchDelay = 150 * time.Millisecond
	// minRetry follows a failed call. It doubles with each further failure up to maxRetry.
	minRetry = 700 * time.Millisecond
	maxRetry = 3 * time.Second
	// assignInterval is the interval between assignments of holders to hosts.
	assignInterval = 300 * time.Millisecond
)

// Sink receives the events.
type Sink interface {
	// CacheEvents handles the events of a holder. first means that they are all that
	// the holder still has in its history; restarted means that it lost all parts that
	// it held before them.
	CacheEvents(holder message.CacheHolder, events []message.CacheEvent, first, restarted bool)
}

// Fleet tells which other hosts there are.
type Fleet interface {
	// Live returns the other live hosts.
	Live() []view.Host
	// IsJoining reports whether this host does not know the others yet.
	IsJoining() bool
}

// Feed follows the holders that are assigned to this host.
type Feed struct {
	self    view.Host
	view    *view.View
	fleet   Fleet
	engines message.Engines
	sink    Sink
	log     hclog.Logger

	// cancels holds the function that stops following each holder.
	cancels map[message.CacheHolder]context.CancelFunc
}

// New returns a feed that does not follow any holder yet.
func New(self view.Host, v *view.View, fleet Fleet, engines message.Engines, sink Sink, log hclog.Logger) *Feed {
	return &Feed{self: self, view: v, fleet: fleet, engines: engines, sink: sink, log: log,
		cancels: map[message.CacheHolder]context.CancelFunc{}}
}

// Run follows the assigned holders until ctx ends.
func (f *Feed) Run(ctx context.Context) error {
	var running sync.WaitGroup
	clock.Every(ctx, assignInterval, func() { f.assign(ctx, &running) })
	running.Wait()
	return nil
}

// assign starts and stops following as hosts and holders are added and removed.
func (f *Feed) assign(ctx context.Context, running *sync.WaitGroup) {
	assigned := f.assignedHolders()
	for holder, cancel := range f.cancels {
		if !assigned[holder] {
			cancel()
			delete(f.cancels, holder)
		}
	}
	for holder := range assigned {
		if f.cancels[holder] != nil {
			continue
		}
		followCtx, cancel := context.WithCancel(ctx)
		f.cancels[holder] = cancel
		running.Go(func() { f.follow(followCtx, holder) })
	}
}

// assignedHolders returns the holders that are assigned to this host by rendezvous
// hashing: those for which it has the highest hash among the live hosts of the holder's
// zone, or of all zones if there are none in that zone.
func (f *Feed) assignedHolders() map[message.CacheHolder]bool {
	s := f.view.Snapshot()
	if s.Config == nil || f.fleet.IsJoining() {
		return nil // a host that knows no others would follow all holders
	}
	hosts := append(f.fleet.Live(), f.self)
	out := map[message.CacheHolder]bool{}
	for _, t := range s.Targets {
		if service := s.Config.Services[t.Service]; service != nil && service.Engine != nil && f.isAssigned(hosts, t.Zone, t.ID) {
			out[message.CacheHolder{TargetID: t.ID, Address: t.Address}] = true
		}
	}
	if store := s.Config.KVStore(); store != nil && f.isAssigned(hosts, store.StoreZone, store.StoreAddress) {
		out[message.CacheHolder{Address: store.StoreAddress}] = true
	}
	return out
}

func (f *Feed) isAssigned(hosts []view.Host, zone, holderID string) bool {
	zoneHasHost := false
	for _, h := range hosts {
		zoneHasHost = zoneHasHost || h.Zone == zone
	}
	var bestID string
	var bestScore uint64
	for _, h := range hosts {
		if zoneHasHost && h.Zone != zone {
			continue
		}
		if score := placement.Hash(holderID, h.ID); bestID == "" || score > bestScore {
			bestID, bestScore = h.ID, score
		}
	}
	return bestID == f.self.ID
}

func (f *Feed) follow(ctx context.Context, holder message.CacheHolder) {
	var since, epoch int64
	first, retry := true, minRetry
	for ctx.Err() == nil {
		batch, err := f.engines.CacheEvents(ctx, holder, since, longPollTimeout)
		if err != nil {
			if ctx.Err() == nil {
				f.log.Debug("failed to read cache events", "target", holder.TargetID, "error", err)
			}
			clock.Sleep(ctx, retry)
			retry = min(2*retry, maxRetry)
			continue
		}
		retry = minRetry
		restarted := !first && batch.Epoch != epoch
		if restarted || batch.HasGap && !first {
			f.log.Info("cache events have a gap", "target", holder.TargetID, "restarted", restarted, "lost", batch.HasGap)
		}
		epoch, since = batch.Epoch, batch.NextNumber
		if restarted || len(batch.Events) > 0 {
			f.sink.CacheEvents(holder, batch.Events, first, restarted)
		}
		first = false
		clock.Sleep(ctx, batchDelay)
	}
}
