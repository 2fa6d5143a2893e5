package forward

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/sequoiaroad/sequoiaroad/policy/quarantine"
)

// latencyBounds are the histogram bounds in seconds around the latency objectives.
var latencyBounds = []float64{0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2, 3, 6}

// stalenessBounds are the histogram bounds in seconds around the maximum staleness of
// weights.
var stalenessBounds = []float64{0, 0.5, 1.5, 3, 4.5, 6, 7, 8, 9, 12}

// metrics holds the instruments for forwarded requests.
type metrics struct {
	responses  metric.Int64Counter
	refusals   metric.Int64Counter
	duration   metric.Float64Histogram
	firstEvent metric.Float64Histogram
	// outdatedWeights counts prompts that were sent to targets, by the time since newer
	// weights were published; zero for the newest.
	outdatedWeights metric.Float64Histogram
	// quarantined counts requests that were rejected for parts in quarantine, crashChecks
	// the checks whether a target crashed as its responses ended, by outcome.
	quarantined metric.Int64Counter
	crashChecks metric.Int64Counter
	ctx         context.Context
}

func newMetrics(meter metric.Meter) (*metrics, error) {
	m := &metrics{ctx: context.Background()}
	var err error
	if m.responses, err = meter.Int64Counter("sequoiaroad_forward_answers", metric.WithDescription("Answers of targets that were relayed.")); err != nil {
		return nil, errors.Wrap(err, "create metric")
	}
	if m.refusals, err = meter.Int64Counter("sequoiaroad_forward_refusals", metric.WithDescription("Requests that ended with a failure of the host's own.")); err != nil {
		return nil, errors.Wrap(err, "create metric")
	}
	if m.quarantined, err = meter.Int64Counter("sequoiaroad_forward_quarantined", metric.WithDescription("Requests that were rejected because their parts are in quarantine.")); err != nil {
		return nil, errors.Wrap(err, "create metric")
	}
	if m.crashChecks, err = meter.Int64Counter("sequoiaroad_forward_crash_checks", metric.WithDescription("Checks whether a target crashed as its responses ended, by outcome.")); err != nil {
		return nil, errors.Wrap(err, "create metric")
	}
	bounds := metric.WithExplicitBucketBoundaries(latencyBounds...)
	if m.duration, err = meter.Float64Histogram("sequoiaroad_forward_duration_seconds", metric.WithUnit("s"), bounds); err != nil {
		return nil, errors.Wrap(err, "create metric")
	}
	if m.firstEvent, err = meter.Float64Histogram("sequoiaroad_forward_first_event_seconds", metric.WithUnit("s"), bounds); err != nil {
		return nil, errors.Wrap(err, "create metric")
	}
	m.outdatedWeights, err = meter.Float64Histogram("sequoiaroad_forward_outdated_weights_seconds", metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(stalenessBounds...))
	return m, errors.Wrap(err, "create metric")
}

func (c *call) kindAttribute() attribute.KeyValue {
	if c.route == nil {
		return attribute.String("kind", "none")
	}
	return attribute.String("kind", c.route.Kind.String())
}

func (m *metrics) recordRefusal(c *call, f *failure) {
	m.refusals.Add(m.ctx, 1, metric.WithAttributes(c.kindAttribute(), attribute.String("status", strconv.Itoa(f.status))))
}

func (m *metrics) recordResponse(c *call, status int, took time.Duration) {
	kind := c.kindAttribute()
	m.responses.Add(m.ctx, 1, metric.WithAttributes(kind, attribute.String("status", strconv.Itoa(status))))
	m.duration.Record(m.ctx, took.Seconds(), metric.WithAttributes(kind))
}

func (m *metrics) recordFirstEvent(c *call, took time.Duration) {
	m.firstEvent.Record(m.ctx, took.Seconds(), metric.WithAttributes(c.kindAttribute()))
}

func (m *metrics) recordOutdatedWeights(c *call, outdatedFor time.Duration) {
	m.outdatedWeights.Record(m.ctx, outdatedFor.Seconds(), metric.WithAttributes(c.kindAttribute()))
}

func (m *metrics) recordQuarantined() { m.quarantined.Add(m.ctx, 1) }

func (m *metrics) recordCrashCheck(v quarantine.Verdict) {
	m.crashChecks.Add(m.ctx, 1, metric.WithAttributes(attribute.String("outcome", v.String())))
}
