package site

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	standin "github.com/sequoiaroad/sequoiaroad/standin/site"
)

// startCuttingTarget starts and registers a target that closes each connection after the
// given bytes instead of a response; REQUEST-ID in them stands for the request's ID.
func (f *fixture) startCuttingTarget(entry object, sent *atomic.Pointer[string]) {
	serve := func(conn net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(conn, strings.ReplaceAll(*sent.Load(), "REQUEST-ID", req.Header.Get("X-Request-Id")))
	}
	address, stop, err := standin.ServeConnections(serve)
	f.g.Expect(err).NotTo(HaveOccurred())
	f.t.Cleanup(stop)
	f.registerTarget("cutting", address, entry)
}

// Guards against a response that looks like a complete success although the target stopped
// in the middle of its head and closed the connection.
func TestResponseCutInItsHeadIsNoSuccess(t *testing.T) {
	t.Parallel()
	const status = "HTTP/1.1 200 OK\r\n"
	const id = "X-Request-Id: REQUEST-ID\r\n"
	heads := map[string][]string{
		"/order/1": {
			status + id + "X-Response-Stamp: stamp\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r",
			status + "Content-Length: 0\r\n" + id + "X-Response-Stamp: stamp\r\n\r",
			status + id + "Connection: close\r\nX-Response-Stamp: stamp\r\n\r",
			"HTTP/1.0 200 OK\n" + "X-Request-Id: REQUEST-ID\nX-Response-Stamp: stamp\n",
		},
		"/brief/1": {
			status + id + "X-Response-Stamp: stamp\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r",
			status + id + "Content-Type: text/event-stream\r\nContent-Length: 0\r\n\r",
		},
	}
	for uri, complete := range heads {
		t.Run(uri, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			var sent atomic.Pointer[string]
			entry := object{"service": deskService}
			q := orderRequest
			if uri != "/order/1" {
				entry = object{"service": engineService, "models": []any{object{"name": model, "version": 1}}}
				q = promptRequest(uri)
			}
			f.startCuttingTarget(entry, &sent)
			h := f.startHost("host-1")
			for _, head := range complete {
				for end := range len(head) + 1 {
					prefix := head[:end]
					sent.Store(&prefix)
					r := f.send(h, q)
					f.g.Expect(r.err).NotTo(HaveOccurred())
					f.g.Expect(r.status).To(BeElementOf(http.StatusBadGateway, http.StatusServiceUnavailable), "after %q: %q", prefix, r.body)
				}
			}
		})
	}
}
