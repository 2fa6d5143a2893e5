// Package platform is the client side of the platform's table service, object
// store and host list.
package platform

import (
	"context"

	"github.com/pkg/errors"
)

// Errors that callers tell apart. ErrUnknownOutcome means that a write may or may
// not have taken effect: the writer reads its attempt id back.
var (
	ErrNotFound       = errors.New("not found in the platform")
	ErrConflict       = errors.New("a condition of the transaction did not hold")
	ErrUnavailable    = errors.New("the platform did not take the request")
	ErrUnknownOutcome = errors.New("the outcome of the write is unknown")
)

// Row is a row of the table service. Versions come from one counter that grows
// with each transaction; version 0 stands for an absent row.
type Row struct {
	Table   string
	Key     string
	Value   []byte
	Version uint64
	// Deleted marks a row that a feed of changes reports as gone.
	Deleted bool
}

// Condition holds if the row has exactly this version; 0 means absent.
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
	// Get reads a row; ErrNotFound if it is absent.
	Get(ctx context.Context, table, key string) (Row, error)
	// Commit applies all writes if all conditions hold and returns the version
	// that the written rows got. ErrConflict: nothing was written.
	// ErrUnavailable: nothing was written. ErrUnknownOutcome: not known.
	Commit(ctx context.Context, conditions []Condition, writes []Write) (uint64, error)
	// Scan lists rows whose key starts with prefix and whose version is above
	// after, in version order, at most limit (0 means 1,000).
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

// ListedHost is an entry of the platform's lagging host list. Role is "router"
// for hosts of this system and "target" for targets.
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
