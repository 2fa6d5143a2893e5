package relay

import (
	"bufio"
	"io"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func echoServer(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn); _ = conn.Close() }()
		}
	}()
	return listener.Addr().String()
}

func connect(t *testing.T, g Gomega) (*Relay, net.Conn) {
	r, err := New(echoServer(t))
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(r.Close)
	conn, err := net.Dial("tcp", r.Addr())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	return r, conn
}

// Guards against a relay that does not apply its delay, and against data that is lost
// because it was sent while the link was cut.
func TestDelayAndRestoreAfterDrop(t *testing.T) {
	g := NewWithT(t)
	r, conn := connect(t, g)
	r.SetDelay(20 * time.Millisecond)
	lines := bufio.NewReader(conn)
	started := time.Now()
	_, _ = conn.Write([]byte("one\n"))
	g.Expect(lines.ReadString('\n')).To(Equal("one\n"))
	g.Expect(time.Since(started)).To(BeNumerically(">=", 40*time.Millisecond))

	r.Cut(Drop)
	_, _ = conn.Write([]byte("two\n"))
	_ = conn.SetReadDeadline(time.Now().Add(150 * time.Millisecond))
	_, err := lines.ReadString('\n')
	g.Expect(err).To(HaveOccurred())
	r.Restore()
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	g.Expect(lines.ReadString('\n')).To(Equal("two\n"))
}

// Guards against a relay that forwards data after a reset or beyond its byte limit.
func TestResetAndCloseAfterStopForwarding(t *testing.T) {
	g := NewWithT(t)
	r, conn := connect(t, g)
	_, _ = conn.Write([]byte("x"))
	_, err := io.ReadFull(conn, make([]byte, 1))
	g.Expect(err).NotTo(HaveOccurred())
	r.Cut(Reset)
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = conn.Read(make([]byte, 1))
	g.Expect(err).To(HaveOccurred())
	r.Restore()

	r.CloseAfter(-1, 3)
	second, err := net.Dial("tcp", r.Addr())
	g.Expect(err).NotTo(HaveOccurred())
	defer second.Close()
	_, _ = second.Write([]byte("abcdef"))
	data, _ := io.ReadAll(second)
	g.Expect(string(data)).To(Equal("abc"))
}

// Guards against a cut of responses that also drops requests, or that loses responses
// for good.
func TestDropResponsesForwardsRequests(t *testing.T) {
	g := NewWithT(t)
	r, conn := connect(t, g)
	r.Cut(DropResponses)
	_, err := conn.Write([]byte("x"))
	g.Expect(err).NotTo(HaveOccurred())
	response := make(chan byte, 1)
	go func() {
		var b [1]byte
		if _, err := conn.Read(b[:]); err == nil {
			response <- b[0]
		}
	}()
	g.Consistently(response, "150ms").ShouldNot(Receive())
	r.Restore()
	g.Eventually(response).Should(Receive(Equal(byte('x'))))
}

// Guards against a silent connection that still carries data or is closed, and against
// new connections that are silent too.
func TestSilenceAppliesToOpenConnections(t *testing.T) {
	g := NewWithT(t)
	r, conn := connect(t, g)
	lines := bufio.NewReader(conn)
	_, _ = conn.Write([]byte("one\n"))
	g.Expect(lines.ReadString('\n')).To(Equal("one\n"))
	r.Silence()
	_, _ = conn.Write([]byte("two\n"))
	_ = conn.SetReadDeadline(time.Now().Add(150 * time.Millisecond))
	_, err := lines.ReadString('\n')
	g.Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	later, err := net.Dial("tcp", r.Addr())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = later.Close() }()
	_, _ = later.Write([]byte("three\n"))
	g.Expect(bufio.NewReader(later).ReadString('\n')).To(Equal("three\n"))
}
