package coordinator

import (
	"slices"
	"testing"
)

func TestGatewaysGetTables(t *testing.T) {
	h := newHarness(t, nil)
	h.startFleet()
	for _, g := range []Gateway{"g1", "g2"} {
		for _, class := range []string{"view", "save"} {
			if len(h.openEndpoints(g, class)) < 2 {
				t.Errorf("%s has %v for %s", g, h.openEndpoints(g, class), class)
			}
		}
	}
	before := h.publishCount["g1"]
	h.advance(10*second, "g1", "g2")
	if n := h.publishCount["g1"] - before; n > 3 {
		t.Errorf("%d messages while nothing changed", n)
	}
	for _, g := range h.core.Status().Gateways {
		if !g.Connected || g.Unacknowledged != 0 || g.Confirmed[EndpointsDocument] == "" || g.Confirmed[RoutesDocument] == "" {
			t.Errorf("%+v", g)
		}
	}
}

// A gateway that reports but does not acknowledge is expelled, longer each time, and the other gateway is unaffected.
func TestUnacknowledgingGatewayIsExpelledWithBackoff(t *testing.T) {
	h := newHarness(t, nil)
	h.startFleet()
	h.unresponsive["g2"] = true
	h.core.gateways.byName["g2"].delivery.Invalidate()
	h.setEndpoints(readyEndpoints("a", "a1:1", "a2:1")...)
	h.advance(5*second, "g1", "g2")
	if g := h.core.gateways.byName["g2"]; g.joined || !g.connected || h.logged["ack_timeout"] != 1 {
		t.Fatalf("joined %t, linked %t, logged %v", g.joined, g.connected, h.logged)
	}
	before := h.publishCount["g1"]
	h.setEndpoints(append(readyEndpoints("a", "a1:1"), readyEndpoints("b", "b1:1")...)...)
	h.advance(3*second, "g1", "g2")
	if h.publishCount["g1"] == before || slices.Contains(h.openEndpoints("g1", "view"), "a2:1") {
		t.Errorf("the other gateway waits: %v", h.openEndpoints("g1", "view"))
	}
	if slices.Contains(h.openEndpoints("g2", "view"), "a2:1") {
		t.Errorf("a removed endpoint stays open to the expelled gateway: %v", h.openEndpoints("g2", "view"))
	}
	sent := h.publishCount["g2"]
	h.advance(60*second, "g1", "g2")
	if n := h.publishCount["g2"] - sent; n == 0 || n > 15 {
		t.Errorf("published to %d times in a minute", n)
	}
	h.unresponsive["g2"] = false
	h.advance(60*second, "g1", "g2")
	if !h.core.gateways.byName["g2"].joined || slices.Contains(h.openEndpoints("g2", "view"), "b2:1") {
		t.Errorf("it acknowledges again and may send to %v", h.openEndpoints("g2", "view"))
	}
}

// Two connections under one name are one gateway: the later replaces the earlier, whose end disconnects nothing.
func TestSecondConnectionReplacesTheFirst(t *testing.T) {
	h := newHarness(t, nil)
	h.startFleet()
	old := h.conns["g1"]
	h.connect("g1", "a")
	if !slices.Contains(h.closed, old) {
		t.Error("the first connection stays open")
	}
	h.step(GatewayDisconnected{Gateway: "g1", Conn: old})
	if g := h.core.gateways.byName["g1"]; !g.joined || g.conn != h.conns["g1"] {
		t.Errorf("joined %t on %d", g.joined, g.conn)
	}
	h.step(GatewayDisconnected{Gateway: "g1", Conn: h.conns["g1"]})
	if h.core.gateways.byName["g1"].joined {
		t.Error("the end of its connection does not disconnect it")
	}
}

func TestSilentGatewayIsDisconnected(t *testing.T) {
	h := newHarness(t, nil)
	h.startFleet()
	h.advance(5*second, "g1")
	if h.core.gateways.byName["g2"].joined || !h.core.gateways.byName["g1"].joined || h.logged["gateway_silent"] != 1 {
		t.Errorf("logged %v", h.logged)
	}
}
