package target

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// Intervals and timeouts of the pollers.
const (
	defaultPollInterval = 200 * time.Millisecond
	defaultPollTimeout  = 2 * time.Second
	configCheckInterval = time.Second
)

// PollClient is the part of the engine client that Pollers uses.
type PollClient interface {
	Load(ctx context.Context, t *config.Target) (LoadReport, error)
	CacheEvents(ctx context.Context, t *config.Target, epoch string, after uint64) (CacheEvents, error)
}

// PollerOptions are the settings of Pollers.
type PollerOptions struct {
	Client   PollClient
	Observer Observer
	// Index returns the configuration in force; nil while there is none.
	Index func() *config.Index
	// Subscribe registers a function to call when the configuration changes; nil means
	// that changes are only found by a check each second.
	Subscribe func(f func())
	// Interval is the time between two polls of an engine; zero means 200 ms.
	Interval time.Duration
	// Timeout bounds one poll; zero means 2 s.
	Timeout time.Duration
}

// Pollers polls all engines of the configuration for load and cache events, each engine
// in its own goroutine.
type Pollers struct {
	options PollerOptions
	changed chan struct{}
}

// NewPollers returns pollers that start with Run.
func NewPollers(o PollerOptions) *Pollers {
	if o.Interval == 0 {
		o.Interval = defaultPollInterval
	}
	if o.Timeout == 0 {
		o.Timeout = defaultPollTimeout
	}
	return &Pollers{options: o, changed: make(chan struct{}, 1)}
}

type runningPoller struct {
	target config.Target
	stop   context.CancelFunc
	done   chan struct{}
}

// Run polls until ctx ends and returns once all pollers have ended.
func (p *Pollers) Run(ctx context.Context) error {
	if p.options.Subscribe != nil {
		p.options.Subscribe(func() {
			select {
			case p.changed <- struct{}{}:
			default:
			}
		})
	}
	ticker := time.NewTicker(configCheckInterval)
	defer ticker.Stop()
	running := map[string]*runningPoller{}
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		p.reconcile(ctx, running, &wg)
		select {
		case <-ctx.Done():
			return nil
		case <-p.changed:
		case <-ticker.C:
		}
	}
}

// reconcile starts and stops pollers so that they match the configuration.
func (p *Pollers) reconcile(ctx context.Context, running map[string]*runningPoller, wg *sync.WaitGroup) {
	index := p.options.Index()
	if index == nil {
		return
	}
	engines := map[string]config.Target{}
	for _, t := range index.Document().Targets {
		if t.Kind == config.TargetEngine {
			engines[t.ID] = t
		}
	}
	for id, r := range running {
		if t, ok := engines[id]; !ok || t.URL != r.target.URL {
			r.stop()
			<-r.done // calls for one target must come from one goroutine
			delete(running, id)
		}
	}
	for id, t := range engines {
		if running[id] != nil {
			continue
		}
		pollCtx, stop := context.WithCancel(ctx)
		r := &runningPoller{t, stop, make(chan struct{})}
		running[id] = r
		wg.Go(func() {
			defer close(r.done)
			p.pollEngine(pollCtx, &r.target)
		})
	}
}

func (p *Pollers) pollEngine(ctx context.Context, t *config.Target) {
	// A random start spreads the polls of many engines.
	timer := time.NewTimer(rand.N(p.options.Interval))
	defer timer.Stop()
	epoch, after := "", uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		epoch, after = p.pollOnce(ctx, t, epoch, after)
		timer.Reset(p.options.Interval)
	}
}

func (p *Pollers) pollOnce(ctx context.Context, t *config.Target, epoch string, after uint64) (string, uint64) {
	requestCtx, cancel := context.WithTimeout(ctx, p.options.Timeout)
	defer cancel()
	report, err := p.options.Client.Load(requestCtx, t)
	if err == nil {
		p.options.Observer.ObserveLoad(t.ID, report)
		var events CacheEvents
		if events, err = p.options.Client.CacheEvents(requestCtx, t, epoch, after); err == nil {
			return p.options.Observer.ObserveCacheEvents(t.ID, events)
		}
	}
	if ctx.Err() == nil {
		p.options.Observer.ObserveUnreachable(t.ID, err)
	}
	return epoch, after
}
