package routing

import "time"

// LearnedState is the state of a target that a router learns and a restart should keep.
type LearnedState struct {
	TargetID  string
	TokenCost float64
	// EjectedFor and ReinstatedIn are relative to the time of the export; zero means
	// healthy.
	EjectedFor   time.Duration
	ReinstatedIn time.Duration
	Ejections    int
}

// ExportLearned returns the learned state of all targets.
func (r *Router) ExportLearned(now time.Time) []LearnedState {
	out := make([]LearnedState, 0, len(r.byID))
	for id, p := range r.byID {
		l := LearnedState{TargetID: id, TokenCost: p.estimator.tokenCost, Ejections: p.health.ejections}
		if now.Before(p.health.reinstatedAt) {
			l.EjectedFor = max(0, p.health.ejectedUntil.Sub(now))
			l.ReinstatedIn = p.health.reinstatedAt.Sub(now)
		}
		out = append(out, l)
	}
	return out
}

// ImportLearned restores the learned state of configured targets. It does not replace
// anything that the router has already learned itself.
func (r *Router) ImportLearned(all []LearnedState, now time.Time) {
	for _, l := range all {
		p := r.byID[l.TargetID]
		if p == nil {
			continue
		}
		if p.estimator.tokenCost == 0 {
			p.estimator.SetTokenCost(l.TokenCost)
			if r.fleetCost == 0 {
				r.fleetCost = p.estimator.tokenCost
			}
		}
		if p.health == (Health{}) && l.ReinstatedIn > 0 && l.ReinstatedIn <= maxEjection+time.Minute {
			p.health = Health{
				ejections:    min(max(l.Ejections, 0), 10),
				ejectedUntil: now.Add(min(max(l.EjectedFor, 0), maxEjection)),
				reinstatedAt: now.Add(l.ReinstatedIn),
			}
		}
		r.refresh(p)
	}
	r.refreshFleetCost()
}
