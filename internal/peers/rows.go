package peers

import (
	"context"
	"slices"
	"time"

	store "github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/internal/view"
	"github.com/sequoiaroad/sequoiaroad/internal/wire"
	"github.com/sequoiaroad/sequoiaroad/policy/exchange"
)

// Names of the tables in messages. The documents in force are those rows of the operator's
// table that a host has applied; a restored store may lack them.
const (
	operatorTable    = "operator"
	targetTable      = "targets"
	documentsInForce = "documents"
)

func (e *Exchange) table(name string) *view.Table {
	switch name {
	case operatorTable:
		return e.view.Operator
	case targetTable:
		return e.view.Targets
	}
	return nil
}

func (e *Exchange) handleRowsRequest(q *RowsRequest) *RowsReply {
	if q.Table == documentsInForce {
		return e.rowsReply(view.PeerRows{Rows: e.view.Documents()})
	}
	t := e.table(q.Table)
	if t == nil {
		return &RowsReply{}
	}
	return e.rowsReply(t.RowsAfter(store.Position{Era: q.Era, Version: q.After}))
}

// rowsReply packs rows in version order, as many as fit into a frame. The remaining
// rows are requested later.
func (e *Exchange) rowsReply(rows view.PeerRows) *RowsReply {
	reply := &RowsReply{Era: rows.After.Era, After: rows.After.Version, Complete: rows.Complete}
	if recoveredAt := e.view.StoreRecoveredAt(); !recoveredAt.IsZero() {
		reply.StoreRecoveredMs = max(1, time.Since(recoveredAt).Milliseconds())
	}
	size := 0
	for _, r := range rows.Rows {
		if size += len(r.Key) + len(r.Value) + rowOverhead; size > maxReplyBytes {
			reply.Complete = false
			break
		}
		reply.Rows = append(reply.Rows, packRow(r))
	}
	return reply
}

// mergeRows merges the rows of a peer. It returns how many were newer, and false if this
// host lacks rows before them.
func (e *Exchange) mergeRows(name string, reply *RowsReply) (newer int, complete bool) {
	var recoveredAt time.Time
	if reply.StoreRecoveredMs > 0 {
		recoveredAt = time.Now().Add(-time.Duration(reply.StoreRecoveredMs) * time.Millisecond)
	}
	rows := unpackRows(name, reply)
	if name == documentsInForce {
		return e.view.MergeDocuments(rows.Rows), true
	}
	return e.view.MergeRows(e.table(name), rows, recoveredAt)
}

// pushRows sends the hosts that report to this one, and the other hubs for theirs, the rows
// above a position that changed in the store.
func (e *Exchange) pushRows(t *view.Table, after store.Position) {
	name := targetTable
	switch t {
	case e.view.Operator:
		name = operatorTable
	case e.view.Hosts:
		return
	}
	e.mu.Lock()
	receivers := e.node.RowReceivers()
	e.mu.Unlock()
	if len(receivers) > 0 {
		e.sendRows(receivers, &RowsPush{Table: name, Changes: *e.rowsReply(t.RowsAfter(after)), Relay: true})
	}
}

// without returns the hosts but one.
func without(hosts []exchange.Host, id string) []exchange.Host {
	return slices.DeleteFunc(hosts, func(h exchange.Host) bool { return h.ID == id })
}

func (e *Exchange) sendRows(receivers []exchange.Host, m *RowsPush) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		e.send(ctx, receivers, m)
	}()
}

// handleRowsPush merges pushed rows. If rows before them are missing here, it requests
// the missing rows from the sender. A hub passes them on to the hosts that report to it.
func (e *Exchange) handleRowsPush(ctx context.Context, from wire.Peer, m *RowsPush) {
	if e.table(m.Table) == nil {
		return
	}
	if m.Relay {
		e.mu.Lock()
		members := e.node.Members()
		e.mu.Unlock()
		e.sendRows(without(members, from.HostID), &RowsPush{Table: m.Table, Changes: m.Changes})
	}
	if _, complete := e.mergeRows(m.Table, &m.Changes); complete {
		return
	}
	go e.fetchRows(context.WithoutCancel(ctx), from.HostID, from.Address, m.Table)
}

// lag is how far this host's copy of a table is behind those of peers.
type lag struct {
	// position is one that a peer had at since and that this host lacks.
	position store.Position
	since    time.Time
	fetching bool
}

// due records a peer's newest position and reports whether to request rows from that
// peer: this host still lacks a position that a peer had at least tolerance ago, and no
// request is in progress. A table that changes all the time always lags slightly, which
// needs no request.
func (l *lag) due(own, peer store.Position, now time.Time, tolerance time.Duration) bool {
	if !own.Before(peer) {
		return false
	}
	if !own.Before(l.position) {
		l.position, l.since = peer, now
	}
	return !l.fetching && now.Sub(l.since) >= tolerance
}

// checkLag requests rows from a peer if this host has lacked them for longer than the
// tolerance.
func (e *Exchange) checkLag(ctx context.Context, from exchange.Host, v *Versions) {
	tolerance := lagTolerance
	if e.view.Snapshot().Config == nil {
		tolerance = 0
	}
	for name, peer := range map[string]store.Position{
		operatorTable: {Era: v.OperatorEra, Version: v.OperatorVersion}, targetTable: {Era: v.TargetsEra, Version: v.TargetsVersion},
		documentsInForce: {Version: uint64(v.Documents)},
	} {
		own := e.position(name)
		if name == documentsInForce && e.view.Operator.Newest().Before(store.Position{Era: v.OperatorEra, Version: v.OperatorVersion}) {
			continue // the rows of the table come first
		}
		e.mu.Lock()
		l := e.lags[name]
		due := l.due(own, peer, e.now(), tolerance)
		if due {
			l.fetching = true
		}
		e.mu.Unlock()
		if due {
			go e.fetchMissing(context.WithoutCancel(ctx), from, name, l)
		}
	}
}

// position returns how far this host has read a table or the documents in force. The sum of
// the documents' versions stands for a position.
func (e *Exchange) position(name string) store.Position {
	if name == documentsInForce {
		return store.Position{Version: uint64(e.view.DocumentVersions())}
	}
	return e.table(name).Newest()
}

func (e *Exchange) fetchMissing(ctx context.Context, from exchange.Host, name string, l *lag) {
	e.fetchRows(ctx, from.ID, from.InnerAddress, name)
	e.mu.Lock()
	defer e.mu.Unlock()
	l.fetching = false
}

func (e *Exchange) fetchRows(ctx context.Context, id, address, name string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	after := e.position(name)
	var reply RowsReply
	if err := e.caller.Call(ctx, address, &RowsRequest{Table: name, After: after.Version, Era: after.Era}, &reply); err != nil {
		e.log.Warn("failed to fetch rows from a peer", "host", id, "table", name, "error", err)
		return
	}
	if newer, _ := e.mergeRows(name, &reply); newer > 0 {
		newest := e.position(name)
		e.log.Info("took rows from another host", "host", id, "table", name, "rows", newer, "newest", newest.Version, "era", newest.Era)
	}
}
