package telemetry

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Trace exporters.
const (
	ExporterOff    = "off"
	ExporterOTLP   = "otlp"
	ExporterStdout = "stdout"
)

// TraceConfig configures tracing.
type TraceConfig struct {
	// Exporter is off, otlp or stdout; empty means off.
	Exporter string
	// EndpointURL is the http or https URL of the OTLP receiver.
	EndpointURL string
	// SamplePermille is the sampled share of the traces that start at this daemon, in thousandths. A trace that starts
	// elsewhere is sampled if its caller sampled it.
	SamplePermille int
	// VM and Zone identify the daemon in every span.
	VM, Zone string
	// Output receives the spans of the stdout exporter.
	Output io.Writer
	// Errors counts batches that could not be exported; nil counts nothing.
	Errors *Counter
}

// Tracing creates spans and exports them.
type Tracing struct {
	// Provider creates the tracers of the daemon's packages.
	Provider trace.TracerProvider
	shutdown func(context.Context) error
}

// NewTracing starts the exporter that the configuration names; Shutdown stops it.
func NewTracing(ctx context.Context, c TraceConfig) (*Tracing, error) {
	exporter, err := newExporter(ctx, c)
	if err != nil {
		return nil, errors.Wrapf(err, "start trace exporter %s %s", c.Exporter, c.EndpointURL)
	}
	if exporter == nil {
		return &Tracing{Provider: noop.NewTracerProvider(), shutdown: func(context.Context) error { return nil }}, nil
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(&countingExporter{exporter, c.Errors}),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(float64(c.SamplePermille)/1000))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "waxwingslipd"),
			attribute.String("host.name", c.VM),
			attribute.String("cloud.availability_zone", c.Zone),
		)),
	)
	return &Tracing{Provider: provider, shutdown: provider.Shutdown}, nil
}

func newExporter(ctx context.Context, c TraceConfig) (sdktrace.SpanExporter, error) {
	switch c.Exporter {
	case "", ExporterOff:
		return nil, nil
	case ExporterStdout:
		if c.Output == nil {
			return nil, errors.New("stdout exporter has no output")
		}
		return stdouttrace.New(stdouttrace.WithWriter(c.Output))
	case ExporterOTLP:
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(c.EndpointURL))
	}
	return nil, errors.Errorf("exporter is %q, allowed are off, otlp, stdout", c.Exporter)
}

// Shutdown exports the remaining spans and stops the exporter.
func (t *Tracing) Shutdown(ctx context.Context) error {
	return errors.Wrap(t.shutdown(ctx), "stop trace exporter")
}

// countingExporter counts failures instead of returning them, because the SDK would write a line to standard
// error for each of them.
type countingExporter struct {
	sdktrace.SpanExporter
	errors *Counter
}

// ExportSpans implements sdktrace.SpanExporter.
func (e *countingExporter) ExportSpans(ctx context.Context, spans []sdktrace.ReadOnlySpan) error {
	if err := e.SpanExporter.ExportSpans(ctx, spans); err != nil && e.errors != nil {
		e.errors.Inc()
	}
	return nil
}

var traceContext = propagation.TraceContext{}

// InjectHeader writes the span context of ctx into the headers of a request.
func InjectHeader(ctx context.Context, h http.Header) {
	traceContext.Inject(ctx, propagation.HeaderCarrier(h))
}

// ExtractHeader returns ctx with the span context of a request's headers. Invalid headers are ignored.
func ExtractHeader(ctx context.Context, h http.Header) context.Context {
	return traceContext.Extract(ctx, propagation.HeaderCarrier(h))
}

// InjectMap returns the span context of ctx for a message between daemons, or nil if there is none.
func InjectMap(ctx context.Context) map[string]string {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return nil
	}
	m := propagation.MapCarrier{}
	traceContext.Inject(ctx, m)
	return m
}

// ExtractMap returns ctx with the span context that InjectMap encoded in m. An invalid one is ignored.
func ExtractMap(ctx context.Context, m map[string]string) context.Context {
	return traceContext.Extract(ctx, propagation.MapCarrier(m))
}
