package idempotency

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/internal/refusal"
	policy "github.com/sequoiaroad/sequoiaroad/policy/idempotency"
)

// Table is the table that holds the claims.
const Table = "idempotency"

// maxInlineAnswerBytes is the largest encoded answer that a row holds; larger
// ones go to the object store.
const maxInlineAnswerBytes = 64 << 10

// maxClaimRounds bounds the writes of one Begin. Each round after the first
// follows a lost answer or a race with another claim.
const maxClaimRounds = 4

// Options set up a registry; zero values mean the defaults.
type Options struct {
	Store   platform.Store
	Objects platform.ObjectStore
	// HostID and Incarnation name this process as a holder.
	HostID      string
	Incarnation string
	// HolderLive says whether another holder may still record an answer.
	HolderLive func(hostID, incarnation string) bool
	// Fresh says whether this host may serve keyed requests now.
	Fresh  func() bool
	Logger hclog.Logger
	// Clock returns monotonic time; nil means time.Now.
	Clock func() time.Time
	// WallClock returns the time that records are stamped with; nil means time.Now.
	WallClock func() time.Time
	// Retention is how long after its end a record is kept; zero means for ever.
	Retention time.Duration
	// MayClean says whether this host deletes expired records now; nil means never.
	MayClean func() bool
	// CleanInterval is the time between two clean-ups; zero means 1 min.
	CleanInterval time.Duration
	// CleanPause is the pause before each write of a clean-up; zero means 500 ms, a
	// fifteenth of the default write budget.
	CleanPause time.Duration
	// MaxClaimAge is the time after the first write of a claim during which the
	// request may be sent; zero means 5 s.
	MaxClaimAge time.Duration
	// ConfirmTimeout bounds the time that Begin spends on the store; zero means 2 s.
	ConfirmTimeout time.Duration
	// RecordTimeout bounds one try to write a record in the background; zero means
	// 3 s, which leaves a store that takes 1 s for a call the time for a read and a
	// write.
	RecordTimeout time.Duration
	// MaxOpen bounds the claims whose record is not written yet, and with them the
	// memory held while the store is down; zero means 1,024. Further requests are
	// refused.
	MaxOpen int64
	// Workers is the number of background writers; zero means 4.
	Workers int
	// RetryBase and RetryMax bound the pause between background tries; zero means
	// 50 ms and 2 s.
	RetryBase time.Duration
	RetryMax  time.Duration
	// RecordLifetime is the time after which a record that can't be written is
	// dropped; zero means 24 h, far beyond the outages that are expected.
	RecordLifetime time.Duration
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.WallClock == nil {
		o.WallClock = time.Now
	}
	if o.MayClean == nil {
		o.MayClean = func() bool { return false }
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	setDefault(&o.CleanInterval, time.Minute)
	setDefault(&o.CleanPause, 500*time.Millisecond)
	setDefault(&o.MaxClaimAge, 5*time.Second)
	setDefault(&o.ConfirmTimeout, 2*time.Second)
	setDefault(&o.RecordTimeout, 3*time.Second)
	setDefault(&o.MaxOpen, 1024)
	setDefault(&o.Workers, 4)
	setDefault(&o.RetryBase, 50*time.Millisecond)
	setDefault(&o.RetryMax, 2*time.Second)
	setDefault(&o.RecordLifetime, 24*time.Hour)
	return o
}

func setDefault[T comparable](v *T, fallback T) {
	var zero T
	if *v == zero {
		*v = fallback
	}
}

// PlatformRegistry is the Registry over the platform. Run must be running for background
// records to be written.
type PlatformRegistry struct {
	options Options
	open    *semaphore.Weighted
	// opened counts the units of open that are held.
	opened atomic.Int64
	// waiting counts records from enqueue until they are written or dropped, those that
	// a worker holds included.
	waiting atomic.Int64
	pending chan *record
	listing listing
}

var _ Registry = (*PlatformRegistry)(nil)

// New returns a registry.
func New(o Options) (*PlatformRegistry, error) {
	o = o.withDefaults()
	if o.Store == nil || o.Objects == nil || o.HolderLive == nil || o.Fresh == nil {
		return nil, errors.New("the registry needs a store, an object store, HolderLive and Fresh")
	}
	if o.HostID == "" || o.Incarnation == "" {
		return nil, errors.New("the registry needs the host id and the incarnation")
	}
	return &PlatformRegistry{
		options: o,
		open:    semaphore.NewWeighted(o.MaxOpen),
		// Each record holds one unit of open, so that adding one never blocks.
		pending: make(chan *record, o.MaxOpen),
	}, nil
}

// Stats describe the records that are open at this host.
type Stats struct {
	// OpenClaims counts claims whose record is not written yet.
	OpenClaims int64
	// WaitingRecords counts those of them that wait for the store to take the record.
	WaitingRecords int64
}

// Stats returns a snapshot.
func (s *PlatformRegistry) Stats() Stats {
	return Stats{OpenClaims: s.opened.Load(), WaitingRecords: s.waiting.Load()}
}

func (s *PlatformRegistry) release() {
	s.opened.Add(-1)
	s.open.Release(1)
}

// holderLive treats this process as live without asking.
func (s *PlatformRegistry) holderLive(h policy.Holder) bool {
	if h == s.self() {
		return true
	}
	return s.options.HolderLive(h.HostID, h.Incarnation)
}

func (s *PlatformRegistry) self() policy.Holder {
	return policy.Holder{HostID: s.options.HostID, Incarnation: s.options.Incarnation}
}

// Begin claims a request, or returns what is known of it.
func (s *PlatformRegistry) Begin(ctx context.Context, k Key) (Claim, *Response, error) {
	if !s.open.TryAcquire(1) {
		return nil, nil, refusal.New(refusal.Overloaded, "too many non-idempotent requests are open at this host")
	}
	s.opened.Add(1)
	a := &attempt{
		service: s,
		key:     policy.RowKey(k.AccountID, k.Service, k.IdempotencyKey),
		began:   s.options.Clock(),
		row: policy.Row{
			AccountID: k.AccountID, Service: k.Service, IdempotencyKey: k.IdempotencyKey,
			Fingerprint: k.Fingerprint, Holder: s.self(), AttemptID: uuid.NewString(),
			State: policy.Claimed, ClaimedAt: s.options.WallClock().UTC(),
		},
	}
	storeCtx, cancel := context.WithTimeout(ctx, s.options.ConfirmTimeout)
	defer cancel()
	result, err := a.claim(storeCtx)
	switch {
	case err != nil && a.uncertain:
		s.enqueue(&record{key: a.key, row: a.row, to: policy.NotRun, release: true, version: a.expected, since: a.began})
	case err != nil || result != nil:
		s.release()
	default:
		return &claim{service: s, attempt: a, gate: policy.NewGate(a.began, s.options.MaxClaimAge)}, nil, nil
	}
	if err != nil {
		return nil, nil, refusal.New(refusal.PlatformUnavailable, "the request could not be claimed").WithCause(err)
	}
	return s.report(ctx, result)
}

// attempt is one try to claim a row.
type attempt struct {
	service *PlatformRegistry
	key     string
	row     policy.Row
	began   time.Time
	// expected is the version that the claim is conditional on.
	expected uint64
	// version is the row's version once the claim is confirmed.
	version uint64
	// uncertain means that a claim conditional on expected may be in effect or on
	// its way.
	uncertain bool
}

// existing is a row that prevents a claim.
type existing struct {
	key    string
	row    policy.Row
	action policy.Action
}

// claim returns nil and no error if the claim is confirmed. The same conditional
// write is repeated after a lost answer: at most one copy can take effect.
func (a *attempt) claim(ctx context.Context) (*existing, error) {
	store := a.service.options.Store
	value, err := json.Marshal(a.row)
	if err != nil {
		return nil, errors.WithMessage(err, "encode claim")
	}
	for range maxClaimRounds {
		version, commitErr := store.Commit(ctx,
			[]platform.Condition{{Table: Table, Key: a.key, Version: a.expected}},
			[]platform.Write{{Table: Table, Key: a.key, Value: value}})
		switch {
		case commitErr == nil:
			a.version = version
			return nil, nil
		case errors.Is(commitErr, platform.ErrUnknownOutcome):
			a.uncertain = true
		case !errors.Is(commitErr, platform.ErrConflict):
			return nil, commitErr
		}
		found, confirmed, err := a.readBack(ctx)
		if err != nil {
			return nil, err
		}
		if confirmed || found != nil {
			return found, nil
		}
	}
	return nil, errors.New("the claim was overtaken repeatedly")
}

// readBack looks for the attempt in the row. It returns a row that prevents the
// claim, or neither if the claim may be tried again.
func (a *attempt) readBack(ctx context.Context) (*existing, bool, error) {
	row, version, err := a.service.load(ctx, a.key)
	if err != nil {
		return nil, false, err
	}
	if policy.Confirms(row, a.row.AttemptID) {
		a.version = version
		return nil, true, nil
	}
	if version != a.expected {
		// The row moved on, so that the earlier claim fails its condition.
		a.uncertain = false
		a.expected = version
	}
	action := policy.Decide(row, a.row.Fingerprint, a.service.holderLive)
	if action == policy.MayClaim {
		return nil, false, nil
	}
	return &existing{a.key, *row, action}, false, nil
}

// load reads a row; an absent row is nil with version 0.
func (s *PlatformRegistry) load(ctx context.Context, key string) (*policy.Row, uint64, error) {
	stored, err := s.options.Store.Get(ctx, Table, key)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	row := &policy.Row{}
	if err := json.Unmarshal(stored.Value, row); err != nil {
		return nil, 0, errors.WithMessagef(err, "decode row %s/%s", Table, key)
	}
	return row, stored.Version, nil
}

// report turns an existing row into an answer or a refusal.
func (s *PlatformRegistry) report(ctx context.Context, found *existing) (Claim, *Response, error) {
	switch found.action {
	case policy.Replay:
		answer, err := s.loadAnswer(ctx, &found.row)
		if err != nil {
			return nil, nil, refusal.New(refusal.PlatformUnavailable, "the recorded answer can't be read").
				WithExecution(refusal.Executed).WithCause(err)
		}
		return nil, answer, nil
	case policy.KeyReused:
		return nil, nil, refusal.New(refusal.IdempotencyKeyReused, "the idempotency key was used with another request")
	case policy.StillRunning:
		return nil, nil, refusal.New(refusal.StillRunning, "the request is still running").WithExecution(refusal.ExecutionUnknown)
	}
	return nil, nil, refusal.New(refusal.OutcomeUnknown, "the outcome of the request is unknown").WithExecution(refusal.ExecutionUnknown)
}

func (s *PlatformRegistry) loadAnswer(ctx context.Context, row *policy.Row) (*Response, error) {
	data := row.Response
	if row.ResponseObject != "" {
		var err error
		if data, err = s.options.Objects.GetObject(ctx, row.ResponseObject); err != nil {
			return nil, err
		}
	}
	answer := &Response{}
	if err := json.Unmarshal(data, answer); err != nil {
		return nil, errors.WithMessage(err, "decode recorded answer")
	}
	return answer, nil
}

// storeAnswer puts the answer into the row, or a large one into the object store.
// Objects are named by attempt, so that putting one again changes nothing.
func (s *PlatformRegistry) storeAnswer(ctx context.Context, key string, row *policy.Row, answer *Response) error {
	data, err := json.Marshal(answer)
	if err != nil {
		return errors.WithMessage(err, "encode answer")
	}
	if len(data) <= maxInlineAnswerBytes {
		row.Response, row.ResponseObject = data, ""
		return nil
	}
	name := Table + "/" + key + "/" + row.AttemptID + "/" + string(row.State)
	if err := s.options.Objects.PutObject(ctx, name, data); err != nil {
		return err
	}
	row.Response, row.ResponseObject = nil, name
	return nil
}
