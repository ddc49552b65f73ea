package expectation

import (
	"fmt"

	"porthub/coordinator"
	"porthub/policyapi"
)

// judge watches a case and keeps the first failure of each expectation.
type judge struct {
	h       *host
	found   []*Failure // by position in That
	asked   []float64  // of ServedAtLeast
	done    []float64
	entered []policyapi.Microseconds // of Entered and NotEntered: when first, within the time; 0: not
	where   []string
}

func newJudge(h *host) *judge {
	n := len(h.e.Assertions)
	return &judge{h: h, found: make([]*Failure, n), asked: make([]float64, n), done: make([]float64, n), entered: make([]policyapi.Microseconds, n),
		where: make([]string, n)}
}

// at is the time of the course.
func (j *judge) at() policyapi.Microseconds { return j.h.now - base - settle }

// counts tells whether an expectation counts now.
func (j *judge) counts(t Assertion) bool {
	return j.at() >= t.From && (t.To == 0 || j.at() <= t.To)
}

func (j *judge) fail(i int, g *gateway, n *node, kind int, format string, args ...any) {
	if j.found[i] != nil {
		return
	}
	f := &Failure{Name: j.h.e.Name, Line: j.h.e.Assertions[i].Line, What: j.h.e.Assertions[i].what(), Case: j.h.c.Number, Seed: j.h.e.Seed, At: j.at(),
		Figure: fmt.Sprintf(format, args...)}
	if g != nil {
		f.Gateway = string(g.name)
	}
	if n != nil {
		f.Node = string(n.name)
	}
	if kind >= 0 {
		f.Kind = j.h.set.Start.Classes[kind].Name
	}
	j.found[i] = f
}

func seconds(m policyapi.Microseconds) float64 { return float64(m) / float64(second) }

// warmFor tells whether a warm ready node is listed that may serve a kind for a zone's gateways.
func (j *judge) warmFor(kind int, zone policyapi.Zone) bool {
	k := j.h.set.Start.Classes[kind]
	for _, n := range j.h.nodes {
		if n.listed != policyapi.Ready || j.h.warmth(n) < 1 || k.LocalZoneOnly && n.zone != zone {
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

// look judges a moment.
func (j *judge) look() {
	h := j.h
	if j.at() < 0 {
		return
	}
	kinds := h.set.Start.Classes
	warm := map[policyapi.Zone][]bool{}
	for _, z := range h.set.Start.Zones {
		for k := range kinds {
			warm[z] = append(warm[z], j.warmFor(k, z))
		}
	}
	for _, g := range h.gateways {
		for k := range kinds {
			if empty := len(g.open[k]) == 0 && !g.away && warm[g.zone][k]; !empty {
				g.without[k] = 0
			} else if g.without[k] == 0 {
				g.without[k] = h.now
			}
		}
	}
	for i, t := range h.e.Assertions {
		if j.found[i] != nil || !j.counts(t) {
			continue
		}
		if t.MaxUtilization > 0 || t.MaxWarmUpLoad > 0 {
			j.loads(i, t)
			continue
		}
		if most := h.set.Start.Rules.QueueLimit; t.MaxQueued > 0 && most > 0 && h.waiting > t.MaxQueued*most {
			j.fail(i, nil, nil, -1, "%.0f lines on their way, %.2f of %.0f", h.waiting, h.waiting/most, most)
		}
		for _, g := range h.gateways {
			if g.away || t.Zone != "" && g.zone != t.Zone {
				continue
			}
			j.gateway(i, t, g)
		}
	}
}

func (j *judge) gateway(i int, t Assertion, g *gateway) {
	h := j.h
	for k, kind := range h.set.Start.Classes {
		if t.Class != "" && t.Class != kind.Name {
			continue
		}
		open := len(g.open[k])
		switch {
		case t.MaxEmptyTable > 0 && g.without[k] > 0 && h.now-g.without[k] > t.MaxEmptyTable:
			j.fail(i, g, nil, k, "no line for %.2f s", seconds(h.now-g.without[k]))
		case t.MinEndpoints > 0 && open < t.MinEndpoints:
			j.fail(i, g, nil, k, "%d nodes", open)
		case t.MaxEndpoints > 0 && open > t.MaxEndpoints:
			j.fail(i, g, nil, k, "%d nodes", open)
		case t.MinZones > 0 && g.halls[k] < t.MinZones:
			j.fail(i, g, nil, k, "%d halls", g.halls[k])
		case t.MaxRetryPolicy > 0 && k < len(g.held.Routes) && g.held.Routes[k].RetryPolicy > t.MaxRetryPolicy:
			j.fail(i, g, nil, k, "second tries by order %d", g.held.Routes[k].RetryPolicy)
		case t.MaxDrainDelay > 0:
			for _, l := range g.open[k] {
				n := h.nodes[l.node]
				if n.closed > 0 && h.now-max(n.closed, g.joinedAt) > t.MaxDrainDelay {
					j.fail(i, g, n, k, "still open %.2f s after the list told", seconds(h.now-max(n.closed, g.joinedAt)))
				}
			}
		}
	}
}

// loads judges what is offered to nodes, over the span in which a cold one falls over.
func (j *judge) loads(i int, t Assertion) {
	h := j.h
	for _, n := range h.nodes {
		if !n.up || len(n.window) == 0 {
			continue
		}
		offered := 0.0
		for _, x := range n.window {
			offered += x
		}
		warmth := h.warmth(n)
		can := mean * warmth * seconds(tick) * float64(len(n.window))
		switch {
		case t.MaxUtilization > 0 && warmth == 1 && offered > t.MaxUtilization*can:
			j.fail(i, nil, n, -1, "offered %.2f of what it can do", offered/can)
		case t.MaxWarmUpLoad > 0 && warmth < 1 && j.knew(n) && offered > t.MaxWarmUpLoad*h.set.Start.Rules.OverloadFactor*can:
			j.fail(i, nil, n, -1, "offered %.2f of what pushes it over, %.1f s after its start", offered/can/h.set.Start.Rules.OverloadFactor, seconds(h.now-n.launched))
		}
	}
}

// knew tells whether the list has named a node's start for the grace, and what falls over has come since: of what came
// before, nobody could have known.
func (j *judge) knew(n *node) bool {
	r := j.h.set.Start.Rules
	return n.started == n.launched && j.h.now-n.named > r.DrainGracePeriod+r.OverloadWindow
}

// sent judges a publication to a gateway.
func (j *judge) sent(g *gateway) {
	span := j.h.set.Start.Rules.MessageWindow
	n := 0
	for _, at := range g.sent {
		if j.h.now-at <= span {
			n++
		}
	}
	for i, t := range j.h.e.Assertions {
		if t.MaxMessages > 0 && j.counts(t) && n > t.MaxMessages && (t.Zone == "" || t.Zone == g.zone) {
			j.fail(i, g, nil, -1, "%d messages in %.0f s", n, seconds(span))
		}
	}
}

func (j *judge) served(g *gateway, kind int, came, done float64) {
	for i, t := range j.h.e.Assertions {
		if t.MinSuccessRatio > 0 && j.counts(t) && (t.Class == "" || t.Class == j.h.set.Start.Classes[kind].Name) && (t.Zone == "" || t.Zone == g.zone) {
			j.asked[i], j.done[i] = j.asked[i]+came, j.done[i]+done
		}
	}
}

func (j *judge) note(n coordinator.LogEntry) {
	if n.Event != "service_level" {
		return
	}
	to := ""
	for _, f := range n.Fields {
		if f.Key == "to" {
			to, _ = f.Value.(string)
		}
	}
	for i, t := range j.h.e.Assertions {
		if to != "" && to == t.EnteredLevel+t.AvoidedLevel && j.counts(t) && j.entered[i] == 0 {
			j.entered[i], j.where[i] = j.at()+1, n.Text
		}
	}
}

// close judges what is known at the end only.
func (j *judge) close() (out []Failure) {
	for i, t := range j.h.e.Assertions {
		switch {
		case t.MinSuccessRatio > 0 && j.asked[i] > 0 && j.done[i] < t.MinSuccessRatio*j.asked[i]:
			j.fail(i, nil, nil, -1, "%.3f served", j.done[i]/j.asked[i])
			if t.Class != "" {
				j.found[i].Kind = t.Class
			}
		case t.EnteredLevel != "" && j.entered[i] == 0:
			j.fail(i, nil, nil, -1, "it was not")
		case t.AvoidedLevel != "" && j.entered[i] > 0:
			j.fail(i, nil, nil, -1, "%s at %.2f s", j.where[i], seconds(j.entered[i]))
		}
		if j.found[i] != nil {
			out = append(out, *j.found[i])
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
			if n := c.Nodes - c.Nodes/part; n < c.Nodes && n >= len(set.Start.Zones) {
				one := c
				one.Nodes = n
				next = append(next, one)
			}
			if n := c.Gateways - c.Gateways/part; n < c.Gateways && n >= 1 {
				one := c
				one.Gateways = n
				next = append(next, one)
			}
		}
		for i := range c.Course {
			one := c
			one.Course = append(append([]Event(nil), c.Course[:i]...), c.Course[i+1:]...)
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
	if c.Nodes != begun.Nodes || c.Gateways != begun.Gateways || len(c.Course) != len(begun.Course) {
		f.Small = c.String()
	}
	return f
}
