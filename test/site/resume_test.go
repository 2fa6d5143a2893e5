package site

import (
	"net/http"
	"strings"
	"testing"

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
