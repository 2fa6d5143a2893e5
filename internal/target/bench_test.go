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

// cannedTransport answers a request by the end of its path.
type cannedTransport map[string][]byte

func (t cannedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	for end, body := range t {
		if strings.HasSuffix(r.URL.Path, end) {
			return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Request: r,
				Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body))}, nil
		}
	}
	return nil, io.ErrUnexpectedEOF
}

func cannedClient(answers cannedTransport) *HTTPEngineClient {
	return NewWrappedEngineClient(func(http.RoundTripper) http.RoundTripper { return answers })
}

// streamOf returns an engine's answer of the given number of tokens.
func streamOf(requestID string, tokens int) []byte {
	var b bytes.Buffer
	for i := range tokens {
		fmt.Fprintf(&b, "data: {\"id\":%q,\"offset\":%d,\"choices\":[{\"index\":0,\"text\":\"token \",\"finish_reason\":null}]}\n\n", requestID, i)
	}
	b.WriteString("data: [DONE]\n\n")
	return b.Bytes()
}

// BenchmarkStream reads a whole answer from memory by tokens: the slope is the cost of
// one token at the target client.
func BenchmarkStream(b *testing.B) {
	for _, tokens := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			client := cannedClient(cannedTransport{"/completions": streamOf("r", tokens)})
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

// pollAnswers returns the bodies of a load report and of a list of events.
func pollAnswers(events int) (load, list []byte) {
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
	p := NewPollers(PollerOptions{Client: client, Observer: ignoredReports{}})
	to := &config.Target{ID: "t", URL: url}
	before := processorTime(b)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if epoch, _ := p.pollOnce(context.Background(), to, "e", 1); epoch == "" {
			b.Fatal("the poll failed")
		}
	}
	b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
}

func processorTime(b *testing.B) time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		b.Fatal(err)
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// At the design size a target has 27 events in one poll interval.
var polledEvents = []int{0, 27, 270, 2700}

// BenchmarkPoll shows one poll of load and cache events by events, without the network.
// The bytes are those of both answers without headers.
func BenchmarkPoll(b *testing.B) {
	for _, events := range polledEvents {
		b.Run(fmt.Sprintf("events=%d", events), func(b *testing.B) {
			load, list := pollAnswers(events)
			benchmarkPoll(b, cannedClient(cannedTransport{"/load": load, "/events": list}), "http://10.0.0.1")
			b.ReportMetric(float64(len(load)+len(list)), "body-bytes")
		})
	}
}

// BenchmarkPollLoopback is the same over loopback. The processor time is that of both
// ends, with the kernel's part.
func BenchmarkPollLoopback(b *testing.B) {
	for _, events := range polledEvents {
		b.Run(fmt.Sprintf("events=%d", events), func(b *testing.B) {
			load, list := pollAnswers(events)
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

type ignoredReports struct{}

func (ignoredReports) ObserveLoad(string, LoadReport) {}
func (ignoredReports) ObserveCacheEvents(_ string, e CacheEvents) (string, uint64) {
	return e.Epoch, e.Sequence
}
func (ignoredReports) ObserveUnreachable(string, error) { panic("the poll failed") }
