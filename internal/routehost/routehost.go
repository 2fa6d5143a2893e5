// Package routehost runs one host on the users' platform, for the command route. The
// host watches the platform's store, serves callers, exchanges state with the other
// hosts and takes part in the rollout of weights.
package routehost

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/cachefeed"
	"github.com/sequoiaroad/sequoiaroad/internal/clock"
	"github.com/sequoiaroad/sequoiaroad/internal/forward"
	"github.com/sequoiaroad/sequoiaroad/internal/leasestore"
	"github.com/sequoiaroad/sequoiaroad/internal/message"
	"github.com/sequoiaroad/sequoiaroad/internal/peers"
	store "github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/internal/quarantine"
	"github.com/sequoiaroad/sequoiaroad/internal/settings"
	"github.com/sequoiaroad/sequoiaroad/internal/telemetry"
	"github.com/sequoiaroad/sequoiaroad/internal/view"
	"github.com/sequoiaroad/sequoiaroad/internal/weights"
	"github.com/sequoiaroad/sequoiaroad/internal/wire"
	"github.com/sequoiaroad/sequoiaroad/policy/balance"
	"github.com/sequoiaroad/sequoiaroad/policy/exchange"
	policy "github.com/sequoiaroad/sequoiaroad/policy/quarantine"
	"github.com/sequoiaroad/sequoiaroad/policy/retry"
	"github.com/sequoiaroad/sequoiaroad/policy/rollout"
)

const (
	// memoryLimitRatio is the part of the memory limit from which the garbage collector
	// runs more often.
	memoryLimitRatio = 0.8
	// maxHeaderBytes is above what any configuration allows a caller.
	maxHeaderBytes = 64 << 10
	// idleTimeout is longer than the idle timeout of callers, since a close that
	// crosses a request costs the caller an attempt.
	idleTimeout       = 2 * time.Minute
	readHeaderTimeout = 10 * time.Second
	// weightLoadRatio is the share of the engines that may load weights at the same
	// time.
	weightLoadRatio = 0.25
	// usageSlackRatio is the part of the tolerated excess that one host may grant
	// before the reports of other hosts arrive.
	usageSlackRatio = 0.25
)

// Platform is the adapter to the platform that a host runs on.
type Platform struct {
	Source view.Source
	Store  leasestore.Client
	// StoreCalls returns the calls to the store so far.
	StoreCalls          func() []store.CallCount
	Decoder             view.Decoder
	Codec               message.Codec
	Engines             message.Engines
	CopyResponseHeaders func(to, from http.Header)
	ReadyHandler        func(ready func() bool) http.Handler
	LocatorHandler      func(locate func(region, zone string) ([]string, time.Duration), log hclog.Logger) http.Handler
}

// Options configure a Host.
type Options struct {
	Deployment  settings.Deployment
	FleetSecret string
	// MetricsListen is the listen address of the metrics; empty disables them.
	MetricsListen string
	// MaxConcurrentLoads is the number of engines that may load weights at the same
	// time; zero means a quarter of them.
	MaxConcurrentLoads int
	Platform           Platform
	Telemetry          *telemetry.Telemetry
}

// Host is one running host.
type Host struct {
	options    Options
	log        hclog.Logger
	self       view.Host
	view       *view.View
	router     *forward.Router
	quarantine *quarantine.Keeper
	peers      *peers.Exchange
	weights    *weights.Controller
	feed       *cachefeed.Feed
	wire       *wire.Server
	client     *wire.Client
	traffic    *wire.Traffic
	draining   atomic.Bool
	// stopping is closed when the planned stop begins.
	stopping chan struct{}
}

// New composes a host. It opens no listeners before Run.
func New(o Options) (*Host, error) {
	d := o.Deployment
	h := &Host{options: o, log: o.Telemetry.Logger.Named("host"), stopping: make(chan struct{})}
	h.self = view.Host{Host: exchange.Host{
		ID: d.HostID, Incarnation: uuid.NewString(), Zone: d.Zone, Region: d.Region,
		InnerAddress: d.InnerListen, CallerAddress: d.CallerListen, Capacity: d.CPUPercent,
	}}
	credentials, err := wire.SecretCredentials([]byte(o.FleetSecret))
	if err != nil {
		return nil, err
	}
	from := wire.Peer{HostID: d.HostID, Incarnation: h.self.Incarnation, Address: d.InnerListen, Zone: d.Zone}
	h.traffic = &wire.Traffic{ReachOf: h.reachOf}
	wireLog := o.Telemetry.Logger.Named("wire")
	h.client = wire.NewClient(wire.ClientOptions{Self: from, Credentials: credentials, Traffic: h.traffic, Logger: wireLog})
	h.wire = wire.NewServer(wire.ServerOptions{Self: from, Credentials: credentials, Traffic: h.traffic, Logger: wireLog})
	h.view = view.New(o.Platform.Source, o.Platform.Decoder, o.Telemetry.Logger.Named("view"))
	h.quarantine, err = quarantine.New(quarantine.Options{
		Store: o.Platform.Store, Source: o.Platform.Source, View: h.view, Fleet: (*localHost)(h),
		Log: o.Telemetry.Logger.Named("quarantine"), Meter: o.Telemetry.Meter,
		OnEntry: func(e policy.Entry) { h.router.WithdrawMatching(e) },
	})
	if err != nil {
		return nil, err
	}
	if h.router, err = forward.New(h.routerOptions()); err != nil {
		return nil, err
	}
	h.peers = peers.New(h.self, d.Seeds, h.client, h.view, (*localHost)(h), o.Telemetry.Logger.Named("peers"))
	h.peers.Register(h.wire)
	h.weights = weights.New(h.weightsOptions())
	h.feed = cachefeed.New(h.self, h.view, h.peers, o.Platform.Engines, h.router, o.Telemetry.Logger.Named("cachefeed"))
	return h, h.registerCosts()
}

func (h *Host) routerOptions() forward.Options {
	d := h.options.Deployment
	return forward.Options{
		Codec: h.options.Platform.Codec, View: h.view, Fleet: (*localHost)(h),
		Log: h.options.Telemetry.Logger.Named("forward"), Tracer: h.options.Telemetry.Tracer,
		Meter: h.options.Telemetry.Meter, CopyResponseHeaders: h.options.Platform.CopyResponseHeaders, Quarantine: h.quarantine, Reports: h.options.Platform.Engines,
		HostID: d.HostID, Zone: d.Zone, RegionOfZone: d.RegionOfZone,
		RetryLimits:         retry.Limits{Ratio: d.RetryBudgetRatio, Slack: d.RetryBudgetSlack, Window: d.RetryBudgetWindow},
		UsageSlack:          d.QuotaSlack * usageSlackRatio,
		MaxWeightsStaleness: d.MaxWeightsStaleness, MemoryBytes: d.MemoryBytes,
	}
}

func (h *Host) weightsOptions() weights.Options {
	d := h.options.Deployment
	o := weights.Options{
		HostID: d.HostID, Store: h.options.Platform.Store, View: h.view, Router: h.router, Fleet: h.peers,
		Engines: h.options.Platform.Engines, Log: h.options.Telemetry.Logger.Named("weights"),
		LeaseDuration: d.LeaseDuration, Clock: clock.BootTimeNow,
		Limits: rollout.Limits{MaxConcurrent: h.options.MaxConcurrentLoads, ConcurrentShare: weightLoadRatio, MaxStaleness: d.MaxWeightsStaleness},
	}
	if !d.TargetsCheckFencingTokens {
		o.SettleTime = d.LeaseDuration
	}
	return o
}

// localHost connects the router, the weights controller and the peer exchange, which
// depend on each other only through interfaces.
type localHost Host

func (l *localHost) LocalState() exchange.Local {
	local := l.router.LocalState()
	if (*Host)(l).ready() {
		local.Status |= exchange.Ready
	}
	if l.draining.Load() {
		local.Status |= exchange.Draining
	}
	return local
}
func (l *localHost) QuarantineDigest() uint64                         { return l.quarantine.Digest() }
func (l *localHost) HandleLearned(learned *exchange.Learned)          { l.router.HandleLearned(learned) }
func (l *localHost) HandleQuarantineDigest(digest uint64)             { l.quarantine.HandleDigest(digest) }
func (l *localHost) CountHosts() (int, float64)                       { return l.peers.CountHosts() }
func (l *localHost) ReadsForItself() bool                             { return l.peers.ReadsForItself() }
func (l *localHost) HostIDs() []string                                { return l.peers.HostIDs() }
func (l *localHost) QueueCacheNotice(n balance.CacheNotice)           { l.peers.QueueCacheNotice(n) }
func (l *localHost) HandleQuarantineNotice(n *peers.QuarantineNotice) { l.quarantine.HandleNotice(n) }
func (l *localHost) BroadcastQuarantineNotice(ctx context.Context, n *peers.QuarantineNotice) {
	l.peers.BroadcastQuarantineNotice(ctx, n)
}
func (l *localHost) HandleEngineNotice(n *peers.EngineNotice) {
	l.weights.RecordProgress()
	l.router.HandleEngineNotice(n)
}

// ready reports whether callers may be directed to this host.
func (h *Host) ready() bool {
	s := h.view.Snapshot()
	return s.Config != nil && len(s.Targets) > 0 && !h.draining.Load()
}

func limitMemory(limit int64) {
	if limit > 0 {
		debug.SetMemoryLimit(int64(float64(limit) * memoryLimitRatio))
	}
}

// Run serves until ctx ends, and then performs the planned stop.
func (h *Host) Run(ctx context.Context) error {
	limitMemory(h.options.Deployment.MemoryBytes)
	h.log.Info("start", "host", h.self.ID, "incarnation", h.self.Incarnation, "zone", h.self.Zone, "store", h.options.Deployment.StoreAddress)
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	var group run.Group
	add := func(name string, f func(context.Context) error) {
		group.Add(func() error { return errors.Wrap(f(background), name) }, func(error) { stopBackground() })
	}
	add("view", h.view.Run)
	add("peers", h.peers.Run)
	add("weights", h.weights.Run)
	add("cachefeed", h.feed.Run)
	add("quarantine", h.quarantine.Run)
	add("entry", h.maintainEntry)
	add("costs", h.logCosts)
	if _, err := h.wire.Listen(h.options.Deployment.InnerListen); err != nil {
		return err
	}
	add("wire", h.wire.Serve)
	servers, err := h.listen()
	if err != nil {
		return err
	}
	for _, s := range servers {
		group.Add(s.serve, func(error) { s.close() })
	}
	group.Add(func() error { return h.awaitShutdown(ctx, background, servers) }, func(error) { stopBackground() })
	err = group.Run()
	h.client.Close()
	h.log.Info("stop", "error", err)
	if errors.Is(err, errStopped) {
		return nil
	}
	return err
}
