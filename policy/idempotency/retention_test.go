package idempotency

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against deleting a record that still prevents a second run, and against a
// record written with a wrong clock that stops the cleanup of all later ones.
func TestOnlyRecordsThatEndedLongAgoExpire(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1e9, 0)
	old, young := now.Add(-2*time.Hour), now.Add(-time.Minute)
	classify := func(s State, claimed, ended time.Time) RetentionClass {
		return ClassifyRetention(&Row{State: s, ClaimedAt: claimed, EndedAt: ended}, now, time.Hour)
	}
	for _, s := range []State{Done, NotExecuted, Resolved} {
		g.Expect(classify(s, old, old)).To(Equal(Expired))
		g.Expect(classify(s, old, time.Time{})).To(Equal(Expired))
		g.Expect(classify(s, old, young)).To(Equal(TooRecent))
		g.Expect(classify(s, old, now.Add(48*time.Hour))).To(Equal(Retained))
	}
	for _, s := range []State{Claimed, Unknown, ""} {
		g.Expect(classify(s, old, old)).To(Equal(Retained))
	}
}
