package forward

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/policy/topology"
	"github.com/sequoiaroad/sequoiaroad/policy/usage"
)

// admit resolves route and account, reads the body and takes the cost from the
// account's limit.
func (r *Router) admit(c *call) *failure {
	if r.stopped.Load() {
		return notRun(http.StatusServiceUnavailable, "the host stops", stoppedRetry)
	}
	s := r.View.Snapshot()
	if s.Config == nil {
		return notRun(http.StatusServiceUnavailable, "no configuration is known yet", noConfigRetry)
	}
	c.config = s.Config
	c.route = s.Config.Route(c.in.Host, c.in.URL.Path)
	if c.route == nil {
		return notRun(http.StatusNotFound, "no route matches", 0)
	}
	if s.Config.KeysRequired() && !c.route.Public {
		if c.account = s.Config.Account(c.meta.ClientKey); c.account == nil {
			return notRun(http.StatusUnauthorized, "the key is unknown", 0)
		}
	}
	if f := r.readBody(c); f != nil {
		return f
	}
	c.service = s.Config.Services[c.route.Pick(rand.Float64())]
	if c.service == nil {
		return notRun(http.StatusServiceUnavailable, "the route's service is unknown", noTargetRetry)
	}
	if limit := shorter(c.meta.Timeout, c.route.Timeout); limit > 0 {
		c.ends = c.started.Add(limit)
	}
	return r.take(c)
}

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
	if c.in.ContentLength > limit {
		return &failure{status: http.StatusRequestEntityTooLarge, reason: "the body is too large", proven: true, close: true}
	}
	if r.MemoryBytes > 0 && r.buffered.Load()+max(0, c.in.ContentLength) > r.MemoryBytes/bodyDivisor {
		return notRun(http.StatusServiceUnavailable, "the host holds too many bodies", noTargetRetry)
	}
	if c.in.Body == http.NoBody {
		return nil
	}
	r.setReadDeadline(c, time.Now().Add(bodyTimeout))
	var buffer bytes.Buffer
	if c.in.ContentLength > 0 {
		buffer.Grow(int(c.in.ContentLength) + bytes.MinRead)
	}
	n, err := buffer.ReadFrom(io.LimitReader(c.in.Body, limit+1))
	r.setReadDeadline(c, time.Time{})
	if err != nil {
		return &failure{status: http.StatusBadRequest, reason: "the body was not read", cause: err, proven: true, close: true}
	}
	if n > limit {
		return &failure{status: http.StatusRequestEntityTooLarge, reason: "the body is too large", proven: true, close: true}
	}
	c.body = buffer.Bytes()
	r.buffered.Add(n)
	return nil
}

func (r *Router) setReadDeadline(c *call, t time.Time) {
	if err := http.NewResponseController(c.w).SetReadDeadline(t); err != nil {
		c.log.Debug("read deadline was not set", "error", err)
	}
}

// take takes the request's cost from the account's limit.
func (r *Router) take(c *call) *failure {
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
	_, silent := r.Fleet.Shares()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	b := r.bucket(c.account, now)
	if wait, ok := b.Take(now, c.cost, silent); !ok {
		f := notRun(http.StatusTooManyRequests, "the client account is over its limit", wait)
		f.cause = errors.Errorf("costs %.0f, left %.0f, rate %.0f, burst %.0f, silent part of the hosts %.2f",
			c.cost, b.Level(), c.account.Rate, c.account.Burst, silent)
		c.cost = 0
		return f
	}
	return nil
}

func (r *Router) terms(a *topology.Account) usage.Limits {
	return usage.Limits{Rate: a.Rate, Burst: a.Burst, Slack: r.UsageSlack}
}

func (r *Router) bucket(a *topology.Account, now time.Time) *usage.Bucket {
	b := r.buckets[a.Name]
	if b == nil {
		b = usage.NewBucket(r.terms(a), now)
		r.buckets[a.Name] = b
	}
	return b
}

// refund gives the cost of a request that did not run back to its account.
func (r *Router) refund(c *call) {
	if c.account == nil || c.cost == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bucket(c.account, time.Now()).Refund(c.cost)
	c.cost = 0
}
