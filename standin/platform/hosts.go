package platform

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Host is an entry of the host list.
type Host struct {
	ID      string `json:"id"`
	Role    string `json:"role"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
}

// Hosts is the answer of GET /v1/hosts.
type Hosts struct {
	Hosts []Host `json:"hosts"`
}

// listedVersion is a state of an entry from a point in time on; a nil host means
// that the entry is gone.
type listedVersion struct {
	from time.Time
	host *Host
}

type listed struct{ versions []listedVersion }

type hostList struct {
	mu      sync.Mutex
	lag     time.Duration
	entries map[string]*listed
}

// set records a change and drops versions that no reader can see any more.
func (l *hostList) set(id string, h *Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if e == nil {
		e = &listed{}
		l.entries[id] = e
	}
	now := time.Now()
	for len(e.versions) > 1 && now.Sub(e.versions[1].from) >= l.lag {
		e.versions = e.versions[1:]
	}
	e.versions = append(e.versions, listedVersion{now, h})
}

func (l *hostList) visible() []Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := []Host{}
	now := time.Now()
	for _, e := range l.entries {
		var current *Host
		for _, v := range e.versions {
			if now.Sub(v.from) >= l.lag {
				current = v.host
			}
		}
		if current != nil {
			seen = append(seen, *current)
		}
	}
	slices.SortFunc(seen, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
	return seen
}

// SetHost registers or replaces an entry; an empty state means live.
func (s *Server) SetHost(h Host) {
	if h.State == "" {
		h.State = "live"
	}
	s.hosts.set(h.ID, &h)
}

// RemoveHost removes an entry.
func (s *Server) RemoveHost(id string) { s.hosts.set(id, nil) }

// SetHostListLag sets the delay after which a change shows in the list.
func (s *Server) SetHostListLag(d time.Duration) {
	s.hosts.mu.Lock()
	defer s.hosts.mu.Unlock()
	s.hosts.lag = d
}

func (s *Server) getHosts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, Hosts{s.hosts.visible()})
}

func (s *Server) putHost(w http.ResponseWriter, r *http.Request) {
	var h Host
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&h); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	h.ID = r.PathValue("id")
	s.SetHost(h)
	writeJSON(w, http.StatusOK, h)
}

func (s *Server) deleteHost(w http.ResponseWriter, r *http.Request) {
	s.RemoveHost(r.PathValue("id"))
	writeJSON(w, http.StatusOK, struct{}{})
}
