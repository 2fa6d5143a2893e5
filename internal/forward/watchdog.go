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

	mu         sync.Mutex
	timer      *time.Timer
	startTimer *time.Timer
	responded  bool
	// aborted is the failure of an attempt that the watchdog has cancelled.
	aborted atomic.Pointer[failure]
}

// startWatchdog starts the watchdog of an attempt. A request that must not be retried
// waits until its deadline, but an unreachable target is recorded all the same.
func (r *Router) startWatchdog(c *call, p *plan, cancel context.CancelFunc) *watchdog {
	w := &watchdog{retryable: c.route.Kind.Retryable() && c.possibleExecutions+1 < c.route.MaxAttempts}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !p.latestStart.IsZero() {
		w.startTimer = time.AfterFunc(time.Until(p.latestStart), func() { w.withdraw(p, cancel) })
	}
	if c.route.LatencyObjective <= 0 || c.responseStarted {
		return w
	}
	wait := time.Duration(float64(c.route.LatencyObjective) * unresponsiveFactor)
	if !p.prefillDone.IsZero() {
		wait = max(wait, time.Until(p.prefillDone)+prefillMargin)
	}
	w.timer = time.AfterFunc(wait, func() { r.handleTimeout(c, p, w, cancel) })
	return w
}

// handleTimeout handles an attempt whose target has not begun to respond in time.
func (r *Router) handleTimeout(c *call, p *plan, w *watchdog, cancel context.CancelFunc) {
	unreachable := r.isUnreachable(p)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended() {
		return
	}
	if busy := time.Duration(float64(c.route.LatencyObjective)*busyFactor) - time.Since(p.sentAt); !unreachable && busy > 0 {
		w.timer.Reset(busy)
		return
	}
	if !w.retryable || !r.takeRetry(c, reasonNoResponse) {
		return
	}
	w.aborted.Store(timeoutFailure(c, p))
	cancel()
}

// withdraw ends an attempt that has not begun while the target's weights are recent
// enough. The request would otherwise leave the target's queue later and run on weights
// beyond the maximum staleness.
func (w *watchdog) withdraw(p *plan, cancel context.CancelFunc) {
	w.abort(&failure{
		status: http.StatusGatewayTimeout, reason: "the target did not begin before its weights were too old", retryAfter: outdatedRetryAfter,
		cause: errors.Errorf("target %s had weights %d and was sent the request %d ms before", p.target.ID, p.envelope.WeightsVersion, time.Since(p.sentAt).Milliseconds()),
	}, cancel)
}

// abort cancels an attempt with a failure, unless its target has begun to respond or it
// was cancelled with another failure.
func (w *watchdog) abort(f *failure, cancel context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended() {
		return
	}
	w.aborted.Store(f)
	cancel()
}

// ended reports whether the target has begun to respond or the attempt was cancelled. The
// caller holds the mutex.
func (w *watchdog) ended() bool { return w.responded || w.aborted.Load() != nil }

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
	if err := probe(p.target.Address); err != nil {
		r.Log.Info("target takes no connections", "target", p.target.ID, "address", p.target.Address, "error", err)
		r.recordUnreachable(p)
		return true
	}
	r.recordActivity(p)
	return false
}

// probe opens a connection to an address and closes it. It returns why none could be opened.
func probe(address string) error {
	conn, err := net.DialTimeout("tcp", address, probeTimeout)
	if err != nil {
		return errors.Wrapf(err, "connect to %s", address)
	}
	_ = conn.Close() // nothing was sent on it
	return nil
}

const reasonNoResponse = "target shows no sign of an answer"

// stop ends the watch once the target responds.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.responded = true
	for _, t := range [...]*time.Timer{w.timer, w.startTimer} {
		if t != nil {
			t.Stop()
		}
	}
}

// takeAbort returns the failure of an attempt that the watchdog has cancelled and excludes
// its target from further attempts of the call. It returns nil if the watchdog has not
// cancelled the attempt.
func (w *watchdog) takeAbort(c *call, p *plan) *failure {
	f := w.aborted.Load()
	if f != nil {
		c.tried[p.target.ID] = true
	}
	return f
}

// timeoutFailure returns the failure of an attempt whose target has not begun to respond
// in time. Its retry is already charged.
func timeoutFailure(c *call, p *plan) *failure {
	return &failure{
		status: http.StatusGatewayTimeout, reason: reasonNoResponse, retryCharged: true, retryAfter: noTargetRetryAfter,
		cause: errors.Errorf("target %s was sent the request %d ms after its arrival", p.target.ID, p.sentAt.Sub(c.started).Milliseconds()),
	}
}
