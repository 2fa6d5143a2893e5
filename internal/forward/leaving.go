package forward

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

// departure returns how the entry of a target that was chosen earlier says by now that the
// target leaves or has ended, or "" if it does not.
func (r *Router) departure(t *topology.Target) string {
	current := r.View.Snapshot().Targets[t.ID]
	switch {
	case current == nil:
		return "its entry is gone"
	case !current.SameIncarnation(t):
		return "its entry is of another incarnation"
	case current.Leaving:
		return "its entry says that it leaves"
	}
	return ""
}

// checkDeparture returns the failure of a request whose target has left since it was chosen,
// or nil. It is called just before the request is sent.
func (r *Router) checkDeparture(c *call, p *plan) *failure {
	why := r.departure(p.target)
	if why == "" {
		return nil
	}
	return departureFailure(c, p, why)
}

// departureFailure returns the failure of a request that is not sent because its target
// leaves. Another target can take it at once.
func departureFailure(c *call, p *plan, why string) *failure {
	c.tried[p.target.ID] = true
	f := notExecutedFailure(http.StatusServiceUnavailable, "the target left before the request was sent", noTargetRetryAfter)
	f.unsent = true
	f.cause = errors.Errorf("target %s, %d ms after it was chosen: %s", p.target.ID, time.Since(p.sentAt).Milliseconds(), why)
	return f
}
