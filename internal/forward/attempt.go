package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/message"
)

// singleUseBody is a request body that net/http can't rewind, so that the transport
// never resends a request by itself. Only the kind of the route decides on retries.
type singleUseBody struct{ io.Reader }

func (singleUseBody) Close() error { return nil }

// newTargetRequest builds the request for a target with the method, path, query and
// body of the caller's request.
func (r *Router) newTargetRequest(ctx context.Context, c *call, p *plan) *http.Request {
	u := &url.URL{
		Scheme: "http", Host: p.target.Address, Path: c.req.URL.Path, RawPath: c.req.URL.RawPath,
		RawQuery: c.req.URL.RawQuery, ForceQuery: c.req.URL.ForceQuery,
	}
	if uri := c.req.RequestURI; strings.HasPrefix(uri, "/") && !strings.HasPrefix(uri, "//") {
		u.Opaque, u.RawQuery, u.ForceQuery = uri, "", false
	}
	out := &http.Request{
		Method: c.req.Method, URL: u, Host: c.req.Host,
		Header:        r.Codec.Outbound(c.req.Header, p.envelope),
		Body:          singleUseBody{bytes.NewReader(c.body)},
		ContentLength: int64(len(c.body)),
		Proto:         "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	return out.WithContext(ctx)
}

// attempt sends the request to the planned target and relays the response. It returns
// nil once the final response has been relayed.
func (r *Router) attempt(ctx context.Context, c *call, p *plan) *failure {
	ctx, span := r.Tracer.Start(ctx, "attempt")
	defer span.End()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { p.free() }() // it changes once the attempt has a connection
	w := r.startWatchdog(c, p, cancel)
	defer w.stop()
	r.trackPrompt(&promptAttempt{call: c, plan: p, watchdog: w, cancel: cancel})
	defer r.untrackPrompt(p)
	// An entry that was added since the plan has not found this attempt.
	if f := r.checkQuarantine(c); f != nil {
		return f
	}
	if err := p.client.acquire(ctx); err != nil {
		if errors.Is(err, errTargetLeft) {
			return departureFailure(c, p, "it left while the request waited for a connection")
		}
		return r.handleSendError(ctx, c, p, w, err, false)
	}
	free := p.free
	p.free = sync.OnceFunc(func() {
		p.client.release()
		free()
	})
	if f := r.checkDeparture(c, p); f != nil {
		return f
	}
	if f := r.takePermit(c, p); f != nil {
		return f
	}
	c.sends++
	return r.exchange(ctx, c, p, w, cancel)
}

// exchange sends the request to the planned target and relays the response. cancel ends the
// attempt with its connection.
func (r *Router) exchange(ctx context.Context, c *call, p *plan, w *watchdog, cancel context.CancelFunc) *failure {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	resp, err := p.client.transport.RoundTrip(r.newTargetRequest(ctx, c, p))
	if err != nil {
		return r.handleSendError(ctx, c, p, w, err, connected.Load())
	}
	defer func() { _ = resp.Body.Close() }()
	response := r.Codec.Response(resp)
	r.clients.setKeepAlive(c.service.Name, response.KeepAlive)
	if response.ID != c.meta.ID {
		// The connection can't be trusted any more. It is idle already if the response has
		// no body.
		cancel()
		p.client.transport.CloseIdleConnections()
		c.possibleExecutions++
		return badResponse(c, p, "target answered another request", errors.Errorf("target %s responded to request %q", p.target.ID, response.ID))
	}
	r.recordBackpressure(c, p, &response)
	if response.NotExecuted {
		return r.handleRejection(c, p, resp, &response)
	}
	c.possibleExecutions++
	r.recordResponse(p, &response, resp.StatusCode)
	if promisesNotExecuted(resp.StatusCode) {
		return badResponse(c, p, "target refused a request that it may have run", errors.Errorf("target %s responded with status %d", p.target.ID, resp.StatusCode))
	}
	if c.responseStarted && !c.goesOnWith(resp) {
		return badResponse(c, p, reasonNotResumed, errors.Errorf("target %s responded with status %d and type %q", p.target.ID, resp.StatusCode, resp.Header.Get("Content-Type")))
	}
	if resp.StatusCode == http.StatusOK && c.route.Kind.Streams() {
		return r.relayStream(ctx, c, p, resp, w)
	}
	w.stop()
	return r.relayResponse(ctx, c, p, resp)
}

// badResponse returns the failure of an attempt whose response can't be relayed. The target
// may have executed the request and is not tried again.
func badResponse(c *call, p *plan, reason string, cause error) *failure {
	c.tried[p.target.ID] = true
	return &failure{status: http.StatusBadGateway, reason: reason, cause: cause}
}

func (r *Router) endAttempt(p *plan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.End(p.target)
}

// countAborted completes the failure of an attempt that the watchdog has cancelled before
// its response. Without a connection the target can't have executed the request.
func countAborted(c *call, f *failure, connected bool) *failure {
	if connected {
		c.possibleExecutions++
		return f
	}
	f.status, f.notExecuted, f.unsent = http.StatusServiceUnavailable, true, true
	return f
}

// handleSendError handles an attempt without a response.
func (r *Router) handleSendError(ctx context.Context, c *call, p *plan, w *watchdog, err error, connected bool) *failure {
	if f := w.takeAbort(c, p); f != nil {
		if connected {
			r.recordMissing(c, p)
		}
		return countAborted(c, f, connected)
	}
	c.tried[p.target.ID] = true
	cause := errors.Wrapf(err, "send to target %s at %s", p.target.ID, p.target.Address)
	if ctx.Err() != nil {
		f := &failure{status: http.StatusGatewayTimeout, reason: r.endReason("the time limit passed before the target answered"), cause: cause}
		if connected {
			c.possibleExecutions++
			if r.stopped.Err() == nil {
				r.recordFailure(p)
				r.recordMissing(c, p)
			}
		}
		f.notExecuted = !connected
		if f.notExecuted {
			f.status = http.StatusServiceUnavailable
		}
		return f
	}
	r.recordFailure(p)
	if !connected {
		r.recordUnreachable(p)
		return &failure{status: http.StatusServiceUnavailable, reason: "target was not reached", cause: cause, notExecuted: true, unsent: true, retryAfter: noTargetRetryAfter}
	}
	c.possibleExecutions++
	r.recordBrokenOff(c, p)
	return &failure{status: http.StatusBadGateway, reason: "target did not answer", cause: cause, brokenOff: true}
}

// endReason returns why the context of a request has ended: the host stops, or else the
// given reason.
func (r *Router) endReason(reason string) string {
	if r.stopped.Err() != nil {
		return "the host stops and the target had not answered"
	}
	return reason
}

// recordFailure records that a target did not respond to a request.
func (r *Router) recordFailure(p *plan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.RecordFailure(p.target, time.Now())
}

// recordUnreachable records that no connection to a target could be opened.
func (r *Router) recordUnreachable(p *plan) {
	r.clients.closeIdle(p.target)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.RecordUnresponsive(p.target, time.Now())
}

// handleRejection handles a response that states that the request was not executed.
func (r *Router) handleRejection(c *call, p *plan, resp *http.Response, response *message.Response) *failure {
	// The body is drained so that the connection can be reused.
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBufferedBytes)); err != nil {
		c.log.Debug("failed to read the body of a rejection", "target", p.target.ID, "error", err)
	}
	f := notExecutedFailure(http.StatusServiceUnavailable, "target rejected the request", noTargetRetryAfter)
	f.cause = errors.Errorf("target %s responded with status %d, weights version %d, instance %q", p.target.ID, resp.StatusCode, response.WeightsVersion, response.InstanceID)
	c.tried[p.target.ID] = true
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.balancer.RecordActivity(p.target, now)
	switch {
	case response.WrongTarget && p.prompt != nil && isFromTarget(response, p):
		f.reason = "target has other weights"
		version := response.WeightsVersion
		if version == 0 {
			version = p.prompt.DesiredWeights.Version
		}
		r.balancer.RecordWeights(p.target, p.prompt.Model, version)
		delete(c.tried, p.target.ID)
		// The target may write this rejection once more on its connection. The request ID
		// would not tell it from the response to the next attempt.
		p.client.transport.CloseIdleConnections()
	case response.WrongTarget:
		f.reason = "another target has the address"
		r.balancer.Pause(p.target, now.Add(time.Second))
	default:
		r.balancer.Pause(p.target, now.Add(rejectedPause))
	}
	return f
}

// isFromTarget reports whether the planned target sent a response. Another target that now
// has its address names itself.
func isFromTarget(response *message.Response, p *plan) bool {
	return response.InstanceID == "" || response.InstanceID == p.target.ID
}

// rejectedPause is how long a target is paused after it has rejected a request.
const rejectedPause = 150 * time.Millisecond

func (r *Router) recordResponse(p *plan, response *message.Response, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.RecordActivity(p.target, time.Now())
	if status < http.StatusInternalServerError {
		r.balancer.RecordSuccess(p.target)
	}
	if p.prompt != nil && response.WeightsVersion > 0 {
		r.balancer.RecordWeights(p.target, p.prompt.Model, response.WeightsVersion)
	}
}
