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
	// unresponsiveFactor times the latency objective is how long a request waits for a
	// target that has sent nothing since the request was sent; another target can then
	// still respond in time.
	unresponsiveFactor = 0.5
	// busyFactor times the latency objective is how long a retryable request waits for
	// a target that responds to other requests.
	busyFactor = 2.0
	// prefillMargin is added to the expected end of the prefill.
	prefillMargin = 150 * time.Millisecond
	// probeTimeout bounds how long a target may take to accept a connection.
	probeTimeout = 250 * time.Millisecond
)

// watchdog aborts an attempt whose target does not begin to respond in time.
type watchdog struct {
	// retryable means that another target may execute the request.
	retryable bool

	mu        sync.Mutex
	timer     *time.Timer
	responded bool
	// aborted means that the attempt was cancelled and its retry charged to the budget.
	aborted atomic.Bool
}

// startWatchdog starts the watchdog of an attempt. A request that must not be retried
// waits until its deadline, but an unreachable target is recorded all the same.
func (r *Router) startWatchdog(c *call, p *plan, cancel context.CancelFunc) *watchdog {
	w := &watchdog{retryable: c.route.Kind.Retryable() && c.possibleExecutions+1 < c.route.MaxAttempts}
	if c.route.LatencyObjective <= 0 || c.responseStarted {
		return w
	}
	wait := time.Duration(float64(c.route.LatencyObjective) * unresponsiveFactor)
	if !p.prefillDone.IsZero() {
		wait = max(wait, time.Until(p.prefillDone)+prefillMargin)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(wait, func() { r.handleTimeout(c, p, w, cancel) })
	return w
}

// handleTimeout handles an attempt whose target has not begun to respond in time.
func (r *Router) handleTimeout(c *call, p *plan, w *watchdog, cancel context.CancelFunc) {
	unreachable := r.isUnreachable(p)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.responded {
		return
	}
	if busy := time.Duration(float64(c.route.LatencyObjective)*busyFactor) - time.Since(p.sentAt); !unreachable && busy > 0 {
		w.timer.Reset(busy)
		return
	}
	if !w.retryable || !r.takeRetry(c, reasonNoResponse) {
		return
	}
	w.aborted.Store(true)
	cancel()
}

// isUnreachable reports whether a target that has sent nothing since the attempt began
// also accepts no connections, and records the result. A target that computes a long
// prefill accepts them. Without this check, targets that were only busy were ejected,
// which made the others busy too.
func (r *Router) isUnreachable(p *plan) bool {
	r.mu.Lock()
	unresponsive := r.balancer.UnresponsiveSince(p.target, p.sentAt)
	r.mu.Unlock()
	if !unresponsive {
		return false
	}
	conn, err := net.DialTimeout("tcp", p.target.Address, probeTimeout)
	if err != nil {
		r.Log.Info("target takes no connections", "target", p.target.ID, "address", p.target.Address, "error", err)
		r.recordUnreachable(p)
		return true
	}
	if err := conn.Close(); err != nil {
		r.Log.Debug("failed to close the probe connection", "target", p.target.ID, "error", err)
	}
	r.recordActivity(p)
	return false
}

const reasonNoResponse = "target shows no sign of an answer"

// stop ends the watch once the target responds.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.responded = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *watchdog) hasAborted() bool { return w.aborted.Load() }

// timeoutFailure returns the failure of an attempt that the watchdog aborted.
func (r *Router) timeoutFailure(c *call, p *plan) *failure {
	c.tried[p.target.ID] = true
	c.possibleExecutions++
	return &failure{
		status: http.StatusGatewayTimeout, reason: reasonNoResponse, retryCharged: true,
		cause: errors.Errorf("target %s was sent the request %d ms after its arrival", p.target.ID, p.sentAt.Sub(c.started).Milliseconds()),
	}
}
