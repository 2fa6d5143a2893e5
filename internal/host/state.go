package host

import (
	"math"

	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/internal/telemetry"
)

// statsReporter is implemented by a platform client that counts its calls.
type statsReporter interface{ Stats() platform.Stats }

// metricsState collects the state of all components for the metrics.
func (h *Host) metricsState() telemetry.State {
	s := telemetry.State{
		ConfigurationRevision: h.index().Document().Revision,
		Fresh:                 h.fleet.Fresh(),
		HostsListed:           len(h.index().Document().Members),
		EvidenceAge:           math.MaxInt64,
		StreamsOpen:           h.gateway.OpenStreams(),
		RingDrops:             h.wireClient.RingDrops() + h.wireServer.RingDrops(),
	}
	for _, status := range h.fleet.Hosts() {
		if status.Live {
			s.HostsLive++
		}
		if status.Member.HostID == h.self.HostID && status.Member.Incarnation == h.self.Incarnation {
			s.EvidenceAge = status.EvidenceAge
		}
	}
	if h.copier != nil {
		t := h.copier.Totals()
		s.Copies = telemetry.CopyState{Done: t.Done, Failed: t.Failed, Changed: t.Changed, Tokens: t.CopiedTokens, Bytes: t.Bytes}
	}
	claims := h.claims.Stats()
	s.OpenClaims, s.WaitingRecords = claims.OpenClaims, claims.WaitingRecords
	if store, ok := h.options.Platform.Store.(statsReporter); ok {
		stats := store.Stats()
		s.Store = telemetry.StoreState{
			Reads: storeCalls(stats.Reads), Writes: storeCalls(stats.Writes), BreakerOpen: stats.BreakerOpen,
		}
	}
	dispatched := h.dispatcher.Stats()
	s.CacheIndexBlocks = dispatched.IndexBlocks
	for _, t := range dispatched.Targets {
		s.Targets = append(s.Targets, telemetry.TargetState(t))
	}
	for _, a := range h.limiter.Status() {
		s.Accounts = append(s.Accounts, telemetry.AccountState{
			AccountID: a.AccountID, Level: a.Level, Outstanding: a.Outstanding, Held: a.Held,
			Granted: a.Granted, Reserved: a.Reserved, Refused: a.Refused, Waiting: a.Waiting,
		})
	}
	return s
}

func storeCalls(c platform.CallStats) telemetry.StoreCalls {
	return telemetry.StoreCalls{Calls: c.Attempts, Failures: c.Failures, Refused: c.Refused, BudgetUsed: c.BudgetUsed}
}
