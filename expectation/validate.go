package expectation

import (
	"fmt"
	"slices"
	"strings"

	"porthub/policyapi"
)

// Limits on the length and the fleet of an expectation.
const (
	minLength    = 3 * second
	maxLength    = 3600 * second
	maxEndpoints = 5000
	maxGateways  = 20000
	maxLoad      = 10 // as a multiple of the capacity
)

// Finding is a problem in an expectation file, with a remedy.
type Finding struct {
	Line    int
	Problem string
	Remedy  string
}

// KnownNames lists the zones, request classes and degradation levels that expectations may name.
type KnownNames struct {
	Zones   []policyapi.Zone
	Classes []string
	Levels  []string
}

// checker collects findings.
type checker struct {
	names    KnownNames
	findings []Finding
}

func (c *checker) report(line int, remedy, problem string, args ...any) {
	c.findings = append(c.findings, Finding{Line: line, Problem: fmt.Sprintf(problem, args...), Remedy: remedy})
}

// Check returns the problems of a suite: invalid values, names that are not known, expectations without assertions, and
// assertions that contradict one another.
func (s Suite) Check(names KnownNames) []Finding {
	c := &checker{names: names}
	lines := map[string]int{} // by name
	for _, e := range s.Expectations {
		first, duplicate := lines[e.Name]
		if e.Name == "" || duplicate {
			c.report(e.Line, "give each expectation a unique name", "the name %q is empty or also used at line %d", e.Name, first)
		}
		lines[e.Name] = e.Line
		c.checkExpectation(e)
	}
	for _, pair := range s.conflicts() {
		a, b := pair[0], pair[1]
		c.report(b.Line, "change one of them", "%s (line %d) and %s (line %d) can't both hold", a.describe(), a.Line, b.describe(), b.Line)
	}
	return c.findings
}

func (c *checker) checkExpectation(e Expectation) {
	if e.Length < minLength || e.Length > maxLength {
		c.report(e.Line, "the length must be 3 s to 1 h", "%s lasts %.0f s", e.Name, seconds(e.Length))
	}
	if !e.Fleet.valid() {
		c.report(e.Line, "it must have 1 to 5000 endpoints, 1 to 20000 gateways and a load above 0 and at most 10, each range from low to high",
			"%s: its fleet is %v", e.Name, e.Fleet)
	}
	if len(e.Assertions) == 0 {
		c.report(e.Line, "add at least one", "%s has no assertions", e.Name)
	}
	for _, event := range e.Events {
		c.checkEvent(e, event)
	}
	for _, assertion := range e.Assertions {
		c.checkAssertion(assertion)
	}
}

func (f Fleet) valid() bool {
	endpoints := f.Endpoints.From >= 1 && f.Endpoints.To <= maxEndpoints && f.Endpoints.From <= f.Endpoints.To
	gateways := f.Gateways.From >= 1 && f.Gateways.To <= maxGateways && f.Gateways.From <= f.Gateways.To
	load := f.Load.From > 0 && f.Load.To <= maxLoad && f.Load.From <= f.Load.To
	return endpoints && gateways && load
}

func (c *checker) checkEvent(e Expectation, event Event) {
	switch {
	case !slices.Contains(Actions, event.Action):
		c.report(event.Line, "it must be one of "+strings.Join(Actions, ", "), "the event's action is %q", event.Action)
	case event.At < 0 || event.At > e.Length:
		c.report(event.Line, "it must be from 0 s to the length of the expectation", "the event's time is %.1f s", seconds(event.At))
	case !c.hasZone(event.Zone):
		c.report(event.Line, fmt.Sprintf("it must be one of %v", c.names.Zones), "the event's zone is %q", event.Zone)
	case !c.hasClass(event.Class):
		c.report(event.Line, fmt.Sprintf("it must be one of %v", c.names.Classes), "the event's request class is %q", event.Class)
	case event.Fraction < 0 || event.Fraction > 1:
		c.report(event.Line, "it must be from 0 to 1", "the event's part of the endpoints or gateways is %v", event.Fraction)
	case event.Action == ScaleLoad && !(event.LoadFactor > 0):
		c.report(event.Line, "it must be above 0", "the event's size, the multiple of the load, is %v", event.LoadFactor)
	}
}

func (c *checker) checkAssertion(t Assertion) {
	level := t.EnteredLevel + t.AvoidedLevel // one is empty
	switch {
	case t.conditionCount() != 1:
		c.report(t.Line, "it must have exactly one", "the assertion has %d conditions", t.conditionCount())
	case !c.hasClass(t.Class):
		c.report(t.Line, fmt.Sprintf("it must be one of %v", c.names.Classes), "the assertion's request class is %q", t.Class)
	case !c.hasZone(t.Zone):
		c.report(t.Line, fmt.Sprintf("it must be one of %v", c.names.Zones), "the assertion's zone is %q", t.Zone)
	case t.MinZones > len(c.names.Zones):
		c.report(t.Line, fmt.Sprintf("the configuration has only %d", len(c.names.Zones)), "the assertion expects at least %d zones", t.MinZones)
	case level != "" && !slices.Contains(c.names.Levels, level):
		c.report(t.Line, fmt.Sprintf("it must be one of %v", c.names.Levels), "the assertion's level is %q", level)
	case t.To > 0 && t.To <= t.From:
		c.report(t.Line, "to must be later than from", "the assertion applies from %.1f to %.1f s", seconds(t.From), seconds(t.To))
	}
}

// hasZone reports whether a zone is known. The empty zone stands for all zones.
func (c *checker) hasZone(zone policyapi.Zone) bool {
	return zone == "" || slices.Contains(c.names.Zones, zone)
}

// hasClass reports whether a request class is known. The empty class stands for all classes.
func (c *checker) hasClass(class string) bool {
	return class == "" || slices.Contains(c.names.Classes, class)
}

// conflicts returns the pairs of assertions that cannot both hold, within one expectation or in two expectations with the
// same fleet and events.
func (s Suite) conflicts() (pairs [][2]Assertion) {
	for i, a := range s.Expectations {
		for _, b := range s.Expectations[i:] {
			if a.sameScenario(b) {
				pairs = append(pairs, conflictsBetween(a.Assertions, b.Assertions)...)
			}
		}
	}
	return pairs
}

func conflictsBetween(as, bs []Assertion) (pairs [][2]Assertion) {
	for _, a := range as {
		for _, b := range bs {
			if a.overlaps(b) && (a.contradicts(b) || b.contradicts(a) && a.Line < b.Line) {
				pairs = append(pairs, [2]Assertion{a, b})
			}
		}
	}
	return pairs
}

// sameScenario reports whether two expectations have the same fleet and events, apart from the lines of the events.
func (e Expectation) sameScenario(o Expectation) bool {
	return e.Fleet == o.Fleet && slices.EqualFunc(e.Events, o.Events, func(a, b Event) bool {
		a.Line = b.Line
		return a == b
	})
}

// overlaps reports whether there are gateways, classes and times to which both assertions apply.
func (t Assertion) overlaps(o Assertion) bool {
	classes := t.Class == "" || o.Class == "" || t.Class == o.Class
	zones := t.Zone == "" || o.Zone == "" || t.Zone == o.Zone
	return classes && zones && t.From < o.end() && o.From < t.end()
}

// end returns the time until which the assertion applies.
func (t Assertion) end() policyapi.Microseconds {
	if t.To == 0 {
		return 1 << 62
	}
	return t.To
}

// contradicts reports whether two overlapping assertions cannot both hold. It considers only one direction: a lower bound or
// an entered level of t against an upper bound or an avoided level of o.
func (t Assertion) contradicts(o Assertion) bool {
	switch {
	case t.MinEndpoints > 0 && o.MaxEndpoints > 0 && t.MinEndpoints > o.MaxEndpoints:
		return true
	case t.MinZones > 0 && o.MaxEndpoints > 0 && t.MinZones > o.MaxEndpoints:
		return true
	default:
		within := t.From >= o.From && (o.To == 0 || t.To > 0 && t.To <= o.To)
		return t.EnteredLevel != "" && t.EnteredLevel == o.AvoidedLevel && within
	}
}
