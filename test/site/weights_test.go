package site

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	standin "github.com/sequoiaroad/sequoiaroad/standin/site"
)

// publishWeights publishes a weights version of the model and returns the time of it.
func (f *fixture) publishWeights(version int) time.Time {
	value, err := json.Marshal(object{"model": model, "version": version})
	f.g.Expect(err).NotTo(HaveOccurred())
	f.store.Put("op", "version/"+model, value)
	return time.Now()
}

// expectNoLateRuns expects that the engine began no request on old weights later than
// the maximum staleness after a newer version was published.
func (f *fixture) expectNoLateRuns(engine *standin.Replica, publishedAt time.Time) {
	for _, run := range engine.Executions() {
		f.g.Expect(run.StartedAt).To(BeTemporally("<", publishedAt.Add(standin.MaxWeightsStaleness)), run.ID)
	}
}

// Guards against requests that are sent before the maximum staleness of the engine's
// weights, wait in its queue and begin after it, and against requests that are not
// rejected at once when all engines have too old weights.
func TestQueuedRequestDoesNotBeginOnOutdatedWeights(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	engine := f.startEngine("engine-1", 2)
	h := f.startHost("host-1")
	engine.SetFaults(standin.ReplicaFaults{LoseReports: true})
	publishedAt := f.publishWeights(2)
	f.g.Expect(f.send(h, promptRequest("/brief/1")).status).To(Equal(http.StatusOK))
	time.Sleep(time.Until(publishedAt.Add(standin.MaxWeightsStaleness - 2400*time.Millisecond)))
	engine.SetFaults(standin.ReplicaFaults{LoseReports: true, Hold: true})
	queued := make(chan result, 2)
	for _, uri := range [...]string{"/brief/2", "/query/2"} {
		go func() { queued <- f.send(h, promptRequest(uri)) }()
	}
	time.Sleep(time.Until(publishedAt.Add(standin.MaxWeightsStaleness)))
	engine.SetFaults(standin.ReplicaFaults{LoseReports: true})
	for range 2 {
		r := <-queued
		f.g.Expect(r.status).To(BeElementOf(http.StatusBadGateway, http.StatusGatewayTimeout))
	}
	sentAt := time.Now()
	r := f.send(h, promptRequest("/query/3"))
	f.g.Expect(r.status).To(Equal(http.StatusServiceUnavailable))
	f.g.Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
	f.g.Expect(time.Since(sentAt)).To(BeNumerically("<", 500*time.Millisecond))
	f.expectNoLateRuns(engine, publishedAt)
	engine.SetFaults(standin.ReplicaFaults{})
	f.g.Eventually(func() int { return f.send(h, promptRequest("/query/4")).status }, "5s", "100ms").Should(Equal(http.StatusOK))
}

// Guards against a request that never got a connection and is reported as possibly run
// when it is withdrawn.
func TestWithdrawnRequestThatWasNotSentMayBeSentAgain(t *testing.T) {
	t.Parallel()
	const connections, waiting = 6, 10
	f := newFixture(t)
	engine, _ := f.startReplica(standin.ReplicaOptions{ID: "engine-1", Service: engineService, Model: model, StreamEvents: 25, EventInterval: 100 * time.Millisecond})
	f.updateConfig(func(c object) { c["services"].([]any)[0].(object)["max_conns"] = 1 })
	h := f.startHost("host-1")
	engine.SetFaults(standin.ReplicaFaults{LoseReports: true})
	publishedAt := f.publishWeights(2)
	time.Sleep(time.Until(publishedAt.Add(standin.MaxWeightsStaleness - 2*time.Second)))
	running, got := make(chan result, connections), make(chan result, waiting)
	for range connections {
		go func() { running <- f.send(h, promptRequest("/brief/running")) }()
	}
	f.g.Eventually(engine.Executions, "1s", "10ms").Should(HaveLen(connections))
	for range waiting {
		go func() { got <- f.send(h, promptRequest("/brief/waiting")) }()
	}
	for range waiting {
		r := <-got
		f.g.Expect(r.body).To(ContainSubstring("the target did not begin before its weights were too old"))
		f.g.Expect(countRuns(r.id, engine)).To(BeZero())
		f.g.Expect(r.status).To(Equal(http.StatusServiceUnavailable))
		f.g.Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
	}
	for range connections {
		f.g.Expect((<-running).body).To(Equal(standin.StreamBody(25)))
	}
}

// Guards against a host that starts after a publication and takes old weights for newly
// outdated, so that it sends requests to engines beyond the maximum staleness.
func TestRestartedHostKnowsTheAgeOfWeights(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	engine := f.startEngine("engine-1", 2)
	f.startHost("host-1")
	engine.SetFaults(standin.ReplicaFaults{LoseReports: true})
	publishedAt := f.publishWeights(2)
	time.Sleep(time.Until(publishedAt.Add(4 * time.Second)))
	started := f.startHost("host-2")
	f.g.Expect(f.send(started, promptRequest("/query/1")).status).To(Equal(http.StatusOK))
	time.Sleep(time.Until(publishedAt.Add(standin.MaxWeightsStaleness)))
	r := f.send(started, promptRequest("/query/2"))
	f.g.Expect(r.status).To(Equal(http.StatusServiceUnavailable))
	f.expectNoLateRuns(engine, publishedAt)
}

// Guards against publications that are recorded only when an engine is to load them: a
// host that starts while all engines are away would not know the age of their weights.
func TestPublicationIsRecordedWithoutRollout(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.startEngine("engine-1", 2)
	f.startDesk("desk-1")
	first := f.startHost("host-1")
	f.store.Delete("servers", "engine-1")
	time.Sleep(time.Second)
	publishedAt := f.publishWeights(2)
	f.g.Eventually(func() int { return len(f.store.Rows("sequoiaroad.publications")) }, "2s", "20ms").Should(Equal(1))
	first.stop()
	f.g.Eventually(first.done, "10s").Should(Receive())
	first.done <- nil
	second := f.startHost("host-2")
	engine := f.startEngine("engine-2", 2)
	engine.SetFaults(standin.ReplicaFaults{LoseReports: true})
	time.Sleep(time.Until(publishedAt.Add(standin.MaxWeightsStaleness)))
	f.g.Expect(f.send(second, promptRequest("/query/1")).status).To(Equal(http.StatusServiceUnavailable))
	f.expectNoLateRuns(engine, publishedAt)
}

// Guards against a host that takes a target which has other weights than expected for one
// that has the newest, although the target has said which it has, and so never sends it a
// request that it accepts.
func TestRejectionForWeightsTellsTheVersion(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	engine := standin.NewReplica(standin.ReplicaOptions{ID: "engine-1", Service: engineService, Zone: "zone-a", Model: model, StreamEvents: 2, WeightsVersion: 3})
	address, stop, err := standin.Serve(engine)
	f.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(stop)
	engine.SetFaults(standin.ReplicaFaults{LoseReports: true})
	entry, err := json.Marshal(object{
		"service": engineService, "address": address, "zone": "zone-a", "version": "v1", "state": "ready", "slots": 8, "seq": 1, "born": 1,
		"cold_left_ms": 0, "stage": "colocated", "models": []any{object{"name": model, "version": 2}},
	})
	f.g.Expect(err).NotTo(HaveOccurred())
	f.store.Put("servers", "engine-1", entry)
	h := f.startHost("host-1")
	f.publishWeights(4)
	time.Sleep(400 * time.Millisecond)
	for range 3 {
		f.g.Expect(f.send(h, promptRequest("/brief/1")).status).To(Equal(http.StatusOK))
	}
}
