package tui

import (
	"fmt"
	"strings"
	"time"

	tea "charm.land/bubbletea/v2"
)

// View returns the screen at the current time.
func (m Model) View() tea.View {
	view := tea.NewView(m.Draw(time.Now()))
	view.AltScreen = true
	return view
}

// Draw returns the screen at a time as text. No information is conveyed by color alone.
func (m Model) Draw(now time.Time) string {
	lines := []string{
		bold.Render(fit(m.title(), m.width)),
		fit(m.tabs(), m.width),
		warn.Render(fit(m.state(now), m.width)),
	}
	if m.hasFrame {
		lines = append(lines, m.body()...)
	}
	bodyEnd := m.height - 1
	if len(lines) > bodyEnd {
		lines = lines[:bodyEnd]
	}
	for len(lines) < bodyEnd {
		lines = append(lines, "")
	}
	return strings.Join(append(lines, fit(m.help(), m.width)), "\n")
}

func (m Model) title() string {
	title := "porthub  " + m.source.Name()
	if m.hasFrame {
		title += fmt.Sprintf("  up %s  %d endpoints  %d gateways", age(m.frame.Now-m.frame.StartedAt), len(m.frame.Endpoints), len(m.frame.Gateways))
	}
	return title
}

func (m Model) tabs() string {
	var tabs strings.Builder
	for i, name := range screenNames {
		if screen(i) == m.screen {
			name = "[" + name + "]"
		}
		fmt.Fprintf(&tabs, "%d %s  ", i+1, name)
	}
	if m.filter != "" || m.editingFilter {
		tabs.WriteString("/" + m.filter)
	}
	if m.editingFilter {
		tabs.WriteString("_")
	}
	return tabs.String()
}

func (m Model) state(now time.Time) string {
	switch {
	case m.err != nil && m.hasFrame:
		return fmt.Sprintf("NO ANSWER for %s: %v", now.Sub(m.receivedAt).Round(time.Second), m.err)
	case m.err != nil:
		return fmt.Sprintf("NO ANSWER: %v", m.err)
	case !m.hasFrame:
		return "connecting"
	case m.paused:
		return "paused: space resumes"
	default:
		return ""
	}
}

func (m Model) help() string {
	help := "1-5 screen  / filter  s sort  enter details  space pause  q quit"
	if m.source.Seek(0) {
		return "left/right 1 s  shift 10 s  " + help
	}
	return help
}

func (m Model) body() []string {
	if m.detail != "" {
		return m.drawDetail()
	}
	switch m.screen {
	case screenEndpoints:
		return m.drawEndpoints()
	case screenGateways:
		return m.drawGateways()
	case screenLevels:
		return m.drawLevels()
	case screenLog:
		return m.drawLog()
	default:
		return m.drawFleet()
	}
}
