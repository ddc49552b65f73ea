package degradation

import "math"

// Trigger identifies a measured quantity by which levels are entered and left.
type Trigger int

// The values of Trigger.
const (
	TriggerLoad           Trigger = iota // ratio of demanded work to capacity; 1 is full
	TriggerLostCapacity                  // fraction of the capacity of the last minutes that is closed, ejected or removed
	TriggerUnreachable                   // fraction of the known gateways that are disconnected
	TriggerShedReports                   // fraction of the lines of load reports that is discarded
	TriggerPublicationLag                // larger of lines in flight / their limit and acknowledgement delay / drain grace period
	TriggerCount                         // number of triggers
)

var triggerNames = [TriggerCount]string{"load", "lost", "unreachable", "shed", "behind"}

func (t Trigger) String() string { return triggerNames[t] }

// ParseTrigger returns the trigger with the given name. ok is false if there is none.
func ParseTrigger(name string) (trigger Trigger, ok bool) {
	for t, n := range triggerNames {
		if n == name {
			return Trigger(t), true
		}
	}
	return 0, false
}

// Signals holds the values of the triggers in one scope. An unknown value causes no level to be entered and, for unknownTimeout,
// prevents levels with the trigger from being left.
type Signals struct {
	Values [TriggerCount]float64
	Known  [TriggerCount]bool
}

// Set sets the value of a trigger. NaN leaves it unchanged, so that it stays unknown if it was not set before.
func (s *Signals) Set(t Trigger, value float64) {
	if math.IsNaN(value) {
		return
	}
	s.Values[t] = value
	s.Known[t] = true
}
