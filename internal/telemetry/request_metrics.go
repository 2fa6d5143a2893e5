package telemetry

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

const (
	// worstAccountWindow is the time after which the latencies by account are reset.
	worstAccountWindow = time.Minute
	// maxTrackedAccounts bounds the memory for the latencies by account.
	maxTrackedAccounts     = 1024
	maxRecordedLatency     = 10 * time.Minute
	worstAccountPercentile = 99.0
)

// RequestMetrics records the five main metrics of the system: prefix hit rate, time to
// first token, wasted recomputation, the latency of the worst-served client account, and
// requests refused within the account's rate. It also counts refusals and retries.
type RequestMetrics struct {
	promptTokens      metric.Int64Counter
	cachedTokens      metric.Int64Counter
	wastedTokens      metric.Int64Counter
	timeToFirstToken  metric.Float64Histogram
	refused           metric.Int64Counter
	refusedWithinRate metric.Int64Counter
	retries           metric.Int64Counter

	worst worstAccountTracker
}

// CompletionSample holds the values that one completion adds to the metrics.
type CompletionSample struct {
	AccountID        string
	PromptTokens     int
	CachedTokens     int
	WastedTokens     int
	TimeToFirstToken time.Duration
}

// NewRequestMetrics defines the instruments on a meter.
func NewRequestMetrics(meter metric.Meter) (*RequestMetrics, error) {
	m := &RequestMetrics{worst: worstAccountTracker{now: time.Now}}
	var errs [8]error
	m.promptTokens, errs[0] = meter.Int64Counter("sequoiaroad.prompt_tokens",
		metric.WithUnit("{token}"), metric.WithDescription("prompt tokens of completed requests"))
	m.cachedTokens, errs[1] = meter.Int64Counter("sequoiaroad.cached_prompt_tokens",
		metric.WithUnit("{token}"), metric.WithDescription("prompt tokens found in an engine's prefix cache"))
	m.wastedTokens, errs[2] = meter.Int64Counter("sequoiaroad.wasted_recompute_tokens",
		metric.WithUnit("{token}"), metric.WithDescription("prompt tokens computed although a usable target had them cached"))
	m.timeToFirstToken, errs[3] = meter.Float64Histogram("sequoiaroad.time_to_first_token",
		metric.WithUnit("s"), metric.WithDescription("time from the accepted request to its first token"),
		metric.WithExplicitBucketBoundaries(.01, .025, .05, .1, .2, .3, .58, 1, 2, 5, 10, 30, 60))
	m.refused, errs[4] = meter.Int64Counter("sequoiaroad.refused_requests",
		metric.WithUnit("{request}"), metric.WithDescription("requests refused, by code and run state"))
	m.refusedWithinRate, errs[5] = meter.Int64Counter("sequoiaroad.refused_within_rate_requests",
		metric.WithUnit("{request}"), metric.WithDescription("requests refused while the client account was within its rate"))
	m.retries, errs[7] = meter.Int64Counter("sequoiaroad.retries",
		metric.WithUnit("{attempt}"), metric.WithDescription("further attempts after a failure, by target and reason"))
	_, errs[6] = meter.Float64ObservableGauge("sequoiaroad.worst_account_time_to_first_token",
		metric.WithUnit("s"), metric.WithDescription("99th percentile over the last minute of the worst-served client account"),
		metric.WithFloat64Callback(m.observeWorstAccount))
	for _, err := range errs {
		if err != nil {
			return nil, errors.Wrap(err, "define metrics")
		}
	}
	return m, nil
}

// RecordCompletion records a completed request.
func (m *RequestMetrics) RecordCompletion(ctx context.Context, c CompletionSample) {
	attributes := metric.WithAttributes(attribute.String("account", c.AccountID))
	m.promptTokens.Add(ctx, int64(c.PromptTokens), attributes)
	m.cachedTokens.Add(ctx, int64(c.CachedTokens), attributes)
	m.wastedTokens.Add(ctx, int64(c.WastedTokens), attributes)
	m.timeToFirstToken.Record(ctx, c.TimeToFirstToken.Seconds(), attributes)
	m.worst.record(c.AccountID, c.TimeToFirstToken)
}

// RecordRefusal records a refused request. execution states whether a target executed
// it, as in refusal.Execution.
func (m *RequestMetrics) RecordRefusal(ctx context.Context, code, execution string) {
	m.refused.Add(ctx, 1, metric.WithAttributes(attribute.String("code", code), attribute.String("run", execution)))
}

// RecordRetry records a further attempt. The reason is a label and must have few values.
func (m *RequestMetrics) RecordRetry(ctx context.Context, targetID, reason string) {
	m.retries.Add(ctx, 1, metric.WithAttributes(attribute.String("target", targetID), attribute.String("reason", reason)))
}

// RecordRefusalWithinRate records a refused request of an account that was within its
// rate.
func (m *RequestMetrics) RecordRefusalWithinRate(ctx context.Context, accountID string) {
	m.refusedWithinRate.Add(ctx, 1, metric.WithAttributes(attribute.String("account", accountID)))
}

func (m *RequestMetrics) observeWorstAccount(_ context.Context, o metric.Float64Observer) error {
	account, latency := m.worst.current()
	if account != "" {
		o.Observe(latency.Seconds(), metric.WithAttributes(attribute.String("account", account)))
	}
	return nil
}

// worstAccountTracker keeps a latency histogram per client account for the current
// window.
type worstAccountTracker struct {
	mu       sync.Mutex
	now      func() time.Time
	started  time.Time
	accounts map[string]*hdrhistogram.Histogram
}

func (w *worstAccountTracker) record(accountID string, latency time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := w.now(); w.accounts == nil || now.Sub(w.started) > worstAccountWindow {
		w.accounts = map[string]*hdrhistogram.Histogram{}
		w.started = now
	}
	h := w.accounts[accountID]
	if h == nil {
		if len(w.accounts) >= maxTrackedAccounts {
			return
		}
		const significantDigits = 2
		h = hdrhistogram.New(1, maxRecordedLatency.Milliseconds(), significantDigits)
		w.accounts[accountID] = h
	}
	_ = h.RecordValue(min(max(latency.Milliseconds(), 1), maxRecordedLatency.Milliseconds()))
}

func (w *worstAccountTracker) current() (string, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	worst, worstLatency := "", int64(0)
	for id, h := range w.accounts {
		if v := h.ValueAtQuantile(worstAccountPercentile); v > worstLatency {
			worst, worstLatency = id, v
		}
	}
	return worst, time.Duration(worstLatency) * time.Millisecond
}
