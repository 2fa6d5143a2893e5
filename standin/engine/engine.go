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

// ReceivedRequest is a request as it arrived at the engine.
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
	options     Options
	mux         *http.ServeMux
	prefillSlot chan struct{} // semaphore that admits one prefill at a time

	mu                   sync.Mutex
	epoch                string
	weightsVersion       string
	models               map[string]bool
	adapters             map[string]bool
	role                 string
	highestFencingToken  uint64
	draining             bool
	faults               Faults
	counters             Counters
	cache                *cache
	streams              map[string]*stream
	running              int
	waiting              waitingHeap
	lastArrival          uint64
	pendingPrefillTokens int
	loadReports          []loadReport
	received             []ReceivedRequest
	receivedBytes        int
}

// New returns an engine with a new epoch and an empty cache.
func New(o Options) *Engine {
	o = o.withDefaults()
	e := &Engine{
		options: o, prefillSlot: make(chan struct{}, 1), epoch: uuid.NewString(),
		weightsVersion: o.WeightsVersion, models: map[string]bool{}, adapters: map[string]bool{}, cache: newCache(o),
		streams: map[string]*stream{},
	}
	for _, m := range o.Models {
		e.models[m] = true
	}
	e.recordLoadReport()
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST /v1/completions", e.handleCompletion)
	e.mux.HandleFunc("POST /v1/chat/completions", e.handleCompletion)
	e.mux.HandleFunc("GET /v1/streams/{id}", e.handleResume)
	e.mux.HandleFunc("DELETE /v1/streams/{id}", e.handleCancel)
	e.mux.HandleFunc("GET /v1/load", e.handleLoad)
	e.mux.HandleFunc("GET /v1/cache/events", e.handleCacheEvents)
	e.mux.HandleFunc("POST /v1/kv/export", e.handleKVExport)
	e.mux.HandleFunc("POST /v1/kv/import", e.handleKVImport)
	e.mux.HandleFunc("POST /v1/orders", e.handleOrder)
	return e
}

// CompletionToken returns the token at an index of a prompt's completion.
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

// CompletionText returns the first count tokens of a prompt's completion.
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

// SetDraining sets whether the engine reports that it is draining and rejects new
// requests.
func (e *Engine) SetDraining(draining bool) {
	e.mu.Lock()
	e.draining = draining
	e.recordLoadReport()
	e.mu.Unlock()
}

// Crash aborts all streams, empties the cache and starts a new epoch.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.epoch = uuid.NewString()
	everStored := e.cache.everStored
	e.cache = newCache(e.options)
	e.cache.everStored = everStored
	for _, s := range e.streams {
		s.end(streamCrashed)
	}
	e.streams = map[string]*stream{}
	for _, w := range e.waiting {
		close(w.start)
	}
	e.waiting, e.running, e.pendingPrefillTokens = nil, 0, 0
	e.loadReports = nil
	e.recordLoadReport()
}

// Epoch returns the current epoch.
func (e *Engine) Epoch() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.epoch
}

// Counters returns the counts of work over all epochs.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counters
}

// ReceivedRequests returns the most recent requests: at most 1,024, with at most 16 MiB
// of bodies.
func (e *Engine) ReceivedRequests() []ReceivedRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]ReceivedRequest(nil), e.received...)
}

// recordRequest records a request for ReceivedRequests. The caller holds the mutex.
func (e *Engine) recordRequest(r ReceivedRequest) {
	e.received = append(e.received, r)
	e.receivedBytes += len(r.Body)
	for len(e.received) > maxReceivedRequests || e.receivedBytes > maxReceivedBytes {
		e.receivedBytes -= len(e.received[0].Body)
		e.received = e.received[1:]
	}
}

// CachedPrefixBlocks returns the number of leading blocks of a chain that are cached,
// without marking them as used. Tests compare a router's index of the cache with it.
func (e *Engine) CachedPrefixBlocks(chain []prefix.BlockHash) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.cachedPrefix(chain)
}

// Loaded reports whether a model and whether an adapter is loaded. An empty name counts
// as loaded.
func (e *Engine) Loaded(model, adapter string) (bool, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.modelLoaded(model), adapter == "" || e.adapters[adapter]
}

// modelLoaded reports whether a model is loaded. The caller holds the mutex.
func (e *Engine) modelLoaded(model string) bool {
	return len(e.options.Models) == 0 || model == "" || e.models[model]
}

// Role returns the role that the last order set.
func (e *Engine) Role() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role
}

// WeightsVersion returns the version of the loaded weights.
func (e *Engine) WeightsVersion() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.weightsVersion
}

// loadReport is the response of GET /v1/load.
type loadReport struct {
	Epoch                string `json:"epoch"`
	Running              int    `json:"running"`
	Waiting              int    `json:"waiting"`
	PendingPrefillTokens int    `json:"pending_prefill_tokens"`
	Draining             bool   `json:"draining"`
	WeightsVersion       string `json:"weights_version"`
	MeasuredAtMs         int64  `json:"measured_at_ms"`
	recordedAt           time.Time
}

// maxLoadReports bounds the reports that are recorded for LoadReportAge.
const maxLoadReports = 4096

// recordLoadReport records the current load, which handleLoad reports once it has the
// configured age. The caller holds the mutex.
func (e *Engine) recordLoadReport() {
	now := time.Now()
	e.loadReports = append(e.loadReports, loadReport{
		Epoch: e.epoch, Running: e.running, Waiting: len(e.waiting), PendingPrefillTokens: e.pendingPrefillTokens,
		Draining: e.draining, WeightsVersion: e.weightsVersion, MeasuredAtMs: now.UnixMilli(), recordedAt: now,
	})
	if len(e.loadReports) > maxLoadReports {
		e.loadReports = e.loadReports[len(e.loadReports)-maxLoadReports/2:]
	}
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	cutoff := time.Now().Add(-e.options.LoadReportAge)
	newest := 0
	for newest+1 < len(e.loadReports) && !e.loadReports[newest+1].recordedAt.After(cutoff) {
		newest++
	}
	e.loadReports = e.loadReports[newest:]
	report := e.loadReports[0]
	if report.recordedAt.Before(cutoff) {
		report.MeasuredAtMs = cutoff.UnixMilli() // the load did not change until cutoff
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}
