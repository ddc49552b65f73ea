package coordinator

import (
	"slices"
	"testing"

	"porthub/policyapi"
	"porthub/routing"
)

// Only acknowledgements of a version in flight, on the gateway's current connection, are accepted. A rejected document is sent
// again after a backoff.
func TestAcknowledgements(t *testing.T) {
	h := newHarness(t, nil)
	h.startFleet()
	h.unresponsive["g1"] = true
	h.setEndpoints(readyEndpoints("a", "a1:1")...)
	g := h.core.gateways.byName["g1"]
	waiting := len(g.delivery.Unacknowledged())
	if waiting == 0 {
		t.Fatal("no message is in flight to g1")
	}
	m := g.delivery.Unacknowledged()[0]
	for name, ack := range map[string]DocumentAck{
		"version never sent":         {Version: "e.999", Nonce: "e.999"},
		"version of another process": {Version: "x.1", Nonce: "x.1"},
		"version of earlier message": {Version: "e.1", Nonce: "e.1"},
		"another connection":         {Version: m.Version, Nonce: m.Version, Conn: 99},
		"unknown document":           {Version: m.Version, Nonce: m.Version, Document: 7},
		"rejects an earlier message": {Version: "e.1", Nonce: "e.1", Error: "no"},
	} {
		t.Run(name, func(t *testing.T) {
			ack.Gateway = "g1"
			if ack.Conn == 0 {
				ack.Conn = h.conns["g1"]
			}
			h.step(ack)
			if n := len(g.delivery.Unacknowledged()); n != waiting {
				t.Errorf("%d messages in flight, want %d as before", n, waiting)
			}
		})
	}
	if h.logged["unknown_version"] == 0 {
		t.Error("the acknowledgement of a version that was never sent is not logged")
	}
	// The rejected document is sent again only after a backoff.
	before := h.publishCount["g1"]
	h.step(DocumentAck{Gateway: "g1", Conn: h.conns["g1"], Version: "e.1", Nonce: m.Version, Error: "unexpected end"})
	if h.publishCount["g1"] != before {
		t.Error("a rejected document is sent again without a backoff")
	}
	h.unresponsive["g1"] = false
	h.advance(3*second, "g1", "g2")
	if h.publishCount["g1"] == before || len(g.delivery.Unacknowledged()) != 0 || h.logged["document_rejected"] != 1 {
		t.Errorf("after a rejection: published %d times, %d messages in flight, logged %v; want at least 1, 0 and 1 document_rejected", h.publishCount["g1"]-before,
			len(g.delivery.Unacknowledged()), h.logged)
	}
}

// A gateway that reports a wrong checksum is sent all documents again, after a longer time with each mismatch.
func TestWrongChecksum(t *testing.T) {
	h := newHarness(t, nil)
	h.startFleet()
	g := h.core.gateways.byName["g1"]
	ack := func(sum uint64) {
		h.step(DocumentAck{Gateway: "g1", Conn: h.conns["g1"], Version: g.delivery.Confirmed(int(EndpointsDocument)).Version, Checksum: sum})
	}
	before := h.publishCount["g1"]
	if ack(routing.Checksum(h.published["g1"].Snapshot)); h.logged["checksum_mismatch"] != 0 {
		t.Error("the correct checksum is logged as a mismatch")
	}
	ack(12345)
	h.advance(3*second, "g1", "g2")
	if h.publishCount["g1"] != before+1 || h.logged["checksum_mismatch"] != 1 {
		t.Errorf("after a mismatch: published %d times, logged %v; want 1 publication and 1 checksum_mismatch", h.publishCount["g1"]-before, h.logged)
	}
	for range 200 {
		ack(12345)
		h.advance(100_000, "g1", "g2")
	}
	if n := h.publishCount["g1"] - before; n > 6 {
		t.Errorf("published %d times in 20 s to a gateway whose checksum stays wrong, want at most 6", n)
	}
}

// A checksum that covers versions which have been replaced since is ignored.
func TestChecksumOfEarlierVersionsIsIgnored(t *testing.T) {
	h := newHarness(t, nil)
	h.startFleet()
	h.advance(5*second, "g1", "g2")
	g := h.core.gateways.byName["g1"]
	before := h.publishCount["g1"]
	ack := func(versions [documentCount]string) {
		h.step(DocumentAck{Gateway: "g1", Conn: h.conns["g1"], Version: g.delivery.Confirmed(int(EndpointsDocument)).Version, Checksum: 12345, ChecksumVersions: versions})
	}
	if ack([documentCount]string{g.delivery.Confirmed(int(EndpointsDocument)).Version, "e.0"}); h.logged["checksum_mismatch"] != 0 || h.publishCount["g1"] != before {
		t.Errorf("checksum of replaced versions: logged %v, want no checksum_mismatch and no publication", h.logged)
	}
	if ack([documentCount]string{g.delivery.Confirmed(int(EndpointsDocument)).Version, g.delivery.Confirmed(int(RoutesDocument)).Version}); h.logged["checksum_mismatch"] != 1 {
		t.Errorf("checksum of the current versions: logged %v, want 1 checksum_mismatch", h.logged)
	}
}

// However fast the list changes, no gateway gets more messages than the limit, and in the end it has the current documents.
func TestMessagesStayUnderTheLimit(t *testing.T) {
	h := newHarness(t, nil)
	h.startFleet()
	var at []microseconds
	before := h.publishCount["g1"]
	for i := range 300 {
		e := append(readyEndpoints("a", "a1:1", "a2:1", "a3:1"), readyEndpoints("b", "b1:1", "b2:1")...)
		e[i%4].Status = policyapi.Draining
		h.setEndpoints(e...)
		for ; before < h.publishCount["g1"]; before++ {
			at = append(at, h.now)
		}
		h.advance(100_000, "g1", "g2")
		for ; before < h.publishCount["g1"]; before++ {
			at = append(at, h.now)
		}
	}
	for i := range at {
		if n := i + 1 - slices.IndexFunc(at, func(x microseconds) bool { return at[i]-x <= 10*second }); n > 20 {
			t.Fatalf("%d messages within 10 s, want at most 20", n)
		}
	}
	if len(at) < 20 {
		t.Errorf("%d messages in 30 s, want at least 20 so that the limit is reached", len(at))
	}
	h.setEndpoints(append(readyEndpoints("a", "a1:1"), readyEndpoints("b", "b1:1", "b2:1")...)...)
	h.advance(12*second, "g1", "g2")
	if open := h.openEndpoints("g1", "view"); slices.Contains(open, "a2:1") || slices.Contains(open, "a3:1") || len(open) == 0 {
		t.Errorf("in the end g1 may send to %v, want some endpoints without the removed a2:1 and a3:1", open)
	}
}

// By default documents are not synced to disk. With SyncDocuments, syncs are suspended while acknowledgements are late, as with a
// busy disk, and resumed once they are fast again.
func TestSyncIsSuspendedWhileAcksAreLate(t *testing.T) {
	h := newHarness(t, nil)
	if h.startFleet(); h.published["g1"].Sync {
		t.Error("documents are synced without SyncDocuments")
	}
	h = newHarness(t, func(s *Settings) { s.SyncDocuments = true })
	h.startFleet()
	if !h.published["g1"].Sync {
		t.Error("documents are not synced although acknowledgements are fast")
	}
	h.unresponsive["g1"], h.unresponsive["g2"] = true, true
	drained := func(i int) []policyapi.Endpoint {
		e := fourEndpoints()
		e[i%4].Status = policyapi.Draining
		return e
	}
	for i := range 2 {
		h.setEndpoints(drained(i)...)
		h.advance(second, "g1", "g2")
	}
	if h.published["g1"].Sync || h.logged["slow_disk"] != 1 {
		t.Errorf("late acknowledgements: want no syncs and 1 slow_disk entry; logged %v", h.logged)
	}
	h.unresponsive["g1"], h.unresponsive["g2"] = false, false
	for i := range 30 {
		h.setEndpoints(drained(i)...)
		h.advance(2*second, "g1", "g2")
	}
	if !h.published["g1"].Sync {
		t.Error("documents are not synced although acknowledgements are fast again")
	}
}
