// Package gateway serves the API for callers: completions, plain services, models, the
// locator and health checks.
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
	defaultMaxBodyBytes    = 8 << 20
	defaultTimeout         = 2 * time.Minute
	defaultMaxOutputTokens = 256
	defaultWriteTimeout    = 15 * time.Second
	defaultAttemptTimeout  = 3 * time.Second
	// drainGraceFactor makes the drain grace longer than callers may cache addresses from
	// the locator.
	drainGraceFactor = 2
)

// requestIDHeader carries the request id in each response.
const requestIDHeader = "X-Request-Id"

// Options configures a gateway.
type Options struct {
	View          fleet.View
	Limiter       quota.Limiter
	Completer     dispatch.Completer
	Services      dispatch.ServiceChooser
	Claims        idempotency.Registry
	ServiceClient target.ServiceClient
	// StreamSecret authenticates event ids. It is the same on all hosts, so that a caller
	// may resume a stream at another host.
	StreamSecret []byte
	// LocatorTTL is how long callers may cache addresses from the locator; zero means 2 s.
	LocatorTTL time.Duration
	// DrainGrace is how long a draining host accepts new requests. It is raised to at
	// least twice LocatorTTL.
	DrainGrace time.Duration
	// MaxBodyBytes is the largest size of a request body; zero means 8 MiB.
	MaxBodyBytes int64
	// DefaultTimeout returns the timeout of requests that set none; nil means 2 min.
	DefaultTimeout func() time.Duration
	// DefaultMaxOutputTokens is the output limit of completions that set none; zero means
	// 256.
	DefaultMaxOutputTokens int
	// WriteTimeout bounds each write to a caller. A caller that reads nothing for this time
	// loses its response or stream; zero means 15 s.
	WriteTimeout time.Duration
	// AttemptTimeout bounds an attempt at an idempotent service call, so that a stalled
	// replica does not use up the time until the caller's deadline; zero means 3 s.
	AttemptTimeout time.Duration
	// Draining reports whether this host is stopping. The locator then omits it. Nil means
	// never.
	Draining func() bool
	// Refusing reports whether a draining host refuses new requests; nil means after
	// DrainGrace. A host that waits for its running requests before it stops sets it, so
	// that no request is accepted after the running ones were counted.
	Refusing func() bool
	// OnRefusal is called with the code and the execution state of each refusal. It must
	// not block; it may be nil.
	OnRefusal func(code refusal.Code, execution refusal.Execution)
	Logger    hclog.Logger
	Tracer    trace.Tracer
}

func (o Options) withDefaults() Options {
	if o.LocatorTTL == 0 {
		o.LocatorTTL = defaultLocatorTTL
	}
	o.DrainGrace = max(o.DrainGrace, drainGraceFactor*o.LocatorTTL)
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = defaultMaxBodyBytes
	}
	if o.DefaultTimeout == nil {
		o.DefaultTimeout = func() time.Duration { return defaultTimeout }
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
	// drainingSince is when a request first found the host draining, in nanoseconds after
	// started, plus one; zero while the host is not draining.
	drainingSince atomic.Int64
	started       time.Time
	openStreams   atomic.Int64

	mu sync.Mutex
	// runningCompletions holds the function that cancels each running completion.
	runningCompletions map[*call]context.CancelCauseFunc
}

// New returns a gateway.
func New(o Options) *Gateway {
	g := &Gateway{options: o.withDefaults(), started: time.Now(), runningCompletions: map[*call]context.CancelCauseFunc{}}
	g.options.View.Subscribe(g.cancelWithdrawn)
	return g
}

// OpenStreams returns the number of streams to callers that have begun and not ended.
func (g *Gateway) OpenStreams() int64 { return g.openStreams.Load() }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{gateway: g, w: w, r: r, id: target.RequestIDPrefix + uuid.NewString(), index: g.options.View.Index()}
	c.credentials = target.NewCredentials(r.Header, c.isKnownKey)
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
		return c.requireMethod(http.MethodPost, func() error { return c.traced(func() error { return c.serveCompletion(true) }) })
	case path == "/v1/completions":
		return c.requireMethod(http.MethodPost, func() error { return c.traced(func() error { return c.serveCompletion(false) }) })
	case path == "/v1/models":
		return c.requireMethod(http.MethodGet, c.serveModels)
	case path == "/v1/addresses":
		return c.requireMethod(http.MethodGet, c.serveAddresses)
	case strings.HasPrefix(path, servicesPathPrefix):
		return c.traced(c.serveService)
	case path == "/healthz":
		return c.requireMethod(http.MethodGet, c.serveHealth)
	case path == "/readyz":
		return c.requireMethod(http.MethodGet, c.serveReady)
	}
	return refusal.New(refusal.NotFound, "there is nothing at this path")
}

// trackDraining records when a request first found the host draining. The drain grace
// starts there.
func (g *Gateway) trackDraining() {
	if !g.options.Draining() {
		g.drainingSince.Store(0)
		return
	}
	g.drainingSince.CompareAndSwap(0, int64(time.Since(g.started))+1)
}

// refusesNewRequests reports whether a draining host refuses new requests.
func (g *Gateway) refusesNewRequests() bool {
	if g.options.Refusing != nil {
		return g.options.Refusing()
	}
	since := g.drainingSince.Load()
	return since != 0 && time.Since(g.started)-time.Duration(since) > g.options.DrainGrace
}

// cancelOnWithdrawal returns a context that is cancelled when the call's key is withdrawn,
// and a function that releases it.
func (g *Gateway) cancelOnWithdrawal(ctx context.Context, c *call) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	g.mu.Lock()
	g.runningCompletions[c] = cancel
	g.mu.Unlock()
	if err := c.checkKey(); err != nil { // withdrawn since the first check
		cancel(err)
	}
	return ctx, func() {
		g.mu.Lock()
		delete(g.runningCompletions, c)
		g.mu.Unlock()
		cancel(nil)
	}
}

// cancelWithdrawn cancels the running completions whose key was withdrawn.
func (g *Gateway) cancelWithdrawn() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c, cancel := range g.runningCompletions {
		if err := c.checkKey(); err != nil {
			cancel(err)
		}
	}
}
