package routing

import "time"

// LearnedState is what a router has learned about a target and a restart should keep.
type LearnedState struct {
	TargetID  string
	TokenCost float64
	// EjectedFor and ReinstatedIn count from the export; zero means healthy.
	EjectedFor   time.Duration
	ReinstatedIn time.Duration
	Ejections    int
}

// ExportLearned returns what was learned about each target.
func (r *Router) ExportLearned(now time.Time) []LearnedState {
	out := make([]LearnedState, 0, len(r.byID))
	for id, p := range r.byID {
		l := LearnedState{TargetID: id, TokenCost: p.estimator.tokenCost, Ejections: p.health.ejections}
		if now.Before(p.health.fullAt) {
			l.EjectedFor = max(0, p.health.until.Sub(now))
			l.ReinstatedIn = p.health.fullAt.Sub(now)
		}
		out = append(out, l)
	}
	return out
}

// ImportLearned restores what was learned about targets that are configured and of
// which nothing is known yet.
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
				ejections: min(max(l.Ejections, 0), 10),
				until:     now.Add(min(max(l.EjectedFor, 0), maxEjection)),
				fullAt:    now.Add(l.ReinstatedIn),
			}
		}
		r.refresh(p)
	}
	r.followFleetCost()
}
