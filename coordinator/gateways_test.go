package coordinator

import (
	"slices"
	"testing"
)

// Connected gateways get tables, and no further messages while nothing changes.
func TestGatewaysGetTables(t *testing.T) {
	h := newHarness(t, nil)
	h.startFleet()
	for _, g := range []Gateway{"g1", "g2"} {
		for _, class := range []string{"view", "save"} {
			if len(h.openEndpoints(g, class)) < 2 {
				t.Errorf("%s may send to %v for class %s, want at least 2 endpoints", g, h.openEndpoints(g, class), class)
			}
		}
	}
	before := h.publishCount["g1"]
	h.advance(10*second, "g1", "g2")
	if n := h.publishCount["g1"] - before; n > 3 {
		t.Errorf("%d messages in 10 s without a change, want at most 3", n)
	}
	for _, g := range h.core.Status().Gateways {
		if !g.Connected || g.Unacknowledged != 0 || g.Confirmed[EndpointsDocument] == "" || g.Confirmed[RoutesDocument] == "" {
			t.Errorf("status %+v, want a connected gateway with confirmed documents and no message in flight", g)
		}
	}
}

// A gateway that reports but does not acknowledge is expelled, for longer each time, and the other gateway is unaffected.
func TestUnacknowledgingGatewayIsExpelledWithBackoff(t *testing.T) {
	h := newHarness(t, nil)
	h.startFleet()
	h.unresponsive["g2"] = true
	h.core.gateways.byName["g2"].delivery.Invalidate()
	h.setEndpoints(readyEndpoints("a", "a1:1", "a2:1")...)
	h.advance(5*second, "g1", "g2")
	if g := h.core.gateways.byName["g2"]; g.joined || !g.connected || h.logged["ack_timeout"] != 1 {
		t.Fatalf("g2: joined %t, want false; connected %t, want true; logged %v, want 1 ack_timeout", g.joined, g.connected, h.logged)
	}
	before := h.publishCount["g1"]
	h.setEndpoints(append(readyEndpoints("a", "a1:1"), readyEndpoints("b", "b1:1")...)...)
	h.advance(3*second, "g1", "g2")
	if h.publishCount["g1"] == before || slices.Contains(h.openEndpoints("g1", "view"), "a2:1") {
		t.Errorf("g1 may send to %v, want a new publication without the removed a2:1", h.openEndpoints("g1", "view"))
	}
	if slices.Contains(h.openEndpoints("g2", "view"), "a2:1") {
		t.Errorf("the expelled g2 may send to %v, want a publication without the removed a2:1", h.openEndpoints("g2", "view"))
	}
	sent := h.publishCount["g2"]
	h.advance(60*second, "g1", "g2")
	if n := h.publishCount["g2"] - sent; n == 0 || n > 15 {
		t.Errorf("published to the expelled g2 %d times in 60 s, want 1 to 15", n)
	}
	h.unresponsive["g2"] = false
	h.advance(60*second, "g1", "g2")
	if !h.core.gateways.byName["g2"].joined || slices.Contains(h.openEndpoints("g2", "view"), "b2:1") {
		t.Errorf("g2 acknowledges again: it may send to %v, want it joined and without the removed b2:1", h.openEndpoints("g2", "view"))
	}
}

// A second connection under a gateway's name replaces the first, and the end of the first does not disconnect the gateway.
func TestSecondConnectionReplacesTheFirst(t *testing.T) {
	h := newHarness(t, nil)
	h.startFleet()
	old := h.conns["g1"]
	h.connect("g1", "a")
	if !slices.Contains(h.closed, old) {
		t.Error("the first connection is not closed")
	}
	h.step(GatewayDisconnected{Gateway: "g1", Conn: old})
	if g := h.core.gateways.byName["g1"]; !g.joined || g.conn != h.conns["g1"] {
		t.Errorf("after the end of the first connection: joined %t on connection %d, want true on the second", g.joined, g.conn)
	}
	h.step(GatewayDisconnected{Gateway: "g1", Conn: h.conns["g1"]})
	if h.core.gateways.byName["g1"].joined {
		t.Error("g1 is still joined after the end of its connection")
	}
}

func TestSilentGatewayIsDisconnected(t *testing.T) {
	h := newHarness(t, nil)
	h.startFleet()
	h.advance(5*second, "g1")
	if h.core.gateways.byName["g2"].joined || !h.core.gateways.byName["g1"].joined || h.logged["gateway_silent"] != 1 {
		t.Errorf("logged %v; want 1 gateway_silent, g2 disconnected and g1 joined", h.logged)
	}
}
