// Package peers exchanges state among the hosts of the system: which hosts live, loads, the
// usage of client accounts, cache notices, and rows of the store for hosts that do not watch
// it or that it does not respond to. Package exchange of policy decides who tells whom what.
package peers

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/sequoiaroad/sequoiaroad/internal/clock"
	"github.com/sequoiaroad/sequoiaroad/internal/view"
	"github.com/sequoiaroad/sequoiaroad/internal/wire"
	"github.com/sequoiaroad/sequoiaroad/policy/balance"
	"github.com/sequoiaroad/sequoiaroad/policy/exchange"
)

const (
	callTimeout = 600 * time.Millisecond
	// hostCountTTL is how long a count of the hosts is cached.
	hostCountTTL = 20 * time.Millisecond
	// lagTolerance is how long a host may lag behind a peer before it requests rows
	// from that peer, so that rows come from the store if it responds.
	lagTolerance = 300 * time.Millisecond
	// maxReplyBytes keeps a reply below the frame size limit.
	maxReplyBytes = 512 << 10
	// rowOverhead is the approximate encoded size of a row without key and value.
	rowOverhead = 32
	// maxLoggedHosts bounds the hosts that one log line names.
	maxLoggedHosts = 16
)

// LocalHost provides the state of this host and handles messages of peers.
type LocalHost interface {
	// LocalState returns the state of this host.
	LocalState() exchange.Local
	// QuarantineDigest identifies the entries in quarantine that this host has.
	QuarantineDigest() uint64
	// HandleLearned handles what peers have told of their state.
	HandleLearned(l *exchange.Learned)
	// HandleQuarantineDigest handles the digest of a peer's entries in quarantine.
	HandleQuarantineDigest(digest uint64)
	// HandleEngineNotice handles the notice of an order to a target.
	HandleEngineNotice(n *EngineNotice)
	// HandleQuarantineNotice handles a peer's notice of crashes of targets.
	HandleQuarantineNotice(n *QuarantineNotice)
}

// Exchange sends the state of this host to the other hosts and receives theirs.
type Exchange struct {
	self   view.Host
	caller wire.Caller
	view   *view.View
	local  LocalHost
	log    hclog.Logger
	now    func() time.Time

	mu   sync.Mutex
	node *exchange.Node
	// count is cached for hostCountTTL, since each request reads it.
	count     hostCount
	countedAt time.Time
	// lags holds, by table, how far this host lags behind its peers.
	lags map[string]*lag
}

type hostCount struct {
	hosts             int
	unresponsiveShare float64
}

// New returns an exchange that has recorded no other host.
func New(self view.Host, seeds []string, caller wire.Caller, v *view.View, local LocalHost, log hclog.Logger) *Exchange {
	return newWithClock(self, seeds, caller, v, local, log, time.Now)
}

func newWithClock(self view.Host, seeds []string, caller wire.Caller, v *view.View, local LocalHost, log hclog.Logger, now func() time.Time) *Exchange {
	e := &Exchange{
		self: self, caller: caller, view: v, local: local, log: log, now: now, node: exchange.New(self.Host, seeds, now()),
		lags: map[string]*lag{operatorTable: {}, targetTable: {}, documentsInForce: {}},
	}
	v.ConfigureSharing(view.Sharing{
		WatchesStore: e.watchesStore, ListsHosts: e.listsHosts, ReadsForItself: e.ReadsForItself, OnStoreRows: e.pushRows,
	})
	return e
}

// Register registers the handlers of messages from peers.
func (e *Exchange) Register(r wire.Registry) {
	r.Handle(wire.TypeStateReport, func(ctx context.Context, from wire.Peer, request wire.Request) (wire.Message, error) {
		var m StateReport
		if err := request.Decode(&m); err != nil {
			return nil, err
		}
		return e.handleReport(ctx, from, &m), nil
	})
	r.Handle(wire.TypeRowsRequest, func(_ context.Context, _ wire.Peer, request wire.Request) (wire.Message, error) {
		var q RowsRequest
		if err := request.Decode(&q); err != nil {
			return nil, err
		}
		return e.handleRowsRequest(&q), nil
	})
	r.Handle(wire.TypeRowsPush, func(ctx context.Context, from wire.Peer, request wire.Request) (wire.Message, error) {
		var m RowsPush
		if err := request.Decode(&m); err != nil {
			return nil, err
		}
		e.handleRowsPush(ctx, from, &m)
		return &wire.Ack{}, nil
	})
	r.Handle(wire.TypeEngineNotice, func(ctx context.Context, _ wire.Peer, request wire.Request) (wire.Message, error) {
		var n EngineNotice
		if err := request.Decode(&n); err != nil {
			return nil, err
		}
		e.local.HandleEngineNotice(&n)
		if n.Relay {
			e.relay(ctx, &n)
		}
		return &wire.Ack{}, nil
	})
	r.Handle(wire.TypeQuarantineNotice, func(ctx context.Context, _ wire.Peer, request wire.Request) (wire.Message, error) {
		var n QuarantineNotice
		if err := request.Decode(&n); err != nil {
			return nil, err
		}
		e.local.HandleQuarantineNotice(&n)
		if n.Relay {
			e.relay(ctx, &n)
		}
		return &wire.Ack{}, nil
	})
}

// watchesStore reports whether this host watches the store for others.
func (e *Exchange) watchesStore() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.node.WatchesStore(e.now())
}

// ReadsForItself reports whether this host reads from the store what hubs tell their members.
func (e *Exchange) ReadsForItself() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.node.ReadsForItself(e.now())
}

// listsHosts reports whether this host reads the hosts' entries in the store.
func (e *Exchange) listsHosts() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.node.ListsHosts(e.now())
}

// IsEntryHost reports whether this host is to have an entry in the store.
func (e *Exchange) IsEntryHost() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.node.IsEntryHost()
}

// IsJoining reports whether this process has just started and does not know the other hosts
// yet.
func (e *Exchange) IsJoining() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.node.IsJoining()
}

// Live returns the hosts to which callers may be directed, without this one.
func (e *Exchange) Live() []view.Host {
	e.mu.Lock()
	defer e.mu.Unlock()
	return viewHosts(e.node.Live())
}

func viewHosts(hosts []exchange.Host) []view.Host {
	out := make([]view.Host, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, view.Host{Host: h})
	}
	return out
}

// Responds reports whether a host is known and responds.
func (e *Exchange) Responds(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.node.Responds(id)
}

// HostIDs returns the hosts that respond, including this one.
func (e *Exchange) HostIDs() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	ids := []string{e.self.ID}
	for _, h := range e.node.Responsive() {
		ids = append(ids, h.ID)
	}
	return ids
}

// CountHosts returns the number of hosts that share limits, including this one, and the
// share of them that is unresponsive.
func (e *Exchange) CountHosts() (hosts int, unresponsiveShare float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := e.now(); e.count.hosts == 0 || now.Sub(e.countedAt) >= hostCountTTL {
		e.count.hosts, e.count.unresponsiveShare = e.node.Count()
		e.countedAt = now
	}
	return e.count.hosts, e.count.unresponsiveShare
}

// QueueCacheNotice adds a cache notice to the next report.
func (e *Exchange) QueueCacheNotice(n balance.CacheNotice) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.node.AddNotice(n, e.now())
}

// Run reports the state of this host until ctx ends. The first report is sent at once, since
// its reply tells a new process of the fleet; the others are spread over the interval.
func (e *Exchange) Run(ctx context.Context) error {
	e.round(ctx)
	clock.Sleep(ctx, rand.N(e.interval()))
	for ctx.Err() == nil {
		e.round(ctx)
		clock.Sleep(ctx, e.interval())
	}
	return nil
}

func (e *Exchange) interval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.node.Interval(e.now())
}

// round sends the reports of one round.
func (e *Exchange) round(ctx context.Context) {
	local := e.local.LocalState()
	switch {
	case e.view.StoreUnreachable():
		local.Status |= exchange.StoreUnreachable
	case e.view.ReachesStore(e.now()):
		local.Status |= exchange.StoreReached
	}
	now := e.now()
	e.mu.Lock()
	for _, h := range e.view.Snapshot().Hosts {
		e.node.AddHost(h.Host, now)
	}
	outgoing, learned := e.node.Round(local, now)
	storeReached := e.node.StoreReachedElsewhere()
	e.mu.Unlock()
	e.view.CheckOutage(storeReached, now)
	e.handleLearned(&learned)
	versions := e.versions()
	for _, o := range outgoing {
		go e.sendReport(ctx, o, &StateReport{Report: *o.Report, Versions: versions})
	}
}

func (e *Exchange) sendReport(ctx context.Context, o exchange.Outgoing, m *StateReport) {
	callCtx, cancel := context.WithTimeout(ctx, exchange.ReplyTimeout)
	defer cancel()
	sentAt := e.now()
	var reply StateReply
	err := e.caller.Call(callCtx, o.Address, m, &reply)
	now := e.now()
	if err != nil {
		e.log.Debug("host did not answer a report", "host", o.To, "address", o.Address, "error", err)
		e.mu.Lock()
		e.node.HandleFailure(o.To, now)
		e.mu.Unlock()
		return
	}
	e.mu.Lock()
	learned := e.node.HandleReply(o.To, o.Report, &reply.Reply, sentAt, now)
	e.mu.Unlock()
	e.handleLearned(&learned)
	e.view.ApplyPublicationAges(reply.Publications, now)
	e.handleVersions(ctx, reply.Reply.From, &reply.Versions)
}

// handleReport handles a report of another host.
func (e *Exchange) handleReport(ctx context.Context, from wire.Peer, m *StateReport) *StateReply {
	e.mu.Lock()
	reply, learned := e.node.HandleReport(from.HostID, from.Incarnation, &m.Report, e.now())
	e.mu.Unlock()
	e.handleLearned(&learned)
	e.handleVersions(ctx, exchange.Host{ID: from.HostID, InnerAddress: from.Address}, &m.Versions)
	out := &StateReply{Reply: *reply, Versions: e.versions()}
	if reply.Changes != nil {
		out.Publications = e.view.PublicationAges(e.now())
	}
	return out
}

func (e *Exchange) handleLearned(l *exchange.Learned) {
	if len(l.Heard) > 0 {
		var ids []string
		for _, h := range l.Heard[:min(len(l.Heard), maxLoggedHosts)] {
			ids = append(ids, h.ID)
		}
		e.log.Info("hosts heard", "count", len(l.Heard), "hosts", ids)
	}
	e.local.HandleLearned(l)
}

// versions returns the versions that this host has.
func (e *Exchange) versions() Versions {
	operator, targets := e.view.Operator.Newest(), e.view.Targets.Newest()
	return Versions{
		OperatorVersion: operator.Version, OperatorEra: operator.Era, TargetsVersion: targets.Version, TargetsEra: targets.Era,
		Documents: e.view.DocumentVersions(), QuarantineDigest: e.local.QuarantineDigest(),
	}
}

// handleVersions requests what a peer has newer versions of.
func (e *Exchange) handleVersions(ctx context.Context, from exchange.Host, v *Versions) {
	e.local.HandleQuarantineDigest(v.QuarantineDigest)
	e.checkLag(ctx, from, v)
}
