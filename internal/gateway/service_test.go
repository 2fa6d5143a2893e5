package gateway

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/sequoiaroad/sequoiaroad/internal/fleet"
	"github.com/sequoiaroad/sequoiaroad/internal/refusal"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/standin/engine"
	"github.com/sequoiaroad/sequoiaroad/standin/relay"
	"github.com/sequoiaroad/sequoiaroad/standin/service"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"pgregory.net/rapid"
)

const bookingsPath = "/services/booking/bookings"

func (f *fixture) book(idempotencyKey, bookingID string) callResult {
	return f.do("POST", bookingsPath, clubKey, `{"booking_id":"`+bookingID+`"}`, idempotencyKeyHeader, idempotencyKey)
}

func haveRefusal(code refusal.Code, execution refusal.Execution) OmegaMatcher {
	return And(HaveField("Code", code), HaveField("Execution", execution))
}

// Guards against a repeated booking that is executed twice, and a response that differs
// from the recorded one.
func TestRepeatedBookingReturnsRecordedResponse(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, nil)
	g.Expect(f.do("POST", bookingsPath, clubKey, "{}").refusal()).To(haveRefusal(refusal.IdempotencyKeyRequired, refusal.NotExecuted))
	first := f.book("i1", "b1")
	g.Expect(first.body).To(Equal(`{"booking_id":"b1","run":1}`))
	again := f.book("i1", "b1")
	g.Expect(again.body).To(Equal(first.body))
	g.Expect(again.status).To(Equal(first.status))
	g.Expect(again.header.Get(replayedHeader)).To(Equal("true"))
	g.Expect(again.header.Get(requestIDHeader)).NotTo(Equal(first.header.Get(requestIDHeader)))
	g.Expect(f.book("i1", "b2").refusal().Code).To(Equal(refusal.IdempotencyKeyReused))
	g.Expect(f.book(clubKey, "b3").refusal().Code).To(Equal(refusal.InvalidRequest))
	g.Expect(f.service.Executions().Total()).To(Equal(1))
	g.Expect(f.registry.records["club/booking/i1"].sends).To(Equal(1))
	g.Expect(f.limiter.unsettled).To(BeZero())
}

// Guards against a wrong recorded state after a send that fails: the response breaks off
// or belongs to another request, the service stalls, or it reports that it did not execute
// the request.
func TestSendOutcomesAreRecorded(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, nil)
	f.service.SetFaults(service.Faults{DropAtByte: 5})
	g.Expect(f.book("drop", "b1").refusal()).To(haveRefusal(refusal.TargetFailed, refusal.ExecutionUnknown))
	g.Expect(f.registry.state("club/booking/drop")).To(Equal("unknown"))
	f.service.SetFaults(service.Faults{WrongID: true})
	g.Expect(f.book("swapped", "b2").refusal()).To(haveRefusal(refusal.TargetFailed, refusal.ExecutionUnknown))
	g.Expect(f.registry.state("club/booking/swapped")).To(Equal("unknown"))
	f.service.SetFaults(service.Faults{Stall: true})
	r := f.do("POST", bookingsPath, clubKey, `{"booking_id":"b3"}`, idempotencyKeyHeader, "stall", timeoutHeader, "200")
	g.Expect(r.refusal()).To(haveRefusal(refusal.TargetFailed, refusal.ExecutionUnknown))
	g.Expect(f.registry.state("club/booking/stall")).To(Equal("unknown"))
	f.service.SetFaults(service.Faults{NotRun: true})
	g.Expect(f.book("refused", "b4").refusal()).To(haveRefusal(refusal.TargetUnavailable, refusal.NotExecuted))
	g.Expect(f.registry.state("club/booking/refused")).To(Equal("not_run"))
	f.service.SetFaults(service.Faults{})
	g.Expect(f.book("drop", "b1").refusal()).To(haveRefusal(refusal.OutcomeUnknown, refusal.ExecutionUnknown))
	g.Expect(f.book("refused", "b4").status).To(Equal(http.StatusOK))
	for id, executions := range map[string]int{"b1": 1, "b2": 1, "b3": 1, "b4": 1} {
		g.Expect(f.service.Executions().ForBooking(id)).To(Equal(executions), id)
	}
}

// Guards against a booking that is sent although the last check before the send refused
// it, and against a claim that stays open afterwards.
func TestFailedLastCheckSendsNothing(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, nil)
	f.registry.beginErr = refusal.New(refusal.PlatformUnavailable, "the store is down")
	g.Expect(f.book("i1", "b1").refusal()).To(haveRefusal(refusal.PlatformUnavailable, refusal.NotExecuted))
	f.registry.beginErr = nil
	f.registry.sendErr = refusal.New(refusal.DeadlineUnreachable, "too late")
	g.Expect(f.book("i1", "b1").refusal()).To(haveRefusal(refusal.DeadlineUnreachable, refusal.NotExecuted))
	f.registry.sendErr = nil
	f.limiter.expireAll = true
	g.Expect(f.book("i1", "b1").refusal()).To(haveRefusal(refusal.Overloaded, refusal.NotExecuted))
	g.Expect(f.registry.state("club/booking/i1")).To(Equal("not_run"))
	g.Expect(f.service.ReceivedRequests()).To(BeEmpty())
	g.Expect(f.limiter.settledTokens).To(BeZero())
}

// Guards against a booking that is refused because one replica is unreachable although
// another one could serve it.
func TestUnreachableReplicaIsSkipped(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, func(f *fixture) { f.chooser.replicas = append([]*config.Target{unreachableReplica(t)}, f.replicas...) })
	g.Expect(f.book("i1", "b1").status).To(Equal(http.StatusOK))
	g.Expect(f.do("GET", "/services/booking/runs", clubKey, "").body).To(Equal(`{"runs":1}`))
	f.chooser.replicas = f.chooser.replicas[:1]
	g.Expect(f.book("i2", "b2").refusal()).To(haveRefusal(refusal.TargetUnavailable, refusal.NotExecuted))
	g.Expect(f.do("GET", "/services/booking/runs", clubKey, "").refusal()).To(haveRefusal(refusal.TargetUnavailable, refusal.NotExecuted))
}

// Guards against a booking that is aborted because its caller disconnects, and against a
// response that is sent to a caller whose key was withdrawn in the meantime.
func TestSentBookingCompletesWithoutItsCaller(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, func(f *fixture) {
		f.service = service.New(service.Options{Delay: 150 * time.Millisecond})
		server := httptest.NewServer(f.service)
		t.Cleanup(server.Close)
		f.chooser.replicas = []*config.Target{{ID: "slow", URL: server.URL}}
	})
	ctx, leave := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, "POST", f.url+bookingsPath, strings.NewReader(`{"booking_id":"b1"}`))
	g.Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+clubKey)
	request.Header.Set(idempotencyKeyHeader, "i1")
	go func() {
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
		}
	}()
	g.Eventually(f.service.Executions().Total).Should(Equal(1))
	leave()
	g.Eventually(func() string { return f.registry.state("club/booking/i1") }).Should(Equal("done"))
	g.Expect(f.book("i1", "b1").body).To(Equal(`{"booking_id":"b1","run":1}`))

	results := make(chan callResult, 1)
	go func() { results <- f.book("i2", "b2") }()
	g.Eventually(f.service.Executions().Total).Should(Equal(2))
	f.view.set(func(v *testView) { v.withdrawn["k1"] = true })
	r := <-results
	g.Expect(r.refusal()).To(haveRefusal(refusal.KeyWithdrawn, refusal.Executed))
	g.Expect(r.body).NotTo(ContainSubstring("booking_id"))
	g.Expect(f.registry.state("club/booking/i2")).To(Equal("done"))
}

// Guards against an idempotent call that fails although a retry at another replica would
// succeed, and against a false not_run after an attempt that may have been executed.
func TestIdempotentCallIsRetriedAtAnotherReplica(t *testing.T) {
	g := NewWithT(t)
	broken := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer broken.Close()
	f := newFixture(t, nil)
	f.chooser.replicas = append([]*config.Target{{ID: "broken", URL: broken.URL}}, f.replicas...)
	g.Expect(f.do("GET", "/services/booking/runs", clubKey, "").body).To(Equal(`{"runs":0}`))
	f.chooser.replicas = []*config.Target{{ID: "broken", URL: broken.URL}, unreachableReplica(t)}
	g.Expect(f.do("GET", "/services/booking/runs", clubKey, "").refusal().Execution).To(Equal(refusal.ExecutionUnknown))
}

// Guards against a booking that is executed twice because net/http retries requests with
// an Idempotency-Key when the target closes a reused connection.
func TestBookingIsNotRetriedOnReusedConnection(t *testing.T) {
	g := NewWithT(t)
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if calls.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "{}")
	}))
	defer server.Close()
	f := newFixture(t, func(f *fixture) { f.chooser.replicas = []*config.Target{{ID: "r", URL: server.URL}} })
	send := func(key string) callResult { return f.do("POST", bookingsPath, clubKey, "", idempotencyKeyHeader, key) }
	g.Expect(send("i1").status).To(Equal(http.StatusOK))
	g.Expect(send("i2").refusal()).To(haveRefusal(refusal.TargetFailed, refusal.ExecutionUnknown))
	g.Expect(calls.Load()).To(Equal(int32(2)))
}

// Guards against an idempotent call that waits for a stalled replica until its deadline.
func TestStalledReplicaIsSkipped(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, func(f *fixture) { f.options.AttemptTimeout = 100 * time.Millisecond })
	stalled := service.New(service.Options{})
	stalled.SetFaults(service.Faults{Stall: true})
	server := httptest.NewServer(stalled)
	defer server.Close()
	f.chooser.replicas = append([]*config.Target{{ID: "stalled", URL: server.URL}}, f.replicas...)
	start := time.Now()
	g.Expect(f.do("GET", "/services/booking/runs", clubKey, "").body).To(Equal(`{"runs":0}`))
	g.Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
}

// Guards against a long response that is cut off because its caller reads slowly.
func TestSlowCallerReceivesLongResponse(t *testing.T) {
	g := NewWithT(t)
	long := strings.Repeat("x", 7<<20)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, long) }))
	defer server.Close()
	f := newFixture(t, func(f *fixture) { f.options.WriteTimeout = 400 * time.Millisecond })
	f.chooser.replicas = []*config.Target{{ID: "r", URL: server.URL}}
	request, err := http.NewRequest("GET", f.url+"/services/booking/runs", nil)
	g.Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+clubKey)
	smallBuffer := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err == nil {
			err = conn.(*net.TCPConn).SetReadBuffer(16 << 10) // otherwise the kernel takes most of the response
		}
		return conn, err
	}}
	defer smallBuffer.CloseIdleConnections()
	response, err := smallBuffer.RoundTrip(request)
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	total, part := 0, make([]byte, 400<<10)
	for err == nil {
		var n int
		n, err = io.ReadFull(response.Body, part)
		total += n
		time.Sleep(50 * time.Millisecond)
	}
	g.Expect(total).To(Equal(len(long)), "%v", err)
}

// Guards against a path that the route table and the target interpret differently, so that
// it reaches a keyed route through an open one.
func TestAmbiguousPathsAreRejected(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, nil)
	for _, path := range []string{"/echo/../bookings", "/echo/%2e%2e/bookings", "/echo/..%2fbookings", "//bookings", "/echo//x",
		"/echo/%5c..%5cbookings", "/echo/./x", "/echo/%252e%252e/bookings", "/echo/..;a=b/bookings"} {
		r := f.do("GET", "/services/booking"+path, "", "")
		g.Expect(r.refusal()).To(haveRefusal(refusal.InvalidRequest, refusal.NotExecuted), path)
	}
	g.Expect(f.do("GET", "/services/booking/echo/"+clubKey, clubKey, "").refusal().Code).To(Equal(refusal.InvalidRequest))
	g.Expect(f.do("GET", "/services/none/x", clubKey, "").refusal().Code).To(Equal(refusal.NotFound))
	g.Expect(f.do("GET", "/services/booking/echoes", "", "").refusal().Code).To(Equal(refusal.Unauthorized))
	g.Expect(f.service.ReceivedRequests()).To(BeEmpty())
}

// Guards against an open route that requires a key or a fresh configuration, or that
// reserves tokens.
func TestOpenRouteNeedsNoKey(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, nil)
	f.view.set(func(v *testView) { v.fresh = false })
	g.Expect(f.do("GET", "/services/booking/echo?a=1", "", "").status).To(Equal(http.StatusOK))
	g.Expect(f.do("GET", "/services/booking/runs", clubKey, "").refusal()).To(haveRefusal(refusal.HostNotFresh, refusal.NotExecuted))
	g.Expect(f.limiter.reservedTokens).To(BeZero())
}

// Guards against a caller's key that leaks from the gateway: in requests to targets, logs,
// spans or error bodies.
func TestClientKeyIsNotLeaked(t *testing.T) {
	g := NewWithT(t)
	spans := tracetest.NewSpanRecorder()
	f := newFixture(t, func(f *fixture) {
		f.options.Tracer = sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans)).Tracer("test")
	})
	encoded := base64.StdEncoding.EncodeToString([]byte("user:" + clubKey))
	for _, route := range []string{"/services/booking/echo", bookingsPath} {
		r := f.do("POST", route+"?key="+clubKey+"&a=1&b="+encoded+"&c="+url.QueryEscape("x "+clubKey), clubKey, "{}",
			"X-Api-Key", clubKey, "Cookie", "session="+clubKey, "X-Note", encoded, "Proxy-Authorization", "Basic "+encoded,
			idempotencyKeyHeader, "i1", "X-Kept", "yes")
		g.Expect(r.status).To(Equal(http.StatusOK), r.body)
	}
	f.do("POST", "/v1/completions", clubKey, `{"model":"m","prompt":"my key is `+clubKey+`","api_key":"`+clubKey+`","user":"`+encoded+`"}`)
	f.do("POST", "/v1/completions", clubKey, `{"model":"`+clubKey+`","prompt":"x"}`)
	unknown := f.do("GET", "/services/"+clubKey+"/x", clubKey, "")
	g.Expect(unknown.refusal().Code).To(Equal(refusal.NotFound))
	g.Expect(unknown.body).NotTo(ContainSubstring(clubKey))
	request, err := http.NewRequest("PUT", f.url+"/services/booking/echo", io.NopCloser(strings.NewReader("x")))
	g.Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+clubKey)
	request.Trailer = http.Header{"X-Sum": {"1"}, "X-Leak": {encoded}}
	response, err := http.DefaultClient.Do(request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Body.Close()).To(Succeed())
	lastReceived := f.service.ReceivedRequests()[len(f.service.ReceivedRequests())-1]
	g.Expect(lastReceived.Trailer).To(Equal(http.Header{"X-Sum": {"1"}}))
	f.service.SetFaults(service.Faults{DropAtByte: -1})
	failed := f.do("GET", "/services/booking/runs?x="+clubKey, clubKey, "")
	g.Expect(failed.refusal().Execution).To(Equal(refusal.ExecutionUnknown))
	f.limiter.err = refusal.New(refusal.RateLimited, "%s is over its limit", clubKey).WithCause(errors.New("bucket of " + clubKey))
	limited := f.do("GET", "/services/booking/runs", clubKey, "")
	g.Expect(limited.refusal().Code).To(Equal(refusal.RateLimited))
	g.Expect(limited.body).NotTo(ContainSubstring(clubKey))

	for _, r := range f.service.ReceivedRequests() {
		text := fmt.Sprint(r)
		g.Expect(text).NotTo(ContainSubstring(clubKey))
		g.Expect(text).NotTo(ContainSubstring(encoded))
	}
	g.Expect(f.service.ReceivedRequests()[0].Header.Get("X-Kept")).To(Equal("yes"))
	g.Expect(f.service.ReceivedRequests()[0].RawQuery).To(Equal("a=1"))
	g.Expect(f.engine.ReceivedRequests()).NotTo(BeEmpty())
	for _, r := range f.engine.ReceivedRequests() {
		g.Expect(fmt.Sprint(r)).NotTo(ContainSubstring(clubKey))
	}
	g.Expect(f.logs.String()).NotTo(ContainSubstring(clubKey))
	g.Expect(f.logs.String()).To(ContainSubstring("request refused"))
	g.Expect(spans.Ended()).NotTo(BeEmpty())
	for _, s := range spans.Ended() {
		g.Expect(fmt.Sprint(s.Name(), s.Attributes(), s.Events(), s.Status())).NotTo(ContainSubstring(clubKey))
	}
}

func hostStatus(id, zone string, draining, live bool) fleet.HostStatus {
	return fleet.HostStatus{Member: config.Member{HostID: id, Zone: zone, CallerAddress: id + ":80"}, Live: live, Draining: draining, Fresh: true}
}

// Guards against a locator that returns draining or dead hosts, and against a draining
// host that refuses callers which still use addresses that they have cached.
func TestLocatorAndDraining(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, func(f *fixture) { f.options.LocatorTTL = 100 * time.Millisecond })
	f.view.set(func(v *testView) {
		v.hosts = []fleet.HostStatus{hostStatus("h1", "a", false, true), hostStatus("h2", "b", false, true), hostStatus("h3", "a", true, true), hostStatus("h4", "a", false, false)}
	})
	r := f.do("GET", "/v1/addresses?zone=b&model=m&prefix_hint=x", clubKey, "")
	g.Expect(r.body).To(Equal(`{"addresses":["h2:80","h1:80"],"ttl_ms":100}`))
	g.Expect(f.do("GET", "/v1/addresses", "", "").refusal().Code).To(Equal(refusal.Unauthorized))
	g.Expect(f.do("GET", "/readyz", "", "").status).To(Equal(http.StatusOK))

	f.mu.Lock()
	f.draining = true
	f.mu.Unlock()
	start := time.Now()
	g.Expect(f.do("GET", "/readyz", "", "").status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(f.do("GET", "/v1/addresses", clubKey, "").body).To(Equal(`{"addresses":["h2:80"],"ttl_ms":100}`))
	var last callResult
	g.Eventually(func() int {
		last = f.do("GET", "/v1/models", clubKey, "")
		return last.status
	}, "5s", "5ms").Should(Equal(http.StatusServiceUnavailable))
	g.Expect(time.Since(start)).To(BeNumerically(">", 200*time.Millisecond))
	g.Expect(last.refusal()).To(And(haveRefusal(refusal.HostDraining, refusal.NotExecuted), HaveField("Addresses", []string{"h2:80"})))
	g.Expect(f.do("GET", "/healthz", "", "").status).To(Equal(http.StatusOK))
}

// Guards against requests that a stopping host accepts after it has stopped counting them,
// and against refusals before that.
func TestRefusingOverridesDrainGrace(t *testing.T) {
	g := NewWithT(t)
	var refusing atomic.Bool
	f := newFixture(t, func(f *fixture) {
		f.draining, f.options.Refusing, f.options.LocatorTTL = true, refusing.Load, time.Millisecond
	})
	g.Expect(f.do("GET", "/v1/models", clubKey, "").status).To(Equal(http.StatusOK))
	time.Sleep(10 * time.Millisecond)
	g.Expect(f.do("GET", "/v1/models", clubKey, "").status).To(Equal(http.StatusOK))
	refusing.Store(true)
	g.Expect(f.do("GET", "/v1/models", clubKey, "").refusal()).To(haveRefusal(refusal.HostDraining, refusal.NotExecuted))
	g.Expect(f.do("GET", "/services/booking/echo", "", "").refusal()).To(haveRefusal(refusal.HostDraining, refusal.NotExecuted))
}

// Guards against requests that are served without a valid key, and against a new key that
// is reported as invalid by a host that has not received it yet.
func TestAuthentication(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, nil)
	g.Expect(f.do("GET", "/v1/models", clubKey, "").body).To(ContainSubstring(`"id":"m"`))
	g.Expect(f.do("GET", "/v1/models", "sk-unknown", "").refusal()).To(haveRefusal(refusal.Unauthorized, refusal.NotExecuted))
	g.Expect(f.do("GET", "/v1/models", "", "", "Authorization", "Basic abc").refusal().Code).To(Equal(refusal.Unauthorized))
	f.view.set(func(v *testView) { v.fresh = false; v.hosts = []fleet.HostStatus{hostStatus("h2", "b", false, true)} })
	r := f.do("GET", "/v1/models", "sk-issued-lately", "").refusal()
	g.Expect(r).To(And(haveRefusal(refusal.HostNotFresh, refusal.NotExecuted), HaveField("Addresses", []string{"h2:80"})))
}

// Guards against a false not_run and against a second execution of a booking: with
// generated faults before, at and after the send, with repeated requests under the same
// key, and over a link that is cut at a random byte. The service counts the executions.
func TestServiceCallsReportNotExecutedCorrectly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cleanups := &cleanupList{t: t}
		defer cleanups.run()
		f := newFixture(cleanups, nil)
		link, err := relay.New(strings.TrimPrefix(f.replicas[0].URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer link.Close()
		relayed := &config.Target{ID: "relayed", URL: "http://" + link.Addr()}
		responses := map[string]int{} // number of successful responses, by booking
		notExecuted := map[string]bool{}
		for step := range rapid.IntRange(1, 6).Draw(t, "steps") {
			f.drawFaults(t, link, relayed, unreachableReplica(cleanups))
			booking := fmt.Sprintf("b%d", rapid.IntRange(0, step).Draw(t, "booking"))
			r := f.book("i-"+booking, booking)
			if r.err != nil {
				t.Fatalf("no complete response: %v", r.err)
			}
			switch {
			case r.status == http.StatusOK:
				responses[booking]++
				notExecuted[booking] = false
			case r.refusal().Execution == refusal.NotExecuted:
				if _, known := notExecuted[booking]; !known {
					notExecuted[booking] = true
				}
			default:
				notExecuted[booking] = false
			}
		}
		time.Sleep(5 * time.Millisecond) // requests that were cut off may still arrive
		for booking, onlyNotExecuted := range notExecuted {
			executions := f.service.Executions().ForBooking(booking)
			if executions > 1 || (onlyNotExecuted && executions > 0) || (responses[booking] > 0 && executions != 1) {
				t.Fatalf("booking %s was executed %d times; only not_run: %v; successful responses: %d", booking, executions, onlyNotExecuted, responses[booking])
			}
		}
		if f.limiter.unsettled != 0 {
			t.Fatalf("%d reservations were not settled", f.limiter.unsettled)
		}
	})
}

// drawFaults sets generated faults for the next request.
func (f *fixture) drawFaults(t *rapid.T, link *relay.Relay, relayed, unreachable *config.Target) {
	f.service.SetFaults(rapid.SampledFrom([]service.Faults{
		{}, {}, {DropAtByte: -1}, {DropAtByte: 7}, {NotRun: true}, {WrongID: true},
	}).Draw(t, "service"))
	link.CloseAfter(-1, -1)
	switch rapid.IntRange(0, 3).Draw(t, "link") {
	case 1:
		link.CloseAfter(rapid.Int64Range(0, 400).Draw(t, "up"), -1)
	case 2:
		link.CloseAfter(-1, rapid.Int64Range(0, 250).Draw(t, "down"))
	}
	replicas := map[string][]*config.Target{
		"live": {f.replicas[0]}, "relayed": {relayed, f.replicas[1]}, "unreachable": {unreachable, relayed}, "none": nil, "two": f.replicas,
	}
	f.chooser.mu.Lock()
	f.chooser.replicas = replicas[rapid.SampledFrom([]string{"live", "relayed", "unreachable", "none", "two"}).Draw(t, "replicas")]
	f.chooser.mu.Unlock()
	maybeRefusal := func(name string) error {
		if rapid.IntRange(0, 5).Draw(t, name) > 0 {
			return nil
		}
		return refusal.New(refusal.PlatformUnavailable, "refused by the test")
	}
	f.registry.mu.Lock()
	f.registry.beginErr, f.registry.sendErr = maybeRefusal("begin"), maybeRefusal("send")
	f.registry.mu.Unlock()
	f.limiter.mu.Lock()
	f.limiter.err, f.limiter.expireAll = maybeRefusal("reserve"), rapid.IntRange(0, 7).Draw(t, "invalid") == 0
	f.limiter.mu.Unlock()
	fresh, withdrawn := rapid.IntRange(0, 7).Draw(t, "fresh") > 0, rapid.IntRange(0, 9).Draw(t, "withdrawn") == 0
	f.view.set(func(v *testView) { v.fresh, v.withdrawn = fresh, map[string]bool{"k1": withdrawn} })
}

// cleanupList runs the cleanups of one iteration of a property test.
type cleanupList struct {
	t        *rapid.T
	cleanups []func()
}

func (c *cleanupList) Cleanup(f func())  { c.cleanups = append(c.cleanups, f) }
func (c *cleanupList) Fatal(args ...any) { c.t.Fatal(args...) }
func (c *cleanupList) run() {
	for i := len(c.cleanups) - 1; i >= 0; i-- {
		c.cleanups[i]()
	}
}

// Guards against a completion that is reported as not executed although it was executed,
// while the engine fails in generated ways. The engine counts the executions.
func TestCompletionsReportNotExecutedCorrectly(t *testing.T) {
	f := newFixture(t, nil)
	rapid.Check(t, func(t *rapid.T) {
		// A request of an earlier iteration whose connection was dropped may start late.
		f.engine.SetFaults(engine.Faults{})
		NewWithT(t).Eventually(func() bool { return engineIsIdle(f.engine) }).Should(BeTrue())
		f.engine.SetFaults(rapid.SampledFrom([]engine.Faults{
			{}, {RefuseNotRun: true}, {DropAfterBytes: -1}, {DropAfterTokens: 2}, {WrongID: true}, {CrashAfterTokens: 1},
			{DropAfterBytes: rapid.IntRange(1, 900).Draw(t, "byte")},
		}).Draw(t, "engine"))
		f.engine.SetDraining(rapid.IntRange(0, 4).Draw(t, "draining") == 0)
		before := f.engine.Counters().Runs
		body := strings.Replace(streamBody, "true", fmt.Sprint(rapid.Bool().Draw(t, "stream")), 1)
		r := f.do("POST", "/v1/completions", clubKey, body)
		executed := f.engine.Counters().Runs > before
		if strings.Contains(r.body, `"run":"not_run"`) && executed {
			t.Fatalf("reported as not_run, but it was executed: %s", r.body)
		}
		if strings.Contains(r.body, "[DONE]") && eventText(parseEvents(r.body)) != engine.CompletionText([]byte("hello"), 6, "v1") {
			t.Fatalf("the stream ended without error, but its text is incomplete: %s", r.body)
		}
	})
}

// engineIsIdle reports whether no request runs or waits at the engine.
func engineIsIdle(e *engine.Engine) bool {
	response := httptest.NewRecorder()
	e.ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/v1/load", nil))
	var load struct{ Running, Waiting int }
	return json.Unmarshal(response.Body.Bytes(), &load) == nil && load.Running == 0 && load.Waiting == 0
}

// Guards against a ring that reorders or loses events, or exceeds its bounds.
func TestRingKeepsOrderAndBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ring := newEventRing()
		var queued [][]byte
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			if len(queued) > 0 && rapid.Bool().Draw(t, "take") {
				event, ok := ring.take()
				if !ok || string(event) != string(queued[0]) {
					t.Fatalf("take returned %.20q, want %.20q", event, queued[0])
				}
				queued = queued[1:]
				continue
			}
			event := []byte(strings.Repeat("e", rapid.IntRange(1, ringBytes/4).Draw(t, "length")))
			ctx, cancel := context.WithCancel(t.Context())
			if !ring.fits(event) {
				cancel()
			}
			if err := ring.put(ctx, event); err == nil {
				queued = append(queued, event)
			}
			cancel()
			if ring.bytes > ringBytes || ring.count > ringEvents {
				t.Fatalf("the ring holds %d events and %d bytes", ring.count, ring.bytes)
			}
		}
		ring.close([]byte("last"), false)
		for _, want := range append(queued, []byte("last")) {
			if event, ok := ring.take(); !ok || string(event) != string(want) {
				t.Fatalf("take returned %.20q, want %.20q", event, want)
			}
		}
		if _, ok := ring.take(); ok {
			t.Fatal("the ring returned more events than were added")
		}
	})
}
