// Package weights brings engines to the weights versions that the operator names. One
// host at a time does so, under a lease in the store whose fencing number goes with
// each order.
package weights

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/sequoiaroad/sequoiaroad/internal/clock"
	"github.com/sequoiaroad/sequoiaroad/internal/leaserow"
	"github.com/sequoiaroad/sequoiaroad/internal/message"
	"github.com/sequoiaroad/sequoiaroad/internal/peers"
	"github.com/sequoiaroad/sequoiaroad/internal/view"
	"github.com/sequoiaroad/sequoiaroad/policy/lease"
	"github.com/sequoiaroad/sequoiaroad/policy/rollout"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

const (
	// DutyTable holds the lease of this duty.
	DutyTable = "sequoiaroad.duties"
	dutyKey   = "weights"

	tick = 50 * time.Millisecond
	// renewBefore the end of the lease while there is work.
	renewBefore = 2 * time.Second
	// leaseDrift covers clocks of different rate.
	leaseDrift = 300 * time.Millisecond
	// observeInterval is the pause between looks at a lease that another host holds.
	observeInterval = 900 * time.Millisecond
	// orderNeed is the time that an order may take to reach an engine.
	orderNeed = 700 * time.Millisecond
	// noticeWait bounds how long an order waits until peers have taken its notice.
	noticeWait = 150 * time.Millisecond
	// pausePerOrder bounds the pause of an engine whose order is never finished.
	pausePerOrder = 3500 * time.Millisecond
	pollInterval  = 100 * time.Millisecond
	orderTimeout  = 6 * time.Second
	// orderRetry is the pause after a failed order, and reportRetry the one after an
	// engine gave no report: others go first.
	orderRetry  = 300 * time.Millisecond
	reportRetry = time.Second
)

// Router is what the duty needs of the request path.
type Router interface {
	Weights(t *topology.Target, model string) (version int64, running int)
	// Avoided reports whether requests avoid a target after failures.
	Avoided(t *topology.Target) bool
	HeardNotice(n *peers.EngineNotice)
}

// Fleet is what the duty needs of the other hosts.
type Fleet interface {
	Live() []view.Host
	Notify(ctx context.Context, n *peers.EngineNotice)
}

// Options configure a Duty.
type Options struct {
	HostID        string
	Store         leaserow.Store
	View          *view.View
	Router        Router
	Fleet         Fleet
	Engines       message.Engines
	Log           hclog.Logger
	LeaseDuration time.Duration
	// Settle is how long a new holder waits for orders of the one before; zero if
	// the engines check fencing numbers.
	Settle time.Duration
	// Clock does not stand still while the host is paused.
	Clock func() time.Time
	Terms rollout.Limits
}

// Duty runs on each host; the holder of the lease gives orders.
type Duty struct {
	Options
	row    *leaserow.Row
	params lease.Params

	held *lease.Held
	// blockedSince is when work was first seen that no host makes progress with.
	blockedSince time.Time
	nextLook     time.Time

	mu       sync.Mutex
	busy     map[string]bool
	retryAt  map[string]time.Time
	progress time.Time
	// fenced is the highest own fencing number that an engine refused.
	fenced uint64
}

// New returns a duty without a lease.
func New(o Options) *Duty {
	return &Duty{
		Options: o,
		row:     leaserow.New(o.Store, DutyTable, dutyKey, o.HostID, o.Clock),
		params:  lease.Params{Duration: o.LeaseDuration, Drift: leaseDrift, Settle: o.Settle},
		busy:    map[string]bool{}, retryAt: map[string]time.Time{},
	}
}

// HeardNotice notes that another host makes progress.
func (d *Duty) HeardNotice() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.progress = d.Clock()
}

// Run gives orders until ctx ends, and then lets those under way finish.
func (d *Duty) Run(ctx context.Context) error {
	var running sync.WaitGroup
	clock.Every(ctx, tick, func() { d.step(ctx, &running) })
	running.Wait()
	return nil
}

// work is a model with engines that are behind.
type work struct {
	wanted  topology.DesiredWeights
	engines []rollout.Engine
}

func (d *Duty) pending() []work {
	s := d.View.Snapshot()
	if s.Config == nil {
		return nil
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []work
	for model, wanted := range s.Wanted {
		w := work{wanted: wanted}
		for _, t := range s.Targets {
			if _, serves := t.Weights[model]; !serves || t.Leaving {
				continue
			}
			version, running := d.Router.Weights(t, model)
			w.engines = append(w.engines, rollout.Engine{
				ID: t.ID, Version: version, InFlight: running, OutdatedFor: wanted.OutdatedFor(version, now), Busy: d.busy[t.ID],
				Ejected: d.Router.Avoided(t), NotBefore: d.retryAt[t.ID],
			})
		}
		if rollout.AnyOutdated(w.engines, wanted.Version) {
			out = append(out, w)
		}
	}
	return out
}

func (d *Duty) step(ctx context.Context, running *sync.WaitGroup) {
	pending := d.pending()
	if len(pending) == 0 {
		d.blockedSince = time.Time{}
		return
	}
	if !d.hold(ctx) {
		return
	}
	now := time.Now()
	for _, w := range pending {
		for _, id := range rollout.Next(w.engines, w.wanted.Version, d.Terms, now) {
			t := d.View.Snapshot().Targets[id]
			if t == nil || !d.held.MayAct(d.Clock(), orderNeed+noticeWait) {
				continue
			}
			d.setBusy(id, true)
			held := *d.held
			running.Go(func() {
				defer d.setBusy(id, false)
				d.bring(ctx, t, w.wanted, held)
			})
		}
	}
}

func (d *Duty) setBusy(id string, busy bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if busy {
		d.busy[id] = true
		return
	}
	delete(d.busy, id)
}

func (d *Duty) notify(ctx context.Context, n *peers.EngineNotice) {
	d.Router.HeardNotice(n)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), noticeWait)
	defer cancel()
	d.Fleet.Notify(ctx, n)
}

// bring orders one engine to load the wanted version and waits until it has.
func (d *Duty) bring(ctx context.Context, t *topology.Target, wanted topology.DesiredWeights, held lease.Held) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	started := time.Now()
	log := d.Log.With("target", t.ID, "model", wanted.Model, "weights", wanted.Version, "fence", held.Row.FencingToken)
	state, err := d.Engines.State(ctx, t)
	if err != nil {
		log.Warn("engine gave no report", "error", err)
		d.retry(t.ID, reportRetry)
		return
	}
	if state.Weights[wanted.Model] >= wanted.Version {
		d.notify(ctx, &peers.EngineNotice{TargetID: t.ID, Model: wanted.Model, Version: state.Weights[wanted.Model]})
		return
	}
	d.notify(ctx, &peers.EngineNotice{TargetID: t.ID, Model: wanted.Model, PauseMs: pausePerOrder.Milliseconds()})
	if !held.MayAct(d.Clock(), orderNeed) {
		d.notify(ctx, &peers.EngineNotice{TargetID: t.ID, Model: wanted.Model})
		return
	}
	outcome := d.order(ctx, t, wanted, held, state)
	if outcome == message.OrderFenced {
		d.stepDown(held)
	}
	done := false
	if outcome == message.OrderAccepted || outcome == message.OrderAlreadyLoaded || outcome == message.OrderUnknown || outcome == message.OrderConflict {
		done = d.await(ctx, t, wanted, outcome)
	}
	if !done {
		log.Warn("weights are not in place", "outcome", outcome.String())
		d.retry(t.ID, orderRetry)
		d.notify(ctx, &peers.EngineNotice{TargetID: t.ID, Model: wanted.Model})
		return
	}
	log.Info("weights in place", "took_ms", time.Since(started).Milliseconds())
	d.notify(ctx, &peers.EngineNotice{TargetID: t.ID, Model: wanted.Model, Version: wanted.Version})
}

// order sends an order, again if it is not answered: an engine carries out at most one
// of them, since each names the number of orders before it.
func (d *Duty) order(ctx context.Context, t *topology.Target, wanted topology.DesiredWeights, held lease.Held, state message.EngineState) message.OrderOutcome {
	outcome := message.OrderUnknown
	for n := 0; n < maxOrders && outcome == message.OrderUnknown && held.MayAct(d.Clock(), orderNeed); n++ {
		var err error
		outcome, err = d.Engines.Order(ctx, t, message.WeightsOrder{
			Model: wanted.Model, Version: wanted.Version, Holder: d.HostID, FencingToken: held.Row.FencingToken, ExpectedSequence: state.Sequence,
		})
		d.Log.Info("weights ordered", "target", t.ID, "model", wanted.Model, "weights", wanted.Version, "fence", held.Row.FencingToken,
			"outcome", outcome.String(), "running", state.Running, "queued", state.Queued, "sequence", state.Sequence, "error", err)
	}
	return outcome
}

// maxOrders is how often an order without an answer is sent.
const maxOrders = 3

// unknownPatience is how long an order without an answer is given to show effect.
const unknownPatience = 400 * time.Millisecond

// await polls the engine until it has the version.
func (d *Duty) await(ctx context.Context, t *topology.Target, wanted topology.DesiredWeights, outcome message.OrderOutcome) bool {
	started := time.Now()
	for clock.Sleep(ctx, pollInterval) {
		state, err := d.Engines.State(ctx, t)
		if err != nil {
			if time.Since(started) > 2*time.Second {
				return false
			}
			continue
		}
		if state.Weights[wanted.Model] >= wanted.Version {
			return true
		}
		if outcome != message.OrderAccepted && !state.Busy && time.Since(started) > unknownPatience {
			return false
		}
	}
	return false
}

func (d *Duty) retry(id string, after time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retryAt[id] = time.Now().Add(after)
}
