package tui

import (
	"fmt"
	"strings"
	"time"

	tea "charm.land/bubbletea/v2"
	"charm.land/lipgloss/v2"
	"github.com/charmbracelet/x/ansi"

	"porthub/policyapi"
)

var (
	bold    = lipgloss.NewStyle().Bold(true)
	reverse = lipgloss.NewStyle().Reverse(true)
	warn    = lipgloss.NewStyle().Foreground(lipgloss.Yellow)
)

// View draws the screen.
func (m Model) View() tea.View {
	v := tea.NewView(m.Draw(time.Now()))
	v.AltScreen = true
	return v
}

// Draw is the screen as text at a time. Nothing is told by colour alone.
func (m Model) Draw(now time.Time) string {
	var lines []string
	head := "porthub  " + m.source.Name()
	if m.has {
		head += fmt.Sprintf("  up %s  %d nodes  %d gateways", length(m.moment.Now-m.moment.StartedAt), len(m.moment.Endpoints), len(m.moment.Gateways))
	}
	lines = append(lines, bold.Render(fit(head, m.width)))
	state := ""
	switch {
	case m.err != nil && m.has:
		state = fmt.Sprintf("NO ANSWER for %s: %v", now.Sub(m.since).Round(time.Second), m.err)
	case m.err != nil:
		state = fmt.Sprintf("NO ANSWER: %v", m.err)
	case !m.has:
		state = "looking"
	case m.paused:
		state = "paused: space goes on"
	}
	tabs := ""
	for i, s := range screens {
		if i == m.screen {
			s = "[" + s + "]"
		}
		tabs += fmt.Sprintf("%d %s  ", i+1, s)
	}
	if m.filter != "" || m.typing {
		tabs += "/" + m.filter
		if m.typing {
			tabs += "_"
		}
	}
	lines = append(lines, fit(tabs, m.width), warn.Render(fit(state, m.width)))
	if m.has {
		lines = append(lines, m.body()...)
	}
	most := m.height - 1
	if len(lines) > most {
		lines = lines[:most]
	}
	for len(lines) < most {
		lines = append(lines, "")
	}
	foot := "1-5 screen  / filter  s sort  enter why  space pause  q quit"
	if m.source.Move(0) {
		foot = "left right a second, with shift ten  " + foot
	}
	return strings.Join(append(lines, fit(foot, m.width)), "\n")
}

func (m Model) body() []string {
	if m.why != "" {
		return m.explain()
	}
	switch screens[m.screen] {
	case "nodes":
		return m.drawNodes()
	case "gateways":
		return m.drawGateways()
	case "levels":
		return m.drawLevels()
	case "log":
		return m.drawLog()
	}
	return m.drawFleet()
}

// fit cuts a text to a width in cells, whatever its letters, or fills it up; control letters are shown as dots.
func fit(text string, width int) string {
	text = strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f || r >= 0x80 && r < 0xa0 {
			return '.'
		}
		return r
	}, text)
	if ansi.StringWidth(text) > width {
		return ansi.Truncate(text, width, "…")
	}
	return text + strings.Repeat(" ", width-ansi.StringWidth(text))
}

// row puts cells into columns, one cell less than the screen is wide; a width of 0 takes what is left, one below 0 is to the
// right.
func (m Model) row(widths []int, cells ...string) string {
	left := m.width - 1
	for _, w := range widths {
		left -= max(w, -w) + 1
	}
	parts := make([]string, len(cells))
	for i, c := range cells {
		w := widths[i]
		if w == 0 {
			w = max(8, left+1) // no space after the last column
		}
		if w < 0 { // to the right
			w = -w
			if n := w - ansi.StringWidth(c); n > 0 {
				c = strings.Repeat(" ", n) + c
			}
		}
		parts[i] = fit(c, w)
	}
	return fit(strings.Join(parts, " "), m.width-1)
}

// list draws rows from the first that is to be seen, the chosen one marked.
func (m Model) list(head string, n int, row func(i int) string) []string {
	out := []string{bold.Render(head)}
	m = m.scrolled()
	for i := m.from[m.screen]; i < min(n, m.from[m.screen]+m.rows()); i++ {
		text := row(i)
		if i == m.at[m.screen] {
			text = reverse.Render(">" + fit(text, m.width-1))
		} else {
			text = " " + fit(text, m.width-1)
		}
		out = append(out, text)
	}
	return out
}

func (m Model) drawFleet() []string {
	widths := []int{14, 6, 8, 8, 7, 7, 7}
	out := []string{bold.Render(m.row(widths, "ZONE", "NODES", "COLD", "CLOSED", "UTIL", "GATEWS", "AWAY"))}
	for _, st := range m.moment.Levels.Scopes {
		if st.Level > 0 {
			scope := string(st.Zone)
			if scope == "" {
				scope = "the fleet"
			}
			out = append([]string{warn.Render(fit(fmt.Sprintf("LEVEL %s in %s: %s", st.Name, scope, st.Reason), m.width))}, out...)
		}
	}
	for _, z := range m.zones() {
		nodes, cold, closed, util, heard, gateways, away := 0, 0, 0, 0.0, 0, 0, 0
		for _, n := range m.moment.Endpoints {
			if n.Zone != z {
				continue
			}
			if nodes++; n.Senders == 0 {
				closed++
			} else if n.WarmUpProgress < 1 {
				cold++
			}
			if n.LastReport > 0 {
				util, heard = util+n.Utilization, heard+1
			}
		}
		for _, g := range m.moment.Gateways {
			if g.Zone == z {
				if gateways++; !g.Connected {
					away++
				}
			}
		}
		out = append(out, m.row(widths, string(z), fmt.Sprint(nodes), fmt.Sprint(cold), fmt.Sprint(closed), fmt.Sprintf("%.2f", util/float64(max(1, heard))),
			fmt.Sprint(gateways), fmt.Sprint(away)))
	}
	widths = []int{14, 14, 10, 10, 8, 6}
	out = append(out, "", bold.Render(m.row(widths, "ZONE", "KIND", "ASKED/S", "LET IN/S", "PART", "NODES")))
	for _, t := range m.moment.Traffic {
		part := "-"
		if t.Demand > 0 {
			part = fmt.Sprintf("%.2f", t.Admitted/t.Demand)
		}
		out = append(out, m.row(widths, string(t.Zone), t.Class, fmt.Sprintf("%.1f", t.Demand), fmt.Sprintf("%.1f", t.Admitted), part, fmt.Sprint(t.Endpoints)))
	}
	return out
}

func (m Model) zones() (zones []policyapi.Zone) {
	seen := map[policyapi.Zone]bool{}
	for _, t := range m.moment.Traffic {
		if !seen[t.Zone] {
			seen[t.Zone] = true
			zones = append(zones, t.Zone)
		}
	}
	return zones
}

func (m Model) drawNodes() []string {
	widths := []int{0, 10, 10, -4, -4, -5, -7, -6, -5}
	nodes := m.nodes()
	head := m.row(widths, "NODE by "+nodeOrders[m.sort[1]%len(nodeOrders)], "ZONE", "STATE", "WARM", "UTIL", "QUEUE", "TRIES/S", "ERR/S", "SEND")
	return m.list(" "+head, len(nodes), func(i int) string {
		n := nodes[i]
		state := n.State
		if len(n.FailingClasses) > 0 {
			state = "fails " + strings.Join(n.FailingClasses, ",")
		} else if n.Withheld {
			state = "sick"
		}
		return m.row(widths, string(n.Endpoint), string(n.Zone), state, fmt.Sprintf("%.2f", n.WarmUpProgress), fmt.Sprintf("%.2f", n.Utilization), fmt.Sprintf("%.1f", n.Queue),
			fmt.Sprintf("%.1f", n.Attempts), fmt.Sprintf("%.1f", n.Failures), fmt.Sprint(n.Senders))
	})
}

func (m Model) drawGateways() []string {
	widths := []int{0, 10, 6, 14, -4, -5, -7, -5, 8}
	gateways := m.gateways()
	head := m.row(widths, "GATEWAY by "+gatewayOrders[m.sort[2]%len(gatewayOrders)], "ZONE", "LINK", "CONFIRMED", "WAIT", "LAG", "REQS/S", "LINES", "LEVEL")
	return m.list(" "+head, len(gateways), func(i int) string {
		g := gateways[i]
		link, lag := "joined", "-"
		if !g.Connected {
			link = "away"
		}
		if g.Unacknowledged > 0 {
			lag = length(g.OldestUnacknowledged)
		}
		return m.row(widths, string(g.Gateway), string(g.Zone), link, g.Version, fmt.Sprint(g.Unacknowledged), lag, fmt.Sprintf("%.1f", g.Demand), fmt.Sprint(g.OpenEndpoints), g.Level)
	})
}

func (m Model) drawLevels() (out []string) {
	add := func(format string, args ...any) { out = append(out, fit(fmt.Sprintf(format, args...), m.width)) }
	l := m.moment.Levels
	if len(l.Scopes) == 0 {
		add("no levels of service are named")
	}
	for _, s := range l.Scopes {
		scope := string(s.Zone)
		if scope == "" {
			scope = "fleet"
		}
		since := ""
		if s.Since > 0 {
			since = " for " + length(m.moment.Now-s.Since)
		}
		add("%s: %s%s  %s", scope, s.Name, since, s.Reason)
		for _, e := range s.EndConditions {
			add("    %s", e)
		}
	}
	for _, w := range l.Overrides {
		add("word %d: %s %s in %q for another %s: %s", w.ID, w.Action, l.Levels[min(w.Level, len(l.Levels)-1)], w.Zone, length(w.Until-m.moment.Now), w.Reason)
	}
	add("")
	if s := m.moment.Solver; s != nil {
		add("solver: acting %t, %d tables, largest load over a limit %.2f %s", s.Active, s.Tables, s.WorstUtilization, s.WorstEndpoint)
		for _, f := range s.Failing {
			add("    fails: %s", f)
		}
	}
	in := m.moment.Sampling
	add("intake: %d reports, part %.2f of calm lines, %d gateways report, %d have stopped, %.2f heard", in.Reports, in.SampledFraction, in.Reporting, in.Silent, in.ReportsPerGateway)
	add("channel: %.0f lines on their way of %.0f; %d pins", m.moment.LinesInFlight, m.moment.LineLimit, m.moment.Pins)
	return out
}

func (m Model) drawLog() []string {
	log := m.log()
	widths := []int{9, 5, 18, 0}
	return m.list(" "+m.row(widths, "AGO", "", "EVENT", "TEXT"), len(log), func(i int) string {
		r := log[i]
		text := r.Text
		if r.Subject != "" {
			text = r.Subject + ": " + text
		}
		return m.row(widths, length(m.moment.Now-r.At), r.Level, r.Event, text)
	})
}

// explain says of one node or gateway what is known.
func (m Model) explain() (out []string) {
	add := func(format string, args ...any) { out = append(out, fit(fmt.Sprintf(format, args...), m.width)) }
	for _, n := range m.moment.Endpoints {
		if string(n.Endpoint) != m.why {
			continue
		}
		add("node %s in %s", n.Endpoint, n.Zone)
		add("%s for %s: %s", n.State, length(m.moment.Now-n.Since), n.Reason)
		add("warmth %.2f, can do about %.1f reqs a second", n.WarmUpProgress, n.Capacity)
		if n.LastReport > 0 {
			add("%.1f tries a second (give or take %.1f), %.1f errored, util %.2f, queue %.1f, heard %s ago", n.Attempts, n.AttemptsError, n.Failures, n.Utilization, n.Queue,
				length(m.moment.Now-n.LastReport))
		} else {
			add("nothing was heard of it")
		}
		add("%d gateways may send to it", n.Senders)
		if len(n.FailingClasses) > 0 {
			add("it is kept from %s", strings.Join(n.FailingClasses, ", "))
		}
		if n.Withheld {
			add("the decision module keeps all from it: sick")
		}
	}
	for _, g := range m.moment.Gateways {
		if string(g.Gateway) != m.why {
			continue
		}
		add("gateway %s in %s, joined %t, last word %s ago", g.Gateway, g.Zone, g.Connected, length(m.moment.Now-g.LastReport))
		add("holds %s, %d messages on their way, the first for %s", g.Version, g.Unacknowledged, length(g.OldestUnacknowledged))
		add("%.1f reqs a second come to it, %d open lines, level %s", g.Demand, g.OpenEndpoints, g.Level)
	}
	add("")
	for _, r := range m.moment.Log {
		if r.Subject == m.why || strings.Contains(r.Text, m.why) {
			add("%s ago  %s  %s", length(m.moment.Now-r.At), r.Event, r.Text)
		}
	}
	return out
}

// length is a length of time in few letters.
func length(d policyapi.Microseconds) string {
	t := time.Duration(d) * time.Microsecond
	switch {
	case t < 0:
		return "0s"
	case t < 10*time.Second:
		return fmt.Sprintf("%.1fs", t.Seconds())
	case t < time.Hour:
		return t.Round(time.Second).String()
	default:
		return t.Round(time.Minute).String()
	}
}
