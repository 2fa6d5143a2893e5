package dispatch

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/refusal"
	"github.com/sequoiaroad/sequoiaroad/internal/target"
)

// Stats is a snapshot of a dispatcher.
type Stats struct {
	// IndexBlocks counts the entries of the index of cached blocks.
	IndexBlocks int
	// Targets are the targets of the configuration, by id.
	Targets []TargetStats
}

// TargetStats describe the traffic of this host to one target. Plain services have no
// queue, no limit and no events.
type TargetStats struct {
	TargetID string
	// Queued requests wait at this host, QueuedTokens is their uncached work.
	Queued, QueuedTokens int
	// PrefillWaiters wait for another request to compute their shared prefix.
	PrefillWaiters int
	// InFlight requests are at the target, InFlightLimit is how many may be.
	InFlight, InFlightLimit int
	// Ejections and EventGaps count since the target was configured at this host.
	Ejections, EventGaps uint64
}

// Stats returns a snapshot.
func (d *Dispatcher) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follow()
	targets := d.applied.Document().Targets
	s := Stats{IndexBlocks: d.index.Len(), Targets: make([]TargetStats, 0, len(targets))}
	for i := range targets {
		id := targets[i].ID
		traffic := d.router.Stats(id)
		t := TargetStats{TargetID: id, InFlight: traffic.InFlight, Ejections: traffic.Ejections, EventGaps: d.index.Gaps(id)}
		if l := d.targetQueues[id]; l != nil {
			t.Queued, t.QueuedTokens, t.PrefillWaiters = l.queue.Len(), l.queue.Tokens(), l.prefillWaiters
			t.InFlight, t.InFlightLimit = l.limit.InFlight(), l.limit.Value(&d.knobs)
		}
		s.Targets = append(s.Targets, t)
	}
	slices.SortFunc(s.Targets, func(a, b TargetStats) int { return cmp.Compare(a.TargetID, b.TargetID) })
	return s
}

// The kinds of failures. They label metrics and spans, where the text of an error has
// no place: it is unbounded and may quote what a caller or a target sent.
const (
	kindStalled    = "stalled"
	kindGap        = "gap"
	kindDraining   = "target_draining"
	kindNotRun     = "target_refused"
	kindStatus     = "target_status"
	kindConnection = "connection"
	kindCallerGone = "caller_gone"
	kindOther      = "other"
	// kindService is the reason of each further call of a plain service.
	kindService = "service_call"
)

// FailureKind returns one of a few names for an error: the code of a refusal, or how a
// call of a target failed.
func FailureKind(err error) string {
	var refused *refusal.Error
	var gone *callerGoneError
	var call *target.CallError
	switch {
	case errors.As(err, &refused):
		return string(refused.Code)
	case errors.As(err, &gone):
		return kindCallerGone
	case errors.Is(err, errStalled):
		return kindStalled
	case errors.Is(err, errGap):
		return kindGap
	case !errors.As(err, &call):
		return kindOther
	case call.Draining:
		return kindDraining
	case call.NotExecuted && call.Status != 0:
		return kindNotRun
	case call.Status >= http.StatusBadRequest:
		return kindStatus
	}
	return kindConnection
}

// Choice is a choice of a target with the scores that led to it.
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
