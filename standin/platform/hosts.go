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

// HostsResponse is the response to GET /v1/hosts.
type HostsResponse struct {
	Hosts []Host `json:"hosts"`
}

// entryVersion is the state of an entry since a point in time; a nil host means that the
// entry was removed.
type entryVersion struct {
	from time.Time
	host *Host
}

type entry struct{ versions []entryVersion }

// hostList is an eventually consistent list of hosts: a change becomes visible after lag.
type hostList struct {
	mu      sync.Mutex
	lag     time.Duration
	entries map[string]*entry
}

// set records a change and removes the versions that are older than the visible one.
func (l *hostList) set(id string, h *Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if e == nil {
		e = &entry{}
		l.entries[id] = e
	}
	now := time.Now()
	for len(e.versions) > 1 && now.Sub(e.versions[1].from) >= l.lag {
		e.versions = e.versions[1:]
	}
	e.versions = append(e.versions, entryVersion{now, h})
}

func (l *hostList) visibleHosts() []Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts := []Host{}
	now := time.Now()
	for _, e := range l.entries {
		var current *Host
		for _, v := range e.versions {
			if now.Sub(v.from) >= l.lag {
				current = v.host
			}
		}
		if current != nil {
			hosts = append(hosts, *current)
		}
	}
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
	return hosts
}

// SetHost adds or replaces an entry; an empty state means live.
func (s *Server) SetHost(h Host) {
	if h.State == "" {
		h.State = "live"
	}
	s.hosts.set(h.ID, &h)
}

// RemoveHost removes an entry.
func (s *Server) RemoveHost(id string) { s.hosts.set(id, nil) }

// SetHostListLag sets the delay after which a change is visible in the host list.
func (s *Server) SetHostListLag(d time.Duration) {
	s.hosts.mu.Lock()
	defer s.hosts.mu.Unlock()
	s.hosts.lag = d
}

func (s *Server) getHosts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, HostsResponse{s.hosts.visibleHosts()})
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
