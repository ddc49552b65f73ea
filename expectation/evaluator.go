package expectation

import (
	"fmt"
	"slices"

	"porthub/coordinator"
	"porthub/policyapi"
)

// evaluator evaluates the assertions during a simulation and keeps the first failure of each.
type evaluator struct {
	sim    *simulation
	checks []check // one for each assertion, in the same order
}

// check is an assertion and the state of its evaluation.
type check struct {
	assertion Assertion
	failure   *Failure // first failure; nil if there was none

	// Sums for MinSuccessRatio, in requests.
	requests  float64
	successes float64

	level levelEntry // for EnteredLevel and AvoidedLevel
}

// levelEntry records when a degradation level was entered for the first time.
type levelEntry struct {
	entered bool
	at      policyapi.Microseconds
	text    string // text of the log entry
}

func newEvaluator(s *simulation) *evaluator {
	v := &evaluator{sim: s}
	for _, assertion := range s.expectation.Assertions {
		v.checks = append(v.checks, check{assertion: assertion})
	}
	return v
}

// elapsed returns the time since the start of the events. It is negative before that.
func (v *evaluator) elapsed() policyapi.Microseconds { return v.sim.now - startTime - settleTime }

// applies reports whether an assertion applies now.
func (v *evaluator) applies(t Assertion) bool {
	return v.elapsed() >= t.From && (t.To == 0 || v.elapsed() <= t.To)
}

// appliesTo reports whether an assertion applies to the gateways of a zone.
func (t Assertion) appliesTo(zone policyapi.Zone) bool { return t.Zone == "" || t.Zone == zone }

// subject identifies the gateway, endpoint and request class that a failure concerns. Each field may be empty.
type subject struct {
	gateway  *gateway
	endpoint *endpoint
	class    string
}

// fail records the failure of a check unless it has failed before.
func (v *evaluator) fail(c *check, about subject, observed string, args ...any) {
	if c.failure != nil {
		return
	}
	c.failure = &Failure{
		Name:      v.sim.expectation.Name,
		Line:      c.assertion.Line,
		Condition: c.assertion.describe(),
		Case:      v.sim.drawn.Number,
		Seed:      v.sim.expectation.Seed,
		Class:     about.class,
		At:        v.elapsed(),
		Observed:  fmt.Sprintf(observed, args...),
	}
	if about.gateway != nil {
		c.failure.Gateway = string(about.gateway.name)
	}
	if about.endpoint != nil {
		c.failure.Endpoint = string(about.endpoint.name)
	}
}

// evaluate evaluates the assertions that apply to the current state.
func (v *evaluator) evaluate() {
	if v.elapsed() < 0 {
		return
	}
	v.trackEmptyTables()
	for i := range v.checks {
		c := &v.checks[i]
		if c.failure == nil && v.applies(c.assertion) {
			v.evaluateCheck(c)
		}
	}
}

// trackEmptyTables records since when gateways have had no endpoint for a class although a warm one is listed.
func (v *evaluator) trackEmptyTables() {
	s := v.sim
	classes := s.settings.Start.Classes
	hasWarm := map[policyapi.Zone][]bool{} // by the gateway's zone and class
	for _, zone := range s.settings.Start.Zones {
		for class := range classes {
			hasWarm[zone] = append(hasWarm[zone], v.hasWarmEndpoint(classes[class], zone))
		}
	}
	for _, g := range s.gateways {
		for class := range classes {
			empty := len(g.tables.open[class]) == 0 && !g.link.disconnected && hasWarm[g.zone][class]
			switch {
			case !empty:
				g.emptySince[class] = 0
			case g.emptySince[class] == 0:
				g.emptySince[class] = s.now
			}
		}
	}
}

// hasWarmEndpoint reports whether the list contains a ready, warmed-up endpoint that may serve a class for the gateways of a
// zone.
func (v *evaluator) hasWarmEndpoint(class policyapi.ClassSettings, zone policyapi.Zone) bool {
	return slices.ContainsFunc(v.sim.endpoints, func(e *endpoint) bool {
		switch {
		case e.listed.status != policyapi.Ready, v.sim.capacityFactor(e) < 1:
			return false
		case class.LocalZoneOnly && e.zone != zone:
			return false
		default:
			return len(class.AllowedZones) == 0 || slices.Contains(class.AllowedZones, e.zone)
		}
	})
}

// evaluateCheck evaluates an assertion on the current state.
func (v *evaluator) evaluateCheck(c *check) {
	t := c.assertion
	if t.MaxUtilization > 0 || t.MaxWarmUpLoad > 0 {
		v.evaluateLoads(c)
		return
	}
	limit := v.sim.settings.Start.Rules.QueueLimit
	queued := v.sim.network.queuedLines
	if t.MaxQueued > 0 && limit > 0 && queued > t.MaxQueued*limit {
		v.fail(c, subject{}, "%.0f lines in flight, %.2f of %.0f", queued, queued/limit, limit)
	}
	for _, g := range v.sim.gateways {
		if g.link.disconnected || !t.appliesTo(g.zone) {
			continue
		}
		for class, settings := range v.sim.settings.Start.Classes {
			if t.Class == "" || t.Class == settings.Name {
				v.evaluateTable(c, g, class)
			}
		}
	}
}

// evaluateTable evaluates an assertion on a gateway's table for one class.
func (v *evaluator) evaluateTable(c *check, g *gateway, class int) {
	t := c.assertion
	about := subject{gateway: g, class: v.sim.settings.Start.Classes[class].Name}
	open := len(g.tables.open[class])
	empty := v.sim.now - g.emptySince[class]
	switch {
	case t.MaxEmptyTable > 0 && g.emptySince[class] > 0 && empty > t.MaxEmptyTable:
		v.fail(c, about, "empty table for %.2f s", seconds(empty))
	case t.MinEndpoints > 0 && open < t.MinEndpoints:
		v.fail(c, about, "%d open endpoints", open)
	case t.MaxEndpoints > 0 && open > t.MaxEndpoints:
		v.fail(c, about, "%d open endpoints", open)
	case t.MinZones > 0 && g.tables.zoneCounts[class] < t.MinZones:
		v.fail(c, about, "%d zones", g.tables.zoneCounts[class])
	case t.MaxRetryPolicy > 0 && g.retryPolicy(class) > t.MaxRetryPolicy:
		v.fail(c, about, "retry policy %d", g.retryPolicy(class))
	case t.MaxDrainDelay > 0:
		v.evaluateDrains(c, g, class)
	}
}

func (g *gateway) retryPolicy(class int) int {
	if class >= len(g.tables.snapshot.Routes) {
		return 0
	}
	return int(g.tables.snapshot.Routes[class].RetryPolicy)
}

// evaluateDrains evaluates how long a gateway keeps sending requests to draining or removed endpoints. The time starts with
// the change of the list or the connection of the gateway, whichever is later.
func (v *evaluator) evaluateDrains(c *check, g *gateway, class int) {
	for _, open := range g.tables.open[class] {
		e := v.sim.endpoints[open.endpoint]
		delay := v.sim.now - max(e.listed.closedSince, g.link.connectedAt)
		if e.listed.closedSince > 0 && delay > c.assertion.MaxDrainDelay {
			about := subject{gateway: g, endpoint: e, class: v.sim.settings.Start.Classes[class].Name}
			v.fail(c, about, "still open %.2f s after the endpoint list changed", seconds(delay))
		}
	}
}

// evaluateLoads evaluates the load that is offered to endpoints over the overload window.
func (v *evaluator) evaluateLoads(c *check) {
	s := v.sim
	t := c.assertion
	overload := s.settings.Start.Rules.OverloadFactor
	for _, e := range s.endpoints {
		if !e.running || len(e.traffic.window) == 0 {
			continue
		}
		offered := 0.0
		for _, requests := range e.traffic.window {
			offered += requests
		}
		factor := s.capacityFactor(e)
		capacity := warmCapacity * factor * tickSeconds * float64(len(e.traffic.window))
		switch {
		case t.MaxUtilization > 0 && factor == 1 && offered > t.MaxUtilization*capacity:
			v.fail(c, subject{endpoint: e}, "offered %.2f of its capacity", offered/capacity)
		case t.MaxWarmUpLoad > 0 && factor < 1 && v.startIsListed(e) && offered > t.MaxWarmUpLoad*overload*capacity:
			v.fail(c, subject{endpoint: e}, "offered %.2f of its overload limit, %.1f s after its start",
				offered/capacity/overload, seconds(s.now-e.startedAt))
		}
	}
}

// startIsListed reports whether the list has contained an endpoint's start for longer than the grace period and an overload
// window. An overload before that could not be prevented.
func (v *evaluator) startIsListed(e *endpoint) bool {
	rules := v.sim.settings.Start.Rules
	return e.listed.startedAt == e.startedAt && v.sim.now-e.listed.startedSince > rules.DrainGracePeriod+rules.OverloadWindow
}

// evaluateMessageCount evaluates the number of messages to a gateway after a publication.
func (v *evaluator) evaluateMessageCount(g *gateway) {
	window := v.sim.settings.Start.Rules.MessageWindow
	messages := 0
	for _, at := range g.link.sentAt {
		if v.sim.now-at <= window {
			messages++
		}
	}
	for i := range v.checks {
		c := &v.checks[i]
		t := c.assertion
		if t.MaxMessages > 0 && v.applies(t) && messages > t.MaxMessages && t.appliesTo(g.zone) {
			v.fail(c, subject{gateway: g}, "%d messages in %.0f s", messages, seconds(window))
		}
	}
}

// recordServed adds the arrived and the served requests of a class at a gateway to the assertions on success ratios.
func (v *evaluator) recordServed(g *gateway, class int, arrived, served float64) {
	name := v.sim.settings.Start.Classes[class].Name
	for i := range v.checks {
		c := &v.checks[i]
		t := c.assertion
		if t.MinSuccessRatio > 0 && v.applies(t) && (t.Class == "" || t.Class == name) && t.appliesTo(g.zone) {
			c.requests += arrived
			c.successes += served
		}
	}
}

// recordLevelEntry records the level that is entered if the log entry reports a change of the degradation level.
func (v *evaluator) recordLevelEntry(entry coordinator.LogEntry) {
	if entry.Event != "service_level" {
		return
	}
	level := ""
	for _, field := range entry.Fields {
		if field.Key == "to" {
			level, _ = field.Value.(string)
		}
	}
	if level == "" {
		return
	}
	for i := range v.checks {
		c := &v.checks[i]
		if level == c.assertion.EnteredLevel+c.assertion.AvoidedLevel && v.applies(c.assertion) && !c.level.entered {
			c.level = levelEntry{entered: true, at: v.elapsed() + 1, text: entry.Text}
		}
	}
}

// finish evaluates the assertions that can be evaluated only at the end, and returns all failures.
func (v *evaluator) finish() (failures []Failure) {
	for i := range v.checks {
		c := &v.checks[i]
		t := c.assertion
		switch {
		case t.MinSuccessRatio > 0 && c.requests > 0 && c.successes < t.MinSuccessRatio*c.requests:
			v.fail(c, subject{class: t.Class}, "success ratio %.3f", c.successes/c.requests)
		case t.EnteredLevel != "" && !c.level.entered:
			v.fail(c, subject{}, "the level was not entered")
		case t.AvoidedLevel != "" && c.level.entered:
			v.fail(c, subject{}, "%s at %.2f s", c.level.text, seconds(c.level.at))
		}
		if c.failure != nil {
			failures = append(failures, *c.failure)
		}
	}
	return failures
}
