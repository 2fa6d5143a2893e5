package gateway

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/sequoiaroad/sequoiaroad/internal/dispatch"
	"github.com/sequoiaroad/sequoiaroad/internal/refusal"
	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
	"github.com/sequoiaroad/sequoiaroad/standin/engine"
)

const streamBody = `{"model":"m","prompt":"hello","max_tokens":6,"stream":true}`

// Guards against a response whose text differs from the engine's tokens in one of its
// formats: unstreamed, streamed or chat.
func TestCompletionResponseFormats(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, nil)
	want := engine.CompletionText([]byte("hello"), 6, "v1")

	r := f.do("POST", "/v1/completions", clubKey, `{"model":"m","prompt":"hello","max_tokens":6}`)
	g.Expect(r.status).To(Equal(http.StatusOK), r.body)
	g.Expect(r.header.Get(requestIDHeader)).NotTo(BeEmpty())
	var completion completionBody
	g.Expect(json.Unmarshal([]byte(r.body), &completion)).To(Succeed())
	g.Expect(*completion.Choices[0].Text).To(Equal(want))
	g.Expect(*completion.Choices[0].FinishReason).To(Equal("length"))
	g.Expect(*completion.Usage).To(Equal(usageBody{PromptTokens: 2, CompletionTokens: 6, TotalTokens: 8}))

	r = f.do("POST", "/v1/completions", clubKey, `{"model":"m","prompt":"hello","max_tokens":6,"stream":true,"stream_options":{"include_usage":true}}`)
	events := parseEvents(r.body)
	g.Expect(eventText(events)).To(Equal(want))
	g.Expect(events).To(HaveLen(8))
	g.Expect(events[6].data).To(ContainSubstring(`"total_tokens":8`))
	g.Expect(events[7].data).To(Equal("[DONE]"))

	chat := `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"hel"},{"type":"text","text":"lo"}]}],"max_completion_tokens":3,"stream":true}`
	r = f.do("POST", "/v1/chat/completions", clubKey, chat)
	prompt := prefix.ChatPrompt([]prefix.Message{{Role: "user", Content: "hello"}})
	g.Expect(eventText(parseEvents(r.body))).To(Equal(engine.CompletionText(prompt, 3, "v1")))
	g.Expect(parseEvents(r.body)[0].data).To(ContainSubstring(`"role":"assistant"`))
	g.Expect(f.limiter.unsettled).To(BeZero())
	g.Expect(f.limiter.settledTokens).To(Equal(f.limiter.reservedTokens), "these completions use their whole reservation")
}

// Guards against an invalid request that reaches an engine or gets the wrong refusal.
func TestInvalidCompletions(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, func(f *fixture) { f.options.MaxBodyBytes = 2000 })
	cases := map[string]refusal.Code{
		`{`:                                refusal.InvalidRequest,
		`null`:                             refusal.InvalidRequest,
		`[]`:                               refusal.InvalidRequest,
		`{"model":"m","prompt":"x"} {}`:    refusal.InvalidRequest,
		`{"prompt":"x"}`:                   refusal.InvalidRequest,
		`{"model":"m"}`:                    refusal.InvalidRequest,
		`{"model":"m","prompt":["a","b"]}`: refusal.InvalidRequest,
		`{"model":"m","prompt":"x","max_tokens":0}`:                  refusal.InvalidRequest,
		`{"model":"m","prompt":"x","max_tokens":1.5}`:                refusal.InvalidRequest,
		`{"model":"m","prompt":"x","max_tokens":"5"}`:                refusal.InvalidRequest,
		`{"model":"m","prompt":"x","max_tokens":9e99}`:               refusal.InvalidRequest,
		`{"model":"m","prompt":"x","n":2}`:                           refusal.InvalidRequest,
		`{"model":"m","prompt":"x","stream":"yes"}`:                  refusal.InvalidRequest,
		`{"model":"m","prompt":"x","logprobs":3}`:                    refusal.InvalidRequest,
		`{"model":"none","prompt":"x"}`:                              refusal.NotFound,
		`{"model":"m","prompt":"` + strings.Repeat("x", 2000) + `"}`: refusal.BodyTooLarge,
	}
	for body, code := range cases {
		r := f.do("POST", "/v1/completions", clubKey, body)
		g.Expect(r.refusal()).To(And(HaveField("Code", code), HaveField("Execution", refusal.NotExecuted)), "%.60s", body)
	}
	for _, body := range []string{`{"model":"m","messages":[]}`, `{"model":"m","messages":[1]}`, `{"model":"m","messages":[{"role":"user"}]}`,
		`{"model":"m","messages":[{"content":"x"}]}`, `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`} {
		g.Expect(f.do("POST", "/v1/chat/completions", clubKey, body).refusal().Code).To(Equal(refusal.InvalidRequest), body)
	}
	g.Expect(f.do("POST", "/v1/completions", clubKey, streamBody, timeoutHeader, "0").refusal().Code).To(Equal(refusal.InvalidRequest))
	g.Expect(f.do("GET", "/v1/completions", clubKey, "").refusal().Code).To(Equal(refusal.MethodNotAllowed))
	g.Expect(f.do("GET", "/v2", clubKey, "").refusal().Code).To(Equal(refusal.NotFound))
	g.Expect(f.engine.ReceivedRequests()).To(BeEmpty())
	g.Expect(f.limiter.reservedTokens).To(BeZero())
}

// Guards against a resumed stream that skips or repeats tokens, and against event ids that
// are accepted for another account, for another body or after a modification.
func TestResumeWithLastEventID(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, nil)
	events := parseEvents(f.do("POST", "/v1/completions", clubKey, streamBody).body)
	for i, e := range events[:6] {
		g.Expect(e.id).To(HaveSuffix(":" + strconv.Itoa(i+1)))
	}
	rest := f.do("POST", "/v1/completions", clubKey, streamBody, lastEventIDHeader, events[1].id)
	g.Expect(rest.status).To(Equal(http.StatusOK), rest.body)
	resumed := parseEvents(rest.body)
	g.Expect(eventText(events[:2]) + eventText(resumed)).To(Equal(engine.CompletionText([]byte("hello"), 6, "v1")))
	g.Expect(resumed[0].id).To(Equal(events[2].id))
	afterLast := parseEvents(f.do("POST", "/v1/completions", clubKey, streamBody, lastEventIDHeader, events[5].id).body)
	g.Expect(afterLast).To(Equal([]event{{data: "[DONE]"}}))

	received := len(f.engine.ReceivedRequests())
	expectNotResumable := func(key, body, id string) {
		r := f.do("POST", "/v1/completions", key, body, lastEventIDHeader, id)
		g.Expect(r.refusal()).To(And(HaveField("Code", refusal.StreamNotResumable), HaveField("Execution", refusal.NotExecuted)), "%s", id)
	}
	token, _, _ := strings.Cut(events[1].id, ":")
	expectNotResumable(schoolKey, streamBody, events[1].id)
	expectNotResumable(clubKey, strings.Replace(streamBody, "hello", "other", 1), events[1].id)
	for i := range token {
		changed := []byte(token)
		changed[i] ^= 1
		expectNotResumable(clubKey, streamBody, string(changed)+":2")
	}
	for _, id := range []string{"x", ":", token, token + ":", token + ":-1", token + ":7", token[:20] + ":2", ":2", strings.Repeat("A", 2000) + ":2"} {
		expectNotResumable(clubKey, streamBody, id)
	}
	g.Expect(f.engine.ReceivedRequests()).To(HaveLen(received))
}

// Guards against a stream that ends without its last token and without an error, when the
// engine drops the connection after a number of tokens or within a token.
func TestBrokenStreamEndsWithError(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, nil)
	for tokens := 1; tokens < 6; tokens++ {
		f.engine.SetFaults(engine.Faults{DropAfterTokens: tokens})
		events := parseEvents(f.do("POST", "/v1/completions", clubKey, streamBody).body)
		g.Expect(events).To(HaveLen(tokens + 1))
		last := events[tokens]
		g.Expect(last.name).To(Equal("error"))
		g.Expect(callResult{body: last.data}.refusal()).To(And(HaveField("Code", refusal.TargetFailed), HaveField("Execution", refusal.ExecutionUnknown)))
	}
	for dropAt := 1; dropAt < 900; dropAt += 13 {
		f.engine.SetFaults(engine.Faults{DropAfterBytes: dropAt})
		for _, body := range []string{streamBody, strings.Replace(streamBody, "true", "false", 1)} {
			r := f.do("POST", "/v1/completions", clubKey, body)
			g.Expect(r.err).NotTo(HaveOccurred())
			g.Expect(r.body).NotTo(ContainSubstring("[DONE]"), "dropped at %d", dropAt)
			g.Expect(r.body).To(ContainSubstring(`"run":"unknown"`), "dropped at %d", dropAt)
		}
	}
	g.Expect(f.limiter.unsettled).To(BeZero())
}

// completerFunc is a Completer whose tokens the test emits.
type completerFunc func(ctx context.Context, c *dispatch.Completion, sink func(dispatch.Token) error) error

func (f completerFunc) Complete(ctx context.Context, c *dispatch.Completion, sink func(dispatch.Token) error) (dispatch.Result, error) {
	return dispatch.Result{}, f(ctx, c, sink)
}

func testToken(offset int, text, finish string) dispatch.Token {
	return dispatch.Token{Position: dispatch.StreamPosition{EngineRequestID: "r", TargetID: "e", Offset: offset}, Text: text, FinishReason: finish}
}

// Guards against a stream with missing or repeated tokens: a gap, a repetition or a
// missing last token must end it with an error even if the completer reports success.
func TestTokenGapsAreErrors(t *testing.T) {
	g := NewWithT(t)
	for _, offsets := range [][]int{{1, 3}, {1, 1}, {1, 3, 4}, {2}, {1, 2}, {}} {
		f := newFixture(t, func(f *fixture) {
			f.options.Completer = completerFunc(func(_ context.Context, c *dispatch.Completion, sink func(dispatch.Token) error) error {
				for i, o := range offsets {
					finish := ""
					if i == len(offsets)-1 && o != 2 {
						finish = "length"
					}
					_ = sink(testToken(o, "x", finish))
				}
				return nil
			})
		})
		r := f.do("POST", "/v1/completions", clubKey, streamBody)
		g.Expect(r.body).NotTo(ContainSubstring("[DONE]"), "%v", offsets)
		g.Expect(r.body).To(ContainSubstring(`"code":"target_failed"`), "%v", offsets)
	}
}

// Guards against a false not_run after tokens were delivered, when the completer returns
// it.
func TestNotExecutedIsNotReportedAfterTokens(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, func(f *fixture) {
		f.options.Completer = completerFunc(func(_ context.Context, c *dispatch.Completion, sink func(dispatch.Token) error) error {
			_ = sink(testToken(1, "x", ""))
			return refusal.New(refusal.Overloaded, "no")
		})
	})
	g.Expect(f.do("POST", "/v1/completions", clubKey, streamBody).body).To(ContainSubstring(`"run":"unknown"`))
	g.Expect(f.do("POST", "/v1/completions", clubKey, strings.Replace(streamBody, "true", "false", 1)).refusal().Execution).To(Equal(refusal.ExecutionUnknown))
}

// Guards against a stream that continues after its key was withdrawn.
func TestKeyWithdrawalEndsStream(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, func(f *fixture) {})
	f.engine.SetFaults(engine.Faults{StallAfterTokens: 2})
	results := make(chan callResult, 1)
	go func() { results <- f.do("POST", "/v1/completions", clubKey, streamBody) }()
	g.Eventually(func() int { return f.engine.Counters().GeneratedTokens }).Should(Equal(6))
	time.Sleep(20 * time.Millisecond) // until the first tokens have reached the caller
	f.view.set(func(v *testView) { v.withdrawn["k1"] = true })
	var r callResult
	g.Eventually(results).Should(Receive(&r))
	events := parseEvents(r.body)
	last := callResult{body: events[len(events)-1].data}.refusal()
	g.Expect(last).To(And(HaveField("Code", refusal.KeyWithdrawn), HaveField("Execution", refusal.ExecutionUnknown)))
	g.Expect(r.body).NotTo(ContainSubstring("[DONE]"))
	g.Eventually(func() int { return f.engine.Counters().Cancelled }).Should(Equal(1))
	g.Expect(f.do("POST", "/v1/completions", clubKey, streamBody).refusal().Code).To(Equal(refusal.KeyWithdrawn))
}

// Guards against a dispatch after the configuration has become stale, the key was
// withdrawn, the reservation has expired or the deadline has passed.
func TestAllowDispatchRepeatsChecks(t *testing.T) {
	g := NewWithT(t)
	var f *fixture
	var change func()
	f = newFixture(t, func(f *fixture) {
		f.options.Completer = completerFunc(func(_ context.Context, c *dispatch.Completion, sink func(dispatch.Token) error) error {
			change()
			if err := c.AllowDispatch(); err != nil {
				return errors.Wrap(err, "dispatch")
			}
			return sink(testToken(1, "x", "length"))
		})
	})
	for _, c := range []struct {
		change, undo func()
		code         refusal.Code
	}{
		{func() { f.view.set(func(v *testView) { v.fresh = false }) }, func() { f.view.set(func(v *testView) { v.fresh = true }) }, refusal.HostNotFresh},
		{func() { f.limiter.expireAll = true }, func() { f.limiter.expireAll = false }, refusal.Overloaded},
		{func() { time.Sleep(60 * time.Millisecond) }, func() {}, refusal.DeadlineUnreachable},
		{func() { f.view.set(func(v *testView) { v.withdrawn["k1"] = true }) }, func() {}, refusal.KeyWithdrawn},
	} {
		change = c.change
		r := f.do("POST", "/v1/completions", clubKey, streamBody, timeoutHeader, "50")
		g.Expect(r.refusal()).To(And(HaveField("Code", c.code), HaveField("Execution", refusal.NotExecuted)))
		c.undo()
	}
	g.Expect(f.limiter.settledTokens).To(BeZero(), "a request that was not executed must not use tokens")
	g.Expect(f.limiter.unsettled).To(BeZero())
}

// Guards against a request that is refused or charged twice because its reservation
// expired while it waited in the queue.
func TestExpiredReservationIsRenewedOnce(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, func(f *fixture) { f.limiter.expireFirst = true })
	g.Expect(f.do("POST", "/v1/completions", clubKey, streamBody).body).To(ContainSubstring("[DONE]"))
	g.Expect(f.limiter.reservedTokens).To(Equal(int64(16)), "two reservations of 8")
	g.Expect(f.limiter.settledTokens).To(Equal(int64(8)))
	g.Expect(f.limiter.unsettled).To(BeZero())

	f = newFixture(t, func(f *fixture) {
		f.limiter.expireFirst = true
		f.options.Completer = completerFunc(func(_ context.Context, c *dispatch.Completion, _ func(dispatch.Token) error) error {
			f.limiter.mu.Lock()
			f.limiter.err = refusal.New(refusal.RateLimited, "no tokens")
			f.limiter.mu.Unlock()
			g.Expect(c.AllowDispatch()).To(HaveOccurred())
			return c.AllowDispatch() // a second call refuses too
		})
	})
	r := f.do("POST", "/v1/completions", clubKey, streamBody)
	g.Expect(r.refusal()).To(And(HaveField("Code", refusal.RateLimited), HaveField("Execution", refusal.NotExecuted)))
	g.Expect(f.limiter.unsettled).To(BeZero())
	g.Expect(f.limiter.settledTokens).To(BeZero())
}

// Guards against a write deadline of a stream that stays set after the stream and breaks
// later requests on the same connection.
func TestConnectionIsReusableAfterStream(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, func(f *fixture) { f.options.WriteTimeout = 100 * time.Millisecond })
	g.Expect(f.do("POST", "/v1/completions", clubKey, streamBody).body).To(ContainSubstring("[DONE]"))
	time.Sleep(150 * time.Millisecond)
	r := f.do("POST", "/v1/completions", clubKey, "{")
	g.Expect(r.err).NotTo(HaveOccurred())
	g.Expect(r.refusal().Code).To(Equal(refusal.InvalidRequest))
}

// Guards against memory that grows while a caller does not read its stream, and against a
// stream that such a caller holds open forever.
func TestStalledCallerIsBounded(t *testing.T) {
	g := NewWithT(t)
	var sent atomic.Int64
	ended := make(chan error, 1)
	text := strings.Repeat("x", 1000)
	f := newFixture(t, func(f *fixture) {
		f.options.WriteTimeout = 700 * time.Millisecond
		f.options.Completer = completerFunc(func(_ context.Context, c *dispatch.Completion, sink func(dispatch.Token) error) error {
			for i := 1; ; i++ {
				if err := sink(testToken(i, text, "")); err != nil {
					ended <- err
					return err
				}
				sent.Add(1)
			}
		})
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(4096)
	_, err = conn.Write([]byte("POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + clubKey + "\r\nContent-Length: " +
		strconv.Itoa(len(streamBody)) + "\r\n\r\n" + streamBody))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() bool {
		before := sent.Load()
		time.Sleep(100 * time.Millisecond)
		return before > 0 && sent.Load() == before
	}, "5s", "1ms").Should(BeTrue(), "the completer must stop while the caller does not read")
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	g.Expect(stats.HeapAlloc).To(BeNumerically("<", 64<<20))
	// The connection is still open, so that only the write deadline can end the stream.
	g.Eventually(ended, "5s").Should(Receive(HaveOccurred()))
}
