// Package gateway is the caller-facing API: completions, plain services, models, the
// locator and health.
package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/sequoiaroad/sequoiaroad/internal/dispatch"
	"github.com/sequoiaroad/sequoiaroad/internal/fleet"
	"github.com/sequoiaroad/sequoiaroad/internal/idempotency"
	"github.com/sequoiaroad/sequoiaroad/internal/quota"
	"github.com/sequoiaroad/sequoiaroad/internal/refusal"
	"github.com/sequoiaroad/sequoiaroad/internal/target"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Defaults for options that are left zero.
const (
	defaultLocatorTTL      = 2 * time.Second
	defaultBodyLimit       = 8 << 20
	defaultDeadline        = 2 * time.Minute
	defaultMaxOutputTokens = 256
	defaultWriteTimeout    = 15 * time.Second
	defaultAttemptTimeout  = 3 * time.Second
	// drainGraceFactor makes the grace outlast every cached answer of the locator.
	drainGraceFactor = 2
)

// requestIDHeader is set on each response.
const requestIDHeader = "X-Request-Id"

// Options sets up a gateway.
type Options struct {
	View          fleet.View
	Limiter       quota.Limiter
	Completer     dispatch.Completer
	Services      dispatch.ServiceChooser
	Claims        idempotency.Registry
	ServiceClient target.ServiceClient
	// StreamSecret authenticates event ids; all hosts have the same.
	StreamSecret []byte
	// LocatorTTL is how long callers may keep an answer of the locator; zero means 2 s.
	LocatorTTL time.Duration
	// DrainGrace is how long a draining host takes new requests; it is raised to
	// twice LocatorTTL.
	DrainGrace time.Duration
	// MaxBodyBytes in bytes; zero means 8 MiB.
	MaxBodyBytes int64
	// DefaultTimeout is the time for a request that sets none; nil means 2 min.
	DefaultTimeout func() time.Duration
	// DefaultMaxOutputTokens applies to completions that set none; zero means 256.
	DefaultMaxOutputTokens int
	// WriteTimeout ends a stream whose caller takes nothing for so long; zero means 15 s.
	WriteTimeout time.Duration
	// AttemptTimeout ends an attempt at an idempotent service call, so that a stalled
	// replica does not use up the caller's time; zero means 3 s.
	AttemptTimeout time.Duration
	// Draining reports whether this host is stopping, in which case the locator does not
	// name it; nil means never.
	Draining func() bool
	// Refusing reports whether a draining host refuses new requests; nil means once
	// DrainGrace has passed. A host that counts running requests for its stop sets it, so
	// that no request is taken after the count.
	Refusing func() bool
	// OnRefusal is told the code and the run state of each refusal; nil is allowed. It
	// must not block.
	OnRefusal func(code refusal.Code, run refusal.Execution)
	Logger    hclog.Logger
	Tracer    trace.Tracer
}

func (o Options) withDefaults() Options {
	if o.LocatorTTL == 0 {
		o.LocatorTTL = defaultLocatorTTL
	}
	o.DrainGrace = max(o.DrainGrace, drainGraceFactor*o.LocatorTTL)
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = defaultBodyLimit
	}
	if o.DefaultTimeout == nil {
		o.DefaultTimeout = func() time.Duration { return defaultDeadline }
	}
	if o.DefaultMaxOutputTokens == 0 {
		o.DefaultMaxOutputTokens = defaultMaxOutputTokens
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = defaultWriteTimeout
	}
	if o.AttemptTimeout == 0 {
		o.AttemptTimeout = defaultAttemptTimeout
	}
	if o.Draining == nil {
		o.Draining = func() bool { return false }
	}
	if o.OnRefusal == nil {
		o.OnRefusal = func(refusal.Code, refusal.Execution) {}
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Tracer == nil {
		o.Tracer = noop.NewTracerProvider().Tracer("gateway")
	}
	return o
}

// Gateway is the http.Handler of the caller listener.
type Gateway struct {
	options Options
	// drainingSince is when draining was first seen, in Unix nanoseconds of the
	// process clock; zero while not draining.
	drainingSince atomic.Int64
	started       time.Time
	openStreams   atomic.Int64

	mu      sync.Mutex
	streams map[*call]context.CancelCauseFunc
}

// New returns a gateway.
func New(o Options) *Gateway {
	g := &Gateway{options: o.withDefaults(), started: time.Now(), streams: map[*call]context.CancelCauseFunc{}}
	g.options.View.Subscribe(g.stopWithdrawn)
	return g
}

// OpenStreams returns the number of streams to callers that have begun and not ended.
func (g *Gateway) OpenStreams() int64 { return g.openStreams.Load() }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{g: g, w: w, r: r, id: target.RequestIDPrefix + uuid.NewString(), index: g.options.View.Index()}
	c.credentials = target.NewCredentials(r.Header, c.isKey)
	w.Header().Set(requestIDHeader, c.id)
	g.trackDraining()
	if err := g.route(c); err != nil {
		c.refuse(err)
	}
}

func (g *Gateway) route(c *call) error {
	path := c.r.URL.Path
	switch {
	case path == "/v1/chat/completions":
		return c.only(http.MethodPost, func() error { return c.traced(func() error { return c.complete(true) }) })
	case path == "/v1/completions":
		return c.only(http.MethodPost, func() error { return c.traced(func() error { return c.complete(false) }) })
	case path == "/v1/models":
		return c.only(http.MethodGet, c.models)
	case path == "/v1/addresses":
		return c.only(http.MethodGet, c.addresses)
	case strings.HasPrefix(path, servicesPath):
		return c.traced(c.service)
	case path == "/healthz":
		return c.only(http.MethodGet, c.health)
	case path == "/readyz":
		return c.only(http.MethodGet, c.ready)
	}
	return refusal.New(refusal.NotFound, "there is nothing at this path")
}

// trackDraining notes when draining was first seen, from which the grace counts.
func (g *Gateway) trackDraining() {
	if !g.options.Draining() {
		g.drainingSince.Store(0)
		return
	}
	g.drainingSince.CompareAndSwap(0, int64(time.Since(g.started))+1)
}

// refusesNew reports whether the grace of a draining host is over.
func (g *Gateway) refusesNew() bool {
	if g.options.Refusing != nil {
		return g.options.Refusing()
	}
	since := g.drainingSince.Load()
	return since != 0 && time.Since(g.started)-time.Duration(since) > g.options.DrainGrace
}

// watchKey makes a withdrawal of the call's key cancel ctx.
func (g *Gateway) watchKey(ctx context.Context, c *call) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	g.mu.Lock()
	g.streams[c] = cancel
	g.mu.Unlock()
	if err := c.keyValid(); err != nil { // withdrawn since the first check
		cancel(err)
	}
	return ctx, func() {
		g.mu.Lock()
		delete(g.streams, c)
		g.mu.Unlock()
		cancel(nil)
	}
}

// stopWithdrawn ends the running streams whose key was withdrawn.
func (g *Gateway) stopWithdrawn() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c, cancel := range g.streams {
		if err := c.keyValid(); err != nil {
			cancel(err)
		}
	}
}
