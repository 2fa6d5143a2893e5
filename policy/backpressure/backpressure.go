// Package backpressure keeps what targets ask of the hosts in their responses, and decides
// whether a request may be sent. It does no I/O; the current time is an argument.
//
// A limit of requests a second holds for all hosts together, without a message for each
// request: hosts tell each other which targets have named one, and each of a few hosts takes
// an equal share of it. The hosts of a target are the same everywhere, by rendezvous
// hashing. Their number grows with the limit, so that their bursts stay small in a large
// fleet.
package backpressure

import (
	"slices"
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

const (
	// maxStatementAge is the age of the newest statement of a target above which a host
	// without a share may send a request to learn whether the limit still holds. It
	// matters where the hosts with a share get no requests.
	maxStatementAge = 5 * time.Second
	// endReportPeriod is how long hosts report that a target no longer names a limit.
	endReportPeriod = 3 * time.Second
)

// Statement is what a target asks for in one response.
type Statement struct {
	// RateLimit is the number of requests a second that the target takes from all hosts
	// together; Limited is false if it states none.
	RateLimit float64
	Limited   bool
	// RetryAfter is how long the target wants no request from the receiving host; zero if
	// not stated.
	RetryAfter time.Duration
	// Leaving means that the target is about to stop and must get no new requests.
	Leaving bool
}

// Report tells another host what a target has stated to the reporter.
type Report struct {
	Target    topology.Incarnation `msgpack:"t"`
	RateLimit float64              `msgpack:"r,omitempty"`
	Limited   bool                 `msgpack:"l,omitempty"`
	// AgeMs is how long ago the target stated the limit, or none.
	AgeMs   int64 `msgpack:"a"`
	Leaving bool  `msgpack:"v,omitempty"`
}

// state is what one incarnation of a target has asked for.
type state struct {
	target    topology.Incarnation
	rateLimit float64
	limited   bool
	// statedAt is when the target last stated a limit, or none; own means that it told
	// this host.
	statedAt time.Time
	own      bool
	// limitEndedAt is when the target first stated no limit after one.
	limitEndedAt time.Time
	pausedUntil  time.Time
	leaving      bool
	share        share
}

// Table holds the state of all targets that have asked for something. It is not safe for
// concurrent use.
type Table struct {
	self string
	// hosts are the hosts that share limits, in order; hostsVersion counts their changes.
	hosts        []string
	hostsVersion int
	states       *topology.States[state]
}

// New returns an empty table of a host.
func New(self string) *Table {
	return &Table{self: self, hosts: []string{self}, states: topology.NewStates[state]()}
}

// SetHosts sets the hosts that share limits, including this one.
func (t *Table) SetHosts(hosts []string) {
	hosts = slices.Clone(hosts)
	slices.Sort(hosts)
	if slices.Equal(hosts, t.hosts) {
		return
	}
	t.hosts = hosts
	t.hostsVersion++
}

// IsLimited reports whether any target that has an entry has named a limit.
func (t *Table) IsLimited() bool {
	for held, s := range t.states.All() {
		if held.Present && s.limited {
			return true
		}
	}
	return false
}

// get returns the state of a target, or nil if it has asked for nothing.
func (t *Table) get(target topology.Incarnation) *state { return t.states.Get(target) }

// add returns the state of a target, or nil if a later incarnation of it is known.
func (t *Table) add(target topology.Incarnation) *state {
	s, _ := t.states.Add(target)
	if s != nil {
		s.target = target
	}
	return s
}

// Record records what a target has stated in a response to this host. It reports whether
// that differs from what it asked for before.
func (t *Table) Record(target topology.Incarnation, stated Statement, now time.Time) (changed bool) {
	s := t.get(target)
	if s == nil && stated != (Statement{}) {
		s = t.add(target)
	}
	if s == nil {
		return false
	}
	changed = s.limited != stated.Limited || s.rateLimit != stated.RateLimit || stated.Leaving && !s.leaving || stated.RetryAfter > 0
	t.setLimit(s, stated.RateLimit, stated.Limited, now, now)
	s.own = true
	s.leaving = s.leaving || stated.Leaving
	if until := now.Add(stated.RetryAfter); stated.RetryAfter > 0 && until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
	return changed
}

// setLimit applies a statement of a limit, or of none.
func (t *Table) setLimit(s *state, rateLimit float64, limited bool, statedAt, now time.Time) {
	begins := limited && !s.limited
	if !limited && s.limited {
		s.limitEndedAt = statedAt
	}
	s.rateLimit, s.limited, s.statedAt = rateLimit, limited, statedAt
	if begins {
		t.startShare(s, now)
	}
}

// Reports returns what targets that have entries have stated to this host and others may lack.
// That a target leaves is reported by all hosts, since it never ends.
func (t *Table) Reports(now time.Time) []Report {
	return t.reports(now, func(s *state, present bool) (limit, leaving bool) { return present && s.own, present })
}

// AllReports returns also what this host knows from others. It is for a host that has just
// started.
func (t *Table) AllReports(now time.Time) []Report {
	return t.reports(now, func(*state, bool) (limit, leaving bool) { return true, true })
}

// reports returns the reports of the targets for which include names the limit or the
// leaving.
func (t *Table) reports(now time.Time, include func(s *state, present bool) (limit, leaving bool)) []Report {
	var out []Report
	for held, s := range t.states.All() {
		limit, leaving := include(s, held.Present)
		if leaving && s.leaving || limit && (s.limited || now.Sub(s.limitEndedAt) < endReportPeriod) {
			out = append(out, Report{
				Target: s.target, RateLimit: s.rateLimit, Limited: s.limited, AgeMs: now.Sub(s.statedAt).Milliseconds(), Leaving: s.leaving,
			})
		}
	}
	return out
}

// Apply applies a report of another host; a limit only if no newer statement is known. It
// reports whether that changes anything.
func (t *Table) Apply(r Report, now time.Time) (changed bool) {
	s := t.get(r.Target)
	if s == nil && (r.Limited || r.Leaving) {
		s = t.add(r.Target)
	}
	if s == nil {
		return false
	}
	changed = r.Leaving && !s.leaving
	s.leaving = s.leaving || r.Leaving
	statedAt := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
	if !statedAt.After(s.statedAt) {
		return changed
	}
	changed = changed || s.limited != r.Limited || s.rateLimit != r.RateLimit
	t.setLimit(s, r.RateLimit, r.Limited, statedAt, now)
	s.own = false
	return changed
}

// MaySend reports whether a request may be sent to a target now, or else how long it must
// not; the wait is zero if that is not known.
func (t *Table) MaySend(target topology.Incarnation, now time.Time) (wait time.Duration, ok bool) {
	return t.maySend(t.get(target), now)
}

// maySend is MaySend for the state of a target, or nil if it has asked for nothing.
func (t *Table) maySend(s *state, now time.Time) (wait time.Duration, ok bool) {
	switch {
	case s == nil:
		return 0, true
	case s.leaving:
		return 0, false
	case now.Before(s.pausedUntil):
		return s.pausedUntil.Sub(now), false
	case s.limited:
		return t.awaitShare(s, now)
	}
	return 0, true
}

// IsLeaving reports whether a target has said that it leaves.
func (t *Table) IsLeaving(target topology.Incarnation) bool {
	s := t.get(target)
	return s != nil && s.leaving
}

// Take takes the permit for one request, and reports whether there was one.
func (t *Table) Take(target topology.Incarnation, now time.Time) bool {
	s := t.get(target)
	if _, ok := t.maySend(s, now); !ok {
		return false
	}
	if s != nil && s.limited {
		s.share.take(now)
	}
	return true
}

// Retain drops what is no longer known of targets, given those that have entries.
func (t *Table) Retain(targets map[string]*topology.Target, now time.Time) {
	t.states.Retain(targets, now)
}
