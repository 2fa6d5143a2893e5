// Package engine is a stand-in for a model engine: it batches requests, keeps a
// prefix cache in limited memory and generates tokens that depend only on the
// prompt, the token's index and the weights version.
package engine

import (
	"sync"
	"time"
)

// Defaults of options, and limits.
const (
	defaultCacheBlocks     = 256
	defaultMaxRunning      = 8
	defaultMaxWaiting      = 1024
	defaultEventLogSize    = 8192
	defaultMaxTokens       = 16
	defaultStreamRetention = 30 * time.Second
	maxReceivedRequests    = 1024
	maxReceivedBytes       = 16 << 20
	maxRequestBytes        = 16 << 20
)

// Options configures an Engine.
type Options struct {
	// ID is the target id; it has no effect.
	ID string
	// Models lists the loaded models; empty accepts every model name.
	Models []string
	// WeightsVersion is the initial weights version.
	WeightsVersion string
	// CacheBlocks is the capacity of the prefix cache; zero means 256 blocks.
	CacheBlocks int
	// PrefillPerToken is the prefill time of an uncached prompt token; zero means none.
	PrefillPerToken time.Duration
	// DecodePerToken is the delay between tokens; zero means none.
	DecodePerToken time.Duration
	// MaxRunning limits the requests in the batch; zero means 8.
	MaxRunning int
	// MaxWaiting limits the queue, beyond which requests are rejected; zero means 1,024.
	MaxWaiting int
	// LoadReportAge is the age of the load reports that are served; zero means current ones.
	LoadReportAge time.Duration
	// EventDelay is the time until a cache event can be read; zero means no delay.
	EventDelay time.Duration
	// EventLossRate is the fraction of cache events that are lost.
	EventLossRate float64
	// EventLogSize is the number of cache events that are kept; zero means 8,192.
	EventLogSize int
	// KVBytesPerToken is the size of a token in exported KV caches. Values below 4, the
	// bytes of prompt per token, have no effect.
	KVBytesPerToken int
	// KVBytesPerSecond limits the rate of each export and import; zero means no limit.
	KVBytesPerSecond float64
	// ChecksFencing rejects orders with a fencing token below the highest one received.
	ChecksFencing bool
	// AcceptAnyResumeText continues any resume_text, like an engine that can't determine
	// which weights generated a text. Otherwise a text of other weights is rejected.
	AcceptAnyResumeText bool
	// WeightStore is shared by the engines that load from one store; nil loads without
	// delay.
	WeightStore *WeightStore
	// StreamRetention is how long a finished stream can be resumed; zero means 30 s.
	StreamRetention time.Duration
	// Seed makes the loss of events reproducible.
	Seed uint64
}

func (o Options) withDefaults() Options {
	setDefault(&o.CacheBlocks, defaultCacheBlocks)
	setDefault(&o.MaxRunning, defaultMaxRunning)
	setDefault(&o.MaxWaiting, defaultMaxWaiting)
	setDefault(&o.EventLogSize, defaultEventLogSize)
	setDefault(&o.StreamRetention, defaultStreamRetention)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Faults are the faults that tests inject. The zero value of a field disables the fault.
// Scripts set them as JSON under the field names.
type Faults struct {
	// DropAfterBytes closes the connection after this many bytes of a response body; -1
	// closes it before the response.
	DropAfterBytes int
	// DropAfterTokens closes the connection of a stream after this many tokens.
	DropAfterTokens int
	// StallAfterTokens stops writing to a stream after this many tokens.
	StallAfterTokens int
	// RefuseNotRun rejects completions with run not_run.
	RefuseNotRun bool
	// WrongID responds to completions with the id of another request.
	WrongID bool
	// CrashAfterTokens crashes the engine once a stream has this many tokens.
	CrashAfterTokens int
}

// Counters count work since the creation of the engine, over all epochs. Scripts match
// them as text under the field names.
type Counters struct {
	// Runs counts requests whose prefill began.
	Runs int
	// PromptTokens is the sum of CachedTokens and ComputedTokens.
	PromptTokens   int
	CachedTokens   int
	ComputedTokens int
	// RecomputedTokens counts computed tokens of blocks that had been cached before.
	RecomputedTokens int
	GeneratedTokens  int
	Cancelled        int
	Rejected         int
	Orders           int
}

// WeightStore simulates a store of weights with a bandwidth that concurrent loads share.
type WeightStore struct {
	// LoadTime is the duration of a load while at most FullRateLoads are in progress.
	LoadTime time.Duration
	// FullRateLoads is the number of concurrent loads at full rate; zero means 2.
	FullRateLoads int

	mu          sync.Mutex
	activeLoads int
}

// beginLoad starts a load and returns its duration.
func (s *WeightStore) beginLoad() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeLoads++
	fullRateLoads := s.FullRateLoads
	if fullRateLoads == 0 {
		fullRateLoads = 2
	}
	return s.LoadTime * time.Duration(max(s.activeLoads, fullRateLoads)) / time.Duration(fullRateLoads)
}

func (s *WeightStore) endLoad() {
	s.mu.Lock()
	s.activeLoads--
	s.mu.Unlock()
}
