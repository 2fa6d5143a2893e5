package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	standin "github.com/sequoiaroad/sequoiaroad/standin/site"
)

// checkRequests compares the responses to the sent requests with the requests that the
// targets ran, and reports each violation.
func (in *installation) checkRequests(sent []*request) {
	runs := in.executionsByID()
	requests := map[string]*request{}
	for _, q := range sent {
		requests[q.id] = q
		in.checkResponse(q)
		in.checkConfig(q)
		in.checkExecutions(q, runs[q.id])
	}
	for id := range runs {
		if requests[id] == nil {
			in.addViolation("a target ran request %q, which no caller sent", id)
		}
	}
	in.checkRetries(sent, runs)
	for _, r := range in.replicas {
		in.checkBackpressure(r, requests)
		in.checkOrders(r)
	}
	for _, d := range in.departures {
		in.checkDeparture(d, requests)
	}
}

// checkOrders checks that no two hosts gave orders to an engine with the same fencing token,
// and that tokens never decreased within an incarnation of the engine.
func (in *installation) checkOrders(r *replica) {
	var last standin.AcceptedOrder
	for _, o := range r.AcceptedOrders() {
		sameToken := o.FencingToken == last.FencingToken && o.Holder != last.Holder
		if o.Started == last.Started && (o.FencingToken < last.FencingToken || sameToken) {
			in.addViolation("%s accepted an order of %s with token %d after one of %s with token %d", r.id, o.Holder, o.FencingToken, last.Holder, last.FencingToken)
		}
		last = o
	}
}

// checkDeparture checks that a target got no request from a host in touch later than the
// drain bound after its entry said that it leaves.
func (in *installation) checkDeparture(d departure, sent map[string]*request) {
	for _, r := range in.replicas {
		for _, a := range r.Arrivals() {
			late := r.id == d.target && a.Started == d.started && a.At.Sub(d.at) > standin.DrainBound
			if q := sent[a.ID]; late && q != nil && in.inTouch(q.host.ID, a.At) {
				in.addViolation("%s reached %s from %s %v after its entry said that it leaves", q.id, d.target, q.host.ID, a.At.Sub(d.at))
			}
		}
	}
}

// executionsByID returns the requests that the targets ran, by request ID.
func (in *installation) executionsByID() map[string][]standin.Execution {
	runs := map[string][]standin.Execution{}
	for _, r := range in.replicas {
		for _, run := range r.Executions() {
			runs[run.ID] = append(runs[run.ID], run)
		}
	}
	return runs
}

// checkResponse checks that a successful response is the complete response of a target to
// this request, and that a failure with a target's body has the target's stamp.
func (in *installation) checkResponse(q *request) {
	if q.status == http.StatusOK && q.err == nil {
		want := "answer to " + q.id
		if q.isPrompt() {
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

// newestProbeKey returns the probe key of the newest configuration, if that must be in
// force on hosts in touch, or "".
func (in *installation) newestProbeKey() string {
	in.mu.Lock()
	defer in.mu.Unlock()
	if newest := in.configs[len(in.configs)-1]; time.Since(newest.at) > standin.ConfigDeadline {
		return probeKey(newest.version)
	}
	return ""
}

// withdrawnProbeKey returns the newest probe key that no host in touch may accept, or "".
func (in *installation) withdrawnProbeKey() string {
	in.mu.Lock()
	defer in.mu.Unlock()
	for i := len(in.configs) - 1; i > 0; i-- {
		if time.Since(in.configs[i].at) > standin.ConfigDeadline {
			return probeKey(in.configs[i-1].version)
		}
	}
	return ""
}

// checkConfig checks that a host in touch rejects withdrawn keys and no others.
func (in *installation) checkConfig(q *request) {
	if q.status == 0 || q.status == http.StatusServiceUnavailable || !in.inTouch(q.host.ID, q.sentAt) {
		return
	}
	rejected := q.status == http.StatusUnauthorized
	if rejected && in.keyIsValid(q) || !rejected && in.keyIsWithdrawn(q) {
		in.addViolation("%s %s with key %s received status %d from %s at %s", q.route, q.id, q.key, q.status, q.host.ID, q.sentAt.Format(time.StampMilli))
	}
}

// keyIsValid reports whether the key of a request was valid until the response. Probe keys
// are sent only once their configuration must be in force.
func (in *installation) keyIsValid(q *request) bool {
	at, withdrawn := in.withdrawal(q.key)
	return !withdrawn || at.After(q.sentAt.Add(q.duration))
}

// keyIsWithdrawn reports whether the configuration that withdrew the key of a request had
// to be in force when the request was sent.
func (in *installation) keyIsWithdrawn(q *request) bool {
	at, withdrawn := in.withdrawal(q.key)
	return withdrawn && q.sentAt.Sub(at) > standin.ConfigDeadline
}

// withdrawal returns when the configuration that withdrew a key was acknowledged.
func (in *installation) withdrawal(key string) (at time.Time, withdrawn bool) {
	for i, c := range in.configs[1:] {
		if key == probeKey(in.configs[i].version) {
			return c.at, true
		}
	}
	return time.Time{}, false
}

// checkRetries checks that the retries of each service stay within the retry budget,
// applied to the whole run.
func (in *installation) checkRetries(sent []*request, runs map[string][]standin.Execution) {
	requestCounts, retryCounts := map[bool]int{}, map[bool]int{}
	for _, q := range sent {
		stream := q.isPrompt() // both routes of prompts stream
		requestCounts[stream]++
		retryCounts[stream] += max(0, len(runs[q.id])-1)
	}
	for stream, n := range requestCounts {
		if limit := standin.RetryBudgetRatio*float64(n) + 2*retryBudgetSlack; float64(retryCounts[stream]) > limit {
			in.addViolation("%d retries for %d requests exceed the retry budget, streams: %v", retryCounts[stream], n, stream)
		}
	}
}

// checkStaleness checks that no prompt began to run on weights older than a version that
// was published more than the maximum staleness before. It returns how many runs came that
// late, and how many of those on outdated weights were exempt.
func (in *installation) checkStaleness(sent []*request) string {
	bounded, exempt := 0, 0
	runs := in.executionsByID()
	for _, q := range sent {
		if !q.isPrompt() {
			continue
		}
		for _, run := range runs[q.id] {
			required := in.requiredWeights(run.StartedAt)
			if required > 0 {
				bounded++
			}
			if run.WeightsVersion >= required {
				continue
			}
			if !in.inTouch(q.host.ID, run.StartedAt) {
				exempt++
				continue
			}
			in.addViolation("%s %s began at %s on weights %d, more than %v after version %d was published; %s was in touch",
				q.route, q.id, run.StartedAt.Format(time.StampMilli), run.WeightsVersion, standin.MaxWeightsStaleness, required, q.host.ID)
		}
	}
	return fmt.Sprintf("%d prompts began later than %v after a version was published; exempt with older weights: %d; versions: %d",
		bounded, standin.MaxWeightsStaleness, exempt, len(in.publications))
}

// requiredWeights returns the newest version that was published more than the maximum
// staleness before the given time, or 0 if there is none.
func (in *installation) requiredWeights(at time.Time) int64 {
	var required int64
	for _, p := range in.publications {
		if at.Sub(p.at) > standin.MaxWeightsStaleness {
			required = p.version
		}
	}
	return required
}

// inTouch reports whether no impairment of the host or of the store has occurred in the
// contact time before the given time. Only then do bounds of time hold:
//   - a host that was killed, stopped or paused, or whose link to the store was cut, may not
//     know the published version, or may have chosen the target long before;
//   - while the store is down no host can renew or take over the lease, so that no engine
//     may be ordered to load.
//
// Faults of targets and their links, reloads, new configurations and a dropped history
// exempt nothing.
func (in *installation) inTouch(host string, at time.Time) bool {
	for _, i := range in.impairments {
		if (i.host == host || i.host == everyHost) && !at.Before(i.begin) && at.Before(i.end.Add(standin.ContactTime)) {
			return false
		}
	}
	return true
}

// waitWeights waits until all engines have the newest published version, and reports those
// that have not by the deadline.
func (in *installation) waitWeights(deadline time.Time) {
	newest := in.publications[len(in.publications)-1].version
	for _, r := range in.replicas {
		for r.isEngine && r.WeightsVersion() < newest {
			if time.Now().After(deadline) {
				in.addViolation("%s has weights %d instead of %d, %v after the last fault", r.id, r.WeightsVersion(), newest, standin.MaxWeightsStaleness)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}
