package soak

import (
	"net/http"
	"strings"

	standin "github.com/sequoiaroad/sequoiaroad/standin/site"
)

// check compares what callers got with what targets ran, and reports each broken
// promise.
func (in *installation) check(sent []*request) {
	runs := map[string][]standin.Execution{}
	for _, r := range in.replicas {
		for _, run := range r.Executions() {
			runs[run.ID] = append(runs[run.ID], run)
		}
	}
	known := map[string]*request{}
	for _, q := range sent {
		known[q.id] = q
		in.checkAnswer(q)
		in.checkRuns(q, runs[q.id])
	}
	for id := range runs {
		if known[id] == nil {
			in.report("a target ran request %q, which nobody sent", id)
		}
	}
	in.checkRetries(sent, runs)
}

// checkAnswer checks that a success is the whole answer of a target to this request,
// and that no answer comes later than the time limit allows.
func (in *installation) checkAnswer(q *request) {
	if q.status == http.StatusOK && q.err == nil {
		want := "answer to " + q.id
		if q.kind == "brief" || q.kind == "query" {
			want = standin.StreamBody(streamEvents)
		}
		if stamp := q.header.Get("X-Response-Stamp"); q.body != want || stamp != "stamp-"+q.id {
			in.report("%s %s got 200 with stamp %q and body %q", q.kind, q.id, stamp, q.body)
		}
	}
	if q.status != http.StatusOK && q.status != 0 && q.header.Get("X-Response-Stamp") == "" && strings.HasPrefix(q.body, "answer to") {
		in.report("%s %s got a target's answer with status %d without its stamp", q.kind, q.id, q.status)
	}
}

// checkRuns checks that a request ran as it was sent, at most once if it is not
// idempotent, and never if it was refused.
func (in *installation) checkRuns(q *request, runs []standin.Execution) {
	idempotent := q.kind == "status" || q.kind == "query"
	if !idempotent && len(runs) > 1 {
		in.report("%s %s ran %d times", q.kind, q.id, len(runs))
	}
	refused := q.status == http.StatusTooManyRequests || q.status == http.StatusServiceUnavailable ||
		q.status == http.StatusRequestTimeout || q.status == http.StatusMisdirectedRequest
	if refused && !idempotent && len(runs) > 0 {
		in.report("%s %s was refused with %d and ran", q.kind, q.id, q.status)
	}
	for _, run := range runs {
		body := ""
		if kinds[q.kind] == http.MethodPost {
			body = "body of " + q.id
		}
		if run.Method != kinds[q.kind] || run.URI != "/"+q.kind+"/"+q.id || run.Body != body || run.Header.Get("X-Tenant") != "club" {
			in.report("%s %s ran as %s %s %q for account %q", q.kind, q.id, run.Method, run.URI, run.Body, run.Header.Get("X-Tenant"))
		}
	}
}

// checkRetries checks the repeats of each service over the whole run against a budget
// of that length.
func (in *installation) checkRetries(sent []*request, runs map[string][]standin.Execution) {
	requests, repeats := map[bool]int{}, map[bool]int{}
	for _, q := range sent {
		stream := q.kind == "brief" || q.kind == "query"
		requests[stream]++
		repeats[stream] += max(0, len(runs[q.id])-1)
	}
	for stream, n := range requests {
		if limit := standin.RetryBudgetRatio*float64(n) + 2*retrySlack; float64(repeats[stream]) > limit {
			in.report("%d repeats for %d requests, streams: %v", repeats[stream], n, stream)
		}
	}
}
