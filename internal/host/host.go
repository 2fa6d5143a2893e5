// Package host composes the router process of one host from its parts.
package host

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/admin"
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
	"github.com/sequoiaroad/sequoiaroad/policy/placement"
	"github.com/sequoiaroad/sequoiaroad/policy/routing"
)

const (
	// headerTimeout bounds how long a caller may take to send its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout ends unused caller connections.
	idleTimeout = 2 * time.Minute
	// stopTimeout bounds each step of a stop after all requests have ended.
	stopTimeout = 3 * time.Second
)

// Platform is the platform as the host uses it.
type Platform struct {
	Store    platform.Store
	Objects  platform.Objects
	HostList platform.HostList
}

// Options are what a host is made from.
type Options struct {
	Settings  settings.Host
	Platform  Platform
	Telemetry *telemetry.Telemetry
	// WrapTransport wraps the transports to targets, for example to add the delays of
	// a network; nil means none.
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
	copies     *kvcopy.Mover // nil if switched off
	pollers    *target.Pollers
	claims     *idempotency.Service
	orders     *orders.Service
	gateway    *gateway.Gateway
	observer   *observer
	callerAPI  http.Handler
	adminAPI   http.Handler

	restored  atomic.Bool
	stop      stopState
	drainOnce sync.Once
	drain     chan struct{}
}

// New binds the listeners and connects the parts. Nothing runs before Run.
func New(o Options) (*Host, error) {
	h := &Host{
		options: o, logger: o.Telemetry.Logger, drain: make(chan struct{}), observer: newObserver(o.Telemetry),
	}
	for _, step := range []func() error{h.listen, h.connectPeers, h.connectTargets, h.buildClaims, h.buildAPIs, h.exportState} {
		if err := step(); err != nil {
			h.closeListeners()
			return nil, err
		}
	}
	return h, nil
}

func (h *Host) listen() (err error) {
	s := &h.options.Settings
	if h.callerListener, err = net.Listen("tcp", s.CallerListen); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	if h.adminListener, err = net.Listen("tcp", s.AdminListen); err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	incarnation, err := fleet.NewIncarnation()
	if err != nil {
		return err
	}
	peer := wire.Peer{HostID: s.HostID, Incarnation: incarnation, Address: s.InnerAddress}
	credentials, err := h.credentials()
	if err != nil {
		return err
	}
	h.wireServer = wire.NewServer(wire.ServerOptions{Self: peer, Credentials: credentials, Logger: h.logger.Named("wire")})
	innerAddress, err := h.wireServer.Listen(s.InnerListen)
	if err != nil {
		return errors.Wrap(err, "listen for hosts")
	}
	h.self = config.Member{
		HostID: s.HostID, Incarnation: incarnation, Zone: s.Zone, Region: s.Region, Weight: s.Weight,
		CallerAddress: advertised(s.CallerAddress, h.callerListener.Addr()),
		InnerAddress:  advertised(s.InnerAddress, innerAddress),
		AdminAddress:  advertised(s.AdminAddress, h.adminListener.Addr()),
	}
	peer.Address = h.self.InnerAddress
	h.wireClient = wire.NewClient(wire.ClientOptions{
		Self: peer, Credentials: credentials, LocalIP: sourceAddress(innerAddress), Logger: h.logger.Named("wire"),
	})
	return nil
}

// sourceAddress returns the IP that the inner listener is bound to, or the zero
// address for a wildcard.
func sourceAddress(bound net.Addr) netip.Addr {
	address, err := netip.ParseAddrPort(bound.String())
	if err != nil || address.Addr().IsUnspecified() {
		return netip.Addr{}
	}
	return address.Addr()
}

// advertised replaces port 0 by the port that was bound.
func advertised(setting string, bound net.Addr) string {
	ip, port, err := net.SplitHostPort(setting)
	if err != nil || port != "0" {
		return setting
	}
	_, boundPort, err := net.SplitHostPort(bound.String())
	if err != nil {
		return setting
	}
	return net.JoinHostPort(ip, boundPort)
}

func (h *Host) credentials() (*wire.Credentials, error) {
	s := &h.options.Settings
	if s.TLSCert != "" {
		return wire.TLSCredentials(s.TLSCert, s.TLSKey, s.TLSCA)
	}
	return wire.SecretCredentials([]byte(s.FleetSecret))
}

func (h *Host) connectPeers() (err error) {
	s := &h.options.Settings
	h.fleet, err = fleet.New(fleet.Options{
		Self: h.self, Store: h.options.Platform.Store, HostList: h.options.Platform.HostList,
		Caller: h.wireClient, Registry: h.wireServer,
		FreshnessDeadline: s.FreshnessDeadline, Logger: h.logger.Named("fleet"),
		AllowFarSnapshot: func(bytes int) bool { return h.dispatcher.AllowLink(routing.LinkSnapshot, bytes) },
	})
	if err != nil {
		return err
	}
	h.limiter = quota.New(quota.Options{
		View: h.fleet, Caller: h.wireClient, Registry: h.wireServer,
		FreshnessDeadline: s.FreshnessDeadline, Logger: h.logger.Named("quota"),
		RefusedWithinRate: h.observer.RefusedWithinRate,
	})
	h.applyPreset()
	h.fleet.Subscribe(h.applyPreset)
	return nil
}

func (h *Host) connectTargets() (err error) {
	engines := target.NewWrappedEngineClient(h.options.WrapTransport)
	h.dispatcher, err = dispatch.New(dispatch.Options{
		Config: h.index, Self: h.self, Engines: engines, Policy: h.options.Settings.RoutingPolicy,
		Logger: h.logger.Named("dispatch"), Observer: h.observer,
	})
	if err != nil {
		return err
	}
	if h.options.Settings.KVCopies {
		h.copies, err = kvcopy.New(kvcopy.Options{
			Engines: engines, View: h.dispatcher, Target: h.targetByID, Logger: h.logger.Named("kvcopy"),
		})
		if err != nil {
			return err
		}
		h.dispatcher.SetCopier(h.copies)
	}
	h.pollers = target.NewPollers(target.PollerOptions{
		Client: engines, Observer: h.dispatcher, Index: h.fleet.Index, Subscribe: h.fleet.Subscribe,
	})
	return nil
}

func (h *Host) buildClaims() (err error) {
	h.claims, err = idempotency.New(idempotency.Options{
		Store: h.options.Platform.Store, Objects: h.options.Platform.Objects,
		HostID: h.self.HostID, Incarnation: h.self.Incarnation,
		HolderLive: h.holderLive, Fresh: h.fleet.Fresh, Logger: h.logger.Named("idempotency"),
		Retention: h.options.Settings.IdempotencyRetention, MayClean: h.cleansRecords,
	})
	if err != nil {
		return err
	}
	h.orders, err = orders.New(orders.Options{
		Store: h.options.Platform.Store, HostID: h.self.HostID, Incarnation: h.self.Incarnation,
		Target: h.targetByID, Logger: h.logger.Named("orders"), Loads: h.dispatcher,
	})
	if err != nil {
		return err
	}
	h.fleet.RegisterSnapshot(snapshotName, h.dispatcher.Snapshot, h.restoreSnapshot)
	return nil
}

// emptyIndex stands for the configuration until one is applied.
var emptyIndex = config.NewIndex(&config.Document{})

func (h *Host) index() *config.Index {
	if index := h.fleet.Index(); index != nil {
		return index
	}
	return emptyIndex
}

func (h *Host) targetByID(id string) *config.Target { return h.index().Target(id) }

// retentionKey is hashed over the members to choose the host that deletes expired
// idempotency records.
const retentionKey = "idempotency-retention"

// cleansRecords reports whether this host deletes expired idempotency records.
func (h *Host) cleansRecords() bool {
	members := h.index().Document().Members
	nodes := make([]placement.Node, len(members))
	for i, m := range members {
		nodes[i] = placement.Node{ID: m.HostID, Weight: m.Weight}
	}
	ranked := placement.Rank(retentionKey, nodes)
	return len(ranked) > 0 && ranked[0].ID == h.self.HostID && h.fleet.Fresh()
}

// holderLive reports whether the holder of a claim may still be running it.
func (h *Host) holderLive(hostID, incarnation string) bool {
	for _, status := range h.fleet.Hosts() {
		if status.Member.HostID == hostID && status.Member.Incarnation == incarnation {
			return status.Live
		}
	}
	return false
}

func (h *Host) buildAPIs() error {
	s := &h.options.Settings
	h.gateway = gateway.New(gateway.Options{
		View: h.fleet, Limiter: h.limiter, Completer: h.dispatcher, Services: h.dispatcher, Claims: h.claims,
		ServiceClient: target.NewWrappedServiceClient(h.options.WrapTransport),
		StreamSecret:  []byte(s.FleetSecret), LocatorTTL: s.LocatorTTL, BodyLimit: s.MaxBodyBytes,
		Draining: h.stop.draining.Load, Refusing: h.stop.refusing, Logger: h.logger.Named("gateway"), Tracer: h.options.Telemetry.Tracer,
		Refused: h.observer.Refused, DefaultDeadline: h.defaultDeadline,
	})
	h.callerAPI = h.stop.count(h.gateway)
	if s.CallerMetrics {
		h.callerAPI = h.withMetrics(h.callerAPI)
	}
	h.adminAPI = h.withMetrics(admin.NewServer(admin.Options{
		View: h.fleet, Proposer: h.fleet, Explainer: h.dispatcher, Unresolved: h.claims,
		Orders: &orderAdapter{service: h.orders}, Limits: h.limiter, Drain: h.Drain, Logger: h.logger,
	}))
	return nil
}

// withMetrics serves /metrics beside an API.
func (h *Host) withMetrics(api http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", h.options.Telemetry.MetricsHandler())
	mux.Handle("/", api)
	return mux
}

func (h *Host) exportState() error { return h.options.Telemetry.ExportState(h.state) }

// Member returns the identity and addresses of this host.
func (h *Host) Member() config.Member { return h.self }

// View returns the host's view of the fleet.
func (h *Host) View() fleet.View { return h.fleet }

// Ready reports that the host is fresh and that some host holds the limits of the
// client accounts.
func (h *Host) Ready() bool { return h.fleet.Fresh() && len(h.index().Document().Members) > 0 }

// KVCopies returns the counters of KV copies.
func (h *Host) KVCopies() kvcopy.Totals {
	if h.copies == nil {
		return kvcopy.Totals{}
	}
	return h.copies.Totals()
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

// Run serves until the planned stop has ended. The end of ctx starts it, as Drain
// does. It returns nil after a planned stop.
func (h *Host) Run(ctx context.Context) error {
	h.logger.Info("host starts", "incarnation", h.self.Incarnation, "callers", h.self.CallerAddress,
		"hosts", h.self.InnerAddress, "operators", h.self.AdminAddress)
	var group run.Group
	h.addTask(&group, "wire server", h.wireServer.Serve)
	h.addTask(&group, "fleet", h.fleet.Run)
	h.addTask(&group, "quota", h.limiter.Run)
	h.addTask(&group, "dispatch", h.dispatcher.Run)
	h.addTask(&group, "pollers", h.pollers.Run)
	if h.copies != nil {
		h.addTask(&group, "copies", h.copies.Run)
	}
	h.addTask(&group, "claims", h.claims.Run)
	h.addTask(&group, "target list", h.watchLeavingTargets)
	h.addTask(&group, "snapshots", h.keepSnapshots)
	h.addServer(&group, "caller server", h.callerListener, h.callerAPI)
	h.addServer(&group, "admin server", h.adminListener, h.adminAPI)

	stopCtx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return h.plannedStop(ctx, stopCtx) }, func(error) { cancel() })
	err := group.Run()
	h.wireClient.Close()
	h.logger.Info("host stopped", "error", err)
	return err
}

// addTask adds a task that runs until its context ends.
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
