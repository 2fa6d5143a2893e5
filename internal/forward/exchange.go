package forward

import (
	"time"

	"github.com/sequoiaroad/sequoiaroad/internal/message"
	"github.com/sequoiaroad/sequoiaroad/internal/peers"
	"github.com/sequoiaroad/sequoiaroad/policy/balance"
	"github.com/sequoiaroad/sequoiaroad/policy/exchange"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

// LocalState returns the loads, the ejected targets and the account usage of this host.
func (r *Router) LocalState() exchange.Local {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	local := exchange.Local{
		Loads: r.balancer.LocalInFlight(), Suspects: r.balancer.Suspects(now), Limits: r.pressure.Reports(now), AllLimits: r.pressure.AllReports(now),
		Usage: make(map[string]float64, len(r.buckets)),
	}
	for name, b := range r.buckets {
		local.Usage[name] = b.Admitted()
	}
	return local
}

// HandleLearned applies what the other hosts have told of their state.
func (r *Router) HandleLearned(l *exchange.Learned) {
	snapshot := r.View.Snapshot()
	_, unresponsiveShare := r.Fleet.CountHosts()
	r.HandleLimits(l.Limits)
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range l.Loads {
		r.balancer.AddPeerInFlight(d.TargetID, d.Change)
	}
	for _, id := range l.Suspects {
		if t := snapshot.Targets[id]; t != nil {
			r.balancer.RecordPeerSuspicion(t, now)
		}
	}
	r.recordCacheNotices(l.Notices, snapshot.Targets, now)
	if snapshot.Config == nil || len(l.Usage) == 0 {
		return
	}
	accounts := make(map[string]*topology.Account, len(snapshot.Config.Accounts))
	for _, a := range snapshot.Config.Accounts {
		accounts[a.Name] = a
	}
	for _, u := range l.Usage {
		if a := accounts[u.Account]; a != nil {
			r.accountBucket(a, now).Charge(u.Amount, u.Over, now, unresponsiveShare)
		}
	}
}

// recordCacheNotices applies cache notices of other hosts. The caller holds the mutex.
func (r *Router) recordCacheNotices(notices []balance.CacheNotice, targets map[string]*topology.Target, now time.Time) {
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
