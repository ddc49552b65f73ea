package expectation

import (
	"fmt"
	"slices"
	"strings"

	"porthub/policyapi"
)

const second policyapi.Microseconds = 1_000_000

// Suite is one file of expectations.
type Suite struct {
	Expect []Expectation
}

// Expectation is one of them: cases that are drawn, what befalls each, and what must hold in all.
type Expectation struct {
	Name   string
	Cases  int    // drawn; 1 if the fleet is fixed
	Seed   uint64 // of all chance
	Length policyapi.Microseconds
	Fleet  Fleet
	Course []Event
	That   []That
	Line   int // in its file
}

// Range is a number that is drawn anew in each case, both ends included.
type Range struct{ From, To float64 }

// Fleet is what a case begins with: nodes by turns in the zones, all warm, gateways the same.
type Fleet struct {
	Nodes    Range
	Gateways Range
	Load     Range // of what all nodes can do
	Spread   float64
	Transit  policyapi.Microseconds // of a message to a gateway, and of its acknowledgement
	ListLate policyapi.Microseconds // the node list tells so long after the truth
}

// What can befall a fleet.
const (
	Lose    = "lose"    // nodes die; the list drops them late
	Drain   = "drain"   // nodes drain
	Restart = "restart" // nodes start anew and are cold
	Fail    = "fail"    // nodes fail a kind, or all
	Recover = "back"    // all nodes are as at the start again; those that were lost are cold
	Away    = "away"    // gateways reach no coordinator
	Home    = "home"    // all gateways do
	Times   = "load"    // the load is so many times the usual
)

// Whats lists them.
var Whats = []string{Lose, Drain, Restart, Fail, Recover, Away, Home, Times}

// Event is one thing that happens.
type Event struct {
	At   policyapi.Microseconds
	What string
	Zone policyapi.Zone // of the nodes or gateways; empty: any
	Part float64        // of them, at least one
	Kind string         // of fail; empty: all
	Size float64        // of load
	Line int
}

// That is one thing that must hold. Of its figures one is set; the others bound where it counts.
type That struct {
	Kind string         // empty: each kind
	Zone policyapi.Zone // of the gateways; empty: all
	From policyapi.Microseconds
	To   policyapi.Microseconds // 0: to the end
	Line int

	NeverWithout  policyapi.Microseconds // no gateway is longer without an open line for the kind while a warm ready node is listed
	NodesAtLeast  int                    // open lines for the kind in each gateway's table
	NodesAtMost   int
	HallsAtLeast  int                    // zones with open lines
	LoadAtMost    float64                // offered to a warm node over what it can do
	ColdAtMost    float64                // offered to a cold one over what pushes it over
	DrainedWithin policyapi.Microseconds // no gateway has an open line to a drained or gone node for longer
	MessagesMost  int                    // to one gateway within the rules' span
	WaitingMost   float64                // lines on their way to all over the rules' limit
	ServedAtLeast float64                // of the kind's reqs
	RepeatAtMost  int                    // order for second tries
	Entered       string                 // a level of service is
	NotEntered    string                 // a level of service is not
}

// what names a That's figure and tells it as operators wrote it.
func (t That) what() string {
	switch {
	case t.NeverWithout > 0:
		return fmt.Sprintf("never without a node for %.1f s", float64(t.NeverWithout)/float64(second))
	case t.NodesAtLeast > 0:
		return fmt.Sprintf("%d nodes at least", t.NodesAtLeast)
	case t.NodesAtMost > 0:
		return fmt.Sprintf("%d nodes at most", t.NodesAtMost)
	case t.HallsAtLeast > 0:
		return fmt.Sprintf("%d halls at least", t.HallsAtLeast)
	case t.LoadAtMost > 0:
		return fmt.Sprintf("a node's load %.2f at most", t.LoadAtMost)
	case t.ColdAtMost > 0:
		return fmt.Sprintf("a cold node's load %.2f of its limit at most", t.ColdAtMost)
	case t.DrainedWithin > 0:
		return fmt.Sprintf("drained within %.1f s", float64(t.DrainedWithin)/float64(second))
	case t.MessagesMost > 0:
		return fmt.Sprintf("%d messages at most", t.MessagesMost)
	case t.WaitingMost > 0:
		return fmt.Sprintf("lines on their way %.2f of the limit at most", t.WaitingMost)
	case t.ServedAtLeast > 0:
		return fmt.Sprintf("%.2f served at least", t.ServedAtLeast)
	case t.RepeatAtMost > 0:
		return fmt.Sprintf("second tries by order %d at most", t.RepeatAtMost)
	case t.Entered != "":
		return "level " + t.Entered + " entered"
	case t.NotEntered != "":
		return "level " + t.NotEntered + " not entered"
	}
	return "nothing"
}

// figures counts what is set.
func (t That) figures() (n int) {
	for _, set := range []bool{t.NeverWithout > 0, t.NodesAtLeast > 0, t.NodesAtMost > 0, t.HallsAtLeast > 0, t.LoadAtMost > 0, t.ColdAtMost > 0,
		t.DrainedWithin > 0, t.MessagesMost > 0, t.WaitingMost > 0, t.ServedAtLeast > 0, t.RepeatAtMost > 0, t.Entered != "", t.NotEntered != ""} {
		if set {
			n++
		}
	}
	return n
}

// Finding is what is wrong with expectations themselves.
type Finding struct {
	Line         int
	Wrong, Right string
}

// Site is what expectations may name.
type Site struct {
	Zones  []policyapi.Zone
	Kinds  []string
	Levels []string
}

// Check finds expectations that name what there is not, say nothing, or contradict one another.
func (s Suite) Check(site Site) (found []Finding) {
	find := func(line int, right, wrong string, args ...any) {
		found = append(found, Finding{line, fmt.Sprintf(wrong, args...), right})
	}
	names := map[string]int{}
	for _, e := range s.Expect {
		if first, twice := names[e.Name]; e.Name == "" || twice {
			find(e.Line, "give each a name of its own", "the name %q is empty or stands at line %d as well", e.Name, first)
		}
		names[e.Name] = e.Line
		if e.Length < 3*second || e.Length > 3600*second {
			find(e.Line, "3 s to 1 h", "%s lasts %.0f s", e.Name, float64(e.Length)/float64(second))
		}
		f := e.Fleet
		if f.Nodes.From < 1 || f.Nodes.To > 5000 || f.Gateways.From < 1 || f.Gateways.To > 20000 || f.Load.From <= 0 || f.Load.To > 10 ||
			f.Nodes.From > f.Nodes.To || f.Gateways.From > f.Gateways.To || f.Load.From > f.Load.To {
			find(e.Line, "1 to 5000 nodes, 1 to 20000 gateways, a load above 0 and to 10, each from less to more", "%s: its fleet is %+v", e.Name, f)
		}
		if len(e.That) == 0 {
			find(e.Line, "say what must hold", "%s expects nothing", e.Name)
		}
		for _, ev := range e.Course {
			switch {
			case !slices.Contains(Whats, ev.What):
				find(ev.Line, "one of "+strings.Join(Whats, ", "), "there is no %q", ev.What)
			case ev.At < 0 || ev.At > e.Length:
				find(ev.Line, "within the length", "it happens at %.1f s", float64(ev.At)/float64(second))
			case ev.Zone != "" && !slices.Contains(site.Zones, ev.Zone):
				find(ev.Line, fmt.Sprintf("one of %v", site.Zones), "there is no zone %q", ev.Zone)
			case ev.Kind != "" && !slices.Contains(site.Kinds, ev.Kind):
				find(ev.Line, fmt.Sprintf("one of %v", site.Kinds), "there is no request kind %q", ev.Kind)
			case ev.Part < 0 || ev.Part > 1:
				find(ev.Line, "0 to 1", "part is %v", ev.Part)
			case ev.What == Times && !(ev.Size > 0):
				find(ev.Line, "above 0", "size is %v", ev.Size)
			}
		}
		for _, t := range e.That {
			switch {
			case t.figures() != 1:
				find(t.Line, "one figure in each", "it has %d figures", t.figures())
			case t.Kind != "" && !slices.Contains(site.Kinds, t.Kind):
				find(t.Line, fmt.Sprintf("one of %v", site.Kinds), "there is no request kind %q", t.Kind)
			case t.Zone != "" && !slices.Contains(site.Zones, t.Zone):
				find(t.Line, fmt.Sprintf("one of %v", site.Zones), "there is no zone %q", t.Zone)
			case t.HallsAtLeast > len(site.Zones):
				find(t.Line, fmt.Sprintf("%d at most", len(site.Zones)), "it expects %d halls", t.HallsAtLeast)
			case t.Entered+t.NotEntered != "" && !slices.Contains(site.Levels, t.Entered+t.NotEntered):
				find(t.Line, fmt.Sprintf("one of %v", site.Levels), "there is no level %q", t.Entered+t.NotEntered)
			case t.To > 0 && t.To <= t.From:
				find(t.Line, "to after from", "it counts from %.1f to %.1f s", float64(t.From)/float64(second), float64(t.To)/float64(second))
			}
		}
	}
	for _, c := range s.conflicts() {
		find(c[1].Line, "change one of them", "%s (line %d) and %s (line %d) can't both hold", c[0].what(), c[0].Line, c[1].what(), c[1].Line)
	}
	return found
}

// conflicts are pairs that no fleet can satisfy: of one expectation, or of two with the same fleet and course.
func (s Suite) conflicts() (pairs [][2]That) {
	for i, a := range s.Expect {
		for _, b := range s.Expect[i:] {
			if !a.same(b) {
				continue
			}
			for _, x := range a.That {
				for _, y := range b.That {
					if x.meets(y) && (x.contradicts(y) || y.contradicts(x) && x.Line < y.Line) {
						pairs = append(pairs, [2]That{x, y})
					}
				}
			}
		}
	}
	return pairs
}

// same tells whether two expectations are about the same fleets and courses.
func (e Expectation) same(o Expectation) bool {
	return e.Fleet == o.Fleet && slices.EqualFunc(e.Course, o.Course, func(a, b Event) bool { a.Line, b.Line = 0, 0; return a == b })
}

// meets tells whether two speak of the same gateways, kinds and moments, at least in part.
func (t That) meets(o That) bool {
	end := func(x That) policyapi.Microseconds {
		if x.To == 0 {
			return 1 << 62
		}
		return x.To
	}
	return (t.Kind == "" || o.Kind == "" || t.Kind == o.Kind) && (t.Zone == "" || o.Zone == "" || t.Zone == o.Zone) && t.From < end(o) && o.From < end(t)
}

func (t That) contradicts(o That) bool {
	return t.NodesAtLeast > 0 && o.NodesAtMost > 0 && t.NodesAtLeast > o.NodesAtMost ||
		t.HallsAtLeast > 0 && o.NodesAtMost > 0 && t.HallsAtLeast > o.NodesAtMost ||
		t.Entered != "" && t.Entered == o.NotEntered && t.From >= o.From && (o.To == 0 || t.To > 0 && t.To <= o.To)
}

// Failure is an expectation that does not hold, in one case.
type Failure struct {
	Name    string                 `cbor:"Name" json:"Name"`
	Line    int                    `cbor:"Line" json:"Line"` // of what does not hold
	What    string                 `cbor:"What" json:"What"`
	Case    int                    `cbor:"Case" json:"Case"`
	Seed    uint64                 `cbor:"Seed" json:"Seed"`
	Gateway string                 `cbor:"Gateway" json:"Gateway"` // empty: it is of no gateway
	Node    string                 `cbor:"Node" json:"Node"`
	Kind    string                 `cbor:"Kind" json:"Kind"`
	At      policyapi.Microseconds `cbor:"At" json:"At"`
	Figure  string                 `cbor:"Figure" json:"Figure"` // what was
	Small   string                 `cbor:"Small" json:"Small"`   // the smallest case that was found to fail in the same way
}

func (f Failure) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s", f.Name, f.What)
	if f.Gateway != "" {
		fmt.Fprintf(&b, ": gateway %s", f.Gateway)
	}
	if f.Node != "" {
		fmt.Fprintf(&b, ", node %s", f.Node)
	}
	if f.Kind != "" {
		fmt.Fprintf(&b, ", kind %s", f.Kind)
	}
	fmt.Fprintf(&b, " at %.2f s: %s (case %d, seed %d)", float64(f.At)/float64(second), f.Figure, f.Case, f.Seed)
	if f.Small != "" {
		fmt.Fprintf(&b, "; also with %s", f.Small)
	}
	return b.String()
}
