// Package logsink makes logging bounded: a slow reader of the log never holds up the
// process, and no kind of line fills the log.
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
	ringLines = 2048
	// linesPerSecond bounds the lines of one kind. A kind is a message text.
	linesPerSecond = 200
	dropReport     = 5 * time.Second
)

// Sink is a writer that never blocks: lines that the reader has not taken wait in a
// ring, and are dropped and counted when it is full.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	limited atomic.Uint64

	mu      sync.Mutex
	second  int64
	byKind  map[string]int
	closing chan struct{}
	closed  chan struct{}
}

// New returns a sink that writes to out until Close.
func New(out io.Writer) *Sink {
	s := &Sink{
		out: out, lines: make(chan []byte, ringLines), byKind: map[string]int{},
		closing: make(chan struct{}), closed: make(chan struct{}),
	}
	go s.run()
	return s
}

// Write implements io.Writer. It always accepts the line.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Exclude reports whether a line is over the limit of its kind. It is meant for
// hclog.LoggerOptions.
func (s *Sink) Exclude(_ hclog.Level, message string, _ ...any) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := time.Now().Unix(); second != s.second {
		s.second = second
		clear(s.byKind)
	}
	s.byKind[message]++
	if s.byKind[message] <= linesPerSecond {
		return false
	}
	s.limited.Add(1)
	return true
}

func (s *Sink) run() {
	defer close(s.closed)
	ticker := time.NewTicker(dropReport)
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

type dropLine struct {
	Level   string `json:"@level"`
	Message string `json:"@message"`
	Dropped uint64 `json:"ring_full"`
	Limited uint64 `json:"over_limit"`
}

func (s *Sink) reportDrops() {
	dropped, limited := s.dropped.Swap(0), s.limited.Swap(0)
	if dropped+limited == 0 {
		return
	}
	line, err := json.Marshal(dropLine{"warn", "log lines dropped", dropped, limited})
	if err == nil {
		s.write(append(line, '\n'))
	}
}

// Close writes what waits and stops the sink.
func (s *Sink) Close() {
	close(s.closing)
	<-s.closed
}
