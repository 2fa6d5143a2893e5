package kvcopy

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sequoiaroad/sequoiaroad/internal/dispatch"
	"github.com/sequoiaroad/sequoiaroad/internal/target"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
	"github.com/sequoiaroad/sequoiaroad/standin/engine"
)

// measureEnv is the environment variable that enables the measurement, which takes about
// a minute.
const measureEnv = "SEQUOIAROAD_MEASURE"

// The costs of the stand-in engines are those of the load tool: 40 ms for each block of a
// prompt.
const (
	prefillPerToken = 40 * time.Microsecond
	decodePerToken  = time.Millisecond
	hotBlocks       = 12
	engineCount     = 3
)

// measureFixture is a dispatcher with stand-in engines, with or without KV copies.
type measureFixture struct {
	dispatcher  *dispatch.Dispatcher
	copier      *Copier
	engines     map[string]*engine.Engine
	lastRequest int
	mu          sync.Mutex
}

func newMeasureFixture(t *testing.T, copies bool, options engine.Options) *measureFixture {
	f := &measureFixture{engines: map[string]*engine.Engine{}}
	document := &config.Document{
		Revision: 1,
		Models:   []config.Model{{ID: "m", WeightsVersion: "v"}},
		Accounts: []config.Account{{ID: "a", RateTokensPerSecond: 1 << 40, BurstTokens: 1 << 40}},
	}
	options.Models, options.WeightsVersion = []string{"m"}, "v"
	options.PrefillPerToken, options.DecodePerToken = prefillPerToken, decodePerToken
	for i := range engineCount {
		options.ID = fmt.Sprint("t", i)
		e := engine.New(options)
		server := httptest.NewServer(e)
		t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
		f.engines[options.ID] = e
		document.Targets = append(document.Targets, config.Target{
			ID: options.ID, Kind: config.TargetEngine, URL: server.URL, Models: []string{"m"},
		})
	}
	index := config.NewIndex(document)
	current := func() *config.Index { return index }
	client := target.NewEngineClient()
	var err error
	if f.dispatcher, err = dispatch.New(dispatch.Options{Config: current, Engines: client}); err != nil {
		t.Fatal(err)
	}
	f.copier, err = New(Options{Engines: client, Cache: f.dispatcher, Target: index.Target})
	if err != nil {
		t.Fatal(err)
	}
	if copies {
		f.dispatcher.SetCopier(f.copier)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	pollers := target.NewPollers(target.PollerOptions{Client: client, Observer: f.dispatcher, Index: current, Interval: 50 * time.Millisecond})
	for _, task := range []func(context.Context) error{f.dispatcher.Run, f.copier.Run, pollers.Run} {
		running.Go(func() { _ = task(ctx) })
	}
	t.Cleanup(func() { cancel(); running.Wait() })
	time.Sleep(200 * time.Millisecond) // for the first load reports
	return f
}

// randomText returns pseudo-random text of a number of blocks. Texts of different seeds
// share no block.
func randomText(seed uint64, blocks int) string {
	random := rand.New(rand.NewPCG(seed, 7))
	text := make([]byte, blocks*prefix.BlockBytes)
	for i := range text {
		text[i] = 'a' + byte(random.IntN(26))
	}
	return string(text)
}

func (f *measureFixture) complete(prompt string) (dispatch.Result, error) {
	f.mu.Lock()
	f.lastRequest++
	id := fmt.Sprint("r", f.lastRequest)
	f.mu.Unlock()
	return f.dispatcher.Complete(context.Background(), &dispatch.Completion{
		RequestID: id, AccountID: "a", Model: "m", Prompt: []byte(prompt), MaxOutputTokens: 4,
		Body: map[string]any{"model": "m", "prompt": prompt, "max_tokens": json.Number("4")},
	}, func(dispatch.Token) error { return nil })
}

// measurement is the result of one run. all and atOtherTargets hold times to first token,
// of all requests and of those that were not sent to the target with the warm prefix.
type measurement struct {
	all, atOtherTargets []time.Duration
	recomputedTokens    int
	failedRequests      int
}

func quantile(samples []time.Duration, q float64) time.Duration {
	if len(samples) == 0 {
		return 0
	}
	slices.Sort(samples)
	return samples[min(len(samples)-1, int(q*float64(len(samples))))].Round(time.Millisecond)
}

// sendBurst warms a new prefix at one target, then sends a burst of requests with this
// prefix. If leaving is set, the target is leaving during the burst.
func (f *measureFixture) sendBurst(g Gomega, m *measurement, seed uint64, burst int, leaving bool) {
	hot := randomText(seed, hotBlocks)
	var warm dispatch.Result
	var err error
	for range 2 {
		warm, err = f.complete(hot + "?")
		g.Expect(err).NotTo(HaveOccurred())
	}
	if leaving {
		f.dispatcher.ObserveLeaving([]string{warm.TargetID})
		defer f.dispatcher.ObserveLeaving(nil)
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	for i := range burst {
		group.Go(func() {
			question := randomText(seed*1000+uint64(i)+1, 1)
			r, err := f.complete(hot + question[:2000])
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				m.failedRequests++
				return
			}
			m.all = append(m.all, r.TimeToFirstToken)
			if r.TargetID != warm.TargetID {
				m.atOtherTargets = append(m.atOtherTargets, r.TimeToFirstToken)
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	group.Wait()
}

// TestMeasureCopies logs the effect of copies when the requests for a hot prefix spill to
// other targets, and when the target with the prefix leaves. It guards against copies
// without a benefit: it fails if more tokens are recomputed with copies than without.
func TestMeasureCopies(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Skipf("set %s=1 to measure", measureEnv)
	}
	g := NewWithT(t)
	t.Logf("%-8s %-22s %-6s %5s %9s %9s %9s %9s %11s %7s %6s %9s", "case", "KV", "copies", "other", "other p50", "other p99", "all p50", "all p99",
		"recomputed", "copies", "failed", "MB")
	for _, kv := range []struct {
		name    string
		options engine.Options
	}{
		{"4 B/token", engine.Options{}},
		{"200 B/token", engine.Options{KVBytesPerToken: 200}},
		{"1000 B/token, 100 MB/s", engine.Options{KVBytesPerToken: 1000, KVBytesPerSecond: 100e6}},
		{"8000 B/token", engine.Options{KVBytesPerToken: 8000}}, // blocks above maxChunkBytes
	} {
		for _, c := range []struct {
			name    string
			burst   int
			leaving bool
		}{{"spill", 150, false}, {"leaving", 20, true}} {
			recomputed := map[bool]int{}
			for _, copies := range []bool{false, true} {
				f := newMeasureFixture(t, copies, kv.options)
				var m measurement
				for phase := range uint64(4) {
					f.sendBurst(g, &m, phase+1, c.burst, c.leaving)
				}
				g.Expect(m.failedRequests).To(BeZero())
				for _, e := range f.engines {
					m.recomputedTokens += e.Counters().ComputedTokens
				}
				// Each prefix and each question has to be computed once.
				m.recomputedTokens -= 4 * (hotBlocks*1000 + c.burst*500)
				recomputed[copies] = m.recomputedTokens
				totals := f.copier.Totals()
				t.Logf("%-8s %-22s %-6t %5d %9s %9s %9s %9s %11d %7d %6d %9.1f", c.name, kv.name, copies, len(m.atOtherTargets),
					quantile(m.atOtherTargets, .5), quantile(m.atOtherTargets, .99), quantile(m.all, .5), quantile(m.all, .99),
					m.recomputedTokens, totals.Done, totals.Failed+totals.Changed, float64(totals.Bytes)/1e6)
			}
			g.Expect(recomputed[true]).To(BeNumerically("<=", recomputed[false]*11/10+hotBlocks*1000))
		}
	}
}
