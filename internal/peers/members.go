package peers

import (
	"sync"
	"time"

	"github.com/sequoiaroad/sequoiaroad/internal/view"
)

// member is the recorded state of a peer.
type member struct {
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

func (m *member) unresponsive(now time.Time) bool { return now.Sub(m.lastContact) > liveTimeout }

// memberTable holds the state of the other hosts.
type memberTable struct {
	mu   sync.Mutex
	byID map[string]*member
	// count is cached for hostCountTTL, since each request reads it.
	count     hostCount
	countedAt time.Time
}

type hostCount struct {
	hosts             int
	unresponsiveShare float64
}

func newMemberTable() *memberTable { return &memberTable{byID: map[string]*member{}} }

// heartbeatResult is the effect of a heartbeat on the table.
type heartbeatResult struct {
	// newer is false for a heartbeat that arrived after a later one.
	newer bool
	// newIncarnation means that the incarnation was not recorded before.
	newIncarnation bool
	// recovered means that the peer had been unresponsive or was not recorded.
	recovered bool
}

// record updates the table from a heartbeat.
func (t *memberTable) record(h *Heartbeat, now time.Time) heartbeatResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.byID[h.From.ID]
	newIncarnation := m == nil || m.host.Incarnation != h.From.Incarnation
	switch {
	case newIncarnation:
		m = &member{}
		t.byID[h.From.ID] = m
	case h.Sequence <= m.sequence:
		return heartbeatResult{}
	}
	recovered := newIncarnation || m.unresponsive(now)
	m.host, m.lastContact, m.sequence, m.ready, m.draining, m.storeUnreachable = h.From, now, h.Sequence, h.Ready, h.Draining, h.StoreUnreachable
	return heartbeatResult{newer: true, newIncarnation: newIncarnation, recovered: recovered}
}

// addReported adds hosts that a peer listed and that are not recorded yet.
func (t *memberTable) addReported(hosts []view.Host, self string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, host := range hosts {
		if host.ID != self && t.byID[host.ID] == nil {
			t.byID[host.ID] = &member{host: host, lastContact: now}
		}
	}
}

// states returns the recorded hosts and their states.
func (t *memberTable) states(now time.Time) map[view.Host]hostState {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[view.Host]hostState, len(t.byID))
	for _, m := range t.byID {
		out[m.host] = hostState{m.unresponsive(now), m.storeUnreachable}
	}
	return out
}

// live returns the hosts to which callers may be directed.
func (t *memberTable) live(now time.Time) []view.Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []view.Host
	for _, m := range t.byID {
		if m.ready && !m.draining && !m.unresponsive(now) {
			out = append(out, m.host)
		}
	}
	return out
}

func (t *memberTable) contactedWithin(id string, age time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.byID[id]
	return m != nil && now.Sub(m.lastContact) < age
}

// removeExpired removes the hosts that no longer share limits.
func (t *memberTable) removeExpired(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, m := range t.byID {
		if now.Sub(m.lastContact) > memberTimeout || m.draining && m.unresponsive(now) {
			delete(t.byID, id)
		}
	}
}

// countHosts returns the number of hosts that share limits, including this one, and the
// share of them that is unresponsive.
func (t *memberTable) countHosts(now time.Time) hostCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.count.hosts > 0 && now.Sub(t.countedAt) < hostCountTTL {
		return t.count
	}
	count, unresponsive := 1, 0
	for _, m := range t.byID {
		if now.Sub(m.lastContact) > memberTimeout || m.draining && m.unresponsive(now) {
			continue
		}
		count++
		if m.unresponsive(now) {
			unresponsive++
		}
	}
	t.count, t.countedAt = hostCount{count, float64(unresponsive) / float64(count)}, now
	return t.count
}
