package logsink

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"
)

// blockedWriter blocks each write until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buffer  bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buffer.Write(p)
}

// Guards against a process that blocks when its log output blocks, and against dropped
// lines that are not counted.
func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	g := NewWithT(t)
	writer := &blockedWriter{release: make(chan struct{})}
	s := New(writer)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 2 * maxBufferedLines {
			_, _ = s.Write([]byte("line\n"))
		}
	}()
	g.Eventually(done, 5*time.Second).Should(BeClosed())
	close(writer.release)
	s.Close()
	g.Expect(writer.buffer.String()).To(ContainSubstring(`"ring_full":`))
}

// Guards against a repeated message that floods the log.
func TestRepeatedMessageIsRateLimited(t *testing.T) {
	g := NewWithT(t)
	s := New(&bytes.Buffer{})
	defer s.Close()
	passed := 0
	for range 10 * maxLinesPerSecond {
		if !s.Exclude(hclog.Info, "the same") {
			passed++
		}
	}
	g.Expect(passed).To(BeNumerically("<=", 3*maxLinesPerSecond))
	g.Expect(s.Exclude(hclog.Info, "another")).To(BeFalse())
}
