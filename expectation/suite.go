package expectation

import (
	"fmt"

	"porthub/policyapi"
)

const second policyapi.Microseconds = 1_000_000

func seconds(m policyapi.Microseconds) float64 { return float64(m) / float64(second) }

// Suite is one expectation file.
type Suite struct {
	Expectations []Expectation
}

// Expectation is a set of drawn cases, the events of each, and what must hold in all of them.
type Expectation struct {
	Name       string
	Cases      int    // number of drawn cases; 1 if the fleet is fixed
	Seed       uint64 // of every pseudorandom sequence
	Length     policyapi.Microseconds
	Fleet      Fleet
	Events     []Event // by time
	Assertions []Assertion
	Line       int // in its file
}

// Range is a number that each case draws, both ends included.
type Range struct{ From, To float64 }

// Fleet is what a case begins with: warm endpoints and gateways, both spread evenly over the zones.
type Fleet struct {
	Endpoints Range
	Gateways  Range
	Load      Range                  // fraction of the endpoints' total capacity
	Spread    float64                // standard deviation of the logarithm of gateways' traffic
	Latency   policyapi.Microseconds // of a message to a gateway, and of its acknowledgement
	ListDelay policyapi.Microseconds // from a change of an endpoint to the list with it
}

// String has the file's words, in which findings show it.
func (f Fleet) String() string {
	return fmt.Sprintf("{Nodes:%+v Gateways:%+v Load:%+v Spread:%v Transit:%v ListLate:%v}",
		f.Endpoints, f.Gateways, f.Load, f.Spread, f.Latency, f.ListDelay)
}

// The actions of events.
const (
	Lose       = "lose"    // endpoints stop; the list drops them after its delay
	Drain      = "drain"   // endpoints drain; the list says so at once
	Restart    = "restart" // endpoints restart and warm up
	Fail       = "fail"    // endpoints fail the requests of one class, or of all
	Recover    = "back"    // all endpoints are as at the start again; those that were lost warm up
	Disconnect = "away"    // gateways reach no coordinator
	Reconnect  = "home"    // all gateways reach it again
	ScaleLoad  = "load"    // the load is this multiple of the drawn one
)

// Actions lists them.
var Actions = []string{Lose, Drain, Restart, Fail, Recover, Disconnect, Reconnect, ScaleLoad}

// Event is something that happens to the fleet.
type Event struct {
	At         policyapi.Microseconds
	Action     string
	Zone       policyapi.Zone // of the endpoints or gateways; empty: any
	Fraction   float64        // of them, at least one; 0: all
	Class      string         // of Fail; empty: all
	LoadFactor float64        // of ScaleLoad
	Line       int            // in its file
}

// Assertion is one statement that must hold at every moment, for every gateway, class and case. Exactly one of its
// figures is set.
type Assertion struct {
	Class string         // empty: each class
	Zone  policyapi.Zone // of the gateways; empty: all
	From  policyapi.Microseconds
	To    policyapi.Microseconds // 0: to the end
	Line  int                    // in its file

	MaxEmptyTable   policyapi.Microseconds // longest time that a gateway has no endpoint while a warm ready one is listed
	MinEndpoints    int                    // in each gateway's table
	MaxEndpoints    int                    // in each gateway's table
	MinZones        int                    // with endpoints in each gateway's table
	MaxUtilization  float64                // offered load over capacity, of a warm endpoint
	MaxWarmUpLoad   float64                // offered load over the overload limit, of an endpoint that warms up
	MaxDrainDelay   policyapi.Microseconds // longest time that a gateway sends to a draining or removed endpoint
	MaxMessages     int                    // to one gateway within the rules' message window
	MaxQueued       float64                // lines in flight to all gateways over the rules' limit
	MinSuccessRatio float64                // of the class's requests
	MaxRetryPolicy  int
	EnteredLevel    string // a degradation level that is entered
	AvoidedLevel    string // a degradation level that is not entered
}

// describe returns the condition in words.
func (t Assertion) describe() string {
	switch {
	case t.MaxEmptyTable > 0:
		return fmt.Sprintf("no empty table for %.1f s", seconds(t.MaxEmptyTable))
	case t.MinEndpoints > 0:
		return fmt.Sprintf("at least %d endpoints", t.MinEndpoints)
	case t.MaxEndpoints > 0:
		return fmt.Sprintf("at most %d endpoints", t.MaxEndpoints)
	case t.MinZones > 0:
		return fmt.Sprintf("at least %d zones", t.MinZones)
	case t.MaxUtilization > 0:
		return fmt.Sprintf("endpoint utilization at most %.2f", t.MaxUtilization)
	case t.MaxWarmUpLoad > 0:
		return fmt.Sprintf("load of a warming endpoint at most %.2f of its limit", t.MaxWarmUpLoad)
	default:
		return t.describeDelivery()
	}
}

func (t Assertion) describeDelivery() string {
	switch {
	case t.MaxDrainDelay > 0:
		return fmt.Sprintf("drained within %.1f s", seconds(t.MaxDrainDelay))
	case t.MaxMessages > 0:
		return fmt.Sprintf("at most %d messages", t.MaxMessages)
	case t.MaxQueued > 0:
		return fmt.Sprintf("lines in flight at most %.2f of the limit", t.MaxQueued)
	case t.MinSuccessRatio > 0:
		return fmt.Sprintf("success ratio at least %.2f", t.MinSuccessRatio)
	case t.MaxRetryPolicy > 0:
		return fmt.Sprintf("retry policy at most %d", t.MaxRetryPolicy)
	case t.EnteredLevel != "":
		return "level " + t.EnteredLevel + " entered"
	case t.AvoidedLevel != "":
		return "level " + t.AvoidedLevel + " not entered"
	}
	return "nothing"
}

// figureCount returns how many figures are set.
func (t Assertion) figureCount() (count int) {
	for _, set := range []bool{
		t.MaxEmptyTable > 0,
		t.MinEndpoints > 0,
		t.MaxEndpoints > 0,
		t.MinZones > 0,
		t.MaxUtilization > 0,
		t.MaxWarmUpLoad > 0,
		t.MaxDrainDelay > 0,
		t.MaxMessages > 0,
		t.MaxQueued > 0,
		t.MinSuccessRatio > 0,
		t.MaxRetryPolicy > 0,
		t.EnteredLevel != "",
		t.AvoidedLevel != "",
	} {
		if set {
			count++
		}
	}
	return count
}
