package limit

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var homeA, homeB, homeC = HomeID{"a", "1"}, HomeID{"b", "1"}, HomeID{"c", "1"}

// roleOf returns the role of a host that applies each revision.
func roleOf(self HomeID, revision uint64, limits Limits, homes ...HomeID) Role {
	r := Role{Revision: revision, Limits: limits, Rank: -1, HomeCount: len(homes), Self: self, HomeIDs: homes, MembersContinuous: revision > 1}
	for i, h := range homes {
		if h == self {
			r.Rank = i
		}
	}
	return r
}

// Guards against a receiver that accepts more tokens than the limits of the revision
// allow: the burst is lowered with the handover and raised again before the releasing
// home, which had been cut off, confirms.
func TestReleaseIsBoundedByLimitsOfItsRevision(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	high, low := Limits{100, 400}, Limits{100, 100}
	a, b := NewAccount(simulationTiming), NewAccount(simulationTiming)
	a.Apply(now, roleOf(homeA, 1, high, homeA))
	b.Apply(now, roleOf(homeB, 1, high, homeA))
	now = now.Add(time.Minute)
	a.Apply(now, roleOf(homeA, 2, low, homeA, homeB))
	b.Apply(now, roleOf(homeB, 2, low, homeA, homeB))
	b.Apply(now, roleOf(homeB, 3, high, homeA, homeB))
	c, ok := a.Confirm(now, 2, homeB)
	g.Expect(ok).To(BeTrue())
	g.Expect(c.Level).To(BeNumerically(">", 100))
	b.HandleConfirmation(now, 2, homeA, c)
	g.Expect(b.Pool().Burst()).To(BeNumerically("~", 40))
	g.Expect(b.Pool().Level(now)).To(BeNumerically("~", 10))
}

// Guards against crediting tokens returned from a released grant that expired before the
// receiver could raise its share: other homes may have raised theirs since.
func TestReturnsOfExpiredReleaseAreLost(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	limits := Limits{100, 1000}
	a, b, c := NewAccount(simulationTiming), NewAccount(simulationTiming), NewAccount(simulationTiming)
	for id, account := range map[HomeID]*Account{homeA: a, homeB: b, homeC: c} {
		account.Apply(now, roleOf(id, 1, limits, homeA, homeB))
	}
	now = now.Add(time.Minute)
	id, tokens, ok := a.Pool().Issue(now, 500, 500)
	g.Expect(ok).To(BeTrue())
	for id, account := range map[HomeID]*Account{homeA: a, homeB: b, homeC: c} {
		account.Apply(now, roleOf(id, 2, limits, homeC))
	}
	a.Return(now, id, tokens)
	confirm := func(from *Account, id HomeID) {
		confirmation, ok := from.Confirm(now, 2, homeC)
		g.Expect(ok).To(BeTrue())
		c.HandleConfirmation(now, 2, id, confirmation)
	}
	confirm(a, homeA)
	now = now.Add(2 * time.Second)
	confirm(b, homeB)
	g.Expect(c.Pool().Outstanding(now)).To(BeZero())
	g.Expect(c.Pool().Level(now)).To(BeNumerically("~", 500))
	confirm(a, homeA)
	g.Expect(c.Pool().Level(now)).To(BeNumerically("~", 500))
}

// Guards against losing the tokens that a holder returns to the earlier owner: an
// account near its rate would be refused after each handover.
func TestReturnsReachTheReceiver(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	limits := Limits{100, 1000}
	a, b := NewAccount(simulationTiming), NewAccount(simulationTiming)
	a.Apply(now, roleOf(homeA, 1, limits, homeA))
	b.Apply(now, roleOf(homeB, 1, limits, homeA))
	now = now.Add(time.Minute)
	id, tokens, ok := a.Pool().Issue(now, 500, 500)
	g.Expect(ok).To(BeTrue())
	a.Apply(now, roleOf(homeA, 2, limits, homeB))
	b.Apply(now, roleOf(homeB, 2, limits, homeB))
	for range 2 {
		confirmation, ok := a.Confirm(now, 2, homeB)
		g.Expect(ok).To(BeTrue())
		b.HandleConfirmation(now, 2, homeA, confirmation)
		g.Expect(b.Pool().Level(now)).To(BeNumerically("~", 500))
		g.Expect(b.Pool().Outstanding(now)).To(BeNumerically("~", 500))
	}
	a.Return(now, id, tokens-100)
	for range 2 {
		confirmation, _ := a.Confirm(now, 2, homeB)
		b.HandleConfirmation(now, 2, homeA, confirmation)
		g.Expect(b.Pool().Level(now)).To(BeNumerically("~", 900))
		g.Expect(b.Pool().Outstanding(now)).To(BeZero())
	}
}
