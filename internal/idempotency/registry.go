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

// Table is the name of the table that holds the claims.
const Table = "idempotency"

// maxInlineResponseBytes is the largest encoded response that a row holds; larger ones
// are stored in the object store.
const maxInlineResponseBytes = 64 << 10

// maxClaimRounds bounds the writes of one Begin. Each round after the first follows a
// lost response or a race with another claim.
const maxClaimRounds = 4

// Options configures a registry. Store, Objects, HostID, Incarnation, HolderLive and Fresh
// are required; zero values of the others select the defaults.
type Options struct {
	Store   platform.Store
	Objects platform.ObjectStore
	// HostID and Incarnation identify this process as the holder of its claims.
	HostID      string
	Incarnation string
	// HolderLive reports whether another holder may still record a response.
	HolderLive func(hostID, incarnation string) bool
	// Fresh reports whether this host may serve keyed requests now.
	Fresh  func() bool
	Logger hclog.Logger
	// Clock returns monotonic time; nil means time.Now.
	Clock func() time.Time
	// WallClock returns the time for the timestamps of records; nil means time.Now.
	WallClock func() time.Time
	// Retention is how long a record is kept after it ended; zero means forever.
	Retention time.Duration
	// MayClean reports whether this host deletes expired records now; nil means never.
	MayClean func() bool
	// CleanupInterval is the time between two cleanups; zero means 1 min.
	CleanupInterval time.Duration
	// CleanupPause is the pause before each write of a cleanup; zero means 500 ms, which
	// uses a fifteenth of the default write budget.
	CleanupPause time.Duration
	// MaxClaimAge is the time after the first write of a claim during which the
	// request may be sent; zero means 5 s.
	MaxClaimAge time.Duration
	// ClaimTimeout bounds the time that Begin spends on the store; zero means 2 s.
	ClaimTimeout time.Duration
	// RecordTimeout bounds one attempt to write a record in the background; zero means
	// 3 s, enough for a read and a write if the store takes 1 s per call.
	RecordTimeout time.Duration
	// MaxOpenClaims bounds the claims whose record is not written yet, and thereby the
	// memory in use while the store is unavailable; zero means 1,024. Further requests are
	// refused.
	MaxOpenClaims int64
	// RecordWriters is the number of background writers; zero means 4.
	RecordWriters int
	// RetryBaseDelay and RetryMaxDelay bound the delay between background attempts; zero
	// means 50 ms and 2 s.
	RetryBaseDelay time.Duration
	RetryMaxDelay  time.Duration
	// MaxRecordAge is the age at which a record that can't be written is dropped; zero
	// means 24 h, much longer than the expected outages.
	MaxRecordAge time.Duration
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
	setDefault(&o.CleanupInterval, time.Minute)
	setDefault(&o.CleanupPause, 500*time.Millisecond)
	setDefault(&o.MaxClaimAge, 5*time.Second)
	setDefault(&o.ClaimTimeout, 2*time.Second)
	setDefault(&o.RecordTimeout, 3*time.Second)
	setDefault(&o.MaxOpenClaims, 1024)
	setDefault(&o.RecordWriters, 4)
	setDefault(&o.RetryBaseDelay, 50*time.Millisecond)
	setDefault(&o.RetryMaxDelay, 2*time.Second)
	setDefault(&o.MaxRecordAge, 24*time.Hour)
	return o
}

func setDefault[T comparable](option *T, defaultValue T) {
	var zero T
	if *option == zero {
		*option = defaultValue
	}
}

// PlatformRegistry is a Registry in the platform's table service and object store.
// Records that can't be written at once are written by Run.
type PlatformRegistry struct {
	options    Options
	openClaims *semaphore.Weighted
	// openCount is the number of acquired units of openClaims.
	openCount atomic.Int64
	// waitingRecords counts records from enqueue until they are written or dropped,
	// including those that a writer is processing.
	waitingRecords atomic.Int64
	pending        chan *record
	listing        listing
}

var _ Registry = (*PlatformRegistry)(nil)

// New returns a registry.
func New(o Options) (*PlatformRegistry, error) {
	o = o.withDefaults()
	if o.Store == nil || o.Objects == nil || o.HolderLive == nil || o.Fresh == nil {
		return nil, errors.New("the idempotency registry needs Store, Objects, HolderLive and Fresh")
	}
	if o.HostID == "" || o.Incarnation == "" {
		return nil, errors.New("the idempotency registry needs HostID and Incarnation")
	}
	return &PlatformRegistry{
		options:    o,
		openClaims: semaphore.NewWeighted(o.MaxOpenClaims),
		// Each record holds one unit of openClaims, so sends to pending never block.
		pending: make(chan *record, o.MaxOpenClaims),
	}, nil
}

// Stats describes the open claims of this host.
type Stats struct {
	// OpenClaims is the number of claims whose record is not written yet.
	OpenClaims int64
	// WaitingRecords is the number of records that wait for a write in the background.
	WaitingRecords int64
}

// Stats returns a snapshot.
func (p *PlatformRegistry) Stats() Stats {
	return Stats{OpenClaims: p.openCount.Load(), WaitingRecords: p.waitingRecords.Load()}
}

func (p *PlatformRegistry) releaseClaim() {
	p.openCount.Add(-1)
	p.openClaims.Release(1)
}

// holderLive reports whether a holder may still record a response. This process itself is
// always live.
func (p *PlatformRegistry) holderLive(h policy.Holder) bool {
	if h == p.self() {
		return true
	}
	return p.options.HolderLive(h.HostID, h.Incarnation)
}

func (p *PlatformRegistry) self() policy.Holder {
	return policy.Holder{HostID: p.options.HostID, Incarnation: p.options.Incarnation}
}

// Begin implements Registry.
func (p *PlatformRegistry) Begin(ctx context.Context, key Key) (Claim, *Response, error) {
	if !p.openClaims.TryAcquire(1) {
		return nil, nil, refusal.New(refusal.Overloaded, "too many non-idempotent requests are open at this host")
	}
	p.openCount.Add(1)
	a := &attempt{
		registry:  p,
		key:       policy.RowKey(key.AccountID, key.Service, key.IdempotencyKey),
		startedAt: p.options.Clock(),
		row: policy.Row{
			AccountID: key.AccountID, Service: key.Service, IdempotencyKey: key.IdempotencyKey,
			Fingerprint: key.Fingerprint, Holder: p.self(), AttemptID: uuid.NewString(),
			State: policy.Claimed, ClaimedAt: p.options.WallClock().UTC(),
		},
	}
	storeCtx, cancel := context.WithTimeout(ctx, p.options.ClaimTimeout)
	defer cancel()
	found, err := a.claim(storeCtx)
	switch {
	case err != nil && a.claimUncertain:
		p.enqueue(&record{key: a.key, row: a.row, state: policy.NotExecuted, unconfirmed: true, version: a.expectedVersion, createdAt: a.startedAt})
	case err != nil || found != nil:
		p.releaseClaim()
	default:
		return &claim{registry: p, attempt: a, gate: policy.NewGate(a.startedAt, p.options.MaxClaimAge)}, nil, nil
	}
	if err != nil {
		return nil, nil, refusal.New(refusal.PlatformUnavailable, "the request could not be claimed").WithCause(err)
	}
	return p.replayOrRefuse(ctx, found)
}

// attempt is one attempt to claim a row.
type attempt struct {
	registry  *PlatformRegistry
	key       string
	row       policy.Row
	startedAt time.Time
	// expectedVersion is the version that the claim is conditional on.
	expectedVersion uint64
	// claimedVersion is the version of the row with the confirmed claim.
	claimedVersion uint64
	// claimUncertain means that a claim conditional on expectedVersion may have taken
	// effect or may still do so.
	claimUncertain bool
}

// existingRow is a row that prevents a claim.
type existingRow struct {
	key    string
	row    policy.Row
	action policy.Action
}

// claim returns nil and no error if the claim is confirmed. After a lost response it
// repeats the same conditional write, of which at most one can take effect.
func (a *attempt) claim(ctx context.Context) (*existingRow, error) {
	store := a.registry.options.Store
	value, err := json.Marshal(a.row)
	if err != nil {
		return nil, errors.WithMessage(err, "encode claim")
	}
	for range maxClaimRounds {
		version, commitErr := store.Commit(ctx,
			[]platform.Condition{{Table: Table, Key: a.key, Version: a.expectedVersion}},
			[]platform.Write{{Table: Table, Key: a.key, Value: value}})
		switch {
		case commitErr == nil:
			a.claimedVersion = version
			return nil, nil
		case errors.Is(commitErr, platform.ErrUnknownOutcome):
			a.claimUncertain = true
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
	return nil, errors.New("the row changed repeatedly during the claim")
}

// readBack reads the row and reports whether it confirms the claim. If another row
// prevents the claim, readBack returns it; otherwise the claim may be retried.
func (a *attempt) readBack(ctx context.Context) (*existingRow, bool, error) {
	row, version, err := a.registry.loadRow(ctx, a.key)
	if err != nil {
		return nil, false, err
	}
	if policy.Confirms(row, a.row.AttemptID) {
		a.claimedVersion = version
		return nil, true, nil
	}
	if version != a.expectedVersion {
		// The row has a new version, so a delayed write of the claim fails its condition.
		a.claimUncertain = false
		a.expectedVersion = version
	}
	action := policy.Decide(row, a.row.Fingerprint, a.registry.holderLive)
	if action == policy.MayClaim {
		return nil, false, nil
	}
	return &existingRow{a.key, *row, action}, false, nil
}

// loadRow reads a row. It returns nil and version 0 if the row is absent.
func (p *PlatformRegistry) loadRow(ctx context.Context, key string) (*policy.Row, uint64, error) {
	stored, err := p.options.Store.Get(ctx, Table, key)
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

// replayOrRefuse returns the response recorded in an existing row, or a refusal.
func (p *PlatformRegistry) replayOrRefuse(ctx context.Context, found *existingRow) (Claim, *Response, error) {
	switch found.action {
	case policy.Replay:
		response, err := p.loadResponse(ctx, &found.row)
		if err != nil {
			return nil, nil, refusal.New(refusal.PlatformUnavailable, "the recorded answer can't be read").
				WithExecution(refusal.Executed).WithCause(err)
		}
		return nil, response, nil
	case policy.KeyReused:
		return nil, nil, refusal.New(refusal.IdempotencyKeyReused, "the idempotency key was used with another request")
	case policy.StillRunning:
		return nil, nil, refusal.New(refusal.StillRunning, "the request is still running").WithExecution(refusal.ExecutionUnknown)
	}
	return nil, nil, refusal.New(refusal.OutcomeUnknown, "the outcome of the request is unknown").WithExecution(refusal.ExecutionUnknown)
}

func (p *PlatformRegistry) loadResponse(ctx context.Context, row *policy.Row) (*Response, error) {
	data := row.Response
	if row.ResponseObject != "" {
		var err error
		if data, err = p.options.Objects.GetObject(ctx, row.ResponseObject); err != nil {
			return nil, err
		}
	}
	response := &Response{}
	if err := json.Unmarshal(data, response); err != nil {
		return nil, errors.WithMessage(err, "decode recorded response")
	}
	return response, nil
}

// storeResponse stores the response in the row, or a large one in the object store. Object
// names contain the attempt, so storing a response again has no further effect.
func (p *PlatformRegistry) storeResponse(ctx context.Context, key string, row *policy.Row, response *Response) error {
	data, err := json.Marshal(response)
	if err != nil {
		return errors.WithMessage(err, "encode response")
	}
	if len(data) <= maxInlineResponseBytes {
		row.Response, row.ResponseObject = data, ""
		return nil
	}
	name := Table + "/" + key + "/" + row.AttemptID + "/" + string(row.State)
	if err := p.options.Objects.PutObject(ctx, name, data); err != nil {
		return err
	}
	row.Response, row.ResponseObject = nil, name
	return nil
}
