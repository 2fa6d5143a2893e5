package site

import (
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	standin "github.com/sequoiaroad/sequoiaroad/standin/site"
)

// Guards against a path, query, body or header that is changed on the way, and against
// headers that only the host may set being taken from a caller.
func TestRequestReachesTargetUnchanged(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	desk := s.desk("desk-1")
	h := s.host("host-1")
	got := s.send(h, request{method: "POST", uri: "/order/a/..//b%2Fc?x=1&x=%20&y", body: "print", key: clubKey, header: map[string]string{
		"X-Tenant": "school", "X-Cache-Salt": "forged", "X-Hold": "h", "Kv-From": "x", "X-Custom": "kept",
	}})
	s.g.Expect(got.status).To(Equal(http.StatusOK), got.body)
	s.g.Expect(got.header.Get("X-Response-Stamp")).To(Equal("stamp-" + got.id))
	s.g.Expect(got.body).To(Equal("answer to " + got.id))
	runs := desk.Executions()
	s.g.Expect(runs).To(HaveLen(1))
	run := runs[0]
	s.g.Expect(run.URI).To(Equal("/order/a/..//b%2Fc?x=1&x=%20&y"))
	s.g.Expect(run.Method + run.Body).To(Equal("POSTprint"))
	s.g.Expect(run.Header.Get("X-Custom")).To(Equal("kept"))
	s.g.Expect(run.Header.Get("X-Tenant")).To(Equal("club"))
	for _, name := range []string{"Authorization", "X-Cache-Salt", "X-Hold", "Kv-From", "User-Agent", "X-Forwarded-For", "Accept-Encoding"} {
		if name == "Accept-Encoding" {
			// The test's own client asks for gzip; the header is the caller's.
			continue
		}
		s.g.Expect(run.Header).NotTo(HaveKey(name))
	}
}

// Guards against requests that no route or key allows.
func TestUnknownRouteAndKey(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	desk := s.desk("desk-1")
	h := s.host("host-1")
	s.g.Expect(s.send(h, request{method: "GET", uri: "/nothing/", key: clubKey}).status).To(Equal(http.StatusNotFound))
	s.g.Expect(s.send(h, request{method: "GET", uri: "/status/1", key: "no-such-key"}).status).To(Equal(http.StatusUnauthorized))
	s.g.Expect(desk.Executions()).To(BeEmpty())
	s.g.Expect(s.send(h, request{method: "GET", uri: "/open/1"}).status).To(Equal(http.StatusOK))
	s.g.Expect(desk.Executions()[0].Header).NotTo(HaveKey("X-Tenant"))
}

// Guards against the HTTP client of the standard library, which repeats a GET on a kept
// connection that fails: the kind of the route decides, not the method.
func TestNonIdempotentRequestRunsOnce(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	one, two := s.desk("desk-1"), s.desk("desk-2")
	h := s.host("host-1")
	for range 8 {
		s.g.Expect(s.send(h, request{method: "GET", uri: "/order/warm", key: clubKey}).status).To(Equal(http.StatusOK))
	}
	one.SetFaults(standin.ReplicaFaults{LoseResponse: true})
	two.SetFaults(standin.ReplicaFaults{LoseResponse: true})
	for _, method := range []string{"GET", "POST", "GET"} {
		got := s.send(h, request{method: method, uri: "/order/lost", key: clubKey})
		s.g.Expect(got.status).To(Equal(http.StatusBadGateway))
		s.g.Expect(runsOf(got.id, one, two)).To(Equal(1))
	}
}

// Guards against an idempotent request that is given up although another target can
// run it, and against more targets than the route allows.
func TestIdempotentRequestIsRepeated(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	one, two := s.desk("desk-1"), s.desk("desk-2")
	h := s.host("host-1")
	one.SetFaults(standin.ReplicaFaults{LoseResponse: true})
	for range 4 {
		got := s.send(h, request{method: "GET", uri: "/status/1", key: clubKey})
		s.g.Expect(got.status).To(Equal(http.StatusOK))
		s.g.Expect(runsOf(got.id, one, two)).To(BeNumerically("<=", 2))
	}
	two.SetFaults(standin.ReplicaFaults{LoseResponse: true})
	got := s.send(h, request{method: "GET", uri: "/status/1", key: clubKey})
	s.g.Expect(got.status).To(Equal(http.StatusBadGateway))
	s.g.Expect(runsOf(got.id, one, two)).To(Equal(2))
}

// Guards against a refusal that promises "not run" for a request that may have run, and
// against one without the promise for a request that has not.
func TestRefusalsAreTrue(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	desk := s.desk("desk-1")
	h := s.host("host-1")
	desk.SetFaults(standin.ReplicaFaults{Shed: true})
	got := s.send(h, request{method: "POST", uri: "/order/1", key: clubKey})
	s.g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	s.g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	s.g.Expect(runsOf(got.id, desk)).To(BeZero())
	desk.SetFaults(standin.ReplicaFaults{WrongID: true})
	got = s.send(h, request{method: "POST", uri: "/order/2", key: clubKey})
	s.g.Expect(got.status).To(Equal(http.StatusBadGateway))
	s.g.Expect(got.header).NotTo(HaveKey("X-Response-Stamp"))
}

// Guards against a stream that breaks off within an event and looks complete, or that
// is joined from pieces of two runs.
func TestBrokenStreams(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	one, two := s.engine("engine-1", 6), s.engine("engine-2", 6)
	h := s.host("host-1")
	whole := s.send(h, prompt("/brief/1"))
	s.g.Expect(whole.err).NotTo(HaveOccurred())
	s.g.Expect(whole.body).To(Equal(standin.StreamBody(6)))
	one.SetFaults(standin.ReplicaFaults{DropAfterEvents: 3})
	two.SetFaults(standin.ReplicaFaults{DropAfterEvents: 3})
	cut := s.send(h, prompt("/brief/1"))
	s.g.Expect(cut.err).To(HaveOccurred())
	s.g.Expect(cut.body).To(Equal(standin.StreamBody(3)))
	s.g.Expect(runsOf(cut.id, one, two)).To(Equal(1))
	resumed := s.send(h, prompt("/query/1"))
	s.g.Expect(resumed.body).To(HavePrefix(standin.StreamBody(3)))
	s.g.Expect(runsOf(resumed.id, one, two)).To(Equal(2))
	for _, r := range [...]*standin.Replica{one, two} {
		for _, run := range r.Executions() {
			s.g.Expect(run.Header.Get("X-Cache-Salt")).To(Equal("1."))
			s.g.Expect(run.Header.Get("X-Expect-Version")).To(Equal("1"))
		}
	}
}

// Guards against bodies of refused requests that count as held for good: a host would
// refuse everything once they pass its share of the memory.
func TestRefusedBodiesAreReleased(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.desk("desk-1")
	s.change(func(c object) {
		account := c["tenants"].([]any)[0].(object)
		account["rate_per_s"], account["burst"] = 1, 1
	})
	h := s.host("host-1")
	body := strings.Repeat("x", 1<<20)
	// The memory limit of the fixture is 200 MB, a quarter of which may hold bodies.
	for range 60 {
		s.send(h, request{method: "POST", uri: "/order/1", body: body, key: clubKey})
	}
	got := s.send(h, request{method: "POST", uri: "/order/1", body: body, key: schoolKey})
	s.g.Expect(got.status).To(Equal(http.StatusOK), got.body)
}
