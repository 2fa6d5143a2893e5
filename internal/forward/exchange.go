package forward

import (
	"time"

	"github.com/sequoiaroad/sequoiaroad/internal/message"
	"github.com/sequoiaroad/sequoiaroad/internal/peers"
	"github.com/sequoiaroad/sequoiaroad/policy/balance"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

// Describe fills in the load and use of a heartbeat.
func (r *Router) Describe() peers.Heartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	var h peers.Heartbeat
	for id, running := range r.balancer.LocalInFlight() {
		h.Loads = append(h.Loads, peers.TargetLoad{ID: id, Running: running})
	}
	h.Suspects = r.balancer.Suspects(time.Now())
	for name, b := range r.buckets {
		h.Use = append(h.Use, peers.AccountUse{Account: name, Total: b.Admitted()})
	}
	return h
}

// HeardFrom implements peers.Local.
func (r *Router) HeardFrom(h *peers.Heartbeat) {
	snapshot := r.View.Snapshot()
	config := snapshot.Config
	_, silent := r.Fleet.Shares()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	running := make(map[string]int, len(h.Loads))
	for _, l := range h.Loads {
		running[l.ID] = l.Running
	}
	r.balancer.SetPeerInFlight(h.From.ID, running, now)
	for _, id := range h.Suspects {
		if t := snapshot.Targets[id]; t != nil {
			r.balancer.RecordPeerSuspicion(t, now)
		}
	}
	if config == nil {
		return
	}
	use := make(map[string]float64, len(h.Use))
	for _, u := range h.Use {
		use[u.Account] = u.Total
	}
	for _, a := range config.Accounts {
		if total, ok := use[a.Name]; ok {
			r.bucket(a, now).ApplyReport(h.From.Incarnation, total, now, silent)
		}
	}
}

// HeardCacheNotices implements peers.Local.
func (r *Router) HeardCacheNotices(all []balance.CacheNotice) {
	now := time.Now()
	targets := r.View.Snapshot().Targets
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range all {
		r.balancer.RecordCacheNotice(s, now)
		if t := targets[s.TargetID]; t != nil && s.PrefillMs > 0 {
			r.balancer.AddPrefill(t, s.PrefillMs, now)
		}
	}
}

// HeardNotice implements peers.Local.
func (r *Router) HeardNotice(n *peers.EngineNotice) {
	t := r.View.Snapshot().Targets[n.TargetID]
	if t == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if n.Version > 0 {
		r.balancer.RecordWeights(t, n.Model, n.Version)
	}
	r.balancer.Pause(t, time.Now().Add(time.Duration(n.PauseMs)*time.Millisecond))
}

// Weights returns the version of a model that a target is known to have, and the
// requests of all hosts there.
func (r *Router) Weights(t *topology.Target, model string) (version int64, running int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.balancer.WeightsVersion(t, model), r.balancer.InFlight(t)
}

// Avoided reports whether requests avoid a target after failures.
func (r *Router) Avoided(t *topology.Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.balancer.Ejected(t, time.Now())
}

// minRebuildTokens is the size of parts that a host which has just begun to follow a
// holder tells its peers about.
const minRebuildTokens = 512

// CacheEvents implements cachefeed.Sink: it notes what a holder evicted, and tells the
// peers about parts that hosts know of. The first events after a start also show what
// the holder has, so that hosts that lost their memory do not read it again.
func (r *Router) CacheEvents(holder message.CacheHolder, events []message.CacheEvent, first, restarted bool) {
	now := time.Now()
	stored := map[balance.Key]bool{}
	r.mu.Lock()
	if restarted {
		r.balancer.DropCached(holder.TargetID)
	}
	for _, e := range events {
		key := balance.PartKey(e.Model, e.Salt, e.PartID)
		known := r.balancer.Cached(key, holder.TargetID, now)
		if known && !e.Stored || first && !known && e.Tokens >= minRebuildTokens {
			stored[key] = e.Stored
		}
	}
	has := balance.CacheNotice{TargetID: holder.TargetID}
	evicted := balance.CacheNotice{TargetID: holder.TargetID, Evicted: true}
	for key, is := range stored {
		if is {
			has.Keys = append(has.Keys, key)
		} else {
			evicted.Keys = append(evicted.Keys, key)
		}
	}
	r.balancer.RecordCacheNotice(has, now)
	r.balancer.RecordCacheNotice(evicted, now)
	r.mu.Unlock()
	for _, s := range [...]balance.CacheNotice{has, evicted} {
		if len(s.Keys) > 0 {
			r.Fleet.Tell(s)
		}
	}
}
