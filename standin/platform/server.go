// Package platform is a small stand-in for the platform's table service, object
// store and host list, kept in memory, with faults that tests set.
package platform

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Options set up a Server.
type Options struct {
	// HostListLag is the delay after which a change shows in the host list; zero
	// shows it at once.
	HostListLag time.Duration
}

// Server is the stand-in. Use New. It keeps all state in memory; a test that needs
// refused TCP connections closes the listener in front of it.
type Server struct {
	mux     *http.ServeMux
	tables  tableService
	objects objectStore
	hosts   hostList
	faults  faultState
	reads   atomic.Uint64
	writes  atomic.Uint64
	applied atomic.Uint64
	delayed sync.WaitGroup
}

// New returns an empty platform.
func New(o Options) *Server {
	s := &Server{mux: http.NewServeMux()}
	s.tables.rows = map[rowKey]Row{}
	s.objects.data = map[string][]byte{}
	s.hosts.entries = map[string]*listed{}
	s.hosts.lag = o.HostListLag
	s.mux.HandleFunc("GET /v1/tables/{table}/rows/{key...}", s.read(s.getRow))
	s.mux.HandleFunc("GET /v1/tables/{table}/rows", s.read(s.scanRows))
	s.mux.HandleFunc("POST /v1/transactions", s.write(s.commit))
	s.mux.HandleFunc("GET /v1/objects/{name...}", s.read(s.getObject))
	s.mux.HandleFunc("PUT /v1/objects/{name...}", s.write(s.putObject))
	s.mux.HandleFunc("GET /v1/hosts", s.read(s.getHosts))
	s.mux.HandleFunc("PUT /v1/hosts/{id}", s.putHost)
	s.mux.HandleFunc("DELETE /v1/hosts/{id}", s.deleteHost)
	s.mux.HandleFunc("GET /v1/faults", s.getFaults)
	s.mux.HandleFunc("PUT /v1/faults", s.putFaults)
	s.mux.HandleFunc("GET /v1/stats", s.getStats)
	return s
}

// ServeHTTP answers the platform protocol. Faults, registration in the host list
// and statistics are not subject to faults.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// WaitForDelayedWrites returns when all delayed writes were applied.
func (s *Server) WaitForDelayedWrites() { s.delayed.Wait() }

// Stats counts requests since the start.
type Stats struct {
	// Reads and Writes count requests, also those that a fault failed.
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	// Applied counts writes that took effect.
	Applied uint64 `json:"applied"`
}

// Stats returns the counters.
func (s *Server) Stats() Stats {
	return Stats{Reads: s.reads.Load(), Writes: s.writes.Load(), Applied: s.applied.Load()}
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Stats())
}
