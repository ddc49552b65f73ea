package tui

import tea "charm.land/bubbletea/v2"

// seekSteps contains the number of seconds by which each key moves through a capture.
var seekSteps = map[string]int{"left": -1, "right": 1, "shift+left": -10, "shift+right": 10}

// handleFilterKey handles a key while the filter is edited.
func (m Model) handleFilterKey(key tea.KeyPressMsg) (tea.Model, tea.Cmd) {
	switch key.String() {
	case "ctrl+c":
		return m, tea.Quit
	case "enter":
		m.editingFilter = false
	case "esc":
		m.editingFilter = false
		m.filter = ""
	case "backspace":
		if runes := []rune(m.filter); len(runes) > 0 {
			m.filter = string(runes[:len(runes)-1])
		}
	default:
		m.filter += key.Text
	}
	list := &m.lists[m.screen]
	list.firstRow = 0
	list.selected = 0
	return m, nil
}

// handleKey handles a key while the filter is not edited.
func (m Model) handleKey(key tea.KeyPressMsg) (tea.Model, tea.Cmd) {
	text := key.String()
	if step, ok := seekSteps[text]; ok {
		if m.source.Seek(step) {
			return m, m.fetchOnce()
		}
		return m.scrolled(), nil
	}
	switch text {
	case "q", "ctrl+c":
		return m, tea.Quit
	case "1", "2", "3", "4", "5":
		m = m.show(screen(text[0] - '1'))
	case "tab":
		m = m.show((m.screen + 1) % screenCount)
	case "/":
		m.editingFilter = true
		m.detail = ""
	case "esc":
		m = m.back()
	case "s":
		m.lists[m.screen].order++
	case "space", " ":
		m.paused = !m.paused
	case "enter":
		if name := m.selectedName(); name != "" {
			m.detail = name
		}
	default:
		m = m.moveSelection(text)
	}
	return m.scrolled(), nil
}

func (m Model) show(s screen) Model {
	m.screen = s
	m.detail = ""
	return m
}

// back closes the details. If none are shown, it clears the filter.
func (m Model) back() Model {
	if m.detail == "" {
		m.filter = ""
	}
	m.detail = ""
	return m
}

func (m Model) moveSelection(key string) Model {
	list := &m.lists[m.screen]
	switch key {
	case "down", "j":
		list.selected++
	case "up", "k":
		list.selected = max(0, list.selected-1)
	case "pgdown":
		list.selected += m.visibleRows()
	case "pgup":
		list.selected = max(0, list.selected-m.visibleRows())
	}
	return m
}

// scrolled returns the model with the selected row within the list and visible on the screen.
func (m Model) scrolled() Model {
	list := &m.lists[m.screen]
	list.selected = max(0, min(list.selected, m.listLength()-1))
	list.firstRow = min(max(0, list.firstRow), list.selected)
	if list.selected >= list.firstRow+m.visibleRows() {
		list.firstRow = list.selected - m.visibleRows() + 1
	}
	return m
}

// frameLines is the number of lines around a list: title, tabs, state, column heads and help.
const frameLines = 5

// visibleRows returns the number of rows of a list that fit on the screen.
func (m Model) visibleRows() int { return max(1, m.height-frameLines) }
