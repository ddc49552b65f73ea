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
	// Its health check fails while it answers gateways: no new requests.
	s.advance(2, "a1")
	s.report("eureka", "a1-", "a2+", "a3+", "b1+")
	s.requireList("a1o", "a2+", "a3+", "b1+")
}

// A drain by any source takes effect at once, an operator's above all, and ends when the source ends it.
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
		t.Errorf("a drain without a reason: %v", err)
	}
	if err := s.membership.Drain(s.now, "z9", "why"); !errors.Is(err, ErrUnknownEndpoint) {
		t.Errorf("a drain of an endpoint that no source names: %v", err)
	}
	if err := s.membership.Drain(s.now, "a3", "disk"); err != nil {
		t.Fatal(err)
	}
	s.report("eureka", allUp...)
	s.requireList("a1+", "a2+", "a3o", "b1+", "b2+", "b3+")
	again := newFixture(t)
	again.membership.Restore(again.now, s.membership.Drains(), s.list)
	again.report("eureka", allUp...)
	again.requireList("a1+", "a2+", "a3o", "b1+", "b2+", "b3+")
	if err := s.membership.Undrain(s.now, "a3"); err != nil {
		t.Error(err)
	}
	if err := s.membership.Undrain(s.now, "a3"); !errors.Is(err, ErrNotDrained) {
		t.Errorf("a second undrain: %v", err)
	}
	s.step()
	s.requireList(allUp...)
}

// A registry that drops half of the fleet at once: endpoints that answer are retained; those that leave one by one go at
// once; an authoritative source is followed.
func TestMassDropRetainsAnsweringEndpoints(t *testing.T) {
	s := newFixture(t)
	s.report("eureka", allUp...)
	s.advance(5, allEndpoints...)
	s.report("eureka", "a1+", "a2+", "b3+")
	s.advance(3, allEndpoints...)
	s.requireList(allUp...)
	s.requireStates(map[policyapi.EndpointID]string{"a3": "held", "b1": "held", "b2": "held", "a1": "ready"})
	s.report("eureka", allUp...) // it has recovered
	s.requireList(allUp...)
	s.report("eureka", "a1+", "a2+", "a3+", "b1+", "b2+") // one has left, and still answers
	s.requireStates(map[policyapi.EndpointID]string{"b3": "gone"})
	s.advance(30, allEndpoints...)
	s.report("eureka") // no endpoint at all
	s.advance(3, allEndpoints...)
	s.requireList("a1+", "a2+", "a3+", "b1+", "b2+")
	// Endpoints that no longer answer are removed, retained or not.
	s.advance(8, "a1", "b1")
	s.requireList("a1+", "b1+")
	f := newFixture(t)
	f.report("file", allUp...)
	f.advance(5, allEndpoints...)
	f.report("file", "a1+")
	f.requireList("a1+")
}

// An endpoint that left during a mass drop is removed as soon as the registry names the others again, though it still
// answers.
func TestLeftDuringMassDrop(t *testing.T) {
	s := newFixture(t)
	s.report("eureka", allUp...)
	s.advance(5, allEndpoints...)
	s.report("eureka", "a1+", "a2+", "b3+")
	s.advance(3, allEndpoints...)
	s.requireList(allUp...)
	s.report("eureka", "a1+", "a2+", "a3+", "b2+", "b3+") // b1 has left meanwhile
	s.requireList("a1+", "a2+", "a3+", "b2+", "b3+")
	s.requireStates(map[policyapi.EndpointID]string{"b1": "gone"})
}

// Two endpoints dropped per poll are a mass drop, too.
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
		t.Errorf("%d of 9 are left", len(s.list))
	}
}

// The registry is down from the start, then empty; the file alone has the fleet.
func TestFileReplacesFailedRegistry(t *testing.T) {
	s := newFixture(t)
	s.membership.Apply(s.now, SourceUpdate{Source: "eureka", Error: "refused"})
	s.step()
	if s.lists != 0 {
		t.Error("a list before any source has reported")
	}
	s.report("file", "a1+", "b1+")
	s.requireList("a1+", "b1+")
	s.report("eureka")
	s.requireList("a1+", "b1+")
	s.membership.Apply(s.now, SourceUpdate{Source: "eureka", Error: "time-out"})
	s.step()
	s.requireList("a1+", "b1+")
	if text := strings.Join(s.notes, "\n"); !strings.Contains(text, "poll failed: refused") || !strings.Contains(text, "polls succeed again") {
		t.Error(text)
	}
}

// After a registry's restart re-registered endpoints do not warm up again; one that has really restarted does.
func TestRegistryRestartKeepsStartTimes(t *testing.T) {
	s := newFixture(t)
	s.report("eureka", allUp...)
	s.advance(5, allEndpoints...)
	a := SourceUpdate{Source: "eureka"}
	for _, n := range allUp {
		c := observation(n)
		c.StartedAt = s.now
		a.Observations = append(a.Observations, c)
	}
	s.membership.Apply(s.now, a)
	s.step()
	for _, id := range allEndpoints {
		if at := s.startTime(id); at != 10*second {
			t.Errorf("%s warms up since %d", id, at)
		}
	}
	s.advance(5, allEndpoints...)
	a.Observations = slices.Clone(a.Observations)
	s.membership.Apply(s.now, a) // and the same again
	a.Observations[2].StartedAt = s.now
	s.membership.Apply(s.now, a)
	s.step()
	if at := s.startTime("b1"); at != 10*second {
		t.Errorf("the others warm up since %d", at)
	}
	if at := s.startTime("a3"); at != s.now {
		t.Errorf("it restarted at %d and counts as started at %d", s.now, at)
	}
	a.Observations[1].Instance = "another"
	s.advance(2)
	s.membership.Apply(s.now, a)
	s.step()
	if at := s.startTime("a2"); at != s.now {
		t.Errorf("another process under its address counts as started at %d, now %d", at, s.now)
	}
	a.Observations[0].StartedAt = s.now + 3600*second
	s.membership.Apply(s.now, a)
	s.step()
	if at := s.startTime("a1"); at > s.now {
		t.Errorf("it starts in an hour: %d", at)
	}
}

// A lagging peer of the registry does not override newer observations, and of two instances with one address the later
// one counts.
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
			t.Errorf("the older instance counts: %d", at)
		}
	}
	bad := observation("a1+")
	bad.Zone = "elsewhere"
	s.membership.Apply(s.now, SourceUpdate{Source: "eureka", Observations: []Observation{bad, young}})
	s.step()
	if !strings.Contains(strings.Join(s.notes, "\n"), "elsewhere") {
		t.Error("an unknown zone is not noted")
	}
}

// An endpoint that goes up and down is excluded for longer each time and warms up afterwards; the list changes a few
// times in ten minutes, not a hundred.
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
	t.Logf("%d lists in ten minutes, 120 without damping; excluded for %d s at most", s.lists-before, 5*longest)
	if n := s.lists - before; n > 24 || longest < 12 {
		t.Errorf("%d lists in ten minutes, excluded for %d s at most", n, 5*longest)
	}
	s.report("eureka", allUp...)
	s.advance(400, allEndpoints...)
	s.requireList(allUp...)
	if at := s.startTime("a1"); at < 1000*second {
		t.Errorf("it does not warm up: %d", at)
	}
}

// A zone is not without endpoints while some there answer, unless an authoritative source or an operator wants it so.
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
			t.Errorf("%v, %s since %d", evidence, d.StateName, d.Since)
		}
	}
}

// Of a thousand endpoints 300 flap together for ten minutes: the others stay listed, and the list rarely changes.
func TestFlappingHallOfThousandEndpoints(t *testing.T) {
	s := newFixture(t)
	var up, down []string
	var steady, hall []policyapi.EndpointID
	for i := range 1000 {
		name := fmt.Sprintf("%c%d", "ab"[i%2], i)
		up = append(up, name+"+")
		if i%2 == 1 && i < 600 {
			hall, down = append(hall, policyapi.EndpointID(name)), append(down, name+"-")
		} else {
			steady, down = append(steady, policyapi.EndpointID(name)), append(down, name+"+")
		}
	}
	s.report("eureka", up...)
	s.advance(5, append(slices.Clone(steady), hall...)...)
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
				t.Fatalf("%s, which is up, is not listed in round %d", id, i)
			}
		}
	}
	if n := s.lists - before; n > 20 {
		t.Errorf("%d lists in ten minutes, 60 without damping", n)
	} else {
		t.Logf("%d lists in ten minutes, 60 without damping", n)
	}
}

// A registry in self-preservation has a dead endpoint up: by its own clock the lease has expired, and it answers no gateway.
func TestExpiredLease(t *testing.T) {
	s := newFixture(t)
	dead, alive := observation("a1+"), observation("a2+")
	dead.LeaseDuration, dead.LeaseRenewedAt = 90*second, 100*second
	alive.LeaseDuration, alive.LeaseRenewedAt = 90*second, 300*second
	s.membership.Apply(s.now, SourceUpdate{Source: "eureka", Observations: []Observation{dead, alive}})
	s.step()
	s.requireList("a2+")
	s.membership.ReportTraffic(s.now, "a1", 3, 0) // it answers after all
	s.step()
	s.requireList("a1+", "a2+")
}
