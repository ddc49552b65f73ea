// Package membership decides who belongs to the fleet when sources disagree: registries, a file, probes, what gateways
// met, operators' word, each late and each possibly wrong. It is pure: what was said goes in with its time, and for each
// node comes out what the list says of it, with the evidence. docs/membership.md has the rules and when they could do harm.
package membership

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"porthub/policyapi"
)

const second policyapi.Microseconds = 1_000_000

// Status is what a source says of a node.
type Status int

// What a source may say. Unknown is also what it says that names a node without a status that we know.
const (
	Up Status = iota
	Starting
	OutOfService // an operator's word at the source: drain
	Down         // the source's own check fails
	Unknown
)

func (s Status) String() string {
	return [...]string{"up", "starting", "out of service", "down", "unknown"}[min(max(s, Up), Unknown)]
}

// Observation is what a source says of one node.
type Observation struct {
	Endpoint    policyapi.EndpointID   `json:"node"`
	Instance    string                 `json:"instance"` // its id at the source; another one is another process
	Zone        policyapi.Zone         `json:"zone"`
	Weight      float64                `json:"weight"`
	Pod         policyapi.PodID        `json:"pod"`
	MachineType policyapi.MachineType  `json:"machine"`
	Status      Status                 `json:"status"`
	StartedAt   policyapi.Microseconds `json:"launched_us"` // 0: not said
	ChangedAt   policyapi.Microseconds `json:"changed_us"`  // when the source last heard a change of it; 0: not said
	// LeaseRenewedAt is when its lease was renewed last, by the source's clock, and Lease how long one lasts; 0: there are none.
	LeaseRenewedAt policyapi.Microseconds `json:"renewed_us"`
	LeaseDuration  policyapi.Microseconds `json:"lease_us"`
	LeaseExpired   bool                   `json:"overdue"` // found here: its lease has been over for long
}

// SourceUpdate is a source's word at a time: all that it knows, or a failure.
type SourceUpdate struct {
	Source       string        `json:"source"`
	Observations []Observation `json:"claims"`
	Error        string        `json:"failed"` // not empty: it gave no answer, and why; what it said before stands
}

// Settings are a membership's. Binding sources are believed when they drop a node, however many at once: whoever writes a
// file means it. A registry forgets.
type Settings struct {
	Zones         []policyapi.Zone
	Authoritative map[string]bool
	Sources       []string // in the order of trust where they say different things of a node's zone or weight
}

// State is what was decided of a node.
type State int

// The states. Only Ready and Cold may get new reqs.
const (
	Ready State = iota
	Draining
	Removed
	Waiting  // it has not said yet that it is up, or is kept out for flapping
	Retained // its registry has dropped it with many others, and it still serves
)

func (s State) String() string {
	return [...]string{"ready", "draining", "gone", "waiting", "held"}[s]
}

// Decision is what was decided of a node, why, and since when.
type Decision struct {
	Endpoint     policyapi.EndpointID   `json:"node"`
	State        State                  `json:"-"`
	StateName    string                 `json:"state"`
	Reason       string                 `json:"why"`
	Since        policyapi.Microseconds `json:"since_us"`
	Listed       policyapi.Endpoint     `json:"entry"`
	Observations []LastObservation      `json:"says"` // by source
	// Flaps is how often it has gone down of late, halved each minute; OutUntil: it is kept out that long.
	Flaps         float64                `json:"flaps"`
	ExcludedUntil policyapi.Microseconds `json:"out_until_us,omitempty"`
}

// LastObservation is one source's last word of a node.
type LastObservation struct {
	Source string                 `json:"source"`
	Text   string                 `json:"text"`
	At     policyapi.Microseconds `json:"at_us"`
}

// What the rules go by.
const (
	// servesFor: a node that answered a gateway so short a time ago serves, whatever a registry has forgotten.
	servesFor = 6 * second
	// forgotPart: a registry that drops so much of what it named in one answer has more likely forgotten it than lost it.
	forgotPart  = 0.3
	forgotLeast = 3 // nodes
	// holdFor bounds holding a node that its registry has forgotten, answering or not.
	holdFor = 120 * second
	// restartPart: so many new start times in one answer are a registry's, not nodes'.
	restartPart = 0.5
	// flapFree: so many downs of late cost nothing; each further one doubles the time out.
	flapFree  = 2.5
	flapFirst = 10 * second
	flapMost  = 300 * second
	flapHalf  = 60 * second // in which the count halves
)

// Membership holds what every source said and what was decided of it.
type Membership struct {
	set     Settings
	now     policyapi.Microseconds
	nodes   map[policyapi.EndpointID]*node
	sources map[string]*source
	notes   []string
	moved   []move // in this step
	version policyapi.ListVersion
	last    []policyapi.Endpoint // as listed last
	listed  bool
}

type source struct {
	at     policyapi.Microseconds // of its last answer
	failed string
	claims map[policyapi.EndpointID]Observation
	has    bool
}

type node struct {
	name     policyapi.EndpointID
	said     map[string]Observation // last word, by source; of a source that has dropped it: gone from here
	at       map[string]policyapi.Microseconds
	dropped  map[string]policyapi.Microseconds // when the source dropped it
	forgot   map[string]bool                   // it dropped it with many others
	notStart map[string]policyapi.Microseconds // start times that are the registry's, not the node's
	drain    string                            // an operator's reason; empty: none
	drainAt  policyapi.Microseconds
	served   policyapi.Microseconds // last answer to a gateway
	failing  bool                   // nothing but errors since
	launched policyapi.Microseconds
	instance string
	entry    policyapi.Endpoint

	state State
	why   string
	since policyapi.Microseconds

	flaps    float64
	flapAt   policyapi.Microseconds
	outUntil policyapi.Microseconds
	out      int
}

// New starts a membership.
func New(set Settings) *Membership {
	return &Membership{set: set, nodes: map[policyapi.EndpointID]*node{}, sources: map[string]*source{}}
}

func (m *Membership) node(b policyapi.EndpointID) *node {
	n := m.nodes[b]
	if n == nil {
		n = &node{name: b, said: map[string]Observation{}, at: map[string]policyapi.Microseconds{}, dropped: map[string]policyapi.Microseconds{}, forgot: map[string]bool{},
			notStart: map[string]policyapi.Microseconds{}, state: Removed,
			since: m.now}
		m.nodes[b] = n
	}
	return n
}

func (m *Membership) note(format string, args ...any) {
	m.notes = append(m.notes, fmt.Sprintf(format, args...))
}

// ReportTraffic says that a node answered gateways, or met nothing but errors.
func (m *Membership) ReportTraffic(now policyapi.Microseconds, b policyapi.EndpointID, done, errored int) {
	m.now = max(m.now, now)
	n := m.nodes[b]
	if n == nil {
		return // nobody has named it
	}
	if done > 0 {
		n.served, n.failing = m.now, false
	} else if errored > 0 {
		n.failing = true
	}
}

// Drain is an operator's word: it holds until it is taken back, whatever sources say. A reason is needed.
func (m *Membership) Drain(now policyapi.Microseconds, b policyapi.EndpointID, reason string) error {
	m.now = max(m.now, now)
	if reason == "" {
		return fmt.Errorf("draining %s needs a reason", b)
	}
	n := m.nodes[b]
	if n == nil {
		return fmt.Errorf("no source names %s", b)
	}
	if n.drain == "" {
		n.drainAt = m.now
	}
	n.drain = reason
	return nil
}

// Undrain takes it back.
func (m *Membership) Undrain(now policyapi.Microseconds, b policyapi.EndpointID) error {
	m.now = max(m.now, now)
	n := m.nodes[b]
	if n == nil || n.drain == "" {
		return fmt.Errorf("no operator has drained %s", b)
	}
	n.drain = ""
	return nil
}

// Apply takes an answer in. Claims that make no sense are left out and said.
func (m *Membership) Apply(now policyapi.Microseconds, a SourceUpdate) {
	m.now = max(m.now, now)
	s := m.sources[a.Source]
	if s == nil {
		s = &source{claims: map[policyapi.EndpointID]Observation{}}
		m.sources[a.Source] = s
	}
	if a.Error != "" {
		if s.failed == "" {
			m.note("%s gives no answer: %s; what it said before stands", a.Source, a.Error)
		}
		s.failed = a.Error
		return
	}
	if s.failed != "" {
		m.note("%s answers again", a.Source)
	}
	s.failed, s.at = "", m.now
	claims := m.sound(a)
	restarted, back := m.restarted(s, claims), 0
	for _, b := range slices.Sorted(maps.Keys(claims)) {
		c := claims[b]
		n := m.node(b)
		if old, said := n.said[a.Source]; said {
			if c.ChangedAt > 0 && c.ChangedAt < old.ChangedAt {
				continue // a peer of the registry that lags: what is known is newer
			}
			if restarted && c.StartedAt > old.StartedAt {
				n.notStart[a.Source] = c.StartedAt // the registry has started anew, not the node
			}
			if at, not := n.notStart[a.Source]; not && c.StartedAt == at {
				c.StartedAt = old.StartedAt
			}
		}
		n.said[a.Source], n.at[a.Source] = c, m.now
		if n.forgot[a.Source] {
			back++
		}
		delete(n.dropped, a.Source)
		delete(n.forgot, a.Source)
	}
	m.drop(a.Source, s, claims)
	m.remembered(a.Source, claims, back)
	s.claims, s.has = claims, true
}

// sound keeps the claims that make sense; of two that claim one address, the one that was started last.
func (m *Membership) sound(a SourceUpdate) map[policyapi.EndpointID]Observation {
	out := map[policyapi.EndpointID]Observation{}
	for _, c := range a.Observations {
		if !slices.Contains(m.set.Zones, c.Zone) {
			m.note("%s names %s in zone %q, which is not one of %v: left out", a.Source, c.Endpoint, c.Zone, m.set.Zones)
			continue
		}
		if !(c.Weight > 0) {
			c.Weight = 1
		}
		if c.StartedAt > m.now { // another machine's clock keeps nobody cold for ever
			c.StartedAt = m.now
			if n := m.nodes[c.Endpoint]; n != nil && (up(n.state) || n.state == Draining) && n.launched > 0 {
				c.StartedAt = n.launched
			}
		}
		if old, twice := out[c.Endpoint]; twice {
			newer := cmp.Or(cmp.Compare(c.StartedAt, old.StartedAt), cmp.Compare(c.ChangedAt, old.ChangedAt), cmp.Compare(c.Instance, old.Instance)) > 0
			m.note("%s: %s and %s claim %s: the later one counts", a.Source, old.Instance, c.Instance, c.Endpoint)
			if !newer {
				continue
			}
		}
		out[c.Endpoint] = c
	}
	// A registry that preserves itself keeps what has died. By its own clock, the latest renewal that it has seen, a lease
	// that is long overdue says nothing any more.
	latest := policyapi.Microseconds(0)
	for _, c := range out {
		latest = max(latest, c.LeaseRenewedAt)
	}
	for b, c := range out {
		if c.Status == Up && c.LeaseRenewedAt > 0 && c.LeaseDuration > 0 && latest-c.LeaseRenewedAt > 2*c.LeaseDuration {
			c.LeaseExpired = true
			out[b] = c
		}
	}
	return out
}

// restarted tells whether start times have moved for so many nodes at once that the source has started anew, and not they:
// those that answered all the while have not.
func (m *Membership) restarted(s *source, claims map[policyapi.EndpointID]Observation) bool {
	moved, both := 0, 0
	for b, c := range claims {
		old, had := s.claims[b]
		if !had || old.StartedAt == 0 {
			continue
		}
		if both++; c.StartedAt > old.StartedAt && m.serves(m.nodes[b]) {
			moved++
		}
	}
	if moved < forgotLeast || float64(moved) < restartPart*float64(both) {
		return false
	}
	m.note("%d of %d nodes have new start times at once, and answered all the while: the registry has started anew, not they", moved, both)
	return true
}

// drop finds what a source names no longer. Few at a time have left; many at once, while they still serve, were forgotten,
// unless the source binds.
func (m *Membership) drop(name string, s *source, claims map[policyapi.EndpointID]Observation) {
	var missing []policyapi.EndpointID
	serve := 0
	for b := range s.claims {
		if _, still := claims[b]; still {
			continue
		}
		if n := m.nodes[b]; n.said[name].Status == Up && n.drain == "" {
			missing = append(missing, b)
			if m.serves(n) {
				serve++
			}
		}
	}
	// What was dropped shortly before belongs to the same loss: a registry forgets by and by, too.
	lately := 0
	for _, n := range m.nodes {
		if at, dropped := n.dropped[name]; dropped && m.now-at < 10*second {
			lately++
		}
	}
	all := len(s.claims) + lately
	many := len(missing) > 0 && len(missing)+lately >= forgotLeast && float64(len(missing)+lately) >= forgotPart*float64(all) && serve > 0
	forgot := many && !m.set.Authoritative[name]
	if forgot {
		m.note("%s dropped %d of %d nodes, %d of them serve: forgotten, not left", name, len(missing), all, serve)
	}
	for b := range s.claims {
		if _, still := claims[b]; still {
			continue
		}
		n := m.nodes[b]
		n.dropped[name] = m.now
		n.forgot[name] = forgot && n.said[name].Status == Up
		if !n.forgot[name] {
			delete(n.said, name)
		}
	}
}

// remembered ends the holding of what a source has forgotten once it names most of it again: what it still does not name
// left meanwhile. Without it a node that drained and went while its registry answered by halves kept its lines as long as
// it answered.
func (m *Membership) remembered(name string, claims map[policyapi.EndpointID]Observation, back int) {
	var still []*node
	for _, b := range slices.Sorted(maps.Keys(m.nodes)) {
		if n := m.nodes[b]; n.forgot[name] {
			still = append(still, n)
		}
	}
	if back == 0 || len(still) == 0 || len(still) >= forgotLeast && float64(len(still)) >= forgotPart*float64(len(claims)+len(still)) {
		return
	}
	m.note("%s names %d nodes again that it had forgotten; %d that it does not name have left", name, back, len(still))
	for _, n := range still {
		delete(n.forgot, name)
		delete(n.said, name)
	}
}

// serves tells whether a node has answered a gateway of late and does not fail since.
func (m *Membership) serves(n *node) bool {
	return n != nil && n.served > 0 && m.now-n.served <= servesFor && !n.failing
}

// Step decides. It returns the list if anything of it has changed, and lines for staff.
func (m *Membership) Step(now policyapi.Microseconds) (list []policyapi.Endpoint, changed bool, notes []string) {
	m.now = max(m.now, now)
	for _, b := range slices.Sorted(maps.Keys(m.nodes)) {
		m.decide(m.nodes[b])
	}
	m.tell()
	m.floor()
	for _, b := range slices.Sorted(maps.Keys(m.nodes)) {
		n := m.nodes[b]
		switch n.state {
		case Ready, Retained:
			n.entry.Status = policyapi.Ready
		case Draining:
			n.entry.Status = policyapi.Draining
		default:
			if n.state == Removed && n.drain == "" && len(n.said) == 0 && m.now-n.since > 3600*second {
				delete(m.nodes, b)
			}
			continue
		}
		list = append(list, n.entry)
	}
	if changed = m.listed && !slices.Equal(list, m.last) || !m.listed && m.answered(); changed {
		m.last, m.listed = list, true
		m.version++
	}
	notes, m.notes = m.notes, nil
	return list, changed, notes
}

// Initialized tells whether any source has ever answered.
func (m *Membership) Initialized() bool { return m.answered() }

// ListVersion counts the lists that differed from the one before.
func (m *Membership) Version() policyapi.ListVersion { return m.version }

// move is a node's going from one state to another.
type move struct {
	node     policyapi.EndpointID
	was, now State
	why      string
}

// tell notes what has moved; nodes that went the same way for the same reason share a line.
func (m *Membership) tell() {
	for len(m.moved) > 0 {
		first, names := m.moved[0], []string{}
		m.moved = slices.DeleteFunc(m.moved, func(o move) bool {
			same := o.was == first.was && o.now == first.now && o.why == first.why
			if same {
				names = append(names, string(o.node))
			}
			return same
		})
		who := strings.Join(names[:min(3, len(names))], ", ")
		if len(names) > 3 {
			who = fmt.Sprintf("%d nodes (%s, ...)", len(names), who)
		}
		m.note("%s: %s, was %s: %s", who, first.now, first.was, first.why)
	}
}

// answered tells whether any source has ever answered.
func (m *Membership) answered() bool {
	for _, s := range m.sources {
		if s.has {
			return true
		}
	}
	return false
}

// decide settles one node by what is said of it now.
func (m *Membership) decide(n *node) {
	state, why := m.settle(n)
	if state == Ready || state == Retained || state == Draining {
		n.entry = m.entryOf(n)
	}
	was := n.state
	if up(was) && !up(state) && state != Draining && !m.bound(n) {
		m.flapped(n) // whoever writes a file means it
	}
	if state == Ready && m.now < n.outUntil {
		state, why = Waiting, fmt.Sprintf("it has gone down %.1f times of late: kept out until %d us", n.flaps, n.outUntil)
	}
	if state == Ready && !up(was) && n.outUntil > 0 && m.now >= n.outUntil && n.launched < n.outUntil {
		n.launched = m.now // eased back, as one that has just started
		n.entry.StartedAt = m.now
	}
	if state != was || why != n.why {
		if state != was {
			n.since = m.now
			if was != Removed || state != Ready {
				m.moved = append(m.moved, move{n.name, was, state, why})
			}
		}
		n.state, n.why = state, why
	}
}

func up(s State) bool { return s == Ready || s == Retained }

// flapped counts a node that has gone down and keeps it out the longer, the more often it does.
func (m *Membership) flapped(n *node) {
	for n.flapAt > 0 && m.now-n.flapAt >= flapHalf {
		n.flaps, n.flapAt = n.flaps/2, n.flapAt+flapHalf
	}
	if n.flaps++; n.flapAt == 0 || n.flaps == 1 {
		n.flapAt = m.now
	}
	if n.flaps > flapFree {
		n.outUntil = m.now + min(flapMost, flapFirst<<min(n.out, 5))
		n.flapAt = n.outUntil // being kept out is no sign of being well
		n.out++
		m.note("%s flaps: out for %d s", n.name, (n.outUntil-m.now)/second)
	} else if n.flaps < 1.5 {
		n.out = 0
	}
}

// settle weighs what is said. The order is the precedence: whoever drains is honoured at once; then who says that it is
// not up; then who says that it is; a registry that has forgotten comes last.
func (m *Membership) settle(n *node) (State, string) {
	if n.drain != "" {
		return Draining, "an operator drains it: " + n.drain
	}
	var upBy, downBy, startingBy, forgotBy []string
	for _, name := range m.order(n) {
		c := n.said[name]
		switch {
		case n.forgot[name]:
			forgotBy = append(forgotBy, name)
		case c.Status == OutOfService:
			return Draining, name + " has it out of service"
		case c.Status == Up && c.LeaseExpired && !m.serves(n):
			startingBy = append(startingBy, name+" (its lease is overdue)")
		case c.Status == Up:
			upBy = append(upBy, name)
		case c.Status == Down:
			downBy = append(downBy, name)
		case c.Status == Starting:
			startingBy = append(startingBy, name)
		}
	}
	switch {
	case len(downBy) > 0 && !m.serves(n):
		return Waiting, strings.Join(downBy, ", ") + " has it down, and no gateway has an answer of it"
	case len(downBy) > 0 && len(upBy) == 0:
		// Its registry's check fails and gateways are answered: nothing new, nothing cut off.
		return Draining, strings.Join(downBy, ", ") + " has it down, while it answers gateways"
	case len(upBy) > 0:
		return Ready, strings.Join(upBy, ", ") + " has it up"
	case len(startingBy) > 0:
		return Waiting, "not up yet, or not any more: " + strings.Join(startingBy, ", ")
	case len(forgotBy) > 0 && m.serves(n) && m.now-n.dropped[forgotBy[0]] < holdFor:
		return Retained, forgotBy[0] + " dropped it with many others, and it answers gateways"
	case len(forgotBy) > 0 && m.now-n.dropped[forgotBy[0]] < servesFor && n.served > 0 && !n.failing:
		return Retained, forgotBy[0] + " dropped it with many others"
	default:
		return Removed, "no source names it"
	}
}

// order lists who has spoken of a node, the most trusted first.
func (m *Membership) order(n *node) []string {
	names := slices.Sorted(maps.Keys(n.said))
	slices.SortStableFunc(names, func(a, b string) int { return m.trust(a) - m.trust(b) })
	return names
}

func (m *Membership) trust(name string) int {
	if i := slices.Index(m.set.Sources, name); i >= 0 {
		return i
	}
	return len(m.set.Sources)
}

// entryOf is what the list says of a node that is up: by the most trusted source that has it up; cold since the latest
// start that any source tells, or since it was first up if none tells one.
func (m *Membership) entryOf(n *node) policyapi.Endpoint {
	e := policyapi.Endpoint{ID: n.name}
	launched, instance, first := policyapi.Microseconds(0), "", true
	anyUp := false
	for _, c := range n.said {
		anyUp = anyUp || c.Status == Up
	}
	for _, name := range m.order(n) {
		c := n.said[name]
		if anyUp && c.Status != Up {
			continue
		}
		if first {
			e.Zone, e.Weight, e.Pod, e.MachineType, instance, first = c.Zone, c.Weight, c.Pod, c.MachineType, c.Instance, false
		}
		launched = max(launched, c.StartedAt)
	}
	switch {
	case first:
		return n.entry // held by nobody's word but its own
	case instance != "" && n.instance != "" && instance != n.instance && launched <= n.launched:
		n.launched = m.now // another process under its address that tells no start
	case launched > n.launched:
		n.launched = launched
	case launched == 0 && m.listed && (n.state == Removed || n.state == Waiting && n.launched == 0):
		n.launched = m.now // new since the first list, or back: nobody says that it ran meanwhile
	}
	n.instance = instance
	e.StartedAt = n.launched
	return e
}

// floor never lets the list run empty in a zone while nodes serve: whoever answers gateways and was dropped by a source
// that does not bind, in whatever number, stays until others are there.
func (m *Membership) floor() {
	for _, z := range m.set.Zones {
		ready := 0
		var serving []*node
		for _, b := range slices.Sorted(maps.Keys(m.nodes)) {
			n := m.nodes[b]
			if n.entry.Zone != z {
				continue
			}
			if up(n.state) {
				ready++
			} else if (n.state == Removed || n.state == Waiting) && m.serves(n) && n.drain == "" && !m.bound(n) {
				serving = append(serving, n)
			}
		}
		if ready > 0 {
			continue
		}
		for _, n := range serving {
			if n.state != Retained {
				m.note("%s is held: zone %s would have nobody, and it answers gateways", n.name, z)
			}
			n.state, n.why, n.since = Retained, "its zone would have nobody, and it answers gateways", m.now
		}
	}
}

// bound tells whether a binding source has dropped a node.
func (m *Membership) bound(n *node) bool {
	for name := range n.dropped {
		if m.set.Authoritative[name] {
			return true
		}
	}
	return false
}

// Decisions tells what was decided of every node and what each source says.
func (m *Membership) Decisions() (out []Decision) {
	for _, b := range slices.Sorted(maps.Keys(m.nodes)) {
		n := m.nodes[b]
		v := Decision{Endpoint: b, State: n.state, StateName: n.state.String(), Reason: n.why, Since: n.since, Listed: n.entry, Flaps: n.flaps}
		if m.now < n.outUntil {
			v.ExcludedUntil = n.outUntil
		}
		if n.drain != "" {
			v.Observations = append(v.Observations, LastObservation{"operator", "drain: " + n.drain, n.drainAt})
		}
		for _, name := range slices.Sorted(maps.Keys(m.sources)) {
			c, said := n.said[name]
			text, at := "nothing", policyapi.Microseconds(0)
			if said {
				text, at = c.Status.String(), n.at[name]
			}
			if dropped, is := n.dropped[name]; is {
				text, at = "dropped it", dropped
			}
			if f := m.sources[name].failed; f != "" {
				text += " (it gives no answer now)"
			}
			v.Observations = append(v.Observations, LastObservation{name, text, at})
		}
		if n.served > 0 {
			text := "answered"
			if n.failing {
				text = "errors since"
			}
			v.Observations = append(v.Observations, LastObservation{"gateways", text, n.served})
		}
		out = append(out, v)
	}
	return out
}

// Drains lists what operators drain, for the next start.
func (m *Membership) Drains() map[policyapi.EndpointID]string {
	out := map[policyapi.EndpointID]string{}
	for b, n := range m.nodes {
		if n.drain != "" {
			out[b] = n.drain
		}
	}
	return out
}

// Restore takes over what was known before a start: operators' drains, and the nodes of the last list with their start
// times, as said by nobody.
func (m *Membership) Restore(now policyapi.Microseconds, drains map[policyapi.EndpointID]string, entries []policyapi.Endpoint) {
	m.now = max(m.now, now)
	for _, e := range entries {
		n := m.node(e.ID)
		n.entry, n.launched = e, e.StartedAt
	}
	for _, b := range slices.Sorted(maps.Keys(drains)) {
		n := m.node(b)
		n.drain, n.drainAt = drains[b], m.now
	}
}
