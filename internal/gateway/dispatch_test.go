package gateway

import (
	"context"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sequoiaroad/sequoiaroad/internal/dispatch"
	"github.com/sequoiaroad/sequoiaroad/internal/target"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/standin/engine"
)

// newDispatchFixture returns a gateway with a dispatcher and a number of engines.
func newDispatchFixture(t *testing.T, count int) (*fixture, []*engine.Engine) {
	var engines []*engine.Engine
	f := newFixture(t, func(f *fixture) {
		document := f.view.index.Document().Clone()
		for i := range count {
			e := engine.New(engine.Options{WeightsVersion: "v1", Models: []string{"m"}, DecodePerToken: 2 * time.Millisecond})
			server := httptest.NewServer(e)
			t.Cleanup(server.Close)
			engines = append(engines, e)
			document.Targets = append(document.Targets, config.Target{
				ID: "e" + strconv.Itoa(i), Kind: config.TargetEngine, URL: server.URL, Models: []string{"m"},
			})
		}
		f.view.index = config.NewIndex(document)
		client := target.NewEngineClient()
		d, err := dispatch.New(dispatch.Options{Config: f.view.Index, Engines: client, StallTimeout: 200 * time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		pollers := target.NewPollers(target.PollerOptions{Client: client, Observer: d, Index: f.view.Index, Interval: 20 * time.Millisecond})
		ctx, stop := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { _ = d.Run(ctx) })
		running.Go(func() { _ = pollers.Run(ctx) })
		t.Cleanup(func() { stop(); running.Wait() })
		f.options.Completer, f.options.Services = d, d
	})
	return f, engines
}

// Guards against engine failures that reach the caller: a crash or a dropped or stalled
// connection in the middle of a stream must not change the response.
func TestEngineFailuresDoNotChangeResponse(t *testing.T) {
	g := NewWithT(t)
	f, engines := newDispatchFixture(t, 3)
	want := engine.CompletionText([]byte("hello"), 20, "v1")
	body := `{"model":"m","prompt":"hello","max_tokens":20,"stream":true}`
	for _, faults := range []engine.Faults{{}, {CrashAfterTokens: 7}, {DropAfterTokens: 6}, {StallAfterTokens: 15}} {
		engines[0].SetFaults(faults)
		engines[1].SetFaults(faults)
		for range 3 {
			r := f.do("POST", "/v1/completions", clubKey, body)
			events := parseEvents(r.body)
			g.Expect(eventText(events)).To(Equal(want), "%+v: %s", faults, r.body)
			g.Expect(events[len(events)-1].data).To(Equal("[DONE]"))
			for i, e := range events[:len(events)-1] {
				g.Expect(e.id).To(HaveSuffix(":" + strconv.Itoa(i+1)))
			}
			unstreamed := f.do("POST", "/v1/completions", clubKey, strings.Replace(body, "true", "false", 1))
			g.Expect(unstreamed.body).To(ContainSubstring(want), "%+v", faults)
		}
	}
	g.Expect(f.limiter.unsettled).To(BeZero())
}

// Guards against requests that are refused although an engine is idle: two of three
// engines refuse all requests and therefore report no load.
func TestRefusingEnginesAreSkipped(t *testing.T) {
	g := NewWithT(t)
	f, engines := newDispatchFixture(t, 3)
	engines[0].SetFaults(engine.Faults{RefuseNotRun: true})
	engines[1].SetFaults(engine.Faults{RefuseNotRun: true})
	for i := range 30 {
		r := f.do("POST", "/v1/completions", clubKey, `{"model":"m","prompt":"hello","max_tokens":2}`)
		g.Expect(r.status).To(Equal(200), "request %d: %s", i, r.body)
	}
}

// Guards against a stream that a caller can't resume after its connection was lost.
func TestResumeThroughDispatcher(t *testing.T) {
	g := NewWithT(t)
	f, _ := newDispatchFixture(t, 2)
	body := `{"model":"m","prompt":"hello","max_tokens":20,"stream":true}`
	events := parseEvents(f.do("POST", "/v1/completions", clubKey, body).body)
	resumed := f.do("POST", "/v1/completions", clubKey, body, lastEventIDHeader, events[4].id)
	g.Expect(eventText(events[:5]) + eventText(parseEvents(resumed.body))).To(Equal(engine.CompletionText([]byte("hello"), 20, "v1")))
	g.Expect(resumed.body).To(HaveSuffix("data: [DONE]\n\n"))
	afterLast := f.do("POST", "/v1/completions", clubKey, body, lastEventIDHeader, events[19].id)
	g.Expect(afterLast.body).To(Equal("data: [DONE]\n\n"))
}
