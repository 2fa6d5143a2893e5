package host

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/sequoiaroad/sequoiaroad/internal/dispatch"
	"github.com/sequoiaroad/sequoiaroad/internal/refusal"
	"github.com/sequoiaroad/sequoiaroad/internal/telemetry"
)

// observer records the spans and metrics of the host's components.
type observer struct {
	tracer  trace.Tracer
	metrics *telemetry.RequestMetrics
}

func newObserver(t *telemetry.Telemetry) *observer {
	return &observer{tracer: t.Tracer, metrics: t.RequestMetrics}
}

// StartSpan implements dispatch.Observer. A span records the kind of an error and not its
// text, which may quote the caller's request.
func (o *observer) StartSpan(ctx context.Context, step string) (context.Context, func(error)) {
	ctx, span := o.tracer.Start(ctx, step)
	return ctx, func(err error) {
		if err != nil {
			span.SetStatus(codes.Error, dispatch.FailureKind(err))
		}
		span.End()
	}
}

// Routed implements dispatch.Observer.
func (o *observer) Routed(ctx context.Context, choice func() dispatch.Choice) {
	span := trace.SpanFromContext(ctx)
	if !span.IsRecording() {
		return
	}
	c := choice()
	targets := make([]string, len(c.Candidates))
	scores := make([]float64, len(c.Candidates))
	for i, candidate := range c.Candidates {
		targets[i], scores[i] = candidate.Target, candidate.TotalMs
	}
	span.SetAttributes(
		attribute.String("target.id", c.TargetID), attribute.String("route.reason", c.Reason),
		attribute.Int("route.cached_tokens", c.Cached), attribute.Int("route.uncached_tokens", c.Uncached),
		attribute.StringSlice("route.candidates", targets), attribute.Float64Slice("route.predicted_ms", scores),
	)
}

// CompletionDone implements dispatch.Observer.
func (o *observer) CompletionDone(accountID string, m dispatch.CompletionStats) {
	o.metrics.RecordCompletion(context.Background(), telemetry.CompletionSample{
		AccountID: accountID, PromptTokens: m.PromptTokens, CachedTokens: m.CachedTokens,
		WastedTokens: m.WastedTokens, TimeToFirstToken: m.TimeToFirstToken,
	})
}

// Retried implements dispatch.Observer.
func (o *observer) Retried(targetID, reason string) {
	o.metrics.RecordRetry(context.Background(), targetID, reason)
}

// Refused counts a refused request.
func (o *observer) Refused(code refusal.Code, execution refusal.Execution) {
	o.metrics.RecordRefusal(context.Background(), string(code), string(execution))
}

// RefusedWithinRate counts a refused request of an account that may be within its rate.
func (o *observer) RefusedWithinRate(accountID string) {
	o.metrics.RecordRefusalWithinRate(context.Background(), accountID)
}
