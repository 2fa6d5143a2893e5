package peers

import (
	"sync"
	"time"

	"github.com/sequoiaroad/sequoiaroad/internal/view"
)

// peer is the recorded state of another host.
type peer struct {
	host view.Host
	// lastContact is when the last heartbeat arrived, or when a peer first listed the
	// host.
	lastContact      time.Time
	sequence         uint64
	ready            bool
	draining         bool
	storeUnreachable bool
}

// hostState is the state of a host that decides which messages are sent to it.
type hostState struct {
	unresponsive bool
	// storeUnreachable means that the store does not respond to the host.
	storeUnreachable bool
}

func (p *peer) unresponsive(now time.Time) bool { return now.Sub(p.lastContact) > liveTimeout }

// peerTable records the other hosts.
type peerTable struct {
	mu   sync.Mutex
	byID map[string]*peer
	// count is cached for hostCountTTL, since each request reads it.
	count     hostCount
	countedAt time.Time
}

type hostCount struct {
	hosts             int
	unresponsiveShare float64
}

func newPeerTable() *peerTable { return &peerTable{byID: map[string]*peer{}} }

// heartbeatResult is the effect of a heartbeat on the table.
type heartbeatResult struct {
	// newer is false for a heartbeat that arrived after a later one.
	newer bool
	// newIncarnation means that the incarnation was not recorded before.
	newIncarnation bool
	// recovered means that the host had been unresponsive or its incarnation is new.
	recovered bool
}

// record updates the table from a heartbeat.
func (t *peerTable) record(h *Heartbeat, now time.Time) heartbeatResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.byID[h.From.ID]
	newIncarnation := p == nil || p.host.Incarnation != h.From.Incarnation
	switch {
	case newIncarnation:
		p = &peer{}
		t.byID[h.From.ID] = p
	case h.Sequence <= p.sequence:
		return heartbeatResult{}
	}
	recovered := newIncarnation || p.unresponsive(now)
	p.host, p.lastContact, p.sequence, p.ready, p.draining, p.storeUnreachable = h.From, now, h.Sequence, h.Ready, h.Draining, h.StoreUnreachable
	return heartbeatResult{newer: true, newIncarnation: newIncarnation, recovered: recovered}
}

// addReported adds hosts that a peer listed and that are not recorded yet.
func (t *peerTable) addReported(hosts []view.Host, self string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, host := range hosts {
		if host.ID != self && t.byID[host.ID] == nil {
			t.byID[host.ID] = &peer{host: host, lastContact: now}
		}
	}
}

// states returns the recorded hosts and their states.
func (t *peerTable) states(now time.Time) map[view.Host]hostState {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[view.Host]hostState, len(t.byID))
	for _, p := range t.byID {
		out[p.host] = hostState{p.unresponsive(now), p.storeUnreachable}
	}
	return out
}

// live returns the hosts to which callers may be directed.
func (t *peerTable) live(now time.Time) []view.Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []view.Host
	for _, p := range t.byID {
		if p.ready && !p.draining && !p.unresponsive(now) {
			out = append(out, p.host)
		}
	}
	return out
}

// responsive returns the hosts that share limits of targets: those that respond and do not
// stop.
func (t *peerTable) responsive(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for id, p := range t.byID {
		if !p.draining && !p.unresponsive(now) {
			out = append(out, id)
		}
	}
	return out
}

func (t *peerTable) contactedWithin(id string, age time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.byID[id]
	return p != nil && now.Sub(p.lastContact) < age
}

// removeExpired removes the hosts that no longer share limits.
func (t *peerTable) removeExpired(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, p := range t.byID {
		if now.Sub(p.lastContact) > peerTimeout || p.draining && p.unresponsive(now) {
			delete(t.byID, id)
		}
	}
}

// countHosts returns the number of hosts that share limits, including this one, and the
// share of them that is unresponsive.
func (t *peerTable) countHosts(now time.Time) hostCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.count.hosts > 0 && now.Sub(t.countedAt) < hostCountTTL {
		return t.count
	}
	count, unresponsive := 1, 0
	for _, p := range t.byID {
		if now.Sub(p.lastContact) > peerTimeout || p.draining && p.unresponsive(now) {
			continue
		}
		count++
		if p.unresponsive(now) {
			unresponsive++
		}
	}
	t.count, t.countedAt = hostCount{count, float64(unresponsive) / float64(count)}, now
	return t.count
}
