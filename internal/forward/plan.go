package forward

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/sequoiaroad/sequoiaroad/internal/message"
	"github.com/sequoiaroad/sequoiaroad/policy/balance"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

// renotifyInterval is the age after which the use of a cached part is announced again.
const renotifyInterval = 3 * time.Second

// minNotifiedPrefillMs is the prefill time from which peers are notified at once, so
// that they don't queue requests behind a long prompt.
const minNotifiedPrefillMs = 15

// plan describes one attempt to send a request.
type plan struct {
	target   *topology.Target
	envelope message.Envelope
	client   *client
	// prefillDone is when the target is expected to have completed the prefill.
	prefillDone time.Time
	sentAt      time.Time
	prompt      *balance.Prompt
	// tooOutdated is the number of targets whose weights exceed the maximum staleness.
	tooOutdated int
	// latestStart is when the target must have begun, so that its weights don't exceed
	// the maximum staleness; zero if there is no such bound.
	latestStart time.Time
	// free ends the load that the attempt is at its target. It may be called several times.
	free func()
}

// planAttempt chooses a target and builds the envelope for it.
func (r *Router) planAttempt(c *call) (*plan, *failure) {
	if f := r.checkQuarantine(c); f != nil {
		return nil, f
	}
	s := r.View.Snapshot()
	targets := s.ByService[c.service.Name]
	hosts, _ := r.Fleet.CountHosts()
	r.updateSharingHosts()
	prompt := r.newPrompt(c)
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &plan{prompt: prompt, sentAt: now, envelope: message.Envelope{Priority: c.route.Priority, LastEventID: c.lastEventID}}
	if c.account != nil {
		p.envelope.Account = c.account.Name
		if c.account.Priority != nil {
			p.envelope.Priority = *c.account.Priority
		}
	}
	if p.prompt != nil {
		r.planPrompt(c, p, targets, now)
	} else {
		p.target = r.balancer.PickPlain(targets, c.tried, len(c.body), now)
		p.envelope.Priority = message.NoPriority
	}
	if p.target == nil {
		if f := r.backpressureFailure(targets, now); f != nil {
			return nil, f
		}
		return nil, noTargetFailure(len(targets), p.tooOutdated)
	}
	p.envelope.TargetID = p.target.ID
	if remaining := r.remaining(c, now); remaining > 0 {
		p.envelope.Timeout = remaining
	}
	p.client = r.clients.get(p.target, c.service.MaxConnections/max(1, hosts))
	r.balancer.Begin(p.target)
	p.free = sync.OnceFunc(func() { r.endAttempt(p) })
	return p, nil
}

// remaining returns the time left until the deadline; zero means no deadline.
func (r *Router) remaining(c *call, now time.Time) time.Duration {
	if c.deadline.IsZero() {
		return 0
	}
	return max(time.Millisecond, c.deadline.Sub(now))
}

func (r *Router) planPrompt(c *call, p *plan, targets []*topology.Target, now time.Time) {
	choice := r.balancer.Pick(p.prompt, targets, c.tried, now)
	p.target, p.tooOutdated = choice.Target, choice.TooOutdated
	if p.target == nil {
		return
	}
	p.prefillDone = r.balancer.AddPrefill(p.target, choice.PrefillMs, now)
	p.latestStart = choice.LatestStart
	p.envelope.WeightsVersion = choice.WeightsVersion
	p.envelope.CacheSalt = balance.Salt(choice.WeightsVersion, p.prompt.CacheScope)
	p.envelope.FetchFrom, p.envelope.SaveTo = choice.FetchFrom, choice.SaveTo
	r.recordCached(p.prompt, &choice, now)
	c.log.Info("target chosen", "route", c.route.Name, "account", p.envelope.Account, "config", c.config.Version, "target", p.target.ID, "cost_ms", int(choice.CostMs),
		"uncached", choice.UncachedTokens, "reads", choice.PrefillsShared, "fetch", choice.FetchFrom, "save", choice.SaveTo != "", "prefix", strconv.FormatUint(uint64(choice.PrefixKey), 16), "shared", p.prompt.SharedTokens(), "total", p.prompt.TotalTokens(), "weights", choice.WeightsVersion, "wanted", p.prompt.DesiredWeights.Version, "outdated_ms", choice.OutdatedFor.Milliseconds())
	r.metrics.recordOutdatedWeights(c, choice.OutdatedFor)
}

// newPrompt returns what the choice of a target needs to know of a prompt; nil if the service
// has no engines.
func (r *Router) newPrompt(c *call) *balance.Prompt {
	if c.service.Engine == nil {
		return nil
	}
	prompt := &balance.Prompt{
		Model: c.meta.Model, BodyBytes: len(c.body), Engine: c.service.Engine, SampleSeed: rand.Uint64() | 1, CacheScope: c.config.CacheScope(c.account),
	}
	parts := make([]balance.Part, 0, len(c.meta.Parts))
	for _, part := range c.meta.Parts {
		parts = append(parts, balance.Part(part))
	}
	prompt.Parts = balance.FoldParts(parts)
	prompt.DesiredWeights, prompt.MaxStaleness = r.View.Snapshot().DesiredWeights[prompt.Model], r.MaxWeightsStaleness
	if store := c.config.KVStore(); store != nil {
		prompt.StoreAddress, prompt.StoreZone = store.StoreAddress, store.StoreZone
	}
	return prompt
}

// recordCached records the parts that the target will have cached, and notifies peers
// that may not have recorded them.
func (r *Router) recordCached(prompt *balance.Prompt, choice *balance.Choice, now time.Time) {
	keys := prompt.Keys(choice.WeightsVersion)
	notice := balance.CacheNotice{Keys: keys, TargetID: choice.Target.ID, SavedToStore: choice.SaveTo != ""}
	if choice.PrefillMs >= minNotifiedPrefillMs {
		notice.PrefillMs = choice.PrefillMs
	}
	r.balancer.RecordCacheNotice(notice, now)
	r.sweepNotified(now)
	id := notifiedKey{choice.PrefixKey, choice.Target.ID}
	if notice.PrefillMs == 0 && !notice.SavedToStore && (!prompt.IsSharedWidely() || now.Sub(r.notified[id]) < renotifyInterval) {
		return
	}
	r.notified[id] = now
	r.Fleet.QueueCacheNotice(notice)
}

func (r *Router) sweepNotified(now time.Time) {
	if now.Sub(r.lastSweep) < renotifyInterval {
		return
	}
	r.lastSweep = now
	for id, at := range r.notified {
		if now.Sub(at) >= renotifyInterval {
			delete(r.notified, id)
		}
	}
}
