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
	Expectations []Expectation `json:"expect"`
}

// Expectation is one of them; docs/expectations.md says what each key means.
type Expectation struct {
	Name       string          `json:"name"`
	Cases      int             `json:"cases"`
	Seed       int             `json:"seed"`
	Length     Duration        `json:"length"`
	Fleet      ExpectedFleet   `json:"fleet"`
	Events     []ExpectedEvent `json:"course"`
	Assertions []Assertion     `json:"that"`
}

func (e *Expectation) defaults() {
	*e = Expectation{Cases: 1, Seed: 1, Length: 20_000_000, Fleet: ExpectedFleet{Endpoints: []float64{18}, Gateways: []float64{15}, Load: []float64{0.5}, Spread: 0.5,
		Latency: 100_000, ListDelay: 1_500_000}}
}

// ExpectedFleet is the fleet that cases begin with. A list of two numbers is drawn from, both included.
type ExpectedFleet struct {
	Endpoints []float64 `json:"nodes"`
	Gateways  []float64 `json:"gateways"`
	Load      []float64 `json:"load"`
	Spread    float64   `json:"spread"`
	Latency   Duration  `json:"transit"`
	ListDelay Duration  `json:"list_late"`
}

// ExpectedEvent is one event of a course.
type ExpectedEvent struct {
	At         Duration `json:"at"`
	Action     string   `json:"what"`
	Zone       string   `json:"zone"`
	Fraction   float64  `json:"part"`
	Class      string   `json:"kind"`
	LoadFactor float64  `json:"size"`
}

// Assertion is one thing that must hold.
type Assertion struct {
	Class string   `json:"kind"`
	Zone  string   `json:"zone"`
	From  Duration `json:"from"`
	To    Duration `json:"to"`

	MaxEmptyTable   Duration `json:"never_without"`
	MinEndpoints    int      `json:"nodes_at_least"`
	MaxEndpoints    int      `json:"nodes_at_most"`
	MinZones        int      `json:"halls_at_least"`
	MaxUtilization  float64  `json:"load_at_most"`
	MaxWarmUpLoad   float64  `json:"cold_at_most"`
	MaxDrainDelay   Duration `json:"drained_within"`
	MaxMessages     int      `json:"messages_at_most"`
	MaxQueued       float64  `json:"waiting_at_most"`
	MinSuccessRatio float64  `json:"served_at_least"`
	MaxRetryPolicy  int      `json:"second_try_at_most"`
	EnteredLevel    string   `json:"entered"`
	AvoidedLevel    string   `json:"not_entered"`
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
	for i, e := range s.Expectations {
		key := fmt.Sprintf("expect[%d]", i)
		one := expectation.Expectation{Name: e.Name, Cases: e.Cases, Seed: uint64(e.Seed), Length: us(e.Length), Line: line(key), Fleet: expectation.Fleet{Endpoints: span(e.Fleet.Endpoints),
			Gateways: span(e.Fleet.Gateways), Load: span(e.Fleet.Load), Spread: e.Fleet.Spread, Latency: us(e.Fleet.Latency), ListDelay: us(e.Fleet.ListDelay)}}
		for j, ev := range e.Events {
			one.Events = append(one.Events, expectation.Event{At: us(ev.At), Action: ev.Action, Zone: policyapi.Zone(ev.Zone), Fraction: ev.Fraction, Class: ev.Class, LoadFactor: ev.LoadFactor,
				Line: line(fmt.Sprintf("%s.course[%d]", key, j))})
		}
		slices.SortStableFunc(one.Events, func(a, b expectation.Event) int { return int(a.At - b.At) })
		for j, t := range e.Assertions {
			one.Assertions = append(one.Assertions, expectation.Assertion{Class: t.Class, Zone: policyapi.Zone(t.Zone), From: us(t.From), To: us(t.To), Line: line(fmt.Sprintf("%s.that[%d]", key, j)),
				MaxEmptyTable: us(t.MaxEmptyTable), MinEndpoints: t.MinEndpoints, MaxEndpoints: t.MaxEndpoints, MinZones: t.MinZones, MaxUtilization: t.MaxUtilization,
				MaxWarmUpLoad: t.MaxWarmUpLoad, MaxDrainDelay: us(t.MaxDrainDelay), MaxMessages: t.MaxMessages, MaxQueued: t.MaxQueued, MinSuccessRatio: t.MinSuccessRatio,
				MaxRetryPolicy: t.MaxRetryPolicy, EnteredLevel: t.EnteredLevel, AvoidedLevel: t.AvoidedLevel})
		}
		out.Expectations = append(out.Expectations, one)
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
		return expectation.Suite{}, ValidationError(d.found)
	}
	out := s.expectations(d.lineOf)
	levels, _ := c.DegradationSettings()
	site := expectation.Site{Zones: levels.Zones, Classes: levels.Classes}
	for _, l := range levels.Levels {
		site.Levels = append(site.Levels, l.Name)
	}
	for _, f := range out.Check(site) {
		d.finding(f.Line, "expect", f.Problem, f.Remedy)
	}
	if len(d.found) > 0 {
		return out, ValidationError(d.found)
	}
	return out, nil
}
