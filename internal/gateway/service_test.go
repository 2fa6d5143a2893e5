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

const bookings = "/services/booking/bookings"

func (f *fixture) book(idempotencyKey, bookingID string) reply {
	return f.do("POST", bookings, clubKey, `{"booking_id":"`+bookingID+`"}`, idempotencyKeyHeader, idempotencyKey)
}

func code(c refusal.Code, run refusal.Execution) OmegaMatcher {
	return And(HaveField("Code", c), HaveField("Run", run))
}

// Guards against a second execution of a repeated booking, and against an answer that
// differs from the recorded one.
func TestRepeatedBookingGetsTheRecordedAnswer(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, nil)
	g.Expect(f.do("POST", bookings, clubKey, "{}").refusal()).To(code(refusal.IdempotencyKeyRequired, refusal.NotExecuted))
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
	g.Expect(f.limiter.open).To(BeZero())
}

// Guards against a wrong record of each way in which a send can end.
func TestOutcomesOfABooking(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, nil)
	f.service.SetFaults(service.Faults{DropAtByte: 5})
	g.Expect(f.book("drop", "b1").refusal()).To(code(refusal.TargetFailed, refusal.ExecutionUnknown))
	g.Expect(f.registry.state("club/booking/drop")).To(Equal("unknown"))
	f.service.SetFaults(service.Faults{WrongID: true})
	g.Expect(f.book("swapped", "b2").refusal()).To(code(refusal.TargetFailed, refusal.ExecutionUnknown))
	g.Expect(f.registry.state("club/booking/swapped")).To(Equal("unknown"))
	f.service.SetFaults(service.Faults{Stall: true})
	r := f.do("POST", bookings, clubKey, `{"booking_id":"b3"}`, idempotencyKeyHeader, "stall", timeoutHeader, "200")
	g.Expect(r.refusal()).To(code(refusal.TargetFailed, refusal.ExecutionUnknown))
	g.Expect(f.registry.state("club/booking/stall")).To(Equal("unknown"))
	f.service.SetFaults(service.Faults{NotRun: true})
	g.Expect(f.book("refused", "b4").refusal()).To(code(refusal.TargetUnavailable, refusal.NotExecuted))
	g.Expect(f.registry.state("club/booking/refused")).To(Equal("not_run"))
	f.service.SetFaults(service.Faults{})
	g.Expect(f.book("drop", "b1").refusal()).To(code(refusal.OutcomeUnknown, refusal.ExecutionUnknown))
	g.Expect(f.book("refused", "b4").status).To(Equal(http.StatusOK))
	for id, runs := range map[string]int{"b1": 1, "b2": 1, "b3": 1, "b4": 1} {
		g.Expect(f.service.Executions().ForBooking(id)).To(Equal(runs), id)
	}
}

// Guards against a send that the last check refused, and against a claim that is left
// open by it.
func TestNothingIsSentAfterTheLastCheck(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, nil)
	f.registry.beginErr = refusal.New(refusal.PlatformUnavailable, "the store is down")
	g.Expect(f.book("i1", "b1").refusal()).To(code(refusal.PlatformUnavailable, refusal.NotExecuted))
	f.registry.beginErr = nil
	f.registry.sendErr = refusal.New(refusal.DeadlineUnreachable, "too late")
	g.Expect(f.book("i1", "b1").refusal()).To(code(refusal.DeadlineUnreachable, refusal.NotExecuted))
	f.registry.sendErr = nil
	f.limiter.invalid = true
	g.Expect(f.book("i1", "b1").refusal()).To(code(refusal.Overloaded, refusal.NotExecuted))
	g.Expect(f.registry.state("club/booking/i1")).To(Equal("not_run"))
	g.Expect(f.service.ReceivedRequests()).To(BeEmpty())
	g.Expect(f.limiter.used).To(BeZero())
}

// Guards against a booking that is refused although another replica could take it.
func TestDeadReplicaIsPassedOver(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, func(f *fixture) { f.chooser.replicas = append([]*config.Target{deadReplica(t)}, f.replicas...) })
	g.Expect(f.book("i1", "b1").status).To(Equal(http.StatusOK))
	g.Expect(f.do("GET", "/services/booking/runs", clubKey, "").body).To(Equal(`{"runs":1}`))
	f.chooser.replicas = f.chooser.replicas[:1]
	g.Expect(f.book("i2", "b2").refusal()).To(code(refusal.TargetUnavailable, refusal.NotExecuted))
	g.Expect(f.do("GET", "/services/booking/runs", clubKey, "").refusal()).To(code(refusal.TargetUnavailable, refusal.NotExecuted))
}

// Guards against a booking that is cut short because its caller left, and against the
// answer reaching a caller whose key was withdrawn meanwhile.
func TestSentBookingRunsToItsEnd(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, func(f *fixture) {
		f.service = service.New(service.Options{Delay: 150 * time.Millisecond})
		server := httptest.NewServer(f.service)
		t.Cleanup(server.Close)
		f.chooser.replicas = []*config.Target{{ID: "slow", URL: server.URL}}
	})
	ctx, leave := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, "POST", f.url+bookings, strings.NewReader(`{"booking_id":"b1"}`))
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

	answer := make(chan reply, 1)
	go func() { answer <- f.book("i2", "b2") }()
	g.Eventually(f.service.Executions().Total).Should(Equal(2))
	f.view.set(func(v *testView) { v.withdrawn["k1"] = true })
	r := <-answer
	g.Expect(r.refusal()).To(code(refusal.KeyWithdrawn, refusal.Executed))
	g.Expect(r.body).NotTo(ContainSubstring("booking_id"))
	g.Expect(f.registry.state("club/booking/i2")).To(Equal("done"))
}

// Guards against a lookup that fails although a repetition would have answered it, and
// against a false not_run after an attempt that may have run.
func TestIdempotentCallsAreRepeated(t *testing.T) {
	g := NewWithT(t)
	broken := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer broken.Close()
	f := newFixture(t, nil)
	f.chooser.replicas = append([]*config.Target{{ID: "broken", URL: broken.URL}}, f.replicas...)
	g.Expect(f.do("GET", "/services/booking/runs", clubKey, "").body).To(Equal(`{"runs":0}`))
	f.chooser.replicas = []*config.Target{{ID: "broken", URL: broken.URL}, deadReplica(t)}
	g.Expect(f.do("GET", "/services/booking/runs", clubKey, "").refusal().Run).To(Equal(refusal.ExecutionUnknown))
}

// Guards against a booking on a reused connection, on which net/http repeats a request
// with an Idempotency-Key after the target closed it.
func TestBookingIsNotRepeatedOnAReusedConnection(t *testing.T) {
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
	send := func(key string) reply { return f.do("POST", bookings, clubKey, "", idempotencyKeyHeader, key) }
	g.Expect(send("i1").status).To(Equal(http.StatusOK))
	g.Expect(send("i2").refusal()).To(code(refusal.TargetFailed, refusal.ExecutionUnknown))
	g.Expect(calls.Load()).To(Equal(int32(2)))
}

// Guards against a lookup that waits for a stalled replica until its deadline.
func TestStalledReplicaIsPassedOver(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, func(f *fixture) { f.options.AttemptTimeout = 100 * time.Millisecond })
	stalled := service.New(service.Options{})
	stalled.SetFaults(service.Faults{Stall: true})
	server := httptest.NewServer(stalled)
	defer server.Close()
	f.chooser.replicas = append([]*config.Target{{ID: "stalled", URL: server.URL}}, f.replicas...)
	began := time.Now()
	g.Expect(f.do("GET", "/services/booking/runs", clubKey, "").body).To(Equal(`{"runs":0}`))
	g.Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
}

// Guards against a long response that a slow caller does not get whole.
func TestSlowCallerGetsALongResponse(t *testing.T) {
	g := NewWithT(t)
	long := strings.Repeat("x", 7<<20)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, long) }))
	defer server.Close()
	f := newFixture(t, func(f *fixture) { f.options.WriteTimeout = 400 * time.Millisecond })
	f.chooser.replicas = []*config.Target{{ID: "r", URL: server.URL}}
	request, err := http.NewRequest("GET", f.url+"/services/booking/runs", nil)
	g.Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+clubKey)
	narrow := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err == nil {
			err = conn.(*net.TCPConn).SetReadBuffer(16 << 10) // otherwise the kernel takes most of the response
		}
		return conn, err
	}}
	defer narrow.CloseIdleConnections()
	response, err := narrow.RoundTrip(request)
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

// Guards against a path that the route table and the target read differently, which
// would reach a keyed route through an open one.
func TestAmbiguousPathsAreRejected(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, nil)
	for _, path := range []string{"/echo/../bookings", "/echo/%2e%2e/bookings", "/echo/..%2fbookings", "//bookings", "/echo//x",
		"/echo/%5c..%5cbookings", "/echo/./x", "/echo/%252e%252e/bookings", "/echo/..;a=b/bookings"} {
		r := f.do("GET", "/services/booking"+path, "", "")
		g.Expect(r.refusal()).To(code(refusal.InvalidRequest, refusal.NotExecuted), path)
	}
	g.Expect(f.do("GET", "/services/booking/echo/"+clubKey, clubKey, "").refusal().Code).To(Equal(refusal.InvalidRequest))
	g.Expect(f.do("GET", "/services/none/x", clubKey, "").refusal().Code).To(Equal(refusal.NotFound))
	g.Expect(f.do("GET", "/services/booking/echoes", "", "").refusal().Code).To(Equal(refusal.Unauthorized))
	g.Expect(f.service.ReceivedRequests()).To(BeEmpty())
}

// Guards against an open route that needs a key or fresh configuration, or costs tokens.
func TestOpenRoute(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, nil)
	f.view.set(func(v *testView) { v.fresh = false })
	g.Expect(f.do("GET", "/services/booking/echo?a=1", "", "").status).To(Equal(http.StatusOK))
	g.Expect(f.do("GET", "/services/booking/runs", clubKey, "").refusal()).To(code(refusal.HostNotFresh, refusal.NotExecuted))
	g.Expect(f.limiter.reserved).To(BeZero())
}

// Guards against a caller's key in anything that leaves the gateway: requests to
// targets, logs and error bodies.
func TestTheKeyStaysInside(t *testing.T) {
	g := NewWithT(t)
	spans := tracetest.NewSpanRecorder()
	f := newFixture(t, func(f *fixture) {
		f.options.Tracer = sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans)).Tracer("test")
	})
	encoded := base64.StdEncoding.EncodeToString([]byte("user:" + clubKey))
	for _, route := range []string{"/services/booking/echo", bookings} {
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
	last := f.service.ReceivedRequests()[len(f.service.ReceivedRequests())-1]
	g.Expect(last.Trailer).To(Equal(http.Header{"X-Sum": {"1"}}))
	f.service.SetFaults(service.Faults{DropAtByte: -1})
	failed := f.do("GET", "/services/booking/runs?x="+clubKey, clubKey, "")
	g.Expect(failed.refusal().Run).To(Equal(refusal.ExecutionUnknown))
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

func host(id, zone string, draining, live bool) fleet.HostStatus {
	return fleet.HostStatus{Member: config.Member{HostID: id, Zone: zone, CallerAddress: id + ":80"}, Live: live, Draining: draining, Fresh: true}
}

// Guards against a locator that names hosts which are leaving or gone, and against a
// draining host that refuses callers who could not know yet.
func TestLocatorAndDraining(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, func(f *fixture) { f.options.LocatorTTL = 100 * time.Millisecond })
	f.view.set(func(v *testView) {
		v.hosts = []fleet.HostStatus{host("h1", "a", false, true), host("h2", "b", false, true), host("h3", "a", true, true), host("h4", "a", false, false)}
	})
	r := f.do("GET", "/v1/addresses?zone=b&model=m&prefix_hint=x", clubKey, "")
	g.Expect(r.body).To(Equal(`{"addresses":["h2:80","h1:80"],"ttl_ms":100}`))
	g.Expect(f.do("GET", "/v1/addresses", "", "").refusal().Code).To(Equal(refusal.Unauthorized))
	g.Expect(f.do("GET", "/readyz", "", "").status).To(Equal(http.StatusOK))

	f.mu.Lock()
	f.draining = true
	f.mu.Unlock()
	began := time.Now()
	g.Expect(f.do("GET", "/readyz", "", "").status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(f.do("GET", "/v1/addresses", clubKey, "").body).To(Equal(`{"addresses":["h2:80"],"ttl_ms":100}`))
	var last reply
	g.Eventually(func() int {
		last = f.do("GET", "/v1/models", clubKey, "")
		return last.status
	}, "5s", "5ms").Should(Equal(http.StatusServiceUnavailable))
	g.Expect(time.Since(began)).To(BeNumerically(">", 200*time.Millisecond))
	g.Expect(last.refusal()).To(And(code(refusal.HostDraining, refusal.NotExecuted), HaveField("Addresses", []string{"h2:80"})))
	g.Expect(f.do("GET", "/healthz", "", "").status).To(Equal(http.StatusOK))
}

// Guards against requests that a host takes after it has stopped counting them, and
// against refusals before that.
func TestHostDecidesWhenToRefuse(t *testing.T) {
	g := NewWithT(t)
	var refusing atomic.Bool
	f := newFixture(t, func(f *fixture) {
		f.draining, f.options.Refusing, f.options.LocatorTTL = true, refusing.Load, time.Millisecond
	})
	g.Expect(f.do("GET", "/v1/models", clubKey, "").status).To(Equal(http.StatusOK))
	time.Sleep(10 * time.Millisecond)
	g.Expect(f.do("GET", "/v1/models", clubKey, "").status).To(Equal(http.StatusOK))
	refusing.Store(true)
	g.Expect(f.do("GET", "/v1/models", clubKey, "").refusal()).To(code(refusal.HostDraining, refusal.NotExecuted))
	g.Expect(f.do("GET", "/services/booking/echo", "", "").refusal()).To(code(refusal.HostDraining, refusal.NotExecuted))
}

// Guards against a refused key that is answered like a missing one, and against a new
// key being called invalid by a host that can't know it yet.
func TestKeys(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, nil)
	g.Expect(f.do("GET", "/v1/models", clubKey, "").body).To(ContainSubstring(`"id":"m"`))
	g.Expect(f.do("GET", "/v1/models", "sk-unknown", "").refusal()).To(code(refusal.Unauthorized, refusal.NotExecuted))
	g.Expect(f.do("GET", "/v1/models", "", "", "Authorization", "Basic abc").refusal().Code).To(Equal(refusal.Unauthorized))
	f.view.set(func(v *testView) { v.fresh = false; v.hosts = []fleet.HostStatus{host("h2", "b", false, true)} })
	r := f.do("GET", "/v1/models", "sk-issued-lately", "").refusal()
	g.Expect(r).To(And(code(refusal.HostNotFresh, refusal.NotExecuted), HaveField("Addresses", []string{"h2:80"})))
}

// Guards against a false not_run and a second run on any path: random faults before,
// at and after the send, with repetitions under the same key, through a link that is
// cut at a random byte. The ledger of the service is the judge.
func TestNotRunIsTrueOnAllPaths(t *testing.T) {
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
		claims := map[string]int{} // bookings by the number of answers that claim a run
		notRun := map[string]bool{}
		for step := range rapid.IntRange(1, 6).Draw(t, "steps") {
			f.drawFaults(t, link, relayed, deadReplica(cleanups))
			booking := fmt.Sprintf("b%d", rapid.IntRange(0, step).Draw(t, "booking"))
			r := f.book("i-"+booking, booking)
			if r.err != nil {
				t.Fatalf("no whole response: %v", r.err)
			}
			switch {
			case r.status == http.StatusOK:
				claims[booking]++
				notRun[booking] = false
			case r.refusal().Run == refusal.NotExecuted:
				if _, known := notRun[booking]; !known {
					notRun[booking] = true
				}
			default:
				notRun[booking] = false
			}
		}
		time.Sleep(5 * time.Millisecond) // requests that were cut off may still arrive
		for booking, only := range notRun {
			runs := f.service.Executions().ForBooking(booking)
			if runs > 1 || (only && runs > 0) || (claims[booking] > 0 && runs != 1) {
				t.Fatalf("booking %s ran %d times; only not_run: %v; answered: %d", booking, runs, only, claims[booking])
			}
		}
		if f.limiter.open != 0 {
			t.Fatalf("%d reservations were not settled", f.limiter.open)
		}
	})
}

// drawFaults sets up the next request's faults.
func (f *fixture) drawFaults(t *rapid.T, link *relay.Relay, relayed, dead *config.Target) {
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
		"live": {f.replicas[0]}, "relayed": {relayed, f.replicas[1]}, "dead": {dead, relayed}, "none": nil, "two": f.replicas,
	}
	f.chooser.mu.Lock()
	f.chooser.replicas = replicas[rapid.SampledFrom([]string{"live", "relayed", "dead", "none", "two"}).Draw(t, "replicas")]
	f.chooser.mu.Unlock()
	refused := func(name string) error {
		if rapid.IntRange(0, 5).Draw(t, name) > 0 {
			return nil
		}
		return refusal.New(refusal.PlatformUnavailable, "refused by the test")
	}
	f.registry.mu.Lock()
	f.registry.beginErr, f.registry.sendErr = refused("begin"), refused("send")
	f.registry.mu.Unlock()
	f.limiter.mu.Lock()
	f.limiter.err, f.limiter.invalid = refused("reserve"), rapid.IntRange(0, 7).Draw(t, "invalid") == 0
	f.limiter.mu.Unlock()
	fresh, withdrawn := rapid.IntRange(0, 7).Draw(t, "fresh") > 0, rapid.IntRange(0, 9).Draw(t, "withdrawn") == 0
	f.view.set(func(v *testView) { v.fresh, v.withdrawn = fresh, map[string]bool{"k1": withdrawn} })
}

// cleanupList runs the cleanups of one round of a property.
type cleanupList struct {
	t     *rapid.T
	steps []func()
}

func (c *cleanupList) Cleanup(f func())  { c.steps = append(c.steps, f) }
func (c *cleanupList) Fatal(args ...any) { c.t.Fatal(args...) }
func (c *cleanupList) run() {
	for i := len(c.steps) - 1; i >= 0; i-- {
		c.steps[i]()
	}
}

// Guards against a false not_run of completions: the engine fails in random ways, and
// its count of runs is the judge.
func TestNotRunOfCompletionsIsTrue(t *testing.T) {
	f := newFixture(t, nil)
	rapid.Check(t, func(t *rapid.T) {
		// A request of an earlier check whose connection was dropped may begin late.
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
		ran := f.engine.Counters().Runs > before
		if strings.Contains(r.body, `"run":"not_run"`) && ran {
			t.Fatalf("not_run, but it ran: %s", r.body)
		}
		if strings.Contains(r.body, "[DONE]") && eventText(parseEvents(r.body)) != engine.CompletionText([]byte("hello"), 6, "v1") {
			t.Fatalf("a whole answer is not: %s", r.body)
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

// Guards against a ring that reorders, loses or piles up events.
func TestRingKeepsOrderAndBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ring := newEventRing()
		var queued [][]byte
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			if len(queued) > 0 && rapid.Bool().Draw(t, "take") {
				event, ok := ring.take()
				if !ok || string(event) != string(queued[0]) {
					t.Fatalf("took %.20q, want %.20q", event, queued[0])
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
				t.Fatalf("took %.20q, want %.20q", event, want)
			}
		}
		if _, ok := ring.take(); ok {
			t.Fatal("the ring holds more than was put in")
		}
	})
}
