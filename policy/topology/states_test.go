package topology

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func entries(targets ...*Target) map[string]*Target {
	byID := map[string]*Target{}
	for _, t := range targets {
		byID[t.ID] = t
	}
	return byID
}

// Guards against what is known of a target that is forgotten while its entry is gone for some
// time: it lapsed, the listing is incomplete, or the store was restored.
func TestStateOutlivesTheEntry(t *testing.T) {
	g := NewWithT(t)
	s := NewStates[int]()
	now := time.Unix(0, 0)
	first := Incarnation{"t", 1}
	state, _ := s.Add(first)
	*state = 7
	s.Retain(entries(entry(1, false)), now)
	s.Retain(nil, now)
	s.Retain(nil, now.Add(absentTTL-time.Second))
	s.Retain(entries(entry(1, false)), now.Add(absentTTL-time.Second))
	g.Expect(s.Get(first)).To(HaveValue(Equal(7)))
	s.Retain(nil, now.Add(2*absentTTL))
	s.Retain(nil, now.Add(3*absentTTL-time.Second))
	g.Expect(s.Get(first)).To(HaveValue(Equal(7)), "the time runs from the last removal")
	s.Retain(nil, now.Add(3*absentTTL))
	g.Expect(s.Get(first)).To(BeNil())
}

// Guards against a later incarnation that inherits the state of an earlier one, and against an
// earlier one that takes the place of a later one.
func TestLaterIncarnationOwesNothing(t *testing.T) {
	g := NewWithT(t)
	s := NewStates[int]()
	now := time.Unix(0, 0)
	state, _ := s.Add(Incarnation{"t", 1})
	*state = 7
	s.Retain(nil, now)
	s.Retain(entries(entry(2, false)), now.Add(time.Second))
	g.Expect(s.byID).To(BeEmpty())
	state, replaced := s.Add(Incarnation{"t", 2})
	g.Expect(replaced).To(BeFalse())
	g.Expect(*state).To(BeZero())
	*state = 8
	earlier, _ := s.Add(Incarnation{"t", 1})
	g.Expect(earlier).To(BeNil())
	g.Expect(s.Get(Incarnation{"t", 1})).To(BeNil())
	_, replaced = s.Add(Incarnation{"t", 3})
	g.Expect(replaced).To(BeTrue())
	g.Expect(s.Get(Incarnation{"t", 2})).To(BeNil())
}

// Guards against an incarnation whose clock had jumped ahead when it started, and that keeps
// the next one from having a state; and against an entry that lags for a moment and ends it.
func TestEntryOfAnEarlierIncarnationPrevailsInTheEnd(t *testing.T) {
	g := NewWithT(t)
	s := NewStates[int]()
	now := time.Unix(0, 0)
	later := Incarnation{"t", 9}
	s.Add(later)
	lagging := entries(entry(1, false))
	s.Retain(lagging, now)
	s.Retain(lagging, now.Add(maxEntryLag-time.Millisecond))
	g.Expect(s.Get(later)).NotTo(BeNil())
	s.Retain(entries(entry(9, false)), now.Add(maxEntryLag))
	s.Retain(lagging, now.Add(2*maxEntryLag))
	g.Expect(s.Get(later)).NotTo(BeNil())
	s.Retain(lagging, now.Add(3*maxEntryLag))
	g.Expect(s.Get(later)).To(BeNil())
	state, _ := s.Add(Incarnation{"t", 1})
	g.Expect(state).NotTo(BeNil())
}

// Guards against states of targets that are gone and fill the memory, and against present ones
// that make room for them.
func TestStatesOfAbsentTargetsAreBounded(t *testing.T) {
	g := NewWithT(t)
	s := NewStates[int]()
	now := time.Unix(0, 0)
	present := entry(1, false)
	s.Add(present.Incarnation())
	for n := range 2 * maxAbsent {
		s.Add(Incarnation{fmt.Sprint("gone-", n), 1})
		if n%64 == 0 {
			s.Retain(entries(present), now.Add(time.Duration(n)*time.Millisecond))
		}
	}
	s.Retain(entries(present), now.Add(time.Minute))
	g.Expect(s.byID).To(HaveLen(maxAbsent + 1))
	g.Expect(s.Get(present.Incarnation())).NotTo(BeNil())
	g.Expect(s.Get(Incarnation{"gone-0", 1})).To(BeNil())
}
