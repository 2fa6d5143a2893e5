// Package host assembles and runs the router process of one host, for the commands serve
// and dev.
package host

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/dispatch"
	"github.com/sequoiaroad/sequoiaroad/internal/fleet"
	"github.com/sequoiaroad/sequoiaroad/internal/gateway"
	"github.com/sequoiaroad/sequoiaroad/internal/idempotency"
	"github.com/sequoiaroad/sequoiaroad/internal/kvcopy"
	"github.com/sequoiaroad/sequoiaroad/internal/orders"
	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/internal/quota"
	"github.com/sequoiaroad/sequoiaroad/internal/settings"
	"github.com/sequoiaroad/sequoiaroad/internal/target"
	"github.com/sequoiaroad/sequoiaroad/internal/telemetry"
	"github.com/sequoiaroad/sequoiaroad/internal/wire"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

const (
	// headerTimeout bounds how long a caller may take to send its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout ends unused caller connections.
	idleTimeout = 2 * time.Minute
	// stopTimeout bounds each step of a stop after all requests have ended.
	stopTimeout = 3 * time.Second
)

// Platform holds the services of the platform that a host uses.
type Platform struct {
	Store    platform.Store
	Objects  platform.ObjectStore
	HostList platform.HostList
}

// Options are the settings and dependencies of a Host.
type Options struct {
	Settings  settings.Host
	Platform  Platform
	Telemetry *telemetry.Telemetry
	// WrapTransport wraps the transports to targets, for example to simulate network
	// delays; nil means no wrapper.
	WrapTransport func(http.RoundTripper) http.RoundTripper
}

// Host is the router process of one host.
type Host struct {
	options Options
	logger  hclog.Logger
	self    config.Member

	callerListener net.Listener
	adminListener  net.Listener

	wireServer *wire.Server
	wireClient *wire.Client
	fleet      *fleet.Fleet
	limiter    *quota.FleetLimiter
	dispatcher *dispatch.Dispatcher
	copier     *kvcopy.Copier // nil if KV copies are disabled
	pollers    *target.Pollers
	claims     *idempotency.PlatformRegistry
	orders     *orders.Service
	gateway    *gateway.Gateway
	observer   *observer
	callerAPI  http.Handler
	adminAPI   http.Handler

	snapshotRestored atomic.Bool
	stop             stopState
	drainOnce        sync.Once
	drain            chan struct{}
}

// New binds the listeners and connects the components. Run starts them.
func New(o Options) (*Host, error) {
	h := &Host{
		options: o, logger: o.Telemetry.Logger, drain: make(chan struct{}), observer: newObserver(o.Telemetry),
	}
	for _, step := range []func() error{h.listen, h.connectPeers, h.connectTargets, h.buildClaimsAndOrders, h.buildAPIs, h.exportState} {
		if err := step(); err != nil {
			h.closeListeners()
			return nil, err
		}
	}
	return h, nil
}

func (h *Host) exportState() error { return h.options.Telemetry.ExportState(h.metricsState) }

// Member returns the identity and addresses of this host.
func (h *Host) Member() config.Member { return h.self }

// View returns the host's view of the fleet.
func (h *Host) View() fleet.View { return h.fleet }

// Ready reports whether the host's configuration is fresh and lists members. Without
// members, no host would hold the tokens of client accounts.
func (h *Host) Ready() bool { return h.fleet.Fresh() && len(h.index().Document().Members) > 0 }

// KVCopyTotals returns the counters of KV copies.
func (h *Host) KVCopyTotals() kvcopy.Totals {
	if h.copier == nil {
		return kvcopy.Totals{}
	}
	return h.copier.Totals()
}

// Drain starts the planned stop.
func (h *Host) Drain() { h.drainOnce.Do(func() { close(h.drain) }) }

func (h *Host) closeListeners() {
	for _, l := range []net.Listener{h.callerListener, h.adminListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Run serves until the planned stop has ended. The planned stop starts when ctx ends or
// Drain is called. Run returns nil after a planned stop.
func (h *Host) Run(ctx context.Context) error {
	h.logger.Info("starting host", "incarnation", h.self.Incarnation, "callers", h.self.CallerAddress,
		"hosts", h.self.InnerAddress, "operators", h.self.AdminAddress)
	var group run.Group
	h.addTask(&group, "wire server", h.wireServer.Serve)
	h.addTask(&group, "fleet", h.fleet.Run)
	h.addTask(&group, "quota", h.limiter.Run)
	h.addTask(&group, "dispatch", h.dispatcher.Run)
	h.addTask(&group, "pollers", h.pollers.Run)
	if h.copier != nil {
		h.addTask(&group, "copies", h.copier.Run)
	}
	h.addTask(&group, "claims", h.claims.Run)
	h.addTask(&group, "target list", h.watchLeavingTargets)
	h.addTask(&group, "snapshots", h.runSnapshots)
	h.addServer(&group, "caller server", h.callerListener, h.callerAPI)
	h.addServer(&group, "admin server", h.adminListener, h.adminAPI)

	stopCtx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return h.plannedStop(ctx, stopCtx) }, func(error) { cancel() })
	err := group.Run()
	h.wireClient.Close()
	h.logger.Info("host stopped", "error", err)
	return err
}

// addTask adds a task that runs until the group stops. A return of the task before that
// stops the group.
func (h *Host) addTask(group *run.Group, name string, task func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error {
		err := task(ctx)
		if ctx.Err() != nil {
			return nil
		}
		return errors.Wrap(err, name)
	}, func(error) { cancel() })
}

func (h *Host) addServer(group *run.Group, name string, listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: h.logger.Named("http").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})}
	group.Add(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return errors.Wrap(err, name)
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		if err := server.Shutdown(ctx); err != nil {
			_ = server.Close()
		}
	})
}
