package soak

import (
	"net/http"
	"strings"

	standin "github.com/sequoiaroad/sequoiaroad/standin/site"
)

// checkRequests compares the responses to the sent requests with the requests that the
// targets ran, and reports each violation.
func (in *installation) checkRequests(sent []*request) {
	runs := map[string][]standin.Execution{}
	for _, r := range in.replicas {
		for _, run := range r.Executions() {
			runs[run.ID] = append(runs[run.ID], run)
		}
	}
	requests := map[string]*request{}
	for _, q := range sent {
		requests[q.id] = q
		in.checkResponse(q)
		in.checkExecutions(q, runs[q.id])
	}
	for id := range runs {
		if requests[id] == nil {
			in.addViolation("a target ran request %q, which no caller sent", id)
		}
	}
	in.checkRetries(sent, runs)
}

// checkResponse checks that a successful response is the complete response of a target to
// this request, and that a failure with a target's body has the target's stamp.
func (in *installation) checkResponse(q *request) {
	if q.status == http.StatusOK && q.err == nil {
		want := "answer to " + q.id
		if q.route == "brief" || q.route == "query" {
			want = standin.StreamBody(streamEvents)
		}
		if stamp := q.header.Get("X-Response-Stamp"); q.body != want || stamp != "stamp-"+q.id {
			in.addViolation("%s %s received status 200 with stamp %q and body %q", q.route, q.id, stamp, q.body)
		}
	}
	if q.status != http.StatusOK && q.status != 0 && q.header.Get("X-Response-Stamp") == "" && strings.HasPrefix(q.body, "answer to") {
		in.addViolation("%s %s received a target's body with status %d without its stamp", q.route, q.id, q.status)
	}
}

// checkExecutions checks that the targets ran a request as it was sent. One that is not
// idempotent may run at most once, and not at all if it was refused.
func (in *installation) checkExecutions(q *request, runs []standin.Execution) {
	idempotent := q.route == "status" || q.route == "query"
	if !idempotent && len(runs) > 1 {
		in.addViolation("%s %s ran %d times", q.route, q.id, len(runs))
	}
	refused := q.status == http.StatusTooManyRequests || q.status == http.StatusServiceUnavailable ||
		q.status == http.StatusRequestTimeout || q.status == http.StatusMisdirectedRequest
	if refused && !idempotent && len(runs) > 0 {
		in.addViolation("%s %s was refused with status %d but ran", q.route, q.id, q.status)
	}
	for _, run := range runs {
		body := ""
		if routeMethods[q.route] == http.MethodPost {
			body = "body of " + q.id
		}
		if run.Method != routeMethods[q.route] || run.URI != "/"+q.route+"/"+q.id || run.Body != body || run.Header.Get("X-Tenant") != "club" {
			in.addViolation("%s %s ran as %s %s %q for account %q", q.route, q.id, run.Method, run.URI, run.Body, run.Header.Get("X-Tenant"))
		}
	}
}

// checkRetries checks that the retries of each service stay within the retry budget,
// applied to the whole run.
func (in *installation) checkRetries(sent []*request, runs map[string][]standin.Execution) {
	requestCounts, retryCounts := map[bool]int{}, map[bool]int{}
	for _, q := range sent {
		stream := q.route == "brief" || q.route == "query"
		requestCounts[stream]++
		retryCounts[stream] += max(0, len(runs[q.id])-1)
	}
	for stream, n := range requestCounts {
		if limit := standin.RetryBudgetRatio*float64(n) + 2*retryBudgetSlack; float64(retryCounts[stream]) > limit {
			in.addViolation("%d retries for %d requests exceed the retry budget, streams: %v", retryCounts[stream], n, stream)
		}
	}
}
