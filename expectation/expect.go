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
	Expectations []Expectation
}

// Expectation is one of them: cases that are drawn, what befalls each, and what must hold in all.
type Expectation struct {
	Name       string
	Cases      int    // drawn; 1 if the fleet is fixed
	Seed       uint64 // of all chance
	Length     policyapi.Microseconds
	Fleet      Fleet
	Events     []Event
	Assertions []Assertion
	Line       int // in its file
}

// Range is a number that is drawn anew in each case, both ends included.
type Range struct{ From, To float64 }

// Fleet is what a case begins with: nodes by turns in the zones, all warm, gateways the same.
type Fleet struct {
	Endpoints Range
	Gateways  Range
	Load      Range // of what all nodes can do
	Spread    float64
	Latency   policyapi.Microseconds // of a message to a gateway, and of its acknowledgement
	ListDelay policyapi.Microseconds // the node list tells so long after the truth
}

// Action can befall a fleet.
const (
	Lose       = "lose"    // nodes die; the list drops them late
	Drain      = "drain"   // nodes drain
	Restart    = "restart" // nodes start anew and are cold
	Fail       = "fail"    // nodes fail a kind, or all
	Recover    = "back"    // all nodes are as at the start again; those that were lost are cold
	Disconnect = "away"    // gateways reach no coordinator
	Reconnect  = "home"    // all gateways do
	ScaleLoad  = "load"    // the load is so many times the usual
)

// Actions lists them.
var Actions = []string{Lose, Drain, Restart, Fail, Recover, Disconnect, Reconnect, ScaleLoad}

// Event is one thing that happens.
type Event struct {
	At         policyapi.Microseconds
	Action     string
	Zone       policyapi.Zone // of the nodes or gateways; empty: any
	Fraction   float64        // of them, at least one
	Class      string         // of fail; empty: all
	LoadFactor float64        // of load
	Line       int
}

// Assertion is one thing that must hold. Of its figures one is set; the others bound where it counts.
type Assertion struct {
	Class string         // empty: each kind
	Zone  policyapi.Zone // of the gateways; empty: all
	From  policyapi.Microseconds
	To    policyapi.Microseconds // 0: to the end
	Line  int

	MaxEmptyTable   policyapi.Microseconds // no gateway is longer without an open line for the kind while a warm ready node is listed
	MinEndpoints    int                    // open lines for the kind in each gateway's table
	MaxEndpoints    int
	MinZones        int                    // zones with open lines
	MaxUtilization  float64                // offered to a warm node over what it can do
	MaxWarmUpLoad   float64                // offered to a cold one over what pushes it over
	MaxDrainDelay   policyapi.Microseconds // no gateway has an open line to a drained or gone node for longer
	MaxMessages     int                    // to one gateway within the rules' span
	MaxQueued       float64                // lines on their way to all over the rules' limit
	MinSuccessRatio float64                // of the kind's reqs
	MaxRetryPolicy  int                    // order for second tries
	EnteredLevel    string                 // a level of service is
	AvoidedLevel    string                 // a level of service is not
}

// describe names a That's figure and tells it as operators wrote it.
func (t Assertion) describe() string {
	switch {
	case t.MaxEmptyTable > 0:
		return fmt.Sprintf("never without a node for %.1f s", float64(t.MaxEmptyTable)/float64(second))
	case t.MinEndpoints > 0:
		return fmt.Sprintf("%d nodes at least", t.MinEndpoints)
	case t.MaxEndpoints > 0:
		return fmt.Sprintf("%d nodes at most", t.MaxEndpoints)
	case t.MinZones > 0:
		return fmt.Sprintf("%d halls at least", t.MinZones)
	case t.MaxUtilization > 0:
		return fmt.Sprintf("a node's load %.2f at most", t.MaxUtilization)
	case t.MaxWarmUpLoad > 0:
		return fmt.Sprintf("a cold node's load %.2f of its limit at most", t.MaxWarmUpLoad)
	case t.MaxDrainDelay > 0:
		return fmt.Sprintf("drained within %.1f s", float64(t.MaxDrainDelay)/float64(second))
	case t.MaxMessages > 0:
		return fmt.Sprintf("%d messages at most", t.MaxMessages)
	case t.MaxQueued > 0:
		return fmt.Sprintf("lines on their way %.2f of the limit at most", t.MaxQueued)
	case t.MinSuccessRatio > 0:
		return fmt.Sprintf("%.2f served at least", t.MinSuccessRatio)
	case t.MaxRetryPolicy > 0:
		return fmt.Sprintf("second tries by order %d at most", t.MaxRetryPolicy)
	case t.EnteredLevel != "":
		return "level " + t.EnteredLevel + " entered"
	case t.AvoidedLevel != "":
		return "level " + t.AvoidedLevel + " not entered"
	}
	return "nothing"
}

// figureCount counts what is set.
func (t Assertion) figureCount() (n int) {
	for _, set := range []bool{t.MaxEmptyTable > 0, t.MinEndpoints > 0, t.MaxEndpoints > 0, t.MinZones > 0, t.MaxUtilization > 0, t.MaxWarmUpLoad > 0,
		t.MaxDrainDelay > 0, t.MaxMessages > 0, t.MaxQueued > 0, t.MinSuccessRatio > 0, t.MaxRetryPolicy > 0, t.EnteredLevel != "", t.AvoidedLevel != ""} {
		if set {
			n++
		}
	}
	return n
}

// Finding is what is wrong with expectations themselves.
type Finding struct {
	Line            int
	Problem, Remedy string
}

// Site is what expectations may name.
type Site struct {
	Zones   []policyapi.Zone
	Classes []string
	Levels  []string
}

// Check finds expectations that name what there is not, say nothing, or contradict one another.
func (s Suite) Check(site Site) (found []Finding) {
	find := func(line int, right, wrong string, args ...any) {
		found = append(found, Finding{line, fmt.Sprintf(wrong, args...), right})
	}
	names := map[string]int{}
	for _, e := range s.Expectations {
		if first, twice := names[e.Name]; e.Name == "" || twice {
			find(e.Line, "give each a name of its own", "the name %q is empty or stands at line %d as well", e.Name, first)
		}
		names[e.Name] = e.Line
		if e.Length < 3*second || e.Length > 3600*second {
			find(e.Line, "3 s to 1 h", "%s lasts %.0f s", e.Name, float64(e.Length)/float64(second))
		}
		f := e.Fleet
		if f.Endpoints.From < 1 || f.Endpoints.To > 5000 || f.Gateways.From < 1 || f.Gateways.To > 20000 || f.Load.From <= 0 || f.Load.To > 10 ||
			f.Endpoints.From > f.Endpoints.To || f.Gateways.From > f.Gateways.To || f.Load.From > f.Load.To {
			find(e.Line, "1 to 5000 nodes, 1 to 20000 gateways, a load above 0 and to 10, each from less to more", "%s: its fleet is %+v", e.Name, f)
		}
		if len(e.Assertions) == 0 {
			find(e.Line, "say what must hold", "%s expects nothing", e.Name)
		}
		for _, ev := range e.Events {
			switch {
			case !slices.Contains(Actions, ev.Action):
				find(ev.Line, "one of "+strings.Join(Actions, ", "), "there is no %q", ev.Action)
			case ev.At < 0 || ev.At > e.Length:
				find(ev.Line, "within the length", "it happens at %.1f s", float64(ev.At)/float64(second))
			case ev.Zone != "" && !slices.Contains(site.Zones, ev.Zone):
				find(ev.Line, fmt.Sprintf("one of %v", site.Zones), "there is no zone %q", ev.Zone)
			case ev.Class != "" && !slices.Contains(site.Classes, ev.Class):
				find(ev.Line, fmt.Sprintf("one of %v", site.Classes), "there is no request kind %q", ev.Class)
			case ev.Fraction < 0 || ev.Fraction > 1:
				find(ev.Line, "0 to 1", "part is %v", ev.Fraction)
			case ev.Action == ScaleLoad && !(ev.LoadFactor > 0):
				find(ev.Line, "above 0", "size is %v", ev.LoadFactor)
			}
		}
		for _, t := range e.Assertions {
			switch {
			case t.figureCount() != 1:
				find(t.Line, "one figure in each", "it has %d figures", t.figureCount())
			case t.Class != "" && !slices.Contains(site.Classes, t.Class):
				find(t.Line, fmt.Sprintf("one of %v", site.Classes), "there is no request kind %q", t.Class)
			case t.Zone != "" && !slices.Contains(site.Zones, t.Zone):
				find(t.Line, fmt.Sprintf("one of %v", site.Zones), "there is no zone %q", t.Zone)
			case t.MinZones > len(site.Zones):
				find(t.Line, fmt.Sprintf("%d at most", len(site.Zones)), "it expects %d halls", t.MinZones)
			case t.EnteredLevel+t.AvoidedLevel != "" && !slices.Contains(site.Levels, t.EnteredLevel+t.AvoidedLevel):
				find(t.Line, fmt.Sprintf("one of %v", site.Levels), "there is no level %q", t.EnteredLevel+t.AvoidedLevel)
			case t.To > 0 && t.To <= t.From:
				find(t.Line, "to after from", "it counts from %.1f to %.1f s", float64(t.From)/float64(second), float64(t.To)/float64(second))
			}
		}
	}
	for _, c := range s.conflicts() {
		find(c[1].Line, "change one of them", "%s (line %d) and %s (line %d) can't both hold", c[0].describe(), c[0].Line, c[1].describe(), c[1].Line)
	}
	return found
}

// conflicts are pairs that no fleet can satisfy: of one expectation, or of two with the same fleet and course.
func (s Suite) conflicts() (pairs [][2]Assertion) {
	for i, a := range s.Expectations {
		for _, b := range s.Expectations[i:] {
			if !a.sameCourse(b) {
				continue
			}
			for _, x := range a.Assertions {
				for _, y := range b.Assertions {
					if x.overlaps(y) && (x.contradicts(y) || y.contradicts(x) && x.Line < y.Line) {
						pairs = append(pairs, [2]Assertion{x, y})
					}
				}
			}
		}
	}
	return pairs
}

// sameCourse tells whether two expectations are about the same fleets and courses.
func (e Expectation) sameCourse(o Expectation) bool {
	return e.Fleet == o.Fleet && slices.EqualFunc(e.Events, o.Events, func(a, b Event) bool { a.Line, b.Line = 0, 0; return a == b })
}

// overlaps tells whether two speak of the same gateways, kinds and moments, at least in part.
func (t Assertion) overlaps(o Assertion) bool {
	end := func(x Assertion) policyapi.Microseconds {
		if x.To == 0 {
			return 1 << 62
		}
		return x.To
	}
	return (t.Class == "" || o.Class == "" || t.Class == o.Class) && (t.Zone == "" || o.Zone == "" || t.Zone == o.Zone) && t.From < end(o) && o.From < end(t)
}

func (t Assertion) contradicts(o Assertion) bool {
	return t.MinEndpoints > 0 && o.MaxEndpoints > 0 && t.MinEndpoints > o.MaxEndpoints ||
		t.MinZones > 0 && o.MaxEndpoints > 0 && t.MinZones > o.MaxEndpoints ||
		t.EnteredLevel != "" && t.EnteredLevel == o.AvoidedLevel && t.From >= o.From && (o.To == 0 || t.To > 0 && t.To <= o.To)
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
