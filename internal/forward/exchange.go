package forward

import (
	"time"

	"github.com/sequoiaroad/sequoiaroad/internal/message"
	"github.com/sequoiaroad/sequoiaroad/internal/peers"
	"github.com/sequoiaroad/sequoiaroad/policy/balance"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

// LocalState returns a heartbeat with the load, the ejected targets and the account
// usage of this host.
func (r *Router) LocalState() peers.Heartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	var h peers.Heartbeat
	for id, inFlight := range r.balancer.LocalInFlight() {
		h.Loads = append(h.Loads, peers.TargetLoad{ID: id, Requests: inFlight})
	}
	h.EjectedTargets = r.balancer.Suspects(time.Now())
	h.Limits = r.pressure.Reports(time.Now())
	for name, b := range r.buckets {
		h.Usage = append(h.Usage, peers.AccountUsage{Account: name, Total: b.Admitted()})
	}
	return h
}

// HandleHeartbeat implements peers.LocalHost.
func (r *Router) HandleHeartbeat(h *peers.Heartbeat) {
	snapshot := r.View.Snapshot()
	config := snapshot.Config
	_, unresponsiveShare := r.Fleet.CountHosts()
	now := time.Now()
	r.HandleLimits(h.Limits)
	r.mu.Lock()
	defer r.mu.Unlock()
	inFlight := make(map[string]int, len(h.Loads))
	for _, l := range h.Loads {
		inFlight[l.ID] = l.Requests
	}
	r.balancer.SetPeerInFlight(h.From.ID, inFlight, now)
	for _, id := range h.EjectedTargets {
		if t := snapshot.Targets[id]; t != nil {
			r.balancer.RecordPeerSuspicion(t, now)
		}
	}
	if config == nil {
		return
	}
	usage := make(map[string]float64, len(h.Usage))
	for _, u := range h.Usage {
		usage[u.Account] = u.Total
	}
	for _, a := range config.Accounts {
		if total, ok := usage[a.Name]; ok {
			r.accountBucket(a, now).ApplyReport(h.From.Incarnation, total, now, unresponsiveShare)
		}
	}
}

// HandleCacheNotices implements peers.LocalHost.
func (r *Router) HandleCacheNotices(notices []balance.CacheNotice) {
	now := time.Now()
	targets := r.View.Snapshot().Targets
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range notices {
		r.balancer.RecordCacheNotice(n, now)
		if t := targets[n.TargetID]; t != nil && n.PrefillMs > 0 {
			r.balancer.AddPrefill(t, n.PrefillMs, now)
		}
	}
}

// HandleEngineNotice implements peers.LocalHost.
func (r *Router) HandleEngineNotice(n *peers.EngineNotice) {
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

// Weights returns the weights version of a model that a target is known to have loaded,
// and the number of requests that all hosts have in flight there.
func (r *Router) Weights(t *topology.Target, model string) (version int64, inFlight int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.balancer.WeightsVersion(t, model), r.balancer.InFlight(t)
}

// Ejected reports whether a target is ejected after failures.
func (r *Router) Ejected(t *topology.Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.balancer.Ejected(t, time.Now())
}

// minRebuildTokens is the minimum size of the parts that a host announces when it
// starts to follow a cache holder.
const minRebuildTokens = 512

// CacheEvents implements cachefeed.Sink. It records what a holder evicted and announces
// evictions of recorded parts to the peers. The first events after a start also list
// what the holder has, so that hosts that lost this state in a restart don't have the
// parts prefilled again.
func (r *Router) CacheEvents(holder message.CacheHolder, events []message.CacheEvent, first, restarted bool) {
	now := time.Now()
	storedByKey := map[balance.Key]bool{}
	r.mu.Lock()
	if restarted {
		r.balancer.DropCached(holder.TargetID)
	}
	for _, e := range events {
		key := balance.PartKey(e.Model, e.Salt, e.PartID)
		known := r.balancer.Cached(key, holder.TargetID, now)
		if known && !e.Stored || first && !known && e.Tokens >= minRebuildTokens {
			storedByKey[key] = e.Stored
		}
	}
	stored := balance.CacheNotice{TargetID: holder.TargetID}
	evicted := balance.CacheNotice{TargetID: holder.TargetID, Evicted: true}
	for key, isStored := range storedByKey {
		if isStored {
			stored.Keys = append(stored.Keys, key)
		} else {
			evicted.Keys = append(evicted.Keys, key)
		}
	}
	r.balancer.RecordCacheNotice(stored, now)
	r.balancer.RecordCacheNotice(evicted, now)
	r.mu.Unlock()
	for _, n := range [...]balance.CacheNotice{stored, evicted} {
		if len(n.Keys) > 0 {
			r.Fleet.QueueCacheNotice(n)
		}
	}
}
