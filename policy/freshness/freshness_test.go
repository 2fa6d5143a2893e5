package freshness

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const (
	historySteps = 200
	// safeHistories is the number of histories that the correct rules must pass;
	// unsafeHistories bounds the search for a violation of a broken rule.
	safeHistories   = 20_000
	unsafeHistories = 400_000
)

func seededDraw(seed uint64) func(int) int {
	return rand.New(rand.NewPCG(seed, seed)).IntN
}

// Guards against a host that considers itself fresh without a revision accepted before
// the deadline.
func TestFreshHostsHoldAcceptedRevisions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "draw") }
		if violation, _ := runHistory(draw, correct, historySteps); violation != "" {
			rt.Fatal(violation)
		}
	})
}

// Guards against the same failure with as many histories as find the broken rules
// below, and against a model that accepts nothing or never has a fresh host.
func TestFreshHostsHoldAcceptedRevisionsInManyHistories(t *testing.T) {
	accepted, fresh := 0, 0
	for seed := range uint64(safeHistories) {
		violation, m := runHistory(seededDraw(seed), correct, historySteps)
		if violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
		accepted += len(m.store) - 1
		for _, p := range m.hosts {
			if m.now.Before(p.state.FreshUntil(modelDeadline)) {
				fresh++
			}
		}
	}
	t.Logf("%d revisions accepted, %d hosts fresh at the end of %d histories", accepted, fresh, safeHistories)
	g := NewWithT(t)
	g.Expect(accepted).To(BeNumerically(">", safeHistories))
	g.Expect(fresh).To(BeNumerically(">", safeHistories/4))
}

// Guards against a checker that is too weak to detect a broken rule: each variant must
// lead to a violation.
func TestBrokenRulesAreFound(t *testing.T) {
	for name, v := range map[string]variant{
		"commit without a push before":             commitWithoutPush,
		"restarted hosts counted by host id":       countByHostID,
		"ages from the arrival of the reply":       ageFromArrival,
		"pending pushes dropped after a time":      pendingTimeout,
		"attempts compared by revision, not by id": compareByRevision,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(unsafeHistories) {
				if violation, _ := runHistory(seededDraw(seed), v, historySteps); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Fatalf("no violation in %d histories", unsafeHistories)
		})
	}
}

// Guards against evidence from an empty member list, which would make a host fresh that
// has received no report.
func TestNoMembersGiveNoEvidence(t *testing.T) {
	g := NewWithT(t)
	s := New(Member{HostID: "h0", Incarnation: "i1"})
	s.Apply(1, nil)
	report := s.Report(time.Unix(1, 0))
	g.Expect(report.Full.Valid || report.Conditional.Valid).To(BeFalse())
	g.Expect(NewQuorum(nil).Reached()).To(BeTrue())
}

// Guards against a proposer that counts a member twice or counts a process that the
// replaced revision does not list.
func TestQuorumCountsListedMembersOnce(t *testing.T) {
	g := NewWithT(t)
	a, b, c := Member{"a", "1"}, Member{"b", "1"}, Member{"c", "1"}
	q := NewQuorum([]Member{a, b, c})
	q.Ack(a)
	q.Ack(a)
	q.Ack(Member{"b", "2"})
	g.Expect(q.Reached()).To(BeFalse())
	q.Ack(c)
	g.Expect(q.Reached()).To(BeTrue())
}
