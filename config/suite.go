package config

import (
	"fmt"
	"os"
	"slices"

	"porthub/expectation"
	"porthub/policyapi"
)

// Suite is a file of expectations, JSON with comments.
type Suite struct {
	Expect []Expectation `json:"expect"`
}

// Expectation is one of them; docs/expectations.md says what each key means.
type Expectation struct {
	Name   string    `json:"name"`
	Cases  int       `json:"cases"`
	Seed   int       `json:"seed"`
	Length Duration  `json:"length"`
	Fleet  FleetOf   `json:"fleet"`
	Course []EventOf `json:"course"`
	That   []ThatOf  `json:"that"`
}

func (e *Expectation) defaults() {
	*e = Expectation{Cases: 1, Seed: 1, Length: 20_000_000, Fleet: FleetOf{Nodes: []float64{18}, Gateways: []float64{15}, Load: []float64{0.5}, Spread: 0.5,
		Transit: 100_000, ListLate: 1_500_000}}
}

// FleetOf is the fleet that cases begin with. A list of two numbers is drawn from, both included.
type FleetOf struct {
	Nodes    []float64 `json:"nodes"`
	Gateways []float64 `json:"gateways"`
	Load     []float64 `json:"load"`
	Spread   float64   `json:"spread"`
	Transit  Duration  `json:"transit"`
	ListLate Duration  `json:"list_late"`
}

// EventOf is one event of a course.
type EventOf struct {
	At   Duration `json:"at"`
	What string   `json:"what"`
	Zone string   `json:"zone"`
	Part float64  `json:"part"`
	Kind string   `json:"kind"`
	Size float64  `json:"size"`
}

// ThatOf is one thing that must hold.
type ThatOf struct {
	Kind string   `json:"kind"`
	Zone string   `json:"zone"`
	From Duration `json:"from"`
	To   Duration `json:"to"`

	NeverWithout  Duration `json:"never_without"`
	NodesAtLeast  int      `json:"nodes_at_least"`
	NodesAtMost   int      `json:"nodes_at_most"`
	HallsAtLeast  int      `json:"halls_at_least"`
	LoadAtMost    float64  `json:"load_at_most"`
	ColdAtMost    float64  `json:"cold_at_most"`
	DrainedWithin Duration `json:"drained_within"`
	MessagesMost  int      `json:"messages_at_most"`
	WaitingMost   float64  `json:"waiting_at_most"`
	ServedAtLeast float64  `json:"served_at_least"`
	RepeatAtMost  int      `json:"second_try_at_most"`
	Entered       string   `json:"entered"`
	NotEntered    string   `json:"not_entered"`
}

// Expectations are the same as package expect has them.
func (s Suite) expectations(line func(key string) int) (out expectation.Suite) {
	span := func(v []float64) expectation.Range {
		if len(v) == 0 {
			return expectation.Range{}
		}
		return expectation.Range{From: v[0], To: v[len(v)-1]}
	}
	us := func(d Duration) policyapi.Microseconds { return policyapi.Microseconds(d) }
	for i, e := range s.Expect {
		key := fmt.Sprintf("expect[%d]", i)
		one := expectation.Expectation{Name: e.Name, Cases: e.Cases, Seed: uint64(e.Seed), Length: us(e.Length), Line: line(key), Fleet: expectation.Fleet{Nodes: span(e.Fleet.Nodes),
			Gateways: span(e.Fleet.Gateways), Load: span(e.Fleet.Load), Spread: e.Fleet.Spread, Transit: us(e.Fleet.Transit), ListLate: us(e.Fleet.ListLate)}}
		for j, ev := range e.Course {
			one.Course = append(one.Course, expectation.Event{At: us(ev.At), What: ev.What, Zone: policyapi.Zone(ev.Zone), Part: ev.Part, Kind: ev.Kind, Size: ev.Size,
				Line: line(fmt.Sprintf("%s.course[%d]", key, j))})
		}
		slices.SortStableFunc(one.Course, func(a, b expectation.Event) int { return int(a.At - b.At) })
		for j, t := range e.That {
			one.That = append(one.That, expectation.That{Kind: t.Kind, Zone: policyapi.Zone(t.Zone), From: us(t.From), To: us(t.To), Line: line(fmt.Sprintf("%s.that[%d]", key, j)),
				NeverWithout: us(t.NeverWithout), NodesAtLeast: t.NodesAtLeast, NodesAtMost: t.NodesAtMost, HallsAtLeast: t.HallsAtLeast, LoadAtMost: t.LoadAtMost,
				ColdAtMost: t.ColdAtMost, DrainedWithin: us(t.DrainedWithin), MessagesMost: t.MessagesMost, WaitingMost: t.WaitingMost, ServedAtLeast: t.ServedAtLeast,
				RepeatAtMost: t.RepeatAtMost, Entered: t.Entered, NotEntered: t.NotEntered})
		}
		out.Expect = append(out.Expect, one)
	}
	return out
}

// LoadSuite reads a file of expectations and checks it against a configuration. The error is Findings, or wraps ErrUnreadable.
func LoadSuite(path string, c Config) (expectation.Suite, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return expectation.Suite{}, fmt.Errorf("%s: %w: %v", path, ErrUnreadable, err)
	}
	return ParseSuite(path, text, c)
}

// ParseSuite reads and checks a text; the name of its file stands in findings.
func ParseSuite(file string, text []byte, c Config) (expectation.Suite, error) {
	var s Suite
	d := decoder{file: file, text: text, lines: map[string]int{}}
	d.document(&s)
	if len(d.found) > 0 {
		return expectation.Suite{}, Findings(d.found)
	}
	out := s.expectations(d.lineOf)
	levels, _ := c.ServiceLevels()
	site := expectation.Site{Zones: levels.Zones, Kinds: levels.Classes}
	for _, l := range levels.Levels {
		site.Levels = append(site.Levels, l.Name)
	}
	for _, f := range out.Check(site) {
		d.finding(f.Line, "expect", f.Wrong, f.Right)
	}
	if len(d.found) > 0 {
		return out, Findings(d.found)
	}
	return out, nil
}
