package site

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	standin "github.com/sequoiaroad/sequoiaroad/standin/site"
)

// Guards against changes to a request's path, query, body or headers on the way to the
// target, and against passing on a caller's values of headers that only the host sets.
func TestRequestReachesTargetUnchanged(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	desk := f.startDesk("desk-1")
	h := f.startHost("host-1")
	got := f.send(h, request{method: "POST", uri: "/order/a/..//b%2Fc?x=1&x=%20&y", body: "print", key: clubKey, header: map[string]string{
		"X-Tenant": "school", "X-Cache-Salt": "forged", "X-Hold": "h", "Kv-From": "x", "X-Custom": "kept",
	}})
	f.g.Expect(got.status).To(Equal(http.StatusOK), got.body)
	f.g.Expect(got.header.Get("X-Response-Stamp")).To(Equal("stamp-" + got.id))
	f.g.Expect(got.body).To(Equal("answer to " + got.id))
	runs := desk.Executions()
	f.g.Expect(runs).To(HaveLen(1))
	run := runs[0]
	f.g.Expect(run.URI).To(Equal("/order/a/..//b%2Fc?x=1&x=%20&y"))
	f.g.Expect(run.Method + run.Body).To(Equal("POSTprint"))
	f.g.Expect(run.Header.Get("X-Custom")).To(Equal("kept"))
	f.g.Expect(run.Header.Get("X-Tenant")).To(Equal("club"))
	for _, name := range []string{"Authorization", "X-Cache-Salt", "X-Hold", "Kv-From", "User-Agent", "X-Forwarded-For", "Accept-Encoding"} {
		if name == "Accept-Encoding" {
			// The test's HTTP client sets this header itself, to request gzip.
			continue
		}
		f.g.Expect(run.Header).NotTo(HaveKey(name))
	}
}

// Guards against forwarding requests without a matching route or a valid key, and against
// a public route that requires a key.
func TestRefusesUnknownRouteAndKey(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	desk := f.startDesk("desk-1")
	h := f.startHost("host-1")
	f.g.Expect(f.send(h, request{method: "GET", uri: "/nothing/", key: clubKey}).status).To(Equal(http.StatusNotFound))
	f.g.Expect(f.send(h, request{method: "GET", uri: "/status/1", key: "no-such-key"}).status).To(Equal(http.StatusUnauthorized))
	f.g.Expect(desk.Executions()).To(BeEmpty())
	f.g.Expect(f.send(h, request{method: "GET", uri: "/open/1"}).status).To(Equal(http.StatusOK))
	f.g.Expect(desk.Executions()[0].Header).NotTo(HaveKey("X-Tenant"))
}

// Guards against net/http's own retries: its client sends a GET again when a keep-alive
// connection fails. The kind of the route decides on a retry, not the method.
func TestNonIdempotentRequestRunsOnce(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	desk1, desk2 := f.startDesk("desk-1"), f.startDesk("desk-2")
	h := f.startHost("host-1")
	for range 8 {
		f.g.Expect(f.send(h, request{method: "GET", uri: "/order/warm", key: clubKey}).status).To(Equal(http.StatusOK))
	}
	desk1.SetFaults(standin.ReplicaFaults{LoseResponse: true})
	desk2.SetFaults(standin.ReplicaFaults{LoseResponse: true})
	for _, method := range []string{"GET", "POST", "GET"} {
		got := f.send(h, request{method: method, uri: "/order/lost", key: clubKey})
		f.g.Expect(got.status).To(Equal(http.StatusBadGateway))
		f.g.Expect(countRuns(got.id, desk1, desk2)).To(Equal(1))
	}
}

// Guards against a target that sends a head and no event and is counted twice, so that a
// resumable request isn't sent to another target.
func TestStreamThatStallsAfterItsHeadIsRetried(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	stalled := f.startEngine("engine-1", 2)
	stalled.SetFaults(standin.ReplicaFaults{StallAfterHead: true})
	h := f.startHost("host-1")
	got := make(chan result, 1)
	go func() { got <- f.send(h, promptRequest("/query/1")) }()
	f.g.Eventually(stalled.Executions, "1s", "5ms").Should(HaveLen(1))
	sound := f.startEngine("engine-2", 2)
	r := <-got
	f.g.Expect(r.status).To(Equal(http.StatusOK), r.body)
	f.g.Expect(r.body).To(Equal(standin.StreamBody(2)))
	f.g.Expect(countRuns(r.id, stalled)).To(Equal(1))
	f.g.Expect(countRuns(r.id, sound)).To(Equal(1))
}

// Guards against an idempotent request that fails although another target can run it,
// and against more attempts than the route allows.
func TestIdempotentRequestIsRetried(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	desk1, desk2 := f.startDesk("desk-1"), f.startDesk("desk-2")
	h := f.startHost("host-1")
	desk1.SetFaults(standin.ReplicaFaults{LoseResponse: true})
	for range 4 {
		got := f.send(h, request{method: "GET", uri: "/status/1", key: clubKey})
		f.g.Expect(got.status).To(Equal(http.StatusOK))
		f.g.Expect(countRuns(got.id, desk1, desk2)).To(BeNumerically("<=", 2))
	}
	desk2.SetFaults(standin.ReplicaFaults{LoseResponse: true})
	got := f.send(h, request{method: "GET", uri: "/status/1", key: clubKey})
	f.g.Expect(got.status).To(Equal(http.StatusBadGateway))
	f.g.Expect(countRuns(got.id, desk1, desk2)).To(Equal(2))
}

// Guards against a 503, which means that the request did not run, for a request that may
// have run, and against any other error for a request that a full target rejected.
func TestRefusalMatchesExecution(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	desk := f.startDesk("desk-1")
	h := f.startHost("host-1")
	desk.SetFaults(standin.ReplicaFaults{Shed: true})
	got := f.send(h, request{method: "POST", uri: "/order/1", key: clubKey})
	f.g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	f.g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	f.g.Expect(countRuns(got.id, desk)).To(BeZero())
	desk.SetFaults(standin.ReplicaFaults{WrongID: true})
	got = f.send(h, request{method: "POST", uri: "/order/2", key: clubKey})
	f.g.Expect(got.status).To(Equal(http.StatusBadGateway))
	f.g.Expect(got.header).NotTo(HaveKey("X-Response-Stamp"))
}

// Guards against a stream that looks complete although the target closed the connection
// within an event, and against joining the output of two runs on a route that is not
// resumable.
func TestInterruptedStreams(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	engine1, engine2 := f.startEngine("engine-1", 6), f.startEngine("engine-2", 6)
	h := f.startHost("host-1")
	complete := f.send(h, promptRequest("/brief/1"))
	f.g.Expect(complete.err).NotTo(HaveOccurred())
	f.g.Expect(complete.body).To(Equal(standin.StreamBody(6)))
	engine1.SetFaults(standin.ReplicaFaults{DropAfterEvents: 3})
	engine2.SetFaults(standin.ReplicaFaults{DropAfterEvents: 3})
	interrupted := f.send(h, promptRequest("/brief/1"))
	f.g.Expect(interrupted.err).To(HaveOccurred())
	f.g.Expect(interrupted.body).To(Equal(standin.StreamBody(3)))
	f.g.Expect(countRuns(interrupted.id, engine1, engine2)).To(Equal(1))
	resumed := f.send(h, promptRequest("/query/1"))
	f.g.Expect(resumed.body).To(HavePrefix(standin.StreamBody(3)))
	f.g.Expect(countRuns(resumed.id, engine1, engine2)).To(Equal(2))
	for _, r := range [...]*standin.Replica{engine1, engine2} {
		for _, run := range r.Executions() {
			f.g.Expect(run.Header.Get("X-Cache-Salt")).To(Equal("1.without:2a2c7356ad99316c"), "weights 1, the scope of all accounts but the isolated one")
			f.g.Expect(run.Header.Get("X-Expect-Version")).To(Equal("1"))
		}
	}
}

// Guards against a leak in the accounting of request bodies: if the bodies of refused
// requests were never released, a host would refuse every request once it reaches its
// memory limit for bodies.
func TestRefusedBodiesAreReleased(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.startDesk("desk-1")
	f.updateConfig(func(c object) {
		account := c["tenants"].([]any)[0].(object)
		account["rate_per_s"], account["burst"] = 1, 1
	})
	h := f.startHost("host-1")
	body := strings.Repeat("x", 1<<20)
	// The fixture's memory limit is 200 MB; bodies may use a quarter of it.
	for range 60 {
		f.send(h, request{method: "POST", uri: "/order/1", body: body, key: clubKey})
	}
	got := f.send(h, request{method: "POST", uri: "/order/1", body: body, key: schoolKey})
	f.g.Expect(got.status).To(Equal(http.StatusOK), got.body)
}

// Guards against a host that runs out of memory because many callers send long bodies at the
// same time, of which each was counted only once it had arrived whole, and against callers
// that send them slowly and keep all short requests out.
func TestBodiesOnTheirWayStayWithinTheMemory(t *testing.T) {
	t.Parallel()
	for _, framing := range [...]string{"Content-Length: 1048576\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n100000\r\n"} {
		f := newFixture(t)
		f.startDesk("desk-1")
		h := f.startHost("host-1")
		f.g.Eventually(func() int { return f.send(h, orderRequest).status }, "5s", "20ms").Should(Equal(http.StatusOK))
		// The fixture's memory limit is 200 MB; long bodies may use three quarters of a quarter.
		const bodies, sent, held = 60, 900 << 10, (200 << 20) / 4 / 4 * 3
		var conns []net.Conn
		for i := range bodies {
			conn, err := net.Dial("tcp", h.callerAddress)
			f.g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			conns = append(conns, conn)
			head := fmt.Sprintf("POST /order/%d HTTP/1.1\r\nHost: %s\r\nX-Request-Id: long-%d\r\nAuthorization: Bearer %s\r\nX-Deadline-Ms: 9000\r\n", i, virtualHost, i, clubKey)
			_, err = io.WriteString(conn, head+framing)
			f.g.Expect(err).NotTo(HaveOccurred())
		}
		// All send most of a body and then nothing; those that get no answer are held. The
		// others get 503, or a reset if they were still sending.
		for _, conn := range conns {
			_, _ = io.WriteString(conn, strings.Repeat("x", sent)) // fails where the host has answered and closed
		}
		unanswered := f.countUnanswered(conns)
		f.g.Expect(unanswered*sent).To(BeNumerically("<=", held), framing)
		f.g.Expect(unanswered).To(BeNumerically(">", 0))
		f.g.Expect(f.send(h, orderRequest).status).To(Equal(http.StatusOK))
		for _, conn := range conns {
			_ = conn.Close()
		}
		long := request{method: "POST", uri: "/order/1", key: clubKey, body: strings.Repeat("x", 1<<20)}
		f.g.Eventually(func() int { return f.send(h, long).status }, "2s", "20ms").Should(Equal(http.StatusOK))
	}
}

// countUnanswered returns the number of connections on which nothing arrives. What arrives on
// the others is a refusal.
func (f *fixture) countUnanswered(conns []net.Conn) int {
	var unanswered atomic.Int64
	var reading sync.WaitGroup
	for _, conn := range conns {
		reading.Go(func() {
			_ = conn.SetReadDeadline(time.Now().Add(time.Second))
			line, err := bufio.NewReader(conn).ReadString('\n')
			switch {
			case errors.Is(err, os.ErrDeadlineExceeded):
				unanswered.Add(1)
			case err == nil && !strings.Contains(line, "503"):
				f.t.Errorf("the host answered %q", line)
			}
		})
	}
	reading.Wait()
	return int(unanswered.Load())
}
