package degradation

import "math"

// Trigger identifies a figure by which levels are entered and left.
type Trigger int

// The triggers.
const (
	TriggerLoad           Trigger = iota // demanded work by capacity; 1 is full
	TriggerLostCapacity                  // part of the capacity of the last minutes that is closed, ejected or removed
	TriggerUnreachable                   // part of the known gateways that are disconnected
	TriggerShedReports                   // part of the lines of load reports that is not taken
	TriggerPublicationLag                // lines in flight by their limit, or delay of acknowledgements by the grace period: the larger
	TriggerCount                         // the number of triggers
)

var triggerNames = [TriggerCount]string{"load", "lost", "unreachable", "shed", "behind"}

func (t Trigger) String() string { return triggerNames[t] }

// ParseTrigger returns the trigger with a name; ok is false if there is none.
func ParseTrigger(name string) (trigger Trigger, ok bool) {
	for t, n := range triggerNames {
		if n == name {
			return Trigger(t), true
		}
	}
	return 0, false
}

// Signals are the values of the triggers in one scope. An unknown value enters no level, and for unknownTimeout it lets
// none be left.
type Signals struct {
	Values [TriggerCount]float64
	Known  [TriggerCount]bool
}

// Set sets the value of a trigger; NaN leaves it unknown.
func (s *Signals) Set(t Trigger, value float64) {
	if math.IsNaN(value) {
		return
	}
	s.Values[t] = value
	s.Known[t] = true
}
