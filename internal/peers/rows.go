package peers

import (
	"context"
	"time"

	"github.com/sequoiaroad/sequoiaroad/internal/view"
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
	rows := packRows(t.After(q.After))
	size := 0
	for i, r := range rows {
		if size += len(r.Key) + len(r.Value) + 32; size > maxReplyBytes {
			return &RowsReply{Rows: rows[:i]}
		}
	}
	return &RowsReply{Rows: rows}
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
	p.askTable(ctx, from, name)
	p.mu.Lock()
	defer p.mu.Unlock()
	l.asking = false
}

func (p *Peers) askTable(ctx context.Context, from view.Host, name string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	t := p.table(name)
	var reply RowsReply
	if err := p.caller.Call(ctx, from.InnerAddress, &RowsRequest{Table: name, After: t.Newest()}, &reply); err != nil {
		p.log.Warn("peer gave no rows", "host", from.ID, "table", name, "error", err)
		return
	}
	p.view.Merge(t, unpackRows(name, reply.Rows))
}
