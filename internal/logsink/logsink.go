// Package logsink bounds logging: a slow log output never blocks the process, and no
// message can flood the log.
package logsink

import (
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	maxBufferedLines = 2048
	// maxLinesPerSecond bounds the lines with the same message text.
	maxLinesPerSecond  = 200
	dropReportInterval = 5 * time.Second
)

// Sink is a writer that never blocks: it buffers lines for the output, and drops and
// counts them when the buffer is full.
type Sink struct {
	out         io.Writer
	lines       chan []byte
	dropped     atomic.Uint64
	rateLimited atomic.Uint64

	mu             sync.Mutex
	currentSecond  int64
	countByMessage map[string]int
	closing        chan struct{}
	closed         chan struct{}
}

// New returns a sink that writes to out until Close.
func New(out io.Writer) *Sink {
	s := &Sink{
		out: out, lines: make(chan []byte, maxBufferedLines), countByMessage: map[string]int{},
		closing: make(chan struct{}), closed: make(chan struct{}),
	}
	go s.run()
	return s
}

// Write implements io.Writer. It never blocks or fails.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Exclude reports whether a line exceeds the rate limit of its message. It is meant for
// hclog.LoggerOptions.
func (s *Sink) Exclude(_ hclog.Level, message string, _ ...any) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := time.Now().Unix(); second != s.currentSecond {
		s.currentSecond = second
		clear(s.countByMessage)
	}
	s.countByMessage[message]++
	if s.countByMessage[message] <= maxLinesPerSecond {
		return false
	}
	s.rateLimited.Add(1)
	return true
}

func (s *Sink) run() {
	defer close(s.closed)
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		case <-ticker.C:
			s.reportDrops()
		case <-s.closing:
			s.drain()
			return
		}
	}
}

func (s *Sink) write(line []byte) {
	if _, err := s.out.Write(line); err != nil {
		s.dropped.Add(1)
	}
}

func (s *Sink) drain() {
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		default:
			s.reportDrops()
			return
		}
	}
}

type dropRecord struct {
	Level       string `json:"@level"`
	Message     string `json:"@message"`
	Dropped     uint64 `json:"ring_full"`
	RateLimited uint64 `json:"over_limit"`
}

func (s *Sink) reportDrops() {
	dropped, rateLimited := s.dropped.Swap(0), s.rateLimited.Swap(0)
	if dropped+rateLimited == 0 {
		return
	}
	line, err := json.Marshal(dropRecord{"warn", "log lines dropped", dropped, rateLimited})
	if err == nil {
		s.write(append(line, '\n'))
	}
}

// Close writes the buffered lines and stops the sink.
func (s *Sink) Close() {
	close(s.closing)
	<-s.closed
}
