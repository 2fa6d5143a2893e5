package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sequoiaroad/sequoiaroad/internal/refusal"
	"github.com/sequoiaroad/sequoiaroad/internal/target"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
	"github.com/sequoiaroad/sequoiaroad/policy/routing"
)

// Guards against skipped, repeated or stale tokens: for any sequence of events of any
// attempts, the accepted tokens are 0, 1, 2 and so on, each of the attempt current at
// the time.
func TestAssemblerAcceptsOnlyNextTokenOfCurrentAttempt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a assembler
		a.begin(1)
		attempt, expected := 1, 0
		for range rapid.IntRange(1, 100).Draw(t, "events") {
			if rapid.IntRange(0, 9).Draw(t, "new attempt") == 0 {
				attempt++
				a.begin(attempt)
			}
			from := rapid.IntRange(max(1, attempt-1), attempt).Draw(t, "attempt")
			offset := rapid.IntRange(max(0, expected-2), expected+1).Draw(t, "offset")
			isNext, err := a.accept(from, target.TokenEvent{Offset: offset, Text: fmt.Sprint(from, "/", offset, " ")})
			wantNext := from == attempt && offset == expected
			if isNext != wantNext {
				t.Fatalf("token %d of attempt %d accepted: %v, expected token %d of %d", offset, from, isNext, expected, attempt)
			}
			if gap := from == attempt && offset > expected; (err != nil) != gap || gap && !errors.Is(err, errGap) {
				t.Fatalf("gap %v, error %v", gap, err)
			}
			if isNext {
				expected++
			}
		}
		if a.next != expected {
			t.Fatalf("next %d, want %d", a.next, expected)
		}
	})
}

// Guards against missing or repeated tokens after an attempt fails at any step.
func TestCompletionIsWholeAfterFailure(t *testing.T) {
	notExecuted := &target.CallError{Step: "dial", Target: "t0", NotExecuted: true, Err: errFake}
	unknown := &target.CallError{Step: "send", Target: "t0", Err: errFake}
	draining := &target.CallError{Step: "response", Target: "t0", NotExecuted: true, Draining: true, Status: 503, Err: errFake}
	overloaded := &target.CallError{Step: "response", Target: "t0", NotExecuted: true, Status: 429, Err: errFake}
	cases := map[string]struct {
		first    script
		resume   []script
		attempts int
		resumes  int
	}{
		"healthy":                 {script{}, nil, 1, 0},
		"dial fails":              {script{callErr: notExecuted}, nil, 2, 0},
		"send fails":              {script{callErr: unknown}, nil, 2, 0},
		"draining":                {script{callErr: draining}, nil, 2, 0},
		"too many requests":       {script{callErr: overloaded}, nil, 2, 0},
		"no response":             {script{hang: true}, nil, 2, 0},
		"breaks, resumes":         {script{breakAt: 4}, nil, 1, 1},
		"breaks, resume rejected": {script{breakAt: 1}, []script{{noResume: true}}, 2, 1},
		"stalls, resumes":         {script{stallAt: 4}, nil, 1, 1},
		"stalls, resume rejected": {script{stallAt: 4}, []script{{noResume: true}}, 2, 1},
		"stalls repeatedly":       {script{stallAt: 4}, []script{{stallAt: 4}, {stallAt: 4}}, 2, 2},
		"loses a token":           {script{skipAt: 3}, nil, 1, 1},
		"ends early":              {script{endAt: 6}, nil, 1, 1},
		"repeats":                 {script{repeat: true}, nil, 1, 0},
		"resumes repeat":          {script{breakAt: 4}, []script{{repeat: true}}, 1, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFixture(2)
			// Both targets have the same resume scripts, since either may be chosen
			// first.
			for _, id := range []string{"t0", "t1"} {
				f.engines.scripts[id+"/resume"] = append([]script{}, c.resume...)
			}
			chosen := f.d.Explain("a", "m", completion("a", 0).Prompt).Chosen
			f.engines.scripts[chosen] = []script{c.first}
			sink, received := collectTokens()
			result, err := f.d.Complete(context.Background(), completion("a", 0), sink)
			g.Expect(err).NotTo(HaveOccurred())
			text, tokens := received()
			g.Expect(text).To(Equal(fullResponseText()))
			g.Expect(result.Attempts).To(Equal(c.attempts))
			g.Expect(f.engines.resumed).To(HaveLen(c.resumes))
			g.Expect(result.Usage.CompletionTokens).To(Equal(responseTokens))
			for i, token := range tokens {
				g.Expect(token.Position.Offset).To(Equal(i + 1))
			}
			if c.attempts == 2 && c.resumes > 0 {
				last := f.engines.requests[1]
				g.Expect(last.ResumeOffset).To(BeNumerically(">", 0), "the second engine must continue")
				g.Expect(fullResponseText()).To(HavePrefix(last.ResumeText))
				g.Expect(last.RequestID).NotTo(Equal(f.engines.requests[0].RequestID))
			}
			for _, id := range []string{"t0", "t1"} {
				inFlight, waiting := f.queueLoad(id)
				g.Expect([]int{inFlight, waiting}).To(Equal([]int{0, 0}))
			}
		})
	}
}

// queueLoad returns how many requests are in flight at a target and wait in its queue;
// a removed target has none.
func (f *fixture) queueLoad(id string) (inFlight, waiting int) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	tq := f.d.targetQueues[id]
	if tq == nil {
		return 0, 0
	}
	return tq.limit.InFlight(), tq.queue.Len()
}

func expectRefusal(g Gomega, err error, code refusal.Code, execution refusal.Execution) {
	var r *refusal.Error
	g.ExpectWithOffset(1, errors.As(err, &r)).To(BeTrue(), "%v", err)
	g.ExpectWithOffset(1, []any{r.Code, r.Execution}).To(Equal([]any{code, execution}), "%v", err)
}

// Guards against a refusal that reports not_run for a request that may have been executed,
// or unknown for one that was not.
func TestRefusalExecutionState(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	sink, _ := collectTokens()
	notExecuted := script{callErr: &target.CallError{Step: "dial", NotExecuted: true, Err: errFake}}
	unknown := script{callErr: &target.CallError{Step: "send", Err: errFake}}
	invalid := script{callErr: &target.CallError{Step: "response", NotExecuted: true, Status: 400, Err: errFake}}

	f := newFixture(1)
	f.engines.scripts["t0"] = []script{notExecuted, notExecuted, notExecuted, notExecuted, notExecuted}
	_, err := f.d.Complete(ctx, completion("a", 0), sink)
	expectRefusal(g, err, refusal.TargetUnavailable, refusal.NotExecuted)

	f = newFixture(1)
	f.engines.scripts["t0"] = []script{unknown, notExecuted, notExecuted, notExecuted, notExecuted}
	_, err = f.d.Complete(ctx, completion("a", 0), sink)
	expectRefusal(g, err, refusal.TargetFailed, refusal.ExecutionUnknown)

	f = newFixture(2)
	f.engines.scripts["t0"], f.engines.scripts["t1"] = []script{invalid}, []script{invalid}
	_, err = f.d.Complete(ctx, completion("a", 0), sink)
	expectRefusal(g, err, refusal.InvalidRequest, refusal.NotExecuted)
	g.Expect(f.engines.sent).To(HaveLen(1))

	_, err = f.d.Complete(ctx, &Completion{Model: "other"}, sink)
	expectRefusal(g, err, refusal.NotFound, refusal.NotExecuted)

	// Only a learned prefill cost justifies an early refusal.
	tightDeadline := completion("a", 100)
	tightDeadline.Deadline = time.Now().Add(time.Second)
	uncalibrated := newFixture(1)
	_, err = uncalibrated.d.Complete(ctx, tightDeadline, sink)
	g.Expect(err).NotTo(HaveOccurred())
	f.d.router.ImportLearned([]routing.LearnedState{{TargetID: "t0", TokenCost: 0.0001}, {TargetID: "t1", TokenCost: 0.0001}}, time.Now())
	_, err = f.d.Complete(ctx, tightDeadline, sink)
	expectRefusal(g, err, refusal.DeadlineUnreachable, refusal.NotExecuted)

	stale := completion("a", 0)
	stale.AllowDispatch = func() error { return refusal.New(refusal.HostNotFresh, "stale") }
	_, err = f.d.Complete(ctx, stale, sink)
	expectRefusal(g, err, refusal.HostNotFresh, refusal.NotExecuted)
	g.Expect(f.engines.sent).To(HaveLen(1))

	// AllowDispatch fails between two attempts.
	f = newFixture(2)
	f.engines.scripts["t0"], f.engines.scripts["t1"] = []script{unknown}, []script{unknown}
	checks := 0
	stale.AllowDispatch = func() error {
		if checks++; checks > 1 {
			return refusal.New(refusal.KeyWithdrawn, "withdrawn")
		}
		return nil
	}
	_, err = f.d.Complete(ctx, stale, sink)
	expectRefusal(g, err, refusal.KeyWithdrawn, refusal.ExecutionUnknown)
	g.Expect(f.engines.sent).To(HaveLen(1))
}

// Guards against a stream that ends because one engine rejects its continuation.
func TestRejectedContinuationIsRetriedElsewhere(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(3)
	first := f.d.Explain("a", "m", completion("a", 0).Prompt).Chosen
	rejected := script{callErr: &target.CallError{Step: "response", NotExecuted: true, Status: 400, Err: errFake}}
	for _, id := range []string{"t0", "t1", "t2"} {
		f.engines.scripts[id] = []script{rejected}
	}
	f.engines.scripts[first] = []script{{breakAt: 4}}
	f.engines.scripts[first+"/resume"] = []script{{noResume: true}}
	sink, received := collectTokens()
	_, err := f.d.Complete(context.Background(), completion("a", 0), sink)
	g.Expect(err).NotTo(HaveOccurred())
	text, _ := received()
	g.Expect(text).To(Equal(fullResponseText()))
}

// Guards against a text of mixed weights versions: the engine that could continue the
// stream has restarted with other weights, which no poll has reported yet.
func TestContinuationRequiresSameWeights(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(2)
	f.reportLoad("t0")
	f.reportLoad("t1")
	first := f.d.Explain("a", "m", completion("a", 0).Prompt).Chosen
	other := map[string]string{"t0": "t1", "t1": "t0"}[first]
	f.engines.scripts[first] = []script{{breakAt: 4}}
	f.engines.scripts[first+"/resume"] = []script{{noResume: true}}
	f.engines.epochs[other], f.engines.weights[other] = "restarted", "w"
	f.engines.weights[first] = "w"
	sink, received := collectTokens()
	_, err := f.d.Complete(context.Background(), completion("a", 0), sink)
	expectRefusal(g, err, refusal.TargetFailed, refusal.ExecutionUnknown)
	_, tokens := received()
	g.Expect(tokens).To(HaveLen(4))
}

// Guards against an engine that continues to compute after the caller has disconnected,
// and against a refusal from the sink that is replaced by another error.
func TestCallerAbortCancelsAttempt(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(1)
	f.engines.scripts["t0"] = []script{{stallAt: 5}}
	count := 0
	_, err := f.d.Complete(context.Background(), completion("a", 0), func(Token) error {
		if count++; count == 3 {
			return refusal.New(refusal.KeyWithdrawn, "withdrawn")
		}
		return nil
	})
	expectRefusal(g, err, refusal.KeyWithdrawn, refusal.ExecutionUnknown)
	g.Expect(f.engines.cancels).To(Equal([]string{"t0/r-1"}))
	g.Expect(f.engines.sent).To(HaveLen(1))

	ctx, cancel := context.WithCancel(context.Background())
	f.engines.scripts["t0"] = []script{{stallAt: 5}}
	f.d.options.StallTimeout = time.Minute
	_, err = f.d.Complete(ctx, completion("a", 0), func(t Token) error {
		if t.Position.Offset == 5 {
			cancel()
		}
		return nil
	})
	expectRefusal(g, err, refusal.TargetFailed, refusal.ExecutionUnknown)
	g.Expect(f.engines.cancels).To(HaveLen(2))
	inFlight, waiting := f.queueLoad("t0")
	g.Expect([]int{inFlight, waiting}).To(Equal([]int{0, 0}))
}

// Guards against a reconnected caller that receives tokens twice, misses some, or
// receives tokens of a stream of another epoch.
func TestReconnect(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	reconnect := func() *Completion {
		c := completion("a", 0)
		c.ResumeFrom = &StreamPosition{EngineRequestID: "r-1", TargetID: "t0", Epoch: "e", Offset: 4}
		return c
	}
	rest := fullResponseText()[len("0 1 2 3 "):]

	f := newFixture(2)
	sink, received := collectTokens()
	_, err := f.d.Complete(ctx, reconnect(), sink)
	g.Expect(err).NotTo(HaveOccurred())
	text, tokens := received()
	g.Expect(text).To(Equal(rest))
	g.Expect(tokens[0].Position.Offset).To(Equal(5))

	// The engine no longer keeps the start of the stream.
	f = newFixture(2)
	f.engines.scripts["t0/resume"] = []script{{noResume: true}}
	sink, received = collectTokens()
	_, err = f.d.Complete(ctx, reconnect(), sink)
	g.Expect(err).NotTo(HaveOccurred())
	text, _ = received()
	g.Expect(text).To(Equal(rest))

	// The engine fails after the caller has reconnected.
	f = newFixture(2)
	f.engines.scripts["t0/resume"] = []script{{breakAt: 7}, {noResume: true}}
	sink, received = collectTokens()
	_, err = f.d.Complete(ctx, reconnect(), sink)
	g.Expect(err).NotTo(HaveOccurred())
	text, _ = received()
	g.Expect(text).To(Equal(rest))
	g.Expect(f.engines.sent).To(Equal([]string{"t1@7"}))

	f = newFixture(2)
	f.engines.epochs["t0"] = "newer"
	_, err = f.d.Complete(ctx, reconnect(), sink)
	expectRefusal(g, err, refusal.StreamNotResumable, refusal.ExecutionUnknown)
	removed := reconnect()
	removed.ResumeFrom.TargetID = "t9"
	_, err = f.d.Complete(ctx, removed, sink)
	expectRefusal(g, err, refusal.StreamNotResumable, refusal.ExecutionUnknown)
}

// Guards against new requests to a leaving target, whichever source reports it as
// leaving, and against requests that stay in its queue forever.
func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	sources := map[string]func(*fixture){
		"host list":   func(f *fixture) { f.d.ObserveLeaving([]string{"t0"}) },
		"load report": func(f *fixture) { f.d.ObserveLoad("t0", target.LoadReport{Epoch: "e", Draining: true}) },
		"configuration": func(f *fixture) {
			f.updateConfig(func(d *config.Document) { d.Targets[0].Leaving = true })
		},
		"removal": func(f *fixture) {
			f.updateConfig(func(d *config.Document) { d.Targets = d.Targets[1:] })
		},
	}
	for name, leave := range sources {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFixture(2)
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			go func() { _ = f.d.Run(ctx) }()
			// Only t0 may be chosen at first, and it takes one request at a time.
			f.d.ObserveLeaving([]string{"t1"})
			f.d.knobs.MaxInFlight = 1
			release := make(chan struct{})
			f.engines.scripts["t0"] = []script{{holdAt: 2, release: release}}
			f.d.options.StallTimeout = time.Minute // t0's request stays in flight until the release
			var wg sync.WaitGroup
			for range 4 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					sink, received := collectTokens()
					_, err := f.d.Complete(context.Background(), completion("a", 0), sink)
					text, _ := received()
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(text).To(Equal(fullResponseText()))
				}()
			}
			g.Eventually(func() int { _, waiting := f.queueLoad("t0"); return waiting }).Should(Equal(3))
			f.d.ObserveLeaving(nil)
			leave(f)
			g.Eventually(func() int { _, waiting := f.queueLoad("t0"); return waiting }).Should(BeZero())
			close(release)
			wg.Wait()
			f.engines.mu.Lock()
			defer f.engines.mu.Unlock()
			sentToLeaving := 0
			for _, sent := range f.engines.sent {
				if sent == "t0@0" {
					sentToLeaving++
				}
			}
			g.Expect(sentToLeaving).To(Equal(1), "%v", f.engines.sent)
		})
	}
}

// Guards against concurrent requests that each compute the same cold prefix.
func TestConcurrentRequestsComputeColdPrefixOnce(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(4)
	for i := range 4 {
		f.engines.scripts[fmt.Sprint("t", i)] = []script{{prefill: 100 * time.Millisecond}}
	}
	f.d.options.StallTimeout = 5 * time.Second
	var wg sync.WaitGroup
	for range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			sink, _ := collectTokens()
			_, err := f.d.Complete(context.Background(), completion("a", 8), sink)
			g.Expect(err).NotTo(HaveOccurred())
		}()
	}
	time.Sleep(50 * time.Millisecond)
	f.engines.mu.Lock()
	g.Expect(f.engines.sent).To(HaveLen(1))
	f.engines.mu.Unlock()
	wg.Wait()
	targets := map[string]bool{}
	for _, sent := range f.engines.sent {
		targets[sent] = true
	}
	g.Expect(targets).To(HaveLen(1))
	g.Expect(f.d.firstTokenWaiters).To(BeEmpty())
}

// Guards against an account above its rate that delays one within it.
func TestOverRateAccountDoesNotDelayOthers(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(1)
	f.d.applyConfig()
	f.d.knobs.MaxInFlight, f.d.knobs.MinInFlight = 2, 2
	f.d.options.StallTimeout = 5 * time.Second
	slow := script{prefill: 50 * time.Millisecond}
	f.engines.scripts["t0"] = []script{slow, slow, slow, slow, slow, slow, slow, slow}
	var wg sync.WaitGroup
	send := func(account string, done func()) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			sink, _ := collectTokens()
			_, err := f.d.Complete(context.Background(), completion(account, 0), sink)
			g.Expect(err).NotTo(HaveOccurred())
			done()
		}()
	}
	for range 7 {
		send("b", func() {})
	}
	g.Eventually(func() int { _, waiting := f.queueLoad("t0"); return waiting }).Should(BeNumerically(">=", 5))
	start := time.Now()
	var elapsed time.Duration
	send("a", func() { elapsed = time.Since(start) })
	wg.Wait()
	g.Expect(elapsed).To(BeNumerically("<", 150*time.Millisecond), "eight requests in order of arrival, two at a time, take 200 ms")
	last := f.engines.requests[len(f.engines.requests)-1]
	g.Expect(last.Priority).To(Equal(overRatePriority))
}

// Guards against completion counters that miss cached or wasted tokens.
func TestCompletionStats(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(2)
	f.reportLoad("t0")
	f.reportLoad("t1")
	c := completion("a", 3)
	chain := prefix.Chain(prefix.Namespace{AccountID: "a", Model: "m", WeightsVersion: "v"}.Seed(), c.Prompt)
	batch := target.CacheEvents{Epoch: "e", Reset: true, Sequence: 7}
	for _, h := range chain {
		batch.Events = append(batch.Events, target.CacheEvent{Hash: h, Stored: true})
	}
	epoch, after := f.d.ObserveCacheEvents("t1", batch)
	g.Expect([]any{epoch, after}).To(Equal([]any{"e", uint64(7)}))
	e := f.d.Explain("a", "m", c.Prompt)
	g.Expect(e.Chosen).To(Equal("t1"))
	g.Expect(e.Policy).To(Equal("predicted-ttft"))
	g.Expect(e.Candidates).To(HaveLen(2))
	g.Expect(f.d.Explain("b", "m", c.Prompt).Candidates[1].CachedTokens).To(BeZero(), "another account's blocks must not count")

	f.engines.scripts["t1"] = []script{{cached: 1000}}
	sink, _ := collectTokens()
	_, err := f.d.Complete(context.Background(), c, sink)
	g.Expect(err).NotTo(HaveOccurred())
	totals := f.d.Totals()
	g.Expect(totals.Completions).To(BeEquivalentTo(1))
	g.Expect(totals.CachedTokens).To(BeEquivalentTo(1000))
	g.Expect(totals.WastedTokens).To(BeEquivalentTo(2000))
	epoch, _ = f.d.ObserveCacheEvents("t1", target.CacheEvents{Epoch: "e", Sequence: 7})
	g.Expect(epoch).To(BeEmpty(), "index entries beyond the reported cached tokens must trigger a full list")
}

// Guards against a restart that loses learned state, and against a panic on damaged
// snapshots.
func TestSnapshot(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(3)
	f.reportLoad("t1")
	c := completion("a", 3)
	sink, _ := collectTokens()
	_, err := f.d.Complete(context.Background(), c, sink)
	g.Expect(err).NotTo(HaveOccurred())
	warm := f.d.Explain("a", "m", c.Prompt).Chosen
	encoded, err := f.d.Snapshot()
	g.Expect(err).NotTo(HaveOccurred())

	other := newFixture(3)
	g.Expect(other.d.Restore(encoded)).To(Succeed())
	for _, candidate := range other.d.Explain("a", "m", c.Prompt).Candidates {
		g.Expect(candidate.CachedTokens > 0).To(Equal(candidate.Target == warm))
	}
	other.engines.epochs[warm] = "newer"
	other.reportLoad(warm)
	for _, candidate := range other.d.Explain("a", "m", c.Prompt).Candidates {
		g.Expect(candidate.CachedTokens).To(BeZero(), "entries of an earlier epoch must be dropped")
	}
	for i := range encoded {
		_ = newFixture(1).d.Restore(encoded[:i]) // must not panic
	}
	g.Expect(other.d.Restore(encoded[:len(encoded)/2])).NotTo(Succeed())
}

// Guards against state that remains after its target or account was removed.
func TestStateIsDroppedWithTargetOrAccount(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(3)
	sink, _ := collectTokens()
	for _, account := range []string{"a", "b"} {
		_, err := f.d.Complete(context.Background(), completion(account, 2), sink)
		g.Expect(err).NotTo(HaveOccurred())
	}
	f.updateConfig(func(d *config.Document) { d.Targets, d.Accounts = d.Targets[2:], d.Accounts[:1] })
	f.d.maintain()
	g.Expect(f.d.targetQueues).To(HaveLen(1))
	g.Expect(f.d.rateMeters).To(HaveLen(1))
	g.Expect(f.d.index.Targets()).To(Equal([]string{"t2"}))
	f.d.ObserveLoad("t0", target.LoadReport{Epoch: "e"})
	epoch, _ := f.d.ObserveCacheEvents("t0", target.CacheEvents{Epoch: "e", Reset: true})
	g.Expect(epoch).To(BeEmpty())
	g.Expect(f.d.index.Targets()).To(Equal([]string{"t2"}))
}

// Guards against the choice of a service replica that was tried, is leaving or is
// failing.
func TestChooseService(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(1)
	f.d.ObserveLeaving([]string{"s0"})
	for range 10 {
		s, done, err := f.d.ChooseService("booking", []string{"s1"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(s.ID).To(Equal("s2"))
		done(nil)
	}
	for range f.d.knobs.EjectAfter {
		_, done, _ := f.d.ChooseService("booking", []string{"s1"})
		done(errFake)
	}
	s, _, _ := f.d.ChooseService("booking", nil)
	g.Expect(s.ID).To(Equal("s1"))
	_, _, err := f.d.ChooseService("booking", []string{"s1", "s2"})
	expectRefusal(g, err, refusal.TargetUnavailable, refusal.NotExecuted)
}

// BenchmarkComplete measures a completion of ten tokens by number of replicas.
func BenchmarkComplete(b *testing.B) {
	for _, replicas := range []int{14, 210, 830} {
		b.Run(fmt.Sprint("replicas=", replicas), func(b *testing.B) {
			f := newFixture(replicas)
			c := completion("a", 8)
			for range b.N {
				if _, err := f.d.Complete(context.Background(), c, func(Token) error { return nil }); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
