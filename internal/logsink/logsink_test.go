package logsink

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"
)

// slowReader takes no line until it is released.
type slowReader struct {
	release chan struct{}
	mu      sync.Mutex
	buffer  bytes.Buffer
}

func (r *slowReader) Write(p []byte) (int, error) {
	<-r.release
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.buffer.Write(p)
}

// Guards against a process that stops since nobody reads its log, and against dropped
// lines that are not counted.
func TestSlowReaderDoesNotBlock(t *testing.T) {
	g := NewWithT(t)
	reader := &slowReader{release: make(chan struct{})}
	s := New(reader)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 2 * ringLines {
			_, _ = s.Write([]byte("line\n"))
		}
	}()
	g.Eventually(done, 5*time.Second).Should(BeClosed())
	close(reader.release)
	s.Close()
	g.Expect(reader.buffer.String()).To(ContainSubstring(`"ring_full":`))
}

// Guards against one kind of line that fills the log.
func TestKindsAreLimited(t *testing.T) {
	g := NewWithT(t)
	s := New(&bytes.Buffer{})
	defer s.Close()
	passed := 0
	for range 10 * linesPerSecond {
		if !s.Exclude(hclog.Info, "the same") {
			passed++
		}
	}
	g.Expect(passed).To(BeNumerically("<=", 3*linesPerSecond))
	g.Expect(s.Exclude(hclog.Info, "another")).To(BeFalse())
}
