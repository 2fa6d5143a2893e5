package forward

import (
	"time"

	"github.com/sequoiaroad/sequoiaroad/internal/message"
	"github.com/sequoiaroad/sequoiaroad/policy/backpressure"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

func incarnation(t *topology.Target) backpressure.Target {
	return backpressure.Target{ID: t.ID, Started: t.Started}
}

// recordBackpressure records what the target asked for in a response.
func (r *Router) recordBackpressure(c *call, p *plan, response *message.Response) {
	if !isFromTarget(response, p) {
		return
	}
	stated := response.Backpressure
	r.mu.Lock()
	changed := r.pressure.Record(incarnation(p.target), stated, time.Now())
	r.mu.Unlock()
	if changed {
		c.log.Info("target's backpressure changed", "target", p.target.ID, "service", c.service.Name, "limited", stated.Limited,
			"rate_limit", stated.RateLimit, "retry_after_ms", stated.RetryAfter.Milliseconds(), "leaving", stated.Leaving)
	}
}
