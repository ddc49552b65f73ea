package tui

import (
	"strings"

	"porthub/coordinator"
)

// drawDetail draws what is known of one endpoint or gateway, and the log records about it.
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
	block.addf("node %s in %s", e.Endpoint, e.Zone)
	block.addf("%s for %s: %s", e.State, age(m.frame.Now-e.Since), e.Reason)
	block.addf("warmth %.2f, can do about %.1f reqs a second", e.WarmUpProgress, e.Capacity)
	if e.LastReport > 0 {
		block.addf("%.1f tries a second (give or take %.1f), %.1f errored, util %.2f, queue %.1f, heard %s ago",
			e.Attempts, e.AttemptsError, e.Failures, e.Utilization, e.Queue, age(m.frame.Now-e.LastReport))
	} else {
		block.addf("nothing was heard of it")
	}
	block.addf("%d gateways may send to it", e.Senders)
	if len(e.FailingClasses) > 0 {
		block.addf("it is kept from %s", strings.Join(e.FailingClasses, ", "))
	}
	if e.Withheld {
		block.addf("the decision module keeps all from it: sick")
	}
}

func (m Model) addGateway(block *textBlock, g coordinator.GatewayOverview) {
	block.addf("gateway %s in %s, joined %t, last word %s ago", g.Gateway, g.Zone, g.Connected, age(m.frame.Now-g.LastReport))
	block.addf("holds %s, %d messages on their way, the first for %s", g.Version, g.Unacknowledged, age(g.OldestUnacknowledged))
	block.addf("%.1f reqs a second come to it, %d open lines, level %s", g.Demand, g.OpenEndpoints, g.Level)
}
