package host

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sequoiaroad/sequoiaroad/internal/fleet"
	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/internal/settings"
	"github.com/sequoiaroad/sequoiaroad/internal/telemetry"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	standinplatform "github.com/sequoiaroad/sequoiaroad/standin/platform"
)

func startHost(t *testing.T, adjust func(*settings.Host)) *Host {
	t.Helper()
	g := NewWithT(t)
	server := httptest.NewServer(standinplatform.New(standinplatform.Options{}))
	t.Cleanup(server.Close)
	client, err := platform.NewClient(platform.Options{BaseURL: server.URL})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(fleet.Bootstrap(context.Background(), client, &config.Document{
		OperatorKeys: []config.OperatorKey{{ID: "first", Hash: config.HashKey("operator-key"), Role: config.RoleAdmin}},
	})).To(Succeed())
	s := settings.Defaults()
	s.HostID, s.Zone, s.Region, s.PlatformURL, s.FleetSecret = "h1", "a", "r", server.URL, "0123456789abcdef"
	s.CallerListen, s.InnerListen, s.AdminListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.LocatorTTL, s.DrainGrace = 100*time.Millisecond, 200*time.Millisecond
	adjust(s)
	g.Expect(s.Validate()).To(Succeed())
	tel, err := telemetry.New(context.Background(), telemetry.Options{})
	g.Expect(err).NotTo(HaveOccurred())
	h, err := New(Options{
		Settings: *s, Telemetry: tel, Platform: Platform{Store: client, Objects: client, HostList: client},
	})
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- h.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		g.Expect(<-ended).To(Succeed())
	})
	g.Eventually(h.Ready, "15s").Should(BeTrue())
	return h
}

func setPreset(g *WithT, h *Host, p config.Preset) {
	_, err := h.fleet.Propose(context.Background(), func(d *config.Document) error {
		d.Preset = p
		return nil
	}, fleet.ProposeOptions{Operator: "first", Summary: "set preset"})
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against a preset that changes the knobs of the dispatcher only.
func TestPresetAppliesToWaitAndDeadline(t *testing.T) {
	g := NewWithT(t)
	h := startHost(t, func(s *settings.Host) { s.LimitWait = 100 * time.Millisecond })
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

// Guards against a preset that makes requests wait although the setting forbids it.
func TestNoLimitWaitUnderEachPreset(t *testing.T) {
	g := NewWithT(t)
	h := startHost(t, func(s *settings.Host) { s.LimitWait = 0 })
	g.Expect(h.limiter.MaxWait()).To(BeZero())
	setPreset(g, h, config.PresetMaintenance)
	g.Eventually(h.defaultDeadline, "3s").Should(Equal(4 * time.Minute))
	g.Consistently(h.limiter.MaxWait, "100ms").Should(BeZero())
}
