package peers

import (
	"context"
	"time"

	store "github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/internal/view"
	"github.com/sequoiaroad/sequoiaroad/internal/wire"
)

// Names of the tables in messages.
const (
	operatorTable = "operator"
	targetTable   = "targets"
)

func (p *Peers) table(name string) *view.Table {
	switch name {
	case operatorTable:
		return p.view.Operator
	case targetTable:
		return p.view.Targets
	}
	return nil
}

func (p *Peers) rows(q *RowsRequest) *RowsReply {
	t := p.table(q.Table)
	if t == nil {
		return &RowsReply{}
	}
	return p.news(t.After(q.After))
}

// news packs rows in version order, as many as a frame holds. Those that are left out
// are asked for later.
func (p *Peers) news(rows []store.Row) *RowsReply {
	reply := &RowsReply{}
	if at := p.view.Regained(); !at.IsZero() {
		reply.RegainedMs = max(1, time.Since(at).Milliseconds())
	}
	size := 0
	for _, r := range packRows(rows) {
		if size += len(r.Key) + len(r.Value) + rowOverhead; size > maxReplyBytes {
			break
		}
		reply.Rows = append(reply.Rows, r)
	}
	return reply
}

// merge takes rows above a version from a peer. It returns how many were newer, and
// false if this host lacks rows up to that version.
func (p *Peers) merge(name string, after uint64, reply *RowsReply) (newer int, complete bool) {
	var regained time.Time
	if reply.RegainedMs > 0 {
		regained = time.Now().Add(-time.Duration(reply.RegainedMs) * time.Millisecond)
	}
	return p.view.Merge(p.table(name), unpackRows(name, reply.Rows), after, regained)
}

// push tells the group what the store changed.
func (p *Peers) push(t *view.Table, after uint64) {
	name := targetTable
	switch t {
	case p.view.Operator:
		name = operatorTable
	case p.view.Hosts:
		return
	}
	layout, addresses := p.layout()
	if layout.Direct() {
		return // every host follows the store
	}
	message := &RowsPush{Table: name, After: after, News: *p.news(t.After(after))}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		p.tell(ctx, heard(layout.Group()), addresses, message)
	}()
}

// heardRows takes rows that were pushed, or asks the sender for those between.
func (p *Peers) heardRows(ctx context.Context, from wire.Peer, m *RowsPush) {
	if p.table(m.Table) == nil {
		return
	}
	if _, complete := p.merge(m.Table, m.After, &m.News); complete {
		return
	}
	go p.askTable(context.WithoutCancel(ctx), from.HostID, from.Address, m.Table)
}

// lag is how far this host's copy of a table is behind what peers have.
type lag struct {
	// version is one that a peer had at since and this host has not.
	version uint64
	since   time.Time
	asking  bool
}

// due notes a peer's newest version and reports whether to ask that peer for rows: this
// host lacks a version that a peer had a tolerance ago, and asks nobody yet. A table
// that changes all the time is always a little behind, which is no reason to ask.
func (l *lag) due(have, theirs uint64, now time.Time, tolerance time.Duration) bool {
	if theirs <= have {
		return false
	}
	if l.version <= have {
		l.version, l.since = theirs, now
	}
	return !l.asking && now.Sub(l.since) >= tolerance
}

// compare asks a peer for rows that this host lacks.
func (p *Peers) compare(ctx context.Context, h *Heartbeat) {
	tolerance := lagTolerance
	if p.view.Snapshot().Config == nil {
		tolerance = 0
	}
	for name, theirs := range map[string]uint64{operatorTable: h.Operator, targetTable: h.Targets} {
		p.mu.Lock()
		l := p.lags[name]
		due := l.due(p.table(name).Newest(), theirs, time.Now(), tolerance)
		if due {
			l.asking = true
		}
		p.mu.Unlock()
		if due {
			go p.ask(context.WithoutCancel(ctx), h.From, name, l)
		}
	}
}

func (p *Peers) ask(ctx context.Context, from view.Host, name string, l *lag) {
	p.askTable(ctx, from.ID, from.InnerAddress, name)
	p.mu.Lock()
	defer p.mu.Unlock()
	l.asking = false
}

func (p *Peers) askTable(ctx context.Context, id, address, name string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	after := p.table(name).Newest()
	var reply RowsReply
	if err := p.caller.Call(ctx, address, &RowsRequest{Table: name, After: after}, &reply); err != nil {
		p.log.Warn("peer gave no rows", "host", id, "table", name, "error", err)
		return
	}
	if newer, _ := p.merge(name, after, &reply); newer > 0 {
		p.log.Info("took rows from another host", "host", id, "table", name, "rows", newer, "newest", p.table(name).Newest())
	}
}
