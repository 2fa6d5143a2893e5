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

// startHost runs a host with an in-memory platform until the test ends. adjust changes its
// settings before the start.
func startHost(t *testing.T, adjust func(*settings.Host)) (*Host, *standinplatform.Server) {
	t.Helper()
	g := NewWithT(t)
	store := standinplatform.New(standinplatform.Options{})
	server := httptest.NewServer(store)
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
	return h, store
}
