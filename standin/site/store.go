// Package site is a stand-in for the users' platform: its store with the operator's
// documents, and targets that register there. It implements the published protocol, so
// that tests cover the adapter and the whole request path without the users' test bench.
package site

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

const maxFeedWait = 30 * time.Second

type row struct {
	Table     string `json:"table"`
	Partition string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   uint64 `json:"ver"`
	Removed   bool   `json:"removed,omitempty"`
}

type rowKey struct{ table, partition, key string }

func (r row) id() rowKey { return rowKey{r.Table, r.Partition, r.Key} }

// change is the state of a row since a time.
type change struct {
	at  time.Time
	row row
}

// Store is the platform's table service.
type Store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	version uint64
	// compactedVersion is the version up to which changes are no longer available.
	compactedVersion uint64
	// era counts the restorations from an older copy, from 1.
	era uint64
	// history holds the state of each changed row after its change, in order.
	history  []change
	changed  chan struct{}
	down     bool
	requests int
	writes   int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rows: map[rowKey]row{}, era: 1, changed: make(chan struct{})}
}

// SetDown sets whether the store responds to every request with status 503.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyWatchers()
}

// CompactHistory discards all changes so far: a feed that continues from an earlier version
// gets status 410.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.compactedVersion = s.version
	s.notifyWatchers()
}

// Restore brings the store back from a copy that was made at a time: what was written since
// is gone, its versions are given out again, and the era rises. The writers of the given
// tables at once write again what they had written.
func (s *Store) Restore(copiedAt time.Time, writtenAgain ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.rows
	kept, _ := slices.BinarySearchFunc(s.history, copiedAt, func(c change, at time.Time) int { return c.at.Compare(at) })
	s.history = s.history[:kept]
	s.rows, s.version = map[rowKey]row{}, 0
	for _, c := range s.history {
		s.rows[c.row.id()], s.version = c.row, c.row.Version
	}
	s.compactedVersion = min(s.compactedVersion, s.version)
	s.era++
	for id, r := range before {
		if slices.Contains(writtenAgain, id.table) {
			s.version++
			r.Version = s.version
			s.set(r)
		}
	}
	s.notifyWatchers()
}

// Version returns the version of the newest row.
func (s *Store) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// set replaces a row. The caller holds the mutex.
func (s *Store) set(r row) {
	s.rows[r.id()] = r
	s.history = append(s.history, change{time.Now(), r})
}

// Requests returns the number of requests so far.
func (s *Store) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// notifyWatchers resumes the waiting feeds. The caller holds the mutex.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a row, like the operator or a target.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Value: value, Version: s.version})
	s.notifyWatchers()
}

// Delete removes a row.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(rowKey{table, "", key})
	s.notifyWatchers()
}

func (s *Store) remove(id rowKey) {
	s.version++
	s.set(row{Table: id.table, Partition: id.partition, Key: id.key, Version: s.version, Removed: true})
}

// Rows returns the values of the rows of a table by key.
func (s *Store) Rows(table string) map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string][]byte{}
	for id, r := range s.rows {
		if id.table == table && !r.Removed {
			out[id.key] = r.Value
		}
	}
	return out
}

// response is the body of all successful responses and of failed conditions.
type response struct {
	Rows      []row  `json:"rows"`
	Truncated bool   `json:"truncated"`
	Version   uint64 `json:"ver"`
	NowMs     int64  `json:"now_ms"`
}

func writeResponse(w http.ResponseWriter, status int, resp response) {
	resp.NowMs = time.Now().UnixMilli()
	if resp.Rows == nil {
		resp.Rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(resp) // fails only if the client closed the connection
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.requests++
	down := s.down
	s.stateEra(w)
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/api/rows-get":
		s.handleGet(w, r)
	case "/api/rows-feed":
		s.handleFeed(w, r)
	case "/api/rows-tx":
		s.handleTransaction(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stateEra(w)
	var rows []row
	for id, current := range s.rows {
		inRange := id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to"))
		if id.table == q.Get("table") && id.partition == q.Get("part") && !current.Removed && inRange {
			rows = append(rows, current)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	resp := response{Version: s.version, Rows: rows}
	if len(rows) > limit {
		resp.Rows, resp.Truncated = rows[:limit], true
	}
	writeResponse(w, http.StatusOK, resp)
}

// stateEra sets the header in which each response states the era. The caller holds the
// mutex.
func (s *Store) stateEra(w http.ResponseWriter) {
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
}

// changesAfter returns the rows of a table that changed after a version, the current
// version, whether all changes since are available, and a channel that is closed at the
// next change. It states the era of these rows.
func (s *Store) changesAfter(w http.ResponseWriter, table string, after uint64) ([]row, uint64, bool, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stateEra(w)
	var rows []row
	for id, current := range s.rows {
		if id.table == table && current.Version > after {
			rows = append(rows, current)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
	return rows, s.version, after >= s.compactedVersion && after <= s.version, s.changed
}

func (s *Store) handleFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMs, err := strconv.Atoi(q.Get("wait_ms"))
	if err != nil {
		waitMs = 0
	}
	timeout := time.After(min(time.Duration(waitMs)*time.Millisecond, maxFeedWait))
	for {
		rows, version, available, changed := s.changesAfter(w, q.Get("table"), after)
		if !available {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 {
			writeResponse(w, http.StatusOK, response{Rows: rows, Version: version})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			writeResponse(w, http.StatusOK, response{Version: version})
			return
		}
	}
}

func (s *Store) handleTransaction(w http.ResponseWriter, r *http.Request) {
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
	s.stateEra(w)
	s.writes++
	for _, expected := range tx.Expected {
		current := s.rows[expected.id()]
		if current.Removed {
			current.Version = 0
		}
		if current.Version != expected.Version {
			writeResponse(w, http.StatusPreconditionFailed, response{Version: s.version, Rows: []row{current}})
			return
		}
	}
	s.version++
	for _, write := range tx.Writes {
		write.Version = s.version
		s.set(write)
	}
	for _, dropped := range tx.Drop {
		s.set(row{Table: dropped.Table, Partition: dropped.Partition, Key: dropped.Key, Version: s.version, Removed: true})
	}
	s.notifyWatchers()
	writeResponse(w, http.StatusOK, response{Version: s.version})
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
