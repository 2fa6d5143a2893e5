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
		d.Remove(late, now)
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
	other := func() *Target { return &Target{ID: "other"} }
	d.Apply(entry(1, true))
	d.Remove(other(), now.Add(2*absentTTL))
	g.Expect(d.Apply(entry(1, false))).To(BeTrue())
	d.Remove(entry(1, true), now)
	g.Expect(d.WasRemoved(entry(1, false))).To(BeTrue())
	d.Remove(other(), now.Add(2*absentTTL))
	g.Expect(d.WasRemoved(entry(1, false))).To(BeFalse())
	g.Expect(d.byID).To(HaveLen(1))
}

// Guards against an entry that was written again and still counts as removed, and against a
// next incarnation that does.
func TestRemovalEndsWithTheNextEntry(t *testing.T) {
	g := NewWithT(t)
	d := NewDepartures()
	d.Remove(entry(1, false), time.Unix(0, 0))
	g.Expect(d.WasRemoved(entry(1, false))).To(BeTrue())
	g.Expect(d.WasRemoved(entry(2, false))).To(BeFalse())
	d.Apply(entry(1, false))
	g.Expect(d.WasRemoved(entry(1, false))).To(BeFalse())
}
