// Package platform provides the client of the platform's table service, object store
// and host list.
package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors that callers handle differently. ErrUnavailable means that a write has not
// taken effect. ErrUnknownOutcome means that it may have: the writer has to read back
// whether its attempt ID was stored.
//
// ErrRestored means that the store was restored after a row was read, so that a condition on
// its version is void. The write may have taken effect or be gone.
var (
	ErrRestored       = errors.New("the store was restored from an older copy")
	ErrNotFound       = errors.New("not found in the platform")
	ErrConflict       = errors.New("a condition of the transaction did not hold")
	ErrUnavailable    = errors.New("the platform did not take the request")
	ErrUnknownOutcome = errors.New("the outcome of the write is unknown")
)

// Row is a row of the table service. Versions come from one counter that increases with
// each transaction; version 0 denotes an absent row.
type Row struct {
	Table   string
	Key     string
	Value   []byte
	Version uint64
	// Deleted marks a row that a feed of changes reports as deleted.
	Deleted bool
	// Era is the era of the store in which the row was read.
	Era uint64
}

// Position returns the position of the row among all states of the store.
func (r Row) Position() Position { return Position{r.Era, r.Version} }

// Position orders the states of the store. A store that is restored from an older copy
// gives versions out again, so that versions are comparable within an era only.
type Position struct {
	// Era counts the restorations; zero if the store does not state it.
	Era     uint64
	Version uint64
}

// Before reports whether p is an earlier state than o.
func (p Position) Before(o Position) bool {
	return p.Era < o.Era || p.Era == o.Era && p.Version < o.Version
}

// Later returns the later of two positions.
func (p Position) Later(o Position) Position {
	if p.Before(o) {
		return o
	}
	return p
}

// Page is a response with rows of a table.
type Page struct {
	Rows []Row
	// Version is the version up to which the rows are complete.
	Version uint64
	// Clock is the time of the store's steady clock when it responded.
	Clock time.Duration
	// Era is the era of the store when it responded.
	Era uint64
}

// Position returns the position up to which the rows are complete.
func (p Page) Position() Position { return Position{p.Era, p.Version} }

// Condition holds if the row has exactly this version; 0 means that it is absent. After a
// restoration another row may have the version.
type Condition struct {
	Table   string
	Key     string
	Version uint64
	// Era is the era in which the version was read; zero applies in any era.
	Era uint64
}

// Write replaces a row, or deletes it.
type Write struct {
	Table  string
	Key    string
	Value  []byte
	Delete bool
}

// Store is the transactional table service.
type Store interface {
	// Get reads a row. It returns ErrNotFound, and the era, if the row is absent.
	Get(ctx context.Context, table, key string) (Row, error)
	// Commit applies all writes if all conditions hold and returns the version of the
	// written rows. After ErrConflict and ErrUnavailable nothing was written; after
	// ErrUnknownOutcome the writes may have taken effect.
	Commit(ctx context.Context, conditions []Condition, writes []Write) (uint64, error)
	// Scan lists rows whose key starts with prefix and whose version is higher than
	// after, in version order. The limit bounds their number; 0 means 1,000. Rows that
	// were written by one transaction are returned together, so that the result may
	// exceed the limit.
	Scan(ctx context.Context, table, prefix string, after uint64, limit int) ([]Row, error)
}

// ObjectStore is the object store.
type ObjectStore interface {
	PutObject(ctx context.Context, name string, data []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// HostState is the state of an entry in the host list.
type HostState string

// The states in the host list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// ListedHost is an entry of the platform's host list, which may be out of date. Role is
// "router" for hosts of this system and "target" for targets.
type ListedHost struct {
	ID      string
	Role    string
	Address string
	Zone    string
	State   HostState
}

// HostList is the platform's list of live and leaving hosts.
type HostList interface {
	Hosts(ctx context.Context) ([]ListedHost, error)
}
