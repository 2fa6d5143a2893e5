// Package leaserow keeps a lease in one row of the store.
package leaserow

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

// Store is what a lease row needs of the table service.
type Store interface {
	Get(ctx context.Context, table, key string) (platform.Row, error)
	Commit(ctx context.Context, conditions []platform.Condition, writes []platform.Write) (uint64, error)
}

// Row is one lease row. Only one goroutine of the process uses it at a time:
// the local lock must be taken before.
type Row struct {
	store    Store
	table    string
	key      string
	self     string
	now      func() time.Time
	lock     chan struct{}
	observer lease.Observer
}

// New returns the row with the key in the table, as used by the holder self. The clock
// must not stand still while the holder is paused.
func New(store Store, table, key, self string, now func() time.Time) *Row {
	return &Row{store: store, table: table, key: key, self: self, now: now, lock: make(chan struct{}, 1)}
}

// String names the row.
func (l *Row) String() string { return l.table + "/" + l.key }

// TryLock takes the local lock; false if another goroutine has it.
func (l *Row) TryLock() bool {
	select {
	case l.lock <- struct{}{}:
		return true
	default:
		return false
	}
}

// Unlock gives the local lock back.
func (l *Row) Unlock() { <-l.lock }

func (l *Row) load(ctx context.Context) (*lease.Row, uint64, error) {
	stored, err := l.store.Get(ctx, l.table, l.key)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	row := &lease.Row{}
	if err := json.Unmarshal(stored.Value, row); err != nil {
		return nil, 0, errors.WithMessagef(err, "decode row %s/%s", l.table, l.key)
	}
	return row, stored.Version, nil
}

// TryAcquire reads the row and takes the lease if it may; ErrHeld if not.
func (l *Row) TryAcquire(ctx context.Context, p lease.Params) (lease.Held, error) {
	row, version, err := l.load(ctx)
	if err != nil {
		return lease.Held{}, err
	}
	l.observer.Observe(version, l.now())
	if !l.observer.MayAcquire(row, l.self, l.now(), p) {
		return lease.Held{}, ErrHeld
	}
	next := lease.NextRow(row, l.self, uuid.NewString())
	sentAt := l.now()
	version, err = l.put(ctx, next, version)
	if err != nil {
		return lease.Held{}, err
	}
	return lease.Acquired(row, next, version, sentAt, p), nil
}

// Renew extends a lease that is held.
func (l *Row) Renew(ctx context.Context, held lease.Held, p lease.Params) (lease.Held, error) {
	row := held.RenewalRow(uuid.NewString())
	sentAt := l.now()
	version, err := l.put(ctx, row, held.Version)
	if err != nil {
		return held, err
	}
	return held.Renewed(row, version, sentAt, p), nil
}

// Release ends a lease that is held.
func (l *Row) Release(ctx context.Context, held lease.Held) error {
	_, err := l.put(ctx, held.ReleaseRow(uuid.NewString()), held.Version)
	return err
}

// put writes the row conditionally; after a lost answer it reads the attempt id
// back. A write that is still on its way counts as failed: if it arrives later,
// the row shows a lease of this process on which nobody acts.
func (l *Row) put(ctx context.Context, row lease.Row, version uint64) (uint64, error) {
	value, err := json.Marshal(row)
	if err != nil {
		return 0, errors.WithMessage(err, "encode lease")
	}
	written, err := l.store.Commit(ctx,
		[]platform.Condition{{Table: l.table, Key: l.key, Version: version}},
		[]platform.Write{{Table: l.table, Key: l.key, Value: value}})
	if errors.Is(err, platform.ErrConflict) {
		return 0, ErrHeld
	}
	if !errors.Is(err, platform.ErrUnknownOutcome) {
		return written, err
	}
	found, foundVersion, readErr := l.load(ctx)
	if readErr == nil && found != nil && found.AttemptID == row.AttemptID {
		return foundVersion, nil
	}
	return 0, err
}
