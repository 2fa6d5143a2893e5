package topology

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func entry(started int64, leaving bool) *Target {
	return &Target{ID: "t", Started: started, Leaving: leaving}
}

// Guards against a leaving incarnation that counts as ready again because of a later entry,
// also after its entry was removed, and against a next incarnation that is taken for it.
func TestIncarnationThatLeavesNeverReturns(t *testing.T) {
	g := NewWithT(t)
	d := NewDepartures()
	now := time.Unix(0, 0)
	g.Expect(d.Apply(entry(1, false))).To(BeFalse())
	g.Expect(d.Apply(entry(1, true))).To(BeFalse())
	for range 2 {
		late := entry(1, false)
		g.Expect(d.Apply(late)).To(BeTrue())
		g.Expect(late.Leaving).To(BeTrue())
		d.Remove("t", now)
	}
	next := entry(2, false)
	g.Expect(d.Apply(next)).To(BeFalse())
	g.Expect(next.Leaving).To(BeFalse())
}

// Guards against departures that are remembered forever, and against one that is forgotten
// while the target's entry exists.
func TestDeparturesAreForgottenAfterRemoval(t *testing.T) {
	g := NewWithT(t)
	d := NewDepartures()
	now := time.Unix(0, 0)
	d.Apply(entry(1, true))
	d.Remove("other", now.Add(2*departureTTL))
	g.Expect(d.byID).To(HaveLen(1))
	d.Remove("t", now)
	d.Remove("other", now.Add(2*departureTTL))
	g.Expect(d.byID).To(BeEmpty())
}
