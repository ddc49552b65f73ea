package policy

import (
	"testing"

	"porthub/policyapi"
)

// A drain soon after another change is sent with the next report round and does not wait for the routine interval.
func TestDrainDoesNotWaitForRoutineTurn(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(5*second, h.steadyReports(20, 0.5, 200_000))
	h.advance(second/2, nil)
	other := readyEndpoints("b", "b2")
	other[0].Status = policyapi.Draining
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: other})
	h.now += second / 10
	drain := readyEndpoints("a", "a1")
	drain[0].Status = policyapi.Draining
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: drain})
	h.advance(second/2, h.steadyReports(20, 0.5, 200_000)) // includes the next report round
	for table, lines := range h.tables {
		if w, has := lines["a1"]; has {
			t.Errorf("table %d still has the draining endpoint, with weight %.2f", table, w)
		}
	}
}

// However often endpoints change their status, no proxy is sent more messages in a window than the limit, and without any
// acknowledgement the queue does not exceed its limit.
func TestMessageAndQueueLimitsHold(t *testing.T) {
	h := newHost(t, func(start *policyapi.Start) { start.Rules.QueueLimit = 400 })
	h.neverAcknowledge = true
	h.startFleet()
	for i := range 300 {
		e := readyEndpoints("b", "b1")
		e[0].Status = policyapi.EndpointStatus(i % 2)
		h.step(policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: e})
		h.advance(second/10, h.steadyReports(10+i%50, 0.9, micros(200_000+i*3000)))
	}
	if h.highest["messages"] > 20 {
		t.Errorf("%d messages were sent to one proxy in a window, want 20 at most", h.highest["messages"])
	}
	if h.unacknowledgedLines > 400 {
		t.Errorf("%.0f lines were sent and not acknowledged, want 400 at most", h.unacknowledgedLines)
	}
}

// If a proxy has stopped responding, its unacknowledged messages do not delay the orders to other proxies.
func TestUnresponsiveProxyDoesNotDelayOthers(t *testing.T) {
	h := newHost(t, func(start *policyapi.Start) { start.Rules.QueueLimit = 150 })
	h.startFleet()
	h.advance(5*second, h.steadyReports(20, 0.5, 200_000))
	h.unacknowledging = []policyapi.ProxyID{2}
	other := append(readyEndpoints("c", "c2"), readyEndpoints("b", "b2")...)
	for i := range 30 {
		other[0].Status = []policyapi.EndpointStatus{policyapi.Draining, policyapi.Ready}[i%2]
		other[1].Status = other[0].Status
		h.step(policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: other})
		h.advance(3*second, h.steadyReports(20, 0.5, 200_000))
	}
	drain := readyEndpoints("a", "a1")
	drain[0].Status = policyapi.Draining
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: drain})
	h.advance(2*second, h.steadyReports(20, 0.5, 200_000))
	for p, tables := range h.binds {
		if _, has := h.tables[tables[0]]["a1"]; has {
			t.Errorf("proxy %d still has the draining endpoint", p)
		}
	}
	if s := h.instance.channel.streams[2]; len(s.unacknowledged) > maxUnacknowledged || len(s.unacknowledged) < 10 {
		t.Errorf("%d messages to the unresponsive proxy are retained, want at least 10 and at most maxUnacknowledged",
			len(s.unacknowledged))
	}
}
