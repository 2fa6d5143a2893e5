// Package freshness decides whether a host may act on its configuration. It holds the
// state of one process: the applied revision, pending pushes and the time of its
// evidence.
//
// Evidence at time E means: every revision accepted before E is at most the applied
// revision, or the host enforces it. Applying a higher revision keeps evidence valid, so
// E only grows. Evidence follows from one of three rules: (1) a read of the store
// returned a revision that the host has applied; (2) a peer that has applied no later
// revision reported its own evidence; (3) a majority of the members reported only
// revisions that the host enforces.
package freshness

import (
	"slices"
	"time"
)

// Member identifies a process that counts towards a majority.
type Member struct {
	HostID      string `msgpack:"h,omitempty"`
	Incarnation string `msgpack:"i,omitempty"`
}

// Attempt identifies one attempt to commit a revision. Concurrent proposers push
// different attempts for the same revision.
type Attempt struct {
	Revision uint64 `msgpack:"r,omitempty"`
	ID       string `msgpack:"i,omitempty"`
}

// maxPending bounds the pending attempts. Further pushes are not acknowledged, since an
// acknowledged attempt must not be dropped.
const maxPending = 64

// pendingAttempt is an acknowledged push whose outcome is not known.
type pendingAttempt struct {
	attempt Attempt
	// enforced is true if the push contains only withdrawals of client keys, which took
	// effect when it was received.
	enforced bool
	since    time.Time
}

// evidence holds for hosts that enforce all attempts in exceptions.
type evidence struct {
	at         time.Time
	exceptions []Attempt
}

// Evidence describes the evidence of a host in a Report.
type Evidence struct {
	// Valid is false if the host has no evidence of this kind.
	Valid bool `msgpack:"k,omitempty"`
	// Age is the age of the evidence when the report was made.
	Age time.Duration `msgpack:"a,omitempty"`
	// Exceptions lists pending attempts that the evidence does not cover.
	Exceptions []Attempt `msgpack:"e,omitempty"`
}

// Report is a host's reply to a probe.
type Report struct {
	From    Member `msgpack:"f,omitempty"`
	Applied uint64 `msgpack:"a,omitempty"`
	// Pending lists the acknowledged attempts above Applied. Together with Applied they
	// cover every revision that the host reports as received.
	Pending []Attempt `msgpack:"p,omitempty"`
	// Full is evidence without exceptions; Conditional may have some.
	Full        Evidence `msgpack:"u,omitempty"`
	Conditional Evidence `msgpack:"c,omitempty"`
}

// memberReport is the newest report of a member, by the time its probe was sent.
type memberReport struct {
	sentAt  time.Time
	applied uint64
	pending []Attempt
}

// State is the freshness state of one process. It is not safe for concurrent use.
type State struct {
	self        Member
	applied     uint64
	members     []Member
	pending     []pendingAttempt
	reports     map[Member]memberReport
	full        evidence
	conditional evidence
}

// New returns the state of a process that has applied no revision.
func New(self Member) *State {
	return &State{self: self, reports: map[Member]memberReport{}}
}

// Applied returns the applied revision; zero means none.
func (s *State) Applied() uint64 { return s.applied }

// Enforced returns the highest revision that the host enforces: the applied one,
// or a pending one that contains only withdrawals.
func (s *State) Enforced() uint64 {
	enforced := s.applied
	for _, p := range s.pending {
		if p.enforced {
			enforced = max(enforced, p.attempt.Revision)
		}
	}
	return enforced
}

// Apply records an accepted revision and its members. It returns false and changes
// nothing unless the revision is higher than the applied one. Attempts at or below
// the revision can no longer be accepted and stop being pending.
func (s *State) Apply(revision uint64, members []Member) bool {
	if revision <= s.applied {
		return false
	}
	s.applied = revision
	s.members = slices.Clone(members)
	s.pending = slices.DeleteFunc(s.pending, func(p pendingAttempt) bool { return p.attempt.Revision <= revision })
	for m := range s.reports {
		if !slices.Contains(s.members, m) {
			delete(s.reports, m)
		}
	}
	return true
}

// RecordPush records a push. enforced means that the attempt contains only withdrawals
// and that the host enforces them from now on. The host may acknowledge the push only if
// the result is true: false means that the revision is not above the applied one, or
// that maxPending attempts are pending.
func (s *State) RecordPush(attempt Attempt, enforced bool, now time.Time) bool {
	if attempt.Revision <= s.applied {
		return false
	}
	for i := range s.pending {
		if s.pending[i].attempt == attempt {
			s.pending[i].enforced = s.pending[i].enforced || enforced
			return true
		}
	}
	if len(s.pending) >= maxPending {
		return false
	}
	s.pending = append(s.pending, pendingAttempt{attempt: attempt, enforced: enforced, since: now})
	return true
}

// Abort removes an attempt that its proposer has given up before it sent the write
// to the store. Nothing else but a higher applied revision removes an attempt: a
// paused proposer may commit it after any time.
func (s *State) Abort(attemptID string) {
	s.pending = slices.DeleteFunc(s.pending, func(p pendingAttempt) bool { return p.attempt.ID == attemptID })
}

// PendingCount returns the number of pending attempts.
func (s *State) PendingCount() int { return len(s.pending) }

// OldestPending returns when the oldest pending attempt was received.
func (s *State) OldestPending() (time.Time, bool) {
	if len(s.pending) == 0 {
		return time.Time{}, false
	}
	oldest := s.pending[0].since
	for _, p := range s.pending {
		if p.since.Before(oldest) {
			oldest = p.since
		}
	}
	return oldest, true
}

// ObserveStoreRead records a read of the current row that was sent at sentAt (rule 1).
// It is evidence only if the host has applied what the read returned.
func (s *State) ObserveStoreRead(revision uint64, sentAt time.Time) {
	if revision <= s.applied {
		s.full.advance(sentAt, nil)
	}
}

// Observe records the report that was requested at sentAt (rules 2 and 3). The age is
// measured from sentAt, since a report may arrive at any later time.
func (s *State) Observe(report Report, sentAt, now time.Time) {
	s.observeEvidence(report, sentAt)
	if !slices.Contains(s.members, report.From) {
		return
	}
	if last, ok := s.reports[report.From]; ok && !sentAt.After(last.sentAt) {
		return
	}
	s.reports[report.From] = memberReport{sentAt: sentAt, applied: report.Applied, pending: report.Pending}
	s.evaluateMajority(now)
}

// observeEvidence applies rule 2. The peer's evidence held when it made the report, which
// was after sentAt, so its time is at least sentAt minus the reported age.
func (s *State) observeEvidence(report Report, sentAt time.Time) {
	if report.Applied > s.applied {
		return
	}
	if report.Full.Valid {
		s.full.advance(sentAt.Add(-report.Full.Age), nil)
	}
	if report.Conditional.Valid && s.enforcesAll(report.Conditional.Exceptions) {
		s.conditional.advance(sentAt.Add(-report.Conditional.Age), report.Conditional.Exceptions)
	}
}

// evaluateMajority applies rule 3: a commit of the next revision needs
// acknowledgements from a majority of the applied revision's members, and each of
// these reports precedes any acknowledgement of its sender for a revision that the
// host does not enforce. Without members nothing can be concluded.
func (s *State) evaluateMajority(now time.Time) {
	var times []time.Time
	var exceptions []Attempt
	for _, m := range s.members {
		report, ok := s.reports[m]
		if m == s.self {
			report, ok = memberReport{sentAt: now, applied: s.applied, pending: s.pendingAttempts()}, true
		}
		if !ok || report.applied > s.applied || !s.enforcesAll(report.pending) {
			continue
		}
		times = append(times, report.sentAt)
		for _, a := range report.pending {
			if a.Revision > s.applied && !slices.Contains(exceptions, a) {
				exceptions = append(exceptions, a)
			}
		}
	}
	needed := majority(len(s.members))
	if len(s.members) == 0 || len(times) < needed {
		return
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	s.conditional.advance(times[needed-1], exceptions)
}

// enforcesAll reports whether each attempt is settled by the applied revision or
// enforced. Attempts are compared by id: two attempts for one revision may differ.
func (s *State) enforcesAll(attempts []Attempt) bool {
	for _, a := range attempts {
		if a.Revision <= s.applied {
			continue
		}
		enforced := slices.ContainsFunc(s.pending, func(p pendingAttempt) bool { return p.attempt == a && p.enforced })
		if !enforced {
			return false
		}
	}
	return true
}

func (s *State) pendingAttempts() []Attempt {
	attempts := make([]Attempt, len(s.pending))
	for i, p := range s.pending {
		attempts[i] = p.attempt
	}
	return attempts
}

// advance replaces the evidence if the given one is newer.
func (e *evidence) advance(at time.Time, exceptions []Attempt) {
	if at.After(e.at) {
		e.at = at
		e.exceptions = slices.Clone(exceptions)
	}
}

func (e *evidence) report(now time.Time) Evidence {
	if e.at.IsZero() {
		return Evidence{}
	}
	return Evidence{Valid: true, Age: now.Sub(e.at), Exceptions: slices.Clone(e.exceptions)}
}

// Report returns the reply to a probe.
func (s *State) Report(now time.Time) Report {
	s.evaluateMajority(now)
	return Report{
		From:        s.self,
		Applied:     s.applied,
		Pending:     s.pendingAttempts(),
		Full:        s.full.report(now),
		Conditional: s.conditional.report(now),
	}
}

// EvidenceAt returns the time of the newest evidence; the zero time means none.
func (s *State) EvidenceAt() time.Time {
	if s.conditional.at.After(s.full.at) {
		return s.conditional.at
	}
	return s.full.at
}

// FreshUntil returns the end of freshness for a deadline; the zero time means that
// the host has never been fresh.
func (s *State) FreshUntil(deadline time.Duration) time.Time {
	at := s.EvidenceAt()
	if at.IsZero() {
		return at
	}
	return at.Add(deadline)
}

func majority(members int) int { return members/2 + 1 }
