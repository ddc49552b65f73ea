package capture

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"porthub/policyapi"
)

// maxEventsPerKind limits the events of each kind in an explanation: a flapping endpoint has hundreds.
const maxEventsPerKind = 8

// explain summarizes the history: which gateways had the endpoint in their tables at a time, and why.
func (h *endpointHistory) explain(at policyapi.Microseconds) Explanation {
	gateways := h.gatewayTables()
	return Explanation{Endpoint: h.endpoint, At: at, Events: h.lastEvents(), Gateways: gateways, Answer: h.answer(at, gateways)}
}

// gatewayTables returns the gateways that had the endpoint in their tables: in the version that they had acknowledged or, if
// that does not contain the endpoint, in the version in flight.
func (h *endpointHistory) gatewayTables() []GatewayTable {
	var out []GatewayTable
	for _, name := range slices.Sorted(maps.Keys(h.gateways)) {
		g := h.gateways[name]
		table := g.sent
		if g.acknowledged.contains() {
			table = g.acknowledged
		}
		if !table.contains() {
			continue
		}
		out = append(out, GatewayTable{
			Gateway:      name,
			Version:      table.version,
			Classes:      table.classes,
			Weights:      table.weights,
			Confirmed:    g.acknowledged != nil && g.acknowledged.version == table.version,
			Since:        table.since,
			Attempts:     g.attempts,
			Disconnected: g.disconnected,
		})
	}
	return out
}

// answer returns the explanation in one sentence.
func (h *endpointHistory) answer(at policyapi.Microseconds, gateways []GatewayTable) string {
	switch {
	case !h.known:
		return "records are missing before that time: the state at that time is unknown"
	case len(gateways) == 0 && len(h.events) == 0:
		return "no record names the endpoint"
	case len(gateways) == 0:
		return fmt.Sprintf("no gateway had it in a table: %s; the decision module's tables with it: %s", h.listedText(), h.tablesText())
	case h.listed != nil && h.listed.Status != policyapi.Ready:
		disconnected, unconfirmed := h.countOutdated(gateways)
		return fmt.Sprintf("%s since %.1f s, but %d gateways still had it in a table: %d were disconnected, %d had been sent the table without it and had not confirmed it",
			h.listedText(), seconds(at-h.listedAt()), len(gateways), disconnected, unconfirmed)
	default:
		return fmt.Sprintf("%d gateways had it in a table: %s; the decision module's tables with it: %s", len(gateways), h.listedText(), h.tablesText())
	}
}

// countOutdated counts the gateways that could not be sent a table without the endpoint because they were disconnected, and
// those that had been sent one and had not acknowledged it yet.
func (h *endpointHistory) countOutdated(gateways []GatewayTable) (disconnected, unconfirmed int) {
	for _, table := range gateways {
		switch {
		case table.Disconnected:
			disconnected++
		case !h.gateways[table.Gateway].sent.contains():
			unconfirmed++
		}
	}
	return disconnected, unconfirmed
}

func (h *endpointHistory) listedText() string {
	if h.listed == nil {
		return "it is not in the endpoint list"
	}
	return "the endpoint list has it as " + statusText(h.listed.Status)
}

// listedAt returns when the endpoint list last changed for the endpoint, or 0 if it never did.
func (h *endpointHistory) listedAt() policyapi.Microseconds {
	for _, event := range slices.Backward(h.events) {
		if event.Kind == ListEvent {
			return event.At
		}
	}
	return 0
}

// tablesText lists the tables of the decision module in which the endpoint has a positive weight.
func (h *endpointHistory) tablesText() string {
	var parts []string
	for _, table := range slices.Sorted(maps.Keys(h.weights)) {
		if weight := h.weights[table]; weight > 0 {
			parts = append(parts, fmt.Sprintf("%d (weight %.3f)", table, weight))
		}
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

// lastEvents returns the last maxEventsPerKind events of each kind, in order.
func (h *endpointHistory) lastEvents() []Event {
	var out []Event
	count := map[EventKind]int{}
	for _, event := range slices.Backward(h.events) {
		count[event.Kind]++
		if count[event.Kind] <= maxEventsPerKind {
			out = append(out, event)
		}
	}
	slices.Reverse(out)
	return out
}
