package daemon

import (
	"context"
	"os"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"porthub/config"
	"porthub/coordinator"
)

// tracer traces publications from the inputs that caused them to the gateway's acknowledgement, as OpenTelemetry spans. The span
// of a step counts its inputs and has a child span for each publication, which ends when the gateway has acknowledged it. Only
// the goroutine that owns the core may use a tracer.
type tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
	inFlight map[coordinator.Gateway][]publicationSpan
	count    int      // number of spans in flight
	file     *os.File // nil if spans are not written to a file
}

// publicationSpan is the span of a publication in flight.
type publicationSpan struct {
	version        string
	unacknowledged [2]bool // by document: true until the gateway acknowledges it
	span           trace.Span
}

// maxTracedPublications is the maximum number of publications traced at a time; further ones are not traced.
const maxTracedPublications = 20000

// exportTimeout limits the time of one export of spans to the configured endpoint.
const exportTimeout = 2 * time.Second

func tracingEnabled(c config.Trace) bool { return c.File != "" || c.Endpoint != "" }

// newTracer returns a tracer that exports to the configured file and endpoint, or nil if tracing is off.
func newTracer(c config.Trace) (*tracer, error) {
	if !tracingEnabled(c) {
		return nil, nil
	}
	t := &tracer{inFlight: map[coordinator.Gateway][]publicationSpan{}}
	options := []sdktrace.TracerProviderOption{
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(c.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", "porthub"), attribute.String("service.version", Build()))),
	}
	if c.File != "" {
		f, err := os.OpenFile(c.File, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, err
		}
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(f))
		if err != nil {
			return nil, err
		}
		t.file = f
		options = append(options, sdktrace.WithBatcher(exporter))
	}
	if c.Endpoint != "" {
		exporter, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpoint(c.Endpoint), otlptracehttp.WithInsecure(),
			otlptracehttp.WithTimeout(exportTimeout))
		if err != nil {
			return nil, err
		}
		options = append(options, sdktrace.WithBatcher(exporter))
	}
	t.provider = sdktrace.NewTracerProvider(options...)
	t.tracer = t.provider.Tracer("porthub")
	return t, nil
}

// recordStep records a step: it ends the spans of publications that the inputs acknowledge, and starts a span for each new
// publication. arrivedAt is when the first of the inputs arrived, zero if that is unknown.
func (t *tracer) recordStep(arrivedAt, began time.Time, core *coordinator.Core, inputs []coordinator.Input, outputs []coordinator.Output) {
	for _, in := range inputs {
		switch in := in.(type) {
		case coordinator.DocumentAck:
			t.acknowledge(in)
		case coordinator.GatewayDisconnected:
			t.abandon(in.Gateway, "the gateway disconnected")
		}
	}
	var publications []coordinator.Publish
	for _, out := range outputs {
		if p, ok := out.(coordinator.Publish); ok {
			publications = append(publications, p)
		}
	}
	if len(publications) == 0 {
		return
	}
	if arrivedAt.IsZero() {
		arrivedAt = began
	}
	attributes := []attribute.KeyValue{
		attribute.Int64("step", int64(core.Steps())),
		attribute.Int("orders", len(core.Orders())),
		attribute.Int("publications", len(publications)),
		attribute.Int64("inbox_wait_us", began.Sub(arrivedAt).Microseconds()),
	}
	ctx, span := t.tracer.Start(context.Background(), "step", trace.WithTimestamp(arrivedAt), trace.WithAttributes(append(attributes, inputCounts(inputs)...)...))
	for _, p := range publications {
		if t.count >= maxTracedPublications {
			break
		}
		t.startPublication(ctx, p)
	}
	span.End()
}

// inputCounts returns span attributes that count the inputs of a step by name.
func inputCounts(inputs []coordinator.Input) (attributes []attribute.KeyValue) {
	counts := map[string]int{}
	for _, in := range inputs {
		counts[inputName(in)]++
	}
	for name, n := range counts {
		attributes = append(attributes, attribute.Int("told."+name, n))
	}
	return attributes
}

func (t *tracer) startPublication(ctx context.Context, p coordinator.Publish) {
	_, span := t.tracer.Start(ctx, "publish", trace.WithAttributes(
		attribute.String("gateway", string(p.Gateway)),
		attribute.String("version", p.Version),
		attribute.Bool("endpoints", p.Changed[coordinator.EndpointsDocument]),
		attribute.Bool("routes", p.Changed[coordinator.RoutesDocument]),
	))
	t.inFlight[p.Gateway] = append(t.inFlight[p.Gateway], publicationSpan{p.Version, p.Changed, span})
	t.count++
}

// inputName returns the name of an input in the step's span, whose attribute "told.NAME" counts the inputs of that type. The
// names are written out because they leave the process: they must stay the same when a Go type is renamed.
func inputName(in coordinator.Input) string {
	switch in.(type) {
	case coordinator.EndpointUpdate:
		return "List"
	case coordinator.RegistryUpdate:
		return "Told"
	case coordinator.GatewayConnected:
		return "Join"
	case coordinator.GatewayDisconnected:
		return "Leave"
	case coordinator.DocumentAck:
		return "Ack"
	case coordinator.LoadReport:
		return "Report"
	case coordinator.HealthCheckResult:
		return "Probed"
	case coordinator.PeerRejected:
		return "Refused"
	case coordinator.PublishFailed:
		return "Failed"
	}
	return "Other"
}

// acknowledge records an acknowledgement. It covers the acknowledged version of its document and all earlier ones. The span of a
// publication ends once all its documents are acknowledged. A rejection is added to all spans of the gateway as an event.
func (t *tracer) acknowledge(ack coordinator.DocumentAck) {
	spans := t.inFlight[ack.Gateway]
	if ack.Error != "" {
		for _, p := range spans {
			p.span.AddEvent("refused", trace.WithAttributes(attribute.String("why", ack.Error)))
		}
		return
	}
	at := slices.IndexFunc(spans, func(p publicationSpan) bool { return p.version == ack.Version })
	if at < 0 || ack.Document < 0 || int(ack.Document) >= len(spans[at].unacknowledged) {
		return
	}
	for i := range spans[:at+1] {
		if spans[i].unacknowledged[ack.Document] {
			spans[i].unacknowledged[ack.Document] = false
			spans[i].span.AddEvent("acknowledged", trace.WithAttributes(attribute.String("document", ack.Document.String())))
		}
	}
	for len(spans) > 0 && spans[0].unacknowledged == [2]bool{} {
		spans[0].span.End()
		spans = spans[1:]
		t.count--
	}
	t.inFlight[ack.Gateway] = spans
	if len(spans) == 0 {
		delete(t.inFlight, ack.Gateway)
	}
}

// abandon ends the spans of publications that a gateway will not acknowledge any more, with an error status.
func (t *tracer) abandon(gateway coordinator.Gateway, reason string) {
	for _, p := range t.inFlight[gateway] {
		p.span.SetStatus(codes.Error, reason)
		p.span.End()
		t.count--
	}
	delete(t.inFlight, gateway)
}

// close ends all spans in flight and exports the spans that are left, within the timeout.
func (t *tracer) close(timeout time.Duration) {
	for gateway := range t.inFlight {
		t.abandon(gateway, "the coordinator stopped")
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_ = t.provider.Shutdown(ctx)
	if t.file != nil {
		_ = t.file.Close()
	}
}
