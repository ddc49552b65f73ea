package tui

import (
	"fmt"
	"strings"

	"porthub/coordinator"
)

func (m Model) drawEndpoints() []string {
	widths := []int{0, 10, 10, -4, -4, -5, -7, -6, -5}
	head := m.row(widths, "ENDPOINT by "+m.endpointOrder(), "ZONE", "STATE", "WARM", "UTIL", "QUEUE", "ATT/S", "FAIL/S", "SEND")
	endpoints := m.endpoints()
	return m.drawList(" "+head, len(endpoints), func(i int) string {
		e := endpoints[i]
		return m.row(widths,
			string(e.Endpoint),
			string(e.Zone),
			endpointState(e),
			fmt.Sprintf("%.2f", e.WarmUpProgress),
			fmt.Sprintf("%.2f", e.Utilization),
			fmt.Sprintf("%.1f", e.Queue),
			fmt.Sprintf("%.1f", e.Attempts),
			fmt.Sprintf("%.1f", e.Failures),
			fmt.Sprint(e.Senders))
	})
}

func endpointState(e coordinator.EndpointOverview) string {
	switch {
	case len(e.FailingClasses) > 0:
		return "fails " + strings.Join(e.FailingClasses, ",")
	case e.Withheld:
		return "ejected"
	default:
		return e.State
	}
}

func (m Model) drawGateways() []string {
	widths := []int{0, 10, 6, 14, -4, -5, -7, -5, 8}
	head := m.row(widths, "GATEWAY by "+m.gatewayOrder(), "ZONE", "LINK", "CONFIRMED", "PEND", "LAG", "REQ/S", "OPEN", "LEVEL")
	gateways := m.gateways()
	return m.drawList(" "+head, len(gateways), func(i int) string {
		g := gateways[i]
		lag := "-"
		if g.Unacknowledged > 0 {
			lag = age(g.OldestUnacknowledged)
		}
		return m.row(widths,
			string(g.Gateway),
			string(g.Zone),
			linkState(g),
			g.Version,
			fmt.Sprint(g.Unacknowledged),
			lag,
			fmt.Sprintf("%.1f", g.Demand),
			fmt.Sprint(g.OpenEndpoints),
			g.Level)
	})
}

func (m Model) drawLog() []string {
	widths := []int{9, 5, 18, 0}
	log := m.log()
	return m.drawList(" "+m.row(widths, "AGO", "", "EVENT", "TEXT"), len(log), func(i int) string {
		record := log[i]
		text := record.Text
		if record.Subject != "" {
			text = record.Subject + ": " + text
		}
		return m.row(widths, age(m.frame.Now-record.At), record.Level, record.Event, text)
	})
}
