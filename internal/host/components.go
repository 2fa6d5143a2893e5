package host

import (
	"net/http"

	"github.com/sequoiaroad/sequoiaroad/internal/admin"
	"github.com/sequoiaroad/sequoiaroad/internal/dispatch"
	"github.com/sequoiaroad/sequoiaroad/internal/fleet"
	"github.com/sequoiaroad/sequoiaroad/internal/gateway"
	"github.com/sequoiaroad/sequoiaroad/internal/idempotency"
	"github.com/sequoiaroad/sequoiaroad/internal/kvcopy"
	"github.com/sequoiaroad/sequoiaroad/internal/orders"
	"github.com/sequoiaroad/sequoiaroad/internal/quota"
	"github.com/sequoiaroad/sequoiaroad/internal/target"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/placement"
	"github.com/sequoiaroad/sequoiaroad/policy/routing"
)

func (h *Host) connectPeers() (err error) {
	s := &h.options.Settings
	h.fleet, err = fleet.New(fleet.Options{
		Self: h.self, Store: h.options.Platform.Store, HostList: h.options.Platform.HostList,
		Caller: h.wireClient, Registry: h.wireServer,
		FreshnessDeadline: s.FreshnessDeadline, Logger: h.logger.Named("fleet"),
		AllowCrossRegionSnapshot: func(bytes int) bool { return h.dispatcher.AllowLink(routing.LinkSnapshot, bytes) },
	})
	if err != nil {
		return err
	}
	h.limiter = quota.New(quota.Options{
		View: h.fleet, Caller: h.wireClient, Registry: h.wireServer,
		FreshnessDeadline: s.FreshnessDeadline, Logger: h.logger.Named("quota"),
		OnRefusalWithinRate: h.observer.RefusedWithinRate,
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
		h.copier, err = kvcopy.New(kvcopy.Options{
			Engines: engines, Cache: h.dispatcher, Target: h.targetByID, Logger: h.logger.Named("kvcopy"),
		})
		if err != nil {
			return err
		}
		h.dispatcher.SetCopier(h.copier)
	}
	h.pollers = target.NewPollers(target.PollerOptions{
		Client: engines, Observer: h.dispatcher, Index: h.fleet.Index, Subscribe: h.fleet.Subscribe,
	})
	return nil
}

func (h *Host) buildClaimsAndOrders() (err error) {
	h.claims, err = idempotency.New(idempotency.Options{
		Store: h.options.Platform.Store, Objects: h.options.Platform.Objects,
		HostID: h.self.HostID, Incarnation: h.self.Incarnation,
		HolderLive: h.holderLive, Fresh: h.fleet.Fresh, Logger: h.logger.Named("idempotency"),
		Retention: h.options.Settings.IdempotencyRetention, MayClean: h.deletesExpiredRecords,
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

// emptyIndex is the index in use until a configuration is applied.
var emptyIndex = config.NewIndex(&config.Document{})

func (h *Host) index() *config.Index {
	if index := h.fleet.Index(); index != nil {
		return index
	}
	return emptyIndex
}

func (h *Host) targetByID(id string) *config.Target { return h.index().Target(id) }

// retentionPlacementKey is the rendezvous hashing key that selects the member that deletes
// expired idempotency records.
const retentionPlacementKey = "idempotency-retention"

// deletesExpiredRecords reports whether this host deletes expired idempotency records.
func (h *Host) deletesExpiredRecords() bool {
	members := h.index().Document().Members
	nodes := make([]placement.Node, len(members))
	for i, m := range members {
		nodes[i] = placement.Node{ID: m.HostID, Weight: m.Weight}
	}
	ranked := placement.Rank(retentionPlacementKey, nodes)
	return len(ranked) > 0 && ranked[0].ID == h.self.HostID && h.fleet.Fresh()
}

// holderLive reports whether the holder of a claim is live, so that its request may still
// be in progress.
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
		StreamSecret:  []byte(s.FleetSecret), LocatorTTL: s.LocatorTTL, MaxBodyBytes: s.MaxBodyBytes,
		Draining: h.stop.draining.Load, Refusing: h.stop.refusing, Logger: h.logger.Named("gateway"), Tracer: h.options.Telemetry.Tracer,
		OnRefusal: h.observer.Refused, DefaultTimeout: h.defaultDeadline,
	})
	h.callerAPI = h.stop.countRequests(h.gateway)
	if s.CallerMetrics {
		h.callerAPI = h.withMetrics(h.callerAPI)
	}
	h.adminAPI = h.withMetrics(admin.NewServer(admin.Options{
		View: h.fleet, Proposer: h.fleet, Explainer: h.dispatcher, Unresolved: h.claims,
		Orders: &orderAdapter{service: h.orders}, Limits: h.limiter, Drain: h.Drain, Logger: h.logger,
	}))
	return nil
}

// withMetrics returns a handler that serves /metrics in addition to an API.
func (h *Host) withMetrics(api http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", h.options.Telemetry.MetricsHandler())
	mux.Handle("/", api)
	return mux
}
