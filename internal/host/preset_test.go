package host

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sequoiaroad/sequoiaroad/internal/fleet"
	"github.com/sequoiaroad/sequoiaroad/internal/settings"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

func setPreset(g *WithT, h *Host, p config.Preset) {
	_, err := h.fleet.Propose(context.Background(), func(d *config.Document) error {
		d.Preset = p
		return nil
	}, fleet.ProposeOptions{Operator: "first", Summary: "set preset"})
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against a preset change that takes effect in the dispatcher but not in the
// limiter's wait or in the gateway's default deadline.
func TestPresetAppliesToWaitAndDeadline(t *testing.T) {
	g := NewWithT(t)
	h, _ := startHost(t, func(s *settings.Host) { s.LimitWait = 100 * time.Millisecond })
	g.Expect(h.limiter.MaxWait()).To(Equal(100 * time.Millisecond))
	g.Expect(h.defaultDeadline()).To(Equal(2 * time.Minute))
	setPreset(g, h, config.PresetMaintenance)
	g.Eventually(h.limiter.MaxWait, "3s").Should(Equal(400 * time.Millisecond))
	g.Expect(h.defaultDeadline()).To(Equal(4 * time.Minute))
	setPreset(g, h, config.PresetPeak)
	g.Eventually(h.limiter.MaxWait, "3s").Should(Equal(200 * time.Millisecond))
	setPreset(g, h, config.PresetOrdinary)
	g.Eventually(h.limiter.MaxWait, "3s").Should(Equal(100 * time.Millisecond))
}

// Guards against a preset that makes requests wait for tokens although the setting
// disables the wait.
func TestPresetKeepsZeroLimitWait(t *testing.T) {
	g := NewWithT(t)
	h, _ := startHost(t, func(s *settings.Host) { s.LimitWait = 0 })
	g.Expect(h.limiter.MaxWait()).To(BeZero())
	setPreset(g, h, config.PresetMaintenance)
	g.Eventually(h.defaultDeadline, "3s").Should(Equal(4 * time.Minute))
	g.Consistently(h.limiter.MaxWait, "100ms").Should(BeZero())
}
