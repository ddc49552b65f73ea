package tui

import (
	"fmt"
	"strings"
	"time"

	"charm.land/lipgloss/v2"
	"github.com/charmbracelet/x/ansi"

	"porthub/policyapi"
)

var (
	bold    = lipgloss.NewStyle().Bold(true)
	reverse = lipgloss.NewStyle().Reverse(true)
	warn    = lipgloss.NewStyle().Foreground(lipgloss.Yellow)
)

// minFlexibleWidth is the minimum width of a column that takes the rest of the line.
const minFlexibleWidth = 8

// fit truncates or pads a text to a width in cells. It replaces control characters by dots.
func fit(text string, width int) string {
	text = strings.Map(func(r rune) rune {
		if isControl(r) {
			return '.'
		}
		return r
	}, text)
	if ansi.StringWidth(text) > width {
		return ansi.Truncate(text, width, "…")
	}
	return text + strings.Repeat(" ", width-ansi.StringWidth(text))
}

// isControl reports whether a rune is a C0 or C1 control character.
func isControl(r rune) bool {
	return r < ' ' || r == 0x7f || r >= 0x80 && r < 0xa0
}

// row lays out cells in columns, on a line one cell narrower than the screen. A column of width 0 takes the rest of the line; a
// column of negative width is right-aligned.
func (m Model) row(widths []int, cells ...string) string {
	rest := m.width - 1
	for _, width := range widths {
		rest -= max(width, -width) + 1
	}
	columns := make([]string, len(cells))
	for i, cell := range cells {
		columns[i] = column(cell, widths[i], rest)
	}
	return fit(strings.Join(columns, " "), m.width-1)
}

func column(cell string, width, rest int) string {
	switch {
	case width == 0:
		return fit(cell, max(minFlexibleWidth, rest+1)) // rest allows for a space after each column, but the last one has none
	case width < 0:
		padding := max(0, -width-ansi.StringWidth(cell))
		return fit(strings.Repeat(" ", padding)+cell, -width)
	default:
		return fit(cell, width)
	}
}

// drawList draws the visible rows of a list, with the selected one marked.
func (m Model) drawList(head string, length int, row func(i int) string) []string {
	lines := []string{bold.Render(head)}
	state := m.scrolled().lists[m.screen]
	for i := state.firstRow; i < min(length, state.firstRow+m.visibleRows()); i++ {
		text := fit(row(i), m.width-1)
		if i == state.selected {
			lines = append(lines, reverse.Render(">"+text))
		} else {
			lines = append(lines, " "+text)
		}
	}
	return lines
}

// textBlock collects lines of the screen's width.
type textBlock struct {
	width int
	lines []string
}

func (b *textBlock) addf(format string, args ...any) {
	b.lines = append(b.lines, fit(fmt.Sprintf(format, args...), b.width))
}

// age formats a duration in a few characters.
func age(d policyapi.Microseconds) string {
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
