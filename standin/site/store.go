// Package site is a stand-in for the users' platform: its store with the operator's
// documents, and targets that register there. It speaks the published protocol, so
// that tests cover the adapter and the whole path without the users' bench.
package site

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const maxFeedWait = 30 * time.Second

type row struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	Ver   uint64 `json:"ver"`
	Gone  bool   `json:"removed,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// Store is the platform's table service.
type Store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	version uint64
	// horizon is the version up to which history was dropped.
	horizon uint64
	changed chan struct{}
	down    bool
	calls   int
	writes  int
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{rows: map[rowKey]row{}, changed: make(chan struct{})} }

// SetDown makes the store answer 503 to every call, or serve again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// CompactHistory makes the store forget all changes so far.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.horizon = s.version
	s.wake()
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a row as the operator or a target does.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey{table, "", key}] = row{Table: table, Key: key, Value: value, Ver: s.version}
	s.wake()
}

// Delete drops a row.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(rowKey{table, "", key})
	s.wake()
}

func (s *Store) drop(id rowKey) {
	s.version++
	s.rows[id] = row{Table: id.table, Part: id.part, Key: id.key, Ver: s.version, Gone: true}
}

// Rows returns the live rows of a table in key order.
func (s *Store) Rows(table string) map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string][]byte{}
	for id, r := range s.rows {
		if id.table == table && !r.Gone {
			out[id.key] = r.Value
		}
	}
	return out
}

type answer struct {
	Rows      []row  `json:"rows"`
	Truncated bool   `json:"truncated"`
	Ver       uint64 `json:"ver"`
	NowMs     int64  `json:"now_ms"`
}

func reply(w http.ResponseWriter, status int, a answer) {
	a.NowMs = time.Now().UnixMilli()
	if a.Rows == nil {
		a.Rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that left takes no answer.
	_ = json.NewEncoder(w).Encode(a)
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/api/rows-get":
		s.get(w, r)
	case "/api/rows-feed":
		s.feed(w, r)
	case "/api/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for id, have := range s.rows {
		inRange := id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to"))
		if id.table == q.Get("table") && id.part == q.Get("part") && !have.Gone && inRange {
			found = append(found, have)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	a := answer{Ver: s.version, Rows: found}
	if len(found) > limit {
		a.Rows, a.Truncated = found[:limit], true
	}
	reply(w, http.StatusOK, a)
}

func (s *Store) changes(table string, after uint64) ([]row, uint64, bool, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for id, have := range s.rows {
		if id.table == table && have.Ver > after {
			found = append(found, have)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Ver < found[j].Ver })
	return found, s.version, after >= s.horizon, s.changed
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(q.Get("wait_ms"))
	if err != nil {
		wait = 0
	}
	timeout := time.After(min(time.Duration(wait)*time.Millisecond, maxFeedWait))
	for {
		found, version, known, changed := s.changes(q.Get("table"), after)
		if !known {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(found) > 0 {
			reply(w, http.StatusOK, answer{Rows: found, Ver: version})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			reply(w, http.StatusOK, answer{Ver: version})
			return
		}
	}
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expected_rev"`
		Writes   []row `json:"writes"`
		Drop     []row `json:"drop"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	for _, e := range tx.Expected {
		have := s.rows[e.id()]
		if have.Gone {
			have.Ver = 0
		}
		if have.Ver != e.Ver {
			reply(w, http.StatusPreconditionFailed, answer{Ver: s.version, Rows: []row{have}})
			return
		}
	}
	s.version++
	for _, e := range tx.Writes {
		e.Ver = s.version
		s.rows[e.id()] = e
	}
	for _, e := range tx.Drop {
		s.rows[e.id()] = row{Table: e.Table, Part: e.Part, Key: e.Key, Ver: s.version, Gone: true}
	}
	s.wake()
	reply(w, http.StatusOK, answer{Ver: s.version})
}

// Serve serves a handler on a loopback port until the returned function is called.
func Serve(handler http.Handler) (address string, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: handler}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener) // always ends with ErrServerClosed
	}()
	return listener.Addr().String(), func() {
		_ = server.Close()
		<-done
	}, nil
}
