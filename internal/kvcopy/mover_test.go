package kvcopy

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sequoiaroad/sequoiaroad/internal/target"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	policy "github.com/sequoiaroad/sequoiaroad/policy/kvcopy"
	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
	"github.com/sequoiaroad/sequoiaroad/standin/engine"
)

const testBlocks = 6

// fixture is a mover between two stand-in engines, with a view that tests set.
type fixture struct {
	mover   *Copier
	engines map[string]*engine.Engine
	targets map[string]*config.Target
	seed    prefix.BlockHash
	chain   []prefix.BlockHash
	cancel  context.CancelFunc

	mu     sync.Mutex
	ends   map[string]policy.Endpoint
	copied int
	// onImport runs when the destination gets an import.
	onImport func()
	// onExported runs when the source has answered.
	onExported func()
}

func (f *fixture) CacheState(id string) policy.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ends[id]
}

func (f *fixture) RecordCopy(_ policy.Endpoint, blocks []prefix.BlockHash) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.copied += len(blocks)
}

// report brings the view up to date.
func (f *fixture) report() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, e := range f.engines {
		f.ends[id] = policy.Endpoint{TargetID: id, Epoch: e.Epoch(), Weights: e.WeightsVersion(), Region: "r"}
	}
}

func newFixture(t *testing.T, options engine.Options) *fixture {
	t.Helper()
	f := &fixture{engines: map[string]*engine.Engine{}, targets: map[string]*config.Target{}, ends: map[string]policy.Endpoint{}}
	options.WeightsVersion = "v"
	for _, id := range []string{"s", "d"} {
		e := engine.New(options)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/kv/import" && f.onImport != nil {
				f.onImport()
			}
			e.ServeHTTP(w, r)
			if r.URL.Path == "/v1/kv/export" && f.onExported != nil {
				f.onExported()
			}
		}))
		t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
		f.engines[id] = e
		f.targets[id] = &config.Target{ID: id, Kind: config.TargetEngine, URL: server.URL}
	}
	prompt := bytes.Repeat([]byte("x"), testBlocks*prefix.BlockBytes)
	f.seed = prefix.Namespace{AccountID: "a", Model: "m", WeightsVersion: "v"}.Seed()
	f.chain = prefix.Chain(f.seed, prompt)
	f.warm(t, prompt)
	f.report()
	var err error
	f.mover, err = New(Options{
		Engines: target.NewEngineClient(), Cache: f, Target: func(id string) *config.Target { return f.targets[id] },
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = f.mover.Run(ctx) })
	f.cancel = func() { cancel(); running.Wait() }
	t.Cleanup(f.cancel)
	return f
}

// warm lets the source compute the prompt.
func (f *fixture) warm(t *testing.T, prompt []byte) {
	t.Helper()
	client := target.NewEngineClient()
	s, err := client.Complete(context.Background(), f.targets["s"], &target.CompletionRequest{
		RequestID: "warm", CacheSalt: f.seed.String(),
		Body: map[string]any{"model": "m", "prompt": string(prompt), "max_tokens": json.Number("1")},
	})
	if err != nil {
		t.Fatal(err)
	}
	for event, err := s.Next(); !event.Done; event, err = s.Next() {
		if err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
}

// offer starts a copy and waits for its end. No request waits for the first one.
func (f *fixture) offer(g Gomega) time.Duration {
	began, before := time.Now(), f.mover.Totals()
	done, _ := f.mover.Offer(&policy.Offer{
		Seed: f.seed, Weights: "v", Chain: f.chain, From: f.copied, To: testBlocks, SourceLeaving: true, HostRegion: "r", TokenCost: 1e-3,
		Source: f.CacheState("s"), Destination: f.CacheState("d"),
	}, nil)
	g.Expect(done == nil).To(Equal(before.Started == 0))
	g.Eventually(func() uint64 {
		t := f.mover.Totals()
		return t.Done + t.Failed + t.Changed
	}).WithTimeout(10 * time.Second).Should(Equal(before.Started + 1))
	if done != nil {
		g.Eventually(done).Should(BeClosed())
	}
	return time.Since(began)
}

// Guards against a copy that the destination can't use or the view is not told of.
func TestCopyMovesTheBlocks(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, engine.Options{KVBytesPerToken: 50})
	f.offer(g)
	g.Expect(f.copied).To(Equal(1)) // the first copy only measures
	f.offer(g)
	g.Expect(f.engines["d"].CachedPrefixBlocks(f.chain)).To(Equal(testBlocks))
	g.Expect(f.copied).To(Equal(testBlocks))
	totals := f.mover.Totals()
	g.Expect(totals).To(Equal(Totals{Started: 2, Done: 2, CopiedTokens: 6000, Bytes: totals.Bytes}))
	g.Expect(totals.Bytes).To(BeNumerically(">", 6000*50))
}

// Guards P1: an import after an end has changed, whether the router knows it or only
// the engine does.
func TestChangedEndsAreNotUsed(t *testing.T) {
	changes := map[string]func(f *fixture){
		"source crashed":      func(f *fixture) { f.engines["s"].Crash(); f.report() },
		"destination crashed": func(f *fixture) { f.engines["d"].Crash(); f.report() },
		"unreported crash":    func(f *fixture) { f.engines["d"].Crash() },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFixture(t, engine.Options{})
			f.onExported = func() { change(f) }
			imports := 0
			f.onImport = func() { imports++ }
			f.offer(g)
			g.Expect(f.engines["d"].CachedPrefixBlocks(f.chain)).To(BeZero())
			g.Expect(f.copied).To(BeZero())
			if name == "unreported crash" {
				g.Expect(f.mover.Totals().Failed).To(Equal(uint64(1)))
				return
			}
			g.Expect(imports).To(BeZero())
			g.Expect(f.mover.Totals().Changed).To(Equal(uint64(1)))
		})
	}
}

// Guards against an export that is used although the source restarted before it.
func TestCrashBeforeExport(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, engine.Options{})
	f.engines["s"].Crash()
	f.offer(g)
	g.Expect(f.copied).To(BeZero())
	g.Expect(f.mover.Totals().Failed).To(Equal(uint64(1)))
}

// Guards against copies that never end: an engine that hangs, a block above the memory
// bound, and a stop.
func TestCopiesEnd(t *testing.T) {
	t.Run("hang", func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(t, engine.Options{})
		hang := make(chan struct{})
		t.Cleanup(func() { close(hang) })
		f.onImport = func() { <-hang }
		g.Expect(f.offer(g)).To(BeNumerically("<", 5*time.Second))
		g.Expect(f.mover.Totals().Failed).To(Equal(uint64(1)))
	})
	t.Run("too large", func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(t, engine.Options{KVBytesPerToken: 10_000})
		f.offer(g)
		g.Expect(f.mover.Totals().Bytes).To(BeNumerically("<=", maxChunkBytes+1))
		f.mover.Offer(&policy.Offer{
			Seed: f.seed, Weights: "v", Chain: f.chain, From: 1, To: testBlocks, SourceLeaving: true, HostRegion: "r",
			TokenCost: 1e-2, Source: f.CacheState("s"), Destination: f.CacheState("d"),
		}, nil)
		g.Expect(f.mover.Totals().Started).To(Equal(uint64(1)), "blocks above the bound must not be tried again")
	})
	t.Run("stop", func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(t, engine.Options{KVBytesPerSecond: 10}) // an export takes forty minutes
		f.mover.Offer(&policy.Offer{
			Seed: f.seed, Weights: "v", Chain: f.chain, To: testBlocks, SourceLeaving: true, HostRegion: "r",
			TokenCost: 10, Source: f.CacheState("s"), Destination: f.CacheState("d"),
		}, nil)
		began := time.Now()
		f.cancel()
		g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	})
}

// Guards against a queue without a bound.
func TestOffersBeyondTheQueueAreDeclined(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, engine.Options{})
	hang := make(chan struct{})
	defer close(hang)
	f.onExported = func() { <-hang }
	const offers = 3 * (slots + queued)
	for i := range offers {
		f.targets[fmt.Sprint("d", i)] = f.targets["d"]
	}
	for i := range offers {
		destination := f.CacheState("d")
		destination.TargetID = fmt.Sprint("d", i)
		f.mover.Offer(&policy.Offer{
			Seed: f.seed, Weights: "v", Chain: f.chain, To: testBlocks, SourceLeaving: true, HostRegion: "r", TokenCost: 1e-3,
			Source: f.CacheState("s"), Destination: destination,
		}, nil)
	}
	g.Expect(f.mover.Totals().Started).To(Equal(uint64(slots + queued)))
}
