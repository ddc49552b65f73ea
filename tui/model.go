package tui

import (
	"time"

	tea "charm.land/bubbletea/v2"

	"porthub/coordinator"
)

type (
	// Frame is the state of the fleet at one moment, with the last log records.
	Frame = coordinator.LoggedOverview
	// Record is one record of a frame's log.
	Record = coordinator.LogRecord
)

// Source provides the frames of a running coordinator or of a capture.
type Source interface {
	// Fetch returns the frame to show, or an error if there is none.
	Fetch() (Frame, error)
	// Seek moves the position in a capture by a number of seconds. It returns false if the source is live.
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
	order    int // index of the sort order, modulo the number of orders
	firstRow int // first visible row
	selected int
}

// The size of the screen until that of the terminal is known, and the smallest size that is drawn.
const (
	defaultWidth  = 80
	defaultHeight = 24
	minWidth      = 40
	minHeight     = 10
)

// Model is the state of the view. Update returns the next state.
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
	receivedAt time.Time // when the frame was received
	err        error     // error of the last fetch
}

// New returns a model that fetches a frame from the source after each interval.
func New(source Source, interval time.Duration) Model {
	return Model{source: source, interval: interval, width: defaultWidth, height: defaultHeight}
}

// frameMsg is the result of a periodic fetch.
type frameMsg struct {
	frame Frame
	err   error
	at    time.Time
}

// seekMsg is the result of a fetch after a seek, which is in addition to the periodic ones.
type seekMsg struct{ frameMsg }

// tickMsg signals that the next periodic fetch is due.
type tickMsg struct{}

// Init starts the periodic fetches.
func (m Model) Init() tea.Cmd { return m.fetch() }

func (m Model) fetch() tea.Cmd {
	source := m.source
	return func() tea.Msg { return fetchFrom(source) }
}

// fetchOnce fetches a frame without scheduling another periodic fetch.
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

// Update handles a message. It returns the next state and the command to run, if any.
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

// received returns the model with the result of a fetch. If the fetch failed, the previous frame is kept.
func (m Model) received(msg frameMsg) Model {
	m.err = msg.err
	if msg.err == nil {
		m.frame = msg.frame
		m.hasFrame = true
		m.receivedAt = msg.at
	}
	return m
}
