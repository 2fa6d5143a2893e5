// Package forward serves callers: it finds the route and the client account of a
// request, admits it, sends it to a target and relays the answer.
//
// Invariants: a request that is not repeatable is sent again only after proof that
// the target before did not run it; 408, 421, 429 and 503 are answered only while
// that proof holds; an answer that ends early never looks complete.
package forward

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/trace"

	"github.com/sequoiaroad/sequoiaroad/internal/message"
	"github.com/sequoiaroad/sequoiaroad/internal/view"
	"github.com/sequoiaroad/sequoiaroad/policy/balance"
	"github.com/sequoiaroad/sequoiaroad/policy/retry"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
	"github.com/sequoiaroad/sequoiaroad/policy/usage"
)

const (
	// bodyTimeout bounds the time that a caller takes to send a body.
	bodyTimeout = 10 * time.Second
	// noTargetRetry is when a caller may come back if no target is usable.
	noTargetRetry = 300 * time.Millisecond
	// stoppedRetry is when a caller may come back: at once, at another host.
	stoppedRetry = 10 * time.Millisecond
	// noConfigRetry is when a caller may come back to a host that has just started.
	noConfigRetry = 500 * time.Millisecond
	// bodyDivisor is the part of the memory limit that may hold request bodies, as a
	// divisor.
	bodyDivisor = 4
	// defaultBodyBytes bounds a body if the configuration does not.
	defaultBodyBytes = 1 << 20
)

// Fleet is what the router asks about the other hosts.
type Fleet interface {
	// Shares returns the number of hosts and the part of them that is silent.
	Shares() (hosts int, silent float64)
	Tell(s balance.CacheNotice)
}

// Options configure a Router.
type Options struct {
	Codec       message.Codec
	View        *view.View
	Fleet       Fleet
	Log         hclog.Logger
	Tracer      trace.Tracer
	Meter       metric.Meter
	CopyHeaders func(to, from http.Header)

	Zone         string
	RegionOfZone map[string]string
	RetryTerms   retry.Limits
	// UsageSlack is how far this host lets an account exceed its burst.
	UsageSlack float64
	// MaxStaleness is the time within which named weights must be in place.
	WeightsBound time.Duration
	// MemoryBytes is the memory limit of the process; zero means none.
	MemoryBytes int64
}

// Router serves callers.
type Router struct {
	Options
	clients  *clients
	leaving  atomic.Bool
	stopped  atomic.Bool
	active   atomic.Int64
	buffered atomic.Int64
	measures *measures

	mu       sync.Mutex
	balancer *balance.Balancer
	buckets  map[string]*usage.Bucket
	budgets  map[string]*retry.Budget
	told     map[toldKey]time.Time
	swept    time.Time
}

type toldKey struct {
	key    balance.Key
	target string
}

// New returns a router that serves from the view.
func New(o Options) (*Router, error) {
	m, err := newMeasures(o.Meter)
	if err != nil {
		return nil, err
	}
	r := &Router{
		Options: o, clients: newClients(), measures: m,
		balancer: balance.New(o.Zone, o.RegionOfZone),
		buckets:  map[string]*usage.Bucket{}, budgets: map[string]*retry.Budget{},
		told: map[toldKey]time.Time{},
	}
	o.View.OnChange(r.changed)
	return r, nil
}

// changed follows a new snapshot.
func (r *Router) changed(s *view.Snapshot) {
	r.clients.retain(s.Targets)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.Retain(s.Targets)
	if s.Config == nil {
		return
	}
	now := time.Now()
	for _, a := range s.Config.Accounts {
		if b := r.buckets[a.Name]; b != nil {
			b.SetLimits(r.terms(a), now)
		}
	}
}

// Leave makes the router answer with Connection: close from now on.
func (r *Router) Leave() { r.leaving.Store(true) }

// Stop makes the router refuse all requests that come from now on.
func (r *Router) Stop() { r.stopped.Store(true) }

// Active returns the number of requests in progress.
func (r *Router) Active() int64 { return r.active.Load() }

// call is one request of a caller.
type call struct {
	w       http.ResponseWriter
	in      *http.Request
	meta    message.Request
	body    []byte
	route   *topology.Route
	account *topology.Account
	service *topology.Service
	config  *topology.Config
	started time.Time
	// ends is when the final answer is due; zero means never.
	ends time.Time
	cost float64
	// tried targets are not chosen again.
	tried map[string]bool
	// runs counts targets that may have run the request; sends counts all.
	runs, sends int
	// relayed says that bytes of the answer went to the caller.
	relayed     bool
	lastEventID string
	// firstEvent is how long the first event took.
	firstEvent time.Duration
	log        hclog.Logger
}

// ServeHTTP implements http.Handler.
func (r *Router) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	r.active.Add(1)
	defer r.active.Add(-1)
	ctx, span := r.Tracer.Start(in.Context(), "request")
	defer span.End()
	if r.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	c := &call{w: w, in: in, started: time.Now(), meta: r.Codec.Request(in.Header), tried: map[string]bool{}}
	c.log = r.Log.With("request", c.meta.ID)
	defer func() { r.buffered.Add(-int64(len(c.body))) }()
	if f := r.admit(c); f != nil {
		r.refuse(c, f)
		return
	}
	span.SetAttributes(attribute.String("route", c.route.Name))
	r.forward(ctx, c)
}

// forward sends the request until a target's answer is relayed or nothing is left to
// try.
func (r *Router) forward(ctx context.Context, c *call) {
	if !c.ends.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, c.ends)
		defer cancel()
	}
	r.countRequest(c)
	var last *failure
	for {
		plan, f := r.plan(c)
		if f != nil {
			if last == nil {
				last = f
			}
			break
		}
		f = r.attempt(ctx, c, plan)
		if f == nil {
			return
		}
		last = f
		if !r.mayRepeat(ctx, c, f) {
			break
		}
		c.log.Info("request is sent again", "route", c.route.Name, "after", f.reason, "target", plan.target.ID, "sends", c.sends)
	}
	r.finish(c, last)
}

func (r *Router) countRequest(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(c.service.Name).RecordRequest(time.Now())
}

func (r *Router) budget(service string) *retry.Budget {
	b := r.budgets[service]
	if b == nil {
		b = retry.NewBudget(r.RetryTerms)
		r.budgets[service] = b
	}
	return b
}
