package peers

import (
	"context"
	"time"

	"github.com/sequoiaroad/sequoiaroad/internal/view"
)

func (p *Peers) table(name string) *view.Table {
	switch name {
	case "operator":
		return p.view.Operator
	case "targets":
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

// compare asks a peer for rows if this host lags behind it for some time.
func (p *Peers) compare(ctx context.Context, m *member, h *Heartbeat) {
	behind := h.Operator > p.view.Operator.Newest() || h.Targets > p.view.Targets.Newest()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !behind {
		m.behindSince = time.Time{}
		return
	}
	if m.behindSince.IsZero() {
		m.behindSince = time.Now()
	}
	if m.asking || time.Since(m.behindSince) < lagTolerance && p.view.Snapshot().Config != nil {
		return
	}
	m.asking = true
	go p.ask(context.WithoutCancel(ctx), m, h)
}

func (p *Peers) ask(ctx context.Context, m *member, h *Heartbeat) {
	defer func() {
		p.mu.Lock()
		m.asking = false
		p.mu.Unlock()
	}()
	if h.Operator > p.view.Operator.Newest() {
		p.askTable(ctx, h.From, "operator")
	}
	if h.Targets > p.view.Targets.Newest() {
		p.askTable(ctx, h.From, "targets")
	}
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
