package engine

import (
	"container/heap"
	"crypto/sha256"
	"sync"
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
)

type ending int

const (
	stillRunning ending = iota
	endComplete
	endCancelled
	endCrashed
)

// stream is one accepted request; readers follow it by token index.
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
	// pending counts the prompt tokens to prefill; waiter is nil for a stream that got
	// its place in the batch at once. Both are set by admit.
	pending int
	waiter  *waiter

	mu             sync.Mutex
	changed        chan struct{}
	tokens         []string
	cached         int
	weightsVersion string
	end            ending
}

func (s *stream) append(text string) {
	s.mu.Lock()
	s.tokens = append(s.tokens, text)
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
}

// finish ends the stream; the first ending counts.
func (s *stream) finish(end ending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.end != stillRunning {
		return
	}
	s.end = end
	close(s.stop)
	close(s.changed)
	s.changed = make(chan struct{})
}

// next returns the token at an index, or the ending, or a channel to wait on.
func (s *stream) next(index int) (text string, ok bool, end ending, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := index - s.first; i >= 0 && i < len(s.tokens) {
		return s.tokens[i], true, stillRunning, nil
	}
	return "", false, s.end, s.changed
}

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

// run takes an accepted stream through the queue, prefill and decoding.
func (e *Engine) run(s *stream, epoch string) {
	if s.waiter != nil && !e.awaitBatch(s, epoch) {
		return
	}
	defer e.leaveBatch(epoch)
	digest := sha256.Sum256(s.prompt)
	if !e.doPrefill(s, epoch) {
		return
	}
	for i := s.first; i < s.maxTokens; i++ {
		if !sleepUnless(s.stop, e.options.DecodePerToken) {
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
	s.finish(endComplete)
	time.AfterFunc(e.options.StreamRetention, func() { e.forget(s) })
}

func (e *Engine) forget(s *stream) {
	e.mu.Lock()
	if e.streams[s.id] == s {
		delete(e.streams, s.id)
	}
	e.mu.Unlock()
}

// admit takes a place in the batch for an accepted stream, or one in the queue. The
// caller holds the mutex, so that a load report never leaves out an accepted stream.
func (e *Engine) admit(s *stream) {
	s.pending = prefix.Tokens(len(s.prompt)) - e.cache.held(s.chain)*prefix.BlockBytes/prefix.BytesPerToken
	e.pendingPrefill += s.pending
	if e.running < e.options.MaxRunning && len(e.waiting) == 0 {
		e.running++
		e.recordLoad()
		return
	}
	e.arrivals++
	s.waiter = &waiter{s.priority, e.arrivals, make(chan struct{})}
	heap.Push(&e.waiting, s.waiter)
	e.recordLoad()
}

// awaitBatch waits for a place in the batch. It returns false if the stream ended first.
func (e *Engine) awaitBatch(s *stream, epoch string) bool {
	select {
	case <-s.waiter.start:
	case <-s.stop:
	}
	return e.afterWait(s, epoch)
}

// afterWait settles a wait that ended by a start, a cancellation or a crash.
func (e *Engine) afterWait(s *stream, epoch string) bool {
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
	e.pendingPrefill -= s.pending
	for i, other := range e.waiting {
		if other == s.waiter {
			heap.Remove(&e.waiting, i)
			e.recordLoad()
			return false
		}
	}
	e.running-- // it was started just before it was cancelled
	e.startWaiting()
	e.recordLoad()
	return false
}

// startWaiting fills the batch. The caller holds the mutex.
func (e *Engine) startWaiting() {
	for e.running < e.options.MaxRunning && len(e.waiting) > 0 {
		w := heap.Pop(&e.waiting).(*waiter)
		e.running++
		close(w.start)
	}
}

func (e *Engine) leaveBatch(epoch string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.epoch != epoch {
		return
	}
	e.running--
	e.startWaiting()
	e.recordLoad()
}

// doPrefill computes the uncached part of the prompt and caches its blocks.
func (e *Engine) doPrefill(s *stream, epoch string) bool {
	select {
	case e.prefill <- struct{}{}:
	case <-s.stop:
		e.releasePending(epoch, s.pending)
		return false
	}
	defer func() { <-e.prefill }()
	chain := s.chain
	total := prefix.Tokens(len(s.prompt))
	e.mu.Lock()
	held := e.cache.match(chain)
	cached := held * prefix.BlockBytes / prefix.BytesPerToken
	e.counters.Runs++
	e.counters.PromptTokens += total
	e.counters.CachedTokens += cached
	e.counters.ComputedTokens += total - cached
	for _, h := range chain[held:] {
		if e.cache.seen[h] {
			e.counters.RecomputedTokens += prefix.BlockBytes / prefix.BytesPerToken
		}
	}
	version := e.weightsVersion
	e.mu.Unlock()
	s.mu.Lock()
	s.cached, s.weightsVersion = cached, version
	s.mu.Unlock()
	finished := sleepUnless(s.stop, time.Duration(total-cached)*e.options.PrefillPerToken)
	e.releasePending(epoch, s.pending)
	if !finished {
		return false
	}
	e.storeChain(s, epoch, version, chain)
	return true
}

func (e *Engine) releasePending(epoch string, tokens int) {
	e.mu.Lock()
	if e.epoch == epoch {
		e.pendingPrefill -= tokens
		e.recordLoad()
	}
	e.mu.Unlock()
}

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

// sleepUnless waits and returns false if stop closes first.
func sleepUnless(stop <-chan struct{}, d time.Duration) bool {
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
