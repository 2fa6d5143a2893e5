package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/clock"
	"github.com/sequoiaroad/sequoiaroad/internal/target"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
	"github.com/sequoiaroad/sequoiaroad/policy/preset"
	"github.com/sequoiaroad/sequoiaroad/policy/routing"
)

// maintenanceInterval is how often Run applies the configuration and expires state.
const maintenanceInterval = 100 * time.Millisecond

const defaultIndexBlocks = 1 << 20

// Observer receives spans and the counters of requests. Methods must not block.
type Observer interface {
	// StartSpan starts a span for one step of a request (route, queue, target, stream);
	// the returned function ends it.
	StartSpan(ctx context.Context, step string) (context.Context, func(error))
	// Routed is called with the context of a route span before it ends. The choice is
	// computed only if the observer calls choice, before it returns.
	Routed(ctx context.Context, choice func() Choice)
	// CompletionDone is called once for each completion that received its last token.
	CompletionDone(accountID string, m CompletionStats)
	// Retried is called for each attempt after the first; the reason is a FailureKind.
	Retried(targetID, reason string)
}

// CompletionStats holds the counters of one completion.
type CompletionStats struct {
	PromptTokens int
	CachedTokens int
	// WastedTokens counts tokens that were computed although a usable target had them
	// cached when the target was chosen, or that a further attempt computed again.
	WastedTokens     int
	OutputTokens     int
	TimeToFirstToken time.Duration
}

// Totals holds the sums of CompletionStats since the start of the process.
type Totals struct {
	Completions  uint64
	PromptTokens uint64
	CachedTokens uint64
	WastedTokens uint64
	OutputTokens uint64
	Retries      uint64
}

// Options are the settings of a Dispatcher.
type Options struct {
	// Config returns the configuration in force. Required.
	Config func() *config.Index
	// Self is this host; its zone and region determine network delays.
	Self config.Member
	// Engines sends completions. Required.
	Engines target.EngineClient
	// Policy names the routing policy; empty means "predicted-ttft".
	Policy string
	// Clock returns the time; nil means time.Now.
	Clock func() time.Time
	// Logger may be nil, which disables logging.
	Logger hclog.Logger
	// Seed makes random draws repeatable; zero is a valid seed.
	Seed uint64
	// Observer may be nil, which disables spans and counters.
	Observer Observer
	// StallTimeout is how long a stream may deliver no event before it is resumed; zero
	// means 5 s. Before the first token, three times the predicted time to first token is
	// added.
	StallTimeout time.Duration
	// IndexBlocks bounds the index of cached blocks; zero means 1,048,576, about 40 MB.
	IndexBlocks int
}

// Dispatcher implements Completer, Explainer, ServiceChooser, LeavingObserver and
// target.Observer. All methods may be called concurrently.
type Dispatcher struct {
	options  Options
	clock    func() time.Time
	logger   hclog.Logger
	observer Observer

	mu           sync.Mutex
	random       *rand.Rand
	config       *config.Index
	knobs        preset.Knobs
	index        *prefix.Index
	router       *routing.Router
	retryBudget  routing.RetryBudget
	targetQueues map[string]*targetQueue
	rateMeters   map[string]*rateMeter
	// firstTokenWaiters holds, by flight id, a channel for each request that waits for
	// the flight's first token.
	firstTokenWaiters map[uint64][]chan struct{}
	lastItemID        uint64
	// copier is nil if KV copies are disabled.
	copier Copier
	totals Totals
}

var (
	_ Completer       = (*Dispatcher)(nil)
	_ Explainer       = (*Dispatcher)(nil)
	_ ServiceChooser  = (*Dispatcher)(nil)
	_ LeavingObserver = (*Dispatcher)(nil)
	_ target.Observer = (*Dispatcher)(nil)
)

// New returns a dispatcher that routes by the current configuration without Run; Run
// keeps its state bounded.
func New(o Options) (*Dispatcher, error) {
	if o.Config == nil || o.Engines == nil {
		return nil, errors.New("dispatch: Config and Engines are required")
	}
	if o.StallTimeout == 0 {
		o.StallTimeout = defaultStallTimeout
	}
	if o.IndexBlocks == 0 {
		o.IndexBlocks = defaultIndexBlocks
	}
	d := &Dispatcher{
		options:           o,
		clock:             o.Clock,
		logger:            o.Logger,
		observer:          o.Observer,
		random:            rand.New(rand.NewPCG(o.Seed, o.Seed)),
		targetQueues:      map[string]*targetQueue{},
		rateMeters:        map[string]*rateMeter{},
		firstTokenWaiters: map[uint64][]chan struct{}{},
	}
	d.index = prefix.NewIndex(o.IndexBlocks, d.random.Uint64())
	d.knobs = preset.For("")
	var err error
	d.router, err = routing.NewRouter(routing.Options{
		Policy: o.Policy, Knobs: &d.knobs, Zone: o.Self.Zone, Region: o.Self.Region, Index: d.index,
	})
	if err != nil {
		return nil, errors.Wrap(err, "dispatch")
	}
	if d.clock == nil {
		d.clock = time.Now
	}
	if d.logger == nil {
		d.logger = hclog.NewNullLogger()
	}
	if d.observer == nil {
		d.observer = noopObserver{}
	}
	return d, nil
}

// Run applies configuration changes and expires state until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	clock.Every(ctx, maintenanceInterval, d.maintain)
	return nil
}

// maintain applies configuration changes and expires state.
func (d *Dispatcher) maintain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyConfig()
	now := d.clock()
	d.router.Expire(now)
	for _, tq := range d.targetQueues {
		for _, item := range tq.queue.Expire(now) {
			d.router.End(item.Value.flight)
			d.wakeFirstTokenWaiters(item.Value.flight.ID())
			item.Value.outcome <- outcomeExpired
		}
	}
}

// Totals returns the sums over all completions.
func (d *Dispatcher) Totals() Totals {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.totals
}

type noopObserver struct{}

func (noopObserver) StartSpan(ctx context.Context, _ string) (context.Context, func(error)) {
	return ctx, func(error) {}
}
func (noopObserver) Routed(context.Context, func() Choice)  {}
func (noopObserver) CompletionDone(string, CompletionStats) {}
func (noopObserver) Retried(string, string)                 {}
