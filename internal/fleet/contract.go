// Package fleet keeps a host's view of the fleet: its members, the configuration
// chain, withdrawn keys and the freshness of all this.
package fleet

import (
	"context"
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// HostStatus is what this host knows of another host, or of itself.
type HostStatus struct {
	Member config.Member
	// Listed says that the current revision lists this incarnation.
	Listed bool
	// Live says that the host answered a probe lately.
	Live     bool
	Draining bool
	// Revision is the newest revision that the host reported as applied.
	Revision uint64
	// EvidenceAge is the age of the host's freshness evidence as it reported it.
	EvidenceAge time.Duration
	Fresh       bool
}

// View is the read side, used on the request path. It never blocks.
type View interface {
	// Index returns the applied configuration; never nil once the host is ready.
	Index() *config.Index
	// Self returns this host.
	Self() config.Member
	// Fresh reports whether keyed requests may be served now.
	Fresh() bool
	// FreshUntil returns the monotonic time at which the present evidence ends.
	FreshUntil() time.Time
	// Withdrawn reports whether a withdrawal of the key was heard, accepted or not.
	Withdrawn(keyID string) bool
	// Hosts returns the known hosts, this one included.
	Hosts() []HostStatus
	// Subscribe calls f after each applied revision and each heard withdrawal,
	// from one goroutine, until the host stops.
	Subscribe(f func())
}

// PropagationStatus reports how far an accepted revision has spread.
type PropagationStatus struct {
	Revision uint64
	// Confirmed hosts enforce the revision. Expired hosts did not confirm, but
	// have passed the freshness deadline and refuse keyed requests. Pending hosts
	// are neither.
	Confirmed []string
	Expired   []string
	Pending   []string
}

// ProposeOptions are the terms of a change.
type ProposeOptions struct {
	Operator string
	Summary  string
	// ExpectedRevision makes the change fail with ErrRevisionConflict unless it
	// follows this revision; zero accepts any.
	ExpectedRevision uint64
	// Force commits without a majority of acknowledgements.
	Force bool
}

// Proposer makes changes of the configuration.
type Proposer interface {
	// Propose commits a change and waits until it is in force or ctx ends.
	Propose(ctx context.Context, mutate config.Mutation, opts ProposeOptions) (PropagationStatus, error)
	// History returns change records, newest first.
	History(ctx context.Context, limit int) ([]*config.Document, error)
	// SetDraining marks this host as draining towards its peers.
	SetDraining(draining bool)
}
