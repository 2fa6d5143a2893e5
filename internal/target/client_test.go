package target_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sequoiaroad/sequoiaroad/internal/target"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/standin/engine"
	"github.com/sequoiaroad/sequoiaroad/standin/relay"
	"github.com/sequoiaroad/sequoiaroad/standin/service"
)

func startServer(t *testing.T, h http.Handler) *config.Target {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return &config.Target{ID: "t1", Kind: config.TargetEngine, URL: server.URL}
}

func startRelay(t *testing.T, to *config.Target) (*relay.Relay, *config.Target) {
	r, err := relay.New(strings.TrimPrefix(to.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r, &config.Target{ID: "relayed", Kind: to.Kind, URL: "http://" + r.Addr()}
}

func newRequest(id string) *target.CompletionRequest {
	return &target.CompletionRequest{RequestID: id, Body: map[string]any{"model": "m", "prompt": "hello", "max_tokens": 5, "cache_salt": "evil"}}
}

func readStream(s target.TokenStream) (text string, usage *target.Usage, err error) {
	for {
		e, err := s.Next()
		if err != nil || e.Done {
			return text, usage, err
		}
		text += e.Text
		if e.Usage != nil {
			usage = e.Usage
		}
	}
}

func asCallError(g Gomega, err error) *target.CallError {
	var callErr *target.CallError
	g.Expect(errors.As(err, &callErr)).To(BeTrue(), "%v", err)
	return callErr
}

// Guards against a stream client that loses tokens, usage or the epoch, and against a
// caller that sets fields of the engine protocol.
func TestCompleteAndResume(t *testing.T) {
	g := NewWithT(t)
	e := engine.New(engine.Options{WeightsVersion: "v1"})
	to := startServer(t, e)
	client := target.NewEngineClient()
	stream, err := client.Complete(t.Context(), to, newRequest("r1"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(stream.Epoch()).To(Equal(e.Epoch()))
	text, usage, err := readStream(stream)
	stream.Close()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(text).To(Equal(engine.CompletionText([]byte("hello"), 5, "v1")))
	g.Expect(*usage).To(Equal(target.Usage{PromptTokens: 2, CompletionTokens: 5}))
	g.Expect(e.ReceivedRequests()[0].Body).NotTo(ContainSubstring("evil"))

	stream, err = client.Resume(t.Context(), to, "r1", 3)
	g.Expect(err).NotTo(HaveOccurred())
	event, err := stream.Next()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(event).To(Equal(target.TokenEvent{Offset: 3, Text: engine.CompletionToken([]byte("hello"), 3, "v1")}))
	stream.Close()
	g.Eventually(func() int { return e.Counters().Cancelled }).Should(Equal(1))
}

// Guards against events of other requests that are taken for those of this one.
func TestEventsOfOtherRequestsAreDropped(t *testing.T) {
	g := NewWithT(t)
	e := engine.New(engine.Options{})
	to := startServer(t, e)
	e.SetFaults(engine.Faults{WrongID: true})
	stream, err := target.NewEngineClient().Complete(t.Context(), to, newRequest("r1"))
	g.Expect(err).NotTo(HaveOccurred())
	defer stream.Close()
	event, err := stream.Next()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(event).To(Equal(target.TokenEvent{Done: true}), "no token may be delivered")
}

// Guards against NotExecuted without proof, and against its absence where the engine or
// the connection proves it.
func TestNotExecutedRequiresProof(t *testing.T) {
	g := NewWithT(t)
	client := target.NewEngineClient()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(listener.Close()).To(Succeed())
	_, err = client.Complete(t.Context(), &config.Target{ID: "unreachable", URL: "http://" + listener.Addr().String()}, newRequest("r"))
	g.Expect(asCallError(g, err)).To(HaveField("NotExecuted", true))
	g.Expect(asCallError(g, err).Step).To(Equal(target.StepDial))

	e := engine.New(engine.Options{})
	to := startServer(t, e)
	e.SetDraining(true)
	_, err = client.Complete(t.Context(), to, newRequest("r"))
	g.Expect(asCallError(g, err)).To(And(HaveField("NotExecuted", true), HaveField("Draining", true), HaveField("Status", 503)))
	e.SetDraining(false)
	e.SetFaults(engine.Faults{DropAfterBytes: -1})
	_, err = client.Complete(t.Context(), to, newRequest("r"))
	g.Expect(asCallError(g, err).NotExecuted).To(BeFalse())

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	before := len(e.ReceivedRequests())
	_, err = client.Complete(ctx, to, newRequest("r"))
	g.Expect(asCallError(g, err).NotExecuted).To(BeTrue())
	g.Expect(e.ReceivedRequests()).To(HaveLen(before))
}

// Guards against NotExecuted for a call of which the target received bytes. The
// connection is cut at each byte of the request, and at each byte of the response.
func TestConnectionCutNeverFalselyReportsNotExecuted(t *testing.T) {
	g := NewWithT(t)
	s := service.New(service.Options{})
	r, to := startRelay(t, startServer(t, s))
	client := target.NewServiceClient()
	call := func(id string) error {
		_, err := client.Call(t.Context(), to, &target.ServiceRequest{
			RequestID: "sr-1", Method: http.MethodPost, Path: "/bookings", NoTransportRetry: true, Body: []byte(`{"booking_id":"` + id + `"}`),
			Header: http.Header{"Idempotency-Key": {"k"}},
		})
		return err
	}
	const maxCut = 400
	notExecuted := map[string]bool{}
	for limit := range int64(maxCut) {
		for _, cutRequest := range []bool{true, false} {
			if cutRequest {
				r.CloseAfter(limit, -1)
			} else {
				r.CloseAfter(-1, limit)
			}
			id := fmt.Sprintf("%d-%v", limit, cutRequest)
			err := call(id)
			notExecuted[id] = err != nil && asCallError(g, err).NotExecuted
		}
	}
	r.CloseAfter(-1, -1)
	g.Expect(call("last")).To(Succeed())
	waitForExecutions(g, s)
	for id, reported := range notExecuted {
		executions := s.Executions().ForBooking(id)
		g.Expect(executions).To(BeNumerically("<=", 1), id)
		g.Expect(reported && executions > 0).To(BeFalse(), "cut %s: the error reports NotExecuted, but the request was executed", id)
	}
	g.Expect(s.Executions().Total()).To(BeNumerically(">", maxCut/2), "enough cuts must come after the execution")
}

// waitForExecutions waits until the service has executed the requests that were cut off.
func waitForExecutions(g Gomega, s *service.Service) {
	g.Eventually(func() bool {
		before := s.Executions().Total()
		time.Sleep(50 * time.Millisecond)
		return s.Executions().Total() == before
	}).Should(BeTrue())
}

// Guards against a call that net/http repeats by itself: it does so on reused
// connections for requests with an Idempotency-Key.
func TestNoTransportRetrySendsOnce(t *testing.T) {
	g := NewWithT(t)
	var calls atomic.Int32
	to := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "{}")
	}))
	client := target.NewServiceClient()
	call := &target.ServiceRequest{RequestID: "sr-1", Method: http.MethodPost, Path: "/", NoTransportRetry: true, Header: http.Header{"Idempotency-Key": {"k"}}}
	_, err := client.Call(t.Context(), to, call)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = client.Call(t.Context(), to, call)
	g.Expect(asCallError(g, err).NotExecuted).To(BeFalse())
	g.Expect(calls.Load()).To(Equal(int32(2)))
}

// Guards against a call that is sent although BeforeWrite returned an error.
func TestBeforeWriteErrorPreventsSend(t *testing.T) {
	g := NewWithT(t)
	s := service.New(service.Options{})
	errRefused := errors.New("refused")
	for _, noRetry := range []bool{true, false} {
		_, err := target.NewServiceClient().Call(t.Context(), startServer(t, s), &target.ServiceRequest{
			RequestID: "sr-1", Method: http.MethodPost, Path: "/bookings", NoTransportRetry: noRetry, BeforeWrite: func() error { return errRefused },
		})
		g.Expect(asCallError(g, err).NotExecuted).To(BeTrue())
		g.Expect(err).To(MatchError(errRefused))
	}
	g.Expect(s.ReceivedRequests()).To(BeEmpty())
}

// Guards against a response that is passed on although it is truncated, belongs to
// another request, or has no length.
func TestPartialAndMismatchedResponsesAreRejected(t *testing.T) {
	g := NewWithT(t)
	s := service.New(service.Options{})
	to := startServer(t, s)
	client := target.NewServiceClient()
	get := func(to *config.Target) (*target.ServiceResponse, error) {
		return client.Call(t.Context(), to, &target.ServiceRequest{RequestID: "sr-1.1", Method: http.MethodGet, Path: "/runs"})
	}
	response, err := get(to)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(response.Body)).To(Equal(`{"runs":0}`))
	for i := 1; i < len(response.Body); i++ {
		s.SetFaults(service.Faults{DropAtByte: i})
		_, err = get(to)
		g.Expect(asCallError(g, err)).To(And(HaveField("NotExecuted", false), HaveField("Step", target.StepResponse)))
	}
	s.SetFaults(service.Faults{WrongID: true})
	_, err = get(to)
	g.Expect(err).To(MatchError(ContainSubstring("belongs to another request")))
	_, err = get(startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"runs\":")
			_ = conn.Close()
		}
	})))
	g.Expect(err).To(MatchError(ContainSubstring("has no length")))
}

// Guards against a key in an error text: errors of net/http contain the URL with its
// query.
func TestErrorsOmitURL(t *testing.T) {
	g := NewWithT(t)
	to := startServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	_, err := target.NewServiceClient().Call(t.Context(), to, &target.ServiceRequest{RequestID: "sr-1", Method: http.MethodGet, Path: "/x", RawQuery: "q=secret"})
	g.Expect(err).To(HaveOccurred())
	g.Expect(err.Error()).NotTo(ContainSubstring("secret"))
}

type countingObserver struct {
	loads, events, unreachable atomic.Int32
	last                       atomic.Pointer[target.CacheEvents]
}

func (o *countingObserver) ObserveLoad(string, target.LoadReport) { o.loads.Add(1) }
func (o *countingObserver) ObserveCacheEvents(_ string, e target.CacheEvents) (string, uint64) {
	o.events.Add(1)
	o.last.Store(&e)
	return e.Epoch, e.Sequence
}
func (o *countingObserver) ObserveUnreachable(string, error) { o.unreachable.Add(1) }

// Guards against pollers that ignore a change of the configuration or of an engine's
// epoch.
func TestPollersFollowConfigurationAndEpoch(t *testing.T) {
	g := NewWithT(t)
	e := engine.New(engine.Options{})
	to := startServer(t, e)
	var index atomic.Pointer[config.Index]
	index.Store(config.NewIndex(&config.Document{Targets: []config.Target{*to}}))
	var changed func()
	o := &countingObserver{}
	pollers := target.NewPollers(target.PollerOptions{
		Client: target.NewEngineClient(), Observer: o, Index: index.Load, Subscribe: func(f func()) { changed = f },
		Interval: 5 * time.Millisecond,
	})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- pollers.Run(ctx) }()
	g.Eventually(o.events.Load).Should(BeNumerically(">", 2))
	g.Expect(o.last.Load().Reset).To(BeFalse(), "later polls must request changes only")
	e.Crash()
	g.Eventually(func() string { return o.last.Load().Epoch }).Should(Equal(e.Epoch()))
	index.Store(config.NewIndex(&config.Document{}))
	changed()
	g.Eventually(func() bool {
		before := o.loads.Load()
		time.Sleep(30 * time.Millisecond)
		return o.loads.Load() == before
	}).Should(BeTrue())
	stop()
	g.Expect(<-done).To(Succeed())
}
