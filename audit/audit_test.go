package audit

import (
	"fmt"
	"testing"
	"time"

	"porthub/policyapi"
	"porthub/routing"
)

const s = time.Second

func limits() Limits {
	return Limits{EmptyFor: 5 * s, DrainGrace: 3 * s, Cold: 17 * s, ColdFrom: 0.16, ColdMultiple: 2.5, ColdWindow: 2 * s, GoneBinds: true,
		WaitingLines: 100, Envelope: 6, Messages: 20, MessagesIn: 10 * s, Kinds: []Kind{{Name: "view", Repeats: true}, {Name: "save"}}}
}

// day is a calm day: one gateway joined from the start, one warm node and one that started at 20 s.
func day() *Log {
	l := NewLog(limits())
	l.Coordinator(0, true)
	l.Started(0, "n1", "a", 2, false)
	l.Started(20*s, "n2", "a", 2, true)
	l.Joined(s, "gw", true)
	l.List(0, map[string]ListState{"n1": Ready}, map[string]time.Duration{"n1": -time.Hour}, map[string]string{"n1": "a"})
	l.List(21*s, map[string]ListState{"n1": Ready, "n2": Ready}, map[string]time.Duration{"n1": -time.Hour, "n2": 20 * s}, nil)
	l.Held(s, s, "gw", "e.1", held("n1"))
	l.Acked(s+s/10, "gw", "e.1")
	l.Held(22*s, 22*s, "gw", "e.2", held("n1", "n2"))
	l.Acked(22*s+s/10, "gw", "e.2")
	return l
}

func held(nodes ...policyapi.EndpointID) (h routing.Snapshot) {
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
func TestJudge(t *testing.T) {
	for name, c := range map[string]struct {
		rule  string
		broke bool
		near  float64 // at least
		do    func(l *Log)
	}{
		"a calm day": {"", false, 0, func(*Log) {}},
		"bare too long": {EmptyTable, true, 1.5, func(l *Log) {
			l.Held(30*s, 30*s, "gw", "e.3", routing.Snapshot{Clusters: held("n1").Clusters[:1]})
		}},
		"bare not long": {EmptyTable, false, 0.7, func(l *Log) {
			l.Held(30*s, 30*s, "gw", "e.3", held())
			l.Held(34*s, 34*s, "gw", "e.4", held("n1"))
		}},
		"bare while away": {EmptyTable, false, 0, func(l *Log) {
			l.Joined(30*s, "gw", false)
			l.Held(30*s, 30*s, "gw", "", held())
		}},
		"bare with nobody warm listed": {EmptyTable, false, 0, func(l *Log) {
			l.List(30*s, map[string]ListState{"n1": Draining, "n2": Ready}, map[string]time.Duration{"n2": 29 * s}, nil)
			l.Held(30*s, 30*s, "gw", "e.3", held())
		}},
		"an effect twice on one try":     {DuplicateEffect, true, 2, func(l *Log) { l.Effect("save", 1, 0); l.Effect("save", 1, 0) }},
		"twice by the client's own word": {DuplicateEffect, false, 0, func(l *Log) { l.Effect("save", 1, 0); l.Effect("save", 1, 1) }},
		"twice what may repeat":          {DuplicateEffect, false, 0, func(l *Log) { l.Effect("view", 1, 0); l.Effect("view", 1, 0) }},
		"sent after the grace": {Drain, true, 1.2, func(l *Log) {
			l.List(30*s, map[string]ListState{"n1": Draining, "n2": Ready}, nil, nil)
			l.Sent(34*s, "gw", "n1")
		}},
		"sent after it was dropped": {Drain, true, 1.2, func(l *Log) {
			l.List(30*s, map[string]ListState{"n2": Ready}, nil, nil)
			l.Sent(34*s, "gw", "n1")
		}},
		"sent within the grace": {Drain, false, 0.6, func(l *Log) {
			l.List(30*s, map[string]ListState{"n1": Draining, "n2": Ready}, nil, nil)
			l.Sent(32*s, "gw", "n1")
		}},
		"sent soon after joining": {Drain, false, 0.3, func(l *Log) {
			l.List(30*s, map[string]ListState{"n1": Draining, "n2": Ready}, nil, nil)
			l.Joined(31*s, "gw", false)
			l.Joined(35*s, "gw", true)
			l.Sent(34*s, "gw", "n1")
			l.Sent(36*s, "gw", "n1")
		}},
		"sent while no coordinator is up": {Drain, false, 0, func(l *Log) {
			l.Coordinator(29*s, false)
			l.List(30*s, map[string]ListState{"n1": Draining, "n2": Ready}, nil, nil)
			l.Sent(36*s, "gw", "n1")
		}},
		"sent to what is back": {Drain, false, 0, func(l *Log) {
			l.List(30*s, map[string]ListState{"n1": Draining, "n2": Ready}, nil, nil)
			l.List(33*s, map[string]ListState{"n1": Ready, "n2": Ready}, nil, nil)
			l.Sent(36*s, "gw", "n1")
		}},
		"a cold node crushed": {WarmUp, true, 1.4, func(l *Log) { burst(l, 23*s, 40) }},
		"a short heavy burst": {WarmUp, true, 1.1, func(l *Log) {
			for range 30 {
				l.Arrived(23*s, "n2", "gw", 0.16)
			}
		}},
		"a cold node busy":            {WarmUp, false, 0.5, func(l *Log) { burst(l, 23*s, 13) }},
		"the same when it is warm":    {WarmUp, false, 0, func(l *Log) { burst(l, 38*s, 40) }},
		"crushed by one unaware":      {WarmUp, false, 0, func(l *Log) { burst(l, 20*s+s/10, 12) }},
		"too many messages":           {Queue, true, 1.05, func(l *Log) { messages(l, 22) }},
		"as many messages as may be":  {Queue, false, 0.9, func(l *Log) { messages(l, 18) }},
		"overtaken messages count":    {Queue, true, 1.05, func(l *Log) { l.Held(23*s, 23*s, "gw", "e.40", held("n1")) }},
		"too many lines on their way": {Queue, true, 1.1, func(l *Log) { wide(l, 60) }},
		"lines that fit":              {Queue, false, 0.5, func(l *Log) { wide(l, 30) }},
	} {
		l := day()
		c.do(l)
		for rule, v := range l.Judge(40 * s) {
			if broke := rule == c.rule && c.broke; v.Kept == broke {
				t.Errorf("%s: %s kept %t (%.2f, %s)", name, rule, v.Kept, v.Nearest, v.Where)
			}
			if rule == c.rule && v.Nearest < c.near {
				t.Errorf("%s: nearest %.2f, want %.2f at least", name, v.Nearest, c.near)
			}
		}
	}
}

func burst(l *Log, at time.Duration, n int) {
	for i := range n {
		l.Arrived(at+time.Duration(i)*s/20, "n2", "gw", 0.16)
	}
}

func messages(l *Log, n int) {
	for i := range n {
		at := 24*s + time.Duration(i)*s/4
		l.Held(at, at, "gw", fmt.Sprintf("e.%d", 3+i), held("n1", "n2"))
		l.Acked(at+s/20, "gw", fmt.Sprintf("e.%d", 3+i))
	}
}

// wide writes a table of so many lines, two kinds, that is not acknowledged for a while.
func wide(l *Log, n int) {
	var nodes []policyapi.EndpointID
	for i := range n {
		nodes = append(nodes, policyapi.EndpointID(fmt.Sprintf("m%d", i)))
	}
	h := held(nodes...)
	h.Clusters[1] = held("n1", "n2").Clusters[1]
	for i := range 2 { // the second is acknowledged at once
		gw := fmt.Sprintf("gw%d", i)
		l.Joined(0, gw, true)
		l.Held(25*s, 25*s, gw, "e.1", h)
		l.Acked(25*s+s/2*time.Duration(2-i), gw, "e.1")
	}
}
