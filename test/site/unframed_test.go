package site

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	standin "github.com/sequoiaroad/sequoiaroad/standin/site"
)

// startUnframedEngine starts an engine whose streams of three events end with their
// connection.
func (f *fixture) startUnframedEngine(id string) (*standin.Replica, string) {
	return f.startReplica(standin.ReplicaOptions{
		ID: id, Service: engineService, Model: model, StreamEvents: 3, EventInterval: 10 * time.Millisecond, LoadTime: 50 * time.Millisecond, Unframed: true,
	})
}

// Guards against a stand-in whose unframed streams have a length or chunks after all.
func TestUnframedStreamHasNeitherLengthNorChunks(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	_, address := f.startUnframedEngine("engine-1")
	conn, err := net.Dial("tcp", address)
	f.g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /query/1 HTTP/1.1\r\nHost: engine\r\nContent-Length: 0\r\n\r\n")
	f.g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	f.g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	f.g.Expect(resp.TransferEncoding).To(BeEmpty())
	f.g.Expect(resp.ContentLength).To(BeEquivalentTo(-1))
	body, err := io.ReadAll(resp.Body)
	f.g.Expect(err).NotTo(HaveOccurred())
	f.g.Expect(string(body)).To(Equal(standin.StreamBody(3)))
}

// Guards against an unframed stream that is complete and taken for broken off.
func TestUnframedStreamIsRelayed(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.startUnframedEngine("engine-1")
	h := f.startHost("host-1")
	for _, uri := range [...]string{"/brief/1", "/query/1"} {
		r := f.send(h, promptRequest(uri))
		f.g.Expect(r.err).NotTo(HaveOccurred())
		f.g.Expect(r.status).To(Equal(http.StatusOK))
		f.g.Expect(r.body).To(Equal(standin.StreamBody(3)))
	}
	resumed := promptRequest("/query/2")
	resumed.header["Last-Event-Id"] = "3"
	r := f.send(h, resumed)
	f.g.Expect(r.err).NotTo(HaveOccurred())
	f.g.Expect(r.status).To(Equal(http.StatusOK), "nothing was left to send to a caller that resumes after the last event")
	f.g.Expect(r.body).To(BeEmpty())
}

// Guards against a HEAD request that is taken for a stream without events.
func TestHeadOfStreamIsRelayed(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.startUnframedEngine("engine-1")
	h := f.startHost("host-1")
	q := promptRequest("/brief/1")
	q.method, q.body = http.MethodHead, ""
	r := f.send(h, q)
	f.g.Expect(r.err).NotTo(HaveOccurred())
	f.g.Expect(r.status).To(Equal(http.StatusOK))
}

// Guards against an engine that crashes before the first event of an unframed stream and
// whose empty answer is relayed as a success, and against crashes that don't count for
// the quarantine.
func TestUnframedStreamWithoutEventsIsBrokenOff(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	var engines []*standin.Replica
	for _, id := range [...]string{"engine-1", "engine-2", "engine-3", "engine-4"} {
		engine, _ := f.startUnframedEngine(id)
		engine.SetFaults(standin.ReplicaFaults{CrashPart: deadlyPart})
		engines = append(engines, engine)
	}
	h := f.startHost("host-1")
	f.g.Eventually(func() int {
		r := f.send(h, deadlyPrompt("/brief/d"))
		f.g.Expect(r.err).NotTo(HaveOccurred())
		f.g.Expect(r.status).To(BeElementOf(http.StatusBadGateway, http.StatusServiceUnavailable))
		return r.status
	}, "5s", "20ms").Should(Equal(http.StatusServiceUnavailable))
	f.g.Expect(h.log.String()).To(ContainSubstring(`"response_began":true`))
	runs := 0
	for _, engine := range engines {
		runs += len(engine.Executions())
	}
	f.g.Expect(runs).To(Equal(3), "runs until the part is in quarantine")
}

// Guards against an engine that crashes before the first event of an unframed stream and
// whose resumable request isn't sent to another one.
func TestUnframedStreamWithoutEventsIsRetried(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	crashing, _ := f.startUnframedEngine("engine-1")
	sound, _ := f.startUnframedEngine("engine-2")
	crashing.SetFaults(standin.ReplicaFaults{CrashPart: deadlyPart})
	h := f.startHost("host-1")
	f.sendUntilCrash(h, crashing, sound)
}

// sendUntilCrash sends prompts that are cached at no engine until one of them crashes an engine.
// Each must be answered whole, and run once at the sound engine.
func (f *fixture) sendUntilCrash(h *host, crashing, sound *standin.Replica) {
	f.g.Eventually(func() int {
		q := deadlyPrompt("/query/d")
		q.header["X-Prefix-Hash"] = fmt.Sprintf("%08x:300,", rand.Uint32()) + q.header["X-Prefix-Hash"]
		r := f.send(h, q)
		f.g.Expect(r.err).NotTo(HaveOccurred())
		f.g.Expect(r.status).To(Equal(http.StatusOK), r.body)
		f.g.Expect(r.body).To(Equal(standin.StreamBody(3)))
		f.g.Expect(countRuns(r.id, sound)).To(Equal(1))
		return len(crashing.Executions())
	}, "5s", "5ms").Should(Equal(1))
}

// Guards against an unframed stream that ends inside an event and looks complete.
func TestUnframedStreamThatEndsInsideAnEventIsBrokenOff(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	engine, _ := f.startUnframedEngine("engine-1")
	engine.SetFaults(standin.ReplicaFaults{DropAfterEvents: 2})
	h := f.startHost("host-1")
	r := f.send(h, promptRequest("/brief/1"))
	f.g.Expect(r.err).To(HaveOccurred())
	f.g.Expect(r.body).To(Equal(standin.StreamBody(2)))
}

// startCrashingUnframedEngine starts an engine that crashes on deadlyPart after the first event
// of an unframed stream.
func (f *fixture) startCrashingUnframedEngine(id string) *standin.Replica {
	engine, _ := f.startUnframedEngine(id)
	engine.SetFaults(standin.ReplicaFaults{CrashPart: deadlyPart, CrashPoint: standin.CrashAfterEvent})
	return engine
}

// Guards against an unframed stream that looks complete although its engine crashed between two
// events.
func TestUnframedStreamOfACrashedEngineIsBrokenOff(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.startCrashingUnframedEngine("engine-1")
	r := f.send(f.startHost("host-1"), deadlyPrompt("/brief/1"))
	f.g.Expect(r.err).To(HaveOccurred())
	f.g.Expect(r.body).To(Equal(standin.StreamBody(1)))
}

// Guards against an unframed stream whose engine crashed between two events and that another
// engine could have gone on with.
func TestUnframedStreamOfACrashedEngineIsResumed(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	crashing := f.startCrashingUnframedEngine("engine-1")
	sound, _ := f.startUnframedEngine("engine-2")
	h := f.startHost("host-1")
	f.sendUntilCrash(h, crashing, sound)
}

// Guards against a complete unframed stream that is broken off because its engine left in order
// and ended right after it, and against counting that end as a crash.
func TestUnframedStreamOfAnEngineThatLeavesIsComplete(t *testing.T) {
	t.Parallel()
	for name, faults := range map[string]standin.ReplicaFaults{
		"it says so in its answer": {Leaving: true, EndAfterStream: true},
		"its entry says so":        {EndAfterStream: true},
		"its entry is removed":     {EndAfterStream: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			engine, address := f.startReplica(standin.ReplicaOptions{
				ID: "engine-1", Service: engineService, Model: model, StreamEvents: 3, EventInterval: 300 * time.Millisecond, LoadTime: 50 * time.Millisecond, Unframed: true,
			})
			engine.SetFaults(faults)
			h := f.startHost("host-1")
			results := make(chan result, 1)
			go func() { results <- f.send(h, promptRequest("/brief/1")) }()
			f.g.Eventually(engine.Executions, "3s", "5ms").Should(HaveLen(1))
			switch name {
			case "its entry says so":
				f.g.Expect(engine.Register(f.store, address, "draining")).To(Succeed())
			case "its entry is removed":
				f.store.Delete("servers", "engine-1")
			}
			r := <-results
			f.g.Expect(r.err).NotTo(HaveOccurred())
			f.g.Expect(r.body).To(Equal(standin.StreamBody(3)))
			f.g.Consistently(h.log.String, "500ms", "50ms").ShouldNot(ContainSubstring(`"crashed":true`))
		})
	}
}

// plainBody is the body of the unframed responses of startUnframedTarget.
const plainBody = "booked: visit 17"

// startUnframedTarget starts and registers a target of the plain service whose responses have
// neither a length nor chunks. It ends with the first request if ends is true.
func (f *fixture) startUnframedTarget(ends bool) {
	var stop atomic.Pointer[func()]
	serve := func(conn net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Response-Stamp: stamp\r\nX-Request-Id: "+req.Header.Get("X-Request-Id")+"\r\n\r\n"+plainBody)
		if ends {
			(*stop.Load())()
		}
	}
	address, stopServing, err := standin.ServeConnections(serve)
	f.g.Expect(err).NotTo(HaveOccurred())
	stop.Store(&stopServing)
	f.t.Cleanup(stopServing)
	f.registerTarget("desk-1", address, object{"service": deskService})
}

// Guards against part of an unframed body that looks complete although its target crashed, and
// against a complete one that is refused.
func TestUnframedBodyIsCompleteIfItsTargetLives(t *testing.T) {
	t.Parallel()
	for _, ends := range []bool{false, true} {
		t.Run(fmt.Sprintf("ends %t", ends), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			f.startUnframedTarget(ends)
			r := f.send(f.startHost("host-1"), orderRequest)
			f.g.Expect(r.err).NotTo(HaveOccurred())
			if ends {
				f.g.Expect(r.status).To(Equal(http.StatusBadGateway), r.body)
				return
			}
			f.g.Expect(r.status).To(Equal(http.StatusOK))
			f.g.Expect(r.body).To(Equal(plainBody))
		})
	}
}
