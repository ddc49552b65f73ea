package config

import (
	"fmt"
	"slices"

	"porthub/expectation"
	"porthub/policyapi"
)

// Suite is the content of an expectation file.
type Suite struct {
	Expectations []Expectation `json:"expect"`
}

// Expectation is one expectation of a suite. docs/expectations.md defines each key.
type Expectation struct {
	Name       string          `json:"name"`
	Cases      int             `json:"cases"`
	Seed       int             `json:"seed"`
	Length     Duration        `json:"length"`
	Fleet      ExpectedFleet   `json:"fleet"`
	Events     []ExpectedEvent `json:"course"`
	Assertions []Assertion     `json:"that"`
}

// setDefaults sets the default values: one case, with a small fleet at half of its capacity.
func (e *Expectation) setDefaults() {
	*e = Expectation{
		Cases:  1,
		Seed:   1,
		Length: 20 * second,
		Fleet: ExpectedFleet{
			Endpoints: []float64{18},
			Gateways:  []float64{15},
			Load:      []float64{0.5},
			Spread:    0.5,
			Latency:   100 * millisecond,
			ListDelay: 1500 * millisecond,
		},
	}
}

// ExpectedFleet describes the fleet at the start of each case. A list of two numbers is a range, both ends included, from
// which each case draws a value.
type ExpectedFleet struct {
	Endpoints []float64 `json:"nodes"`
	Gateways  []float64 `json:"gateways"`
	Load      []float64 `json:"load"`
	Spread    float64   `json:"spread"`
	Latency   Duration  `json:"transit"`
	ListDelay Duration  `json:"list_late"`
}

// ExpectedEvent is one event of an expectation.
type ExpectedEvent struct {
	At         Duration `json:"at"`
	Action     string   `json:"what"`
	Zone       string   `json:"zone"`
	Fraction   float64  `json:"part"`
	Class      string   `json:"kind"`
	LoadFactor float64  `json:"size"`
}

// Assertion is one statement that must hold. Exactly one of its conditions is set. Class, Zone, From and To limit where and
// when it applies.
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

// LoadSuite reads an expectation file and validates it against a configuration. The error is a ValidationError, or wraps
// ErrUnreadable.
func LoadSuite(path string, cfg Config) (expectation.Suite, error) {
	text, err := readFile(path)
	if err != nil {
		return expectation.Suite{}, err
	}
	return ParseSuite(path, text, cfg)
}

// ParseSuite reads and validates the text of an expectation file. The findings contain the file name given.
func ParseSuite(file string, text []byte, cfg Config) (expectation.Suite, error) {
	var decoded Suite
	d := newDecoder(file, text)
	d.document(&decoded)
	if err := d.err(); err != nil {
		return expectation.Suite{}, err
	}
	suite := decoded.suite(d.lineOf)
	for _, f := range suite.Check(cfg.knownNames()) {
		d.report(f.Line, "expect", f.Problem, f.Remedy)
	}
	return suite, d.err()
}

// knownNames returns the names of zones, classes and levels that expectations may refer to.
func (c Config) knownNames() expectation.KnownNames {
	settings, _ := c.DegradationSettings()
	names := expectation.KnownNames{Zones: settings.Zones, Classes: settings.Classes}
	for _, level := range settings.Levels {
		names.Levels = append(names.Levels, level.Name)
	}
	return names
}

// suite converts the suite to the type of package expectation. lineOf returns the line of a key.
func (s Suite) suite(lineOf func(key string) int) (suite expectation.Suite) {
	for i, e := range s.Expectations {
		suite.Expectations = append(suite.Expectations, e.expectation(fmt.Sprintf("expect[%d]", i), lineOf))
	}
	return suite
}

func (e *Expectation) expectation(key string, lineOf func(key string) int) expectation.Expectation {
	converted := expectation.Expectation{
		Name:   e.Name,
		Cases:  e.Cases,
		Seed:   uint64(e.Seed),
		Length: e.Length.microseconds(),
		Line:   lineOf(key),
		Fleet: expectation.Fleet{
			Endpoints: rangeOf(e.Fleet.Endpoints),
			Gateways:  rangeOf(e.Fleet.Gateways),
			Load:      rangeOf(e.Fleet.Load),
			Spread:    e.Fleet.Spread,
			Latency:   e.Fleet.Latency.microseconds(),
			ListDelay: e.Fleet.ListDelay.microseconds(),
		},
	}
	for i, event := range e.Events {
		converted.Events = append(converted.Events, event.event(lineOf(fmt.Sprintf("%s.course[%d]", key, i))))
	}
	slices.SortStableFunc(converted.Events, func(a, b expectation.Event) int { return int(a.At - b.At) })
	for i, assertion := range e.Assertions {
		line := lineOf(fmt.Sprintf("%s.that[%d]", key, i))
		converted.Assertions = append(converted.Assertions, assertion.assertion(line))
	}
	return converted
}

// rangeOf returns the range from the first to the last number.
func rangeOf(numbers []float64) expectation.Range {
	if len(numbers) == 0 {
		return expectation.Range{}
	}
	return expectation.Range{From: numbers[0], To: numbers[len(numbers)-1]}
}

func (e ExpectedEvent) event(line int) expectation.Event {
	return expectation.Event{
		At:         e.At.microseconds(),
		Action:     e.Action,
		Zone:       policyapi.Zone(e.Zone),
		Fraction:   e.Fraction,
		Class:      e.Class,
		LoadFactor: e.LoadFactor,
		Line:       line,
	}
}

func (a Assertion) assertion(line int) expectation.Assertion {
	return expectation.Assertion{
		Class: a.Class,
		Zone:  policyapi.Zone(a.Zone),
		From:  a.From.microseconds(),
		To:    a.To.microseconds(),
		Line:  line,

		MaxEmptyTable:   a.MaxEmptyTable.microseconds(),
		MinEndpoints:    a.MinEndpoints,
		MaxEndpoints:    a.MaxEndpoints,
		MinZones:        a.MinZones,
		MaxUtilization:  a.MaxUtilization,
		MaxWarmUpLoad:   a.MaxWarmUpLoad,
		MaxDrainDelay:   a.MaxDrainDelay.microseconds(),
		MaxMessages:     a.MaxMessages,
		MaxQueued:       a.MaxQueued,
		MinSuccessRatio: a.MinSuccessRatio,
		MaxRetryPolicy:  a.MaxRetryPolicy,
		EnteredLevel:    a.EnteredLevel,
		AvoidedLevel:    a.AvoidedLevel,
	}
}
