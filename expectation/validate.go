package expectation

import (
	"fmt"
	"slices"
	"strings"

	"porthub/policyapi"
)

// Bounds of what a case may be.
const (
	minLength    = 3 * second
	maxLength    = 3600 * second
	maxEndpoints = 5000
	maxGateways  = 20000
	maxLoad      = 10 // times the capacity
)

// Finding is a problem of an expectation itself.
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

// Check finds expectations that name what does not exist, assert nothing, or contradict one another.
func (s Suite) Check(names KnownNames) []Finding {
	c := &checker{names: names}
	lines := map[string]int{} // by name
	for _, e := range s.Expectations {
		first, duplicate := lines[e.Name]
		if e.Name == "" || duplicate {
			c.report(e.Line, "give each a unique name", "the name %q is empty or also used at line %d", e.Name, first)
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
		c.report(e.Line, "3 s to 1 h", "%s lasts %.0f s", e.Name, seconds(e.Length))
	}
	if !e.Fleet.valid() {
		c.report(e.Line, "1 to 5000 endpoints, 1 to 20000 gateways, a load above 0 and at most 10, each range from low to high", "%s: its fleet is %v", e.Name, e.Fleet)
	}
	if len(e.Assertions) == 0 {
		c.report(e.Line, "state what must hold", "%s expects nothing", e.Name)
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
		c.report(event.Line, "one of "+strings.Join(Actions, ", "), "there is no %q", event.Action)
	case event.At < 0 || event.At > e.Length:
		c.report(event.Line, "within the length", "it happens at %.1f s", seconds(event.At))
	case !c.hasZone(event.Zone):
		c.report(event.Line, fmt.Sprintf("one of %v", c.names.Zones), "there is no zone %q", event.Zone)
	case !c.hasClass(event.Class):
		c.report(event.Line, fmt.Sprintf("one of %v", c.names.Classes), "there is no request class %q", event.Class)
	case event.Fraction < 0 || event.Fraction > 1:
		c.report(event.Line, "0 to 1", "part is %v", event.Fraction)
	case event.Action == ScaleLoad && !(event.LoadFactor > 0):
		c.report(event.Line, "above 0", "size is %v", event.LoadFactor)
	}
}

func (c *checker) checkAssertion(t Assertion) {
	level := t.EnteredLevel + t.AvoidedLevel // one is empty
	switch {
	case t.figureCount() != 1:
		c.report(t.Line, "exactly one condition in each", "it has %d conditions", t.figureCount())
	case !c.hasClass(t.Class):
		c.report(t.Line, fmt.Sprintf("one of %v", c.names.Classes), "there is no request class %q", t.Class)
	case !c.hasZone(t.Zone):
		c.report(t.Line, fmt.Sprintf("one of %v", c.names.Zones), "there is no zone %q", t.Zone)
	case t.MinZones > len(c.names.Zones):
		c.report(t.Line, fmt.Sprintf("at most %d", len(c.names.Zones)), "it expects %d zones", t.MinZones)
	case level != "" && !slices.Contains(c.names.Levels, level):
		c.report(t.Line, fmt.Sprintf("one of %v", c.names.Levels), "there is no level %q", level)
	case t.To > 0 && t.To <= t.From:
		c.report(t.Line, "to after from", "it counts from %.1f to %.1f s", seconds(t.From), seconds(t.To))
	}
}

// hasZone reports whether a zone exists; empty stands for all.
func (c *checker) hasZone(zone policyapi.Zone) bool {
	return zone == "" || slices.Contains(c.names.Zones, zone)
}

// hasClass reports whether a class exists; empty stands for all.
func (c *checker) hasClass(class string) bool {
	return class == "" || slices.Contains(c.names.Classes, class)
}

// conflicts returns pairs that no fleet can satisfy, of one expectation or of two with the same fleet and events.
func (s Suite) conflicts() (pairs [][2]Assertion) {
	for i, a := range s.Expectations {
		for _, b := range s.Expectations[i:] {
			if a.sameCourse(b) {
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

// sameCourse reports whether two expectations have the same fleet and events.
func (e Expectation) sameCourse(o Expectation) bool {
	return e.Fleet == o.Fleet && slices.EqualFunc(e.Events, o.Events, func(a, b Event) bool {
		a.Line = b.Line
		return a == b
	})
}

// overlaps reports whether two assertions have gateways, classes and moments in common.
func (t Assertion) overlaps(o Assertion) bool {
	classes := t.Class == "" || o.Class == "" || t.Class == o.Class
	zones := t.Zone == "" || o.Zone == "" || t.Zone == o.Zone
	return classes && zones && t.From < o.end() && o.From < t.end()
}

// end returns when the assertion ends to apply.
func (t Assertion) end() policyapi.Microseconds {
	if t.To == 0 {
		return 1 << 62
	}
	return t.To
}

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
