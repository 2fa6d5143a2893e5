// Package entryhost runs one host on the users' platform: it follows the platform's
// store, serves callers, exchanges state with the other hosts and takes part in the
// roll-out of weights.
package entryhost

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
	"github.com/sequoiaroad/sequoiaroad/internal/leaserow"
	"github.com/sequoiaroad/sequoiaroad/internal/message"
	"github.com/sequoiaroad/sequoiaroad/internal/peers"
	"github.com/sequoiaroad/sequoiaroad/internal/settings"
	"github.com/sequoiaroad/sequoiaroad/internal/telemetry"
	"github.com/sequoiaroad/sequoiaroad/internal/view"
	"github.com/sequoiaroad/sequoiaroad/internal/weights"
	"github.com/sequoiaroad/sequoiaroad/internal/wire"
	"github.com/sequoiaroad/sequoiaroad/policy/balance"
	"github.com/sequoiaroad/sequoiaroad/policy/retry"
	"github.com/sequoiaroad/sequoiaroad/policy/rollout"
)

const (
	// memoryShare of the limit is where the garbage collector works harder.
	memoryShare = 0.8
	// maxHeaderBytes is above what any configuration allows a caller.
	maxHeaderBytes = 64 << 10
	// idleTimeout is above the idle time that callers use, since a close that crosses
	// a request costs the caller an attempt.
	idleTimeout       = 2 * time.Minute
	readHeaderTimeout = 10 * time.Second
	// loadShare of the engines load weights at the same time.
	loadShare = 0.25
	// usageSlackShare of the tolerated excess is what a host may grant while reports
	// of other hosts are under way.
	usageSlackShare = 0.25
)

// Platform is the adapter to the platform that a host runs on.
type Platform struct {
	Source              view.Source
	Store               leaserow.Store
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
	// MetricsListen is the address of the metrics; empty serves none.
	MetricsListen string
	// MaxConcurrentLoads is the number of engines that load weights at the same time; zero
	// means a quarter of them.
	MaxConcurrentLoads int
	Platform           Platform
	Telemetry          *telemetry.Telemetry
}

// Host is one running host.
type Host struct {
	options Options
	log     hclog.Logger
	self    view.Host
	view    *view.View
	router  *forward.Router
	peers   *peers.Peers
	duty    *weights.Duty
	feed    *cachefeed.Feed
	wire    *wire.Server
	client  *wire.Client
	leaving atomic.Bool
	// stopping is closed when the planned stop begins.
	stopping chan struct{}
}

// New composes a host. Nothing is listened on before Run.
func New(o Options) (*Host, error) {
	d := o.Deployment
	h := &Host{options: o, log: o.Telemetry.Logger.Named("host"), stopping: make(chan struct{})}
	h.self = view.Host{
		ID: d.HostID, Incarnation: uuid.NewString(), Zone: d.Zone, Region: d.Region,
		InnerAddress: d.InnerListen, CallerAddress: d.CallerListen,
	}
	credentials, err := wire.SecretCredentials([]byte(o.FleetSecret))
	if err != nil {
		return nil, err
	}
	from := wire.Peer{HostID: d.HostID, Incarnation: h.self.Incarnation, Address: d.InnerListen}
	traffic := &wire.Traffic{}
	wireLog := o.Telemetry.Logger.Named("wire")
	h.client = wire.NewClient(wire.ClientOptions{Self: from, Credentials: credentials, Traffic: traffic, Logger: wireLog})
	h.wire = wire.NewServer(wire.ServerOptions{Self: from, Credentials: credentials, Traffic: traffic, Logger: wireLog})
	h.view = view.New(o.Platform.Source, o.Platform.Decoder, o.Telemetry.Logger.Named("view"))
	if h.router, err = forward.New(h.routerOptions()); err != nil {
		return nil, err
	}
	h.peers = peers.New(h.self, d.Seeds, h.client, h.view, (*local)(h), o.Telemetry.Logger.Named("peers"))
	h.peers.Register(h.wire)
	h.duty = weights.New(h.dutyOptions())
	h.feed = cachefeed.New(h.self, h.view, h.peers, o.Platform.Engines, h.router, o.Telemetry.Logger.Named("cachefeed"))
	return h, nil
}

func (h *Host) routerOptions() forward.Options {
	d := h.options.Deployment
	return forward.Options{
		Codec: h.options.Platform.Codec, View: h.view, Fleet: (*local)(h),
		Log: h.options.Telemetry.Logger.Named("forward"), Tracer: h.options.Telemetry.Tracer,
		Meter: h.options.Telemetry.Meter, CopyHeaders: h.options.Platform.CopyResponseHeaders,
		Zone: d.Zone, RegionOfZone: d.RegionOfZone,
		RetryTerms:   retry.Limits{Ratio: d.RetryBudgetRatio, Slack: d.RetryBudgetSlack, Window: d.RetryBudgetWindow},
		UsageSlack:   d.QuotaSlack * usageSlackShare,
		WeightsBound: d.WeightsBound, MemoryBytes: d.MemoryBytes,
	}
}

func (h *Host) dutyOptions() weights.Options {
	d := h.options.Deployment
	o := weights.Options{
		HostID: d.HostID, Store: h.options.Platform.Store, View: h.view, Router: h.router, Fleet: h.peers,
		Engines: h.options.Platform.Engines, Log: h.options.Telemetry.Logger.Named("weights"),
		LeaseDuration: d.LeaseDuration, Clock: clock.BootTimeNow,
		Terms: rollout.Limits{MaxConcurrent: h.options.MaxConcurrentLoads, ConcurrentShare: loadShare, MaxStaleness: d.WeightsBound},
	}
	if !d.TargetsCheckFence {
		o.Settle = d.LeaseDuration
	}
	return o
}

// local connects the router, the duty and the peers, which know each other only by
// interfaces.
type local Host

func (l *local) Describe() peers.Heartbeat {
	b := l.router.Describe()
	b.Ready, b.Leaving = (*Host)(l).ready(), l.leaving.Load()
	return b
}
func (l *local) HeardFrom(b *peers.Heartbeat)                { l.router.HeardFrom(b) }
func (l *local) HeardCacheNotices(all []balance.CacheNotice) { l.router.HeardCacheNotices(all) }
func (l *local) Shares() (int, float64)                      { return l.peers.Shares() }
func (l *local) Tell(s balance.CacheNotice)                  { l.peers.Tell(s) }
func (l *local) HeardNotice(n *peers.EngineNotice) {
	l.duty.HeardNotice()
	l.router.HeardNotice(n)
}

// ready reports whether callers may be sent here.
func (h *Host) ready() bool {
	s := h.view.Snapshot()
	return s.Config != nil && len(s.Targets) > 0 && !h.leaving.Load()
}

func limitMemory(limit int64) {
	if limit > 0 {
		debug.SetMemoryLimit(int64(float64(limit) * memoryShare))
	}
}

// Run serves until ctx ends, and then stops as planned.
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
	add("weights", h.duty.Run)
	add("cachefeed", h.feed.Run)
	add("entry", h.keepEntry)
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
	group.Add(func() error { return h.awaitStop(ctx, background, servers) }, func(error) { stopBackground() })
	err = group.Run()
	h.client.Close()
	h.log.Info("stop", "error", err)
	if errors.Is(err, errStopped) {
		return nil
	}
	return err
}
