package dispatch

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/refusal"
	"github.com/sequoiaroad/sequoiaroad/internal/target"
)

// Stats is a snapshot of a dispatcher's state.
type Stats struct {
	// IndexBlocks counts the entries of the index of cached blocks.
	IndexBlocks int
	// Targets are the targets of the configuration, by id.
	Targets []TargetStats
}

// TargetStats describes the traffic of this host to one target. Plain services have no
// queue, no limit and no cache events.
type TargetStats struct {
	TargetID string
	// Queued counts requests that wait at this host; QueuedTokens is the sum of their
	// uncached tokens.
	Queued, QueuedTokens int
	// PrefillWaiters counts requests that wait for another request to compute their
	// shared prefix.
	PrefillWaiters int
	// InFlight counts requests at the target; InFlightLimit is their maximum.
	InFlight, InFlightLimit int
	// Ejections and EventGaps count since the target was configured at this host.
	Ejections, EventGaps uint64
}

// Stats returns a snapshot.
func (d *Dispatcher) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyConfig()
	targets := d.config.Document().Targets
	s := Stats{IndexBlocks: d.index.Len(), Targets: make([]TargetStats, 0, len(targets))}
	for i := range targets {
		id := targets[i].ID
		stats := d.router.Stats(id)
		t := TargetStats{TargetID: id, InFlight: stats.InFlight, Ejections: stats.Ejections, EventGaps: d.index.Gaps(id)}
		if tq := d.targetQueues[id]; tq != nil {
			t.Queued, t.QueuedTokens, t.PrefillWaiters = tq.queue.Len(), tq.queue.Tokens(), tq.prefillWaiters
			t.InFlight, t.InFlightLimit = tq.limit.InFlight(), tq.limit.Value(&d.knobs)
		}
		s.Targets = append(s.Targets, t)
	}
	slices.SortFunc(s.Targets, func(a, b TargetStats) int { return cmp.Compare(a.TargetID, b.TargetID) })
	return s
}

// The kinds of failures. They label metrics and spans instead of the text of an error,
// which is unbounded and may quote what a caller or a target sent.
const (
	kindStalled     = "stalled"
	kindGap         = "gap"
	kindDraining    = "target_draining"
	kindRefused     = "target_refused"
	kindStatus      = "target_status"
	kindConnection  = "connection"
	kindCallerAbort = "caller_gone"
	kindOther       = "other"
	// kindService is the reason of each retry of a plain service call.
	kindService = "service_call"
)

// FailureKind returns the kind of an error: the code of a refusal, or how a call of a
// target failed.
func FailureKind(err error) string {
	var refused *refusal.Error
	var aborted *callerAbortError
	var callErr *target.CallError
	switch {
	case errors.As(err, &refused):
		return string(refused.Code)
	case errors.As(err, &aborted):
		return kindCallerAbort
	case errors.Is(err, errStalled):
		return kindStalled
	case errors.Is(err, errGap):
		return kindGap
	case !errors.As(err, &callErr):
		return kindOther
	case callErr.Draining:
		return kindDraining
	case callErr.NotExecuted && callErr.Status != 0:
		return kindRefused
	case callErr.Status >= http.StatusBadRequest:
		return kindStatus
	}
	return kindConnection
}

// Choice is a routing decision with the scores that led to it.
type Choice struct {
	TargetID string
	Reason   string
	Cached   int
	Uncached int
	// Candidates are the usable targets with the lowest predicted times, best first.
	Candidates []Candidate
}

// maxTracedCandidates bounds the size of a route span.
const maxTracedCandidates = 16
