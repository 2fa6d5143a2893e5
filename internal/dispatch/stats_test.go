package dispatch

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/refusal"
	"github.com/sequoiaroad/sequoiaroad/internal/target"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// Guards against a preset that a running dispatcher ignores: two consecutive failures
// eject a target under the maintenance preset, but not under ordinary.
func TestPresetAppliesToRunningDispatcher(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(2)
	f.d.maintain()
	failTwice := func(id string) uint64 {
		f.d.recordFailure(f.d.targetQueues[id], errFake)
		f.d.recordFailure(f.d.targetQueues[id], errFake)
		for _, s := range f.d.Stats().Targets {
			if s.TargetID == id {
				return s.Ejections
			}
		}
		return 0
	}
	g.Expect(failTwice("t0")).To(BeZero())
	f.updateConfig(func(d *config.Document) { d.Preset = config.PresetMaintenance })
	f.d.maintain()
	g.Expect(failTwice("t1")).To(Equal(uint64(1)))
}

// Guards against a metric label that contains the text of an error, which is unbounded
// and may quote what a caller sent.
func TestFailureKindsAreBounded(t *testing.T) {
	g := NewWithT(t)
	secret := errors.New("sr-client-secret")
	for kind, err := range map[string]error{
		kindOther:       secret,
		kindStalled:     errors.Wrap(errStalled, secret.Error()),
		kindGap:         errors.Wrap(errGap, secret.Error()),
		kindCallerAbort: &callerAbortError{context.Canceled},
		kindDraining:    &target.CallError{NotExecuted: true, Draining: true, Status: 503, Err: secret},
		kindRefused:     &target.CallError{NotExecuted: true, Status: 429, Err: secret},
		kindStatus:      &target.CallError{Status: 500, Err: secret},
		kindConnection:  &target.CallError{NotExecuted: true, Err: secret},
		"rate_limited":  refusal.New(refusal.RateLimited, "%v", secret).WithCause(secret),
	} {
		g.Expect(FailureKind(err)).To(Equal(kind))
	}
}

// Guards against failures of plain services that no metric counts.
func TestServiceEjectionsAreCounted(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(1)
	for range 3 {
		var tried []string
		for {
			replica, done, err := f.d.ChooseService("booking", tried)
			g.Expect(err).NotTo(HaveOccurred())
			if replica.ID == "s0" {
				done(errFake)
				break
			}
			done(nil)
			tried = append(tried, replica.ID)
		}
	}
	ejections := map[string]uint64{}
	for _, s := range f.d.Stats().Targets {
		ejections[s.TargetID] = s.Ejections
	}
	g.Expect(ejections).To(Equal(map[string]uint64{"t0": 0, "s0": 1, "s1": 0, "s2": 0}))
}
