package tui

import (
	"strings"

	"porthub/coordinator"
)

// drawDetail draws the details of the selected endpoint or gateway, and the log records that mention it.
func (m Model) drawDetail() []string {
	block := &textBlock{width: m.width}
	for _, e := range m.frame.Endpoints {
		if string(e.Endpoint) == m.detail {
			m.addEndpoint(block, e)
		}
	}
	for _, g := range m.frame.Gateways {
		if string(g.Gateway) == m.detail {
			m.addGateway(block, g)
		}
	}
	block.addf("")
	for _, record := range m.frame.Log {
		if record.Subject == m.detail || strings.Contains(record.Text, m.detail) {
			block.addf("%s ago  %s  %s", age(m.frame.Now-record.At), record.Event, record.Text)
		}
	}
	return block.lines
}

func (m Model) addEndpoint(block *textBlock, e coordinator.EndpointOverview) {
	block.addf("endpoint %s in %s", e.Endpoint, e.Zone)
	block.addf("%s for %s: %s", e.State, age(m.frame.Now-e.Since), e.Reason)
	block.addf("warm-up %.2f, capacity about %.1f requests/s", e.WarmUpProgress, e.Capacity)
	if e.LastReport > 0 {
		block.addf("%.1f attempts/s (±%.1f), %.1f failures/s, util %.2f, queue %.1f, reported %s ago",
			e.Attempts, e.AttemptsError, e.Failures, e.Utilization, e.Queue, age(m.frame.Now-e.LastReport))
	} else {
		block.addf("no load report yet")
	}
	block.addf("%d gateways may send to it", e.Senders)
	if len(e.FailingClasses) > 0 {
		block.addf("excluded from classes: %s", strings.Join(e.FailingClasses, ", "))
	}
	if e.Withheld {
		block.addf("ejected by the decision module")
	}
}

func (m Model) addGateway(block *textBlock, g coordinator.GatewayOverview) {
	block.addf("gateway %s in %s, connected %t, last message %s ago", g.Gateway, g.Zone, g.Connected, age(m.frame.Now-g.LastMessageAt))
	block.addf("confirmed %s, %d unacknowledged messages, the oldest for %s", g.Version, g.Unacknowledged, age(g.OldestUnacknowledged))
	block.addf("demand %.1f requests/s, %d open endpoints, level %s", g.Demand, g.OpenEndpoints, g.Level)
}
