package policy

import "testing"

// State changes nothing, and a thousand calls return the same value. This guards against two regressions: State dropped overdue
// messages of a failed instance, and it added up loads and queued lines in the order of maps, so that the last bits varied.
func TestStateChangesNothing(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(5*second, h.steadyReports(21, 0.37, 210_000))
	c := h.channel()
	c.inherited = []pendingMessage{{sentAt: c.turns.deliveredAt - 2*messageExpiry, lines: 100}, {sentAt: c.turns.deliveredAt, lines: 0.3}}
	for i, proxy := range c.allStreams() {
		proxy.unacknowledged = append(proxy.unacknowledged, pendingMessage{sentAt: c.turns.deliveredAt, lines: 0.1 + float64(i)/3})
	}
	want := h.instance.State()
	if want.Served == 0 || want.QueuedLines == 0 {
		t.Fatalf("state %+v, want some requests served and some lines queued", want)
	}
	for range 1000 {
		if got := h.instance.State(); got != want {
			t.Fatalf("state %+v, want %+v as before", got, want)
		}
	}
	if len(c.inherited) != 2 {
		t.Errorf("%d messages of the failed instance are left, want 2", len(c.inherited))
	}
	c.deliver(c.turns.deliveredAt)
	if len(c.inherited) != 1 {
		t.Errorf("%d messages of the failed instance are left after a turn, want 1, as one is overdue", len(c.inherited))
	}
}
