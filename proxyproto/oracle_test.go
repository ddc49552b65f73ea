package proxyproto_test

import (
	"fmt"
	"slices"
	"testing"

	"porthub/policyapi"
)

const (
	second    policyapi.Microseconds = 1_000_000
	tolerance                        = 300_000 * policyapi.Microseconds(1) // tolerance of the protocol on the time limits of the rules
)

// finding is one violation of a rule.
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

// listedEndpoint is an endpoint as last delivered to the coordinator.
type listedEndpoint struct {
	endpoint policyapi.Endpoint
	since    policyapi.Microseconds // when the endpoint last became ready, stopped being ready, or began to drain
	// drained is set once the endpoint is listed as draining. With soft removal, only a drain withdraws an endpoint.
	drained bool
}

// oracle checks the tables of proxies against the rules on drains (3) and on proxies without an endpoint (1).
type oracle struct {
	rules      policyapi.RuleSettings
	classes    []policyapi.ClassSettings
	factor     policyapi.Microseconds // multiplies the time limits if the channel is slower than the settings state
	started    policyapi.Microseconds // when the coordinator started
	endpoints  map[policyapi.EndpointID]*listedEndpoint
	emptySince map[emptyTableKey]policyapi.Microseconds
	findings   []finding
	expected   func(proxy policyapi.ProxyID, class int) string // describes what was ordered, for findings
}

type emptyTableKey struct {
	proxy policyapi.ProxyID
	class int
}

func newOracle(rules policyapi.RuleSettings, classes []policyapi.ClassSettings) *oracle {
	return &oracle{rules: rules, classes: classes, factor: 1, endpoints: map[policyapi.EndpointID]*listedEndpoint{}, emptySince: map[emptyTableKey]policyapi.Microseconds{},
		expected: func(policyapi.ProxyID, int) string { return "" }}
}

// restart resets the oracle for a coordinator that starts with only its cached list.
func (o *oracle) restart(now policyapi.Microseconds) {
	o.started = now
	o.endpoints = map[policyapi.EndpointID]*listedEndpoint{}
}

// applyList records a list that was delivered to the coordinator.
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
	for id, l := range o.endpoints {
		if !named[id] {
			removed := l.endpoint
			removed.Status = policyapi.Removed
			o.applyEndpoint(now, removed)
		}
	}
}

// applyEndpoint records the listed state of one endpoint.
func (o *oracle) applyEndpoint(now policyapi.Microseconds, e policyapi.Endpoint) {
	l := o.endpoints[e.ID]
	if l == nil {
		l = &listedEndpoint{endpoint: e, since: now}
		o.endpoints[e.ID] = l
	} else if (l.endpoint.Status == policyapi.Ready) != (e.Status == policyapi.Ready) {
		l.since = now
	}
	switch e.Status {
	case policyapi.Ready:
		l.drained = false
	case policyapi.Draining:
		if !l.drained && o.rules.SoftRemoval {
			l.since = now // an earlier removal did not withdraw the endpoint
		}
		l.drained = true
	}
	l.endpoint = e
}

// withdrawnSince returns the time from which an endpoint must not be offered. It returns false if the endpoint may be offered.
func (o *oracle) withdrawnSince(id policyapi.EndpointID) (since policyapi.Microseconds, withdrawn bool) {
	l := o.endpoints[id]
	if l == nil {
		return o.started, !o.rules.SoftRemoval // no list since the start contains the endpoint
	}
	if l.endpoint.Status == policyapi.Ready || o.rules.SoftRemoval && !l.drained {
		return 0, false
	}
	return l.since, true
}

// check checks the current tables of a connected proxy.
func (o *oracle) check(now, connected policyapi.Microseconds, p *modelProxy) {
	for class, settings := range o.classes {
		for _, id := range p.endpoints(class) {
			since, withdrawn := o.withdrawnSince(id)
			deadline := max(since, connected) + o.rules.DrainGracePeriod*o.factor + tolerance
			if withdrawn && now > deadline && p.offers(class, id) {
				o.findings = append(o.findings, finding{"drain", now, p.id, settings.Name, fmt.Sprintf(
					"%s is offered %.2f s after the grace period (withdrawn at %.2f s, connected at %.2f s); %s; last message: %.300s", id,
					float64(now-deadline)/float64(second), float64(since)/float64(second), float64(connected)/float64(second), o.expected(p.id, class), p.lastMessage)})
			}
		}
		o.checkEmptyTable(now, connected, p, class)
	}
}

// checkEmptyTable checks that a class of a proxy is not without an endpoint for longer than allowed while a usable one is listed.
func (o *oracle) checkEmptyTable(now, connected policyapi.Microseconds, p *modelProxy, class int) {
	key := emptyTableKey{p.id, class}
	if p.offersAny(class) || !o.hasUsableEndpoint(now, p.zone, o.classes[class]) {
		delete(o.emptySince, key)
		return
	}
	since, has := o.emptySince[key]
	if !has {
		o.emptySince[key] = now
		since = now
	}
	if now > max(since, connected)+o.rules.EmptyTableLimit*o.factor+tolerance {
		o.findings = append(o.findings, finding{"empty", now, p.id, o.classes[class].Name, fmt.Sprintf(
			"no endpoint since %.2f s; %s; last message: %.300s", float64(since)/float64(second), o.expected(p.id, class), p.lastMessage)})
	}
}

// hasUsableEndpoint reports whether a ready and warmed-up endpoint is listed that requests of a class from a zone may use.
func (o *oracle) hasUsableEndpoint(now policyapi.Microseconds, zone policyapi.Zone, class policyapi.ClassSettings) bool {
	for _, l := range o.endpoints {
		allowed := (!class.LocalZoneOnly || l.endpoint.Zone == zone) && (len(class.AllowedZones) == 0 || slices.Contains(class.AllowedZones, l.endpoint.Zone))
		if allowed && l.endpoint.Status == policyapi.Ready && now-l.endpoint.StartedAt >= o.rules.WarmUp && now-l.since >= 0 {
			return true
		}
	}
	return false
}

// The oracle reports a table with a draining endpoint as soon as the grace period is over and no sooner, and an empty table.
func TestOracleReportsViolations(t *testing.T) {
	rules := policyapi.RuleSettings{DrainGracePeriod: 3 * second, EmptyTableLimit: 4 * second, WarmUp: 10 * second}
	classes := []policyapi.ClassSettings{{Name: "view"}, {Name: "save"}}
	entry := func(id policyapi.EndpointID, status policyapi.EndpointStatus) policyapi.Endpoint {
		return policyapi.Endpoint{ID: id, Zone: "a", Status: status}
	}
	o := newOracle(rules, classes)
	o.applyList(0, policyapi.EndpointUpdate{Kind: policyapi.Snapshot, Endpoints: []policyapi.Endpoint{entry("s-1", policyapi.Ready), entry("s-2", policyapi.Ready)}})
	p := newModelProxy(1, "a", []string{"view", "save"})
	p.setTables("s-1", "s-2")
	o.applyList(20*second, policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: []policyapi.Endpoint{entry("s-1", policyapi.Draining)}})
	for _, step := range []struct {
		at   policyapi.Microseconds
		want int
	}{{20 * second, 0}, {23 * second, 0}, {23*second + tolerance, 0}, {23*second + tolerance + 1, 2}} {
		o.findings = nil
		if o.check(step.at, 0, p); len(o.findings) != step.want {
			t.Errorf("got %d findings at %d µs, want %d: %v", len(o.findings), step.at, step.want, o.findings)
		}
	}
	o.findings = nil
	if o.check(24*second, 22*second, p); len(o.findings) != 0 {
		t.Errorf("proxy that connected 2 s ago: got findings %v, want none", o.findings)
	}
	p.ejected["s-1"] = true
	if o.check(30*second, 0, p); len(o.findings) != 0 {
		t.Errorf("ejected endpoint: got findings %v, want none", o.findings)
	}
	p.setTables("s-3") // never listed
	if o.check(30*second, 0, p); len(o.findings) != 2 {
		t.Errorf("endpoint that was never listed: got %d findings, want 2", len(o.findings))
	}
	o.findings = nil
	p.setTables()
	o.check(30*second, 0, p)
	o.check(34*second, 0, p)
	if len(o.findings) != 0 {
		t.Errorf("table empty for 4 s, which is allowed: got findings %v, want none", o.findings)
	}
	if o.check(35*second, 0, p); len(o.findings) != 2 || o.findings[0].rule != "empty" {
		t.Errorf("table empty for 5 s: got findings %v, want 2 of rule empty", o.findings)
	}
}

// With soft removal only a drain withdraws an endpoint. Its removal from the list does not, even if it was drained and ready
// again before.
func TestOracleSoftRemoval(t *testing.T) {
	o := newOracle(policyapi.RuleSettings{DrainGracePeriod: second, SoftRemoval: true}, []policyapi.ClassSettings{{Name: "view"}})
	for i, step := range []struct {
		status policyapi.EndpointStatus
		want   bool
	}{{policyapi.Ready, false}, {policyapi.Removed, false}, {policyapi.Draining, true}, {policyapi.Removed, true}, {policyapi.Ready, false}, {policyapi.Removed, false}} {
		o.applyList(policyapi.Microseconds(i)*second, policyapi.EndpointUpdate{Endpoints: []policyapi.Endpoint{{ID: "s-1", Status: step.status}}})
		if _, withdrawn := o.withdrawnSince("s-1"); withdrawn != step.want {
			t.Errorf("step %d: withdrawn is %t, want %t", i, withdrawn, step.want)
		}
	}
}
