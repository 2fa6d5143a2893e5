package forward

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/message"
	"github.com/sequoiaroad/sequoiaroad/policy/backpressure"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

const (
	// sharingHostsInterval is the interval between updates of the hosts that share the
	// limits of targets.
	sharingHostsInterval = 100 * time.Millisecond
	// maxBackpressureRetryAfter bounds the retry hint while targets ask for fewer requests,
	// since they may need less relief by then.
	maxBackpressureRetryAfter = 5 * time.Second
)

// recordBackpressure records what the target asked for in a response.
func (r *Router) recordBackpressure(c *call, p *plan, response *message.Response) {
	if !isFromTarget(response, p) {
		return
	}
	stated := response.Backpressure
	r.mu.Lock()
	changed := r.pressure.Record(p.target.Incarnation(), stated, time.Now())
	r.mu.Unlock()
	if changed {
		c.log.Info("target's backpressure changed", "target", p.target.ID, "service", c.service.Name, "limited", stated.Limited,
			"rate_limit", stated.RateLimit, "retry_after_ms", stated.RetryAfter.Milliseconds(), "leaving", stated.Leaving)
	}
	if changed && stated.Leaving {
		r.clients.dropLeaving(p.target.Incarnation())
	}
}

// updateSharingHosts tells the table of backpressure which hosts share limits.
func (r *Router) updateSharingHosts() {
	r.mu.Lock()
	due := r.pressure.IsLimited() && time.Since(r.hostsUpdated) >= sharingHostsInterval
	r.mu.Unlock()
	if !due {
		return
	}
	hosts := r.Fleet.HostIDs()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pressure.SetHosts(hosts)
	r.hostsUpdated = time.Now()
}

// takePermit takes the permit to send a request to the planned target. It is called at the
// last moment, since the target may have asked for fewer requests after it was chosen.
func (r *Router) takePermit(c *call, p *plan) *failure {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.pressure.Take(p.target.Incarnation(), now) {
		return nil
	}
	c.tried[p.target.ID] = true
	f := r.backpressureFailure([]*topology.Target{p.target}, now)
	f.unsent = true
	return f
}

// backpressureFailure returns the failure of a request that is not sent because of what
// targets have asked for, or nil if they have asked for nothing. The caller holds the mutex.
func (r *Router) backpressureFailure(targets []*topology.Target, now time.Time) *failure {
	blocked, soonest := 0, maxBackpressureRetryAfter
	for _, t := range targets {
		wait, ok := r.pressure.MaySend(t.Incarnation(), now)
		if ok {
			continue
		}
		blocked++
		soonest = min(soonest, max(wait, noTargetRetryAfter))
	}
	if blocked == 0 {
		return nil
	}
	// Callers that are refused in the same interval must not all return at its end.
	f := notExecutedFailure(http.StatusServiceUnavailable, "all usable targets ask for fewer requests", soonest+rand.N(soonest))
	f.cause = errors.Errorf("%d of %d targets get no request now", blocked, len(targets))
	return f
}

// HandleLimits applies the limits of targets that other hosts report.
func (r *Router) HandleLimits(reports []backpressure.Report) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, report := range reports {
		if r.pressure.Apply(report, now) {
			r.Log.Info("a host reports the backpressure of a target", "target", report.Target.ID, "limited", report.Limited,
				"rate_limit", report.RateLimit, "age_ms", report.AgeMs, "leaving", report.Leaving)
			if report.Leaving {
				r.clients.dropLeaving(report.Target)
			}
		}
	}
}
