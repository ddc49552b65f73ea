package expectation

import (
	"fmt"

	"porthub/coordinator"
	"porthub/policyapi"
)

// evaluator watches a case and keeps the first failure of each expectation.
type evaluator struct {
	sim         *simulation
	failures    []*Failure // by position in That
	requests    []float64  // of ServedAtLeast
	successes   []float64
	enteredAt   []policyapi.Microseconds // of Entered and NotEntered: when first, within the time; 0: not
	enteredText []string
}

func newEvaluator(h *simulation) *evaluator {
	n := len(h.expectation.Assertions)
	return &evaluator{sim: h, failures: make([]*Failure, n), requests: make([]float64, n), successes: make([]float64, n), enteredAt: make([]policyapi.Microseconds, n),
		enteredText: make([]string, n)}
}

// elapsed is the time of the course.
func (j *evaluator) elapsed() policyapi.Microseconds { return j.sim.now - startTime - settleTime }

// applies tells whether an expectation counts now.
func (j *evaluator) applies(t Assertion) bool {
	return j.elapsed() >= t.From && (t.To == 0 || j.elapsed() <= t.To)
}

func (j *evaluator) fail(i int, g *gateway, n *endpoint, kind int, format string, args ...any) {
	if j.failures[i] != nil {
		return
	}
	f := &Failure{Name: j.sim.expectation.Name, Line: j.sim.expectation.Assertions[i].Line, What: j.sim.expectation.Assertions[i].describe(), Case: j.sim.drawn.Number, Seed: j.sim.expectation.Seed, At: j.elapsed(),
		Figure: fmt.Sprintf(format, args...)}
	if g != nil {
		f.Gateway = string(g.name)
	}
	if n != nil {
		f.Node = string(n.name)
	}
	if kind >= 0 {
		f.Kind = j.sim.settings.Start.Classes[kind].Name
	}
	j.failures[i] = f
}

func seconds(m policyapi.Microseconds) float64 { return float64(m) / float64(second) }

// hasWarmEndpoint tells whether a warm ready node is listed that may serve a kind for a zone's gateways.
func (j *evaluator) hasWarmEndpoint(kind int, zone policyapi.Zone) bool {
	k := j.sim.settings.Start.Classes[kind]
	for _, n := range j.sim.endpoints {
		if n.listedStatus != policyapi.Ready || j.sim.capacityFactor(n) < 1 || k.LocalZoneOnly && n.zone != zone {
			continue
		}
		may := len(k.AllowedZones) == 0
		for _, z := range k.AllowedZones {
			may = may || z == n.zone
		}
		if may {
			return true
		}
	}
	return false
}

// evaluate judges a moment.
func (j *evaluator) evaluate() {
	h := j.sim
	if j.elapsed() < 0 {
		return
	}
	kinds := h.settings.Start.Classes
	warm := map[policyapi.Zone][]bool{}
	for _, z := range h.settings.Start.Zones {
		for k := range kinds {
			warm[z] = append(warm[z], j.hasWarmEndpoint(k, z))
		}
	}
	for _, g := range h.gateways {
		for k := range kinds {
			if empty := len(g.open[k]) == 0 && !g.disconnected && warm[g.zone][k]; !empty {
				g.emptySince[k] = 0
			} else if g.emptySince[k] == 0 {
				g.emptySince[k] = h.now
			}
		}
	}
	for i, t := range h.expectation.Assertions {
		if j.failures[i] != nil || !j.applies(t) {
			continue
		}
		if t.MaxUtilization > 0 || t.MaxWarmUpLoad > 0 {
			j.evaluateLoads(i, t)
			continue
		}
		if most := h.settings.Start.Rules.QueueLimit; t.MaxQueued > 0 && most > 0 && h.queuedLines > t.MaxQueued*most {
			j.fail(i, nil, nil, -1, "%.0f lines on their way, %.2f of %.0f", h.queuedLines, h.queuedLines/most, most)
		}
		for _, g := range h.gateways {
			if g.disconnected || t.Zone != "" && g.zone != t.Zone {
				continue
			}
			j.evaluateGateway(i, t, g)
		}
	}
}

func (j *evaluator) evaluateGateway(i int, t Assertion, g *gateway) {
	h := j.sim
	for k, kind := range h.settings.Start.Classes {
		if t.Class != "" && t.Class != kind.Name {
			continue
		}
		open := len(g.open[k])
		switch {
		case t.MaxEmptyTable > 0 && g.emptySince[k] > 0 && h.now-g.emptySince[k] > t.MaxEmptyTable:
			j.fail(i, g, nil, k, "no line for %.2f s", seconds(h.now-g.emptySince[k]))
		case t.MinEndpoints > 0 && open < t.MinEndpoints:
			j.fail(i, g, nil, k, "%d nodes", open)
		case t.MaxEndpoints > 0 && open > t.MaxEndpoints:
			j.fail(i, g, nil, k, "%d nodes", open)
		case t.MinZones > 0 && g.zoneCounts[k] < t.MinZones:
			j.fail(i, g, nil, k, "%d halls", g.zoneCounts[k])
		case t.MaxRetryPolicy > 0 && k < len(g.tables.Routes) && g.tables.Routes[k].RetryPolicy > t.MaxRetryPolicy:
			j.fail(i, g, nil, k, "second tries by order %d", g.tables.Routes[k].RetryPolicy)
		case t.MaxDrainDelay > 0:
			for _, l := range g.open[k] {
				n := h.endpoints[l.endpoint]
				if n.closedSince > 0 && h.now-max(n.closedSince, g.joinedAt) > t.MaxDrainDelay {
					j.fail(i, g, n, k, "still open %.2f s after the list told", seconds(h.now-max(n.closedSince, g.joinedAt)))
				}
			}
		}
	}
}

// evaluateLoads judges what is offered to nodes, over the span in which a cold one falls over.
func (j *evaluator) evaluateLoads(i int, t Assertion) {
	h := j.sim
	for _, n := range h.endpoints {
		if !n.running || len(n.offeredWindow) == 0 {
			continue
		}
		offered := 0.0
		for _, x := range n.offeredWindow {
			offered += x
		}
		warmth := h.capacityFactor(n)
		can := warmCapacity * warmth * seconds(tick) * float64(len(n.offeredWindow))
		switch {
		case t.MaxUtilization > 0 && warmth == 1 && offered > t.MaxUtilization*can:
			j.fail(i, nil, n, -1, "offered %.2f of what it can do", offered/can)
		case t.MaxWarmUpLoad > 0 && warmth < 1 && j.startWasListed(n) && offered > t.MaxWarmUpLoad*h.settings.Start.Rules.OverloadFactor*can:
			j.fail(i, nil, n, -1, "offered %.2f of what pushes it over, %.1f s after its start", offered/can/h.settings.Start.Rules.OverloadFactor, seconds(h.now-n.startedAt))
		}
	}
}

// startWasListed tells whether the list has named a node's start for the grace, and what falls over has come since: of what came
// before, nobody could have known.
func (j *evaluator) startWasListed(n *endpoint) bool {
	r := j.sim.settings.Start.Rules
	return n.listedStart == n.startedAt && j.sim.now-n.listedStartSince > r.DrainGracePeriod+r.OverloadWindow
}

// sentAt judges a publication to a gateway.
func (j *evaluator) messageSent(g *gateway) {
	span := j.sim.settings.Start.Rules.MessageWindow
	n := 0
	for _, at := range g.sentAt {
		if j.sim.now-at <= span {
			n++
		}
	}
	for i, t := range j.sim.expectation.Assertions {
		if t.MaxMessages > 0 && j.applies(t) && n > t.MaxMessages && (t.Zone == "" || t.Zone == g.zone) {
			j.fail(i, g, nil, -1, "%d messages in %.0f s", n, seconds(span))
		}
	}
}

func (j *evaluator) recordServed(g *gateway, kind int, came, done float64) {
	for i, t := range j.sim.expectation.Assertions {
		if t.MinSuccessRatio > 0 && j.applies(t) && (t.Class == "" || t.Class == j.sim.settings.Start.Classes[kind].Name) && (t.Zone == "" || t.Zone == g.zone) {
			j.requests[i], j.successes[i] = j.requests[i]+came, j.successes[i]+done
		}
	}
}

func (j *evaluator) logged(n coordinator.LogEntry) {
	if n.Event != "service_level" {
		return
	}
	to := ""
	for _, f := range n.Fields {
		if f.Key == "to" {
			to, _ = f.Value.(string)
		}
	}
	for i, t := range j.sim.expectation.Assertions {
		if to != "" && to == t.EnteredLevel+t.AvoidedLevel && j.applies(t) && j.enteredAt[i] == 0 {
			j.enteredAt[i], j.enteredText[i] = j.elapsed()+1, n.Text
		}
	}
}

// finish judges what is known at the end only.
func (j *evaluator) finish() (out []Failure) {
	for i, t := range j.sim.expectation.Assertions {
		switch {
		case t.MinSuccessRatio > 0 && j.requests[i] > 0 && j.successes[i] < t.MinSuccessRatio*j.requests[i]:
			j.fail(i, nil, nil, -1, "%.3f served", j.successes[i]/j.requests[i])
			if t.Class != "" {
				j.failures[i].Kind = t.Class
			}
		case t.EnteredLevel != "" && j.enteredAt[i] == 0:
			j.fail(i, nil, nil, -1, "it was not")
		case t.AvoidedLevel != "" && j.enteredAt[i] > 0:
			j.fail(i, nil, nil, -1, "%s at %.2f s", j.enteredText[i], seconds(j.enteredAt[i]))
		}
		if j.failures[i] != nil {
			out = append(out, *j.failures[i])
		}
	}
	return out
}

// Shrink looks for a smaller case that fails the same expectation, and says so in the failure: half the nodes, half the
// gateways, one event less, as long as it still fails. It stops after so many tries.
func (e Expectation) Shrink(set coordinator.Settings, c Case, f Failure, tries int) Failure {
	begun := c
	for smaller := true; smaller && tries > 0; {
		smaller = false
		var next []Case
		for _, part := range []int{2, 4} {
			if n := c.Endpoints - c.Endpoints/part; n < c.Endpoints && n >= len(set.Start.Zones) {
				one := c
				one.Endpoints = n
				next = append(next, one)
			}
			if n := c.Gateways - c.Gateways/part; n < c.Gateways && n >= 1 {
				one := c
				one.Gateways = n
				next = append(next, one)
			}
		}
		for i := range c.Events {
			one := c
			one.Events = append(append([]Event(nil), c.Events[:i]...), c.Events[i+1:]...)
			next = append(next, one)
		}
		for _, one := range next {
			if tries--; tries < 0 {
				break
			}
			for _, g := range e.Run(set, one) {
				if g.Line == f.Line {
					g.Case, g.Seed = f.Case, f.Seed
					f, c, smaller = g, one, true
					break
				}
			}
			if smaller {
				break
			}
		}
	}
	if c.Endpoints != begun.Endpoints || c.Gateways != begun.Gateways || len(c.Events) != len(begun.Events) {
		f.Small = c.String()
	}
	return f
}
