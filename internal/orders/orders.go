// Package orders sends orders to engines: to load models, adapters and weights versions,
// and to change roles. The sender of an order holds the lease of its target; for loads it
// also holds one of the fleet's load slots.
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
	"github.com/sequoiaroad/sequoiaroad/internal/leasestore"
	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/lease"
)

// Tables of the store with the leases of targets and of load slots.
const (
	LeaseTable = "leases"
	SlotTable  = "slots"
)

// LoadSlots is the number of concurrent weight loads in the fleet. With more, the weight
// store slows down every load.
const LoadSlots = 2

// Kind is the kind of an order.
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

// Result is an engine's response to an order.
type Result struct {
	FencingToken uint64
	// Body is the body of the response, truncated to 64 KiB.
	Body []byte
}

// Errors that callers distinguish. After ErrNoResponse the order may have been executed,
// or may be executed later.
var (
	ErrUnknownTarget     = errors.New("no such engine")
	ErrRejected          = errors.New("the engine rejected the order")
	ErrStaleFencingToken = errors.New("the engine has seen a newer fencing number")
	ErrNoResponse        = errors.New("the engine did not answer the order")
	ErrLeaseNotHeld      = errors.New("the order was not sent: its lease or slot was not held in time")
	ErrUnreachable       = errors.New("the order was not sent: no connection to the engine")
)

// Options configures a Service; zero values mean the defaults.
type Options struct {
	Store platform.Store
	// HostID and Incarnation identify this process as a holder of leases.
	HostID      string
	Incarnation string
	// Target returns a target of the applied configuration, or nil.
	Target func(id string) *config.Target
	Logger hclog.Logger
	// Transport sends the orders; nil means a new transport with a connection pool.
	Transport http.RoundTripper
	// Loads is notified of the start and end of weight loads; it may be nil.
	Loads LoadObserver
	// Clock returns monotonic time; nil means time.Now.
	Clock func() time.Time
	// OrderTimeout bounds the time from sending an order to its response. It is also
	// the assumed longest delay of an order in the network; zero means 5 s.
	OrderTimeout time.Duration
	// MaxLoadDuration is the longest time that a load occupies the weight store after its
	// order arrived; zero means 5 s, ten times the usual duration.
	MaxLoadDuration time.Duration
	// LeaseDuration must exceed OrderTimeout; zero means 15 s.
	LeaseDuration time.Duration
	// DriftMargin allows for clocks that run at different rates; zero means 1 s.
	DriftMargin time.Duration
	// PollInterval is the mean pause between attempts to acquire a held lease; zero
	// means 250 ms.
	PollInterval time.Duration
}

// LoadObserver is notified of the weight loads that this host orders.
type LoadObserver interface {
	// ObserveWeightsLoadStart is called right before an order is sent. The load ends
	// when the target reports the version, at the latest after atMost.
	ObserveWeightsLoadStart(targetID, model, version string, atMost time.Duration)
	// ObserveWeightsLoadEnd is called if the load has ended otherwise, for
	// example because the engine rejected the order.
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
	setDefault(&o.MaxLoadDuration, 5*time.Second)
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
	options   Options
	holder    string
	client    *http.Client
	loadSlots []*leasestore.Row

	mu           sync.Mutex
	targetLeases map[string]*leasestore.Row
}

// New returns a service. LeaseDuration must exceed OrderTimeout.
func New(o Options) (*Service, error) {
	o = o.withDefaults()
	if o.Store == nil || o.Target == nil || o.HostID == "" || o.Incarnation == "" {
		return nil, errors.New("the order service needs a store, Target, the host id and the incarnation")
	}
	if o.LeaseDuration <= o.OrderTimeout {
		return nil, errors.Errorf("lease duration %s does not exceed the order timeout %s", o.LeaseDuration, o.OrderTimeout)
	}
	s := &Service{
		options:      o,
		holder:       o.HostID + "/" + o.Incarnation,
		client:       newHTTPClient(o.Transport),
		targetLeases: map[string]*leasestore.Row{},
	}
	for i := range LoadSlots {
		s.loadSlots = append(s.loadSlots, s.newLeaseRow(SlotTable, loadSlotKey(i)))
	}
	return s, nil
}

func loadSlotKey(i int) string { return "weight-load-" + string(rune('0'+i)) }

func (s *Service) newLeaseRow(table, key string) *leasestore.Row {
	return leasestore.New(s.options.Store, table, key, s.holder, s.options.Clock)
}

// targetLease returns the lease row of a target. The map is bounded by the targets of the
// configuration, since Execute rejects unknown ids first.
func (s *Service) targetLease(id string) *leasestore.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	row := s.targetLeases[id]
	if row == nil {
		row = s.newLeaseRow(LeaseTable, id)
		s.targetLeases[id] = row
	}
	return row
}

// Execute sends one order and returns the engine's response. It waits until ctx ends for
// the target's lease and, for loads, a slot. The slot is released after the response, so
// engines must respond to a load only once the weights are in place.
func (s *Service) Execute(ctx context.Context, o Order) (Result, error) {
	t := s.options.Target(o.TargetID)
	if t == nil || t.Kind != config.TargetEngine {
		return Result{}, errors.WithMessagef(ErrUnknownTarget, "order %s to target %s", o.Kind, o.TargetID)
	}
	leases := []*heldLease{}
	defer func() {
		for _, h := range leases {
			s.release(ctx, h)
		}
	}()
	h, err := s.acquire(ctx, []*leasestore.Row{s.targetLease(t.ID)}, s.targetLeaseParams(t), nil)
	if err != nil {
		return Result{}, s.leaseNotHeld(o, err)
	}
	leases = append(leases, h)
	fencingToken := h.held.Row.FencingToken
	if o.Kind.loadsWeights() {
		slot, err := s.acquire(ctx, s.loadSlots, s.slotLeaseParams(), h)
		if err != nil {
			return Result{}, s.leaseNotHeld(o, err)
		}
		leases = append(leases, slot)
	}
	if err := s.awaitLeases(ctx, leases); err != nil {
		return Result{}, s.leaseNotHeld(o, err)
	}
	loads := s.options.Loads
	if !o.Kind.loadsWeights() || o.Kind == LoadAdapter {
		loads = nil
	}
	if loads != nil {
		loads.ObserveWeightsLoadStart(t.ID, o.Model, o.WeightsVersion, s.options.OrderTimeout+s.options.MaxLoadDuration)
	}
	result, err := s.send(ctx, t, o, fencingToken)
	// The load of a successful load_version ends with the target's load report, which
	// also shows that an order without a response was executed.
	if loads != nil && !errors.Is(err, ErrNoResponse) && (err != nil || o.Kind == LoadModel) {
		loads.ObserveWeightsLoadEnd(t.ID)
	}
	if errors.Is(err, ErrNoResponse) {
		for _, h := range leases {
			h.outcomeUnknown = true
		}
	}
	return result, errors.WithMessagef(err, "order %s to target %s", o.Kind, o.TargetID)
}

func (s *Service) leaseNotHeld(o Order, cause error) error {
	return errors.WithMessagef(ErrLeaseNotHeld, "order %s to target %s: %v", o.Kind, o.TargetID, cause)
}

// targetLeaseParams returns the lease parameters of a target. A target that checks fencing
// tokens rejects late orders itself, so its lease needs no settle time.
func (s *Service) targetLeaseParams(t *config.Target) lease.Params {
	p := lease.Params{Duration: s.options.LeaseDuration, Drift: s.options.DriftMargin}
	if !t.ChecksFencing {
		p.Settle = s.options.OrderTimeout
	}
	return p
}

// slotLeaseParams returns the lease parameters of a load slot. The weight store checks no
// fencing tokens, and a load continues after the holder of its slot has crashed.
func (s *Service) slotLeaseParams() lease.Params {
	return lease.Params{
		Duration: s.options.LeaseDuration,
		Drift:    s.options.DriftMargin,
		Settle:   s.options.OrderTimeout + s.options.MaxLoadDuration,
	}
}

// heldLease is a lease held for one order.
type heldLease struct {
	row    *leasestore.Row
	held   lease.Held
	params lease.Params
	// outcomeUnknown is set if the order had no response. The lease is then left to
	// expire, so that the next holder waits for the settle time.
	outcomeUnknown bool
}

// acquire acquires the lease of one of the rows, trying all of them until ctx ends.
// Meanwhile it renews other, a lease that is already held and may be nil.
func (s *Service) acquire(ctx context.Context, rows []*leasestore.Row, p lease.Params, other *heldLease) (*heldLease, error) {
	first := 0
	if len(rows) > 1 {
		// A random first row reduces contention between hosts.
		first = rand.IntN(len(rows))
	}
	for {
		var last error
		for i := range rows {
			row := rows[(first+i)%len(rows)]
			if !row.TryLock() {
				last = leasestore.ErrHeld
				continue
			}
			held, err := row.TryAcquire(ctx, p)
			if err == nil {
				return &heldLease{row: row, held: held, params: p}, nil
			}
			row.Unlock()
			last = err
		}
		if err := s.renewIfHalfExpired(ctx, other); err != nil {
			return nil, err
		}
		if !s.sleepWithJitter(ctx, s.options.PollInterval) {
			return nil, errors.WithMessage(last, ctx.Err().Error())
		}
	}
}

// sleepWithJitter sleeps for between half and one and a half times d. It returns false if
// ctx ends first.
func (s *Service) sleepWithJitter(ctx context.Context, d time.Duration) bool {
	return clock.Sleep(ctx, d/2+rand.N(d+1))
}

// awaitLeases waits until the order may be sent under all leases, with time left for the
// response. It renews leases that would expire before.
func (s *Service) awaitLeases(ctx context.Context, leases []*heldLease) error {
	for {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		for _, h := range leases {
			now := s.options.Clock()
			if now.Add(s.options.OrderTimeout).After(h.held.ExpiresAt) {
				if err := s.renew(ctx, h); err != nil {
					return err
				}
			}
		}
		if mayActUnderAllLeases(leases, s.options.Clock(), s.options.OrderTimeout) {
			return nil
		}
		if !s.sleepWithJitter(ctx, s.options.PollInterval) {
			return ctx.Err()
		}
	}
}

func mayActUnderAllLeases(leases []*heldLease, now time.Time, actionTime time.Duration) bool {
	for _, h := range leases {
		if !h.held.MayAct(now, actionTime) {
			return false
		}
	}
	return true
}

// renewIfHalfExpired renews a lease that has less than half of its duration left.
func (s *Service) renewIfHalfExpired(ctx context.Context, h *heldLease) error {
	if h == nil || s.options.Clock().Add(s.options.LeaseDuration/2).Before(h.held.ExpiresAt) {
		return nil
	}
	return s.renew(ctx, h)
}

func (s *Service) renew(ctx context.Context, h *heldLease) error {
	held, err := h.row.Renew(ctx, h.held, h.params)
	if err == nil {
		h.held = held
	}
	return err
}

// release releases a lease whose order got a response or was never sent. A lease whose
// settle time has not passed is left to expire, since the next holder must also wait.
func (s *Service) release(ctx context.Context, h *heldLease) {
	defer h.row.Unlock()
	if h.outcomeUnknown || s.options.Clock().Before(h.held.ActFrom) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.options.OrderTimeout)
	defer cancel()
	if err := h.row.Release(ctx, h.held); err != nil {
		s.options.Logger.Warn("lease is not released and will expire",
			"row", h.row.String(), "error", err)
	}
}
