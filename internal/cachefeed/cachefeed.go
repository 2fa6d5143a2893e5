// Package cachefeed follows what engines and the KV store evict. Each of them is
// followed by one host, which tells the others about parts that they know of.
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
	// wait is how long a holder keeps a call without events.
	wait = 800 * time.Millisecond
	// pause joins events that come close together into one answer.
	pause = 150 * time.Millisecond
	// failurePause follows a call that failed.
	failurePause = 700 * time.Millisecond
	// assignInterval is the pause between looks at who follows what.
	assignInterval = 300 * time.Millisecond
)

// Sink takes the events.
type Sink interface {
	// CacheEvents takes the events of a holder. first says that they are all that
	// the holder remembers, restarted that it lost all that it held before them.
	CacheEvents(holder message.CacheHolder, events []message.CacheEvent, first, restarted bool)
}

// Fleet lists the other live hosts.
type Fleet interface{ Live() []view.Host }

// Feed follows the holders that fall to this host.
type Feed struct {
	self    view.Host
	view    *view.View
	fleet   Fleet
	engines message.Engines
	sink    Sink
	log     hclog.Logger

	following map[message.CacheHolder]context.CancelFunc
}

// New returns a feed that follows nothing yet.
func New(self view.Host, v *view.View, fleet Fleet, engines message.Engines, sink Sink, log hclog.Logger) *Feed {
	return &Feed{self: self, view: v, fleet: fleet, engines: engines, sink: sink, log: log,
		following: map[message.CacheHolder]context.CancelFunc{}}
}

// Run follows until ctx ends.
func (f *Feed) Run(ctx context.Context) error {
	var running sync.WaitGroup
	clock.Every(ctx, assignInterval, func() { f.assign(ctx, &running) })
	running.Wait()
	return nil
}

// assign starts and stops following as hosts and holders come and go.
func (f *Feed) assign(ctx context.Context, running *sync.WaitGroup) {
	wanted := f.wanted()
	for holder, cancel := range f.following {
		if !wanted[holder] {
			cancel()
			delete(f.following, holder)
		}
	}
	for holder := range wanted {
		if f.following[holder] != nil {
			continue
		}
		followCtx, cancel := context.WithCancel(ctx)
		f.following[holder] = cancel
		running.Go(func() { f.follow(followCtx, holder) })
	}
}

// wanted returns the holders that fall to this host: those for which it has the
// highest hash among the live hosts of the holder's zone, or of all zones if none
// lives there.
func (f *Feed) wanted() map[message.CacheHolder]bool {
	s := f.view.Snapshot()
	if s.Config == nil {
		return nil
	}
	hosts := append(f.fleet.Live(), f.self)
	out := map[message.CacheHolder]bool{}
	for _, t := range s.Targets {
		if service := s.Config.Services[t.Service]; service != nil && service.Engine != nil && f.mine(hosts, t.Zone, t.ID) {
			out[message.CacheHolder{TargetID: t.ID, Address: t.Address}] = true
		}
	}
	if store := s.Config.KVStore(); store != nil && f.mine(hosts, store.StoreZone, store.StoreAddress) {
		out[message.CacheHolder{Address: store.StoreAddress}] = true
	}
	return out
}

func (f *Feed) mine(hosts []view.Host, zone, name string) bool {
	near := false
	for _, h := range hosts {
		near = near || h.Zone == zone
	}
	var best string
	var top uint64
	for _, h := range hosts {
		if near && h.Zone != zone {
			continue
		}
		if score := placement.Hash(name, h.ID); best == "" || score > top {
			best, top = h.ID, score
		}
	}
	return best == f.self.ID
}

func (f *Feed) follow(ctx context.Context, holder message.CacheHolder) {
	var since, epoch int64
	first := true
	for ctx.Err() == nil {
		got, err := f.engines.CacheEvents(ctx, holder, since, wait)
		if err != nil {
			if ctx.Err() == nil {
				f.log.Debug("cache events were not read", "target", holder.TargetID, "error", err)
			}
			clock.Sleep(ctx, failurePause)
			continue
		}
		restarted := !first && got.Epoch != epoch
		if restarted || got.HasGap && !first {
			f.log.Info("cache events have a gap", "target", holder.TargetID, "restarted", restarted, "lost", got.HasGap)
		}
		epoch, since = got.Epoch, got.NextNumber
		if restarted || len(got.Events) > 0 {
			f.sink.CacheEvents(holder, got.Events, first, restarted)
		}
		first = false
		clock.Sleep(ctx, pause)
	}
}
