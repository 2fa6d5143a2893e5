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

// measureVariable makes the measurement run; it takes about a minute.
const measureVariable = "SEQUOIAROAD_MEASURE"

// Costs of the stand-ins as in the load tool: 40 ms for each block of a prompt.
const (
	measurePrefill = 40 * time.Microsecond
	measureDecode  = time.Millisecond
	hotBlocks      = 12
	measureEngines = 3
)

// fleetOfEngines is a dispatcher with stand-in engines, with or without a mover.
type fleetOfEngines struct {
	d       *dispatch.Dispatcher
	mover   *Copier
	engines map[string]*engine.Engine
	next    int
	mu      sync.Mutex
}

func newFleetOfEngines(t *testing.T, copies bool, options engine.Options) *fleetOfEngines {
	f := &fleetOfEngines{engines: map[string]*engine.Engine{}}
	document := &config.Document{
		Revision: 1,
		Models:   []config.Model{{ID: "m", WeightsVersion: "v"}},
		Accounts: []config.Account{{ID: "a", RateTokensPerSecond: 1 << 40, BurstTokens: 1 << 40}},
	}
	options.Models, options.WeightsVersion = []string{"m"}, "v"
	options.PrefillPerToken, options.DecodePerToken = measurePrefill, measureDecode
	for i := range measureEngines {
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
	if f.d, err = dispatch.New(dispatch.Options{Config: current, Engines: client}); err != nil {
		t.Fatal(err)
	}
	f.mover, err = New(Options{Engines: client, Cache: f.d, Target: index.Target})
	if err != nil {
		t.Fatal(err)
	}
	if copies {
		f.d.SetCopier(f.mover)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	pollers := target.NewPollers(target.PollerOptions{Client: client, Observer: f.d, Index: current, Interval: 50 * time.Millisecond})
	for _, task := range []func(context.Context) error{f.d.Run, f.mover.Run, pollers.Run} {
		running.Go(func() { _ = task(ctx) })
	}
	t.Cleanup(func() { cancel(); running.Wait() })
	time.Sleep(200 * time.Millisecond) // first load reports
	return f
}

// randomText returns bytes that no other prompt has.
func randomText(seed uint64, blocks int) string {
	random := rand.New(rand.NewPCG(seed, 7))
	text := make([]byte, blocks*prefix.BlockBytes)
	for i := range text {
		text[i] = 'a' + byte(random.IntN(26))
	}
	return string(text)
}

func (f *fleetOfEngines) complete(prompt string) (dispatch.Result, error) {
	f.mu.Lock()
	f.next++
	id := fmt.Sprint("r", f.next)
	f.mu.Unlock()
	return f.d.Complete(context.Background(), &dispatch.Completion{
		RequestID: id, AccountID: "a", Model: "m", Prompt: []byte(prompt), MaxOutputTokens: 4,
		Body: map[string]any{"model": "m", "prompt": prompt, "max_tokens": json.Number("4")},
	}, func(dispatch.Token) error { return nil })
}

// outcome sums up one run.
type outcome struct {
	all, second  []time.Duration
	recomputed   int
	failedOffers int
}

func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(len(all)-1, int(q*float64(len(all))))].Round(time.Millisecond)
}

// spill warms a new hot prefix at one target, then sends a burst of questions about it.
func (f *fleetOfEngines) spill(g Gomega, o *outcome, seed uint64, burst int, leaving bool) {
	hot := randomText(seed, hotBlocks)
	var warm dispatch.Result
	var err error
	for range 2 {
		warm, err = f.complete(hot + "?")
		g.Expect(err).NotTo(HaveOccurred())
	}
	if leaving {
		f.d.ObserveLeaving([]string{warm.TargetID})
		defer f.d.ObserveLeaving(nil)
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
				o.failedOffers++
				return
			}
			o.all = append(o.all, r.TimeToFirstToken)
			if r.TargetID != warm.TargetID {
				o.second = append(o.second, r.TimeToFirstToken)
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	group.Wait()
}

// TestMeasureCopies prints the effect of copies on a hot prefix that spills and on a
// target that leaves. It guards against copies that are switched on without a benefit:
// it fails if they recompute more.
func TestMeasureCopies(t *testing.T) {
	if os.Getenv(measureVariable) == "" {
		t.Skipf("set %s=1 to measure", measureVariable)
	}
	g := NewWithT(t)
	t.Logf("%-8s %-22s %-6s %5s %9s %9s %9s %9s %11s %7s %6s %9s", "case", "KV", "copies", "2nd", "2nd p50", "2nd p99", "all p50", "all p99",
		"recomputed", "copies", "failed", "MB")
	for _, kv := range []struct {
		name    string
		options engine.Options
	}{
		{"4 B/token", engine.Options{}},
		{"200 B/token", engine.Options{KVBytesPerToken: 200}},
		{"1000 B/token, 100 MB/s", engine.Options{KVBytesPerToken: 1000, KVBytesPerSecond: 100e6}},
		{"8000 B/token", engine.Options{KVBytesPerToken: 8000}}, // above the bound of a block
	} {
		for _, c := range []struct {
			name    string
			burst   int
			leaving bool
		}{{"spill", 150, false}, {"leaving", 20, true}} {
			recomputed := map[bool]int{}
			for _, copies := range []bool{false, true} {
				f := newFleetOfEngines(t, copies, kv.options)
				var o outcome
				for phase := range uint64(4) {
					f.spill(g, &o, phase+1, c.burst, c.leaving)
				}
				g.Expect(o.failedOffers).To(BeZero())
				for _, e := range f.engines {
					o.recomputed += e.Counters().ComputedTokens
				}
				// Each hot prefix and each question has to be computed once.
				o.recomputed -= 4 * (hotBlocks*1000 + c.burst*500)
				recomputed[copies] = o.recomputed
				m := f.mover.Totals()
				t.Logf("%-8s %-22s %-6t %5d %9s %9s %9s %9s %11d %7d %6d %9.1f", c.name, kv.name, copies, len(o.second),
					quantile(o.second, .5), quantile(o.second, .99), quantile(o.all, .5), quantile(o.all, .99),
					o.recomputed, m.Done, m.Failed+m.Changed, float64(m.Bytes)/1e6)
			}
			g.Expect(recomputed[true]).To(BeNumerically("<=", recomputed[false]*11/10+hotBlocks*1000))
		}
	}
}
