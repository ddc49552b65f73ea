package tui

import (
	"cmp"
	"slices"
	"strings"

	"porthub/coordinator"
)

var (
	endpointOrders = []string{"name", "util", "errors", "state"}
	gatewayOrders  = []string{"name", "usage", "lag", "down"}
)

func (m Model) endpointOrder() string {
	return endpointOrders[m.lists[screenEndpoints].order%len(endpointOrders)]
}

func (m Model) gatewayOrder() string {
	return gatewayOrders[m.lists[screenGateways].order%len(gatewayOrders)]
}

// listLength returns the number of rows of the current screen's list.
func (m Model) listLength() int {
	switch m.screen {
	case screenEndpoints:
		return len(m.endpoints())
	case screenGateways:
		return len(m.gateways())
	case screenLog:
		return len(m.log())
	default:
		return 0
	}
}

// selectedName returns the name of the endpoint or gateway in the selected row, or an empty string if there is none.
func (m Model) selectedName() string {
	i := m.lists[m.screen].selected
	switch m.screen {
	case screenEndpoints:
		if endpoints := m.endpoints(); i < len(endpoints) {
			return string(endpoints[i].Endpoint)
		}
	case screenGateways:
		if gateways := m.gateways(); i < len(gateways) {
			return string(gateways[i].Gateway)
		}
	}
	return ""
}

// matches reports whether the texts, joined by spaces, contain the filter. It ignores case. An empty filter matches all texts.
func (m Model) matches(texts ...string) bool {
	if m.filter == "" {
		return true
	}
	return strings.Contains(strings.ToLower(strings.Join(texts, " ")), strings.ToLower(m.filter))
}

// endpoints returns the endpoints that match the filter, sorted.
func (m Model) endpoints() (matching []coordinator.EndpointOverview) {
	for _, e := range m.frame.Endpoints {
		if m.matches(string(e.Endpoint), string(e.Zone), e.State, strings.Join(e.FailingClasses, " ")) {
			matching = append(matching, e)
		}
	}
	order := m.endpointOrder()
	slices.SortStableFunc(matching, func(a, b coordinator.EndpointOverview) int { return compareEndpoints(order, a, b) })
	return matching
}

func compareEndpoints(order string, a, b coordinator.EndpointOverview) int {
	switch order {
	case "util":
		return cmp.Compare(b.Utilization, a.Utilization)
	case "errors":
		return cmp.Compare(b.Failures, a.Failures)
	case "state":
		return cmp.Compare(abnormality(b), abnormality(a))
	default:
		return cmp.Compare(a.Endpoint, b.Endpoint)
	}
}

// abnormality returns a score of how far an endpoint is from normal operation, by which endpoints are sorted.
func abnormality(e coordinator.EndpointOverview) float64 {
	score := 1 - e.WarmUpProgress + float64(len(e.FailingClasses))
	if e.State != "ready" {
		score += 2
	}
	if e.Withheld {
		score++
	}
	return score
}

// gateways returns the gateways that match the filter, sorted.
func (m Model) gateways() (matching []coordinator.GatewayOverview) {
	for _, g := range m.frame.Gateways {
		if m.matches(string(g.Gateway), string(g.Zone), g.Level, linkState(g)) {
			matching = append(matching, g)
		}
	}
	order := m.gatewayOrder()
	slices.SortStableFunc(matching, func(a, b coordinator.GatewayOverview) int { return compareGateways(order, a, b) })
	return matching
}

func compareGateways(order string, a, b coordinator.GatewayOverview) int {
	switch {
	case order == "usage":
		return cmp.Compare(b.Demand, a.Demand)
	case order == "lag":
		return cmp.Compare(b.OldestUnacknowledged, a.OldestUnacknowledged)
	case order == "down" && a.Connected != b.Connected:
		if b.Connected {
			return -1
		}
		return 1
	default:
		return cmp.Compare(a.Gateway, b.Gateway)
	}
}

func linkState(g coordinator.GatewayOverview) string {
	if g.Connected {
		return "up"
	}
	return "down"
}

// log returns the log records that match the filter, the newest first.
func (m Model) log() (matching []Record) {
	for _, record := range slices.Backward(m.frame.Log) {
		if m.matches(record.Event, record.Text, record.Subject) {
			matching = append(matching, record)
		}
	}
	return matching
}
