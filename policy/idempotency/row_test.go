package idempotency

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a late record of one attempt over the row of another, over a
// final state, or over an operator's outcome, which long histories rarely reach.
func TestOnlyTheClaimOfTheSameAttemptIsFinished(t *testing.T) {
	g := NewWithT(t)
	row := func(attempt string, s State) *Row { return &Row{AttemptID: attempt, State: s} }
	g.Expect(DecideFinish(row("a", Claimed), "a", NotExecuted)).To(Equal(Write))
	g.Expect(DecideFinish(row("a", NotExecuted), "a", NotExecuted)).To(Equal(AlreadyRecorded))
	g.Expect(DecideFinish(row("b", Claimed), "a", NotExecuted)).To(Equal(Superseded))
	g.Expect(DecideFinish(row("b", NotExecuted), "a", NotExecuted)).To(Equal(Superseded))
	g.Expect(DecideFinish(nil, "a", NotExecuted)).To(Equal(Superseded))
	for _, final := range []State{Done, Unknown, Resolved} {
		g.Expect(DecideFinish(row("a", final), "a", NotExecuted)).To(Equal(Superseded))
	}
	g.Expect(DecideRelease(nil, 0, "a", 0)).To(Equal(Write))
	g.Expect(DecideRelease(row("b", Claimed), 5, "a", 0)).To(Equal(Superseded))
	g.Expect(DecideRelease(row("a", Claimed), 5, "a", 0)).To(Equal(Write))
}
