// Package leasestore keeps each lease in a row of the store.
package leasestore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/policy/lease"
)

// ErrHeld means that another process holds the lease.
var ErrHeld = errors.New("the lease is held by another process")

// Client is the part of the store client that a lease row uses.
type Client interface {
	Get(ctx context.Context, table, key string) (platform.Row, error)
	Commit(ctx context.Context, conditions []platform.Condition, writes []platform.Write) (uint64, error)
}

// Row is one lease row. Only one goroutine of the process may use it at a time, with
// the local lock held.
type Row struct {
	store    Client
	table    string
	key      string
	holderID string
	now      func() time.Time
	lock     chan struct{}
	observer lease.Observer
}

// New returns the row with the key in the table, as used by the holder holderID. The
// clock must not stop while the holder is paused.
func New(store Client, table, key, holderID string, now func() time.Time) *Row {
	return &Row{store: store, table: table, key: key, holderID: holderID, now: now, lock: make(chan struct{}, 1)}
}

// String names the row.
func (r *Row) String() string { return r.table + "/" + r.key }

// TryLock acquires the local lock; it returns false if another goroutine holds it.
func (r *Row) TryLock() bool {
	select {
	case r.lock <- struct{}{}:
		return true
	default:
		return false
	}
}

// Unlock releases the local lock.
func (r *Row) Unlock() { <-r.lock }

// stored is the row as the store has it; row is nil if it is absent.
type stored struct {
	row          *lease.Row
	version, era uint64
}

func (r *Row) load(ctx context.Context) (stored, error) {
	found, err := r.store.Get(ctx, r.table, r.key)
	if errors.Is(err, platform.ErrNotFound) {
		return stored{era: found.Era}, nil
	}
	if err != nil {
		return stored{}, err
	}
	out := stored{row: &lease.Row{}, version: found.Version, era: found.Era}
	if err := json.Unmarshal(found.Value, out.row); err != nil {
		return stored{}, errors.WithMessagef(err, "decode row %s/%s", r.table, r.key)
	}
	return out, nil
}

// Observe reads the row, so that the time for which it has been unchanged is known when
// the lease is needed.
func (r *Row) Observe(ctx context.Context) error {
	_, err := r.observe(ctx)
	return err
}

func (r *Row) observe(ctx context.Context) (stored, error) {
	s, err := r.load(ctx)
	if err == nil {
		r.observer.ObserveEra(s.era, r.now())
		r.observer.Observe(s.version, r.now())
	}
	return s, err
}

// TryAcquire reads the row and acquires the lease if the row allows it; it returns
// ErrHeld if not.
func (r *Row) TryAcquire(ctx context.Context, p lease.Params) (lease.Held, error) {
	s, err := r.observe(ctx)
	if err != nil {
		return lease.Held{}, err
	}
	if !r.observer.MayAcquire(s.row, r.holderID, r.now(), p) {
		return lease.Held{}, ErrHeld
	}
	return r.acquire(ctx, s, p)
}

// Reacquire acquires a lease anew that was acquired before the store was restored. It
// returns ErrHeld once the lease has expired.
func (r *Row) Reacquire(ctx context.Context, held lease.Held, p lease.Params) (lease.Held, error) {
	s, err := r.observe(ctx)
	if err != nil {
		return lease.Held{}, err
	}
	if !held.MayReacquire(r.now()) {
		return lease.Held{}, ErrHeld
	}
	return r.acquire(ctx, s, p)
}

func (r *Row) acquire(ctx context.Context, s stored, p lease.Params) (lease.Held, error) {
	next := lease.NextRow(s.row, r.holderID, uuid.NewString(), s.era, s.version)
	sentAt := r.now()
	version, err := r.put(ctx, next, s.version)
	if err != nil {
		return lease.Held{}, err
	}
	return lease.Acquired(s.row, next, version, sentAt, p), nil
}

// Renew extends a held lease.
func (r *Row) Renew(ctx context.Context, held lease.Held, p lease.Params) (lease.Held, error) {
	row := held.RenewalRow(uuid.NewString())
	sentAt := r.now()
	version, err := r.put(ctx, row, held.Version)
	if err != nil {
		return held, err
	}
	return held.Renewed(row, version, sentAt, p), nil
}

// Release ends a held lease.
func (r *Row) Release(ctx context.Context, held lease.Held) error {
	_, err := r.put(ctx, held.ReleaseRow(uuid.NewString()), held.Version)
	return err
}

// put writes the row conditionally, in the era of the row. If the response is lost, it
// reads the row back and compares the attempt ID. A write that is still in flight counts as
// failed: if it arrives later, the row shows a lease of this process that no goroutine acts
// on.
func (r *Row) put(ctx context.Context, row lease.Row, version uint64) (uint64, error) {
	value, err := json.Marshal(row)
	if err != nil {
		return 0, errors.WithMessage(err, "encode lease")
	}
	written, err := r.store.Commit(ctx,
		[]platform.Condition{{Table: r.table, Key: r.key, Version: version, Era: row.Era}},
		[]platform.Write{{Table: r.table, Key: r.key, Value: value}})
	if errors.Is(err, platform.ErrConflict) {
		return 0, ErrHeld
	}
	if !errors.Is(err, platform.ErrUnknownOutcome) {
		return written, err
	}
	found, readErr := r.load(ctx)
	if readErr == nil && found.row != nil && found.row.AttemptID == row.AttemptID && found.era == row.Era {
		return found.version, nil
	}
	return 0, err
}
