// Package orders sends orders to engines: loads of models, adapters and weights
// versions, and changes of role. Each order is sent under the lease of its target;
// loads also hold one of the fleet's slots for weight loads.
package orders

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/clock"
	"github.com/sequoiaroad/sequoiaroad/internal/leaserow"
	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/lease"
)

// The tables of this package.
const (
	LeaseTable = "leases"
	SlotTable  = "slots"
)

// LoadSlots is the number of weight loads at once in the fleet. With more, the
// weight store makes every load slower.
const LoadSlots = 2

// Kind names an order.
type Kind string

// The kinds of order.
const (
	LoadModel   Kind = "load_model"
	LoadAdapter Kind = "load_adapter"
	LoadVersion Kind = "load_version"
	ChangeRole  Kind = "change_role"
)

func (k Kind) loadsWeights() bool { return k != ChangeRole }

// Order is an order to one engine.
type Order struct {
	TargetID string
	Kind     Kind
	Model    string
	// WeightsVersion is used by LoadModel and LoadVersion.
	WeightsVersion string
	// Adapter is used by LoadAdapter.
	Adapter string
	// Role is used by ChangeRole.
	Role string
}

// Result is an answered order.
type Result struct {
	FencingToken uint64
	// Body is the engine's answer, at most 64 KiB.
	Body []byte
}

// Errors that callers tell apart. After ErrUnanswered the order may have been
// carried out, or may be later.
var (
	ErrUnknownTarget = errors.New("no such engine")
	ErrRejected      = errors.New("the engine rejected the order")
	ErrStale         = errors.New("the engine has seen a newer fencing number")
	ErrUnanswered    = errors.New("the engine did not answer the order")
	ErrNotHeld       = errors.New("the order was not sent: its lease or slot was not held in time")
	ErrUnreachable   = errors.New("the order was not sent: no connection to the engine")
)

// Options set up a Service; zero values mean the defaults.
type Options struct {
	Store platform.Store
	// HostID and Incarnation name this process as a holder of leases.
	HostID      string
	Incarnation string
	// Target returns a target of the applied configuration, or nil.
	Target func(id string) *config.Target
	Logger hclog.Logger
	// Transport reaches the engines; nil means a pooled transport of its own.
	Transport http.RoundTripper
	// Loads takes the start and end of weight loads; nil means nobody does.
	Loads LoadObserver
	// Clock returns monotonic time; nil means time.Now.
	Clock func() time.Time
	// OrderTimeout bounds an order from sending to answer, and is taken as the
	// longest delay of an order on its way; zero means 5 s.
	OrderTimeout time.Duration
	// LoadTime is the longest time that a load occupies the weight store after its
	// order arrived; zero means 5 s, ten times the usual load.
	LoadTime time.Duration
	// LeaseDuration must exceed OrderTimeout; zero means 15 s.
	LeaseDuration time.Duration
	// DriftMargin covers clocks of different rate; zero means 1 s.
	DriftMargin time.Duration
	// PollInterval is the mean pause between looks at a held lease; zero means 250 ms.
	PollInterval time.Duration
}

// LoadObserver is told of the weight loads that this host orders.
type LoadObserver interface {
	// ObserveWeightsLoadStart is called right before an order is sent. The load ends when the
	// target reports the version, at the latest after atMost.
	ObserveWeightsLoadStart(targetID, model, version string, atMost time.Duration)
	// ObserveWeightsLoadEnd is called if the load has ended in another way.
	ObserveWeightsLoadEnd(targetID string)
}

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Transport == nil {
		o.Transport = newTransport()
	}
	setDefault(&o.OrderTimeout, 5*time.Second)
	setDefault(&o.LoadTime, 5*time.Second)
	setDefault(&o.LeaseDuration, 15*time.Second)
	setDefault(&o.DriftMargin, time.Second)
	setDefault(&o.PollInterval, 250*time.Millisecond)
	return o
}

func setDefault(d *time.Duration, fallback time.Duration) {
	if *d == 0 {
		*d = fallback
	}
}

// Service sends orders.
type Service struct {
	options Options
	holder  string
	client  *http.Client
	slots   []*leaserow.Row

	mu      sync.Mutex
	targets map[string]*leaserow.Row
}

// New returns a service.
func New(o Options) (*Service, error) {
	o = o.withDefaults()
	if o.Store == nil || o.Target == nil || o.HostID == "" || o.Incarnation == "" {
		return nil, errors.New("the order service needs a store, Target, the host id and the incarnation")
	}
	if o.LeaseDuration <= o.OrderTimeout {
		return nil, errors.Errorf("lease duration %s does not exceed the order timeout %s", o.LeaseDuration, o.OrderTimeout)
	}
	s := &Service{
		options: o,
		holder:  o.HostID + "/" + o.Incarnation,
		client:  newHTTPClient(o.Transport),
		targets: map[string]*leaserow.Row{},
	}
	for i := range LoadSlots {
		s.slots = append(s.slots, s.newLeaseRow(SlotTable, slotKey(i)))
	}
	return s, nil
}

func slotKey(i int) string { return "weight-load-" + string(rune('0'+i)) }

// target returns the lease row of a target. The map is bounded by the targets of
// the configuration, since unknown ids are refused before.
func (s *Service) newLeaseRow(table, key string) *leaserow.Row {
	return leaserow.New(s.options.Store, table, key, s.holder, s.options.Clock)
}

func (s *Service) target(id string) *leaserow.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	row := s.targets[id]
	if row == nil {
		row = s.newLeaseRow(LeaseTable, id)
		s.targets[id] = row
	}
	return row
}

// Execute sends one order and returns the engine's answer. It waits until ctx ends
// for the target's lease and, for loads, a slot. The slot is free again after the
// answer, so engines answer a load once the weights are in place.
func (s *Service) Execute(ctx context.Context, o Order) (Result, error) {
	t := s.options.Target(o.TargetID)
	if t == nil || t.Kind != config.TargetEngine {
		return Result{}, errors.WithMessagef(ErrUnknownTarget, "order %s to target %s", o.Kind, o.TargetID)
	}
	holds := []*hold{}
	defer func() {
		for _, h := range holds {
			s.end(ctx, h)
		}
	}()
	h, err := s.acquire(ctx, []*leaserow.Row{s.target(t.ID)}, s.targetParams(t), nil)
	if err != nil {
		return Result{}, s.notHeld(o, err)
	}
	holds = append(holds, h)
	fence := h.held.Row.FencingToken
	if o.Kind.loadsWeights() {
		slot, err := s.acquire(ctx, s.slots, s.slotParams(), h)
		if err != nil {
			return Result{}, s.notHeld(o, err)
		}
		holds = append(holds, slot)
	}
	if err := s.ready(ctx, holds); err != nil {
		return Result{}, s.notHeld(o, err)
	}
	loads := s.options.Loads
	if !o.Kind.loadsWeights() || o.Kind == LoadAdapter {
		loads = nil
	}
	if loads != nil {
		loads.ObserveWeightsLoadStart(t.ID, o.Model, o.WeightsVersion, s.options.OrderTimeout+s.options.LoadTime)
	}
	result, err := s.send(ctx, t, o, fence)
	// After load_version the report tells more than the answer: it also shows that an
	// order without an answer was carried out.
	if loads != nil && !errors.Is(err, ErrUnanswered) && (err != nil || o.Kind == LoadModel) {
		loads.ObserveWeightsLoadEnd(t.ID)
	}
	if errors.Is(err, ErrUnanswered) {
		for _, h := range holds {
			h.unanswered = true
		}
	}
	return result, errors.WithMessagef(err, "order %s to target %s", o.Kind, o.TargetID)
}

func (s *Service) notHeld(o Order, cause error) error {
	return errors.WithMessagef(ErrNotHeld, "order %s to target %s: %v", o.Kind, o.TargetID, cause)
}

// targetParams: a target that checks fencing numbers refuses late orders itself.
func (s *Service) targetParams(t *config.Target) lease.Params {
	p := lease.Params{Duration: s.options.LeaseDuration, Drift: s.options.DriftMargin}
	if !t.ChecksFencing {
		p.Settle = s.options.OrderTimeout
	}
	return p
}

// slotParams: the weight store checks no numbers, and a load goes on after the
// holder of its slot died.
func (s *Service) slotParams() lease.Params {
	return lease.Params{
		Duration: s.options.LeaseDuration,
		Drift:    s.options.DriftMargin,
		Settle:   s.options.OrderTimeout + s.options.LoadTime,
	}
}

// hold is a lease held for one order.
type hold struct {
	row    *leaserow.Row
	held   lease.Held
	params lease.Params
	// unanswered leases are left to expire, so that the next holder settles.
	unanswered bool
}

// acquire takes one of the rows, trying all of them until ctx ends. Meanwhile it
// keeps the lease already held, which may be nil.
func (s *Service) acquire(ctx context.Context, rows []*leaserow.Row, p lease.Params, held *hold) (*hold, error) {
	first := 0
	if len(rows) > 1 {
		// Hosts that start at different slots meet less often.
		first = rand.IntN(len(rows))
	}
	for {
		var last error
		for i := range rows {
			row := rows[(first+i)%len(rows)]
			if !row.TryLock() {
				last = leaserow.ErrHeld
				continue
			}
			taken, err := row.TryAcquire(ctx, p)
			if err == nil {
				return &hold{row: row, held: taken, params: p}, nil
			}
			row.Unlock()
			last = err
		}
		if err := s.keep(ctx, held); err != nil {
			return nil, err
		}
		if !s.pause(ctx, s.options.PollInterval) {
			return nil, errors.WithMessage(last, ctx.Err().Error())
		}
	}
}

// pause sleeps for between half and one and a half times d.
func (s *Service) pause(ctx context.Context, d time.Duration) bool {
	return clock.Sleep(ctx, d/2+rand.N(d+1))
}

// ready waits until the order may be sent under all leases, with time left for
// the answer. Leases that are too short are renewed.
func (s *Service) ready(ctx context.Context, holds []*hold) error {
	for {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		for _, h := range holds {
			now := s.options.Clock()
			if now.Add(s.options.OrderTimeout).After(h.held.ExpiresAt) {
				if err := s.renew(ctx, h); err != nil {
					return err
				}
			}
		}
		if mayActUnderAll(holds, s.options.Clock(), s.options.OrderTimeout) {
			return nil
		}
		if !s.pause(ctx, s.options.PollInterval) {
			return ctx.Err()
		}
	}
}

func mayActUnderAll(holds []*hold, now time.Time, need time.Duration) bool {
	for _, h := range holds {
		if !h.held.MayAct(now, need) {
			return false
		}
	}
	return true
}

// keep renews a lease of which less than half is left.
func (s *Service) keep(ctx context.Context, h *hold) error {
	if h == nil || s.options.Clock().Add(s.options.LeaseDuration/2).Before(h.held.ExpiresAt) {
		return nil
	}
	return s.renew(ctx, h)
}

func (s *Service) renew(ctx context.Context, h *hold) error {
	held, err := h.row.Renew(ctx, h.held, h.params)
	if err == nil {
		h.held = held
	}
	return err
}

// end releases a lease whose order was answered or never sent. One that did not
// settle yet is left to expire: the next holder must still wait.
func (s *Service) end(ctx context.Context, h *hold) {
	defer h.row.Unlock()
	if h.unanswered || s.options.Clock().Before(h.held.ActFrom) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.options.OrderTimeout)
	defer cancel()
	if err := h.row.Release(ctx, h.held); err != nil {
		s.options.Logger.Warn("lease is left to expire",
			"row", h.row.String(), "error", err)
	}
}
