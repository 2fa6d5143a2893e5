package platform

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/sequoiaroad/sequoiaroad/internal/clock"
	"github.com/sequoiaroad/sequoiaroad/internal/httpclient"
)

// Options configure a Client. Zero values select the defaults.
type Options struct {
	// BaseURL is the platform's URL, such as http://127.0.0.1:8500.
	BaseURL string
	// Timeout bounds each attempt of a call; zero means 2 s. A slow store takes 1 s for
	// a call, and a read that takes more than 2 s hardly helps a host to stay fresh.
	Timeout time.Duration
	// ReadsPerSecond and WritesPerSecond are this host's share of the platform's
	// capacity; zero means 50 reads and 20 writes. At the current size of 9 hosts
	// that is 450 reads and 180 writes a second, below the platform's limits.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// ReadBurst and WriteBurst bound the bursts; zero means the rate of one second.
	ReadBurst  int
	WriteBurst int
	// ReadAttempts is the number of attempts of a read; zero means 3.
	ReadAttempts int
	// BackoffBase and BackoffMax bound the delay before the first retry and before any
	// retry; zero means 20 ms and 500 ms.
	BackoffBase time.Duration
	BackoffMax  time.Duration
	// MaxResponseBytes bounds the body of a response; zero means 16 MiB.
	MaxResponseBytes int64
	// BreakerFailures is the number of consecutive failures after which the circuit
	// breaker opens; zero means 5.
	BreakerFailures int
	// BreakerCooldown is the time before a probe; zero means 500 ms. Each delay is chosen
	// at random between half of it and all of it.
	BreakerCooldown time.Duration
}

func (o Options) withDefaults() Options {
	o.Timeout = orDefault(o.Timeout, 2*time.Second)
	o.ReadsPerSecond = orDefault(o.ReadsPerSecond, 50)
	o.WritesPerSecond = orDefault(o.WritesPerSecond, 20)
	o.ReadBurst = orDefault(o.ReadBurst, max(1, int(o.ReadsPerSecond)))
	o.WriteBurst = orDefault(o.WriteBurst, max(1, int(o.WritesPerSecond)))
	o.ReadAttempts = orDefault(o.ReadAttempts, 3)
	o.BackoffBase = orDefault(o.BackoffBase, 20*time.Millisecond)
	o.BackoffMax = orDefault(o.BackoffMax, 500*time.Millisecond)
	o.MaxResponseBytes = orDefault(o.MaxResponseBytes, 16<<20)
	o.BreakerFailures = orDefault(o.BreakerFailures, 5)
	o.BreakerCooldown = orDefault(o.BreakerCooldown, 500*time.Millisecond)
	return o
}

func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}

// Client implements Store, ObjectStore and HostList over HTTP. It retries reads. It
// attempts each write once, since only the writer can read back whether it took effect.
type Client struct {
	options Options
	base    *url.URL
	http    *http.Client
	reads   budget
	writes  budget
	breaker breaker
}

// budget is the rate limit of reads or of writes, with counters of their attempts.
type budget struct {
	limiter  *rate.Limiter
	counters callCounters
}

var (
	_ Store       = (*Client)(nil)
	_ ObjectStore = (*Client)(nil)
	_ HostList    = (*Client)(nil)
)

const (
	maxIdleConnections = 16
	maxConnections     = 64
	idleTimeout        = 30 * time.Second
	// maxResponseHeaderBytes bounds the memory for a head that never ends.
	maxResponseHeaderBytes = 64 << 10
)

// NewClient returns a client with its own connection pool.
func NewClient(o Options) (*Client, error) {
	o = o.withDefaults()
	transport := httpclient.NewTransport(&http.Transport{
		DialContext:            (&net.Dialer{Timeout: o.Timeout}).DialContext,
		MaxIdleConns:           maxIdleConnections,
		MaxIdleConnsPerHost:    maxIdleConnections,
		MaxConnsPerHost:        maxConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	})
	return newClient(o, transport)
}

func newClient(o Options, transport http.RoundTripper) (*Client, error) {
	base, err := url.Parse(o.BaseURL)
	if err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
		return nil, errors.Errorf("platform URL %q is not an http or https URL", o.BaseURL)
	}
	return &Client{
		options: o,
		base:    base,
		http:    &http.Client{Transport: transport},
		reads:   budget{limiter: rate.NewLimiter(rate.Limit(o.ReadsPerSecond), o.ReadBurst)},
		writes:  budget{limiter: rate.NewLimiter(rate.Limit(o.WritesPerSecond), o.WriteBurst)},
		breaker: breaker{failureLimit: o.BreakerFailures, cooldown: o.BreakerCooldown},
	}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// request is a request to the platform.
type request struct {
	// op describes the operation in error messages.
	op     string
	method string
	path   []string
	query  url.Values
	body   []byte
}

func (c *Client) callError(req request, kind, cause error) error {
	return &CallError{Op: req.op, Peer: c.base.Host, Kind: kind, Cause: cause}
}

// read sends a request without side effects and retries it if the platform is
// unavailable.
func (c *Client) read(ctx context.Context, req request) ([]byte, error) {
	req.method = http.MethodGet
	for attempt := 1; ; attempt++ {
		body, err := c.attempt(ctx, req, &c.reads, ErrUnavailable)
		if err == nil || !errors.Is(err, ErrUnavailable) || attempt >= c.options.ReadAttempts {
			return body, err
		}
		if !clock.Sleep(ctx, c.backoff(attempt)) {
			return nil, err
		}
	}
}

// write sends a request with side effects once.
func (c *Client) write(ctx context.Context, req request) ([]byte, error) {
	return c.attempt(ctx, req, &c.writes, ErrUnknownOutcome)
}

// backoff returns the delay after a failed attempt, exponential with full jitter.
func (c *Client) backoff(attempt int) time.Duration {
	ceiling := c.options.BackoffMax
	if shifted := c.options.BackoffBase << (attempt - 1); shifted > 0 && shifted < ceiling {
		ceiling = shifted
	}
	return rand.N(ceiling + 1)
}

// attempt sends a request once. The kind of a failure is sentKind if the request may have
// been sent, and ErrUnavailable otherwise.
func (c *Client) attempt(callerCtx context.Context, req request, b *budget, sentKind error) ([]byte, error) {
	ctx, cancel := context.WithTimeout(callerCtx, c.options.Timeout)
	defer cancel()
	ok, probe := c.breaker.allow(time.Now())
	if !ok {
		b.counters.refused.Add(1)
		return nil, c.callError(req, ErrUnavailable, errors.New("circuit breaker is open"))
	}
	health := neutral
	defer func() { c.breaker.record(health, probe, time.Now()) }()
	if err := b.limiter.Wait(ctx); err != nil {
		b.counters.refused.Add(1)
		return nil, c.callError(req, ErrUnavailable, errors.WithMessage(err, "request budget"))
	}
	b.counters.attempts.Add(1)
	status, body, sent, err := c.roundTrip(ctx, req)
	if err != nil {
		if callerCtx.Err() == nil {
			b.counters.failures.Add(1)
			health = unhealthy
		}
		if sent {
			return nil, c.callError(req, sentKind, err)
		}
		return nil, c.callError(req, ErrUnavailable, err)
	}
	if health = healthOf(status); health == unhealthy {
		b.counters.failures.Add(1)
	}
	return body, c.statusError(req, status, sentKind)
}

// healthOf returns the outcome of a call by the status of the response.
func healthOf(status int) outcome {
	if status >= http.StatusInternalServerError || status == http.StatusTooManyRequests {
		return unhealthy
	}
	return healthy
}

// statusError maps a status to an error. The platform returns 503 and 429 only for
// requests that it did not execute; after other server errors the outcome of a write is
// unknown.
func (c *Client) statusError(req request, status int, sentKind error) error {
	cause := errors.Errorf("status %d", status)
	switch {
	case status >= 200 && status < 300:
		return nil
	case status == http.StatusNotFound:
		return c.callError(req, ErrNotFound, nil)
	case status == http.StatusConflict:
		return c.callError(req, ErrConflict, nil)
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return c.callError(req, ErrUnavailable, cause)
	case status >= http.StatusInternalServerError:
		return c.callError(req, sentKind, cause)
	}
	return c.callError(req, errRejected, cause)
}

// errRejected means that the platform rejected the request as invalid. Nothing was
// written, and a retry would fail again.
var errRejected = errors.New("the platform rejected the request")

// roundTrip sends a request and reads the response. sent is true from the time the
// request has a connection, since bytes may have been written from then on.
func (c *Client) roundTrip(ctx context.Context, req request) (status int, body []byte, sent bool, err error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	httpReq, err := http.NewRequestWithContext(ctx, req.method, c.url(req), bytes.NewReader(req.body))
	if err != nil {
		return 0, nil, false, err
	}
	httpResp, err := c.http.Do(httpReq)
	if err != nil {
		return 0, nil, connected.Load(), err
	}
	defer func() { _ = httpResp.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(httpResp.Body, c.options.MaxResponseBytes+1))
	if err == nil && int64(len(body)) > c.options.MaxResponseBytes {
		err = errors.Errorf("response exceeds %d bytes", c.options.MaxResponseBytes)
	}
	return httpResp.StatusCode, body, true, err
}

func (c *Client) url(req request) string {
	escaped := make([]string, len(req.path))
	for i, p := range req.path {
		escaped[i] = url.PathEscape(p)
	}
	u := strings.TrimSuffix(c.base.String(), "/") + "/v1/" + strings.Join(escaped, "/")
	if len(req.query) > 0 {
		u += "?" + req.query.Encode()
	}
	return u
}
