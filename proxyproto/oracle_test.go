package proxyproto_test

import (
	"fmt"
	"slices"
	"testing"

	"porthub/policyapi"
)

const (
	second  policyapi.Microseconds = 1_000_000
	allowed                        = 300_000 * policyapi.Microseconds(1) // the protocol's slack on the time limits of the rules
)

// finding is one breach of a rule.
type finding struct {
	rule   string
	at     policyapi.Microseconds
	proxy  policyapi.ProxyID
	class  string
	detail string
}

func (f finding) String() string {
	return fmt.Sprintf("%8.2f s: rule %s, proxy %d, class %s: %s", float64(f.at)/float64(second), f.rule, f.proxy, f.class, f.detail)
}

// listing is what the coordinator was told of one endpoint, and when.
type listing struct {
	entry policyapi.Endpoint
	since policyapi.Microseconds // of the status
	// drained is set once the list has called it draining: where only that binds, a removal without it does not.
	drained bool
}

// oracle judges the rules on drains (3) and on proxies without an endpoint (1) by what proxies hold.
type oracle struct {
	rules    policyapi.RuleSettings
	kinds    []policyapi.ClassSettings
	factor   policyapi.Microseconds // the channel runs so many times slower than stated: time limits are as much longer
	started  policyapi.Microseconds // of the coordinator
	listed   map[policyapi.EndpointID]*listing
	emptySet map[emptySince]policyapi.Microseconds
	findings []finding
	expected func(proxy policyapi.ProxyID, class int) string // what was ordered, for the report
}

type emptySince struct {
	proxy policyapi.ProxyID
	class int
}

func newOracle(rules policyapi.RuleSettings, kinds []policyapi.ClassSettings) *oracle {
	return &oracle{rules: rules, kinds: kinds, factor: 1, listed: map[policyapi.EndpointID]*listing{}, emptySet: map[emptySince]policyapi.Microseconds{},
		expected: func(policyapi.ProxyID, int) string { return "" }}
}

// restart begins anew with a coordinator that knows only the list that it has saved.
func (o *oracle) restart(now policyapi.Microseconds) {
	o.started = now
	o.listed = map[policyapi.EndpointID]*listing{}
}

// applyList notes a list that the coordinator was given.
func (o *oracle) applyList(now policyapi.Microseconds, list policyapi.EndpointUpdate) {
	if list.Kind == policyapi.Failed {
		return
	}
	named := map[policyapi.EndpointID]bool{}
	for _, e := range list.Endpoints {
		named[e.ID] = true
		o.applyEndpoint(now, e)
	}
	if list.Kind == policyapi.Delta {
		return
	}
	for id, l := range o.listed {
		if !named[id] {
			gone := l.entry
			gone.Status = policyapi.Removed
			o.applyEndpoint(now, gone)
		}
	}
}

func (o *oracle) applyEndpoint(now policyapi.Microseconds, e policyapi.Endpoint) {
	l := o.listed[e.ID]
	if l == nil {
		l = &listing{entry: e, since: now}
		o.listed[e.ID] = l
	} else if (l.entry.Status == policyapi.Ready) != (e.Status == policyapi.Ready) {
		l.since = now
	}
	switch e.Status {
	case policyapi.Ready:
		l.drained = false
	case policyapi.Draining:
		if !l.drained && o.rules.SoftRemoval {
			l.since = now // a removal before did not bind
		}
		l.drained = true
	}
	l.entry = e
}

// withdrawn tells since when an endpoint must not be offered.
func (o *oracle) withdrawn(id policyapi.EndpointID) (since policyapi.Microseconds, is bool) {
	l := o.listed[id]
	if l == nil {
		return o.started, !o.rules.SoftRemoval // no list of this coordinator has it
	}
	if l.entry.Status == policyapi.Ready || o.rules.SoftRemoval && !l.drained {
		return 0, false
	}
	return l.since, true
}

// check looks at what a joined proxy holds now.
func (o *oracle) check(now, joined policyapi.Microseconds, p *modelProxy) {
	for class, kind := range o.kinds {
		for _, id := range p.endpoints(class) {
			since, is := o.withdrawn(id)
			deadline := max(since, joined) + o.rules.DrainGracePeriod*o.factor + allowed
			if is && now > deadline && p.offers(class, id) {
				o.findings = append(o.findings, finding{"drain", now, p.id, kind.Name, fmt.Sprintf(
					"%s is offered %.2f s after the grace (told at %.2f s, joined at %.2f s); %s; last message: %.300s", id,
					float64(now-deadline)/float64(second), float64(since)/float64(second), float64(joined)/float64(second), o.expected(p.id, class), p.lastMessage)})
			}
		}
		o.checkEmptyTable(now, joined, p, class)
	}
}

func (o *oracle) checkEmptyTable(now, joined policyapi.Microseconds, p *modelProxy, class int) {
	key := emptySince{p.id, class}
	if p.offersAny(class) || !o.usable(now, p.zone, o.kinds[class]) {
		delete(o.emptySet, key)
		return
	}
	since, has := o.emptySet[key]
	if !has {
		o.emptySet[key] = now
		since = now
	}
	if now > max(since, joined)+o.rules.EmptyTableLimit*o.factor+allowed {
		o.findings = append(o.findings, finding{"empty", now, p.id, o.kinds[class].Name, fmt.Sprintf(
			"no endpoint since %.2f s; %s; last message: %.300s", float64(since)/float64(second), o.expected(p.id, class), p.lastMessage)})
	}
}

// usable tells whether a warm ready endpoint is listed that a class's requests from a zone may go to.
func (o *oracle) usable(now policyapi.Microseconds, zone policyapi.Zone, kind policyapi.ClassSettings) bool {
	for _, l := range o.listed {
		open := (!kind.LocalZoneOnly || l.entry.Zone == zone) && (len(kind.AllowedZones) == 0 || slices.Contains(kind.AllowedZones, l.entry.Zone))
		if open && l.entry.Status == policyapi.Ready && now-l.entry.StartedAt >= o.rules.WarmUp && now-l.since >= 0 {
			return true
		}
	}
	return false
}

// The oracle complains of a table with a drained line, as soon as the grace is over and no sooner, and of an empty one.
func TestOracleReportsViolations(t *testing.T) {
	rules := policyapi.RuleSettings{DrainGracePeriod: 3 * second, EmptyTableLimit: 4 * second, WarmUp: 10 * second}
	kinds := []policyapi.ClassSettings{{Name: "view"}, {Name: "save"}}
	entry := func(id policyapi.EndpointID, status policyapi.EndpointStatus) policyapi.Endpoint {
		return policyapi.Endpoint{ID: id, Zone: "a", Status: status}
	}
	o := newOracle(rules, kinds)
	o.applyList(0, policyapi.EndpointUpdate{Kind: policyapi.Snapshot, Endpoints: []policyapi.Endpoint{entry("s-1", policyapi.Ready), entry("s-2", policyapi.Ready)}})
	p := newModelProxy(1, "a", []string{"view", "save"})
	p.setTables("s-1", "s-2")
	o.applyList(20*second, policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: []policyapi.Endpoint{entry("s-1", policyapi.Draining)}})
	for _, step := range []struct {
		at   policyapi.Microseconds
		want int
	}{{20 * second, 0}, {23 * second, 0}, {23*second + allowed, 0}, {23*second + allowed + 1, 2}} {
		o.findings = nil
		if o.check(step.at, 0, p); len(o.findings) != step.want {
			t.Errorf("%d findings at %d, want %d: %v", len(o.findings), step.at, step.want, o.findings)
		}
	}
	o.findings = nil
	if o.check(24*second, 22*second, p); len(o.findings) != 0 {
		t.Errorf("it joined two seconds ago: %v", o.findings)
	}
	p.ejected["s-1"] = true
	if o.check(30*second, 0, p); len(o.findings) != 0 {
		t.Errorf("it is shut out: %v", o.findings)
	}
	p.setTables("s-3") // never listed
	if o.check(30*second, 0, p); len(o.findings) != 2 {
		t.Errorf("%d findings on an endpoint that no list has, want 2", len(o.findings))
	}
	o.findings = nil
	p.setTables()
	o.check(30*second, 0, p)
	o.check(34*second, 0, p)
	if len(o.findings) != 0 {
		t.Errorf("empty for no longer than allowed: %v", o.findings)
	}
	if o.check(35*second, 0, p); len(o.findings) != 2 || o.findings[0].rule != "empty" {
		t.Errorf("empty for 5 s: %v", o.findings)
	}
}

// Where only a drain binds, a removal from the list does not, also after a drain that was taken back.
func TestOracleSoftRemoval(t *testing.T) {
	o := newOracle(policyapi.RuleSettings{DrainGracePeriod: second, SoftRemoval: true}, []policyapi.ClassSettings{{Name: "view"}})
	for i, step := range []struct {
		status policyapi.EndpointStatus
		want   bool
	}{{policyapi.Ready, false}, {policyapi.Removed, false}, {policyapi.Draining, true}, {policyapi.Removed, true}, {policyapi.Ready, false}, {policyapi.Removed, false}} {
		o.applyList(policyapi.Microseconds(i)*second, policyapi.EndpointUpdate{Endpoints: []policyapi.Endpoint{{ID: "s-1", Status: step.status}}})
		if _, is := o.withdrawn("s-1"); is != step.want {
			t.Errorf("step %d: withdrawn %t", i, is)
		}
	}
}
