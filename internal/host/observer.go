package host

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/sequoiaroad/sequoiaroad/internal/dispatch"
	"github.com/sequoiaroad/sequoiaroad/internal/telemetry"
)

// observer records the dispatcher's spans and measures.
type observer struct {
	tracer   trace.Tracer
	measures *telemetry.Measures
}

func newObserver(t *telemetry.Telemetry) *observer {
	return &observer{tracer: t.Tracer, measures: t.Measures}
}

// StartSpan implements dispatch.Observer.
func (o *observer) StartSpan(ctx context.Context, step string) (context.Context, func(error)) {
	ctx, span := o.tracer.Start(ctx, step)
	return ctx, func(err error) {
		if err != nil {
			span.SetStatus(codes.Error, err.Error())
		}
		span.End()
	}
}

// CompletionDone implements dispatch.Observer.
func (o *observer) CompletionDone(accountID string, m dispatch.Measures) {
	o.measures.Completion(context.Background(), telemetry.CompletionMeasure{
		AccountID: accountID, PromptTokens: m.PromptTokens, CachedTokens: m.CachedTokens,
		WastedTokens: m.WastedTokens, TimeToFirstToken: m.TimeToFirstToken,
	})
}

// copyEnded records the end of a copy of a KV cache.
func (o *observer) copyEnded(result string, tokens, bytes int) {
	o.measures.KVCopy(context.Background(), result, tokens, bytes)
}

// Retried implements dispatch.Observer.
func (o *observer) Retried(targetID, reason string) {
	o.measures.Retried(context.Background(), attribute.String("target", targetID), attribute.String("reason", reason))
}
