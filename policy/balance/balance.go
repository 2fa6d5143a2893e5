// Package balance chooses targets for requests from what the hosts tell each other:
// requests in flight, prompts that are being read, and where shared parts of prompts
// are cached. It does no I/O; the time is an argument.
package balance

import (
	"math"
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

const (
	// ejection is how long a target is avoided after failures in a row. It doubles
	// with each further failure up to maxEjection.
	ejection    = time.Second
	maxEjection = 4 * time.Second
	// suspicion is how long a target is avoided that a peer found silent.
	suspicion = 600 * time.Millisecond
	// failuresToEject in a row mark a target as failing.
	failuresToEject = 2
	// peerLoadAge is the age up to which a peer's report of its load counts.
	peerLoadAge = 1500 * time.Millisecond
	// maxCorrection bounds what one answer changes of the reading estimate.
	maxCorrection = 300 * time.Millisecond
)

type peerLoad struct {
	running map[string]int
	at      time.Time
}

// targetState is what this host knows of one incarnation of a target.
type targetState struct {
	started  int64
	running  int
	failures int
	// readUntil is when the target has read all prompts that hosts sent there, by
	// the estimates of their reading times.
	readUntil time.Time
	// heard is when the target last showed a sign of life.
	heard time.Time
	// ejectedUntil and pausedUntil bound the time in which other targets go first.
	ejectedUntil time.Time
	pausedUntil  time.Time
	// weights holds versions that answers and peers showed, by model.
	weights map[string]int64
}

// Balancer is the state of all targets. It is not safe for concurrent use.
type Balancer struct {
	zone         string
	regionOfZone map[string]string
	targets      map[string]*targetState
	peers        map[string]peerLoad
	// peerRunning is the sum of the peers' requests by target, so that a choice does
	// not grow with the number of hosts.
	peerRunning map[string]int
	cache       *cacheMap
}

// New returns a balancer for a host in the zone.
func New(zone string, regionOfZone map[string]string) *Balancer {
	return &Balancer{
		zone: zone, regionOfZone: regionOfZone,
		targets: map[string]*targetState{}, peers: map[string]peerLoad{},
		peerRunning: map[string]int{}, cache: newCacheMap(),
	}
}

func (b *Balancer) state(t *topology.Target) *targetState {
	s := b.targets[t.ID]
	if s == nil || s.started != t.Started {
		s = &targetState{started: t.Started, weights: map[string]int64{}}
		b.targets[t.ID] = s
	}
	return s
}

// Retain drops the state of all targets that are not listed.
func (b *Balancer) Retain(targets map[string]*topology.Target) {
	for id, s := range b.targets {
		if targets[id] == nil && s.running == 0 {
			delete(b.targets, id)
		}
	}
}

// WeightsVersion returns the newest version of the model that the target is known to have.
// Versions of one incarnation only grow.
func (b *Balancer) WeightsVersion(t *topology.Target, model string) int64 {
	return max(t.Weights[model], b.state(t).weights[model])
}

// RecordWeights notes a version that the target showed.
func (b *Balancer) RecordWeights(t *topology.Target, model string, version int64) {
	s := b.state(t)
	s.weights[model] = max(s.weights[model], version)
}

// Pause keeps requests from a target until a time. A zero time ends the pause.
func (b *Balancer) Pause(t *topology.Target, until time.Time) { b.state(t).pausedUntil = until }

// Begin counts a request that is sent to a target.
func (b *Balancer) Begin(t *topology.Target) { b.state(t).running++ }

// AddPrefill adds the reading time of a prompt that some host sends to a target, and
// returns when the target is expected to have read it.
func (b *Balancer) AddPrefill(t *topology.Target, ms float64, now time.Time) time.Time {
	s := b.state(t)
	if s.readUntil.Before(now) {
		s.readUntil = now
	}
	s.readUntil = s.readUntil.Add(time.Duration(ms * float64(time.Millisecond)))
	return s.readUntil
}

// RecordPrefillDone corrects the estimate once a prompt is read that was expected to be read at
// a time.
func (b *Balancer) RecordPrefillDone(t *topology.Target, expected, now time.Time) {
	s := b.targets[t.ID]
	if s == nil || expected.IsZero() {
		return
	}
	off := min(max(now.Sub(expected), -maxCorrection), maxCorrection)
	s.readUntil = s.readUntil.Add(off / 2)
}

// End counts a request that has ended.
func (b *Balancer) End(t *topology.Target) {
	if s := b.targets[t.ID]; s != nil {
		s.running = max(0, s.running-1)
	}
}

// RecordActivity notes a sign of life of a target: an answer or an event.
func (b *Balancer) RecordActivity(t *topology.Target, now time.Time) { b.state(t).heard = now }

// UnresponsiveSince reports whether a target has shown no sign of life since a time.
func (b *Balancer) UnresponsiveSince(t *topology.Target, since time.Time) bool {
	return b.state(t).heard.Before(since)
}

// RecordSuccess notes that a target answered a request.
func (b *Balancer) RecordSuccess(t *topology.Target) {
	s := b.state(t)
	s.failures, s.ejectedUntil = 0, time.Time{}
}

// RecordFailure notes a target that did not answer a request.
func (b *Balancer) RecordFailure(t *topology.Target, now time.Time) {
	s := b.state(t)
	if s.failures++; s.failures >= failuresToEject {
		s.eject(now)
	}
}

// Unresponsive notes a target that shows no sign of life, or to which no connection can be
// opened. One such failure is enough: it took its whole time limit, and others would
// do so too.
func (b *Balancer) RecordUnresponsive(t *topology.Target, now time.Time) {
	s := b.state(t)
	s.failures = max(s.failures+1, failuresToEject)
	s.eject(now)
}

func (s *targetState) eject(now time.Time) {
	period := min(ejection<<min(s.failures-failuresToEject, 4), maxEjection)
	s.ejectedUntil = now.Add(period)
}

// Suspects returns the targets that this host avoids after failures.
func (b *Balancer) Suspects(now time.Time) []string {
	var out []string
	for id, s := range b.targets {
		if s.failures >= failuresToEject && now.Before(s.ejectedUntil) {
			out = append(out, id)
		}
	}
	return out
}

// RecordPeerSuspicion notes a target that a peer avoids. It is avoided here too, unless it has
// just shown a sign of life.
func (b *Balancer) RecordPeerSuspicion(t *topology.Target, now time.Time) {
	s := b.state(t)
	if until := now.Add(suspicion); now.Sub(s.heard) > suspicion/2 && s.ejectedUntil.Before(until) {
		s.ejectedUntil = until
	}
}

// LocalInFlight returns this host's requests at each target that has any.
func (b *Balancer) LocalInFlight() map[string]int {
	out := map[string]int{}
	for id, s := range b.targets {
		if s.running > 0 {
			out[id] = s.running
		}
	}
	return out
}

// SetPeerInFlight replaces what a peer has under way.
func (b *Balancer) SetPeerInFlight(peer string, running map[string]int, now time.Time) {
	b.dropPeer(peer)
	b.peers[peer] = peerLoad{running, now}
	for id, n := range running {
		b.peerRunning[id] += n
	}
}

func (b *Balancer) dropPeer(peer string) {
	for id, n := range b.peers[peer].running {
		if b.peerRunning[id] -= n; b.peerRunning[id] == 0 {
			delete(b.peerRunning, id)
		}
	}
	delete(b.peers, peer)
}

// dropSilentPeers forgets the requests of peers whose reports are old.
func (b *Balancer) dropSilentPeers(now time.Time) {
	for peer, p := range b.peers {
		if now.Sub(p.at) > peerLoadAge {
			b.dropPeer(peer)
		}
	}
}

// InFlight returns the requests of all hosts at a target.
func (b *Balancer) InFlight(t *topology.Target) int {
	return b.state(t).running + b.peerRunning[t.ID]
}

// Ejected reports whether a target is avoided after failures.
func (b *Balancer) Ejected(t *topology.Target, now time.Time) bool {
	return now.Before(b.state(t).ejectedUntil)
}

// readingMs is how long the target still reads prompts.
func (s *targetState) readingMs(now time.Time) float64 {
	return max(0, s.readUntil.Sub(now).Seconds()*1000)
}

// exclusion ranks targets; those with the lowest rank are chosen from.
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
	switch {
	case t.Leaving || tried[t.ID]:
		return unusable
	case now.Before(s.pausedUntil):
		return paused
	case now.Before(s.ejectedUntil):
		return ejected
	}
	return usable
}

// distance is the cost in ms of sending bytes to a target in another zone or region.
func (b *Balancer) distance(t *topology.Target, bytes int) float64 {
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
	// busySlotMs is what a further request costs those that run beside it.
	busySlotMs = 1.5
	// waitingMs is the mean time that a request waits for each one ahead of it.
	waitingMs = 30
)

// PickPlain returns the target of a plain service with the least load, or nil.
func (b *Balancer) PickPlain(targets []*topology.Target, tried map[string]bool, bytes int, now time.Time) *topology.Target {
	b.dropSilentPeers(now)
	var best *topology.Target
	bestRank, bestCost := unusable, math.Inf(1)
	for _, t := range targets {
		rank := b.exclusion(t, tried, now)
		if rank == unusable || rank > bestRank {
			continue
		}
		running, slots := b.InFlight(t), max(1, t.Slots)
		cost := b.distance(t, bytes) + waitingMs*float64(running)/float64(slots) + slotWaitMs(running, slots)
		if rank < bestRank || cost < bestCost {
			best, bestRank, bestCost = t, rank, cost
		}
	}
	return best
}
