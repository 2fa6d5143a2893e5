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

// engineFixture is a dispatcher with pollers and stand-in engines on loopback.
type engineFixture struct {
	d       *Dispatcher
	engines map[string]*engine.Engine
	close   func()
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
	f.close = func() {
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

// Guards against incomplete streams over HTTP when the engine drops or stalls the
// connection, crashes, or rejects the request.
func TestStreamOverHTTPIsWholeAfterFault(t *testing.T) {
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
			defer f.close()
			first := f.d.Explain("a", "m", prompt).Chosen
			f.engines[first].SetFaults(fault)
			sink, got := collectTokens()
			_, err := f.complete("r", prompt, tokens, sink)
			g.Expect(err).NotTo(HaveOccurred())
			text, received := got()
			g.Expect(text).To(Equal(engine.CompletionText(prompt, tokens, "v")))
			g.Expect(received).To(HaveLen(tokens))
		})
	}
}

// Guards against requests that fail because an engine drains for a planned stop.
func TestDrainingEngineFailsNoRequest(t *testing.T) {
	g := NewWithT(t)
	f := newEngineFixture(3, "", engine.Options{DecodePerToken: time.Millisecond})
	defer f.close()
	var wg sync.WaitGroup
	errs := make(chan error, 100)
	for i := range 60 {
		if i == 20 {
			f.engines["t1"].SetDraining(true)
		}
		wg.Go(func() {
			prompt := fmt.Append(nil, "question ", i)
			sink, got := collectTokens()
			_, err := f.complete(fmt.Sprint("r", i), prompt, 20, sink)
			if text, _ := got(); err == nil && text != engine.CompletionText(prompt, 20, "v") {
				err = fmt.Errorf("request %d got %q", i, text)
			}
			errs <- err
		})
		time.Sleep(2 * time.Millisecond)
	}
	wg.Wait()
	for range 60 {
		g.Expect(<-errs).NotTo(HaveOccurred())
	}
}

// Guards against an engine that continues to generate after the sink has returned an
// error.
func TestSinkErrorCancelsAtEngine(t *testing.T) {
	g := NewWithT(t)
	f := newEngineFixture(1, "", engine.Options{DecodePerToken: 5 * time.Millisecond})
	defer f.close()
	_, err := f.complete("r", []byte("question"), 1000, func(Token) error { return context.Canceled })
	g.Expect(err).To(HaveOccurred())
	g.Eventually(func() int { return f.engines["t0"].Counters().Cancelled }).Should(Equal(1))
}

// sharedPrompts returns prompts that consist of a document and a question. All
// documents share their first block, and a few documents are requested most often.
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

// BenchmarkPolicies measures hit rate, recomputed tokens and time to first token of
// each policy on the same requests, over stand-in engines with caches that hold all or
// half of the documents, at light and high load.
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
					time.Sleep(200 * time.Millisecond) // wait for the first polls
					reportPolicyMetrics(b, f, prompts, s.interval)
					f.close()
				}
			})
		}
	}
}

func reportPolicyMetrics(b *testing.B, f *engineFixture, prompts [][]byte, interval time.Duration) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var ttfts []time.Duration
	for i, prompt := range prompts {
		wg.Go(func() {
			result, err := f.complete(fmt.Sprint("r", i), prompt, 20, func(Token) error { return nil })
			if err != nil {
				b.Error(err)
			}
			mu.Lock()
			defer mu.Unlock()
			ttfts = append(ttfts, result.TimeToFirstToken)
		})
		time.Sleep(interval)
	}
	wg.Wait()
	var total engine.Counters
	for _, e := range f.engines {
		c := e.Counters()
		total.PromptTokens += c.PromptTokens
		total.CachedTokens += c.CachedTokens
		total.RecomputedTokens += c.RecomputedTokens
	}
	slices.Sort(ttfts)
	b.ReportMetric(float64(total.CachedTokens)/float64(total.PromptTokens), "hit-rate")
	b.ReportMetric(float64(f.d.Totals().WastedTokens), "wasted-tokens")
	b.ReportMetric(float64(total.RecomputedTokens), "recomputed-tokens")
	b.ReportMetric(float64(ttfts[len(ttfts)*99/100].Milliseconds()), "p99-ms")
	b.ReportMetric(float64(ttfts[len(ttfts)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(0, "ns/op")
}
