package forward

import (
	"time"

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

// logDeparture logs a request that is sent to a target although its entry says by now that
// it leaves.
func (r *Router) logDeparture(c *call, p *plan) {
	if why := r.departure(p.target); why != "" {
		c.log.Warn("request is sent to a target that leaves", "target", p.target.ID, "reason", why, "waited_ms", time.Since(p.sentAt).Milliseconds())
	}
}
