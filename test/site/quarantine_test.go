package site

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	standin "github.com/sequoiaroad/sequoiaroad/standin/site"
)

const deadlyPart = "dead0001"

// deadlyPrompt returns a request with the part on which engines crash; it shares its
// account and its first part with promptRequest.
func deadlyPrompt(uri string) request {
	q := promptRequest(uri)
	q.header["X-Prefix-Hash"] = strings.Replace(q.header["X-Prefix-Hash"], ":1000,", ":1000,"+deadlyPart+":100,", 1)
	return q
}

// Guards against a part of prompts that crashes one engine after the other at all hosts,
// hosts that have seen no crash or start later among them, and against rejecting sound
// requests that share the account and other parts with it.
func TestPartThatCrashesEnginesIsRejectedEverywhere(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	var engines []*standin.Replica
	for i := range 6 {
		engine := f.startEngine(fmt.Sprintf("engine-%d", i), 2)
		engine.SetFaults(standin.ReplicaFaults{CrashPart: deadlyPart})
		engines = append(engines, engine)
	}
	runs := func() int { return countRunsWith(deadlyPart, engines) }
	hosts := []*host{f.startHost("host-1"), f.startHost("host-2"), f.startHost("host-3")}
	for _, h := range hosts {
		f.g.Eventually(h.locate, "5s", "20ms").Should(HaveLen(3))
	}
	f.g.Eventually(func() int {
		return f.send(hosts[0], deadlyPrompt("/query/d")).status + f.send(hosts[1], deadlyPrompt("/brief/d")).status
	}, "5s", "20ms").Should(Equal(2 * http.StatusServiceUnavailable))
	f.g.Expect(runs()).To(BeNumerically("<=", 5))
	f.g.Eventually(func() int { return f.send(hosts[2], deadlyPrompt("/brief/d")).status }, "2s", "20ms").Should(Equal(http.StatusServiceUnavailable))
	f.g.Eventually(func() int { return len(f.store.Rows("sequoiaroad.quarantine")) }, "2s", "20ms").ShouldNot(BeZero())
	hosts = append(hosts, f.startHost("host-4"))
	before := runs()
	for _, h := range hosts {
		r := f.send(h, deadlyPrompt("/query/d"))
		f.g.Expect(r.status).To(Equal(http.StatusServiceUnavailable))
		f.g.Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
		f.g.Eventually(func() int { return f.send(h, promptRequest("/brief/1")).status }, "5s", "50ms").Should(Equal(http.StatusOK))
	}
	f.g.Expect(runs()).To(Equal(before))
}

// countRunsWith returns how many runs of the engines had a part in their prompt.
func countRunsWith(part string, engines []*standin.Replica) int {
	n := 0
	for _, engine := range engines {
		for _, run := range engine.Executions() {
			if strings.Contains(run.Header.Get("X-Prefix-Hash"), part) {
				n++
			}
		}
	}
	return n
}

// addPlainPromptRoute adds a route to the engines whose answers are no streams.
func (f *fixture) addPlainPromptRoute() {
	f.updateConfig(func(c object) {
		c["routes"] = append(c["routes"].([]any), object{
			"name": "plain", "host": virtualHost, "prefix": "/plain/", "kind": "unsafe", "service": engineService,
			"timeout_ms": 3000, "slo_ms": 400, "priority": 1, "max_attempts": 1, "sticky": true,
		})
	})
}

// startCrashingEngines starts engines that crash on a part at a point of the response.
func (f *fixture) startCrashingEngines(n int, part string, at standin.CrashPoint, events int) []*standin.Replica {
	var engines []*standin.Replica
	for i := range n {
		engine := f.startEngine(fmt.Sprintf("engine-%d", i), events)
		engine.SetFaults(standin.ReplicaFaults{CrashPart: part, CrashPoint: at})
		engines = append(engines, engine)
	}
	return engines
}

// crashPoints are the points of a response at which an engine may end.
var crashPoints = map[string]struct {
	at     standin.CrashPoint
	events int
	uri    string
}{
	"before the head": {standin.CrashBeforeHead, 3, "/brief/1"},
	"after the head":  {standin.CrashAfterHead, 3, "/brief/1"},
	"after an event":  {standin.CrashAfterEvent, 3, "/brief/1"},
	"within the body": {standin.CrashInBody, 0, "/plain/1"},
	// Without a length or chunks, what was sent of the body looks complete.
	"within an unframed body": {standin.CrashInUnframedBody, 0, "/plain/1"},
}

// testCrashPoints sends requests with a part on which engines crash, at each point of a
// response, until they are rejected. It expects that three engines have crashed by then and
// that sound requests are served. newSend returns a function that sends one such request and
// returns its status.
func testCrashPoints(t *testing.T, part string, newSend func(f *fixture, h *host, uri string) func() int) {
	t.Parallel()
	for name, point := range crashPoints {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			f.addPlainPromptRoute()
			engines := f.startCrashingEngines(7, part, point.at, point.events)
			h := f.startHost("host-1")
			f.g.Eventually(newSend(f, h, point.uri), "8s", "400ms").Should(Equal(http.StatusServiceUnavailable))
			f.g.Expect(countRunsWith(part, engines)).To(Equal(3))
			f.g.Eventually(func() int { return f.send(h, promptRequest(point.uri)).status }, "5s", "50ms").Should(Equal(http.StatusOK))
		})
	}
}

// Guards against a part that goes on crashing engines because they end before the head of
// the answer, after its first event or within a body that is no stream, where only an end
// between the head and the first event counted as a crash.
func TestPartThatCrashesEnginesIsRejectedWhereverTheAnswerEnds(t *testing.T) {
	testCrashPoints(t, deadlyPart, func(f *fixture, h *host, uri string) func() int {
		sent := 0
		return func() int {
			sent++
			q := deadlyPrompt(uri)
			q.header["X-Prefix-Hash"] += fmt.Sprintf(",e4%06x:10", sent) // no two are alike
			return f.send(h, q).status
		}
	})
}

// Guards against a request that comes again, part for part, and crashes one engine after
// the other, while sound requests complete with all parts that it shares with them.
func TestRepeatedRequestThatCrashesEnginesIsRejected(t *testing.T) {
	const lastPart = "e4dead01"
	testCrashPoints(t, lastPart, func(f *fixture, h *host, uri string) func() int {
		deadly := promptRequest(uri)
		deadly.header["X-Prefix-Hash"] = "5c1e07a2:1000," + lastPart + ":20"
		return func() int {
			f.g.Eventually(func() int { return f.send(h, promptRequest(uri)).status }, "5s", "20ms").Should(Equal(http.StatusOK))
			return f.send(h, deadly).status
		}
	})
}

// Guards against a part in quarantine that crashes engines where it comes last in a prompt, or
// under another order, account or route.
func TestPartInQuarantineIsRejectedAnywhereInAPrompt(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	engines := f.startCrashingEngines(7, deadlyPart, standin.CrashAfterEvent, 3)
	h := f.startHost("host-1")
	sent := 0
	f.g.Eventually(func() int {
		f.g.Eventually(func() int { return f.send(h, promptRequest("/brief/1")).status }, "5s", "20ms").Should(Equal(http.StatusOK))
		sent++
		q := deadlyPrompt("/brief/d")
		q.header["X-Prefix-Hash"] = fmt.Sprintf("5c1e07a2:1000,%s:100,e5%06x:10", deadlyPart, sent) // no two are alike
		return f.send(h, q).status
	}, "8s", "400ms").Should(Equal(http.StatusServiceUnavailable))
	crashed := countRunsWith(deadlyPart, engines)
	for _, parts := range []string{
		deadlyPart + ":100", "5c1e07a2:1000," + deadlyPart + ":100", deadlyPart + ":100,5c1e07a2:1000,e4000001:10", "a0000001:10," + deadlyPart + ":100,e4000002:10",
	} {
		for _, uri := range []string{"/brief/2", "/query/2"} {
			for _, key := range []string{clubKey, schoolKey} {
				q := promptRequest(uri)
				q.header["X-Prefix-Hash"], q.key = parts, key
				f.g.Expect(f.send(h, q).status).To(Equal(http.StatusServiceUnavailable), parts)
			}
		}
	}
	f.g.Expect(countRunsWith(deadlyPart, engines)).To(Equal(crashed))
}

// Guards against sound requests in quarantine because connections of theirs broke while
// their engines lived on.
func TestBrokenStreamsOfLiveEnginesAreNoCrashes(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	var engines []*standin.Replica
	for i := range 4 {
		engine := f.startEngine(fmt.Sprintf("engine-%d", i), 3)
		engine.SetFaults(standin.ReplicaFaults{DropAfterEvents: 1})
		engines = append(engines, engine)
	}
	h := f.startHost("host-1")
	for range 12 {
		f.g.Expect(f.send(h, promptRequest("/brief/1")).err).To(HaveOccurred())
	}
	time.Sleep(500 * time.Millisecond) // the host looks at engines whose answers ended
	for _, engine := range engines {
		engine.SetFaults(standin.ReplicaFaults{})
	}
	f.g.Expect(f.send(h, promptRequest("/brief/1")).status).To(Equal(http.StatusOK))
	f.g.Expect(h.log.String()).NotTo(ContainSubstring("a target ended while"))
}

// Guards against an engine that crashes between two events of a stream without a length or
// chunks, which looks complete and cleared the part that crashed it.
func TestCrashWithinUnframedStreamIsNoCompletion(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	var engines []*standin.Replica
	for i := range 7 {
		engine, _ := f.startUnframedEngine(fmt.Sprintf("engine-%d", i))
		engine.SetFaults(standin.ReplicaFaults{CrashPart: deadlyPart, CrashPoint: standin.CrashAfterEvent})
		engines = append(engines, engine)
	}
	h := f.startHost("host-1")
	f.g.Eventually(func() int { return f.send(h, deadlyPrompt("/brief/d")).status }, "8s", "400ms").Should(Equal(http.StatusServiceUnavailable))
	f.g.Expect(countRunsWith(deadlyPart, engines)).To(Equal(3))
	f.g.Eventually(func() int { return f.send(h, promptRequest("/brief/1")).status }, "5s", "50ms").Should(Equal(http.StatusOK))
}

// Guards against an engine that is slow and does not reach the store for a while, and whose
// lapsed entry counts as a crash under the prompts that it did not answer in time.
func TestLapsedEntryOfALiveEngineIsNoCrash(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	engine := f.startEngine("engine-1", 3)
	engine.SetFaults(standin.ReplicaFaults{StallAfterHead: true})
	h := f.startHost("host-1")
	q := promptRequest("/brief/1")
	q.header["X-Deadline-Ms"] = "300"
	f.g.Expect(f.send(h, q).status).To(Equal(http.StatusGatewayTimeout))
	f.store.Delete("servers", "engine-1")
	f.g.Eventually(h.log.String, "3s", "20ms").Should(ContainSubstring("checked whether a target crashed"))
	f.g.Consistently(h.log.String, "1s", "50ms").ShouldNot(ContainSubstring("a target ended while it worked on a request"))
}
