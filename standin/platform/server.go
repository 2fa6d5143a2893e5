// Package platform is an in-memory stand-in for the platform's table service, object
// store and host list. Tests inject faults into it.
package platform

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Options configures a Server.
type Options struct {
	// HostListLag is the delay after which a change is visible in the host list; zero
	// means no delay.
	HostListLag time.Duration
}

// Server is the stand-in; New creates it. A test that needs refused TCP connections
// closes the listener that serves it.
type Server struct {
	mux           *http.ServeMux
	tables        tableService
	objects       objectStore
	hosts         hostList
	faults        faultState
	reads         atomic.Uint64
	writes        atomic.Uint64
	applied       atomic.Uint64
	delayedWrites sync.WaitGroup
}

// New returns an empty platform.
func New(o Options) *Server {
	s := &Server{mux: http.NewServeMux()}
	s.tables.rows = map[rowKey]Row{}
	s.objects.data = map[string][]byte{}
	s.hosts.entries = map[string]*entry{}
	s.hosts.lag = o.HostListLag
	s.mux.HandleFunc("GET /v1/tables/{table}/rows/{key...}", s.readHandler(s.getRow))
	s.mux.HandleFunc("GET /v1/tables/{table}/rows", s.readHandler(s.scanRows))
	s.mux.HandleFunc("POST /v1/transactions", s.writeHandler(s.commit))
	s.mux.HandleFunc("GET /v1/objects/{name...}", s.readHandler(s.getObject))
	s.mux.HandleFunc("PUT /v1/objects/{name...}", s.writeHandler(s.putObject))
	s.mux.HandleFunc("GET /v1/hosts", s.readHandler(s.getHosts))
	s.mux.HandleFunc("PUT /v1/hosts/{id}", s.putHost)
	s.mux.HandleFunc("DELETE /v1/hosts/{id}", s.deleteHost)
	s.mux.HandleFunc("GET /v1/faults", s.getFaults)
	s.mux.HandleFunc("PUT /v1/faults", s.putFaults)
	s.mux.HandleFunc("GET /v1/stats", s.getStats)
	return s
}

// ServeHTTP serves the platform protocol. Faults don't affect requests that set faults,
// change the host list or read the statistics.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// WaitForDelayedWrites returns when all delayed writes have been applied.
func (s *Server) WaitForDelayedWrites() { s.delayedWrites.Wait() }

// Stats counts requests since the creation of the server.
type Stats struct {
	// Reads and Writes count requests, including those that failed because of a fault.
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
