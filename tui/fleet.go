package tui

import (
	"fmt"

	"porthub/policyapi"
)

// zoneSummary holds the totals of a zone for the fleet screen.
type zoneSummary struct {
	endpoints    int
	warmingUp    int
	closed       int     // endpoints to which no gateway sends
	reported     int     // endpoints with a load report
	utilization  float64 // sum over the endpoints with a load report
	gateways     int
	disconnected int
}

func (z zoneSummary) meanUtilization() float64 {
	return z.utilization / float64(max(1, z.reported))
}

func (m Model) summarize(zone policyapi.Zone) (summary zoneSummary) {
	for _, e := range m.frame.Endpoints {
		if e.Zone != zone {
			continue
		}
		summary.endpoints++
		switch {
		case e.Senders == 0:
			summary.closed++
		case e.WarmUpProgress < 1:
			summary.warmingUp++
		}
		if e.LastReport > 0 {
			summary.utilization += e.Utilization
			summary.reported++
		}
	}
	for _, g := range m.frame.Gateways {
		if g.Zone != zone {
			continue
		}
		summary.gateways++
		if !g.Connected {
			summary.disconnected++
		}
	}
	return summary
}

func (m Model) drawFleet() []string {
	lines := m.drawLevelBanners()
	lines = append(lines, m.drawZones()...)
	lines = append(lines, "")
	return append(lines, m.drawTraffic()...)
}

// drawLevelBanners draws a line for each scope that is at a degradation level, the last scope first.
func (m Model) drawLevelBanners() (lines []string) {
	for _, scope := range m.frame.Levels.Scopes {
		if scope.Level <= 0 {
			continue
		}
		name := string(scope.Zone)
		if name == "" {
			name = "the fleet"
		}
		banner := fmt.Sprintf("LEVEL %s in %s: %s", scope.Name, name, scope.Reason)
		lines = append([]string{warn.Render(fit(banner, m.width))}, lines...)
	}
	return lines
}

func (m Model) drawZones() []string {
	widths := []int{14, 6, 8, 8, 7, 7, 7}
	lines := []string{bold.Render(m.row(widths, "ZONE", "ENDPTS", "WARMING", "CLOSED", "UTIL", "GATEWS", "DISCON"))}
	for _, zone := range m.zones() {
		summary := m.summarize(zone)
		lines = append(lines, m.row(widths,
			string(zone),
			fmt.Sprint(summary.endpoints),
			fmt.Sprint(summary.warmingUp),
			fmt.Sprint(summary.closed),
			fmt.Sprintf("%.2f", summary.meanUtilization()),
			fmt.Sprint(summary.gateways),
			fmt.Sprint(summary.disconnected)))
	}
	return lines
}

func (m Model) drawTraffic() []string {
	widths := []int{14, 14, 10, 10, 8, 6}
	lines := []string{bold.Render(m.row(widths, "ZONE", "CLASS", "DEMAND/S", "ADMITTED/S", "RATIO", "ENDPTS"))}
	for _, t := range m.frame.Traffic {
		ratio := "-"
		if t.Demand > 0 {
			ratio = fmt.Sprintf("%.2f", t.Admitted/t.Demand)
		}
		lines = append(lines, m.row(widths,
			string(t.Zone),
			t.Class,
			fmt.Sprintf("%.1f", t.Demand),
			fmt.Sprintf("%.1f", t.Admitted),
			ratio,
			fmt.Sprint(t.Endpoints)))
	}
	return lines
}

// zones returns the zones with traffic, in the frame's order.
func (m Model) zones() (zones []policyapi.Zone) {
	seen := map[policyapi.Zone]bool{}
	for _, t := range m.frame.Traffic {
		if !seen[t.Zone] {
			seen[t.Zone] = true
			zones = append(zones, t.Zone)
		}
	}
	return zones
}
