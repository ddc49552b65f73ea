package policy

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"porthub/policyapi"
)

// In a large fleet, a proxy's table has only a few lines: those of its group and of the corresponding groups in other zones.
// However many proxies connect at the same time, even if none acknowledges, the queue does not exceed its limit.
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
				t.Errorf("never acknowledged %t: %d of 120 proxies are bound, want all only if false; %.0f lines queued, want 600 at most",
					neverAcknowledge, len(h.binds), h.unacknowledgedLines)
			}
			for p, tables := range h.binds {
				// A table has three of the 36 endpoints, and those of the group with the same index in the two other zones.
				if n := len(h.tables[tables[0]]); n < 2 || n > 9 {
					t.Errorf("proxy %d has %d lines, want 2 to 9", p, n)
				}
			}
		})
	}
}

// A group whose only remaining endpoint is warming up borrows endpoints from its zone: the warming endpoint must not get all of
// the load.
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
		t.Errorf("group %v, then weight %.2f of %.2f for its warming endpoint in %v, want a group of 2 and a share above 0 and up to 0.3",
			group, w, all, lines)
	}
}

// A coordinator that starts with an incomplete list divides its zones again once the complete one has arrived.
func TestGroupsAfterShortFirstList(t *testing.T) {
	h := newHost(t, func(start *policyapi.Start) { start.ProxyCount, start.Channel.EndpointConnections = 12, 20 })
	h.startFleet()
	for i := range 8 {
		id := policyapi.EndpointID(rune('A' + i))
		h.step(policyapi.EndpointUpdate{Endpoints: append(append(readyEndpoints("a", "a"+id), readyEndpoints("b", "b"+id)...), readyEndpoints("c", "c"+id)...)})
	}
	h.advance(9*second, h.steadyReports(10, 0.3, 200_000))
	if lines := h.tables[h.binds[0][0]]; len(lines) < 2 || len(lines) > 5 {
		t.Errorf("of ten endpoints in its zone the proxy has %v, want 2 to 5", lines)
	}
}

// The traffic of a proxy can grow a hundredfold before it is reported. Until a warming endpoint in the proxy's small table has
// warmed up, the table's own admission level keeps the load on the endpoint below the overload factor.
func TestOneProxyCannotOverloadWarmingEndpoint(t *testing.T) {
	h := newHost(t, func(start *policyapi.Start) { start.ProxyCount, start.Channel.EndpointConnections = 12, 20 })
	h.startFleet()
	h.advance(10*second, h.steadyReports(20, 0.4, 200_000))
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: []policyapi.Endpoint{
		{ID: "a3", Zone: "a", Weight: 1, MachineType: "std", StartedAt: h.now - 3*second}}})
	h.advance(second, h.steadyReports(20, 0.4, 200_000))
	table := h.binds[0][0]
	lines, level := h.tables[table], h.tableLevel(table)
	share := lines["a3"] / sum(slices.Collect(maps.Values(lines)))
	if capacity := 25 * (0.2 + 0.8*3/16); share == 0 || level == 0 || 2*level*share > 2.5*capacity {
		t.Errorf("capacity %.1f of the warming endpoint, share %.2f of two classes at level %.1f, want a load up to 2.5 times the capacity",
			capacity, share, level)
	}
	h.advance(20*second, h.steadyReports(20, 0.4, 200_000))
	if level := h.tableLevel(table); level < unlimitedLevel {
		t.Errorf("after the warm-up the table's level is %.1f, want it unlimited", level)
	}
}

// tableLevel returns a table's own admission level.
func (h *host) tableLevel(table policyapi.TableID) float64 {
	c := h.instance.channel
	for _, r := range c.replicas {
		if set := int(table - r.firstTable); set >= 0 && set < len(r.tables) {
			return r.tables[set].admission.Level
		}
	}
	h.t.Fatalf("no replica has table %d", table)
	return 0
}

// If the settings contain no zones, endpoints and proxies belong to none, so no proxy is sent a table. This guards against a
// regression: with the first list, the division of the zones into groups panicked with a division by zero.
func TestStartWithoutZones(t *testing.T) {
	h := newHost(t, func(start *policyapi.Start) { start.Zones = nil })
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Snapshot, Endpoints: readyEndpoints("a", "a1", "a2")})
	h.step(policyapi.ProxyConnected{Proxy: 1, Zone: "a", Weight: 2})
	h.advance(3*second, nil)
	if len(h.binds) > 0 {
		t.Errorf("proxies are bound without zones: %v", h.binds)
	}
}
