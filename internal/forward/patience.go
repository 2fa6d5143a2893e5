package forward

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// silentShare of the latency objective is how long a request waits for a target
	// that has shown no sign of life since; another one can then still answer in time.
	silentShare = 0.5
	// busyShare is how long a repeatable request waits for a target that answers
	// other requests.
	busyShare = 2.0
	// readPatience is added to the time at which the prompt should be read.
	readPatience = 150 * time.Millisecond
	// checkTimeout is how long a target may take to accept a connection.
	checkTimeout = 250 * time.Millisecond
)

// patience watches an attempt until its target shows a sign of an answer.
type patience struct {
	// repeatable says that another target may run the request.
	repeatable bool

	mu    sync.Mutex
	timer *time.Timer
	begun bool
	// fired says that the attempt was ended and its repetition is paid for.
	fired atomic.Bool
}

// await starts the patience of an attempt. A request that may not be repeated waits
// for its target as long as it has time, but a silent target is noted all the same.
func (r *Router) await(c *call, p *plan, cancel context.CancelFunc) *patience {
	w := &patience{repeatable: c.route.Kind.Retryable() && c.runs+1 < c.route.MaxAttempts}
	if c.route.LatencyObjective <= 0 || c.relayed {
		return w
	}
	wait := time.Duration(float64(c.route.LatencyObjective) * silentShare)
	if !p.read.IsZero() {
		wait = max(wait, time.Until(p.read)+readPatience)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(wait, func() { r.overlong(c, p, w, cancel) })
	return w
}

// overlong handles an attempt that shows no sign of an answer.
func (r *Router) overlong(c *call, p *plan, w *patience, cancel context.CancelFunc) {
	silent := r.isSilent(p)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.begun {
		return
	}
	if busy := time.Duration(float64(c.route.LatencyObjective)*busyShare) - time.Since(p.sent); !silent && busy > 0 {
		w.timer.Reset(busy)
		return
	}
	if !w.repeatable || !r.payRepeat(c, reasonOverlong) {
		return
	}
	w.fired.Store(true)
	cancel()
}

// isSilent finds out whether a target that has shown no sign of life since an attempt
// still takes connections. One that reads a long prompt does. Without this check,
// targets that were only busy were avoided, which made the others busy too.
func (r *Router) isSilent(p *plan) bool {
	r.mu.Lock()
	silent := r.balancer.UnresponsiveSince(p.target, p.sent)
	r.mu.Unlock()
	if !silent {
		return false
	}
	conn, err := net.DialTimeout("tcp", p.target.Address, checkTimeout)
	if err != nil {
		r.Log.Info("target takes no connections", "target", p.target.ID, "address", p.target.Address, "error", err)
		r.unreachable(p)
		return true
	}
	if err := conn.Close(); err != nil {
		r.Log.Debug("connection for a check was not closed", "target", p.target.ID, "error", err)
	}
	r.heard(p)
	return false
}

const reasonOverlong = "target shows no sign of an answer"

// stop ends the wait: the target answers.
func (w *patience) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.begun = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *patience) ended() bool { return w.fired.Load() }

// overdue is the failure of an attempt that patience ended.
func (r *Router) overdue(c *call, p *plan) *failure {
	c.tried[p.target.ID] = true
	c.runs++
	return &failure{
		status: http.StatusGatewayTimeout, reason: reasonOverlong, paid: true,
		cause: errors.Errorf("target %s was sent the request %d ms after its arrival", p.target.ID, p.sent.Sub(c.started).Milliseconds()),
	}
}
