// Package fleet maintains a host's view of the fleet: the members, the chain of
// configuration revisions, the withdrawn client keys, and how fresh this information is.
// A revision is accepted once the store holds it.
package fleet

import (
	"context"
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// HostStatus is the state of a host as recorded by this one.
type HostStatus struct {
	Member config.Member
	// Listed reports whether the applied revision lists this incarnation as a member.
	Listed bool
	// Live reports whether the host has replied to a probe recently.
	Live     bool
	Draining bool
	// Revision is the newest revision that the host reported as applied.
	Revision uint64
	// EvidenceAge is the reported age of the host's freshness evidence plus the time
	// since the report.
	EvidenceAge time.Duration
	Fresh       bool
}

// View is the read-only interface for the request path. It never blocks.
type View interface {
	// Index returns the applied configuration; never nil once the host is ready.
	Index() *config.Index
	// Self returns the member list entry of this host.
	Self() config.Member
	// Fresh reports whether requests that need an API key may be served now.
	Fresh() bool
	// FreshUntil returns the monotonic time at which the current evidence expires.
	FreshUntil() time.Time
	// Withdrawn reports whether this host has received a withdrawal of the key,
	// accepted by the store or not.
	Withdrawn(keyID string) bool
	// Hosts returns the known hosts, this one included.
	Hosts() []HostStatus
	// Subscribe calls notify after applied revisions and received withdrawals, from one
	// goroutine, until the host stops. Changes in quick succession may share one call.
	Subscribe(notify func())
}

// PropagationStatus reports which hosts enforce an accepted revision.
type PropagationStatus struct {
	Revision uint64
	// Confirmed hosts enforce the revision. Expired hosts have not confirmed it, but
	// have passed the freshness deadline and refuse requests that need an API key.
	// Pending hosts are neither.
	Confirmed []string
	Expired   []string
	Pending   []string
}

// ProposeOptions configure a change.
type ProposeOptions struct {
	Operator string
	Summary  string
	// ExpectedRevision makes the change fail with ErrRevisionConflict unless this is
	// the current revision; zero accepts any.
	ExpectedRevision uint64
	// Force commits the change without acknowledgements from a majority.
	Force bool
}

// Proposer changes the configuration.
type Proposer interface {
	// Propose commits a change and waits until no host is pending or ctx ends.
	Propose(ctx context.Context, mutate config.Mutation, opts ProposeOptions) (PropagationStatus, error)
	// History returns past revisions with their change records, newest first.
	History(ctx context.Context, limit int) ([]*config.Document, error)
	// SetDraining sets whether this host reports to its peers that it is draining.
	SetDraining(draining bool)
}
