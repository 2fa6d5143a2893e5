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

// fixture is a copier between two stand-in engines, s and d. It is also the copier's
// CacheTracker, whose state tests set by report.
type fixture struct {
	copier  *Copier
	engines map[string]*engine.Engine
	targets map[string]*config.Target
	seed    prefix.BlockHash
	chain   []prefix.BlockHash
	cancel  context.CancelFunc

	mu           sync.Mutex
	endpoints    map[string]policy.Endpoint
	copiedBlocks int
	// onImport runs before an engine handles an import.
	onImport func()
	// onExported runs after an engine has handled an export.
	onExported func()
}

func (f *fixture) CacheState(id string) policy.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endpoints[id]
}

func (f *fixture) RecordCopy(_ policy.Endpoint, blocks []prefix.BlockHash) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.copiedBlocks += len(blocks)
}

// report updates the cache state from the engines.
func (f *fixture) report() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, e := range f.engines {
		f.endpoints[id] = policy.Endpoint{TargetID: id, Epoch: e.Epoch(), Weights: e.WeightsVersion(), Region: "r"}
	}
}

func newFixture(t *testing.T, options engine.Options) *fixture {
	t.Helper()
	f := &fixture{engines: map[string]*engine.Engine{}, targets: map[string]*config.Target{}, endpoints: map[string]policy.Endpoint{}}
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
	f.copier, err = New(Options{
		Engines: target.NewEngineClient(), Cache: f, Target: func(id string) *config.Target { return f.targets[id] },
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = f.copier.Run(ctx) })
	f.cancel = func() { cancel(); running.Wait() }
	t.Cleanup(f.cancel)
	return f
}

// warm makes the source compute and cache the prompt.
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

// tryCopy starts a copy and waits for its end. Only the first copy, which measures,
// returns no channel to wait on.
func (f *fixture) tryCopy(g Gomega) time.Duration {
	start, before := time.Now(), f.copier.Totals()
	done, _ := f.copier.TryCopy(&policy.Candidate{
		Seed: f.seed, Weights: "v", Chain: f.chain, From: f.copiedBlocks, To: testBlocks, SourceLeaving: true, HostRegion: "r", TokenCost: 1e-3,
		Source: f.CacheState("s"), Destination: f.CacheState("d"),
	}, nil)
	g.Expect(done == nil).To(Equal(before.Started == 0))
	g.Eventually(func() uint64 {
		t := f.copier.Totals()
		return t.Done + t.Failed + t.Changed
	}).WithTimeout(10 * time.Second).Should(Equal(before.Started + 1))
	if done != nil {
		g.Eventually(done).Should(BeClosed())
	}
	return time.Since(start)
}

// Guards against a copy whose blocks the destination can't use, or which is not recorded.
func TestCopyTransfersBlocks(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, engine.Options{KVBytesPerToken: 50})
	f.tryCopy(g)
	g.Expect(f.copiedBlocks).To(Equal(1)) // the first copy only measures
	f.tryCopy(g)
	g.Expect(f.engines["d"].CachedPrefixBlocks(f.chain)).To(Equal(testBlocks))
	g.Expect(f.copiedBlocks).To(Equal(testBlocks))
	totals := f.copier.Totals()
	g.Expect(totals).To(Equal(Totals{Started: 2, Done: 2, CopiedTokens: 6000, Bytes: totals.Bytes}))
	g.Expect(totals.Bytes).To(BeNumerically(">", 6000*50))
}

// Guards against an import of outdated blocks after the source or the destination has
// restarted, whether or not the router has received a report of the restart.
func TestCopyFailsAfterEndpointChange(t *testing.T) {
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
			f.tryCopy(g)
			g.Expect(f.engines["d"].CachedPrefixBlocks(f.chain)).To(BeZero())
			g.Expect(f.copiedBlocks).To(BeZero())
			if name == "unreported crash" {
				g.Expect(f.copier.Totals().Failed).To(Equal(uint64(1)))
				return
			}
			g.Expect(imports).To(BeZero())
			g.Expect(f.copier.Totals().Changed).To(Equal(uint64(1)))
		})
	}
}

// Guards against blocks that are used although the source restarted before the export.
func TestExportFailsAfterSourceRestart(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, engine.Options{})
	f.engines["s"].Crash()
	f.tryCopy(g)
	g.Expect(f.copiedBlocks).To(BeZero())
	g.Expect(f.copier.Totals().Failed).To(Equal(uint64(1)))
}

// Guards against copies that do not end when an engine hangs, a block exceeds the memory
// bound, or the copier is stopped.
func TestCopiesAlwaysEnd(t *testing.T) {
	t.Run("hang", func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(t, engine.Options{})
		hang := make(chan struct{})
		t.Cleanup(func() { close(hang) })
		f.onImport = func() { <-hang }
		g.Expect(f.tryCopy(g)).To(BeNumerically("<", 5*time.Second))
		g.Expect(f.copier.Totals().Failed).To(Equal(uint64(1)))
	})
	t.Run("too large", func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(t, engine.Options{KVBytesPerToken: 10_000})
		f.tryCopy(g)
		g.Expect(f.copier.Totals().Bytes).To(BeNumerically("<=", maxChunkBytes+1))
		f.copier.TryCopy(&policy.Candidate{
			Seed: f.seed, Weights: "v", Chain: f.chain, From: 1, To: testBlocks, SourceLeaving: true, HostRegion: "r",
			TokenCost: 1e-2, Source: f.CacheState("s"), Destination: f.CacheState("d"),
		}, nil)
		g.Expect(f.copier.Totals().Started).To(Equal(uint64(1)), "blocks above the bound must not be copied again")
	})
	t.Run("stop", func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(t, engine.Options{KVBytesPerSecond: 10}) // an export takes 40 min
		f.copier.TryCopy(&policy.Candidate{
			Seed: f.seed, Weights: "v", Chain: f.chain, To: testBlocks, SourceLeaving: true, HostRegion: "r",
			TokenCost: 10, Source: f.CacheState("s"), Destination: f.CacheState("d"),
		}, nil)
		start := time.Now()
		f.cancel()
		g.Expect(time.Since(start)).To(BeNumerically("<", time.Second))
	})
}

// Guards against an unbounded queue: candidates beyond the running and queued copies must
// not start a copy.
func TestCandidatesBeyondQueueAreDeclined(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, engine.Options{})
	hang := make(chan struct{})
	defer close(hang)
	f.onExported = func() { <-hang }
	const candidates = 3 * (maxConcurrent + maxQueued)
	for i := range candidates {
		f.targets[fmt.Sprint("d", i)] = f.targets["d"]
	}
	for i := range candidates {
		destination := f.CacheState("d")
		destination.TargetID = fmt.Sprint("d", i)
		f.copier.TryCopy(&policy.Candidate{
			Seed: f.seed, Weights: "v", Chain: f.chain, To: testBlocks, SourceLeaving: true, HostRegion: "r", TokenCost: 1e-3,
			Source: f.CacheState("s"), Destination: destination,
		}, nil)
	}
	g.Expect(f.copier.Totals().Started).To(Equal(uint64(maxConcurrent + maxQueued)))
}
