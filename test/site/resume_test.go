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

// Guards against an error of the next target, or any response that does not go on with the
// stream, in the middle of a stream that has begun; and against such a stream that ends as
// if it were complete.
func TestFailedResumptionBreaksTheStreamOff(t *testing.T) {
	t.Parallel()
	const events, relayed = 6, 3
	for name, response := range map[string]standin.FixedResponse{
		"not found":       {Status: http.StatusNotFound, ContentType: "text/plain", Body: "no such stream\n\n"},
		"bad request":     {Status: http.StatusBadRequest, ContentType: "application/json", Body: `{"error":"bad id"}`},
		"long error":      {Status: http.StatusNotFound, ContentType: "text/plain", Body: strings.Repeat("no such stream\n\n", 20_000)},
		"server error":    {Status: http.StatusInternalServerError, ContentType: "text/plain", Body: "failed\n\n"},
		"unavailable":     {Status: http.StatusServiceUnavailable, ContentType: "text/plain", Body: "busy\n\n"},
		"redirect":        {Status: http.StatusFound, ContentType: "text/plain", Body: "elsewhere\n\n"},
		"no content":      {Status: http.StatusNoContent, ContentType: "text/event-stream"},
		"text for stream": {Status: http.StatusOK, ContentType: "text/plain", Body: "error: busy\n\n"},
		"empty text":      {Status: http.StatusOK, ContentType: "text/plain"},
		"from the start":  {Status: http.StatusOK, ContentType: "text/event-stream", Body: standin.StreamBody(events)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			for _, id := range []string{"engine-1", "engine-2"} {
				f.startEngine(id, events).SetFaults(standin.ReplicaFaults{DropAfterEvents: relayed, ResumeResponse: response})
			}
			r := f.send(f.startHost("host-1"), promptRequest("/query/1"))
			f.g.Expect(r.err).To(HaveOccurred())
			f.g.Expect(r.body).To(Equal(standin.StreamBody(relayed)))
		})
	}
}

// Guards against a stream that ends as complete although a target has stopped in the middle of
// an event: the next target, at which the host goes on, sends no event.
func TestStreamThatBrokeOffInsideAnEventDoesNotEndWithoutIt(t *testing.T) {
	t.Parallel()
	const events, relayed = 6, 3
	for name, body := range map[string]string{"nothing": "", "a comment": ": wait\n\n"} {
		for _, unframed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, unframed %t", name, unframed), func(t *testing.T) {
				t.Parallel()
				f := newFixture(t)
				next := standin.FixedResponse{Status: http.StatusOK, ContentType: "text/event-stream", Body: body}
				for _, id := range []string{"engine-1", "engine-2"} {
					engine, _ := f.startReplica(standin.ReplicaOptions{
						ID: id, Service: engineService, Model: model, StreamEvents: events, EventInterval: 10 * time.Millisecond, LoadTime: 50 * time.Millisecond, Unframed: unframed,
					})
					engine.SetFaults(standin.ReplicaFaults{DropAfterEvents: relayed, ResumeResponse: next})
				}
				r := f.send(f.startHost("host-1"), promptRequest("/query/1"))
				f.g.Expect(r.err).To(HaveOccurred())
				f.g.Expect(r.body).To(HavePrefix(standin.StreamBody(relayed)))
			})
		}
	}
}

// Guards against a stream that counts as broken off although all of its events were relayed
// before its target ended without saying so, and nothing is left to resume.
func TestStreamEndsWhereNothingIsLeftToResume(t *testing.T) {
	t.Parallel()
	const events = 3
	f := newFixture(t)
	for _, id := range []string{"engine-1", "engine-2"} {
		f.startEngine(id, events).SetFaults(standin.ReplicaFaults{CutAfterLastEvent: true})
	}
	r := f.send(f.startHost("host-1"), promptRequest("/query/1"))
	f.g.Expect(r.err).NotTo(HaveOccurred())
	f.g.Expect(r.status).To(Equal(http.StatusOK))
	f.g.Expect(r.body).To(Equal(standin.StreamBody(events)))
}
