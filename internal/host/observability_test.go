package host_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/sequoiaroad/sequoiaroad/internal/dev"
	"github.com/sequoiaroad/sequoiaroad/internal/telemetry"
)

// lockedBuffer is a buffer that several goroutines may write to.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// observedSystem is a dev system that records its spans, log and metrics.
type observedSystem struct {
	*dev.System
	telemetry *telemetry.Telemetry
	spans     *tracetest.InMemoryExporter
	log       *lockedBuffer
}

func startObservedSystem(t *testing.T) *observedSystem {
	t.Helper()
	g := NewWithT(t)
	o := &observedSystem{spans: tracetest.NewInMemoryExporter(), log: &lockedBuffer{}}
	ctx, cancel := context.WithCancel(context.Background())
	var err error
	o.telemetry, err = telemetry.New(ctx, telemetry.Options{
		LogLevel: "trace", LogOutput: o.log, SpanProcessor: sdktrace.NewSimpleSpanProcessor(o.spans),
	})
	g.Expect(err).NotTo(HaveOccurred())
	o.System, err = dev.New(ctx, dev.Options{Listen: "127.0.0.1:0", TokenDelay: time.Millisecond, Telemetry: o.telemetry})
	g.Expect(err).NotTo(HaveOccurred())
	ready, ended := make(chan struct{}), make(chan error, 1)
	go func() { ended <- o.Run(ctx, func() { close(ready) }) }()
	t.Cleanup(func() {
		cancel()
		g.Expect(<-ended).To(Succeed())
	})
	g.Eventually(ready, "15s").Should(BeClosed())
	return o
}

func (o *observedSystem) call(g *WithT, address, key, method, path, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(text)
}

func (o *observedSystem) complete(g *WithT, prompt string) {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":3,"stream":true}`, dev.Model, prompt)
	status, text := o.call(g, o.Info.Address, o.Info.ClientKey, "POST", "/v1/completions", body)
	g.Expect(status).To(Equal(http.StatusOK), text)
	g.Expect(text).To(ContainSubstring("[DONE]"))
}

func (o *observedSystem) metrics() string {
	recorder := httptest.NewRecorder()
	o.telemetry.MetricsHandler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	return recorder.Body.String()
}

// Guards against a step of a completion that has no span or belongs to another trace, and
// against a route span without the chosen target, the candidates or the reason.
func TestCompletionIsOneTrace(t *testing.T) {
	g := NewWithT(t)
	o := startObservedSystem(t)
	o.complete(g, "what does the third lamp mean")
	names := map[string]tracetest.SpanStub{}
	g.Eventually(func() []string {
		var spanNames []string
		for _, span := range o.spans.GetSpans() {
			names[span.Name] = span
			spanNames = append(spanNames, span.Name)
		}
		return spanNames
	}, "5s").Should(ConsistOf("request", "admission", "limit", "completion", "route", "queue", "target", "stream"))
	for name, span := range names {
		g.Expect(span.SpanContext.TraceID()).To(Equal(names["request"].SpanContext.TraceID()), name)
		g.Expect(span.EndTime).NotTo(BeTemporally("<", span.StartTime), name)
	}
	attributes := map[string]any{}
	for _, a := range names["route"].Attributes {
		attributes[string(a.Key)] = a.Value.AsInterface()
	}
	g.Expect(attributes["route.candidates"]).To(ConsistOf("engine-a", "engine-b"))
	g.Expect(attributes["route.predicted_ms"]).To(HaveLen(2))
	g.Expect([]any{"engine-a", "engine-b"}).To(ContainElement(attributes["target.id"]))
	g.Expect(attributes).To(HaveKey("route.reason"))
}

// Guards against an API key in a span, a log line or a metric, wherever in the request the
// caller placed it.
func TestNoKeyIsExported(t *testing.T) {
	g := NewWithT(t)
	o := startObservedSystem(t)
	client, operator, unknown := o.Info.ClientKey, o.Info.OperatorKey, "sr-client-unknown-0123456789"
	o.complete(g, "my key is "+client)
	o.call(g, o.Info.Address, unknown, "POST", "/v1/completions", "{}")
	o.call(g, o.Info.Address, operator, "POST", "/v1/completions", "{}")
	o.call(g, o.Info.Address, client, "POST", "/v1/completions", fmt.Sprintf(`{"model":%q,"prompt":"x"}`, client))
	o.call(g, o.Info.Address, client, "GET", "/services/booking/runs?key="+client, "")
	o.call(g, o.Info.Address, client, "GET", "/services/booking/"+client, "")
	o.call(g, o.Info.Address, client, "GET", "/services/"+client+"/runs", "")
	o.call(g, o.Info.AdminAddress, client, "GET", "/admin/v1/keys", "")
	_, issued := o.call(g, o.Info.AdminAddress, operator, "POST", "/admin/v1/keys", `{"account_id":"dev"}`)
	newKey := regexp.MustCompile(`sr-client-[\w-]+`).FindString(issued)
	g.Expect(newKey).NotTo(BeEmpty())

	g.Expect(o.spans.GetSpans()).NotTo(BeEmpty())
	everything := o.log.String() + o.metrics() + fmt.Sprintf("%+v", o.spans.GetSpans())
	for _, key := range []string{client, operator, unknown, newKey} {
		g.Expect(strings.Contains(everything, key)).To(BeFalse(), "a key is in the log, the metrics or the spans")
	}
}

// Guards against refusals that are not counted: one by the gateway, and one of a newly
// created account. The account's home is not allowed to spend tokens yet, so the refusal
// counts as one within the account's rate.
func TestRefusalsAreCounted(t *testing.T) {
	g := NewWithT(t)
	o := startObservedSystem(t)
	o.call(g, o.Info.Address, "unknown", "POST", "/v1/completions", "{}")
	accounts := 0
	g.Eventually(func() string { // retries if an attempt took over a second: the home may spend tokens by then
		accounts++
		path := fmt.Sprint("/admin/v1/accounts/new", accounts)
		status, text := o.call(g, o.Info.AdminAddress, o.Info.OperatorKey, "PUT", path, `{"rate_tokens_per_second":1,"burst_tokens":1000}`)
		g.Expect(status).To(Equal(http.StatusOK), text)
		_, issued := o.call(g, o.Info.AdminAddress, o.Info.OperatorKey, "POST", "/admin/v1/keys", fmt.Sprintf(`{"account_id":"new%d"}`, accounts))
		key := regexp.MustCompile(`sr-client-[\w-]+`).FindString(issued)
		status, text = o.call(g, o.Info.Address, key, "POST", "/v1/completions", fmt.Sprintf(`{"model":%q,"prompt":"x","max_tokens":500}`, dev.Model))
		g.Expect(status).To(Equal(http.StatusTooManyRequests), text)
		return o.metrics()
	}, "20s").Should(MatchRegexp(`sequoiaroad_refused_within_rate_requests_total\{account="new\d"\} 1`))
	for _, line := range []string{
		`sequoiaroad_refused_requests_total{code="unauthorized",run="not_run"} 1`,
		`sequoiaroad_refused_requests_total{code="rate_limited",run="not_run"} `,
		`sequoiaroad_account_refused_total{account="new1"} 1`,
	} {
		g.Expect(o.metrics()).To(ContainSubstring(line))
	}
}
