package forward

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/sequoiaroad/sequoiaroad/internal/message"
	"github.com/sequoiaroad/sequoiaroad/policy/balance"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

// retell is the age from which the use of a cached part is told to peers again.
const retell = 3 * time.Second

// tellReading is the reading time in ms from which peers are told at once, so that
// they don't send requests behind a long prompt.
const tellReading = 15

// plan is one sending of a request.
type plan struct {
	target   *topology.Target
	envelope message.Envelope
	client   *client
	// read is when the target is expected to have read the prompt.
	read   time.Time
	sent   time.Time
	prompt *balance.Prompt
}

// plan chooses a target.
func (r *Router) plan(c *call) (*plan, *failure) {
	s := r.View.Snapshot()
	targets := s.ByService[c.service.Name]
	hosts, _ := r.Fleet.Shares()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &plan{sent: now, envelope: message.Envelope{Priority: c.route.Priority, LastEventID: c.lastEventID}}
	if c.account != nil {
		p.envelope.Account = c.account.Name
		if c.account.Priority != nil {
			p.envelope.Priority = *c.account.Priority
		}
	}
	if c.service.Engine != nil {
		r.planPrompt(c, p, targets, now)
	} else {
		p.target = r.balancer.PickPlain(targets, c.tried, len(c.body), now)
		p.envelope.Priority = message.NoPriority
	}
	if p.target == nil {
		return nil, notRun(http.StatusServiceUnavailable, "no target is usable", noTargetRetry)
	}
	p.envelope.TargetID = p.target.ID
	if left := r.left(c, now); left > 0 {
		p.envelope.Timeout = left
	}
	p.client = r.clients.get(p.target, c.service.MaxConnections/max(1, hosts))
	r.balancer.Begin(p.target)
	return p, nil
}

// left is the time that the caller and the route still give.
func (r *Router) left(c *call, now time.Time) time.Duration {
	if c.ends.IsZero() {
		return 0
	}
	return max(time.Millisecond, c.ends.Sub(now))
}

func (r *Router) planPrompt(c *call, p *plan, targets []*topology.Target, now time.Time) {
	p.prompt = r.prompt(c)
	choice := r.balancer.Pick(p.prompt, targets, c.tried, now)
	p.target = choice.Target
	if p.target == nil {
		return
	}
	p.read = r.balancer.AddPrefill(p.target, choice.PrefillMs, now)
	p.envelope.WeightsVersion = choice.WeightsVersion
	p.envelope.CacheSalt = balance.Salt(choice.WeightsVersion, p.prompt.IsolatedAccount)
	p.envelope.FetchFrom, p.envelope.SaveTo = choice.FetchFrom, choice.SaveTo
	r.noteCached(p.prompt, &choice, now)
	c.log.Info("target chosen", "route", c.route.Name, "account", p.envelope.Account, "config", c.config.Version, "target", p.target.ID, "cost_ms", int(choice.CostMs),
		"uncached", choice.UncachedTokens, "reads", choice.PrefillsShared, "fetch", choice.FetchFrom, "save", choice.SaveTo != "", "prefix", strconv.FormatUint(uint64(choice.PrefixKey), 16), "shared", p.prompt.SharedTokens(), "total", p.prompt.TotalTokens(), "weights", choice.WeightsVersion, "wanted", p.prompt.DesiredWeights.Version)
}

func (r *Router) prompt(c *call) *balance.Prompt {
	q := &balance.Prompt{Model: c.meta.Model, BodyBytes: len(c.body), Engine: c.service.Engine, SampleSeed: rand.Uint64() | 1}
	if c.account != nil && c.account.Isolated {
		q.IsolatedAccount = c.account.Name
	}
	for _, part := range c.meta.Parts {
		q.Parts = append(q.Parts, balance.Part(part))
	}
	q.DesiredWeights, q.MaxStaleness = r.View.Snapshot().Wanted[q.Model], r.WeightsBound
	if store := c.config.KVStore(); store != nil {
		q.StoreAddress, q.StoreZone = store.StoreAddress, store.StoreZone
	}
	return q
}

// noteCached notes what the target will have cached, and tells peers what they may not
// know.
func (r *Router) noteCached(q *balance.Prompt, choice *balance.Choice, now time.Time) {
	keys := q.Keys(choice.WeightsVersion)
	s := balance.CacheNotice{Keys: keys, TargetID: choice.Target.ID, SavedToStore: choice.SaveTo != ""}
	if choice.PrefillMs >= tellReading {
		s.PrefillMs = choice.PrefillMs
	}
	r.balancer.RecordCacheNotice(s, now)
	r.sweepTold(now)
	id := toldKey{choice.PrefixKey, choice.Target.ID}
	if s.PrefillMs == 0 && !s.SavedToStore && (len(keys) == 0 || now.Sub(r.told[id]) < retell) {
		return
	}
	r.told[id] = now
	r.Fleet.Tell(s)
}

func (r *Router) sweepTold(now time.Time) {
	if now.Sub(r.swept) < retell {
		return
	}
	r.swept = now
	for id, at := range r.told {
		if now.Sub(at) >= retell {
			delete(r.told, id)
		}
	}
}
