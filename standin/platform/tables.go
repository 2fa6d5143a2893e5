package platform

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
)

const (
	// maxBodyBytes limits the size of request bodies.
	maxBodyBytes = 64 << 20
	// defaultScanLimit is the limit of a scan that sets none.
	defaultScanLimit = 1000
)

// Row is a row of a table.
type Row struct {
	Table   string `json:"table"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Condition holds if the row has exactly this version; version 0 means that it is absent.
type Condition struct {
	Table   string `json:"table"`
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write replaces or deletes a row.
type Write struct {
	Table  string `json:"table"`
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction is the body of POST /v1/transactions.
type Transaction struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// CommitResponse is the response to a transaction that took effect.
type CommitResponse struct {
	Version uint64 `json:"version"`
}

// ScanResponse is the response to a scan.
type ScanResponse struct {
	Rows []Row `json:"rows"`
}

type rowKey struct{ table, key string }

type tableService struct {
	mu      sync.Mutex
	version uint64
	rows    map[rowKey]Row
}

// commit applies a transaction and returns its version. If a condition does not hold, it
// returns the conflicting row, which has version 0 if it is absent.
func (t *tableService) commit(tx Transaction) (uint64, *Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range tx.Conditions {
		row := t.rows[rowKey{c.Table, c.Key}]
		if row.Version != c.Version {
			row.Table, row.Key = c.Table, c.Key
			return 0, &row
		}
	}
	t.version++
	for _, w := range tx.Writes {
		k := rowKey{w.Table, w.Key}
		if w.Delete {
			delete(t.rows, k)
			continue
		}
		t.rows[k] = Row{Table: w.Table, Key: w.Key, Value: slices.Clone(w.Value), Version: t.version}
	}
	return t.version, nil
}

func (t *tableService) get(table, key string) (Row, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[rowKey{table, key}]
	return row, ok
}

// scan returns rows in the order of their versions. Rows of one transaction share a
// version, so a page exceeds the limit to include all rows of its last version;
// otherwise a scan that continues after that version would miss some.
func (t *tableService) scan(table, prefix string, after uint64, limit int) []Row {
	t.mu.Lock()
	rows := []Row{}
	for k, row := range t.rows {
		if k.table == table && row.Version > after && strings.HasPrefix(k.key, prefix) {
			rows = append(rows, row)
		}
	}
	t.mu.Unlock()
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Key, b.Key))
	})
	end := min(limit, len(rows))
	for end > 0 && end < len(rows) && rows[end].Version == rows[end-1].Version {
		end++
	}
	return rows[:end]
}

func (s *Server) getRow(w http.ResponseWriter, r *http.Request) {
	row, ok := s.tables.get(r.PathValue("table"), r.PathValue("key"))
	if !ok {
		writeError(w, http.StatusNotFound, "no such row")
		return
	}
	writeJSON(w, http.StatusOK, row)
}

func (s *Server) scanRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, limit := uint64(0), defaultScanLimit
	var err error
	if v := q.Get("after"); v != "" {
		if after, err = strconv.ParseUint(v, 10, 64); err != nil {
			writeError(w, http.StatusBadRequest, "after is not a version")
			return
		}
	}
	if v := q.Get("limit"); v != "" && v != "0" {
		if limit, err = strconv.Atoi(v); err != nil || limit < 0 {
			writeError(w, http.StatusBadRequest, "limit is not a count")
			return
		}
	}
	writeJSON(w, http.StatusOK, ScanResponse{s.tables.scan(r.PathValue("table"), q.Get("prefix"), after, limit)})
}

func (s *Server) commit(body []byte, _ *http.Request) response {
	var tx Transaction
	if err := json.Unmarshal(body, &tx); err != nil {
		return response{http.StatusBadRequest, errorBody{err.Error()}}
	}
	version, conflict := s.tables.commit(tx)
	if conflict != nil {
		return response{http.StatusConflict, conflict}
	}
	s.applied.Add(1)
	return response{http.StatusOK, CommitResponse{version}}
}

type errorBody struct {
	Error string `json:"error"`
}

type response struct {
	status int
	body   any
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, errorBody{message})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
