package tui

import (
	"cmp"
	"slices"
	"strings"
	"time"

	tea "charm.land/bubbletea/v2"

	"porthub/coordinator"
)

// LoggedOverview is what is looked at, and Record one record of its log.
type (
	Frame  = coordinator.LoggedOverview
	Record = coordinator.LogRecord
)

// Source gives moments: a coordinator's now, or a capture's.
type Source interface {
	// Look gives the moment to be shown, and an error when there is none now.
	Look() (Frame, error)
	// Move goes so many seconds on or back; false: it always shows now.
	Move(seconds int) bool
	Name() string
}

// Screens are the model's.
var screens = []string{"fleet", "nodes", "gateways", "levels", "log"}

// Model is the screen's state. Only Update changes it.
type Model struct {
	source Source
	every  time.Duration
	width  int
	height int
	screen int
	moment Frame
	has    bool
	err    error
	since  time.Time // of the last good moment
	sort   [5]int    // column, by screen
	from   [5]int    // first row, by screen
	at     [5]int    // chosen row
	filter string
	typing bool
	why    string // node or gateway that is looked at; empty: none
	paused bool
}

// New starts a model on a source that is looked at this often.
func New(source Source, every time.Duration) Model {
	return Model{source: source, every: every, width: 80, height: 24}
}

type looked struct {
	moment Frame
	err    error
	at     time.Time
}

type due struct{}

// Init looks for the first time.
func (m Model) Init() tea.Cmd { return m.look() }

func (m Model) look() tea.Cmd {
	source := m.source
	return func() tea.Msg {
		moment, err := source.Look()
		return looked{moment, err, time.Now()}
	}
}

// Update takes a message in.
func (m Model) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case tea.WindowSizeMsg:
		m.width, m.height = max(40, msg.Width), max(10, msg.Height)
	case looked:
		if m.err = msg.err; msg.err == nil {
			m.moment, m.has, m.since = msg.moment, true, msg.at
		}
		return m, tea.Tick(m.every, func(time.Time) tea.Msg { return due{} })
	case moved:
		if m.err = msg.err; msg.err == nil {
			m.moment, m.has, m.since = msg.moment, true, msg.at
		}
	case due:
		if m.paused {
			return m, tea.Tick(m.every, func(time.Time) tea.Msg { return due{} })
		}
		return m, m.look()
	case tea.KeyPressMsg:
		return m.key(msg)
	}
	return m, nil
}

func (m Model) key(k tea.KeyPressMsg) (tea.Model, tea.Cmd) {
	text := k.String()
	if m.typing {
		switch text {
		case "enter":
			m.typing = false
		case "esc":
			m.typing, m.filter = false, ""
		case "backspace":
			if r := []rune(m.filter); len(r) > 0 {
				m.filter = string(r[:len(r)-1])
			}
		case "ctrl+c":
			return m, tea.Quit
		default:
			m.filter += k.Text
		}
		m.from[m.screen], m.at[m.screen] = 0, 0
		return m, nil
	}
	switch text {
	case "q", "ctrl+c":
		return m, tea.Quit
	case "1", "2", "3", "4", "5":
		m.screen, m.why = int(text[0]-'1'), ""
	case "tab":
		m.screen, m.why = (m.screen+1)%len(screens), ""
	case "/":
		m.typing, m.why = true, ""
	case "esc":
		if m.why == "" {
			m.filter = ""
		}
		m.why = ""
	case "s":
		m.sort[m.screen]++
	case "space", " ":
		m.paused = !m.paused
	case "enter":
		if row := m.chosen(); row != "" {
			m.why = row
		}
	case "down", "j":
		m.at[m.screen]++
	case "up", "k":
		m.at[m.screen] = max(0, m.at[m.screen]-1)
	case "pgdown":
		m.at[m.screen] += m.rows()
	case "pgup":
		m.at[m.screen] = max(0, m.at[m.screen]-m.rows())
	case "left", "right", "shift+left", "shift+right":
		step := map[string]int{"left": -1, "right": 1, "shift+left": -10, "shift+right": 10}[text]
		if m.source.Move(step) {
			return m, m.lookOnce()
		}
	}
	m = m.scrolled()
	return m, nil
}

// lookOnce looks without beginning another round of looking.
func (m Model) lookOnce() tea.Cmd {
	source := m.source
	return func() tea.Msg {
		moment, err := source.Look()
		return moved{looked{moment, err, time.Now()}}
	}
}

type moved struct{ looked }

// scrolled keeps the chosen row within the list and on the screen.
func (m Model) scrolled() Model {
	n := m.length()
	at := max(0, min(m.at[m.screen], n-1))
	from := min(max(0, m.from[m.screen]), at)
	if at >= from+m.rows() {
		from = at - m.rows() + 1
	}
	m.at[m.screen], m.from[m.screen] = at, from
	return m
}

// rows is how many rows of a list have room.
func (m Model) rows() int { return max(1, m.height-5) }

func (m Model) length() int {
	switch screens[m.screen] {
	case "nodes":
		return len(m.nodes())
	case "gateways":
		return len(m.gateways())
	case "log":
		return len(m.log())
	}
	return 0
}

// chosen is the name in the chosen row.
func (m Model) chosen() string {
	i := m.at[m.screen]
	switch screens[m.screen] {
	case "nodes":
		if nodes := m.nodes(); i < len(nodes) {
			return string(nodes[i].Endpoint)
		}
	case "gateways":
		if gateways := m.gateways(); i < len(gateways) {
			return string(gateways[i].Gateway)
		}
	}
	return ""
}

func (m Model) matches(texts ...string) bool {
	if m.filter == "" {
		return true
	}
	return strings.Contains(strings.ToLower(strings.Join(texts, " ")), strings.ToLower(m.filter))
}

// nodes are those that match, in order: by name, load, errors, or what is not as usual first.
func (m Model) nodes() (out []coordinator.EndpointOverview) {
	for _, n := range m.moment.Endpoints {
		if m.matches(string(n.Endpoint), string(n.Zone), n.State, strings.Join(n.FailingClasses, " ")) {
			out = append(out, n)
		}
	}
	slices.SortStableFunc(out, func(a, b coordinator.EndpointOverview) int {
		switch nodeOrders[m.sort[1]%len(nodeOrders)] {
		case "util":
			return cmp.Compare(b.Utilization, a.Utilization)
		case "errors":
			return cmp.Compare(b.Failures, a.Failures)
		case "state":
			return cmp.Compare(odd(b), odd(a))
		}
		return cmp.Compare(a.Endpoint, b.Endpoint)
	})
	return out
}

var (
	nodeOrders    = []string{"name", "util", "errors", "state"}
	gatewayOrders = []string{"name", "usage", "lag", "away"}
)

// odd is how far a node is from as it should be.
func odd(n coordinator.EndpointOverview) float64 {
	out := 1 - n.WarmUpProgress + float64(len(n.FailingClasses))
	if n.State != "ready" {
		out += 2
	}
	if n.Withheld {
		out++
	}
	return out
}

func (m Model) gateways() (out []coordinator.GatewayOverview) {
	for _, g := range m.moment.Gateways {
		joined := "joined"
		if !g.Connected {
			joined = "away"
		}
		if m.matches(string(g.Gateway), string(g.Zone), g.Level, joined) {
			out = append(out, g)
		}
	}
	slices.SortStableFunc(out, func(a, b coordinator.GatewayOverview) int {
		switch gatewayOrders[m.sort[2]%len(gatewayOrders)] {
		case "usage":
			return cmp.Compare(b.Demand, a.Demand)
		case "lag":
			return cmp.Compare(b.OldestUnacknowledged, a.OldestUnacknowledged)
		case "away":
			if a.Connected != b.Connected {
				if b.Connected {
					return -1
				}
				return 1
			}
		}
		return cmp.Compare(a.Gateway, b.Gateway)
	})
	return out
}

// log has the newest first.
func (m Model) log() (out []Record) {
	for _, r := range slices.Backward(m.moment.Log) {
		if m.matches(r.Event, r.Text, r.Subject) {
			out = append(out, r)
		}
	}
	return out
}
