package target

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
)

// cannedTransport maps the suffix of a request's path to the body of its response.
type cannedTransport map[string][]byte

func (t cannedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	for suffix, body := range t {
		if strings.HasSuffix(r.URL.Path, suffix) {
			return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Request: r,
				Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body))}, nil
		}
	}
	return nil, io.ErrUnexpectedEOF
}

func newCannedClient(bodies cannedTransport) *HTTPEngineClient {
	return NewWrappedEngineClient(func(http.RoundTripper) http.RoundTripper { return bodies })
}

// encodeStream returns an engine's response stream with the given number of tokens.
func encodeStream(requestID string, tokens int) []byte {
	var b bytes.Buffer
	for i := range tokens {
		fmt.Fprintf(&b, "data: {\"id\":%q,\"offset\":%d,\"choices\":[{\"index\":0,\"text\":\"token \",\"finish_reason\":null}]}\n\n", requestID, i)
	}
	b.WriteString("data: [DONE]\n\n")
	return b.Bytes()
}

// BenchmarkStream reads a whole response from memory. The slope over the number of
// tokens is the cost of one token in the engine client.
func BenchmarkStream(b *testing.B) {
	for _, tokens := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			client := newCannedClient(cannedTransport{"/completions": encodeStream("r", tokens)})
			to := &config.Target{ID: "t", URL: "http://10.0.0.1"}
			b.ReportAllocs()
			for b.Loop() {
				s, err := client.Complete(context.Background(), to, &CompletionRequest{RequestID: "r", Body: map[string]any{}})
				if err != nil {
					b.Fatal(err)
				}
				for {
					e, err := s.Next()
					if err != nil {
						b.Fatal(err)
					}
					if e.Done {
						break
					}
				}
				s.Close()
			}
		})
	}
}

// encodePollResponses returns the bodies of a load report and of a list of cache
// events.
func encodePollResponses(events int) (load, list []byte) {
	load = []byte(`{"epoch":"0197a1b2-c3d4","running":12,"waiting":3,"pending_prefill_tokens":45000,"draining":false,"weights_version":"2026-11-30","measured_at_ms":1796000000000}`)
	list = []byte(`{"epoch":"0197a1b2-c3d4","reset":false,"sequence":123456,"events":[`)
	for i := range events {
		if i > 0 {
			list = append(list, ',')
		}
		hash := prefix.BlockHash{byte(i), byte(i >> 8)}
		list = fmt.Appendf(list, `{"sequence":%d,"hash":%q,"stored":%t}`, 123456+i, hash.String(), i%2 == 0)
	}
	return load, append(list, "]}"...)
}

func benchmarkPoll(b *testing.B, client *HTTPEngineClient, url string) {
	p := NewPollers(PollerOptions{Client: client, Observer: discardObserver{}})
	to := &config.Target{ID: "t", URL: url}
	cpuBefore := cpuTime(b)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if epoch, _ := p.pollOnce(context.Background(), to, "e", 1); epoch == "" {
			b.Fatal("the poll failed")
		}
	}
	b.ReportMetric(float64(cpuTime(b)-cpuBefore)/float64(b.N), "cpu-ns/op")
}

func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// At the design size, a target has 27 events per poll interval.
var pollEventCounts = []int{0, 27, 270, 2700}

// BenchmarkPoll measures one poll of load and cache events by number of events, without
// the network. body-bytes is the size of both responses without headers.
func BenchmarkPoll(b *testing.B) {
	for _, events := range pollEventCounts {
		b.Run(fmt.Sprintf("events=%d", events), func(b *testing.B) {
			load, list := encodePollResponses(events)
			benchmarkPoll(b, newCannedClient(cannedTransport{"/load": load, "/events": list}), "http://10.0.0.1")
			b.ReportMetric(float64(len(load)+len(list)), "body-bytes")
		})
	}
}

// BenchmarkPollLoopback is BenchmarkPoll over loopback. The CPU time is that of both
// ends, including the kernel.
func BenchmarkPollLoopback(b *testing.B) {
	for _, events := range pollEventCounts {
		b.Run(fmt.Sprintf("events=%d", events), func(b *testing.B) {
			load, list := encodePollResponses(events)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if strings.HasSuffix(r.URL.Path, "/load") {
					_, _ = w.Write(load)
					return
				}
				_, _ = w.Write(list)
			}))
			b.Cleanup(server.Close)
			benchmarkPoll(b, NewEngineClient(), server.URL)
		})
	}
}

type discardObserver struct{}

func (discardObserver) ObserveLoad(string, LoadReport) {}
func (discardObserver) ObserveCacheEvents(_ string, e CacheEvents) (string, uint64) {
	return e.Epoch, e.Sequence
}
func (discardObserver) ObserveUnreachable(string, error) { panic("the poll failed") }
