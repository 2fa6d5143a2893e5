// Package weights rolls out the weights versions that the operator publishes. One host
// at a time sends orders to the engines, under a lease in the store whose fencing token
// goes with each order.
package weights

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/sequoiaroad/sequoiaroad/internal/clock"
	"github.com/sequoiaroad/sequoiaroad/internal/leasestore"
	"github.com/sequoiaroad/sequoiaroad/internal/message"
	"github.com/sequoiaroad/sequoiaroad/internal/peers"
	"github.com/sequoiaroad/sequoiaroad/internal/view"
	"github.com/sequoiaroad/sequoiaroad/policy/lease"
	"github.com/sequoiaroad/sequoiaroad/policy/rollout"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

const (
	// LeaseTable holds the lease of the rollout.
	LeaseTable = "sequoiaroad.duties"
	leaseKey   = "weights"

	reconcileInterval = 50 * time.Millisecond
	// renewMargin is how long before its expiry the lease is renewed while a rollout is
	// pending.
	renewMargin = 2 * time.Second
	// leaseDrift covers clocks that run at different rates.
	leaseDrift = 300 * time.Millisecond
	// leaseCheckInterval is the interval between reads of a lease that another host
	// holds.
	leaseCheckInterval = 900 * time.Millisecond
	// orderDeliveryTime bounds the time that an order takes to reach an engine.
	orderDeliveryTime = 700 * time.Millisecond
	// noticeTimeout bounds how long an order waits until peers have acknowledged its
	// notice.
	noticeTimeout = 150 * time.Millisecond
	// maxEnginePause bounds the pause of an engine whose order never completes.
	maxEnginePause = 3500 * time.Millisecond
	pollInterval   = 100 * time.Millisecond
	orderTimeout   = 6 * time.Second
	// orderRetryDelay follows a failed order, and reportRetryDelay a failed read of an
	// engine's report; other engines are served first.
	orderRetryDelay  = 300 * time.Millisecond
	reportRetryDelay = time.Second
)

// Router is the part of the request path that the controller uses.
type Router interface {
	// Weights returns the weights version of a model that a target is known to have
	// loaded, and the number of requests that all hosts have in flight there.
	Weights(t *topology.Target, model string) (version int64, inFlight int)
	// Ejected reports whether a target is ejected after failures.
	Ejected(t *topology.Target) bool
	// HandleEngineNotice applies a notice to the requests of this host.
	HandleEngineNotice(n *peers.EngineNotice)
}

// Fleet gives the controller access to the other hosts.
type Fleet interface {
	// Live returns the other live hosts.
	Live() []view.Host
	// IsJoining reports whether this host does not know the others yet.
	IsJoining() bool
	// ReadsForItself reports whether no hub tells this host what the store has.
	ReadsForItself() bool
	// BroadcastEngineNotice sends a notice to all other hosts, and waits until they have
	// acknowledged it or ctx ends.
	BroadcastEngineNotice(ctx context.Context, n *peers.EngineNotice)
}

// Options configure a Controller.
type Options struct {
	HostID        string
	Store         leasestore.Client
	View          *view.View
	Router        Router
	Fleet         Fleet
	Engines       message.Engines
	Log           hclog.Logger
	LeaseDuration time.Duration
	// SettleTime is how long a new lease holder waits for orders of the previous one to
	// arrive; zero if the engines check fencing tokens.
	SettleTime time.Duration
	// Clock must not stop while the host is paused.
	Clock  func() time.Time
	Limits rollout.Limits
}

// Controller runs on each host; only the holder of the lease sends orders.
type Controller struct {
	Options
	row    *leasestore.Row
	params lease.Params

	held *lease.Held
	// stalledSince is the time since which rollouts have been pending without progress
	// by any host.
	stalledSince   time.Time
	nextLeaseCheck time.Time
	mu             sync.Mutex
	busy           map[string]bool
	retryAt        map[string]time.Time
	lastProgress   time.Time
	// observedEra is the store's era in which the lease row was read; observeEraAt is when
	// a failed read is repeated.
	observedEra  uint64
	observeEraAt time.Time
	// records holds what this host has done about the newest publication, by model.
	records map[string]*record
	// highestFenced is the highest fencing token of this host that an engine rejected.
	highestFenced uint64
}

// New returns a controller without a lease.
func New(o Options) *Controller {
	return &Controller{
		Options: o,
		row:     leasestore.New(o.Store, LeaseTable, leaseKey, o.HostID, o.Clock),
		params:  lease.Params{Duration: o.LeaseDuration, Drift: leaseDrift, Settle: o.SettleTime},
		busy:    map[string]bool{}, retryAt: map[string]time.Time{}, records: map[string]*record{},
	}
}

// RecordProgress records that another host makes progress.
func (c *Controller) RecordProgress() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastProgress = c.Clock()
}

// Run sends orders until ctx ends, and then waits for those in progress.
func (c *Controller) Run(ctx context.Context) error {
	var running sync.WaitGroup
	clock.Every(ctx, reconcileInterval, func() { c.reconcile(ctx, &running) })
	running.Wait()
	return nil
}

// modelRollout is a model with engines that lack the desired version.
type modelRollout struct {
	desired topology.DesiredWeights
	engines []rollout.Engine
}

func (c *Controller) pendingRollouts() []modelRollout {
	s := c.View.Snapshot()
	if s.Config == nil {
		return nil
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []modelRollout
	for model, desired := range s.DesiredWeights {
		r := modelRollout{desired: desired}
		for _, t := range s.Targets {
			if _, serves := t.Weights[model]; !serves || t.Leaving {
				continue
			}
			version, inFlight := c.Router.Weights(t, model)
			r.engines = append(r.engines, rollout.Engine{
				ID: t.ID, Version: version, InFlight: inFlight, OutdatedFor: desired.OutdatedFor(version, now), Busy: c.busy[t.ID],
				Ejected: c.Router.Ejected(t), NotBefore: c.retryAt[t.ID],
			})
		}
		if rollout.AnyOutdated(r.engines, desired.Version) {
			out = append(out, r)
		}
	}
	return out
}

func (c *Controller) reconcile(ctx context.Context, running *sync.WaitGroup) {
	if c.Fleet.IsJoining() {
		return // all hosts would take themselves for the first
	}
	c.observeEra(ctx)
	c.recordPublications(ctx, running)
	pending := c.pendingRollouts()
	if len(pending) == 0 {
		c.stalledSince = time.Time{}
		return
	}
	if !c.ensureLease(ctx) {
		return
	}
	now := time.Now()
	for _, r := range pending {
		for _, id := range rollout.Next(r.engines, r.desired.Version, c.Limits, now) {
			t := c.View.Snapshot().Targets[id]
			if t == nil || !c.held.MayAct(c.Clock(), orderDeliveryTime+noticeTimeout) {
				continue
			}
			c.setBusy(id, true)
			held := *c.held
			running.Go(func() {
				defer c.setBusy(id, false)
				c.rollOut(ctx, t, r.desired, held)
			})
		}
	}
}

func (c *Controller) setBusy(id string, busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if busy {
		c.busy[id] = true
		return
	}
	delete(c.busy, id)
}

func (c *Controller) notify(ctx context.Context, n *peers.EngineNotice) {
	c.Router.HandleEngineNotice(n)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), noticeTimeout)
	defer cancel()
	c.Fleet.BroadcastEngineNotice(ctx, n)
}

// rollOut orders one engine to load the desired version and waits until it has.
func (c *Controller) rollOut(ctx context.Context, t *topology.Target, desired topology.DesiredWeights, held lease.Held) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	started := time.Now()
	log := c.Log.With("target", t.ID, "model", desired.Model, "weights", desired.Version, "fence", held.Row.FencingToken)
	state, err := c.Engines.State(ctx, t)
	if err != nil {
		log.Warn("failed to read the engine's report", "error", err)
		c.scheduleRetry(t.ID, reportRetryDelay)
		return
	}
	if state.Weights[desired.Model] >= desired.Version {
		c.notify(ctx, &peers.EngineNotice{TargetID: t.ID, Model: desired.Model, Version: state.Weights[desired.Model]})
		return
	}
	c.notify(ctx, &peers.EngineNotice{TargetID: t.ID, Model: desired.Model, PauseMs: maxEnginePause.Milliseconds()})
	if !held.MayAct(c.Clock(), orderDeliveryTime) {
		c.notify(ctx, &peers.EngineNotice{TargetID: t.ID, Model: desired.Model})
		return
	}
	outcome := c.sendOrder(ctx, t, desired, held, state)
	if outcome == message.OrderFenced {
		c.recordFenced(held)
	}
	loaded := false
	if outcome == message.OrderAccepted || outcome == message.OrderAlreadyLoaded || outcome == message.OrderUnknown || outcome == message.OrderConflict {
		loaded = c.awaitWeights(ctx, t, desired, outcome)
	}
	if !loaded {
		log.Warn("weights are not in place", "outcome", outcome.String())
		c.scheduleRetry(t.ID, orderRetryDelay)
		c.notify(ctx, &peers.EngineNotice{TargetID: t.ID, Model: desired.Model})
		return
	}
	log.Info("weights in place", "took_ms", time.Since(started).Milliseconds())
	c.notify(ctx, &peers.EngineNotice{TargetID: t.ID, Model: desired.Model, Version: desired.Version})
}

// sendOrder sends an order, and resends it if there is no response: an engine executes
// at most one of them, since each states the number of orders before it.
func (c *Controller) sendOrder(ctx context.Context, t *topology.Target, desired topology.DesiredWeights, held lease.Held, state message.EngineState) message.OrderOutcome {
	outcome := message.OrderUnknown
	for n := 0; n < maxOrderAttempts && outcome == message.OrderUnknown && held.MayAct(c.Clock(), orderDeliveryTime); n++ {
		var err error
		outcome, err = c.Engines.Order(ctx, t, message.WeightsOrder{
			Model: desired.Model, Version: desired.Version, Holder: c.HostID, FencingToken: held.Row.FencingToken, ExpectedSequence: state.Sequence,
		})
		c.Log.Info("weights ordered", "target", t.ID, "model", desired.Model, "weights", desired.Version, "fence", held.Row.FencingToken,
			"outcome", outcome.String(), "running", state.Running, "queued", state.Queued, "sequence", state.Sequence, "error", err)
	}
	return outcome
}

// maxOrderAttempts bounds how often an order without a response is sent.
const maxOrderAttempts = 3

// unknownOutcomeTimeout is how long an order without a response may take to show
// effect.
const unknownOutcomeTimeout = 400 * time.Millisecond

// awaitWeights polls the engine until it has the desired version.
func (c *Controller) awaitWeights(ctx context.Context, t *topology.Target, desired topology.DesiredWeights, outcome message.OrderOutcome) bool {
	started := time.Now()
	for clock.Sleep(ctx, pollInterval) {
		state, err := c.Engines.State(ctx, t)
		if err != nil {
			if time.Since(started) > 2*time.Second {
				return false
			}
			continue
		}
		if state.Weights[desired.Model] >= desired.Version {
			return true
		}
		if outcome != message.OrderAccepted && !state.Busy && time.Since(started) > unknownOutcomeTimeout {
			return false
		}
	}
	return false
}

func (c *Controller) scheduleRetry(id string, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(c.retryAt, func(_ string, at time.Time) bool { return !at.After(now) })
	c.retryAt[id] = now.Add(after)
}
