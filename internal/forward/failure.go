package forward

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// maxSends bounds how often one request is sent, rejected sends included. While weights
// are rolled out, several engines in a row may reject a request.
const maxSends = 5

// failure says why a request has no answer of a target.
type failure struct {
	status int
	reason string
	cause  error
	// proven says that no target ran the request and none will.
	proven bool
	// paid says that the repetition was already taken from the retry budget.
	paid bool
	// unsent says that no byte of this attempt reached a target.
	unsent bool
	// answered says that a target ran the request and answered with a failure.
	answered *bufferedAnswer
	// retryAfter is when the caller may come back; zero says nothing.
	retryAfter time.Duration
	// close says that the connection can't be used any more.
	close bool
}

// notRun returns a refusal of a request that no target ran.
func notRun(status int, reason string, retryAfter time.Duration) *failure {
	return &failure{status: status, reason: reason, proven: true, retryAfter: retryAfter}
}

// mayRepeat decides whether a request is sent again after a failure.
func (r *Router) mayRepeat(ctx context.Context, c *call, f *failure) bool {
	if ctx.Err() != nil || c.sends >= maxSends {
		return false
	}
	if !f.proven && (!c.route.Kind.Retryable() || c.runs >= c.route.MaxAttempts) {
		return false
	}
	return f.unsent || f.paid || r.payRepeat(c, f.reason)
}

// payRepeat takes one repetition from the retry budget.
func (r *Router) payRepeat(c *call, reason string) bool {
	hosts, _ := r.Fleet.Shares()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.budget(c.service.Name).Allow(time.Now(), hosts) {
		return true
	}
	c.log.Info("retry budget is used up", "service", c.service.Name, "after", reason)
	return false
}

// finish gives the caller the final answer of a request that no target answered with
// success.
func (r *Router) finish(c *call, f *failure) {
	if c.relayed {
		r.log(c, "stream broke off", f)
		panic(http.ErrAbortHandler)
	}
	if f.answered != nil {
		r.log(c, "target's failure is relayed", f)
		r.relayBuffered(c, f.answered)
		return
	}
	if c.runs > 0 || !f.proven {
		f.proven, f.retryAfter = false, 0
		if f.status == http.StatusServiceUnavailable || f.status == http.StatusTooManyRequests {
			f.status = http.StatusBadGateway
		}
		r.refuse(c, f)
		return
	}
	r.refund(c)
	r.refuse(c, f)
}

func (r *Router) log(c *call, what string, f *failure) {
	args := []any{"reason", f.reason, "status", f.status, "proven_not_run", f.proven,
		"sends", c.sends, "elapsed_ms", time.Since(c.started).Milliseconds()}
	if c.route != nil {
		args = append(args, "route", c.route.Name)
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
	c.log.Info(what, args...)
}

// refuse answers with a failure of the host's own.
func (r *Router) refuse(c *call, f *failure) {
	if c.in.Context().Err() != nil {
		r.log(c, "caller left", f)
		panic(http.ErrAbortHandler)
	}
	r.log(c, "request refused", f)
	r.measures.refused(c, f)
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	if f.close {
		h.Set("Connection", "close")
	}
	if f.retryAfter > 0 {
		seconds := math.Ceil(f.retryAfter.Seconds()*100) / 100
		h.Set("Retry-After", strconv.FormatFloat(seconds, 'f', -1, 64))
	}
	body, err := json.Marshal(map[string]string{"error": f.reason})
	if err != nil {
		c.log.Error("refusal was not encoded", "error", err)
		body = nil
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(f.status)
	if _, err := c.w.Write(body); err != nil {
		c.log.Debug("refusal was not delivered", "error", err)
	}
}
