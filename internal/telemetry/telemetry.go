// Package telemetry sets up the log, the metrics and the traces of a process.
package telemetry

import (
	"context"
	"io"
	"net/http"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

const instrumentationName = "github.com/sequoiaroad/sequoiaroad"

// maxSeries bounds the series of a metric, since counters keep the series of accounts and
// targets that were deleted. Further label values share one series. The largest planned
// fleet has 830 targets and 520 client accounts.
const maxSeries = 4096

// Options configures telemetry. The zero value logs nothing and exports no traces.
type Options struct {
	LogLevel string
	LogJSON  bool
	// LogOutput receives the log; nil discards it.
	LogOutput io.Writer
	// LogExclude drops lines for which it returns true; nil drops none.
	LogExclude func(level hclog.Level, message string, args ...any) bool
	// TraceExporter is none, stdout or otlp; empty means none.
	TraceExporter string
	OTLPEndpoint  string
	// TraceOutput receives the traces of the stdout exporter.
	TraceOutput io.Writer
	// SpanProcessor receives all spans in addition to the exporter, for example to keep
	// them in memory; nil means none.
	SpanProcessor sdktrace.SpanProcessor
}

// Telemetry holds the logger, the meter and the tracer of a process.
type Telemetry struct {
	Logger         hclog.Logger
	Meter          metric.Meter
	Tracer         trace.Tracer
	RequestMetrics *RequestMetrics

	registry       *prometheus.Registry
	meterProvider  *sdkmetric.MeterProvider
	tracerProvider *sdktrace.TracerProvider
}

// New sets up telemetry. Each call creates its own registry, so that several hosts can run
// in one process.
func New(ctx context.Context, o Options) (*Telemetry, error) {
	if o.LogOutput == nil {
		o.LogOutput = io.Discard
	}
	t := &Telemetry{
		Logger: hclog.New(&hclog.LoggerOptions{
			Name:       "sequoiaroad",
			Level:      hclog.LevelFromString(o.LogLevel),
			Output:     o.LogOutput,
			JSONFormat: o.LogJSON,
			Exclude:    o.LogExclude,
		}),
		registry: prometheus.NewRegistry(),
	}
	// The CPU time and memory of the process show the overhead of a host.
	t.registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reader, err := otelprom.New(otelprom.WithRegisterer(t.registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, errors.Wrap(err, "set up metrics")
	}
	t.meterProvider = sdkmetric.NewMeterProvider(sdkmetric.WithReader(reader), sdkmetric.WithCardinalityLimit(maxSeries))
	t.Meter = t.meterProvider.Meter(instrumentationName)
	if t.RequestMetrics, err = NewRequestMetrics(t.Meter); err != nil {
		return nil, err
	}
	options, err := traceOptions(ctx, o)
	if err != nil {
		return nil, errors.Wrap(err, "set up traces")
	}
	if o.SpanProcessor != nil {
		// The last sampler option takes effect.
		options = append(options, sdktrace.WithSampler(sdktrace.AlwaysSample()), sdktrace.WithSpanProcessor(o.SpanProcessor))
	}
	t.tracerProvider = sdktrace.NewTracerProvider(options...)
	t.Tracer = t.tracerProvider.Tracer(instrumentationName)
	return t, nil
}

func traceOptions(ctx context.Context, o Options) ([]sdktrace.TracerProviderOption, error) {
	switch o.TraceExporter {
	case "stdout":
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(o.TraceOutput))
		return []sdktrace.TracerProviderOption{sdktrace.WithBatcher(exporter)}, err
	case "otlp":
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(o.OTLPEndpoint))
		return []sdktrace.TracerProviderOption{sdktrace.WithBatcher(exporter)}, err
	default:
		return []sdktrace.TracerProviderOption{sdktrace.WithSampler(sdktrace.NeverSample())}, nil
	}
}

// MetricsHandler serves the metrics in the Prometheus text format.
func (t *Telemetry) MetricsHandler() http.Handler {
	return promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{})
}

// Shutdown flushes buffered telemetry and stops the exporters.
func (t *Telemetry) Shutdown(ctx context.Context) error {
	if err := t.tracerProvider.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "stop traces")
	}
	return errors.Wrap(t.meterProvider.Shutdown(ctx), "stop metrics")
}
