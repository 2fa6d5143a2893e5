// Package forward serves callers: it resolves the route and the client account of a
// request, admits it, sends it to a target and relays the response.
//
// Invariants: a request whose kind is not retryable is sent again only after proof that
// the previous target did not execute it; the statuses 408, 421, 429 and 503 are sent
// only while that proof holds; a truncated response never looks complete.
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
	"github.com/sequoiaroad/sequoiaroad/policy/backpressure"
	"github.com/sequoiaroad/sequoiaroad/policy/balance"
	"github.com/sequoiaroad/sequoiaroad/policy/completion"
	"github.com/sequoiaroad/sequoiaroad/policy/quarantine"
	"github.com/sequoiaroad/sequoiaroad/policy/ratelimit"
	"github.com/sequoiaroad/sequoiaroad/policy/retry"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

const (
	// bodyTimeout bounds how long a caller may take to send a body.
	bodyTimeout = 10 * time.Second
	// noTargetRetryAfter is the retry hint if no target is usable.
	noTargetRetryAfter = 300 * time.Millisecond
	// outdatedRetryAfter is the retry hint while targets load newer weights. A load takes
	// about half a second.
	outdatedRetryAfter = 700 * time.Millisecond
	// stoppedRetryAfter is short, since callers can retry at another host at once.
	stoppedRetryAfter = 10 * time.Millisecond
	// noConfigRetryAfter is the retry hint of a host that has just started.
	noConfigRetryAfter = 500 * time.Millisecond
	// bodyMemoryDivisor divides the memory limit; the result bounds the request bodies
	// held in memory.
	bodyMemoryDivisor = 4
	// smallBodyBytes is the size of a body from which it may use three quarters of that bound.
	smallBodyBytes = 64 << 10
	// bodyReadBytes bounds what is read of a body before memory is reserved for it.
	bodyReadBytes = 32 << 10
	// defaultBodyBytes bounds a body if the configuration sets no limit.
	defaultBodyBytes = 1 << 20
)

// Fleet gives the router access to the other hosts.
type Fleet interface {
	// CountHosts returns the number of hosts and the share of them that is
	// unresponsive.
	CountHosts() (hosts int, unresponsiveShare float64)
	// HostIDs returns the hosts that respond, including this one.
	HostIDs() []string
	// QueueCacheNotice queues a cache notice for the other hosts.
	QueueCacheNotice(n balance.CacheNotice)
}

// Options configure a Router.
type Options struct {
	Codec               message.Codec
	View                *view.View
	Fleet               Fleet
	Log                 hclog.Logger
	Tracer              trace.Tracer
	Meter               metric.Meter
	CopyResponseHeaders func(to, from http.Header)
	Quarantine          Quarantine
	Reports             Reporter

	HostID       string
	Zone         string
	RegionOfZone map[string]string
	RetryLimits  retry.Limits
	// UsageSlack is how far this host lets an account exceed its burst.
	UsageSlack float64
	// MaxWeightsStaleness is the time within which published weights must be loaded;
	// zero means no bound.
	MaxWeightsStaleness time.Duration
	// MemoryBytes is the memory limit of the process; zero means none.
	MemoryBytes int64
}

// Router is the HTTP handler that forwards the requests of callers to targets.
type Router struct {
	Options
	clients          *clients
	draining         atomic.Bool
	admissionStopped atomic.Bool
	// stopped ends when the requests in progress must be answered, since the host exits.
	stopped       context.Context
	endRequests   context.CancelFunc
	active        atomic.Int64
	bufferedBytes atomic.Int64
	responses     *responseBudget
	metrics       *metrics

	mu       sync.Mutex
	balancer *balance.Balancer
	pressure *backpressure.Table
	// hostsUpdated is when pressure was last told which hosts share limits.
	hostsUpdated time.Time
	buckets      map[string]*ratelimit.Bucket
	budgets      map[string]*retry.Budget
	// notified is when the use of a part at a target was last announced to peers.
	notified  map[notifiedKey]time.Time
	lastSweep time.Time
	// prompts holds the attempts of prompts that have sent no event.
	prompts map[*plan]*promptAttempt
	// crashChecks holds, by target, the responses of which it is not known yet whether their
	// target ended with them.
	crashChecks map[topology.Incarnation]*crashCheck
}

type notifiedKey struct {
	key    balance.Key
	target string
}

// New returns a router that serves from the view.
func New(o Options) (*Router, error) {
	m, err := newMetrics(o.Meter)
	if err != nil {
		return nil, err
	}
	r := &Router{
		Options: o, clients: newClients(), metrics: m, responses: newResponseBudget(o.MemoryBytes),
		balancer: balance.New(o.Zone, o.RegionOfZone), pressure: backpressure.New(o.HostID),
		buckets: map[string]*ratelimit.Bucket{}, budgets: map[string]*retry.Budget{},
		notified: map[notifiedKey]time.Time{}, prompts: map[*plan]*promptAttempt{},
		crashChecks: map[topology.Incarnation]*crashCheck{},
	}
	r.stopped, r.endRequests = context.WithCancel(context.Background())
	r.balancer.UseBackpressure(r.pressure)
	o.View.OnChange(r.applySnapshot)
	return r, nil
}

// applySnapshot updates clients, balancer and account limits to a new snapshot.
func (r *Router) applySnapshot(s *view.Snapshot) {
	r.clients.retain(s.Targets)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.balancer.Retain(s.Targets, now)
	r.resolveReplaced(s.Targets, now)
	if len(s.Targets) > 0 { // a new process learns limits from its peers before the targets
		r.pressure.Retain(s.Targets, now)
	}
	if s.Config == nil {
		return
	}
	for _, a := range s.Config.Accounts {
		if b := r.buckets[a.Name]; b != nil {
			b.SetLimits(r.accountLimits(a), now)
		}
	}
}

// Drain makes the router send Connection: close with each response from now on.
func (r *Router) Drain() { r.draining.Store(true) }

// StopAdmission makes the router refuse all requests that arrive from now on.
func (r *Router) StopAdmission() { r.admissionStopped.Store(true) }

// EndRequests makes the router answer all requests in progress at once, since the host
// exits. Those that a target may have run fail with a status that promises nothing; streams
// that have begun are broken off.
func (r *Router) EndRequests() { r.endRequests() }

// ConnectionsOpened returns the number of connections opened to targets so far, by service.
func (r *Router) ConnectionsOpened() map[string]uint64 { return r.clients.connectionsOpened() }

// Active returns the number of requests in progress.
func (r *Router) Active() int64 { return r.active.Load() }

// call is one request of a caller.
type call struct {
	w    http.ResponseWriter
	req  *http.Request
	meta message.Request
	body []byte
	// reservedBytes is the memory reserved for the body, readBytes what was read of it.
	reservedBytes, readBytes int64
	// parts are what other requests may have in common with the prompt: the parts that they
	// may share, and the prompt as a whole.
	parts []string
	// namedParts also has the last part of the prompt.
	namedParts []string
	// trials are the entries in quarantine for which the request is tried.
	trials  quarantine.Trials
	route   *topology.Route
	account *topology.Account
	service *topology.Service
	config  *topology.Config
	started time.Time
	// deadline is when the final response is due; zero means no deadline.
	deadline time.Time
	cost     float64
	// tried targets are not chosen again.
	tried map[string]bool
	// possibleExecutions counts attempts in which the target may have executed the
	// request; sends counts all attempts.
	possibleExecutions, sends int
	// responseStarted means that part of the response was sent to the caller.
	responseStarted bool
	// contentType is that of the response that was started.
	contentType string
	// progress is what all attempts have shown of the response.
	progress    completion.Progress
	lastEventID string
	// firstEventLatency is the time from the arrival of the request to the first event.
	firstEventLatency time.Duration
	log               hclog.Logger
}

// ServeHTTP implements http.Handler.
func (r *Router) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.active.Add(1)
	defer r.active.Add(-1)
	ctx, span := r.Tracer.Start(req.Context(), "request")
	defer span.End()
	if r.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	c := &call{w: w, req: req, started: time.Now(), meta: r.Codec.Request(req.Header), tried: map[string]bool{}}
	c.log = r.Log.With("request", c.meta.ID)
	c.parts, c.namedParts = promptParts(&c.meta)
	if c.meta.Resumes {
		c.progress.RecordResumption()
	}
	defer func() { r.bufferedBytes.Add(-c.reservedBytes) }()
	if f := r.admit(c); f != nil {
		r.refuse(c, f)
		return
	}
	span.SetAttributes(attribute.String("route", c.route.Name))
	r.forward(ctx, c)
}

// forward sends the request until a target's response is relayed or no further attempt
// is possible.
func (r *Router) forward(ctx context.Context, c *call) {
	ctx, end := context.WithCancel(ctx)
	defer end()
	defer context.AfterFunc(r.stopped, end)()
	if !c.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, c.deadline)
		defer cancel()
	}
	r.countRequest(c)
	r.claimTrials(ctx, c)
	var last *failure
	for {
		p, f := r.planAttempt(c)
		if f != nil {
			if last == nil {
				last = f
			}
			break
		}
		f = r.attempt(ctx, c, p)
		if f == nil {
			return
		}
		last = f
		if !r.mayRetry(ctx, c, f) {
			break
		}
		c.log.Info("request is sent again", "route", c.route.Name, "after", f.reason, "target", p.target.ID, "sends", c.sends, "response_began", f.began)
	}
	r.finishFailed(c, last)
}

func (r *Router) countRequest(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(c.service.Name).RecordRequest(time.Now())
}

func (r *Router) budget(service string) *retry.Budget {
	b := r.budgets[service]
	if b == nil {
		b = retry.NewBudget(r.RetryLimits)
		r.budgets[service] = b
	}
	return b
}
