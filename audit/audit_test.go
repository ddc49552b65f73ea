package audit

import (
	"fmt"
	"testing"
	"time"

	"porthub/policyapi"
	"porthub/routing"
)

const s = time.Second

func testLimits() Limits {
	return Limits{EmptyTableLimit: 5 * s, DrainGracePeriod: 3 * s, WarmUp: 17 * s, InitialCapacity: 0.16, OverloadFactor: 2.5, OverloadWindow: 2 * s, DrainAppliesToRemoved: true,
		QueueLimit: 100, MessageOverhead: 6, MessageLimit: 20, MessageWindow: 10 * s, Classes: []Class{{Name: "view", Idempotent: true}, {Name: "save"}}}
}

// calmDay is a calm day: one gateway joined from the start, one warm node and one that started at 20 s.
func calmDay() *Log {
	l := NewLog(testLimits())
	l.CoordinatorRunning(0, true)
	l.EndpointStarted(0, "n1", "a", 2, false)
	l.EndpointStarted(20*s, "n2", "a", 2, true)
	l.GatewayConnected(s, "gw", true)
	l.EndpointList(0, map[string]EndpointState{"n1": Ready}, map[string]time.Duration{"n1": -time.Hour}, map[string]string{"n1": "a"})
	l.EndpointList(21*s, map[string]EndpointState{"n1": Ready, "n2": Ready}, map[string]time.Duration{"n1": -time.Hour, "n2": 20 * s}, nil)
	l.TableApplied(s, s, "gw", "e.1", tableOf("n1"))
	l.VersionAcknowledged(s+s/10, "gw", "e.1")
	l.TableApplied(22*s, 22*s, "gw", "e.2", tableOf("n1", "n2"))
	l.VersionAcknowledged(22*s+s/10, "gw", "e.2")
	return l
}

func tableOf(nodes ...policyapi.EndpointID) (h routing.Snapshot) {
	for _, k := range []string{"view", "save"} {
		c := routing.Cluster{Class: k}
		for _, n := range nodes {
			c.Endpoints = append(c.Endpoints, routing.ClusterEndpoint{Endpoint: n, Zone: "a", Weight: 1})
		}
		h.Clusters = append(h.Clusters, c)
	}
	return h
}

// Each rule is found broken by what breaks it and by nothing that comes near; a calm day breaks none.
func TestEvaluate(t *testing.T) {
	for name, c := range map[string]struct {
		rule  string
		broke bool
		near  float64 // at least
		do    func(l *Log)
	}{
		"a calm day": {"", false, 0, func(*Log) {}},
		"bare too long": {EmptyTable, true, 1.5, func(l *Log) {
			l.TableApplied(30*s, 30*s, "gw", "e.3", routing.Snapshot{Clusters: tableOf("n1").Clusters[:1]})
		}},
		"bare not long": {EmptyTable, false, 0.7, func(l *Log) {
			l.TableApplied(30*s, 30*s, "gw", "e.3", tableOf())
			l.TableApplied(34*s, 34*s, "gw", "e.4", tableOf("n1"))
		}},
		"bare while away": {EmptyTable, false, 0, func(l *Log) {
			l.GatewayConnected(30*s, "gw", false)
			l.TableApplied(30*s, 30*s, "gw", "", tableOf())
		}},
		"bare with nobody warm listed": {EmptyTable, false, 0, func(l *Log) {
			l.EndpointList(30*s, map[string]EndpointState{"n1": Draining, "n2": Ready}, map[string]time.Duration{"n2": 29 * s}, nil)
			l.TableApplied(30*s, 30*s, "gw", "e.3", tableOf())
		}},
		"an effect twice on one try":     {DuplicateEffect, true, 2, func(l *Log) { l.RequestExecuted("save", 1, 0); l.RequestExecuted("save", 1, 0) }},
		"twice by the client's own word": {DuplicateEffect, false, 0, func(l *Log) { l.RequestExecuted("save", 1, 0); l.RequestExecuted("save", 1, 1) }},
		"twice what may repeat":          {DuplicateEffect, false, 0, func(l *Log) { l.RequestExecuted("view", 1, 0); l.RequestExecuted("view", 1, 0) }},
		"sent after the grace": {Drain, true, 1.2, func(l *Log) {
			l.EndpointList(30*s, map[string]EndpointState{"n1": Draining, "n2": Ready}, nil, nil)
			l.RequestSent(34*s, "gw", "n1")
		}},
		"sent after it was dropped": {Drain, true, 1.2, func(l *Log) {
			l.EndpointList(30*s, map[string]EndpointState{"n2": Ready}, nil, nil)
			l.RequestSent(34*s, "gw", "n1")
		}},
		"sent within the grace": {Drain, false, 0.6, func(l *Log) {
			l.EndpointList(30*s, map[string]EndpointState{"n1": Draining, "n2": Ready}, nil, nil)
			l.RequestSent(32*s, "gw", "n1")
		}},
		"sent soon after joining": {Drain, false, 0.3, func(l *Log) {
			l.EndpointList(30*s, map[string]EndpointState{"n1": Draining, "n2": Ready}, nil, nil)
			l.GatewayConnected(31*s, "gw", false)
			l.GatewayConnected(35*s, "gw", true)
			l.RequestSent(34*s, "gw", "n1")
			l.RequestSent(36*s, "gw", "n1")
		}},
		"sent while no coordinator is up": {Drain, false, 0, func(l *Log) {
			l.CoordinatorRunning(29*s, false)
			l.EndpointList(30*s, map[string]EndpointState{"n1": Draining, "n2": Ready}, nil, nil)
			l.RequestSent(36*s, "gw", "n1")
		}},
		"sent to what is back": {Drain, false, 0, func(l *Log) {
			l.EndpointList(30*s, map[string]EndpointState{"n1": Draining, "n2": Ready}, nil, nil)
			l.EndpointList(33*s, map[string]EndpointState{"n1": Ready, "n2": Ready}, nil, nil)
			l.RequestSent(36*s, "gw", "n1")
		}},
		"a cold node crushed": {WarmUp, true, 1.4, func(l *Log) { sendBurst(l, 23*s, 40) }},
		"a short heavy burst": {WarmUp, true, 1.1, func(l *Log) {
			for range 30 {
				l.WorkArrived(23*s, "n2", "gw", 0.16)
			}
		}},
		"a cold node busy":            {WarmUp, false, 0.5, func(l *Log) { sendBurst(l, 23*s, 13) }},
		"the same when it is warm":    {WarmUp, false, 0, func(l *Log) { sendBurst(l, 38*s, 40) }},
		"crushed by one unaware":      {WarmUp, false, 0, func(l *Log) { sendBurst(l, 20*s+s/10, 12) }},
		"too many messages":           {Queue, true, 1.05, func(l *Log) { sendMessages(l, 22) }},
		"as many messages as may be":  {Queue, false, 0.9, func(l *Log) { sendMessages(l, 18) }},
		"overtaken messages count":    {Queue, true, 1.05, func(l *Log) { l.TableApplied(23*s, 23*s, "gw", "e.40", tableOf("n1")) }},
		"too many lines on their way": {Queue, true, 1.1, func(l *Log) { publishWideTable(l, 60) }},
		"lines that fit":              {Queue, false, 0.5, func(l *Log) { publishWideTable(l, 30) }},
	} {
		l := calmDay()
		c.do(l)
		for rule, v := range l.Evaluate(40 * s) {
			if broke := rule == c.rule && c.broke; v.Satisfied == broke {
				t.Errorf("%s: %s kept %t (%.2f, %s)", name, rule, v.Satisfied, v.PeakUsage, v.Detail)
			}
			if rule == c.rule && v.PeakUsage < c.near {
				t.Errorf("%s: nearest %.2f, want %.2f at least", name, v.PeakUsage, c.near)
			}
		}
	}
}

func sendBurst(l *Log, at time.Duration, n int) {
	for i := range n {
		l.WorkArrived(at+time.Duration(i)*s/20, "n2", "gw", 0.16)
	}
}

func sendMessages(l *Log, n int) {
	for i := range n {
		at := 24*s + time.Duration(i)*s/4
		l.TableApplied(at, at, "gw", fmt.Sprintf("e.%d", 3+i), tableOf("n1", "n2"))
		l.VersionAcknowledged(at+s/20, "gw", fmt.Sprintf("e.%d", 3+i))
	}
}

// publishWideTable writes a table of so many lines, two kinds, that is not acknowledged for a while.
func publishWideTable(l *Log, n int) {
	var nodes []policyapi.EndpointID
	for i := range n {
		nodes = append(nodes, policyapi.EndpointID(fmt.Sprintf("m%d", i)))
	}
	h := tableOf(nodes...)
	h.Clusters[1] = tableOf("n1", "n2").Clusters[1]
	for i := range 2 { // the second is acknowledged at once
		gw := fmt.Sprintf("gw%d", i)
		l.GatewayConnected(0, gw, true)
		l.TableApplied(25*s, 25*s, gw, "e.1", h)
		l.VersionAcknowledged(25*s+s/2*time.Duration(2-i), gw, "e.1")
	}
}
