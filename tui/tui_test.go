package tui

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	tea "charm.land/bubbletea/v2"
	"github.com/charmbracelet/x/ansi"

	"porthub/coordinator"
	"porthub/degradation"
	"porthub/loadreport"
	"porthub/policyapi"
)

var update = flag.Bool("update", false, "rewrite the recorded screens")

// fixedSource is a source that always returns the same frame, or an error.
type fixedSource struct {
	frame Frame
	err   error
}

func (f *fixedSource) Fetch() (Frame, error) { return f.frame, f.err }
func (f *fixedSource) Seek(int) bool         { return false }
func (f *fixedSource) Name() string          { return "127.0.0.1:7070" }

const second policyapi.Microseconds = 1_000_000

// incidentFrame returns a frame of a fleet in an incident: all endpoints of a zone are gone, an endpoint fails a class, a
// gateway is disconnected, and the fleet is at a degradation level.
func incidentFrame(nodes int) Frame {
	zones := []policyapi.Zone{"hala-a", "hala-b", "hala-ż-北"}
	m := Frame{Overview: coordinator.Overview{Now: 5000 * second, StartedAt: 1000 * second, Build: "test", Classes: []string{"schedule", "save-sim"}, LinesInFlight: 120, LineLimit: 8000,
		Sampling: loadreport.Stats{Reports: 4321, SampledFraction: 0.5, Reporting: 14, Silent: 1, ReportsPerGateway: 0.98}}}
	for i := range nodes {
		n := coordinator.EndpointOverview{Endpoint: policyapi.EndpointID(fmt.Sprintf("10.0.0.%d:8080", i)), Zone: zones[i%3], State: "ready", Since: 1200 * second, WarmUpProgress: 1, Capacity: 20,
			Attempts: float64(i), Utilization: float64(i%10) / 10, Queue: 0.5, LastReport: 4999 * second, Senders: 5}
		switch {
		case i%3 == 1:
			n.State, n.Reason, n.Senders, n.LastReport = "gone", "the file dropped it", 0, 0
		case i == 3:
			n.FailingClasses, n.Failures = []string{"schedule"}, 2.5
		case i == 5:
			n.WarmUpProgress = 0.4
		case i == 6:
			n.Endpoint = "węzeł-o-bardzo-długiej-nazwie-北京市朝阳区-calc\x1b[31m.example:8080"
		}
		m.Endpoints = append(m.Endpoints, n)
	}
	for i := range 15 {
		g := coordinator.GatewayOverview{Gateway: coordinator.Gateway(fmt.Sprintf("gw-%d", i)), Zone: zones[i%3], Connected: i != 4, LastMessageAt: 4999 * second, Version: fmt.Sprintf("k3f.%d", 40+i),
			Demand: float64(3 * i), OpenEndpoints: 18, Level: "tight"}
		if i == 7 {
			g.Unacknowledged, g.OldestUnacknowledged = 2, 1_400_000
		}
		m.Gateways = append(m.Gateways, g)
	}
	for _, z := range zones {
		for _, k := range m.Classes {
			m.Traffic = append(m.Traffic, coordinator.Traffic{Zone: z, Class: k, Demand: 50, Admitted: 40, Endpoints: 12})
		}
	}
	m.Levels = coordinator.DegradationStatus{Now: m.Now, Levels: []string{"usual", "tight"}, Scopes: []degradation.ScopeStatus{{Level: 1, Name: "tight", Since: 4900 * second,
		Reason: "lost 0.33, it is entered at 0.30", EndConditions: []string{"lost is 0.33 and must be at 0.10"}}, {Zone: zones[0], Name: "usual"}},
		Overrides: []degradation.Override{{ID: 2, Action: degradation.ForbidLevel, Level: 1, Until: 5600 * second, Reason: "noon"}}}
	m.Log = []Record{{At: 4900 * second, Level: "warn", Event: "service_level", Text: "the fleet: usual to tight: lost 0.33"},
		{At: 4990 * second, Level: "info", Event: "solver", Text: "10.0.0.3:8080 fails kind schedule", Subject: "10.0.0.3:8080"}}
	return m
}

// pressKeys returns a model that has fetched a frame and handled the keys given.
func pressKeys(source Source, keys ...string) Model {
	var m tea.Model = New(source, time.Second)
	m, _ = m.Update(m.(Model).Init()())
	for _, k := range keys {
		msg := tea.KeyPressMsg{Text: k, Code: []rune(k)[0]}
		for name, code := range map[string]rune{"enter": tea.KeyEnter, "tab": tea.KeyTab, "down": tea.KeyDown, "pgdown": tea.KeyPgDown, "esc": tea.KeyEscape,
			"right": tea.KeyRight, "left": tea.KeyLeft, "backspace": tea.KeyBackspace} {
			if k == name {
				msg = tea.KeyPressMsg{Code: code}
			}
		}
		var cmd tea.Cmd
		if m, cmd = m.Update(msg); cmd != nil {
			m, _ = m.Update(cmd())
		}
	}
	return m.(Model)
}

// Each screen, at 80 columns and 24 lines without color, is equal to the recorded one.
func TestScreens(t *testing.T) {
	for name, keys := range map[string][]string{
		"fleet": nil, "nodes": {"2", "s"}, "node": {"2", "/", "0", ".", "3", ":", "enter", "enter"}, "gateways": {"3", "s", "s", "down"},
		"levels": {"4"}, "log": {"5"}, "filter": {"3", "/", "d", "o", "w", "n"}, "back": {"2", "enter", "tab"}, "scrolled": {"2", "pgdown", "pgdown", "down"},
	} {
		t.Run(name, func(t *testing.T) {
			got := ansi.Strip(pressKeys(&fixedSource{frame: incidentFrame(60)}, keys...).Draw(time.Time{}))
			path := filepath.Join("testdata", name+".txt")
			if *update {
				if err := os.WriteFile(path, []byte(got+"\n"), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if got+"\n" != string(want) {
				t.Errorf("the screen differs from the recorded one:\n%s", got)
			}
		})
	}
}

// At every terminal size, with 1000 endpoints, the screen has as many lines as the terminal, no line is wider than the
// terminal, and the selected row is visible.
func TestEverySize(t *testing.T) {
	source := &fixedSource{frame: incidentFrame(1000)}
	for _, size := range [][2]int{{80, 24}, {40, 10}, {200, 60}, {81, 11}} {
		for _, keys := range [][]string{nil, {"2", "pgdown", "pgdown", "down"}, {"3"}, {"4"}, {"5"}, {"2", "enter"}} {
			m := pressKeys(source, keys...)
			next, _ := m.Update(tea.WindowSizeMsg{Width: size[0], Height: size[1]})
			text := ansi.Strip(next.(Model).Draw(time.Time{}))
			lines := strings.Split(text, "\n")
			if len(lines) != size[1] {
				t.Errorf("size %v, keys %v: the screen has %d lines, want as many as the terminal", size, keys, len(lines))
			}
			for _, l := range lines {
				if ansi.StringWidth(l) > size[0] {
					t.Errorf("size %v, keys %v: a line is %d cells wide, want at most the width of the terminal: %q", size, keys, ansi.StringWidth(l), l)
				}
			}
			if len(keys) > 1 && keys[1] == "pgdown" && !strings.Contains(text, "\n>") {
				t.Errorf("size %v: the selected row is not visible:\n%s", size, text)
			}
		}
	}
}

// When a coordinator stops answering, the last frame stays on the screen, which shows for how long there has been no answer.
func TestUnreachableCoordinator(t *testing.T) {
	source := &fixedSource{frame: incidentFrame(9)}
	var m tea.Model = pressKeys(source)
	source.err = errors.New("connection refused")
	m, _ = m.Update(m.(Model).fetch()())
	text := m.(Model).Draw(m.(Model).receivedAt.Add(42 * time.Second))
	if !strings.Contains(text, "NO ANSWER for 42s: connection refused") || !strings.Contains(text, "hala-a") {
		t.Errorf("want the last frame and the time without an answer, got\n%s", text)
	}
	if text := pressKeys(&fixedSource{err: errors.New("connection refused")}).Draw(time.Time{}); !strings.Contains(text, "NO ANSWER: connection refused") {
		t.Errorf("want the error of the source, got\n%s", text)
	}
	if text := pressKeys(NewLive("127.0.0.1:1")).Draw(time.Time{}); !strings.Contains(text, "NO ANSWER") {
		t.Errorf("want an error for an address without a listener, got\n%s", text)
	}
}

// The arrow keys move through a capture in steps of a second, but not beyond its ends.
func TestRecordedSeek(t *testing.T) {
	r := NewRecorded("capture", []Frame{incidentFrame(3), incidentFrame(6), incidentFrame(9)})
	m := pressKeys(r, "right", "right", "right", "left")
	if text := ansi.Strip(m.Draw(time.Time{})); !strings.Contains(text, "second 2 of 3") || !strings.Contains(text, "6 endpoints") {
		t.Errorf("want the second of three frames, got\n%s", text)
	}
	if text := pressKeys(NewRecorded("empty", nil)).Draw(time.Time{}); !strings.Contains(text, "has no recorded second") {
		t.Errorf("want an error for a capture without frames, got\n%s", text)
	}
}
