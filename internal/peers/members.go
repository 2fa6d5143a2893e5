package peers

import (
	"sync"
	"time"

	"github.com/sequoiaroad/sequoiaroad/internal/view"
)

// member is what is known of a peer.
type member struct {
	host     view.Host
	heard    time.Time
	sequence uint64
	ready    bool
	leaving  bool
	cut      bool
}

// condition is what matters of a host to those that tell it things.
type condition struct {
	silent bool
	// cut says that the store does not answer the host.
	cut bool
}

func (m *member) silent(now time.Time) bool { return now.Sub(m.heard) > liveAge }

// members is the table of the other hosts.
type members struct {
	mu   sync.Mutex
	byID map[string]*member
	// shares is renewed after sharesAge, since each request asks for it.
	shares   shares
	sharesAt time.Time
}

type shares struct {
	hosts  int
	silent float64
}

func newMembers() *members { return &members{byID: map[string]*member{}} }

// news is what a heartbeat changed.
type news struct {
	// newer is false for a heartbeat that came after a later one.
	newer bool
	// fresh says that the incarnation was not known.
	fresh bool
	// back says that the peer had been silent.
	back bool
}

// note takes a heartbeat.
func (s *members) note(h *Heartbeat, now time.Time) news {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.byID[h.From.ID]
	fresh := m == nil || m.host.Incarnation != h.From.Incarnation
	switch {
	case fresh:
		m = &member{}
		s.byID[h.From.ID] = m
	case h.Sequence <= m.sequence:
		return news{}
	}
	back := fresh || m.silent(now)
	m.host, m.heard, m.sequence, m.ready, m.leaving, m.cut = h.From, now, h.Sequence, h.Ready, h.Leaving, h.Cut
	return news{newer: true, fresh: fresh, back: back}
}

// learn adds hosts that a peer named and that were not heard yet.
func (s *members) learn(hosts []view.Host, self string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, host := range hosts {
		if host.ID != self && s.byID[host.ID] == nil {
			s.byID[host.ID] = &member{host: host, heard: now}
		}
	}
}

// all returns the hosts that were heard.
func (s *members) all(now time.Time) map[view.Host]condition {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[view.Host]condition, len(s.byID))
	for _, m := range s.byID {
		out[m.host] = condition{m.silent(now), m.cut}
	}
	return out
}

// live returns the hosts that callers may be sent to.
func (s *members) live(now time.Time) []view.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []view.Host
	for _, m := range s.byID {
		if m.ready && !m.leaving && !m.silent(now) {
			out = append(out, m.host)
		}
	}
	return out
}

func (s *members) heardWithin(id string, age time.Duration, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.byID[id]
	return m != nil && now.Sub(m.heard) < age
}

// forget drops the hosts that no longer share limits.
func (s *members) forget(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, m := range s.byID {
		if now.Sub(m.heard) > knownAge || m.leaving && m.silent(now) {
			delete(s.byID, id)
		}
	}
}

// share returns the number of hosts that share limits, with this one, and the part of
// them that is silent.
func (s *members) share(now time.Time) shares {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shares.hosts > 0 && now.Sub(s.sharesAt) < sharesAge {
		return s.shares
	}
	count, quiet := 1, 0
	for _, m := range s.byID {
		if now.Sub(m.heard) > knownAge || m.leaving && m.silent(now) {
			continue
		}
		count++
		if m.silent(now) {
			quiet++
		}
	}
	s.shares, s.sharesAt = shares{count, float64(quiet) / float64(count)}, now
	return s.shares
}
