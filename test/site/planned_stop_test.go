package site

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	standin "github.com/sequoiaroad/sequoiaroad/standin/site"
)

// Guards against requests that are cut with no answer at the end of a planned stop: those
// that were in progress when it began, and those that came within the time in which the host
// still takes requests; those that may not be repeated among them. A stream that has begun
// must not look complete.
func TestPlannedStopAnswersRequestsInProgress(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.setRouteTimeouts(20 * time.Second)
	desk, _ := f.startReplica(standin.ReplicaOptions{ID: "desk-1", Service: deskService, ProcessingTime: 15 * time.Second})
	engine, _ := f.startReplica(standin.ReplicaOptions{ID: "engine-1", Service: engineService, Model: model, StreamEvents: 100, EventInterval: 150 * time.Millisecond})
	h := f.startHost("host-1")
	long := func(q request) request {
		q.header = map[string]string{"X-Model": model, "X-Token-Usage": "1500,50", "X-Prefix-Hash": "5c1e07a2:1000,91bd3f06:500", "X-Deadline-Ms": "20000"}
		return q
	}
	responses := make(chan result, 6)
	sendAll := func() {
		for _, uri := range []string{"/order/1", "/status/1"} {
			go func() { responses <- f.send(h, long(request{method: "POST", uri: uri, body: "x", key: clubKey})) }()
		}
	}
	stream := make(chan result, 1)
	go func() { stream <- f.send(h, long(promptRequest("/brief/1"))) }()
	sendAll()
	f.g.Eventually(desk.Executions, "1s", "10ms").Should(HaveLen(2))
	f.g.Eventually(engine.Executions, "1s", "10ms").Should(HaveLen(1))
	h.stop()
	stoppedAt := time.Now()
	time.Sleep(2 * time.Second)
	sendAll()
	for range 4 {
		r := <-responses
		f.g.Expect(r.err).NotTo(HaveOccurred())
		f.g.Expect(r.status).To(BeElementOf(http.StatusBadGateway, http.StatusGatewayTimeout), r.body)
		f.g.Expect(time.Since(stoppedAt)).To(BeNumerically("<", standin.StopGrace))
	}
	f.g.Expect((<-stream).err).To(HaveOccurred())
}

// Guards against a request whose body comes late in a planned stop and that is then passed
// on, so that it may be cut when the host exits.
func TestPlannedStopRefusesRequestWhoseBodyComesLate(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	desk := f.startDesk("desk-1")
	f.startReplica(standin.ReplicaOptions{ID: "engine-1", Service: engineService, Model: model, StreamEvents: 30, EventInterval: 150 * time.Millisecond})
	f.setRouteTimeouts(8 * time.Second)
	h := f.startHost("host-1")
	q := promptRequest("/brief/1")
	q.header["X-Deadline-Ms"] = "8000"
	go f.send(h, q) // keeps the host from exiting early
	conn, err := net.Dial("tcp", h.callerAddress)
	f.g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	time.Sleep(200 * time.Millisecond)
	h.stop()
	time.Sleep(2 * time.Second)
	_, err = fmt.Fprintf(conn, "POST /order/late HTTP/1.1\r\nHost: %s\r\nX-Request-Id: late\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\nbo", virtualHost, clubKey)
	f.g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(1500 * time.Millisecond)
	_, err = io.WriteString(conn, "dy")
	f.g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	f.g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	f.g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	f.g.Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	f.g.Expect(countRuns("late", desk)).To(BeZero())
}
