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

// tracer follows orders from the input that brought them to the gateway's acknowledgement, as OpenTelemetry spans: a step with
// what it was told, and below it each publication, which ends when the gateway says that it holds it. Only the goroutine that
// owns the core uses it.
type tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
	inFlight map[coordinator.Gateway][]publicationSpan
	count    int
	file     *os.File
}

// publicationSpan is a publication on its way.
type publicationSpan struct {
	version        string
	unacknowledged [2]bool // documents that are not acknowledged
	span           trace.Span
}

// maxTracedPublications bounds the publications that are followed at a time; more are not followed.
const maxTracedPublications = 20000

// newTracer makes one as the settings say; nil: tracing is off.
func newTracer(c config.Trace) (*tracer, error) {
	if c.File == "" && c.Endpoint == "" {
		return nil, nil
	}
	t := &tracer{inFlight: map[coordinator.Gateway][]publicationSpan{}}
	options := []sdktrace.TracerProviderOption{sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(c.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", "porthub"), attribute.String("service.version", Build())))}
	if c.File != "" {
		f, err := os.OpenFile(c.File, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, err
		}
		to, err := stdouttrace.New(stdouttrace.WithWriter(f))
		if err != nil {
			return nil, err
		}
		t.file = f
		options = append(options, sdktrace.WithBatcher(to))
	}
	if c.Endpoint != "" {
		to, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpoint(c.Endpoint), otlptracehttp.WithInsecure(),
			otlptracehttp.WithTimeout(2*time.Second))
		if err != nil {
			return nil, err
		}
		options = append(options, sdktrace.WithBatcher(to))
	}
	t.provider = sdktrace.NewTracerProvider(options...)
	t.tracer = t.provider.Tracer("porthub")
	return t, nil
}

// step follows a step: acknowledgements end what they confirm, publications begin.
func (t *tracer) step(came, began time.Time, core *coordinator.Core, inputs []coordinator.Input, outputs []coordinator.Output) {
	for _, in := range inputs {
		switch in := in.(type) {
		case coordinator.DocumentAck:
			t.acknowledge(in)
		case coordinator.GatewayDisconnected:
			t.abandon(in.Gateway, "the link has ended")
		}
	}
	var publishes []coordinator.Publish
	for _, o := range outputs {
		if p, is := o.(coordinator.Publish); is {
			publishes = append(publishes, p)
		}
	}
	if len(publishes) == 0 {
		return
	}
	if came.IsZero() {
		came = began
	}
	told := map[string]int{}
	for _, in := range inputs {
		told[inputName(in)]++
	}
	attributes := []attribute.KeyValue{attribute.Int64("step", int64(core.Steps())), attribute.Int("orders", len(core.Orders())),
		attribute.Int("publications", len(publishes)), attribute.Int64("inbox_wait_us", began.Sub(came).Microseconds())}
	for kind, n := range told {
		attributes = append(attributes, attribute.Int("told."+kind, n))
	}
	ctx, span := t.tracer.Start(context.Background(), "step", trace.WithTimestamp(came), trace.WithAttributes(attributes...))
	for _, p := range publishes {
		if t.count >= maxTracedPublications {
			break
		}
		_, one := t.tracer.Start(ctx, "publish", trace.WithAttributes(attribute.String("gateway", string(p.Gateway)), attribute.String("version", p.Version),
			attribute.Bool("endpoints", p.Changed[coordinator.EndpointsDocument]), attribute.Bool("routes", p.Changed[coordinator.RoutesDocument])))
		t.inFlight[p.Gateway] = append(t.inFlight[p.Gateway], publicationSpan{p.Version, p.Changed, one})
		t.count++
	}
	span.End()
}

// inputName is the name of an input in the step's span: its attribute "told.NAME" counts the inputs of that type. Names are
// written out because they leave the program: whoever reads the spans must not notice that a Go type was renamed.
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

// acknowledge ends what an acknowledgement confirms: the version, and for its document all before it.
func (t *tracer) acknowledge(a coordinator.DocumentAck) {
	all := t.inFlight[a.Gateway]
	at := slices.IndexFunc(all, func(p publicationSpan) bool { return p.version == a.Version })
	if a.Error != "" {
		for _, p := range all {
			p.span.AddEvent("refused", trace.WithAttributes(attribute.String("why", a.Error)))
		}
		return
	}
	if at < 0 || a.Document < 0 || int(a.Document) >= len(all[at].unacknowledged) {
		return
	}
	for i := range all[:at+1] {
		if all[i].unacknowledged[a.Document] {
			all[i].unacknowledged[a.Document] = false
			all[i].span.AddEvent("acknowledged", trace.WithAttributes(attribute.String("document", a.Document.String())))
		}
	}
	for len(all) > 0 && all[0].unacknowledged == [2]bool{} {
		all[0].span.End()
		all = all[1:]
		t.count--
	}
	if t.inFlight[a.Gateway] = all; len(all) == 0 {
		delete(t.inFlight, a.Gateway)
	}
}

// abandon ends what a gateway will not acknowledge any more.
func (t *tracer) abandon(g coordinator.Gateway, why string) {
	for _, p := range t.inFlight[g] {
		p.span.SetStatus(codes.Error, why)
		p.span.End()
		t.count--
	}
	delete(t.inFlight, g)
}

// close writes out what is left, within the time given.
func (t *tracer) close(within time.Duration) {
	for g := range t.inFlight {
		t.abandon(g, "the coordinator ends")
	}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	_ = t.provider.Shutdown(ctx)
	if t.file != nil {
		_ = t.file.Close()
	}
}
