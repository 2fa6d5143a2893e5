package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/target"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// maintenanceInterval is how often Run applies the configuration and expires state.
const maintenanceInterval = 100 * time.Millisecond

// Observer takes spans and measures. Methods must not block.
type Observer interface {
	// StartSpan starts a span for one step of a request; the function ends it.
	StartSpan(ctx context.Context, step string) (context.Context, func(error))
	// CompletionDone is called once for each completion that got a last token.
	CompletionDone(accountID string, m Measures)
	// Retried is called when a further attempt is made.
	Retried(targetID, reason string)
}

// Measures are the counters of one completion.
type Measures struct {
	PromptTokens int
	CachedTokens int
	// WastedTokens were recomputed although a usable target had them cached when the
	// target was chosen, or were computed again by a further attempt.
	WastedTokens     int
	OutputTokens     int
	TimeToFirstToken time.Duration
}

// Totals are the sums of Measures since the start of the process.
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
	// Self is this host; its zone and region give network delays.
	Self config.Member
	// Engines sends completions. Required.
	Engines target.EngineClient
	// Policy names the routing policy; empty means "predicted-ttft".
	Policy string
	// Clock returns the time; nil means time.Now.
	Clock func() time.Time
	// Logger may be nil, which means no log.
	Logger hclog.Logger
	// Seed makes random draws repeatable; zero is a seed as any other.
	Seed uint64
	// Observer may be nil, which means no spans and no measures.
	Observer Observer
	// StallTimeout is how long a stream may be silent before it is resumed; zero
	// means 5 s.
	StallTimeout time.Duration
}

// Dispatcher implements Completer, Explainer, ServiceChooser, TargetSet and
// target.Observer. All methods may be called concurrently.
type Dispatcher struct {
	options  Options
	clock    func() time.Time
	logger   hclog.Logger
	observer Observer

	mu       sync.Mutex
	random   *rand.Rand
	revision uint64
	targets  map[string]*targetState
	totals   Totals
}

var (
	_ Completer       = (*Dispatcher)(nil)
	_ Explainer       = (*Dispatcher)(nil)
	_ ServiceChooser  = (*Dispatcher)(nil)
	_ TargetSet       = (*Dispatcher)(nil)
	_ target.Observer = (*Dispatcher)(nil)
)

// New returns a dispatcher that routes by the configuration at once; Run keeps its
// state bounded.
func New(o Options) (*Dispatcher, error) {
	if o.Config == nil || o.Engines == nil {
		return nil, errors.New("dispatch: Config and Engines are required")
	}
	if o.StallTimeout == 0 {
		o.StallTimeout = defaultStallTimeout
	}
	d := &Dispatcher{
		options:  o,
		clock:    o.Clock,
		logger:   o.Logger,
		observer: o.Observer,
		random:   rand.New(rand.NewPCG(o.Seed, o.Seed)),
		targets:  map[string]*targetState{},
	}
	if d.clock == nil {
		d.clock = time.Now
	}
	if d.logger == nil {
		d.logger = hclog.NewNullLogger()
	}
	if d.observer == nil {
		d.observer = nopObserver{}
	}
	return d, nil
}

// Run applies configuration changes and expires state until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.mu.Lock()
			d.syncLocked()
			d.mu.Unlock()
		}
	}
}

// Totals returns the sums of all measures.
func (d *Dispatcher) Totals() Totals {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.totals
}

type nopObserver struct{}

func (nopObserver) StartSpan(ctx context.Context, _ string) (context.Context, func(error)) {
	return ctx, func(error) {}
}
func (nopObserver) CompletionDone(string, Measures) {}
func (nopObserver) Retried(string, string)          {}
