package forward

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/policy/quarantine"
)

// maxSends bounds how often one request is sent, including rejected attempts. During a
// rollout of weights, several engines in a row may reject a request.
const maxSends = 5

// failure describes why a request has no successful response of a target.
type failure struct {
	status int
	reason string
	cause  error
	// notExecuted means that no target executed the request and none will.
	notExecuted bool
	// retryCharged means that the retry was already taken from the retry budget.
	retryCharged bool
	// final means that the request must not be retried.
	final bool
	// unsent means that no byte of this attempt reached a target.
	unsent bool
	// response is the error response of a target that executed the request, or nil.
	response *bufferedResponse
	// retryAfter is the delay after which the caller may retry; zero sends no hint. It is
	// not sent if a target may have executed the request.
	retryAfter time.Duration
	// began means that the target had begun to respond, without an event of a stream.
	began bool
	// brokenOff means that the connection to the target ended before the answer was complete.
	brokenOff bool
	// closeConn means that the caller's connection can't be reused.
	closeConn bool
}

// notExecutedFailure returns the failure of a request that no target executed.
func notExecutedFailure(status int, reason string, retryAfter time.Duration) *failure {
	return &failure{status: status, reason: reason, notExecuted: true, retryAfter: retryAfter}
}

// noTargetFailure returns the failure of a request for which no target is usable.
func noTargetFailure(targets, tooOutdated int) *failure {
	f := notExecutedFailure(http.StatusServiceUnavailable, "no target is usable", noTargetRetryAfter)
	f.cause = errors.Errorf("of %d targets, %d have weights beyond the maximum staleness", targets, tooOutdated)
	if tooOutdated > 0 {
		f.reason, f.retryAfter = "all usable targets have outdated weights", outdatedRetryAfter
	}
	return f
}

// promisesNotExecuted reports whether a status tells the caller that the request was not
// executed and never will be.
func promisesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// mayRetry decides whether a request is retried after a failure.
func (r *Router) mayRetry(ctx context.Context, c *call, f *failure) bool {
	if ctx.Err() != nil || c.sends >= maxSends || f.final {
		return false
	}
	if f.brokenOff && r.Quarantine.Suspected(c.parts) {
		return false
	}
	if len(c.trials) > 0 && !f.notExecuted { // one target at most
		return false
	}
	if !f.notExecuted && (!c.route.Kind.Retryable() || c.possibleExecutions >= c.route.MaxAttempts) {
		return false
	}
	return f.unsent || f.retryCharged || r.takeRetry(c, f.reason)
}

// takeRetry takes one retry from the retry budget of the service.
func (r *Router) takeRetry(c *call, reason string) bool {
	hosts, _ := r.Fleet.CountHosts()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.budget(c.service.Name).Allow(time.Now(), hosts) {
		return true
	}
	c.log.Info("retry budget exhausted", "service", c.service.Name, "after", reason)
	return false
}

// finishFailed sends the final response to a request that no target completed
// successfully.
func (r *Router) finishFailed(c *call, f *failure) {
	if c.responseStarted {
		r.logFailure(c, "stream broke off", f)
		panic(http.ErrAbortHandler)
	}
	if f.response != nil {
		r.logFailure(c, "relaying the target's error response", f)
		r.relayBuffered(c, f.response)
		return
	}
	if c.possibleExecutions > 0 || !f.notExecuted {
		f.notExecuted, f.retryAfter = false, 0
		if promisesNotExecuted(f.status) {
			f.status = http.StatusBadGateway
		}
		r.refuse(c, f)
		return
	}
	r.refund(c)
	r.refuse(c, f)
}

func (r *Router) logFailure(c *call, message string, f *failure) {
	args := []any{"reason", f.reason, "status", f.status, "proven_not_run", f.notExecuted,
		"sends", c.sends, "elapsed_ms", time.Since(c.started).Milliseconds()}
	if c.route != nil {
		args = append(args, "route", c.route.Name)
	}
	if f.began {
		args = append(args, "response_began", true, "parts", strings.Join(quarantine.Summarize(c.parts), " "))
	}
	if c.account != nil {
		args = append(args, "account", c.account.Name)
	}
	if c.config != nil {
		args = append(args, "config", c.config.Version)
	}
	if f.cause != nil {
		args = append(args, "error", f.cause)
	}
	c.log.Info(message, args...)
}

// refuse responds to the caller with an error of this host.
func (r *Router) refuse(c *call, f *failure) {
	if c.req.Context().Err() != nil {
		r.logFailure(c, "caller closed the connection", f)
		panic(http.ErrAbortHandler)
	}
	r.logFailure(c, "request refused", f)
	r.metrics.recordRefusal(c, f)
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	if f.closeConn {
		h.Set("Connection", "close")
	}
	if f.retryAfter > 0 {
		seconds := math.Ceil(f.retryAfter.Seconds()*100) / 100
		h.Set("Retry-After", strconv.FormatFloat(seconds, 'f', -1, 64))
	}
	body, err := json.Marshal(map[string]string{"error": f.reason})
	if err != nil {
		c.log.Error("failed to encode the refusal", "error", err)
		body = nil
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(f.status)
	if _, err := c.w.Write(body); err != nil {
		c.log.Debug("failed to write the refusal", "error", err)
	}
}
