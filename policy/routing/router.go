package routing

import (
	"math"
	"slices"
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
	"github.com/sequoiaroad/sequoiaroad/policy/preset"
)

const (
	blockTokens = prefix.BlockBytes / prefix.BytesPerToken
	// Round-trip times in seconds, each the larger one of the two deployments. Only the
	// order of magnitude matters compared with a prefill.
	roundTripSameZone    = 0.0003
	roundTripSameRegion  = 0.003
	roundTripOtherRegion = 0.016
	// weightsLoadSeconds is the time that a replica takes to load other weights.
	weightsLoadSeconds = 0.5
	// pendingGrace is how long after its predicted end a prefill stays pending, if
	// its request never reports a first token.
	pendingGrace = 5 * time.Second
	// maxVersions bounds the numbered weights versions; it is above the number of
	// targets of the largest fleet.
	maxVersions = 4096
	// unreachableExclusion is how long one failed poll excludes a target; the next poll
	// decides again.
	unreachableExclusion = time.Second
)

// replica is the state of one target.
type replica struct {
	id           string
	zone, region string
	handle       int32
	hash         uint64
	network      float64
	otherRegion  bool
	// A target is leaving according to the configuration, the platform's host list, or its
	// own report.
	configLeaving, listLeaving, draining bool
	// drainingSince is when the target itself reported that it is draining; older load
	// reports don't revert that.
	drainingSince    time.Time
	unreachable      bool
	unreachableUntil time.Time
	// refusingUntil is set when a healthy target refuses further requests.
	refusingUntil time.Time
	// loadingUntil is the latest end of a load of weights, for loadingModel or, if that
	// is empty, all models. The load has ended when a report has loadingVersion.
	loadingUntil                 time.Time
	loadingModel, loadingVersion string
	weights                      string
	// weightsEpoch is the engine epoch of the last report of weights.
	weightsEpoch string
	estimator    Estimator
	health       Health
	// inFlight counts requests from Begin to End, queuedTokens the uncached tokens of
	// those not yet sent.
	inFlight, queuedTokens int
	// ejections counts ejections since the target was configured.
	ejections uint64
}

func (p *replica) leaving() bool { return p.configLeaving || p.listLeaving || p.draining }

// summary holds the fields of a replica that a choice reads, kept in one array so that
// a choice over hundreds of replicas stays in the processor's caches. It is refreshed
// after each event.
type summary struct {
	hash               uint64
	network, tokenCost float64
	// fixedQueue is the queueing delay in seconds that does not drain by itself. The
	// work reported as pending has drained at drainedAt, in seconds of Router.clock.
	fixedQueue, drainedAt float64
	weights, inFlight     int32
	// needsFullCheck means that a choice must check the full state of the replica.
	needsFullCheck bool
}

// Options are the settings of a Router.
type Options struct {
	// Policy is a policy name; empty means PredictedTTFT.
	Policy string
	// Knobs are read at each choice and may be changed between calls. Required.
	Knobs *preset.Knobs
	// Zone and Region are those of this host.
	Zone, Region string
	// Index is the index of cached blocks. Required.
	Index *prefix.Index
}

// Router holds the state of all targets and chooses among them. It is not safe for
// concurrent use.
type Router struct {
	knobs           *preset.Knobs
	zone, region    string
	policy          Policy
	index           *prefix.Index
	link            LinkBudget
	pending         pendingPrefills
	replicas        []*replica // by handle; nil if free
	byID            map[string]*replica
	summaries       []summary // by handle
	byModel         map[string][]int32
	weightsVersions map[string]int32 // numbers of weights versions, from 1
	clockOrigin     time.Time
	byService       map[string][]*replica
	listLeaving     map[string]bool
	nextID          uint64
	// fleetCost is the prefill cost learned over all targets, and refreshedCost the
	// value that the summaries contain.
	fleetCost, refreshedCost float64
	// fleetPendingScale is the learned share of the reported pending tokens that has to
	// be computed.
	fleetPendingScale float64
	serviceChoices    int

	matches         []prefix.Match
	cachedTokens    []int32 // by handle, in tokens; zero between choices
	candidates      []Candidate
	lowestExclusion Exclusion // the lowest among the candidates
	// pendingRuns are the pending prefills of the query in progress. runPositions
	// holds, by handle, the position in pendingRuns plus one of the run that the target
	// computes, or zero.
	pendingRuns  []pendingRun
	runPositions []int32
}

// NewRouter returns a router without targets.
func NewRouter(o Options) (*Router, error) {
	policy, err := NewPolicy(o.Policy, o.Knobs)
	if err != nil {
		return nil, err
	}
	return &Router{
		knobs: o.Knobs, zone: o.Zone, region: o.Region, policy: policy, index: o.Index,
		link:            LinkBudget{Rate: DefaultLinkRate},
		pending:         pendingPrefills{blocks: map[prefix.BlockHash]pendingBlock{}},
		byID:            map[string]*replica{},
		weightsVersions: map[string]int32{},
	}, nil
}

// PolicyName returns the name of the policy in use.
func (r *Router) PolicyName() string { return r.policy.Name() }

// Configure applies a configuration and drops the state of targets that it no longer
// has.
func (r *Router) Configure(d *config.Document) {
	old := r.byID
	r.byID = make(map[string]*replica, len(d.Targets))
	r.byModel, r.byService = map[string][]int32{}, map[string][]*replica{}
	for i := range d.Targets {
		id := d.Targets[i].ID
		if kept := old[id]; kept != nil {
			r.byID[id] = kept
			delete(old, id)
		}
	}
	for id, removed := range old {
		r.index.Remove(id)
		r.replicas[removed.handle] = nil
	}
	if len(old) > 0 {
		r.pending.expire(time.Time{}, func(h int32) bool { return r.replicas[h] == nil })
	}
	for i := range d.Targets {
		r.configure(&d.Targets[i])
	}
}

func (r *Router) configure(t *config.Target) {
	p := r.byID[t.ID]
	if p == nil {
		p = &replica{id: t.ID, hash: HashID(t.ID), listLeaving: r.listLeaving[t.ID], estimator: Estimator{fleetCost: &r.fleetCost, fleetPendingScale: &r.fleetPendingScale}}
		p.handle = r.allocateHandle(p)
		r.byID[t.ID] = p
		if t.Kind == config.TargetEngine {
			r.index.SetHandle(t.ID, int(p.handle))
		}
	}
	p.zone, p.region, p.configLeaving = t.Zone, t.Region, t.Leaving
	p.otherRegion = t.Region != r.region
	switch {
	case p.otherRegion:
		p.network = roundTripOtherRegion
	case t.Zone != r.zone:
		p.network = roundTripSameRegion
	default:
		p.network = roundTripSameZone
	}
	for _, m := range t.Models {
		r.byModel[m] = append(r.byModel[m], p.handle)
	}
	if t.Kind == config.TargetService {
		r.byService[t.Service] = append(r.byService[t.Service], p)
	}
	r.refresh(p)
}

// clock returns the seconds since the first time that was passed to it.
func (r *Router) clock(now time.Time) float64 {
	if r.clockOrigin.IsZero() {
		r.clockOrigin = now
	}
	return now.Sub(r.clockOrigin).Seconds()
}

// refreshFleetCost refreshes the summaries of targets without a learned cost of their
// own if the fleet's cost has changed noticeably.
func (r *Router) refreshFleetCost() {
	const negligibleChange = 0.1
	if math.Abs(r.fleetCost-r.refreshedCost) <= negligibleChange*r.refreshedCost {
		return
	}
	r.refreshedCost = r.fleetCost
	for _, p := range r.replicas {
		if p != nil && p.estimator.tokenCost == 0 {
			r.refresh(p)
		}
	}
}

// refresh updates the summary of a replica after a change.
func (r *Router) refresh(p *replica) {
	if int(p.handle) >= len(r.replicas) || r.replicas[p.handle] != p {
		return // no longer configured
	}
	if p.weights != "" && r.weightsVersions[p.weights] == 0 {
		if len(r.weightsVersions) >= maxVersions && len(r.byID) < maxVersions {
			clear(r.weightsVersions)
			r.weightsVersions[p.weights] = 1
			for _, other := range r.replicas {
				if other != nil {
					r.refresh(other)
				}
			}
		}
	}
	if p.weights != "" && r.weightsVersions[p.weights] == 0 {
		r.weightsVersions[p.weights] = int32(len(r.weightsVersions)) + 1
	}
	e := &p.estimator
	r.summaries[p.handle] = summary{
		hash: p.hash, network: p.network, tokenCost: e.TokenCost(),
		fixedQueue: e.fixedQueue() + float64(p.queuedTokens)*e.TokenCost(),
		weights:    r.weightsVersions[p.weights], inFlight: int32(p.inFlight),
		needsFullCheck: p.leaving() || p.unreachable || p.otherRegion || !p.refusingUntil.IsZero() || !p.loadingUntil.IsZero() || !p.health.reinstatedAt.IsZero() || e.residual >= negligibleResidual,
	}
	if e.report.PendingPrefillTokens > 0 {
		r.summaries[p.handle].drainedAt = r.clock(e.drainedAt())
	}
}

func (r *Router) allocateHandle(p *replica) int32 {
	if free := slices.Index(r.replicas, nil); free >= 0 {
		r.replicas[free] = p
		return int32(free)
	}
	r.replicas = append(r.replicas, p)
	r.cachedTokens = append(r.cachedTokens, 0)
	r.runPositions = append(r.runPositions, 0)
	r.summaries = append(r.summaries, summary{})
	return int32(len(r.replicas) - 1)
}

// SetLeaving replaces the set of targets that the platform's host list marks as leaving.
func (r *Router) SetLeaving(ids []string) {
	r.listLeaving = make(map[string]bool, len(ids))
	for _, id := range ids {
		r.listLeaving[id] = true
	}
	for id, p := range r.byID {
		p.listLeaving = r.listLeaving[id]
		r.refresh(p)
	}
}

// SetDraining records that a target itself reported that it is draining.
func (r *Router) SetDraining(id string, now time.Time) {
	if p := r.byID[id]; p != nil {
		p.draining, p.drainingSince = true, now
		r.refresh(p)
	}
}

// Leaving reports whether a target is not configured or gets no new requests.
func (r *Router) Leaving(id string) bool {
	p := r.byID[id]
	return p == nil || p.leaving()
}

// ObserveLoad records a target's load report.
func (r *Router) ObserveLoad(id, epoch, weights string, draining bool, report Report, now time.Time) {
	p := r.byID[id]
	if p == nil {
		return
	}
	r.index.SetEpoch(id, epoch, weights)
	if draining || report.MeasuredAt.After(p.drainingSince) {
		p.draining = draining
	}
	p.unreachable = false
	if weights != "" {
		p.weights, p.weightsEpoch = weights, epoch
		if weights == p.loadingVersion {
			p.loadingUntil, p.loadingVersion = time.Time{}, ""
		}
	}
	p.estimator.Observe(report, now)
	r.refresh(p)
}

// SetLoading records that a target is loading weights. Until a report has the version,
// but not after until, the target gets requests for the model only if no other is left:
// they would wait for the load, which also drops their cached prefix. An empty model
// means all models.
func (r *Router) SetLoading(id, model, version string, until time.Time) {
	if p := r.byID[id]; p != nil {
		p.loadingModel, p.loadingVersion, p.loadingUntil = model, version, until
		r.refresh(p)
	}
}

// ClearLoading records that a target is no longer loading weights.
func (r *Router) ClearLoading(id string) { r.SetLoading(id, "", "", time.Time{}) }

// Weights returns the weights version that a target last reported in the given engine
// epoch. It is empty if the target reported none in that epoch, since an engine may
// restart with other weights.
func (r *Router) Weights(id, epoch string) string {
	if p := r.byID[id]; p != nil && p.weightsEpoch == epoch {
		return p.weights
	}
	return ""
}

// ObserveUnreachable records that a target did not respond to a poll.
func (r *Router) ObserveUnreachable(id string, now time.Time) {
	if p := r.byID[id]; p != nil {
		p.unreachable, p.unreachableUntil = true, now.Add(unreachableExclusion)
		r.refresh(p)
	}
}

// Apply applies cache events; see prefix.Index.
func (r *Router) Apply(id string, b prefix.Batch) (epoch string, after uint64) {
	if r.byID[id] == nil {
		return "", 0
	}
	return r.index.Apply(id, b)
}

// Failed records a failure of a target and reports whether it ejected the target.
func (r *Router) Failed(id string, now time.Time) bool {
	p := r.byID[id]
	if p == nil {
		return false
	}
	ejected := r.recordFailure(p, now)
	r.refresh(p)
	return ejected
}

func (r *Router) recordFailure(p *replica, now time.Time) bool {
	ejected := p.health.Failed(r.knobs, now)
	if ejected {
		p.ejections++
	}
	return ejected
}

// TargetStats counts this host's requests in flight to a target and its ejections of
// the target.
type TargetStats struct {
	InFlight  int
	Ejections uint64
}

// Stats returns the counts of a target; zero for an unknown one.
func (r *Router) Stats(id string) TargetStats {
	p := r.byID[id]
	if p == nil {
		return TargetStats{}
	}
	return TargetStats{InFlight: p.inFlight, Ejections: p.ejections}
}

// Refused records that a healthy target accepts no more requests for now. Without it,
// the target would remain the first choice for its prefixes, and each of their requests
// would need a retry.
func (r *Router) Refused(id string, until time.Time) {
	if p := r.byID[id]; p != nil {
		p.refusingUntil = until
		r.refresh(p)
	}
}

// Succeeded records a successful request to a target.
func (r *Router) Succeeded(id string, now time.Time) {
	if p := r.byID[id]; p != nil {
		p.health.Succeeded(now)
		if !now.Before(p.refusingUntil) {
			p.refusingUntil = time.Time{}
		}
		r.refresh(p)
	}
}

// Expire drops expired state. The owner calls it periodically.
func (r *Router) Expire(now time.Time) {
	r.pending.expire(now, func(int32) bool { return false })
	const sweepEntries = 20_000
	r.index.Maintain(sweepEntries)
}

// SetLinkShare divides the link between regions evenly among the live hosts of this
// host's region, which all send over it.
func (r *Router) SetLinkShare(hosts int) { r.link.Rate = DefaultLinkRate / float64(max(hosts, 1)) }

// Link returns the budget of the link between regions.
func (r *Router) Link() *LinkBudget { return &r.link }
