package engine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
)

// Header names of the engine protocol.
const (
	EpochHeader    = "X-Engine-Epoch"
	DrainingHeader = "X-Engine-Draining"
)

// ReceivedRequests is a request as the engine saw it.
type ReceivedRequest struct {
	Method   string
	Path     string
	RawQuery string
	Header   http.Header
	Trailer  http.Header
	Body     string
}

// Engine is an http.Handler that behaves like a model engine.
type Engine struct {
	options Options
	mux     *http.ServeMux
	prefill chan struct{} // one prefill at a time

	mu             sync.Mutex
	epoch          string
	weightsVersion string
	models         map[string]bool
	adapters       map[string]bool
	role           string
	fencing        uint64
	draining       bool
	faults         Faults
	counters       Counters
	cache          *cache
	streams        map[string]*stream
	running        int
	waiting        waitingHeap
	arrivals       uint64
	pendingPrefill int
	history        []loadReport
	received       []ReceivedRequest
	receivedBytes  int
}

// New starts an engine with a new epoch and an empty cache.
func New(o Options) *Engine {
	o = o.withDefaults()
	e := &Engine{
		options: o, prefill: make(chan struct{}, 1), epoch: uuid.NewString(),
		weightsVersion: o.WeightsVersion, models: map[string]bool{}, adapters: map[string]bool{}, cache: newCache(o),
		streams: map[string]*stream{},
	}
	for _, m := range o.Models {
		e.models[m] = true
	}
	e.recordLoad()
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST /v1/completions", e.complete)
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("GET /v1/streams/{id}", e.resume)
	e.mux.HandleFunc("DELETE /v1/streams/{id}", e.cancel)
	e.mux.HandleFunc("GET /v1/load", e.load)
	e.mux.HandleFunc("GET /v1/cache/events", e.cacheEvents)
	e.mux.HandleFunc("POST /v1/kv/export", e.exportKV)
	e.mux.HandleFunc("POST /v1/kv/import", e.importKV)
	e.mux.HandleFunc("POST /v1/orders", e.order)
	return e
}

// CompletionToken returns the token at an index of the completion of a prompt.
func CompletionToken(prompt []byte, index int, weightsVersion string) string {
	digest := sha256.Sum256(prompt)
	return token(digest, index, weightsVersion)
}

func token(promptDigest [sha256.Size]byte, index int, weightsVersion string) string {
	h := sha256.New()
	h.Write(promptDigest[:])
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(index)))
	h.Write([]byte(weightsVersion))
	return " " + hex.EncodeToString(h.Sum(nil)[:3])
}

// CompletionText returns the first count tokens of the completion of a prompt.
func CompletionText(prompt []byte, count int, weightsVersion string) string {
	digest := sha256.Sum256(prompt)
	var text strings.Builder
	for i := range count {
		text.WriteString(token(digest, i, weightsVersion))
	}
	return text.String()
}

// SetFaults replaces the active faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	e.faults = f
	e.mu.Unlock()
}

// SetDraining makes the engine report that it is leaving and reject new work.
func (e *Engine) SetDraining(draining bool) {
	e.mu.Lock()
	e.draining = draining
	e.recordLoad()
	e.mu.Unlock()
}

// Crash drops all streams and the cache and starts a new epoch.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.epoch = uuid.NewString()
	seen := e.cache.seen
	e.cache = newCache(e.options)
	e.cache.seen = seen
	for _, s := range e.streams {
		s.finish(endCrashed)
	}
	e.streams = map[string]*stream{}
	for _, w := range e.waiting {
		close(w.start)
	}
	e.waiting, e.running, e.pendingPrefill = nil, 0, 0
	e.history = nil
	e.recordLoad()
}

// Epoch returns the current epoch.
func (e *Engine) Epoch() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.epoch
}

// Counters returns the work done so far.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counters
}

// ReceivedRequests returns the most recent requests, at most 1,024 and 16 MiB of bodies.
func (e *Engine) ReceivedRequests() []ReceivedRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]ReceivedRequest(nil), e.received...)
}

// recordReceived keeps a request for tests. The caller holds the mutex.
func (e *Engine) recordReceived(r ReceivedRequest) {
	e.received = append(e.received, r)
	e.receivedBytes += len(r.Body)
	for len(e.received) > maxReceived || e.receivedBytes > maxReceivedBytes {
		e.receivedBytes -= len(e.received[0].Body)
		e.received = e.received[1:]
	}
}

// CachedPrefixBlocks reports how many blocks of a chain are cached from its start, without
// touching their order of use. It is the oracle of cache contents.
func (e *Engine) CachedPrefixBlocks(chain []prefix.BlockHash) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.held(chain)
}

// Loaded reports whether a model is served and whether an adapter is loaded; an empty
// name is always loaded.
func (e *Engine) Loaded(model, adapter string) (bool, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.serves(model), adapter == "" || e.adapters[adapter]
}

// serves reports whether a model is loaded. The caller holds the mutex.
func (e *Engine) serves(model string) bool {
	return len(e.options.Models) == 0 || model == "" || e.models[model]
}

// Role returns the role that the last order set.
func (e *Engine) Role() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role
}

// WeightsVersion returns the version that is loaded.
func (e *Engine) WeightsVersion() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.weightsVersion
}

type loadReport struct {
	Epoch                string `json:"epoch"`
	Running              int    `json:"running"`
	Waiting              int    `json:"waiting"`
	PendingPrefillTokens int    `json:"pending_prefill_tokens"`
	Draining             bool   `json:"draining"`
	WeightsVersion       string `json:"weights_version"`
	MeasuredAtMs         int64  `json:"measured_at_ms"`
	at                   time.Time
}

// maxLoadHistory bounds the reports kept for the lag.
const maxLoadHistory = 4096

// recordLoad keeps a report for later delivery. The caller holds the mutex.
func (e *Engine) recordLoad() {
	now := time.Now()
	e.history = append(e.history, loadReport{
		Epoch: e.epoch, Running: e.running, Waiting: len(e.waiting), PendingPrefillTokens: e.pendingPrefill,
		Draining: e.draining, WeightsVersion: e.weightsVersion, MeasuredAtMs: now.UnixMilli(), at: now,
	})
	if len(e.history) > maxLoadHistory {
		e.history = e.history[len(e.history)-maxLoadHistory/2:]
	}
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	visible := time.Now().Add(-e.options.LoadReportAge)
	kept := 0
	for kept+1 < len(e.history) && !e.history[kept+1].at.After(visible) {
		kept++
	}
	e.history = e.history[kept:]
	report := e.history[0]
	if report.at.Before(visible) {
		report.MeasuredAtMs = visible.UnixMilli() // the state has not changed in between
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}
