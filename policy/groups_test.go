package policy

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"porthub/policyapi"
)

// A large fleet is packed: a proxy's table has a few lines of its zone, groups have equal shares, and however many connect
// at once, without any acknowledgement, the queue stays under its limit.
func TestLargeFleetIsPackedIntoGroups(t *testing.T) {
	for _, neverAcknowledge := range []bool{true, false} {
		t.Run(fmt.Sprintf("never acknowledged %t", neverAcknowledge), func(t *testing.T) {
			h := newHost(t, func(start *policyapi.Start) {
				start.ProxyCount, start.Channel.EndpointConnections, start.Rules.QueueLimit = 120, 200, 600
			})
			var events []policyapi.Event
			for i := range 120 {
				zone := policyapi.Zone("abc"[i%3 : i%3+1])
				if i < 36 {
					id := policyapi.EndpointID(zone) + policyapi.EndpointID(rune('A'+i))
					events = append(events, policyapi.EndpointUpdate{Endpoints: readyEndpoints(zone, id)})
				}
				events = append(events, policyapi.ProxyConnected{Proxy: policyapi.ProxyID(i), Zone: zone, Weight: 2})
			}
			h.neverAcknowledge = neverAcknowledge
			h.step(events...)
			h.advance(9*second, nil)
			if h.unacknowledgedLines > 600 || (len(h.binds) < 120) != neverAcknowledge {
				t.Errorf("never acknowledged %t: %d of 120 proxies bound, %.0f lines queued", neverAcknowledge, len(h.binds), h.unacknowledgedLines)
			}
			for p, tables := range h.binds {
				// of 36 endpoints three of a group, and those of its index in the two other zones
				if n := len(h.tables[tables[0]]); n < 2 || n > 9 {
					t.Errorf("proxy %d has %d lines", p, n)
				}
			}
		})
	}
}

// A group left with only a warming endpoint borrows from its zone: the warming one must not get all of the load.
func TestWarmingEndpointIsNeverAlone(t *testing.T) {
	h := newHost(t, func(start *policyapi.Start) { start.ProxyCount, start.Channel.EndpointConnections = 12, 20 })
	var events []policyapi.Event
	for p, z := range []policyapi.Zone{"a", "b", "c"} {
		id := policyapi.EndpointID(z)
		events = append(events, policyapi.EndpointUpdate{Endpoints: readyEndpoints(z, id+"1", id+"2", id+"3", id+"4")},
			policyapi.ProxyConnected{Proxy: policyapi.ProxyID(p), Zone: z, Weight: 20})
	}
	h.step(events...)
	h.advance(10*second, h.steadyReports(20, 0.4, 200_000))
	group := slices.Sorted(maps.Keys(h.tables[h.binds[0][0]]))
	change := readyEndpoints("a", group...)
	change[0].StartedAt, change[1].Status = h.now, policyapi.Draining
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: change})
	lines := h.tables[h.binds[0][0]]
	if w, all := lines[group[0]], sum(slices.Collect(maps.Values(lines))); len(group) != 2 || w == 0 || w > 0.3*all {
		t.Errorf("first %v, then the warming one has %.2f of %.2f in %v", group, w, all, lines)
	}
}

// A coordinator that starts with a short, wrong list divides its zones again once the true one has arrived.
func TestGroupsAfterShortFirstList(t *testing.T) {
	h := newHost(t, func(start *policyapi.Start) { start.ProxyCount, start.Channel.EndpointConnections = 12, 20 })
	h.startFleet()
	for i := range 8 {
		id := policyapi.EndpointID(rune('A' + i))
		h.step(policyapi.EndpointUpdate{Endpoints: append(append(readyEndpoints("a", "a"+id), readyEndpoints("b", "b"+id)...), readyEndpoints("c", "c"+id)...)})
	}
	h.advance(9*second, h.steadyReports(10, 0.3, 200_000))
	if lines := h.tables[h.binds[0][0]]; len(lines) < 2 || len(lines) > 5 {
		t.Errorf("of ten endpoints in its zone the proxy has %v", lines)
	}
}

// One proxy's traffic grows a hundredfold before any report of it: the admission of its narrow table keeps the warming
// endpoint in it below the overload factor until the endpoint has warmed up.
func TestOneProxyCannotOverloadWarmingEndpoint(t *testing.T) {
	h := newHost(t, func(start *policyapi.Start) { start.ProxyCount, start.Channel.EndpointConnections = 12, 20 })
	h.startFleet()
	h.advance(10*second, h.steadyReports(20, 0.4, 200_000))
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: []policyapi.Endpoint{
		{ID: "a3", Zone: "a", Weight: 1, MachineType: "std", StartedAt: h.now - 3*second}}})
	h.advance(second, h.steadyReports(20, 0.4, 200_000))
	table := h.binds[0][0]
	lines, level := h.tables[table], h.tableLevel(table)
	part := lines["a3"] / sum(slices.Collect(maps.Values(lines)))
	if can := 25 * (0.2 + 0.8*3/16); part == 0 || level == 0 || 2*level*part > 2.5*can {
		t.Errorf("the warming one can do %.1f, may be sent %.2f of two classes at %.1f", can, part, level)
	}
	h.advance(20*second, h.steadyReports(20, 0.4, 200_000))
	if level := h.tableLevel(table); level < unlimitedLevel {
		t.Errorf("all are warm, the table's level is %.1f", level)
	}
}

// tableLevel is the level of a table's own.
func (h *host) tableLevel(table policyapi.TableID) float64 {
	c := h.instance.channel
	for _, r := range c.replicas {
		if set := int(table - r.firstTable); set >= 0 && set < len(r.tables) {
			return r.tables[set].admission.Level
		}
	}
	h.t.Fatalf("there is no table %d", table)
	return 0
}

// A deployment names no zones: endpoints and proxies belong to none, so no proxy is sent a table. (Regression: dividing the
// zones into groups panicked with a division by zero, with the first list.)
func TestStartWithoutZones(t *testing.T) {
	h := newHost(t, func(start *policyapi.Start) { start.Zones = nil })
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Snapshot, Endpoints: readyEndpoints("a", "a1", "a2")})
	h.step(policyapi.ProxyConnected{Proxy: 1, Zone: "a", Weight: 2})
	h.advance(3*second, nil)
	if len(h.binds) > 0 {
		t.Errorf("proxies are bound: %v", h.binds)
	}
}
