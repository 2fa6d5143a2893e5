package limit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against any order of kills, restarts, pauses, member changes, lost and late
// messages, refunds and limit changes in which all hosts together exceed an
// account's rate and burst.
func TestNoHistoryExceedsRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		if v := simulate(choose, noFault); v != "" {
			t.Fatal(v)
		}
	})
}

const seededHistories = 60_000

// findViolation runs seeded histories until one violates the limits.
func findViolation(f fault) (violation string, histories int) {
	for seed := range uint64(seededHistories) {
		r := rand.New(rand.NewPCG(seed, 20261204))
		if v := simulate(r.IntN, f); v != "" {
			return v, int(seed) + 1
		}
	}
	return "", seededHistories
}

// Guards against rare violations that need more histories than rapid runs.
func TestNoSeededHistoryExceedsRateAndBurst(t *testing.T) {
	violation, histories := findViolation(noFault)
	if violation != "" {
		t.Fatalf("history %d: %s", histories, violation)
	}
}

// Guards against a checker that misses violations, and against a mechanism that is not
// needed: without each of them some history exceeds the limits.
func TestEachMechanismIsNeeded(t *testing.T) {
	faults := map[string]fault{
		"new owner does not wait":                ownerDoesNotWait,
		"refund ignores headroom":                refundIgnoresHeadroom,
		"refund leaves the history unchanged":    refundKeepsHistory,
		"restarted home starts with a full pool": restartedHomeStartsFull,
		"outstanding grants are not counted":     outstandingNotCounted,
		"grant expires from the reply":           grantExpiresFromReply,
		"a home's share is raised at once":       shareRaisedAtOnce,
		"one confirmation is missing":            confirmationMissing,
		"two homes get one release":              releaseGivenTwice,
		"a release is applied twice":             releaseAppliedTwice,
		"released grants are not counted":        releasedGrantsNotCounted,
		"earlier member list is not settled":     earlierListUnsettled,
	}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			violation, histories := findViolation(f)
			NewWithT(t).Expect(violation).NotTo(BeEmpty())
			t.Logf("found in history %d: %s", histories, violation)
		})
	}
}

// Guards against a home that keeps its tokens across a member list which it never
// received and under which another host was home.
func TestHomeStartsEmptyAfterSkippedMemberList(t *testing.T) {
	history := func(f fault) string {
		s := &simulation{choose: func(int) int { return 1 }, fault: f}
		x, y := s.newProcess("a"), s.newProcess("b")
		s.processes = []*process{x, y}
		next := func(owner *process) {
			s.revisions = append(s.revisions, revision{
				limits: Limits{100, 400}, members: []*process{owner},
				membersRevision: len(s.revisions), committed: s.now,
			})
		}
		next(x)
		s.apply(x, 0)
		s.now += 10 * time.Second
		next(y)
		s.apply(y, 1)
		s.now += 8 * time.Second
		s.renewFreshness()
		next(x)
		s.apply(x, 2) // revision 1 never reached x
		s.renewFreshness()
		s.reserve(x, 0)
		s.reserve(y, 0)
		return s.violation
	}
	g := NewWithT(t)
	g.Expect(history(noFault)).To(BeEmpty())
	g.Expect(history(skippedMembersIgnored)).NotTo(BeEmpty())
}

// runLeavingOwner runs a history in which the owner leaves after it has lent or spent
// some tokens. requestHandovers lets homes request the handover; all hosts then spend
// what they have.
func runLeavingOwner(f fault, lent, spent int64, requestHandovers func(s *simulation, homes []*process)) string {
	s := &simulation{choose: func(n int) int { return min(1, n-1) }, fault: f}
	for _, h := range simulatedHosts {
		s.processes = append(s.processes, s.newProcess(h))
	}
	s.revisions = []revision{{limits: Limits{1000, 1000}, members: s.processes}}
	applyAll := func(k int) {
		for _, p := range s.processes {
			s.apply(p, k)
		}
		s.renewFreshness()
	}
	applyAll(0)
	s.now += 10 * time.Second
	s.renewFreshness()
	owner := s.homes(0)[0]
	last := revision{limits: s.revisions[0].limits, membersRevision: 1}
	for _, p := range s.processes {
		if p != owner {
			last.members = append(last.members, p)
		}
	}
	s.revisions = append(s.revisions, last)
	both := append(s.homes(0), s.homes(1)...)
	holder := s.processes[slices.IndexFunc(s.processes, func(p *process) bool { return !slices.Contains(both, p) })]
	s.handleGrantRequest(owner, holder, 0, lent, lent, s.clock(holder))
	s.deliver()
	s.reserve(owner, max(1, spent))
	s.revisions[1].committed = s.now
	applyAll(1)
	requestHandovers(s, s.homes(1))
	for _, p := range s.processes {
		s.reserve(p, 0)
	}
	return s.violation
}

// Guards against a release that reaches two homes: its tokens would be spent twice.
func TestReleaseGoesToOneHome(t *testing.T) {
	history := func(f fault) string {
		return runLeavingOwner(f, 0, 400, func(s *simulation, homes []*process) {
			for _, p := range homes {
				s.sendHandoverRequests(p)
				s.deliver()
				s.deliver()
			}
		})
	}
	g := NewWithT(t)
	g.Expect(history(noFault)).To(BeEmpty())
	g.Expect(history(releaseGivenTwice)).NotTo(BeEmpty())
}

// Guards against a home that raises its share while released grants may still be spent
// and the receiver does not count them because its request was lost.
func TestOtherHomesWaitForReleasedGrants(t *testing.T) {
	history := func(f fault) string {
		return runLeavingOwner(f, 866, 0, func(s *simulation, homes []*process) {
			s.sendHandoverRequests(homes[2])
			s.deliver()
			s.deliver()
			s.now += 950 * time.Millisecond
			s.renewFreshness()
		})
	}
	g := NewWithT(t)
	g.Expect(history(noFault)).To(BeEmpty())
	g.Expect(history(otherGainersDoNotWait)).NotTo(BeEmpty())
}

// Guards against a generator whose histories have no handovers.
func TestHistoriesContainHandovers(t *testing.T) {
	const histories = 1000
	handovers := 0
	for seed := range uint64(histories) {
		r := rand.New(rand.NewPCG(seed, 20261204))
		s := &simulation{choose: r.IntN}
		s.run()
		handovers += s.handovers
	}
	t.Logf("%d handovers in %d histories", handovers, histories)
	NewWithT(t).Expect(handovers).To(BeNumerically(">", histories/2))
}

// Guards against a second burst for an account that is deleted and created again while
// its grants are still outstanding.
func TestRecreatedAccountWaitsForItsGrants(t *testing.T) {
	history := func(f fault) string {
		s := &simulation{choose: func(int) int { return 1 }, fault: f}
		owner, holder := s.newProcess("a"), s.newProcess("b")
		s.processes = []*process{owner, holder}
		next := func(absent bool) {
			s.revisions = append(s.revisions, revision{
				limits: Limits{100, 100}, members: []*process{owner}, absent: absent, committed: s.now,
			})
			s.apply(owner, len(s.revisions)-1)
		}
		next(false)
		s.apply(holder, 0)
		s.now += 10 * time.Second
		s.renewFreshness()
		sent := s.clock(holder)
		s.handleGrantRequest(owner, holder, 0, 100, 100, sent)
		s.deliver()
		next(true)
		next(false)
		s.now += 900 * time.Millisecond
		s.renewFreshness()
		s.reserve(holder, 0)
		s.reserve(owner, 0)
		return s.violation
	}
	g := NewWithT(t)
	g.Expect(history(noFault)).To(BeEmpty())
	g.Expect(history(newAccountDoesNotWait)).NotTo(BeEmpty())
}

// Guards against a holder that reports a grant as used up and then spends the tokens
// that a settled request gave back to it.
func TestReturnedGrantIsNotSpentAgain(t *testing.T) {
	history := func(f fault) string {
		s := &simulation{choose: func(n int) int { return min(1, n-1) }, fault: f}
		owner, holder := s.newProcess("a"), s.newProcess("b")
		s.processes = []*process{owner, holder}
		s.revisions = []revision{{limits: Limits{100, 100}, members: []*process{owner}}}
		s.apply(owner, 0)
		s.apply(holder, 0)
		s.now += 10 * time.Second
		s.renewFreshness()
		s.handleGrantRequest(owner, holder, 0, 100, 100, s.clock(holder))
		s.deliver()
		s.reserve(holder, 0)
		s.sendReturns(holder)
		s.deliver()
		s.now += 900 * time.Millisecond
		s.settle(holder)
		s.reserve(owner, 0)
		s.reserve(holder, 0)
		return s.violation
	}
	g := NewWithT(t)
	g.Expect(history(noFault)).To(BeEmpty())
	g.Expect(history(returnedGrantIsReused)).NotTo(BeEmpty())
}

// Guards against a clock at the drift bound that refills above the account's rate.
func TestFastClockStaysWithinRate(t *testing.T) {
	start := time.Unix(1000, 0)
	b := NewBucket(Limits{Rate: 1000, Burst: 1e9}, start)
	const trueSeconds = 1000
	fast := time.Duration(float64(trueSeconds*time.Second) * (1 + MaxClockDrift))
	level := b.Level(start.Add(fast))
	NewWithT(t).Expect(level).To(And(BeNumerically("<=", 1000*trueSeconds), BeNumerically(">", 999*trueSeconds)))
}
