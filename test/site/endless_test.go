package site

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	standin "github.com/sequoiaroad/sequoiaroad/standin/site"
)

// endlessEngine answers each request with a head and then one chunk after the other until
// the connection is closed.
type endlessEngine struct {
	net.Listener
	head, chunk string
	interval    time.Duration
	// open is the number of open connections on which a caller's request has arrived, and
	// written the number of bytes sent there.
	open, written atomic.Int64
}

func (e *endlessEngine) serve() {
	for {
		conn, err := e.Accept()
		if err != nil {
			return
		}
		go e.answer(conn)
	}
}

func (e *endlessEngine) answer(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if err := conn.(*net.TCPConn).SetWriteBuffer(64 << 10); err != nil {
		return
	}
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if strings.HasPrefix(req.URL.Path, "/api/") {
		return
	}
	e.open.Add(1)
	defer e.open.Add(-1)
	next := strings.ReplaceAll(e.head, "ID", req.Header.Get("X-Request-Id"))
	for {
		n, err := io.WriteString(conn, next)
		e.written.Add(int64(n))
		if err != nil {
			return
		}
		next = e.chunk
		time.Sleep(e.interval)
	}
}

// Guards against bytes without end that are no answer, in a head or a body, and that a
// host reads without a bound of memory or time.
func TestEndlessBytesOfATargetEndInAFailure(t *testing.T) {
	t.Parallel()
	const (
		deadline = 3 * time.Second // of each request
		margin   = 2 * time.Second // for a busy machine
		// mostBytes is the largest event that a host reads with room for what the sockets
		// of a connection hold.
		mostBytes  = 4 << 20
		statusLine = "HTTP/1.1 200 OK\r\n"
		streamHead = statusLine + "X-Request-Id: ID\r\nContent-Type: text/event-stream\r\n\r\n"
		kilobytes  = 32 << 10
	)
	line := strings.Repeat("x", kilobytes)
	for name, e := range map[string]*endlessEngine{
		"head":                 {head: statusLine, chunk: strings.Repeat("X-Filler: x\r\n", 1000)},
		"line of a head":       {head: statusLine + "X-Filler: ", chunk: line},
		"informational heads":  {chunk: strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1000)},
		"no HTTP":              {chunk: line},
		"lines that aren't it": {chunk: line + "\n"},
		"line of an event":     {head: streamHead, chunk: line},
		"event":                {head: streamHead, chunk: strings.Repeat("data: x\n", 4000)},
		"slow head":            {head: statusLine, chunk: "X-Filler: x\r\n", interval: 20 * time.Millisecond},
		"slow event":           {head: streamHead, chunk: "data: x\n", interval: 20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			f.g.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(func() { _ = listener.Close() })
			e.Listener = listener
			go e.serve()
			registered := standin.NewReplica(standin.ReplicaOptions{ID: "engine-1", Service: engineService, Model: model, Zone: "zone-a"})
			f.g.Expect(registered.Register(f.store, listener.Addr().String(), "ready")).To(Succeed())
			h := f.startHost("host-1")
			sentAt := time.Now()
			r := f.send(h, promptRequest("/brief/1"))
			f.g.Expect(r.err).NotTo(HaveOccurred())
			f.g.Expect(r.status).To(BeElementOf(http.StatusBadGateway, http.StatusGatewayTimeout), r.body)
			f.g.Expect(time.Since(sentAt)).To(BeNumerically("<", deadline+margin))
			f.store.Delete("servers", "engine-1")
			f.g.Eventually(e.open.Load, "5s", "20ms").Should(BeZero())
			f.g.Expect(e.written.Load()).To(BeNumerically("<", mostBytes))
		})
	}
}
