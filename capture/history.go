package capture

import (
	"fmt"
	"strings"

	"porthub/coordinator"
	"porthub/policyapi"
	"porthub/routing"
)

// endpointHistory collects the events and the state that concern one endpoint while a capture is replayed.
type endpointHistory struct {
	endpoint policyapi.EndpointID
	events   []Event
	listed   *policyapi.Endpoint // its last entry in the endpoint list; nil if it was never listed
	known    bool                // false if records are missing since the last start

	// Since the last start or gap:
	weights      map[policyapi.TableID]float64
	gateways     map[coordinator.Gateway]*gatewayHistory
	observations map[string]string // the last state reported by each registry, as text
}

// gatewayHistory is what a gateway was sent, acknowledged and reported for the endpoint.
type gatewayHistory struct {
	sent         *sentTable // nil if no table was sent yet
	acknowledged *sentTable // nil if no table was acknowledged yet
	attempts     int        // number in its last report
	failures     int        // number in its last report
	disconnected bool
}

// sentTable is a version of a gateway's table, reduced to the endpoint.
type sentTable struct {
	version string
	since   policyapi.Microseconds // when the endpoint's weight became positive or zero
	classes []string               // classes in which the endpoint's weight is positive
	weights []float64              // by class, as a fraction of the sum of the cluster's weights
}

// contains reports whether the endpoint has a positive weight.
func (t *sentTable) contains() bool { return t != nil && len(t.classes) > 0 }

func (t *sentTable) String() string {
	if !t.contains() {
		return "without it"
	}
	var parts []string
	for i, class := range t.classes {
		parts = append(parts, fmt.Sprintf("%s %.1f%%", class, 100*t.weights[i]))
	}
	return "with it for " + strings.Join(parts, ", ")
}

func newEndpointHistory(endpoint policyapi.EndpointID) *endpointHistory {
	h := &endpointHistory{endpoint: endpoint, known: true}
	h.reset()
	return h
}

// reset clears the state of the coordinator and its gateways. The entry in the endpoint list is kept: it applies across starts.
func (h *endpointHistory) reset() {
	h.weights = map[policyapi.TableID]float64{}
	h.gateways = map[coordinator.Gateway]*gatewayHistory{}
	h.observations = map[string]string{}
}

func (h *endpointHistory) gateway(name coordinator.Gateway) *gatewayHistory {
	g := h.gateways[name]
	if g == nil {
		g = &gatewayHistory{}
		h.gateways[name] = g
	}
	return g
}

// observe adds a record and the outputs that the core made for it.
func (h *endpointHistory) observe(record *Record, outputs []coordinator.Output) {
	switch {
	case record.Start != nil:
		h.reset()
		h.known = true
		at := instant{now: policyapi.Microseconds(record.Start.WallTime), seq: record.Seq}
		h.add(at, StartEvent, "the coordinator started (%s), %s", record.Start.Build, restoredText(record.Start))
	case record.Gap != nil:
		h.reset()
		h.known = false
		h.add(instant{seq: record.Seq}, GapEvent, "records %d to %d are missing (%s): the inputs of that time are unknown",
			record.Gap.From, record.Gap.To, record.Gap.Reason)
	case record.Command != nil:
		h.observeCommand(record.Seq, record.Command)
	case record.Step != nil:
		h.observeStep(record, outputs)
	}
}

// instant is the time and number of a record.
type instant struct {
	now policyapi.Microseconds
	seq uint64
}

func (h *endpointHistory) add(at instant, kind EventKind, format string, args ...any) {
	h.events = append(h.events, Event{At: at.now, Seq: at.seq, Kind: kind, Text: fmt.Sprintf(format, args...)})
}

func restoredText(start *Start) string {
	if start.Restored == nil {
		return "without state of an earlier process"
	}
	return "restored " + start.Restored.String()
}

func (h *endpointHistory) observeCommand(seq uint64, c *Command) {
	at := instant{seq: seq}
	switch {
	case c.Pin != nil:
		h.add(at, CommandEvent, "an operator pinned %s: %s", c.Pin.Scope, c.Pin.Reason)
	case c.Drain == h.endpoint:
		h.add(at, CommandEvent, "an operator drained it: %s", c.Reason)
	case c.Undrain == h.endpoint:
		h.add(at, CommandEvent, "an operator ended its drain: %s", c.Reason)
	case c.Unpin > 0:
		h.add(at, CommandEvent, "an operator removed pin %d: %s", c.Unpin, c.Reason)
	}
}

func (h *endpointHistory) observeStep(record *Record, outputs []coordinator.Output) {
	at := instant{now: record.Step.Now, seq: record.Seq}
	for _, input := range record.Step.Inputs {
		h.observeInput(at, input)
	}
	for _, order := range record.Step.Orders {
		h.observeOrder(at, order)
	}
	for _, output := range outputs {
		h.observeOutput(at, output)
	}
}

func (h *endpointHistory) observeInput(at instant, input coordinator.Input) {
	switch in := input.(type) {
	case coordinator.EndpointUpdate:
		h.observeList(at, in)
	case coordinator.RegistryUpdate:
		h.observeRegistry(at, in)
	case coordinator.HealthCheckResult:
		if in.Endpoint == h.endpoint {
			h.add(at, HealthEvent, "health check: ok %t %s", in.Healthy, in.Code)
		}
	case coordinator.LoadReport:
		h.observeReport(at, in)
	case coordinator.DocumentAck:
		h.observeAck(at, in)
	case coordinator.GatewayConnected:
		h.gateway(in.Gateway).disconnected = false
	case coordinator.GatewayDisconnected:
		g := h.gateway(in.Gateway)
		g.disconnected = true
		if g.sent != nil {
			h.add(at, DisconnectEvent, "%s disconnected; it keeps using its cached table", in.Gateway)
		}
	}
}

// observeAck records the first acknowledgement of the version that was sent last.
func (h *endpointHistory) observeAck(at instant, ack coordinator.DocumentAck) {
	if ack.Error != "" || ack.Document != coordinator.EndpointsDocument {
		return
	}
	g := h.gateway(ack.Gateway)
	if g.sent == nil || g.sent.version != ack.Version {
		return
	}
	if g.acknowledged != nil && g.acknowledged.version == ack.Version {
		return
	}
	acknowledged := *g.sent
	g.acknowledged = &acknowledged
	h.add(at, AckEvent, "%s confirmed %s, %s", ack.Gateway, ack.Version, g.sent)
}

func (h *endpointHistory) observeOrder(at instant, order policyapi.Order) {
	switch o := order.(type) {
	case policyapi.SetWeight:
		if before := h.weights[o.Table]; o.Endpoint == h.endpoint && before != o.Weight {
			h.add(at, OrderEvent, "table %d: weight %.3f to %.3f", o.Table, before, o.Weight)
			h.weights[o.Table] = o.Weight
		}
	case policyapi.ClearTable:
		if h.weights[o.Table] > 0 {
			h.add(at, OrderEvent, "table %d was cleared", o.Table)
			h.weights[o.Table] = 0
		}
	case policyapi.EjectEndpoint:
		if o.Endpoint == h.endpoint {
			h.add(at, OrderEvent, "ejected from all tables: %t", o.Ejected)
		}
	case policyapi.Log:
		h.addNote(at, o.Text)
	}
}

func (h *endpointHistory) observeOutput(at instant, output coordinator.Output) {
	switch o := output.(type) {
	case coordinator.Publish:
		h.observePublish(at, o)
	case coordinator.LogEntry:
		if o.Event == "solver" || o.Event == "membership" {
			h.addNote(at, o.Text)
		}
	}
}

// addNote adds an event for a log entry that names the endpoint.
func (h *endpointHistory) addNote(at instant, text string) {
	if strings.Contains(text, string(h.endpoint)) {
		h.add(at, NoteEvent, "%s", text)
	}
}

func (h *endpointHistory) observeList(at instant, update coordinator.EndpointUpdate) {
	for _, endpoint := range update.Endpoints {
		if endpoint.ID == h.endpoint {
			h.observeListed(at, update.Version, endpoint)
			return
		}
	}
	complete := update.Kind == policyapi.Snapshot && update.Error == ""
	if complete && h.listed != nil && h.listed.Status != policyapi.Removed {
		h.add(at, ListEvent, "the endpoint list (version %d) no longer has it", update.Version)
		removed := *h.listed
		removed.Status = policyapi.Removed
		h.listed = &removed
	}
}

func (h *endpointHistory) observeListed(at instant, version policyapi.ListVersion, endpoint policyapi.Endpoint) {
	before := h.listed
	h.listed = &endpoint
	restarted := before != nil && before.StartedAt != endpoint.StartedAt && endpoint.StartedAt > 0
	if before != nil && before.Status == endpoint.Status && !restarted {
		return
	}
	started := ""
	if endpoint.StartedAt > 0 {
		started = fmt.Sprintf(", started %.1f s before", seconds(at.now-endpoint.StartedAt))
	}
	h.add(at, ListEvent, "the endpoint list (version %d): %s in %s%s", version, statusText(endpoint.Status), endpoint.Zone, started)
}

// observeRegistry adds an event if the state that a registry reports for the endpoint has changed.
func (h *endpointHistory) observeRegistry(at instant, update coordinator.RegistryUpdate) {
	text := "does not list it"
	for _, observation := range update.Observations {
		if observation.Endpoint == h.endpoint {
			text = fmt.Sprintf("lists it as %s in %s", observation.Status, observation.Zone)
		}
	}
	if update.Error != "" {
		text = "does not respond: " + update.Error
	}
	if h.observations[update.Source] != text {
		h.observations[update.Source] = text
		h.add(at, ListEvent, "%s %s", update.Source, text)
	}
}

func statusText(status policyapi.EndpointStatus) string {
	return [...]string{"ready", "draining", "gone"}[min(max(status, 0), 2)]
}

// observeReport adds an event if attempts began or ended, or failures began.
func (h *endpointHistory) observeReport(at instant, report coordinator.LoadReport) {
	attempts := 0
	failures := 0
	for _, class := range report.Classes {
		for _, endpoint := range class.Endpoints {
			if endpoint.Endpoint == h.endpoint {
				attempts += endpoint.Attempts
				failures += endpoint.Failures
			}
		}
	}
	g := h.gateway(report.Gateway)
	began := attempts > 0 && g.attempts == 0
	ended := attempts == 0 && g.attempts > 0
	firstFailures := failures > 0 && g.failures == 0
	if began || ended || firstFailures {
		h.add(at, ReportEvent, "%s reports %d attempts, %d failed, in %.1f s", report.Gateway, attempts, failures, seconds(report.Interval))
	}
	g.attempts = attempts
	g.failures = failures
}

// observePublish adds an event if a gateway's new table contains the endpoint and the previous one did not, or the reverse.
func (h *endpointHistory) observePublish(at instant, message coordinator.Publish) {
	if !message.Changed[coordinator.EndpointsDocument] {
		return
	}
	g := h.gateway(message.Gateway)
	before := g.sent
	g.sent = h.weightsIn(message.Version, message.Snapshot)
	g.sent.since = at.now
	if before.contains() && g.sent.contains() {
		g.sent.since = before.since
	}
	if before.contains() != g.sent.contains() {
		h.add(at, PublishEvent, "%s was sent %s, %s", message.Gateway, message.Version, g.sent)
	}
}

// weightsIn returns the endpoint's weights in a snapshot.
func (h *endpointHistory) weightsIn(version string, snapshot routing.Snapshot) *sentTable {
	table := &sentTable{version: version}
	for _, cluster := range snapshot.Clusters {
		sum := 0.0
		own := 0.0
		for _, endpoint := range cluster.Endpoints {
			if endpoint.Withheld {
				continue
			}
			sum += endpoint.Weight
			if endpoint.Endpoint == h.endpoint {
				own = endpoint.Weight
			}
		}
		if own > 0 {
			table.classes = append(table.classes, cluster.Class)
			table.weights = append(table.weights, own/sum)
		}
	}
	return table
}

// seconds converts a duration of the core to seconds.
func seconds(d policyapi.Microseconds) float64 { return float64(d) / 1e6 }
