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
)

// Options set up a Client; zero values mean the defaults.
type Options struct {
	// BaseURL is the platform's address, such as http://127.0.0.1:8500.
	BaseURL string
	// Timeout bounds each attempt of a call; zero means 2 s. A slow store takes 1 s for
	// a call, and a read that takes more than 2 s hardly helps a host to stay fresh.
	Timeout time.Duration
	// ReadsPerSecond and WritesPerSecond are this host's share of the platform's
	// capacity; zero means 50 reads and 20 writes. At the current size of 9 hosts
	// that is 450 reads and 180 writes a second, below the platform's limits.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// ReadBurst and WriteBurst are the bursts; zero means one second's worth.
	ReadBurst  int
	WriteBurst int
	// ReadAttempts is the number of attempts of a read; zero means 3.
	ReadAttempts int
	// BackoffBase and BackoffMax bound the pause between attempts; zero means
	// 20 ms and 500 ms.
	BackoffBase time.Duration
	BackoffMax  time.Duration
	// MaxResponseBytes bounds the body of a response; zero means 16 MiB.
	MaxResponseBytes int64
	// BreakerFailures is the number of failures in a row after which calls are
	// refused locally; zero means 5.
	BreakerFailures int
	// BreakerCooldown is the pause before a probe; zero means 500 ms.
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

// Client is the HTTP adapter of Store, Objects and HostList. Reads are retried;
// writes are attempted once, since only their writer can read them back.
type Client struct {
	options Options
	base    *url.URL
	http    *http.Client
	reads   budget
	writes  budget
	breaker breaker
}

// budget bounds the rate of one kind of call and counts its attempts.
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
)

// NewClient returns a client with its own connection pool.
func NewClient(o Options) (*Client, error) {
	o = o.withDefaults()
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: o.Timeout}).DialContext,
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		MaxConnsPerHost:     maxConnections,
		IdleConnTimeout:     idleTimeout,
	}
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
		breaker: breaker{limit: o.BreakerFailures, cooldown: o.BreakerCooldown},
	}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call is one request to the platform.
type call struct {
	step   string
	method string
	path   []string
	query  url.Values
	body   []byte
}

func (c *Client) fail(k call, kind, cause error) error {
	return &CallError{Op: k.step, Peer: c.base.Host, Kind: kind, Cause: cause}
}

// read makes a call without effect, with retries.
func (c *Client) read(ctx context.Context, k call) ([]byte, error) {
	k.method = http.MethodGet
	for attempt := 1; ; attempt++ {
		body, err := c.attempt(ctx, k, &c.reads, ErrUnavailable)
		if err == nil || !errors.Is(err, ErrUnavailable) || attempt >= c.options.ReadAttempts {
			return body, err
		}
		if !clock.Sleep(ctx, c.backoff(attempt)) {
			return nil, err
		}
	}
}

// write makes a call with an effect, once.
func (c *Client) write(ctx context.Context, k call) ([]byte, error) {
	return c.attempt(ctx, k, &c.writes, ErrUnknownOutcome)
}

// backoff is exponential with full jitter.
func (c *Client) backoff(attempt int) time.Duration {
	ceiling := c.options.BackoffMax
	if shifted := c.options.BackoffBase << (attempt - 1); shifted > 0 && shifted < ceiling {
		ceiling = shifted
	}
	return rand.N(ceiling + 1)
}

// attempt makes one request. A failure after the request may have been sent is of
// the kind unanswered; before that it is ErrUnavailable.
func (c *Client) attempt(caller context.Context, k call, b *budget, unanswered error) ([]byte, error) {
	ctx, cancel := context.WithTimeout(caller, c.options.Timeout)
	defer cancel()
	ok, probe := c.breaker.allow(time.Now())
	if !ok {
		b.counters.refused.Add(1)
		return nil, c.fail(k, ErrUnavailable, errors.New("circuit breaker is open"))
	}
	health := neutral
	defer func() { c.breaker.report(health, probe, time.Now()) }()
	if err := b.limiter.Wait(ctx); err != nil {
		b.counters.refused.Add(1)
		return nil, c.fail(k, ErrUnavailable, errors.WithMessage(err, "request budget"))
	}
	b.counters.attempts.Add(1)
	status, body, sent, err := c.roundTrip(ctx, k)
	if err != nil {
		if caller.Err() == nil {
			b.counters.failures.Add(1)
			health = unhealthy
		}
		if sent {
			return nil, c.fail(k, unanswered, err)
		}
		return nil, c.fail(k, ErrUnavailable, err)
	}
	if health = healthOf(status); health == unhealthy {
		b.counters.failures.Add(1)
	}
	return body, c.statusError(k, status, unanswered)
}

func healthOf(status int) outcome {
	if status >= http.StatusInternalServerError || status == http.StatusTooManyRequests {
		return unhealthy
	}
	return healthy
}

// statusError maps a status to an error kind. The platform answers 503 and 429
// only for requests that it did not take; other server errors leave a write's
// outcome open.
func (c *Client) statusError(k call, status int, unanswered error) error {
	cause := errors.Errorf("status %d", status)
	switch {
	case status >= 200 && status < 300:
		return nil
	case status == http.StatusNotFound:
		return c.fail(k, ErrNotFound, nil)
	case status == http.StatusConflict:
		return c.fail(k, ErrConflict, nil)
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return c.fail(k, ErrUnavailable, cause)
	case status >= http.StatusInternalServerError:
		return c.fail(k, unanswered, cause)
	}
	return c.fail(k, errRejected, cause)
}

// errRejected means that the platform found the request invalid; retries are
// useless and nothing was written.
var errRejected = errors.New("the platform rejected the request")

// roundTrip reports as sent every request that got a connection: from then on
// bytes may be on their way.
func (c *Client) roundTrip(ctx context.Context, k call) (status int, body []byte, sent bool, err error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, k.method, c.url(k), bytes.NewReader(k.body))
	if err != nil {
		return 0, nil, false, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, connected.Load(), err
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(response.Body, c.options.MaxResponseBytes+1))
	if err == nil && int64(len(body)) > c.options.MaxResponseBytes {
		err = errors.Errorf("response exceeds %d bytes", c.options.MaxResponseBytes)
	}
	return response.StatusCode, body, true, err
}

func (c *Client) url(k call) string {
	escaped := make([]string, len(k.path))
	for i, p := range k.path {
		escaped[i] = url.PathEscape(p)
	}
	u := strings.TrimSuffix(c.base.String(), "/") + "/v1/" + strings.Join(escaped, "/")
	if len(k.query) > 0 {
		u += "?" + k.query.Encode()
	}
	return u
}
