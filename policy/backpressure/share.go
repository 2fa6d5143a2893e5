package backpressure

import (
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/placement"
)

const (
	// minRateLimit replaces lower limits, in requests a second, so that a limit of zero
	// does not keep hosts from learning of its end.
	minRateLimit = 0.2
	// extraShares is how many more hosts than requests a second have a share. Each share
	// may hold one request that it has not used.
	extraShares = 3
	// burstPeriod is the time at the rate of a share that it may save up, but not less
	// than one request.
	burstPeriod = 500 * time.Millisecond
)

// share is this host's share of the limit of one target.
type share struct {
	// rate is in requests a second; zero means that this host has no share.
	rate float64
	// rank is this host's place among the hosts for the target, from 0.
	rank int
	// hostsVersion and rateLimit are those from which rate and rank were computed.
	hostsVersion int
	rateLimit    float64

	level    float64
	refilled time.Time
	lastSent time.Time
}

// startShare begins the share of a target that has just named a limit. The first permits
// are spread over the hosts.
func (t *Table) startShare(s *state, now time.Time) {
	s.share = share{hostsVersion: -1, refilled: now}
	t.updateShare(s, now)
	if shares := t.countShares(s); s.share.rank < shares {
		s.share.level = float64(s.share.rank) / float64(shares)
	}
}

// countShares returns how many hosts have a share of a target's limit. With K shares and a
// limit of N a second, hosts send at most 4N + max(K, N/2) requests in 4 s.
func (t *Table) countShares(s *state) int {
	return min(len(t.hosts), int(effectiveLimit(s))+extraShares)
}

func effectiveLimit(s *state) float64 { return max(s.rateLimit, minRateLimit) }

// updateShare computes the share anew if the hosts or the limit have changed, and adds what
// has accrued since.
func (t *Table) updateShare(s *state, now time.Time) {
	h := &s.share
	if elapsed := now.Sub(h.refilled).Seconds(); elapsed > 0 {
		h.level = min(h.burst(), h.level+elapsed*h.rate)
		h.refilled = now
	}
	if h.hostsVersion == t.hostsVersion && h.rateLimit == s.rateLimit {
		return
	}
	h.hostsVersion, h.rateLimit = t.hostsVersion, s.rateLimit
	h.rank, h.rate = t.rank(s.target.ID), 0
	if shares := t.countShares(s); h.rank < shares {
		h.rate = effectiveLimit(s) / float64(shares)
	}
	h.level = min(h.burst(), h.level)
}

// rank returns how many hosts come before this one for a target.
func (t *Table) rank(target string) int {
	own, rank := placement.Hash(target, t.self), 0
	for _, host := range t.hosts {
		if placement.Hash(target, host) > own {
			rank++
		}
	}
	return rank
}

func (h *share) burst() float64 { return max(1, h.rate*burstPeriod.Seconds()) }

// awaitShare reports whether the share holds a request, or else how long that takes.
func (t *Table) awaitShare(s *state, now time.Time) (time.Duration, bool) {
	t.updateShare(s, now)
	h := &s.share
	if h.rate == 0 {
		wait := t.probeTime(s).Sub(now)
		return max(0, wait), wait <= 0
	}
	if h.level >= 1 {
		return 0, true
	}
	return time.Duration((1 - h.level) / h.rate * float64(time.Second)), false
}

// probeTime returns when a host without a share may send a request, if no host learns
// before whether the limit still holds. Hosts probe one after the other, at the limit.
func (t *Table) probeTime(s *state) time.Time {
	since, turn := s.statedAt, s.share.rank-t.countShares(s)
	if s.share.lastSent.After(since) {
		since, turn = s.share.lastSent, len(t.hosts)-t.countShares(s)
	}
	return since.Add(maxStatementAge + time.Duration(float64(turn)/effectiveLimit(s)*float64(time.Second)))
}

func (h *share) take(now time.Time) {
	h.lastSent = now
	h.level = max(0, h.level-1)
}
