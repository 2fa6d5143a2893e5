package limit

import (
	"math/rand/v2"
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

const seededHistories = 20_000

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

// Guards against a checker that cannot see a violation, and against a mechanism that
// is not needed: without each of them some history exceeds the limits.
func TestEachMechanismIsNeeded(t *testing.T) {
	faults := map[string]fault{
		"new owner does not wait":             ownerDoesNotWait,
		"refund ignores headroom":             refundIgnoresHeadroom,
		"refund leaves the history unchanged": refundKeepsHistory,
		"restarted home keeps a full floor":   restartedHomeKeepsFloor,
		"outstanding grants are not counted":  outstandingNotCounted,
		"grant expires from the reply":        grantExpiresFromReply,
		"a home's share is raised at once":    shareRaisedAtOnce,
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
// saw and under which another host was home.
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
		s.renewAll()
		next(x)
		s.apply(x, 2) // revision 1 never reached x
		s.renewAll()
		s.reserve(x, 0)
		s.reserve(y, 0)
		return s.violation
	}
	g := NewWithT(t)
	g.Expect(history(noFault)).To(BeEmpty())
	g.Expect(history(skippedMembersIgnored)).NotTo(BeEmpty())
}

// Guards against an account that is deleted and created again while its grants are
// still outstanding, and that then has a second burst.
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
		s.renewAll()
		sent := s.clock(holder)
		s.answer(owner, holder, 0, 100, 100, sent)
		s.deliver()
		next(true)
		next(false)
		s.now += 900 * time.Millisecond
		s.renewAll()
		s.reserve(holder, 0)
		s.reserve(owner, 0)
		return s.violation
	}
	g := NewWithT(t)
	g.Expect(history(noFault)).To(BeEmpty())
	g.Expect(history(newAccountDoesNotWait)).NotTo(BeEmpty())
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
