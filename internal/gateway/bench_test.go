package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/sequoiaroad/sequoiaroad/internal/dispatch"
	"github.com/sequoiaroad/sequoiaroad/internal/fleet"
	"github.com/sequoiaroad/sequoiaroad/internal/target"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// fixedCompleter responds with a fixed number of tokens from memory.
type fixedCompleter struct{ tokens int }

func (f fixedCompleter) Complete(_ context.Context, c *dispatch.Completion, sink func(dispatch.Token) error) (dispatch.Result, error) {
	if err := c.AllowDispatch(); err != nil {
		return dispatch.Result{}, err
	}
	for i := range f.tokens {
		t := dispatch.Token{Position: dispatch.StreamPosition{EngineRequestID: "r-1", TargetID: "t", Epoch: "e", Offset: i + 1}, Text: "token "}
		if i == f.tokens-1 {
			t.FinishReason = "length"
		}
		if err := sink(t); err != nil {
			return dispatch.Result{}, err
		}
	}
	return dispatch.Result{TargetID: "t"}, nil
}

// discardWriter is a response writer that discards its input.
type discardWriter struct{ header http.Header }

func (w discardWriter) Header() http.Header         { return w.header }
func (w discardWriter) WriteHeader(int)             {}
func (w discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w discardWriter) Flush()                      {}

func (w discardWriter) SetWriteDeadline(time.Time) error { return nil }

const benchmarkPath = "/v1/completions"

func benchmarkRequest(tokens int) string {
	return fmt.Sprintf(`{"model":"m","prompt":"question","stream":true,"max_tokens":%d}`, tokens)
}

// BenchmarkRelay streams a response from a completer in memory to a writer that discards
// it, for several numbers of tokens: the slope is the cost of one token in the gateway.
func BenchmarkRelay(b *testing.B) {
	for _, tokens := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			var g http.Handler
			newFixture(b, func(f *fixture) {
				f.options.Completer, f.options.Logger = fixedCompleter{tokens}, hclog.NewNullLogger()
				g = New(f.options)
			})
			body := benchmarkRequest(tokens)
			b.ReportAllocs()
			for b.Loop() {
				r := httptest.NewRequest(http.MethodPost, benchmarkPath, strings.NewReader(body))
				r.Header.Set("Authorization", "Bearer "+clubKey)
				g.ServeHTTP(discardWriter{http.Header{}}, r)
			}
		})
	}
}

// streamingEngine responds to each completion with a number of tokens and flushes each
// event.
func streamingEngine(tokens int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request struct {
			ID string `json:"request_id"`
		}
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			return
		}
		event := []byte(nil)
		for i := range tokens {
			finish := "null"
			if i == tokens-1 {
				finish = `"length"`
			}
			event = fmt.Appendf(event[:0], "data: {\"id\":%q,\"offset\":%d,\"choices\":[{\"index\":0,\"text\":\"token \",\"finish_reason\":%s}]}\n\n", request.ID, i, finish)
			_, _ = w.Write(event)
			w.(http.Flusher).Flush()
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
}

// BenchmarkRelayLoopback streams a response from an engine to a caller over loopback, for
// several numbers of tokens. The slope is the cost of one token in the gateway, the target
// client and net/http, and includes the engine and the caller, which run in the same
// process.
func BenchmarkRelayLoopback(b *testing.B) {
	for _, tokens := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			engineServer := httptest.NewServer(streamingEngine(tokens))
			b.Cleanup(engineServer.Close)
			f := newFixture(b, func(f *fixture) {
				f.options.Completer = &testCompleter{target.NewEngineClient(), &config.Target{ID: "e1", URL: engineServer.URL}}
				f.options.Logger = hclog.NewNullLogger()
			})
			body := benchmarkRequest(tokens)
			b.ReportAllocs()
			for b.Loop() {
				request, err := http.NewRequest(http.MethodPost, f.url+benchmarkPath, strings.NewReader(body))
				if err != nil {
					b.Fatal(err)
				}
				request.Header.Set("Authorization", "Bearer "+clubKey)
				response, err := http.DefaultClient.Do(request)
				if err != nil {
					b.Fatal(err)
				}
				events := 0
				for lines := bufio.NewScanner(response.Body); lines.Scan(); {
					if strings.HasPrefix(lines.Text(), "data: ") {
						events++
					}
				}
				_ = response.Body.Close()
				if events != tokens+1 {
					b.Fatalf("%d events, want %d", events, tokens+1)
				}
			}
		})
	}
}

// BenchmarkLocator serves a locator request for several numbers of live hosts.
func BenchmarkLocator(b *testing.B) {
	for _, hosts := range []int{9, 35, 118, 350} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			var g http.Handler
			newFixture(b, func(f *fixture) {
				for i := range hosts {
					f.view.hosts = append(f.view.hosts, fleet.HostStatus{Live: true, Fresh: true, Member: config.Member{
						HostID: fmt.Sprintf("host-%03d", i), Zone: fmt.Sprint("zone-", i%4), CallerAddress: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250)}})
				}
				f.options.Logger = hclog.NewNullLogger()
				g = New(f.options)
			})
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				r := httptest.NewRequest(http.MethodGet, "/v1/addresses?model=m&prefix_hint=p&zone=zone-1", nil)
				r.Header.Set("Authorization", "Bearer "+clubKey)
				w := httptest.NewRecorder()
				g.ServeHTTP(w, r)
				if w.Code != http.StatusOK {
					b.Fatal(w.Body.String())
				}
				size = w.Body.Len()
			}
			b.ReportMetric(float64(size), "body-bytes")
		})
	}
}
