package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/message"
)

// onceBody is a body that net/http can't rewind, so that the transport never sends a
// request a second time by itself. Only the kind of the route decides that.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

// outbound builds the request for a target: method, path, query and body as the
// caller sent them.
func (r *Router) outbound(ctx context.Context, c *call, p *plan) *http.Request {
	u := &url.URL{
		Scheme: "http", Host: p.target.Address, Path: c.in.URL.Path, RawPath: c.in.URL.RawPath,
		RawQuery: c.in.URL.RawQuery, ForceQuery: c.in.URL.ForceQuery,
	}
	if uri := c.in.RequestURI; strings.HasPrefix(uri, "/") && !strings.HasPrefix(uri, "//") {
		u.Opaque, u.RawQuery, u.ForceQuery = uri, "", false
	}
	out := &http.Request{
		Method: c.in.Method, URL: u, Host: c.in.Host,
		Header:        r.Codec.Outbound(c.in.Header, p.envelope),
		Body:          onceBody{bytes.NewReader(c.body)},
		ContentLength: int64(len(c.body)),
		Proto:         "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	return out.WithContext(ctx)
}

// attempt sends the request to the planned target and relays its answer. It returns
// nil once the caller has the final answer.
func (r *Router) attempt(ctx context.Context, c *call, p *plan) *failure {
	ctx, span := r.Tracer.Start(ctx, "attempt")
	defer span.End()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer r.end(p)
	c.sends++
	patience := r.await(c, p, cancel)
	defer patience.stop()
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	resp, err := p.client.transport.RoundTrip(r.outbound(ctx, c, p))
	if err != nil && patience.ended() {
		return r.overdue(c, p)
	}
	if err != nil {
		return r.unanswered(ctx, c, p, err, connected)
	}
	defer func() { _ = resp.Body.Close() }()
	answer := r.Codec.Response(resp)
	r.clients.learnIdle(c.service.Name, answer.KeepAlive)
	if answer.ID != c.meta.ID {
		// The answer belongs to another request; the connection can't be trusted.
		cancel()
		c.runs++
		c.tried[p.target.ID] = true
		return &failure{status: http.StatusBadGateway, reason: "target answered another request", cause: errors.Errorf("target %s answered request %q", p.target.ID, answer.ID)}
	}
	if answer.NotExecuted {
		return r.rejected(c, p, resp, &answer)
	}
	c.runs++
	r.answered(p, &answer, resp.StatusCode)
	if resp.StatusCode == http.StatusOK && c.route.Kind.Streams() {
		return r.relayStream(ctx, c, p, resp, patience)
	}
	patience.stop()
	return r.relayPlain(c, p, resp)
}

func (r *Router) end(p *plan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.End(p.target)
}

// unanswered handles a send without an answer.
func (r *Router) unanswered(ctx context.Context, c *call, p *plan, err error, connected bool) *failure {
	c.tried[p.target.ID] = true
	cause := errors.Wrapf(err, "send to target %s at %s", p.target.ID, p.target.Address)
	if ctx.Err() != nil {
		f := &failure{status: http.StatusGatewayTimeout, reason: "the time limit passed before the target answered", cause: cause}
		if connected {
			c.runs++
			r.failed(p)
		}
		f.proven = !connected
		if f.proven {
			f.status = http.StatusServiceUnavailable
		}
		return f
	}
	r.failed(p)
	if !connected {
		r.unreachable(p)
		return &failure{status: http.StatusServiceUnavailable, reason: "target was not reached", cause: cause, proven: true, unsent: true, retryAfter: noTargetRetry}
	}
	c.runs++
	return &failure{status: http.StatusBadGateway, reason: "target did not answer", cause: cause}
}

// failed notes that a target did not answer a request.
func (r *Router) failed(p *plan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.RecordFailure(p.target, time.Now())
}

// unreachable notes that no connection to a target could be opened.
func (r *Router) unreachable(p *plan) {
	r.clients.drop(p.target)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.RecordUnresponsive(p.target, time.Now())
}

// rejected handles an answer that says that the request was not run.
func (r *Router) rejected(c *call, p *plan, resp *http.Response, a *message.Response) *failure {
	// The body is read so that the connection can be used again.
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBuffered)); err != nil {
		c.log.Debug("body of a rejection was not read", "target", p.target.ID, "error", err)
	}
	f := notRun(http.StatusServiceUnavailable, "target rejected the request", noTargetRetry)
	f.cause = errors.Errorf("target %s answered %d, weights %d, instance %q", p.target.ID, resp.StatusCode, a.WeightsVersion, a.InstanceID)
	c.tried[p.target.ID] = true
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.balancer.RecordActivity(p.target, now)
	switch {
	case a.WrongTarget && p.prompt != nil && (a.InstanceID == "" || a.InstanceID == p.target.ID):
		f.reason = "target has other weights"
		r.balancer.RecordWeights(p.target, p.prompt.Model, max(a.WeightsVersion, p.prompt.DesiredWeights.Version))
		delete(c.tried, p.target.ID)
	case a.WrongTarget:
		f.reason = "another target has the address"
		r.balancer.Pause(p.target, now.Add(time.Second))
	default:
		r.balancer.Pause(p.target, now.Add(rejectedPause))
	}
	return f
}

// rejectedPause keeps requests from a target that has just rejected one.
const rejectedPause = 150 * time.Millisecond

func (r *Router) answered(p *plan, a *message.Response, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.RecordActivity(p.target, time.Now())
	if status < http.StatusInternalServerError {
		r.balancer.RecordSuccess(p.target)
	}
	if p.prompt != nil && a.WeightsVersion > 0 {
		r.balancer.RecordWeights(p.target, p.prompt.Model, a.WeightsVersion)
	}
}
