package exchange

import (
	"cmp"
	"slices"
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/balance"
)

const (
	// recentAge is the age up to which notices are told to a receiver for the first time. It
	// covers the time in which a host notices that its hub is lost.
	recentAge = 2 * time.Second
	// maxNotices bounds the cache notices that are kept for receivers.
	maxNotices = 4096
	// idleLoadAge is how long a target without requests is kept.
	idleLoadAge = time.Minute
)

// load is a number of requests and the state in which it last changed.
type load struct {
	requests  int
	changed   uint64
	changedAt time.Time
}

// loggedNotice is a cache notice and the host that it came from.
type loggedNotice struct {
	state  uint64
	at     time.Time
	origin string
	notice balance.CacheNotice
}

// sums adds up the loads of several hosts, collects their cache notices, and knows what has
// changed since an earlier state.
type sums struct {
	loads   map[string]load
	notices []loggedNotice
	// pruned is the state up to which idle loads were dropped.
	pruned uint64
}

func newSums() *sums { return &sums{loads: map[string]load{}} }

func (s *sums) addLoad(target string, change int, state uint64, now time.Time) {
	s.loads[target] = load{requests: s.loads[target].requests + change, changed: state, changedAt: now}
}

func (s *sums) addNotice(n balance.CacheNotice, origin string, state uint64, now time.Time) {
	if len(s.notices) >= maxNotices {
		s.notices = append(s.notices[:0], s.notices[maxNotices/2:]...)
	}
	s.notices = append(s.notices, loggedNotice{state, now, origin, n})
}

// pruneLoads drops targets that have had no requests for idleLoadAge.
func (s *sums) pruneLoads(now time.Time) {
	for target, v := range s.loads {
		if v.requests == 0 && now.Sub(v.changedAt) > idleLoadAge {
			s.pruned = max(s.pruned, v.changed)
			delete(s.loads, target)
		}
	}
}

// changes returns what has changed after a state, but for the notices of one host. A first
// report has all loads, and the notices of the last recent.
func (s *sums) changes(after uint64, except string, recent time.Duration, now time.Time) Changes {
	c := Changes{First: after == 0 || after < s.pruned}
	if c.First {
		after = 0
	}
	for target, v := range s.loads {
		if v.changed > after && !(c.First && v.requests == 0) {
			c.Loads = append(c.Loads, Load{TargetID: target, Requests: v.requests})
		}
	}
	first, _ := slices.BinarySearchFunc(s.notices, after+1, func(n loggedNotice, state uint64) int { return cmp.Compare(n.state, state) })
	for _, n := range s.notices[first:] {
		if n.origin != except && !(c.First && now.Sub(n.at) > recent) {
			c.Notices = append(c.Notices, n.notice)
		}
	}
	return c
}
