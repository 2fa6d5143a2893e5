// Package balance chooses targets for requests from the state that hosts exchange:
// requests in flight, pending prefill work, and the targets that have shared prompt
// parts in their prefix cache. It does no I/O; the current time is an argument.
package balance

import (
	"math"
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/backpressure"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

const (
	// baseEjection is how long a target is ejected after consecutive failures. It
	// doubles with each further failure up to maxEjection.
	baseEjection = time.Second
	maxEjection  = 4 * time.Second
	// suspicionEjection is how long a target is ejected after a peer has reported it as
	// suspect.
	suspicionEjection = 600 * time.Millisecond
	// failuresToEject is the number of consecutive failures that ejects a target.
	failuresToEject = 2
	// maxPrefillCorrection bounds the change that one response makes to the estimate of
	// pending prefill work.
	maxPrefillCorrection = 300 * time.Millisecond
)

// targetState is this host's state of one incarnation of a target.
type targetState struct {
	inFlight int
	failures int
	// prefillUntil is when the target has finished the prefill of all prompts that
	// hosts sent there, by their estimates.
	prefillUntil time.Time
	// lastActive is when the target last sent a response or an event, or accepted a
	// probe connection.
	lastActive time.Time
	// The target is ejected until ejectedUntil and paused until pausedUntil.
	ejectedUntil time.Time
	pausedUntil  time.Time
	// weights holds the weights versions that responses and peers reported, by model.
	weights map[string]int64
}

// Balancer holds the state of all targets. It is not safe for concurrent use.
type Balancer struct {
	zone         string
	regionOfZone map[string]string
	targets      *topology.States[targetState]
	// peerInFlight is the sum of the requests that other hosts have in flight by target.
	peerInFlight map[string]int
	cache        *cacheMap
	// pressure holds what targets have asked for.
	pressure *backpressure.Table
}

// New returns a balancer for a host in the given availability zone.
func New(zone string, regionOfZone map[string]string) *Balancer {
	return &Balancer{
		zone: zone, regionOfZone: regionOfZone,
		targets:      topology.NewStates[targetState](),
		peerInFlight: map[string]int{}, cache: newCacheMap(), pressure: backpressure.New(""),
	}
}

// UseBackpressure makes the balancer choose no target that must not be sent a request
// according to the table.
func (b *Balancer) UseBackpressure(table *backpressure.Table) { b.pressure = table }

// state returns the state of a target. A later incarnation has lost what an earlier one had
// cached; what is recorded of an earlier one afterwards is lost.
func (b *Balancer) state(t *topology.Target) *targetState {
	s, replaced := b.targets.Add(t.Incarnation())
	if replaced {
		b.cache.dropHolder(t.ID)
	}
	if s == nil {
		s = &targetState{}
	}
	if s.weights == nil {
		s.weights = map[string]int64{}
	}
	return s
}

// Retain drops what is no longer known of targets, given those that have entries.
func (b *Balancer) Retain(targets map[string]*topology.Target, now time.Time) {
	b.targets.Retain(targets, now)
}

// WeightsVersion returns the newest weights version of the model that the target is
// known to have loaded. The version never decreases within one incarnation of a target.
func (b *Balancer) WeightsVersion(t *topology.Target, model string) int64 {
	return max(t.Weights[model], b.state(t).weights[model])
}

// RecordWeights records a weights version that the target reported.
func (b *Balancer) RecordWeights(t *topology.Target, model string, version int64) {
	s := b.state(t)
	s.weights[model] = max(s.weights[model], version)
}

// Pause pauses a target until the given time: it receives no prompts, and other
// requests only if no other target is usable. A zero time ends the pause.
func (b *Balancer) Pause(t *topology.Target, until time.Time) { b.state(t).pausedUntil = until }

// Begin counts a request that is sent to a target.
func (b *Balancer) Begin(t *topology.Target) { b.state(t).inFlight++ }

// AddPrefill adds the prefill time of a prompt that any host sends to a target, and
// returns when the target is expected to have finished it.
func (b *Balancer) AddPrefill(t *topology.Target, ms float64, now time.Time) time.Time {
	s := b.state(t)
	if s.prefillUntil.Before(now) {
		s.prefillUntil = now
	}
	s.prefillUntil = s.prefillUntil.Add(time.Duration(ms * float64(time.Millisecond)))
	return s.prefillUntil
}

// RecordPrefillDone corrects the estimate when a prefill ends that was expected to end
// at the given time.
func (b *Balancer) RecordPrefillDone(t *topology.Target, expected, now time.Time) {
	s := b.targets.Get(t.Incarnation())
	if s == nil || expected.IsZero() {
		return
	}
	deviation := min(max(now.Sub(expected), -maxPrefillCorrection), maxPrefillCorrection)
	s.prefillUntil = s.prefillUntil.Add(deviation / 2)
}

// End counts a request that has ended.
func (b *Balancer) End(t *topology.Target) {
	if s := b.targets.Get(t.Incarnation()); s != nil {
		s.inFlight = max(0, s.inFlight-1)
	}
}

// RecordActivity records that a target sent a response or an event, or accepted a probe
// connection.
func (b *Balancer) RecordActivity(t *topology.Target, now time.Time) { b.state(t).lastActive = now }

// UnresponsiveSince reports whether no activity of a target was recorded since the given
// time.
func (b *Balancer) UnresponsiveSince(t *topology.Target, since time.Time) bool {
	return b.state(t).lastActive.Before(since)
}

// RecordSuccess records that a target responded to a request.
func (b *Balancer) RecordSuccess(t *topology.Target) {
	s := b.state(t)
	s.failures, s.ejectedUntil = 0, time.Time{}
}

// RecordFailure records that a target did not respond to a request.
func (b *Balancer) RecordFailure(t *topology.Target, now time.Time) {
	s := b.state(t)
	if s.failures++; s.failures >= failuresToEject {
		s.eject(now)
	}
}

// RecordUnresponsive records that a target sends nothing or accepts no connection, and
// ejects it. One such failure is enough: it used up a whole timeout, and further
// requests would do the same.
func (b *Balancer) RecordUnresponsive(t *topology.Target, now time.Time) {
	s := b.state(t)
	s.failures = max(s.failures+1, failuresToEject)
	s.eject(now)
}

func (s *targetState) eject(now time.Time) {
	period := min(baseEjection<<min(s.failures-failuresToEject, 4), maxEjection)
	s.ejectedUntil = now.Add(period)
}

// Suspects returns the targets that this host has ejected after failures of its own
// requests.
func (b *Balancer) Suspects(now time.Time) []string {
	var out []string
	for held, s := range b.targets.All() {
		if s.failures >= failuresToEject && now.Before(s.ejectedUntil) {
			out = append(out, held.ID)
		}
	}
	return out
}

// RecordPeerSuspicion ejects a target that a peer suspects, unless this host has just
// recorded activity of it.
func (b *Balancer) RecordPeerSuspicion(t *topology.Target, now time.Time) {
	s := b.state(t)
	if until := now.Add(suspicionEjection); now.Sub(s.lastActive) > suspicionEjection/2 && s.ejectedUntil.Before(until) {
		s.ejectedUntil = until
	}
}

// LocalInFlight returns the number of this host's requests in flight at each target
// that has any.
func (b *Balancer) LocalInFlight() map[string]int {
	out := map[string]int{}
	for held, s := range b.targets.All() {
		if s.inFlight > 0 {
			out[held.ID] = s.inFlight
		}
	}
	return out
}

// AddPeerInFlight changes the number of requests that other hosts have in flight at a target.
func (b *Balancer) AddPeerInFlight(targetID string, change int) {
	if b.peerInFlight[targetID] += change; b.peerInFlight[targetID] == 0 {
		delete(b.peerInFlight, targetID)
	}
}

// InFlight returns the number of requests that all hosts have in flight at a target.
func (b *Balancer) InFlight(t *topology.Target) int {
	return b.state(t).inFlight + max(0, b.peerInFlight[t.ID])
}

// Ejected reports whether a target is ejected after failures.
func (b *Balancer) Ejected(t *topology.Target, now time.Time) bool {
	return now.Before(b.state(t).ejectedUntil)
}

// remainingPrefillMs estimates the remaining time of pending prefill work.
func (s *targetState) remainingPrefillMs(now time.Time) float64 {
	return max(0, s.prefillUntil.Sub(now).Seconds()*1000)
}

// exclusion ranks targets by how strongly they are to be avoided. Requests go to the
// targets with the lowest rank.
type exclusion int

const (
	usable exclusion = iota
	ejected
	outdated
	paused
	unusable
)

func (b *Balancer) exclusion(t *topology.Target, tried map[string]bool, now time.Time) exclusion {
	s := b.state(t)
	_, maySend := b.pressure.MaySend(t.Incarnation(), now)
	switch {
	case t.Leaving || tried[t.ID] || !maySend:
		return unusable
	case now.Before(s.pausedUntil):
		return paused
	case now.Before(s.ejectedUntil):
		return ejected
	}
	return usable
}

// networkMs returns the cost of sending bytes to a target in another zone or region.
func (b *Balancer) networkMs(t *topology.Target, bytes int) float64 {
	kilobytes := float64(bytes) / 1000
	switch {
	case t.Zone == b.zone:
		return 0
	case b.regionOfZone[t.Zone] == b.regionOfZone[b.zone]:
		return crossZoneMs + crossZoneMsPerKB*kilobytes
	default:
		return crossRegionMs + crossRegionMsPerKB*kilobytes
	}
}

const (
	crossZoneMs        = 2
	crossZoneMsPerKB   = 1
	crossRegionMs      = 16
	crossRegionMsPerKB = 4
	// interferenceMs is the slowdown that one more request causes for those already
	// running.
	interferenceMs = 1.5
	// queueMsPerRequest is the mean wait for each request ahead in the target's queue.
	queueMsPerRequest = 30
)

// PickPlain returns the target of a plain service with the least cost, or nil if none is
// usable.
func (b *Balancer) PickPlain(targets []*topology.Target, tried map[string]bool, bytes int, now time.Time) *topology.Target {
	var best *topology.Target
	bestRank, bestCost := unusable, math.Inf(1)
	for _, t := range targets {
		rank := b.exclusion(t, tried, now)
		if rank == unusable || rank > bestRank {
			continue
		}
		inFlight, slots := b.InFlight(t), max(1, t.Slots)
		cost := b.networkMs(t, bytes) + queueMsPerRequest*float64(inFlight)/float64(slots) + slotWaitMs(inFlight, slots)
		if rank < bestRank || cost < bestCost {
			best, bestRank, bestCost = t, rank, cost
		}
	}
	return best
}
