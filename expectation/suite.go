package expectation

import (
	"fmt"

	"porthub/policyapi"
)

const second policyapi.Microseconds = 1_000_000

func seconds(m policyapi.Microseconds) float64 { return float64(m) / float64(second) }

// Suite is the content of an expectation file.
type Suite struct {
	Expectations []Expectation
}

// Expectation describes a set of cases with the same events, and the assertions that must hold in all of them.
type Expectation struct {
	Name       string
	Cases      int    // number of drawn cases; 1 if the fleet is fixed
	Seed       uint64 // seed of all random numbers
	Length     policyapi.Microseconds
	Fleet      Fleet
	Events     []Event // sorted by time
	Assertions []Assertion
	Line       int // line in its file
}

// Range is a range of numbers, both ends included, from which each case draws one.
type Range struct{ From, To float64 }

// Fleet describes the fleet at the start of a case. All endpoints are warmed up, and endpoints and gateways are spread evenly
// over the zones.
type Fleet struct {
	Endpoints Range
	Gateways  Range
	Load      Range                  // total traffic as a fraction of the endpoints' total capacity
	Spread    float64                // standard deviation of the logarithm of gateways' traffic
	Latency   policyapi.Microseconds // latency of a message to a gateway, and of its acknowledgement
	ListDelay policyapi.Microseconds // time from the change of an endpoint to the change of the list
}

// String formats the fleet for findings, with names that correspond to the keys of the expectation file.
func (f Fleet) String() string {
	return fmt.Sprintf("{Nodes:%+v Gateways:%+v Load:%+v Spread:%v Transit:%v ListLate:%v}",
		f.Endpoints, f.Gateways, f.Load, f.Spread, f.Latency, f.ListDelay)
}

// The actions of events.
const (
	Lose       = "lose"    // endpoints stop; the list removes them after its delay
	Drain      = "drain"   // endpoints drain; the list changes at once
	Restart    = "restart" // endpoints restart and warm up
	Fail       = "fail"    // endpoints fail the requests of one class, or of all classes
	Recover    = "back"    // all endpoints are ready and healthy again; those that were lost or draining warm up
	Disconnect = "away"    // gateways lose their connection to the coordinator
	Reconnect  = "home"    // disconnected gateways connect again
	ScaleLoad  = "load"    // the load becomes a multiple of the drawn load
)

// Actions lists the actions of events.
var Actions = []string{Lose, Drain, Restart, Fail, Recover, Disconnect, Reconnect, ScaleLoad}

// Event is an event that affects the fleet.
type Event struct {
	At         policyapi.Microseconds
	Action     string
	Zone       policyapi.Zone // zone of the affected endpoints or gateways; empty: any
	Fraction   float64        // fraction of the endpoints or gateways, at least one; 0: all
	Class      string         // class that endpoints fail, for Fail; empty: all
	LoadFactor float64        // multiple of the drawn load, for ScaleLoad
	Line       int            // line in its file
}

// Assertion is a condition that must hold at all times, for every gateway, class and case. Class, Zone, From and To restrict
// where and when it applies. Exactly one of the remaining fields other than Line is set.
type Assertion struct {
	Class string                 // empty: all
	Zone  policyapi.Zone         // zone of the gateways; empty: all
	From  policyapi.Microseconds // since the start of the events
	To    policyapi.Microseconds // 0: the end of the case
	Line  int                    // line in its file

	MaxEmptyTable   policyapi.Microseconds // longest time without an endpoint in a gateway's table while a warm, ready one is listed
	MinEndpoints    int                    // open endpoints in each gateway's table
	MaxEndpoints    int                    // open endpoints in each gateway's table
	MinZones        int                    // zones with open endpoints in each gateway's table
	MaxUtilization  float64                // load offered to a warm endpoint, divided by its capacity
	MaxWarmUpLoad   float64                // load offered to a warming endpoint, divided by its overload limit
	MaxDrainDelay   policyapi.Microseconds // longest time that a gateway sends to a draining or removed endpoint
	MaxMessages     int                    // messages to one gateway within the rules' message window
	MaxQueued       float64                // lines in flight to all gateways, divided by the rules' limit
	MinSuccessRatio float64                // fraction of the class's requests that succeed
	MaxRetryPolicy  int                    // highest permitted policyapi.RetryPolicy
	EnteredLevel    string                 // degradation level that must be entered
	AvoidedLevel    string                 // degradation level that must not be entered
}

// describe returns a description of the condition.
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

// describeDelivery returns the description of the conditions that describe does not cover.
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

// conditionCount returns the number of conditions that are set.
func (t Assertion) conditionCount() (count int) {
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
