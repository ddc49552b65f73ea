package membership

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"porthub/policyapi"
)

func TestRegistryStatuses(t *testing.T) {
	s := newFixture(t)
	s.report("eureka", "a1+", "a2*", "a3o", "b1-", "b2?")
	s.requireList("a1+", "a3o")
	s.requireStates(map[policyapi.EndpointID]string{"a1": "ready", "a2": "waiting", "a3": "draining", "b1": "waiting", "b2": "gone"})
	s.now += 5 * second
	s.report("eureka", "a1+", "a2+", "a3+", "b1+", "b2+")
	s.requireList("a1+", "a2+", "a3+", "b1+", "b2+")
	s.report("eureka", "a1+", "a2+", "a3+", "b1+")
	s.requireList("a1+", "a2+", "a3+", "b1+")
	// An endpoint whose health check fails while it answers gateways is drained.
	s.advance(2, "a1")
	s.report("eureka", "a1-", "a2+", "a3+", "b1+")
	s.requireList("a1o", "a2+", "a3+", "b1+")
}

// A drain by any source takes effect at once and ends when that source ends it. An operator's drain overrides all sources
// and survives a restart.
func TestDrainPrecedence(t *testing.T) {
	s := newFixture(t)
	s.report("eureka", allUp...)
	s.report("file", allUp...)
	s.report("file", "a1o", "a2+", "a3+", "b1+", "b2+", "b3+")
	s.requireStates(map[policyapi.EndpointID]string{"a1": "draining"})
	s.report("file", allUp...)
	s.requireStates(map[policyapi.EndpointID]string{"a1": "ready"})
	s.report("eureka", "a1+", "a2o", "a3+", "b1+", "b2+", "b3+")
	s.requireStates(map[policyapi.EndpointID]string{"a2": "draining"})
	if err := s.membership.Drain(s.now, "a3", ""); !errors.Is(err, ErrReasonRequired) {
		t.Errorf("drain without a reason: error %v, want ErrReasonRequired", err)
	}
	if err := s.membership.Drain(s.now, "z9", "why"); !errors.Is(err, ErrUnknownEndpoint) {
		t.Errorf("drain of an unknown endpoint: error %v, want ErrUnknownEndpoint", err)
	}
	if err := s.membership.Drain(s.now, "a3", "disk"); err != nil {
		t.Fatal(err)
	}
	s.report("eureka", allUp...)
	s.requireList("a1+", "a2+", "a3o", "b1+", "b2+", "b3+")
	restarted := newFixture(t)
	restarted.membership.Restore(restarted.now, s.membership.Drains(), s.list)
	restarted.report("eureka", allUp...)
	restarted.requireList("a1+", "a2+", "a3o", "b1+", "b2+", "b3+")
	if err := s.membership.Undrain(s.now, "a3"); err != nil {
		t.Error(err)
	}
	if err := s.membership.Undrain(s.now, "a3"); !errors.Is(err, ErrNotDrained) {
		t.Errorf("second undrain: error %v, want ErrNotDrained", err)
	}
	s.step()
	s.requireList(allUp...)
}

// If a registry drops half of the fleet or all of it at once, the endpoints that answer gateways are retained. An endpoint
// that is dropped alone is removed immediately although it answers, and drops by an authoritative source are always applied.
func TestMassDropRetainsAnsweringEndpoints(t *testing.T) {
	s := newFixture(t)
	s.report("eureka", allUp...)
	s.advance(5, allEndpoints...)
	s.report("eureka", "a1+", "a2+", "b3+")
	s.advance(3, allEndpoints...)
	s.requireList(allUp...)
	s.requireStates(map[policyapi.EndpointID]string{"a3": "held", "b1": "held", "b2": "held", "a1": "ready"})
	s.report("eureka", allUp...) // the registry has recovered
	s.requireList(allUp...)
	s.report("eureka", "a1+", "a2+", "a3+", "b1+", "b2+") // b3 has left and still answers
	s.requireStates(map[policyapi.EndpointID]string{"b3": "gone"})
	s.advance(30, allEndpoints...)
	s.report("eureka") // the response lists no endpoint
	s.advance(3, allEndpoints...)
	s.requireList("a1+", "a2+", "a3+", "b1+", "b2+")
	// Retained endpoints are removed when they no longer answer.
	s.advance(8, "a1", "b1")
	s.requireList("a1+", "b1+")
	f := newFixture(t)
	f.report("file", allUp...)
	f.advance(5, allEndpoints...)
	f.report("file", "a1+")
	f.requireList("a1+")
}

// An endpoint that leaves during a mass drop is removed as soon as the registry lists the others again, although it still
// answers gateways.
func TestLeftDuringMassDrop(t *testing.T) {
	s := newFixture(t)
	s.report("eureka", allUp...)
	s.advance(5, allEndpoints...)
	s.report("eureka", "a1+", "a2+", "b3+")
	s.advance(3, allEndpoints...)
	s.requireList(allUp...)
	s.report("eureka", "a1+", "a2+", "a3+", "b2+", "b3+") // b1 has left in the meantime
	s.requireList("a1+", "a2+", "a3+", "b2+", "b3+")
	s.requireStates(map[policyapi.EndpointID]string{"b1": "gone"})
}

// A registry that drops two endpoints in each poll causes a mass drop, although no single poll drops enough of them.
func TestGradualMassDrop(t *testing.T) {
	s := newFixture(t)
	var all []string
	var endpoints []policyapi.EndpointID
	for i := range 9 {
		all = append(all, fmt.Sprintf("a%d+", i))
		endpoints = append(endpoints, policyapi.EndpointID(fmt.Sprintf("a%d", i)))
	}
	s.report("eureka", all...)
	s.advance(5, endpoints...)
	for n := 7; n >= 1; n -= 2 {
		s.report("eureka", all[:n]...)
		s.advance(1, endpoints...)
	}
	if len(s.list) < 7 {
		t.Errorf("%d of 9 endpoints are still listed, want at least 7", len(s.list))
	}
}

// The file alone provides the fleet while the registry is down from the start and later returns no endpoints.
func TestFileReplacesFailedRegistry(t *testing.T) {
	s := newFixture(t)
	s.membership.Apply(s.now, SourceUpdate{Source: "eureka", Error: "refused"})
	s.step()
	if s.lists != 0 {
		t.Error("a list is returned before any source has reported successfully")
	}
	s.report("file", "a1+", "b1+")
	s.requireList("a1+", "b1+")
	s.report("eureka")
	s.requireList("a1+", "b1+")
	s.membership.Apply(s.now, SourceUpdate{Source: "eureka", Error: "time-out"})
	s.step()
	s.requireList("a1+", "b1+")
	if text := strings.Join(s.notes, "\n"); !strings.Contains(text, "poll failed: refused") || !strings.Contains(text, "polls succeed again") {
		t.Errorf("notes are %q, want both the failed poll and the recovery", text)
	}
}

// After a restart of the registry all endpoints register again with new start times. They must not go through slow start
// again, unlike an endpoint that has really restarted.
func TestRegistryRestartKeepsStartTimes(t *testing.T) {
	s := newFixture(t)
	s.report("eureka", allUp...)
	s.advance(5, allEndpoints...)
	update := SourceUpdate{Source: "eureka"}
	for _, endpoint := range allUp {
		registered := observation(endpoint)
		registered.StartedAt = s.now
		update.Observations = append(update.Observations, registered)
	}
	s.membership.Apply(s.now, update)
	s.step()
	for _, id := range allEndpoints {
		if at := s.startTime(id); at != 10*second {
			t.Errorf("start time of %s is %d after the registry's restart, want 10 s as before", id, at)
		}
	}
	s.advance(5, allEndpoints...)
	update.Observations = slices.Clone(update.Observations)
	s.membership.Apply(s.now, update) // the same response again
	update.Observations[2].StartedAt = s.now
	s.membership.Apply(s.now, update)
	s.step()
	if at := s.startTime("b1"); at != 10*second {
		t.Errorf("start time of b1 is %d after the restart of another endpoint, want 10 s as before", at)
	}
	if at := s.startTime("a3"); at != s.now {
		t.Errorf("a3 restarted at %d, but its start time is %d", s.now, at)
	}
	update.Observations[1].Instance = "another"
	s.advance(2)
	s.membership.Apply(s.now, update)
	s.step()
	if at := s.startTime("a2"); at != s.now {
		t.Errorf("start time of a2 is %d after a new process took its address, want the current time %d", at, s.now)
	}
	update.Observations[0].StartedAt = s.now + 3600*second
	s.membership.Apply(s.now, update)
	s.step()
	if at := s.startTime("a1"); at > s.now {
		t.Errorf("start time of a1 is %d, in the future", at)
	}
}

// A peer of the registry that lags behind does not override newer observations. If two instances share an address, the one
// that started later is used, in whichever order they are listed.
func TestLaggingPeersAndDuplicateAddresses(t *testing.T) {
	s := newFixture(t)
	out := observation("a1o")
	out.ChangedAt = s.now
	s.membership.Apply(s.now, SourceUpdate{Source: "eureka", Observations: []Observation{out, observation("b1+")}})
	s.step()
	lagging := observation("a1+")
	lagging.ChangedAt = s.now - 30*second
	s.membership.Apply(s.now, SourceUpdate{Source: "eureka", Observations: []Observation{lagging, observation("b1+")}})
	s.step()
	s.requireStates(map[policyapi.EndpointID]string{"a1": "draining"})
	old, young := observation("b1+"), observation("b1+")
	old.Instance, old.StartedAt = "old", 5*second
	young.Instance, young.Zone, young.StartedAt = "young", "a", s.now-second
	for _, instances := range [][]Observation{{old, young}, {young, old}} {
		s.membership.Apply(s.now, SourceUpdate{Source: "eureka", Observations: instances})
		s.step()
		if at := s.startTime("b1"); at != s.now-second {
			t.Errorf("start time of b1 is %d, want that of the younger instance", at)
		}
	}
	bad := observation("a1+")
	bad.Zone = "elsewhere"
	s.membership.Apply(s.now, SourceUpdate{Source: "eureka", Observations: []Observation{bad, young}})
	s.step()
	if !strings.Contains(strings.Join(s.notes, "\n"), "elsewhere") {
		t.Error("no note names the unknown zone")
	}
}

// An endpoint that repeatedly goes up and down is excluded for longer each time and goes through slow start afterward.
// Without the exclusion the list would change 120 times in ten minutes.
func TestFlappingIsDamped(t *testing.T) {
	s := newFixture(t)
	s.report("eureka", allUp...)
	before, longest, excluded := s.lists, 0, 0
	for i := range 120 {
		if i%2 == 0 {
			s.report("eureka", "a1-", "a2+", "a3+", "b1+", "b2+", "b3+")
		} else {
			s.report("eureka", allUp...)
		}
		s.advance(5, "a2", "a3", "b1", "b2", "b3")
		if !slices.ContainsFunc(s.list, func(e policyapi.Endpoint) bool { return e.ID == "a1" }) {
			excluded++
			longest = max(longest, excluded)
		} else {
			excluded = 0
		}
	}
	t.Logf("%d changed lists in ten minutes, 120 without damping; longest exclusion %d s", s.lists-before, 5*longest)
	if n := s.lists - before; n > 24 || longest < 12 {
		t.Errorf("%d changed lists in ten minutes, want at most 24; longest exclusion %d s, want at least 60 s", n, 5*longest)
	}
	s.report("eureka", allUp...)
	s.advance(400, allEndpoints...)
	s.requireList(allUp...)
	if at := s.startTime("a1"); at < 1000*second {
		t.Errorf("start time of a1 is %d after its exclusion, want at least 1000 s", at)
	}
}

// A zone keeps an endpoint that answers gateways, although the registry has dropped it, until an operator drains it.
func TestZoneIsNeverEmptyWhileEndpointsAnswer(t *testing.T) {
	s := newFixture(t)
	s.report("eureka", "a1+", "b1+")
	s.advance(5, "a1", "b1")
	s.report("eureka", "b1+")
	s.requireList("a1+", "b1+")
	s.advance(20, "b1")
	s.requireList("b1+")
	s.report("eureka", "a1+", "b1+")
	s.advance(3, "a1", "b1")
	if err := s.membership.Drain(s.now, "a1", "why"); err != nil {
		t.Fatal(err)
	}
	s.step()
	s.requireList("a1o", "b1+")
}

func TestDecisionsShowEvidence(t *testing.T) {
	s := newFixture(t)
	s.report("file", "a1+")
	s.report("eureka", "a1o", "a2+")
	s.advance(1, "a1")
	for _, d := range s.membership.Decisions() {
		var evidence []string
		for _, o := range d.Observations {
			evidence = append(evidence, o.Source+": "+o.Text)
		}
		if want := "eureka: out of service, file: up, gateways: answered"; d.Endpoint == "a1" && (strings.Join(evidence, ", ") != want || d.StateName != "draining" || d.Since == 0) {
			t.Errorf("evidence %v, state %s since %d; want evidence of all three sources, state draining and a time",
				evidence, d.StateName, d.Since)
		}
	}
}

// While 300 of a thousand endpoints flap together for ten minutes, the others stay listed and the list rarely changes.
func TestManyEndpointsFlapTogether(t *testing.T) {
	s := newFixture(t)
	var up, down []string
	var steady, flapping []policyapi.EndpointID
	for i := range 1000 {
		name := fmt.Sprintf("%c%d", "ab"[i%2], i)
		up = append(up, name+"+")
		if i%2 == 1 && i < 600 {
			flapping, down = append(flapping, policyapi.EndpointID(name)), append(down, name+"-")
		} else {
			steady, down = append(steady, policyapi.EndpointID(name)), append(down, name+"+")
		}
	}
	s.report("eureka", up...)
	s.advance(5, append(slices.Clone(steady), flapping...)...)
	before := s.lists
	for i := range 60 {
		if i%2 == 0 {
			s.report("eureka", down...)
		} else {
			s.report("eureka", up...)
		}
		s.now += 10 * second
		for _, id := range steady {
			s.membership.ReportTraffic(s.now, id, 5, 0)
		}
		s.step()
		listed := map[policyapi.EndpointID]bool{}
		for _, e := range s.list {
			listed[e.ID] = true
		}
		for _, id := range steady {
			if !listed[id] {
				t.Fatalf("endpoint %s is up but not in the list in round %d", id, i)
			}
		}
	}
	if n := s.lists - before; n > 20 {
		t.Errorf("%d changed lists in ten minutes, want at most 20 (60 without damping)", n)
	} else {
		t.Logf("%d changed lists in ten minutes, 60 without damping", n)
	}
}

// A registry in self-preservation lists a failed endpoint as up. Its lease has expired by the registry's clock, and it answers
// no gateway, so it is not listed.
func TestExpiredLease(t *testing.T) {
	s := newFixture(t)
	dead, alive := observation("a1+"), observation("a2+")
	dead.LeaseDuration, dead.LeaseRenewedAt = 90*second, 100*second
	alive.LeaseDuration, alive.LeaseRenewedAt = 90*second, 300*second
	s.membership.Apply(s.now, SourceUpdate{Source: "eureka", Observations: []Observation{dead, alive}})
	s.step()
	s.requireList("a2+")
	s.membership.ReportTraffic(s.now, "a1", 3, 0) // it answers in spite of its expired lease
	s.step()
	s.requireList("a1+", "a2+")
}
