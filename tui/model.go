package tui

import (
	"time"

	tea "charm.land/bubbletea/v2"

	"porthub/coordinator"
)

type (
	// Frame is what is shown at one moment.
	Frame = coordinator.LoggedOverview
	// Record is one record of a frame's log.
	Record = coordinator.LogRecord
)

// Source provides frames: of a running coordinator, or of a capture.
type Source interface {
	// Fetch returns the frame to show, or why there is none now.
	Fetch() (Frame, error)
	// Seek moves by seconds. It reports false if the source is live.
	Seek(seconds int) bool
	// Name identifies the source to the operator.
	Name() string
}

// screen is one of the model's views.
type screen int

const (
	screenFleet screen = iota
	screenEndpoints
	screenGateways
	screenLevels
	screenLog
	screenCount
)

var screenNames = [screenCount]string{"fleet", "endpoints", "gateways", "levels", "log"}

// listState is the state of a screen's list.
type listState struct {
	order    int // selects the sort order, modulo their number
	firstRow int // that is visible
	selected int
}

// The terminal's size until it is known, and the smallest that is drawn.
const (
	defaultWidth  = 80
	defaultHeight = 24
	minWidth      = 40
	minHeight     = 10
)

// Model is the state of the view. Only Update changes it.
type Model struct {
	source   Source
	interval time.Duration
	paused   bool

	width  int
	height int
	screen screen
	lists  [screenCount]listState
	detail string // endpoint or gateway whose details are shown; empty: none

	filter        string
	editingFilter bool

	frame      Frame
	hasFrame   bool
	receivedAt time.Time // of the frame
	err        error     // of the last fetch
}

// New returns a model that fetches a frame from the source once an interval.
func New(source Source, interval time.Duration) Model {
	return Model{source: source, interval: interval, width: defaultWidth, height: defaultHeight}
}

// frameMsg is the outcome of a fetch.
type frameMsg struct {
	frame Frame
	err   error
	at    time.Time
}

// seekMsg is the outcome of a fetch after a seek, beside the periodic ones.
type seekMsg struct{ frameMsg }

// tickMsg says that the next periodic fetch is due.
type tickMsg struct{}

// Init starts the periodic fetches.
func (m Model) Init() tea.Cmd { return m.fetch() }

func (m Model) fetch() tea.Cmd {
	source := m.source
	return func() tea.Msg { return fetchFrom(source) }
}

// fetchOnce fetches a frame without starting another period.
func (m Model) fetchOnce() tea.Cmd {
	source := m.source
	return func() tea.Msg { return seekMsg{fetchFrom(source)} }
}

func fetchFrom(source Source) frameMsg {
	frame, err := source.Fetch()
	return frameMsg{frame: frame, err: err, at: time.Now()}
}

func (m Model) scheduleFetch() tea.Cmd {
	return tea.Tick(m.interval, func(time.Time) tea.Msg { return tickMsg{} })
}

// Update handles a message.
func (m Model) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case tea.WindowSizeMsg:
		m.width = max(minWidth, msg.Width)
		m.height = max(minHeight, msg.Height)
	case frameMsg:
		return m.received(msg), m.scheduleFetch()
	case seekMsg:
		return m.received(msg.frameMsg), nil
	case tickMsg:
		if m.paused {
			return m, m.scheduleFetch()
		}
		return m, m.fetch()
	case tea.KeyPressMsg:
		if m.editingFilter {
			return m.handleFilterKey(msg)
		}
		return m.handleKey(msg)
	}
	return m, nil
}

// received takes the outcome of a fetch. After a failure the last frame stays.
func (m Model) received(msg frameMsg) Model {
	m.err = msg.err
	if msg.err == nil {
		m.frame = msg.frame
		m.hasFrame = true
		m.receivedAt = msg.at
	}
	return m
}
