package telemetry

import (
	"bytes"
	"context"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a metric that is not exported or lacks its unit.
func TestRequestMetricsAreExported(t *testing.T) {
	g := NewWithT(t)
	var log bytes.Buffer
	tel, err := New(context.Background(), Options{LogLevel: "info", LogOutput: &log})
	g.Expect(err).NotTo(HaveOccurred())
	ctx := context.Background()
	tel.RequestMetrics.RecordCompletion(ctx, CompletionSample{AccountID: "club", PromptTokens: 10, CachedTokens: 4, WastedTokens: 1, TimeToFirstToken: 80 * time.Millisecond})
	tel.RequestMetrics.RecordCompletion(ctx, CompletionSample{AccountID: "school", TimeToFirstToken: 900 * time.Millisecond})
	tel.RequestMetrics.RecordRefusalWithinRate(ctx, "club")
	tel.RequestMetrics.RecordRefusal(ctx, "rate_limited", "not_run")

	recorder := httptest.NewRecorder()
	tel.MetricsHandler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	body := recorder.Body.String()
	for _, name := range []string{
		"sequoiaroad_prompt_tokens_total", "sequoiaroad_cached_prompt_tokens_total",
		"sequoiaroad_wasted_recompute_tokens_total", "sequoiaroad_time_to_first_token_seconds_bucket",
		`sequoiaroad_worst_account_time_to_first_token_seconds{account="school"}`,
		"sequoiaroad_refused_within_rate_requests_total", "sequoiaroad_refused_requests_total",
	} {
		g.Expect(body).To(ContainSubstring(name))
	}
	g.Expect(tel.Shutdown(ctx)).To(Succeed())
}
