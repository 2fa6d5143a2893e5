package dispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sequoiaroad/sequoiaroad/internal/target"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
	"github.com/sequoiaroad/sequoiaroad/standin/engine"
)

// engineFixture is a dispatcher with stand-in engines on loopback and pollers.
type engineFixture struct {
	d       *Dispatcher
	engines map[string]*engine.Engine
	stop    func()
}

func newEngineFixture(count int, policy string, options engine.Options) *engineFixture {
	f := &engineFixture{engines: map[string]*engine.Engine{}}
	document := &config.Document{
		Revision: 1,
		Models:   []config.Model{{ID: "m", WeightsVersion: "v"}},
		Accounts: []config.Account{{ID: "a", RateTokensPerSecond: 1 << 40, BurstTokens: 1 << 40}},
	}
	var servers []*httptest.Server
	options.Models, options.WeightsVersion = []string{"m"}, "v"
	for i := range count {
		options.ID, options.Seed = fmt.Sprint("t", i), uint64(i)
		e := engine.New(options)
		server := httptest.NewServer(e)
		servers = append(servers, server)
		f.engines[options.ID] = e
		document.Targets = append(document.Targets, config.Target{
			ID: options.ID, Kind: config.TargetEngine, URL: server.URL, Models: []string{"m"},
		})
	}
	index := config.NewIndex(document)
	current := func() *config.Index { return index }
	client := target.NewEngineClient()
	d, err := New(Options{Config: current, Engines: client, Policy: policy, StallTimeout: 300 * time.Millisecond, IndexBlocks: 100_000})
	if err != nil {
		panic(err)
	}
	f.d = d
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = d.Run(ctx) })
	running.Go(func() {
		pollers := target.NewPollers(target.PollerOptions{Client: client, Observer: d, Index: current, Interval: 50 * time.Millisecond})
		_ = pollers.Run(ctx)
	})
	f.stop = func() {
		cancel()
		running.Wait()
		for _, s := range servers {
			s.CloseClientConnections()
			s.Close()
		}
	}
	return f
}

func (f *engineFixture) complete(id string, prompt []byte, tokens int, sink func(Token) error) (Result, error) {
	c := &Completion{
		RequestID: id, AccountID: "a", Model: "m", Prompt: prompt, MaxOutputTokens: tokens,
		Body: map[string]any{"model": "m", "prompt": string(prompt), "max_tokens": json.Number(fmt.Sprint(tokens))},
	}
	return f.d.Complete(context.Background(), c, sink)
}

// Guards against a stream over HTTP that is not whole when the engine drops or stalls
// the connection, crashes, or is leaving.
func TestStreamsOverHTTPAreWhole(t *testing.T) {
	const tokens = 30
	faults := map[string]engine.Faults{
		"drops connections":      {DropAfterTokens: 12},
		"stalls":                 {StallAfterTokens: 12},
		"crashes":                {CrashAfterTokens: 12},
		"closes before response": {DropAfterBytes: -1},
		"refuses":                {RefuseNotRun: true},
	}
	prompt := []byte("a short question")
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newEngineFixture(3, "", engine.Options{DecodePerToken: time.Millisecond})
			defer f.stop()
			first := f.d.Explain("a", "m", prompt).Chosen
			f.engines[first].SetFaults(fault)
			sink, got := collect()
			_, err := f.complete("r", prompt, tokens, sink)
			g.Expect(err).NotTo(HaveOccurred())
			text, received := got()
			g.Expect(text).To(Equal(engine.CompletionText(prompt, tokens, "v")))
			g.Expect(received).To(HaveLen(tokens))
		})
	}
}

// Guards against a planned stop of an engine that fails requests.
func TestDrainingEngineFailsNothing(t *testing.T) {
	g := NewWithT(t)
	f := newEngineFixture(3, "", engine.Options{DecodePerToken: time.Millisecond})
	defer f.stop()
	var wait sync.WaitGroup
	errs := make(chan error, 100)
	for i := range 60 {
		if i == 20 {
			f.engines["t1"].SetDraining(true)
		}
		wait.Go(func() {
			prompt := fmt.Append(nil, "question ", i)
			sink, got := collect()
			_, err := f.complete(fmt.Sprint("r", i), prompt, 20, sink)
			if text, _ := got(); err == nil && text != engine.CompletionText(prompt, 20, "v") {
				err = fmt.Errorf("request %d got %q", i, text)
			}
			errs <- err
		})
		time.Sleep(2 * time.Millisecond)
	}
	wait.Wait()
	for range 60 {
		g.Expect(<-errs).NotTo(HaveOccurred())
	}
}

// Guards against an engine that goes on for a caller that is gone.
func TestCancelReachesTheEngine(t *testing.T) {
	g := NewWithT(t)
	f := newEngineFixture(1, "", engine.Options{DecodePerToken: 5 * time.Millisecond})
	defer f.stop()
	_, err := f.complete("r", []byte("question"), 1000, func(Token) error { return context.Canceled })
	g.Expect(err).To(HaveOccurred())
	g.Eventually(func() int { return f.engines["t0"].Counters().Cancelled }).Should(Equal(1))
}

// sharedPrompts returns prompts of documents that share a common start, with a
// question each; a few documents are hot.
func sharedPrompts(count int) [][]byte {
	random := rand.New(rand.NewPCG(1, 2))
	block := func(kind, i int) []byte {
		text := fmt.Sprintf("%d/%d ", kind, i)
		b := make([]byte, 0, prefix.BlockBytes)
		for len(b) < prefix.BlockBytes {
			b = append(b, text...)
		}
		return b[:prefix.BlockBytes]
	}
	const documents, documentBlocks = 40, 10
	prompts := make([][]byte, count)
	for i := range prompts {
		document := int(float64(documents) * random.Float64() * random.Float64() * random.Float64())
		prompt := block(0, 0)
		for b := range documentBlocks {
			prompt = append(prompt, block(document+1, b)...)
		}
		prompts[i] = fmt.Append(prompt, "question ", i)
	}
	return prompts
}

// BenchmarkPolicies shows hit rate, recomputation and time to first token of each
// policy on the same requests, over stand-in engines with caches that hold all or half
// of the documents, at light and high load.
func BenchmarkPolicies(b *testing.B) {
	scenarios := []struct {
		name        string
		requests    int
		interval    time.Duration
		cacheBlocks int
	}{
		{"light", 400, 10 * time.Millisecond, 80},
		{"heavy", 1000, 3 * time.Millisecond, 80},
		{"small-cache", 800, 5 * time.Millisecond, 34},
	}
	for _, s := range scenarios {
		prompts := sharedPrompts(s.requests)
		for _, policy := range []string{"predicted-ttft", "prefix-hash", "least-loaded", "round-robin"} {
			b.Run(s.name+"/"+policy, func(b *testing.B) {
				for range b.N {
					f := newEngineFixture(8, policy, engine.Options{
						CacheBlocks: s.cacheBlocks, PrefillPerToken: 10 * time.Microsecond, DecodePerToken: time.Millisecond,
						LoadReportAge: 50 * time.Millisecond, EventDelay: 50 * time.Millisecond, EventLossRate: 0.01,
					})
					time.Sleep(200 * time.Millisecond) // the first polls
					report(b, f, prompts, s.interval)
					f.stop()
				}
			})
		}
	}
}

func report(b *testing.B, f *engineFixture, prompts [][]byte, interval time.Duration) {
	var wait sync.WaitGroup
	var mu sync.Mutex
	var delays []time.Duration
	for i, prompt := range prompts {
		wait.Go(func() {
			result, err := f.complete(fmt.Sprint("r", i), prompt, 20, func(Token) error { return nil })
			if err != nil {
				b.Error(err)
			}
			mu.Lock()
			defer mu.Unlock()
			delays = append(delays, result.TimeToFirstToken)
		})
		time.Sleep(interval)
	}
	wait.Wait()
	var sum engine.Counters
	for _, e := range f.engines {
		c := e.Counters()
		sum.PromptTokens += c.PromptTokens
		sum.CachedTokens += c.CachedTokens
		sum.RecomputedTokens += c.RecomputedTokens
	}
	slices.Sort(delays)
	b.ReportMetric(float64(sum.CachedTokens)/float64(sum.PromptTokens), "hit-rate")
	b.ReportMetric(float64(f.d.Totals().WastedTokens), "wasted-tokens")
	b.ReportMetric(float64(sum.RecomputedTokens), "recomputed-tokens")
	b.ReportMetric(float64(delays[len(delays)*99/100].Milliseconds()), "p99-ms")
	b.ReportMetric(float64(delays[len(delays)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(0, "ns/op")
}
