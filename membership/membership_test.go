package membership

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"porthub/policyapi"
)

// site is a membership with one registry (eureka) and one file that binds.
type site struct {
	t   *testing.T
	m   *Membership
	now policyapi.Microseconds
	// listed is the list as it was told last.
	listed  []policyapi.Endpoint
	changes int
	notes   []string
}

func newSite(t *testing.T) *site {
	return &site{t: t, now: 1000 * second, m: New(Settings{Zones: []policyapi.Zone{"a", "b"}, Authoritative: map[string]bool{"file": true},
		Sources: []string{"file", "eureka", "other"}})}
}

func (s *site) step() {
	list, changed, notes := s.m.Step(s.now)
	if changed {
		s.listed = list
		s.changes++
	}
	s.notes = append(s.notes, notes...)
}

// says gives a source's whole answer: names with a mark after them, + up, * starting, o out of service, - down.
func (s *site) says(source string, nodes ...string) {
	a := SourceUpdate{Source: source}
	for _, n := range nodes {
		a.Observations = append(a.Observations, claim(n))
	}
	s.m.Apply(s.now, a)
	s.step()
}

func claim(n string) Observation {
	c := Observation{Endpoint: policyapi.EndpointID(n[:len(n)-1]), Instance: n[:len(n)-1], Zone: policyapi.Zone(n[:1]), Weight: 1, StartedAt: 10 * second}
	c.Status = map[byte]Status{'+': Up, '*': Starting, 'o': OutOfService, '-': Down, '?': Unknown}[n[len(n)-1]]
	return c
}

// pass lets time go by, a second at a time; the nodes named answer gateways.
func (s *site) pass(seconds int, serving ...policyapi.EndpointID) {
	for range seconds {
		s.now += second
		for _, b := range serving {
			s.m.ReportTraffic(s.now, b, 5, 0)
		}
		s.step()
	}
}

func (s *site) is(want map[policyapi.EndpointID]string) {
	s.t.Helper()
	for _, v := range s.m.Decisions() {
		if w, asked := want[v.Endpoint]; asked && v.StateName != w {
			s.t.Errorf("%s is %s (%s), want %s", v.Endpoint, v.StateName, v.Reason, w)
		}
	}
}

func (s *site) lists(want ...string) {
	s.t.Helper()
	var got []string
	for _, e := range s.listed {
		mark := "+"
		if e.Status == policyapi.Draining {
			mark = "o"
		}
		got = append(got, string(e.ID)+mark)
	}
	if !slices.Equal(got, want) {
		s.t.Errorf("the list is %v, want %v", got, want)
	}
}

func (s *site) launched(b policyapi.EndpointID) policyapi.Microseconds {
	for _, e := range s.listed {
		if e.ID == b {
			return e.StartedAt
		}
	}
	s.t.Fatalf("%s is not listed", b)
	return 0
}

var six = []string{"a1+", "a2+", "a3+", "b1+", "b2+", "b3+"}
var sixNodes = []policyapi.EndpointID{"a1", "a2", "a3", "b1", "b2", "b3"}

// The states of a registry one by one.
func TestStatuses(t *testing.T) {
	s := newSite(t)
	s.says("eureka", "a1+", "a2*", "a3o", "b1-", "b2?")
	s.lists("a1+", "a3o")
	s.is(map[policyapi.EndpointID]string{"a1": "ready", "a2": "waiting", "a3": "draining", "b1": "waiting", "b2": "gone"})
	s.now += 5 * second
	s.says("eureka", "a1+", "a2+", "a3+", "b1+", "b2+")
	s.lists("a1+", "a2+", "a3+", "b1+", "b2+")
	s.says("eureka", "a1+", "a2+", "a3+", "b1+")
	s.lists("a1+", "a2+", "a3+", "b1+")
	// Its check fails while gateways are answered: nothing new to it.
	s.pass(2, "a1")
	s.says("eureka", "a1-", "a2+", "a3+", "b1+")
	s.lists("a1o", "a2+", "a3+", "b1+")
}

// A drain by any source counts at once, an operator's above all, and ends when the source takes it back.
func TestDrains(t *testing.T) {
	s := newSite(t)
	s.says("eureka", six...)
	s.says("file", six...)
	s.says("file", "a1o", "a2+", "a3+", "b1+", "b2+", "b3+")
	s.is(map[policyapi.EndpointID]string{"a1": "draining"})
	s.says("file", six...)
	s.is(map[policyapi.EndpointID]string{"a1": "ready"})
	s.says("eureka", "a1+", "a2o", "a3+", "b1+", "b2+", "b3+")
	s.is(map[policyapi.EndpointID]string{"a2": "draining"})
	if err := s.m.Drain(s.now, "a3", ""); err == nil {
		t.Error("a drain without a reason")
	}
	if err := s.m.Drain(s.now, "z9", "why"); err == nil {
		t.Error("a node that nobody names is drained")
	}
	if err := s.m.Drain(s.now, "a3", "disk"); err != nil {
		t.Fatal(err)
	}
	s.says("eureka", six...)
	s.lists("a1+", "a2+", "a3o", "b1+", "b2+", "b3+")
	again := newSite(t)
	again.m.Restore(again.now, s.m.Drains(), s.listed)
	again.says("eureka", six...)
	again.lists("a1+", "a2+", "a3o", "b1+", "b2+", "b3+")
	if err := s.m.Undrain(s.now, "a3"); err != nil || s.m.Undrain(s.now, "a3") == nil {
		t.Error(err)
	}
	s.step()
	s.lists(six...)
}

// A registry that has forgotten half the fleet: who serves stays; those that left one by one go at once; one that binds is
// believed.
func TestForgottenHalf(t *testing.T) {
	s := newSite(t)
	s.says("eureka", six...)
	s.pass(5, sixNodes...)
	s.says("eureka", "a1+", "a2+", "b3+")
	s.pass(3, sixNodes...)
	s.lists(six...)
	s.is(map[policyapi.EndpointID]string{"a3": "held", "b1": "held", "b2": "held", "a1": "ready"})
	s.says("eureka", six...) // it remembers
	s.lists(six...)
	s.says("eureka", "a1+", "a2+", "a3+", "b1+", "b2+") // one has left, and answers still
	s.is(map[policyapi.EndpointID]string{"b3": "gone"})
	s.pass(30, sixNodes...)
	s.says("eureka") // nothing at all
	s.pass(3, sixNodes...)
	s.lists("a1+", "a2+", "a3+", "b1+", "b2+")
	// What does not answer any more goes, held or not; what does, not for ever.
	s.pass(8, "a1", "b1")
	s.lists("a1+", "b1+")
	f := newSite(t)
	f.says("file", six...)
	f.pass(5, sixNodes...)
	f.says("file", "a1+")
	f.lists("a1+")
}

// What left while its registry had forgotten half is let go as soon as the registry names the others again, though it still
// answers.
func TestLeftWhileForgotten(t *testing.T) {
	s := newSite(t)
	s.says("eureka", six...)
	s.pass(5, sixNodes...)
	s.says("eureka", "a1+", "a2+", "b3+")
	s.pass(3, sixNodes...)
	s.lists(six...)
	s.says("eureka", "a1+", "a2+", "a3+", "b2+", "b3+") // b1 was taken out meanwhile
	s.lists("a1+", "a2+", "a3+", "b2+", "b3+")
	s.is(map[policyapi.EndpointID]string{"b1": "gone"})
}

// By and by: two nodes an answer are forgotten too.
func TestForgottenByAndBy(t *testing.T) {
	s := newSite(t)
	var all []string
	var nodes []policyapi.EndpointID
	for i := range 9 {
		all = append(all, fmt.Sprintf("a%d+", i))
		nodes = append(nodes, policyapi.EndpointID(fmt.Sprintf("a%d", i)))
	}
	s.says("eureka", all...)
	s.pass(5, nodes...)
	for n := 7; n >= 1; n -= 2 {
		s.says("eureka", all[:n]...)
		s.pass(1, nodes...)
	}
	if len(s.listed) < 7 {
		t.Errorf("%d of 9 are left", len(s.listed))
	}
}

// Registry down from the start, then empty; the other source carries the fleet.
func TestSourcesStandIn(t *testing.T) {
	s := newSite(t)
	s.m.Apply(s.now, SourceUpdate{Source: "eureka", Error: "refused"})
	s.step()
	if s.changes != 0 {
		t.Error("a list by nobody's word")
	}
	s.says("file", "a1+", "b1+")
	s.lists("a1+", "b1+")
	s.says("eureka")
	s.lists("a1+", "b1+")
	s.m.Apply(s.now, SourceUpdate{Source: "eureka", Error: "time-out"})
	s.step()
	s.lists("a1+", "b1+")
	if text := strings.Join(s.notes, "\n"); !strings.Contains(text, "gives no answer: refused") || !strings.Contains(text, "answers again") {
		t.Error(text)
	}
}

// A mass re-registration after the registry's restart is no mass cold start; one process that really restarted is cold,
// whatever else is true.
func TestMassRegistration(t *testing.T) {
	s := newSite(t)
	s.says("eureka", six...)
	s.pass(5, sixNodes...)
	a := SourceUpdate{Source: "eureka"}
	for _, n := range six {
		c := claim(n)
		c.StartedAt = s.now
		a.Observations = append(a.Observations, c)
	}
	s.m.Apply(s.now, a)
	s.step()
	for _, b := range sixNodes {
		if at := s.launched(b); at != 10*second {
			t.Errorf("%s is cold since %d", b, at)
		}
	}
	s.pass(5, sixNodes...)
	a.Observations = slices.Clone(a.Observations)
	s.m.Apply(s.now, a) // and says so again and again
	a.Observations[2].StartedAt = s.now
	s.m.Apply(s.now, a)
	s.step()
	if at := s.launched("b1"); at != 10*second {
		t.Errorf("the others are cold since %d", at)
	}
	if at := s.launched("a3"); at != s.now {
		t.Errorf("it has restarted at %d, and counts as started at %d", s.now, at)
	}
	a.Observations[1].Instance = "another"
	s.pass(2)
	s.m.Apply(s.now, a)
	s.step()
	if at := s.launched("a2"); at != s.now {
		t.Errorf("another process under its address counts as started at %d, now %d", at, s.now)
	}
	a.Observations[0].StartedAt = s.now + 3600*second
	s.m.Apply(s.now, a)
	s.step()
	if at := s.launched("a1"); at > s.now {
		t.Errorf("it starts in an hour: %d", at)
	}
}

// A lagging peer of the registry does not take back what is known to be newer, and two claims of one address are one node.
func TestPeersAndTwins(t *testing.T) {
	s := newSite(t)
	out := claim("a1o")
	out.ChangedAt = s.now
	s.m.Apply(s.now, SourceUpdate{Source: "eureka", Observations: []Observation{out, claim("b1+")}})
	s.step()
	lagging := claim("a1+")
	lagging.ChangedAt = s.now - 30*second
	s.m.Apply(s.now, SourceUpdate{Source: "eureka", Observations: []Observation{lagging, claim("b1+")}})
	s.step()
	s.is(map[policyapi.EndpointID]string{"a1": "draining"})
	old, young := claim("b1+"), claim("b1+")
	old.Instance, old.StartedAt = "old", 5*second
	young.Instance, young.Zone, young.StartedAt = "young", "a", s.now-second
	for _, twins := range [][]Observation{{old, young}, {young, old}} {
		s.m.Apply(s.now, SourceUpdate{Source: "eureka", Observations: twins})
		s.step()
		if at := s.launched("b1"); at != s.now-second {
			t.Errorf("the older twin counts: %d", at)
		}
	}
	bad := claim("a1+")
	bad.Zone = "elsewhere"
	s.m.Apply(s.now, SourceUpdate{Source: "eureka", Observations: []Observation{bad, young}})
	s.step()
	if !strings.Contains(strings.Join(s.notes, "\n"), "elsewhere") {
		t.Error("an unknown zone passes unsaid")
	}
}

// A node that goes up and down is out for longer each time and comes back cold; a list of it changes a few times in ten
// minutes, not a hundred.
func TestFlapping(t *testing.T) {
	s := newSite(t)
	s.says("eureka", six...)
	before, longest, out := s.changes, 0, 0
	for i := range 120 {
		if i%2 == 0 {
			s.says("eureka", "a1-", "a2+", "a3+", "b1+", "b2+", "b3+")
		} else {
			s.says("eureka", six...)
		}
		s.pass(5, "a2", "a3", "b1", "b2", "b3")
		if !slices.ContainsFunc(s.listed, func(e policyapi.Endpoint) bool { return e.ID == "a1" }) {
			if out++; out > longest {
				longest = out
			}
		} else {
			out = 0
		}
	}
	t.Logf("%d lists in ten minutes, 120 without damping; out for %d s at most", s.changes-before, 5*longest)
	if n := s.changes - before; n > 24 || longest < 12 {
		t.Errorf("%d lists in ten minutes, out for %d s at most", n, 5*longest)
	}
	s.says("eureka", six...)
	s.pass(400, sixNodes...)
	s.lists(six...)
	if at := s.launched("a1"); at < 1000*second {
		t.Errorf("it comes back warm: %d", at)
	}
}

// Never is a zone without anybody while nodes of it serve, unless a source that binds or an operator says so.
func TestNeverEmptyWhileNodesServe(t *testing.T) {
	s := newSite(t)
	s.says("eureka", "a1+", "b1+")
	s.pass(5, "a1", "b1")
	s.says("eureka", "b1+")
	s.lists("a1+", "b1+")
	s.pass(20, "b1")
	s.lists("b1+")
	s.says("eureka", "a1+", "b1+")
	s.pass(3, "a1", "b1")
	if err := s.m.Drain(s.now, "a1", "why"); err != nil {
		t.Fatal(err)
	}
	s.step()
	s.lists("a1o", "b1+")
}

// What every source says stands beside what was decided.
func TestVerdictsShowEvidence(t *testing.T) {
	s := newSite(t)
	s.says("file", "a1+")
	s.says("eureka", "a1o", "a2+")
	s.pass(1, "a1")
	for _, v := range s.m.Decisions() {
		var said []string
		for _, x := range v.Observations {
			said = append(said, x.Source+": "+x.Text)
		}
		if want := "eureka: out of service, file: up, gateways: answered"; v.Endpoint == "a1" && (strings.Join(said, ", ") != want || v.StateName != "draining" || v.Since == 0) {
			t.Errorf("%v, %s since %d", said, v.StateName, v.Since)
		}
	}
}

// A thousand nodes, a hall of which flaps for ten minutes while the registry answers each five seconds: the others' lines
// never change, and the list does not change by the hundred.
func TestThousandNodesOneFlappingHall(t *testing.T) {
	s := newSite(t)
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
	s.says("eureka", up...)
	s.pass(5, append(slices.Clone(steady), hall...)...)
	before := s.changes
	for i := range 60 {
		if i%2 == 0 {
			s.says("eureka", down...)
		} else {
			s.says("eureka", up...)
		}
		s.now += 10 * second
		for _, b := range steady {
			s.m.ReportTraffic(s.now, b, 5, 0)
		}
		s.step()
		listed := map[policyapi.EndpointID]bool{}
		for _, e := range s.listed {
			listed[e.ID] = true
		}
		for _, b := range steady {
			if !listed[b] {
				t.Fatalf("%s, which is well, is out in round %d", b, i)
			}
		}
	}
	if n := s.changes - before; n > 20 {
		t.Errorf("%d lists in ten minutes, 60 without damping", n)
	} else {
		t.Logf("%d lists in ten minutes, 60 without damping", n)
	}
}

// A registry that preserves itself keeps a dead node up: by its own clock the lease is long overdue, and nobody has an answer.
func TestOverdueLease(t *testing.T) {
	s := newSite(t)
	dead, well := claim("a1+"), claim("a2+")
	dead.LeaseDuration, well.LeaseDuration, dead.LeaseRenewedAt, well.LeaseRenewedAt = 90*second, 90*second, 100*second, 300*second
	s.m.Apply(s.now, SourceUpdate{Source: "eureka", Observations: []Observation{dead, well}})
	s.step()
	s.lists("a2+")
	s.m.ReportTraffic(s.now, "a1", 3, 0) // it answers after all
	s.step()
	s.lists("a1+", "a2+")
}
