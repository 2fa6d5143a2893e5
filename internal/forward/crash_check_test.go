package forward

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sequoiaroad/sequoiaroad/policy/quarantine"
)

// Guards against a sign of life that proves a response complete which ended after the sign was
// asked for, and against a request that waits for a verdict that never comes.
func TestSignOfLifeSettlesOnlyEarlierResponses(t *testing.T) {
	asked := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		verdict           quarantine.Verdict
		earlier, later    bool // whether the request that waits is told
		settled, expected int
		again             bool
	}{
		"alive":     {quarantine.Alive, true, false, 1, 1, true},
		"crashed":   {quarantine.Crashed, true, true, 2, 0, false},
		"undecided": {quarantine.Undecided, true, false, 0, 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			earlier, later := make(chan quarantine.Verdict, 1), make(chan quarantine.Verdict, 1)
			check := &crashCheck{responses: []endedResponse{
				{end: endComplete, at: asked.Add(-time.Millisecond), verdict: earlier},
				{end: endComplete, at: asked.Add(time.Millisecond), verdict: later},
			}}
			settled, again := check.settle(c.verdict, asked)
			for _, e := range settled {
				e.tell(c.verdict)
			}
			g.Expect(settled).To(HaveLen(c.settled))
			g.Expect(check.responses).To(HaveLen(c.expected))
			g.Expect(again).To(Equal(c.again))
			g.Expect(len(earlier) == 1).To(Equal(c.earlier))
			g.Expect(len(later) == 1).To(Equal(c.later))
		})
	}
}

// Guards against a request that is forgotten because many others end at the same target.
func TestBoundOnEndedResponsesDropsNoRequestThatWaits(t *testing.T) {
	g := NewWithT(t)
	check := &crashCheck{}
	now := time.Unix(1000, 0)
	check.add(endedResponse{end: endComplete, at: now, verdict: make(chan quarantine.Verdict, 1)})
	for range 2 * maxEndedResponses {
		check.add(endedResponse{end: endBroken, at: now.Add(time.Minute)})
	}
	g.Expect(check.responses).To(HaveLen(maxEndedResponses))
	g.Expect(check.responses[0].verdict).NotTo(BeNil())
}
