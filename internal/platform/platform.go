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
var (
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
}

// Page is a response with rows of a table.
type Page struct {
	Rows []Row
	// Version is the version up to which the rows are complete.
	Version uint64
	// Clock is the time of the store's steady clock when it responded.
	Clock time.Duration
	// Era counts how often the store was restored from an older copy. Versions are given
	// out again in each era; zero if the store does not state it.
	Era uint64
}

// Condition holds if the row has exactly this version; 0 means that it is absent.
type Condition struct {
	Table   string
	Key     string
	Version uint64
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
	// Get reads a row. It returns ErrNotFound if the row is absent.
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
