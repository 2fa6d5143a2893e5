// Package engine is a stand-in for a model engine: it batches requests, keeps a
// prefix cache in limited memory and generates tokens that depend only on the
// prompt, the token's index and the weights version.
package engine

import (
	"sync"
	"time"
)

// Defaults for options that are left zero.
const (
	defaultCacheBlocks     = 256
	defaultMaxRunning      = 8
	defaultMaxWaiting      = 1024
	defaultEventLog        = 8192
	defaultMaxTokens       = 16
	defaultStreamRetention = 30 * time.Second
	maxReceived            = 1024
	maxReceivedBytes       = 16 << 20
	maxRequestBytes        = 16 << 20
)

// Options sets up an engine.
type Options struct {
	// ID is the target id; it is only reported back.
	ID string
	// Models lists the models served; empty serves every name.
	Models []string
	// WeightsVersion is the version at the start.
	WeightsVersion string
	// CacheBlocks limits the prefix cache; zero means 256 blocks.
	CacheBlocks int
	// PrefillPerToken is the cost of an uncached prompt token; zero means none.
	PrefillPerToken time.Duration
	// DecodePerToken is the delay between tokens; zero means none.
	DecodePerToken time.Duration
	// MaxRunning limits the batch; zero means 8.
	MaxRunning int
	// MaxWaiting limits the queue, beyond which requests are rejected; zero means 1,024.
	MaxWaiting int
	// LoadReportAge is the age of the load reports; zero means current ones.
	LoadReportAge time.Duration
	// EventDelay is the time until a cache event can be read; zero means none.
	EventDelay time.Duration
	// EventLossRate is the fraction of cache events that are lost.
	EventLossRate float64
	// EventLogSize is the number of events kept; zero means 8,192.
	EventLogSize int
	// KVBytesPerToken is the size of exported KV caches; below 4, the size of the
	// prompt's bytes, it has no effect.
	KVBytesPerToken int
	// KVBytesPerSecond limits exports and imports in bytes per second each; zero means no limit.
	KVBytesPerSecond float64
	// ChecksFencing rejects orders whose fencing number is below the highest seen.
	ChecksFencing bool
	// AcceptAnyResumeText continues any resume_text, as an engine does that can't tell which
	// weights a text comes from. Otherwise a text of other weights is rejected.
	AcceptAnyResumeText bool
	// WeightStore is shared by the engines that load from one store; nil loads at once.
	WeightStore *WeightStore
	// StreamRetention is how long a finished stream can be resumed; zero means 30 s.
	StreamRetention time.Duration
	// Seed makes the loss of events repeatable.
	Seed uint64
}

func (o Options) withDefaults() Options {
	setDefault(&o.CacheBlocks, defaultCacheBlocks)
	setDefault(&o.MaxRunning, defaultMaxRunning)
	setDefault(&o.MaxWaiting, defaultMaxWaiting)
	setDefault(&o.EventLogSize, defaultEventLog)
	setDefault(&o.StreamRetention, defaultStreamRetention)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Faults are switched on by tests. A zero field is off.
type Faults struct {
	// DropAfterBytes closes the connection once so many bytes of a response body
	// are written; -1 closes it before the response.
	DropAfterBytes int
	// DropAfterTokens closes the connection of a stream after so many tokens.
	DropAfterTokens int
	// StallAfterTokens stops writing to a stream after so many tokens.
	StallAfterTokens int
	// RefuseNotRun rejects completions with run not_run.
	RefuseNotRun bool
	// WrongID answers completions under another request's id.
	WrongID bool
	// CrashAfterTokens crashes the engine once a stream has so many tokens.
	CrashAfterTokens int
}

// Counters count work since the stand-in was made, over all epochs.
type Counters struct {
	// Runs counts requests whose prefill began.
	Runs int
	// PromptTokens is the sum of CachedTokens and ComputedTokens.
	PromptTokens   int
	CachedTokens   int
	ComputedTokens int
	// RecomputedTokens are computed tokens of blocks that the engine held before.
	RecomputedTokens int
	GeneratedTokens  int
	Cancelled        int
	Rejected         int
	Orders           int
}

// WeightStore is a weight store whose rate is shared by concurrent loads.
type WeightStore struct {
	// LoadTime is the time of a load while at most FullRateLoads are in progress.
	LoadTime time.Duration
	// FullRateLoads is the number of loads at full rate; zero means 2.
	FullRateLoads int

	mu      sync.Mutex
	loading int
}

// begin starts a load and returns its duration.
func (s *WeightStore) begin() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading++
	full := s.FullRateLoads
	if full == 0 {
		full = 2
	}
	return s.LoadTime * time.Duration(max(s.loading, full)) / time.Duration(full)
}

func (s *WeightStore) end() {
	s.mu.Lock()
	s.loading--
	s.mu.Unlock()
}
