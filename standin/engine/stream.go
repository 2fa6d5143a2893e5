package engine

import (
	"container/heap"
	"crypto/sha256"
	"sync"
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
)

type streamState int

const (
	streamRunning streamState = iota
	streamComplete
	streamCancelled
	streamCrashed
)

// stream is an accepted request. Readers follow it by token index.
type stream struct {
	id        string
	chat      bool
	model     string
	prompt    []byte
	salt      prefix.BlockHash
	chain     []prefix.BlockHash
	priority  int
	first     int // index of the first token to generate
	maxTokens int
	stop      chan struct{}
	// pendingTokens counts the prompt tokens to prefill; waiter is nil for a stream that
	// joined the batch without waiting. Both are set by admit.
	pendingTokens int
	waiter        *waiter

	mu             sync.Mutex
	changed        chan struct{}
	tokens         []string
	cachedTokens   int
	weightsVersion string
	state          streamState
}

func (s *stream) append(text string) {
	s.mu.Lock()
	s.tokens = append(s.tokens, text)
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
}

// end ends the stream in the given state. Later calls have no effect.
func (s *stream) end(state streamState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != streamRunning {
		return
	}
	s.state = state
	close(s.stop)
	close(s.changed)
	s.changed = make(chan struct{})
}

// next returns the token at an index and true, or else the state of the stream and a
// channel that is closed at its next change.
func (s *stream) next(index int) (text string, ok bool, state streamState, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := index - s.first; i >= 0 && i < len(s.tokens) {
		return s.tokens[i], true, streamRunning, nil
	}
	return "", false, s.state, s.changed
}

// waiter is a request in the queue; start is closed when it joins the batch.
type waiter struct {
	priority int
	arrival  uint64
	start    chan struct{}
}

// waitingHeap orders waiting requests: lower priority values first, then by arrival.
type waitingHeap []*waiter

func (h waitingHeap) Len() int      { return len(h) }
func (h waitingHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h waitingHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].arrival < h[j].arrival
}

// Push implements heap.Interface.
func (h *waitingHeap) Push(x any) { *h = append(*h, x.(*waiter)) }

// Pop implements heap.Interface.
func (h *waitingHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// run carries out an accepted stream: queueing, prefill and decoding.
func (e *Engine) run(s *stream, epoch string) {
	if s.waiter != nil && !e.awaitSlot(s, epoch) {
		return
	}
	defer e.releaseSlot(epoch)
	digest := sha256.Sum256(s.prompt)
	if !e.runPrefill(s, epoch) {
		return
	}
	for i := s.first; i < s.maxTokens; i++ {
		if !sleepUnlessStopped(s.stop, e.options.DecodePerToken) {
			return
		}
		s.append(token(digest, i, s.weightsVersion))
		e.mu.Lock()
		e.counters.GeneratedTokens++
		crash := e.faults.CrashAfterTokens > 0 && i+1 >= e.faults.CrashAfterTokens
		if crash {
			e.faults.CrashAfterTokens = 0
		}
		e.mu.Unlock()
		if crash {
			e.Crash()
			return
		}
	}
	s.end(streamComplete)
	time.AfterFunc(e.options.StreamRetention, func() { e.removeStream(s) })
}

func (e *Engine) removeStream(s *stream) {
	e.mu.Lock()
	if e.streams[s.id] == s {
		delete(e.streams, s.id)
	}
	e.mu.Unlock()
}

// admit adds an accepted stream to the batch, or to the queue if the batch is full. The
// caller holds the mutex, so that every load report includes all accepted streams.
func (e *Engine) admit(s *stream) {
	s.pendingTokens = prefix.Tokens(len(s.prompt)) - e.cache.cachedPrefix(s.chain)*prefix.BlockBytes/prefix.BytesPerToken
	e.pendingPrefillTokens += s.pendingTokens
	if e.running < e.options.MaxRunning && len(e.waiting) == 0 {
		e.running++
		e.recordLoadReport()
		return
	}
	e.lastArrival++
	s.waiter = &waiter{s.priority, e.lastArrival, make(chan struct{})}
	heap.Push(&e.waiting, s.waiter)
	e.recordLoadReport()
}

// awaitSlot waits until the stream joins the batch. It returns false if the stream ended
// first.
func (e *Engine) awaitSlot(s *stream, epoch string) bool {
	select {
	case <-s.waiter.start:
	case <-s.stop:
	}
	return e.finishWait(s, epoch)
}

// finishWait updates the counts after a wait that a start, a cancellation or a crash
// ended. It reports whether the stream may run.
func (e *Engine) finishWait(s *stream, epoch string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.epoch != epoch {
		return false
	}
	stopped := false
	select {
	case <-s.stop:
		stopped = true
	default:
	}
	if !stopped {
		return true
	}
	e.pendingPrefillTokens -= s.pendingTokens
	for i, w := range e.waiting {
		if w == s.waiter {
			heap.Remove(&e.waiting, i)
			e.recordLoadReport()
			return false
		}
	}
	e.running-- // the stream joined the batch just before it was cancelled
	e.fillBatch()
	e.recordLoadReport()
	return false
}

// fillBatch moves waiting requests to the batch while it has room. The caller holds the
// mutex.
func (e *Engine) fillBatch() {
	for e.running < e.options.MaxRunning && len(e.waiting) > 0 {
		w := heap.Pop(&e.waiting).(*waiter)
		e.running++
		close(w.start)
	}
}

// releaseSlot removes an ended stream from the batch, unless the engine crashed since.
func (e *Engine) releaseSlot(epoch string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.epoch != epoch {
		return
	}
	e.running--
	e.fillBatch()
	e.recordLoadReport()
}

// runPrefill computes the uncached part of the prompt and caches its blocks. It returns
// false if the stream ended first.
func (e *Engine) runPrefill(s *stream, epoch string) bool {
	select {
	case e.prefillSlot <- struct{}{}:
	case <-s.stop:
		e.subtractPendingPrefill(epoch, s.pendingTokens)
		return false
	}
	defer func() { <-e.prefillSlot }()
	chain := s.chain
	total := prefix.Tokens(len(s.prompt))
	e.mu.Lock()
	cachedBlocks := e.cache.usePrefix(chain)
	cachedTokens := cachedBlocks * prefix.BlockBytes / prefix.BytesPerToken
	e.counters.Runs++
	e.counters.PromptTokens += total
	e.counters.CachedTokens += cachedTokens
	e.counters.ComputedTokens += total - cachedTokens
	for _, h := range chain[cachedBlocks:] {
		if e.cache.everStored[h] {
			e.counters.RecomputedTokens += prefix.BlockBytes / prefix.BytesPerToken
		}
	}
	version := e.weightsVersion
	e.mu.Unlock()
	s.mu.Lock()
	s.cachedTokens, s.weightsVersion = cachedTokens, version
	s.mu.Unlock()
	finished := sleepUnlessStopped(s.stop, time.Duration(total-cachedTokens)*e.options.PrefillPerToken)
	e.subtractPendingPrefill(epoch, s.pendingTokens)
	if !finished {
		return false
	}
	e.storeChain(s, epoch, version, chain)
	return true
}

func (e *Engine) subtractPendingPrefill(epoch string, tokens int) {
	e.mu.Lock()
	if e.epoch == epoch {
		e.pendingPrefillTokens -= tokens
		e.recordLoadReport()
	}
	e.mu.Unlock()
}

// storeChain caches the blocks of a prompt, unless the engine crashed or loaded other
// weights during the prefill.
func (e *Engine) storeChain(s *stream, epoch, version string, chain []prefix.BlockHash) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.epoch != epoch || e.weightsVersion != version {
		return
	}
	now, previous := time.Now(), s.salt
	for i, h := range chain {
		content := append([]byte(nil), s.prompt[i*prefix.BlockBytes:(i+1)*prefix.BlockBytes]...)
		e.cache.store(&block{h, previous, s.salt, content}, now)
		previous = h
	}
}

// sleepUnlessStopped sleeps for d. It returns false if stop is closed first.
func sleepUnlessStopped(stop <-chan struct{}, d time.Duration) bool {
	if d <= 0 {
		select {
		case <-stop:
			return false
		default:
			return true
		}
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-stop:
		return false
	}
}
