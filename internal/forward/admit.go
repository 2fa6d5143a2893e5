package forward

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/policy/ratelimit"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

// admit resolves the route and the client account of a request, reads its body and
// charges its cost to the account's limit.
func (r *Router) admit(c *call) *failure {
	if f := r.checkStopped(); f != nil {
		return f
	}
	s := r.View.Snapshot()
	if s.Config == nil {
		return notExecutedFailure(http.StatusServiceUnavailable, "no configuration is known yet", noConfigRetryAfter)
	}
	c.config = s.Config
	c.route = s.Config.Route(c.req.Host, c.req.URL.Path)
	if c.route == nil {
		return notExecutedFailure(http.StatusNotFound, "no route matches", 0)
	}
	if s.Config.KeysRequired && !c.route.Public {
		if c.account = s.Config.Account(c.meta.ClientKey); c.account == nil {
			return notExecutedFailure(http.StatusUnauthorized, "the key is unknown", 0)
		}
	}
	if f := r.readBody(c); f != nil {
		return f
	}
	if f := r.checkStopped(); f != nil { // the body may have taken long
		return f
	}
	c.service = s.Config.Services[c.route.Pick(rand.Float64())]
	if c.service == nil {
		return notExecutedFailure(http.StatusServiceUnavailable, "the route's service is unknown", noTargetRetryAfter)
	}
	if limit := shorter(c.meta.Timeout, c.route.Timeout); limit > 0 {
		c.deadline = c.started.Add(limit)
	}
	return r.chargeAccount(c)
}

// checkStopped returns the failure of a request that comes too late in a planned stop, or
// nil. Another host can take it.
func (r *Router) checkStopped() *failure {
	if !r.admissionStopped.Load() {
		return nil
	}
	return notExecutedFailure(http.StatusServiceUnavailable, "the host stops", stoppedRetryAfter)
}

// shorter returns the shorter of two time limits; zero means no limit.
func shorter(a, b time.Duration) time.Duration {
	if a <= 0 || b > 0 && b < a {
		return b
	}
	return a
}

func (r *Router) readBody(c *call) *failure {
	limit := int64(c.config.Limits.BodyBytes)
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if c.req.ContentLength > limit {
		return &failure{status: http.StatusRequestEntityTooLarge, reason: "the body is too large", notExecuted: true, closeConn: true}
	}
	if c.req.Body == http.NoBody {
		return nil
	}
	if !r.reserveBody(c, max(0, c.req.ContentLength)) {
		return tooManyBodies()
	}
	r.setReadDeadline(c, time.Now().Add(bodyTimeout))
	var buffer bytes.Buffer
	if c.req.ContentLength > 0 {
		buffer.Grow(int(c.req.ContentLength) + bytes.MinRead)
	}
	n, err := buffer.ReadFrom(io.LimitReader(reservingReader{r, c}, limit+1))
	if err == nil && n <= limit {
		r.setReadDeadline(c, time.Time{})
		c.body = buffer.Bytes()
		return nil
	}
	// net/http must not wait for the rest of the body before it sends the refusal.
	r.setReadDeadline(c, time.Now())
	switch {
	case errors.Is(err, errTooManyBodies):
		f := tooManyBodies()
		f.closeConn = true
		return f
	case err != nil:
		return &failure{status: http.StatusBadRequest, reason: "the body was not read", cause: err, notExecuted: true, closeConn: true}
	}
	return &failure{status: http.StatusRequestEntityTooLarge, reason: "the body is too large", notExecuted: true, closeConn: true}
}

// errTooManyBodies means that the host holds as many bytes of bodies as it may.
var errTooManyBodies = errors.New("the bodies in memory exceed their bound")

func tooManyBodies() *failure {
	return notExecutedFailure(http.StatusServiceUnavailable, "the host holds too many bodies", noTargetRetryAfter)
}

// reserveBody reserves memory for bytes of a body before they are read, since many bodies may
// be on their way at the same time. It returns false if too much is reserved. Large bodies may
// not use all of the bound, so that callers that send them slowly keep no small one out.
func (r *Router) reserveBody(c *call, bytes int64) bool {
	limit := r.MemoryBytes / bodyMemoryDivisor
	if c.reservedBytes+bytes > smallBodyBytes {
		limit = limit / 4 * 3
	}
	reserved := r.bufferedBytes.Add(bytes)
	if r.MemoryBytes > 0 && reserved > limit {
		r.bufferedBytes.Add(-bytes)
		return false
	}
	c.reservedBytes += bytes
	return true
}

// reservingReader reads the body of a call and reserves memory for what exceeds the length
// stated in advance, as for a body in chunks.
type reservingReader struct {
	router *Router
	call   *call
}

func (r reservingReader) Read(p []byte) (int, error) {
	// The reader of chunks returns only once p is full or the chunk ends.
	n, err := r.call.req.Body.Read(p[:min(len(p), bodyReadBytes)])
	r.call.readBytes += int64(n)
	missing := r.call.readBytes - r.call.reservedBytes
	if missing > 0 && !r.router.reserveBody(r.call, missing) {
		return n, errTooManyBodies
	}
	return n, err
}

func (r *Router) setReadDeadline(c *call, t time.Time) {
	if err := http.NewResponseController(c.w).SetReadDeadline(t); err != nil {
		c.log.Debug("failed to set the read deadline", "error", err)
	}
}

// chargeAccount charges the cost of a request to the account's limit.
func (r *Router) chargeAccount(c *call) *failure {
	if c.account == nil {
		return nil
	}
	c.cost = 1
	if c.account.CountsTokens {
		c.cost = c.account.DefaultTokens
		if c.meta.HasTokens {
			c.cost = float64(c.meta.Tokens)
		}
	}
	_, unresponsiveShare := r.Fleet.CountHosts()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	b := r.accountBucket(c.account, now)
	if wait, ok := b.Take(now, c.cost, unresponsiveShare); !ok {
		f := notExecutedFailure(http.StatusTooManyRequests, "the client account is over its limit", wait)
		f.cause = errors.Errorf("cost %.0f, level %.0f, rate %.0f, burst %.0f, share of unresponsive hosts %.2f",
			c.cost, b.Level(), c.account.Rate, c.account.Burst, unresponsiveShare)
		c.cost = 0
		return f
	}
	return nil
}

func (r *Router) accountLimits(a *topology.Account) ratelimit.Limits {
	return ratelimit.Limits{Rate: a.Rate, Burst: a.Burst, Slack: r.UsageSlack}
}

func (r *Router) accountBucket(a *topology.Account, now time.Time) *ratelimit.Bucket {
	b := r.buckets[a.Name]
	if b == nil {
		b = ratelimit.NewBucket(r.accountLimits(a), now)
		r.buckets[a.Name] = b
	}
	return b
}

// refund returns the cost of a request that was not executed to its account.
func (r *Router) refund(c *call) {
	if c.account == nil || c.cost == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accountBucket(c.account, time.Now()).Refund(c.cost)
	c.cost = 0
}
