package degradation

import (
	"fmt"
	"math"

	"porthub/policyapi"
)

const second policyapi.Microseconds = 1_000_000

// Trigger is a figure that a level goes by.
type Trigger int

const (
	TriggerLoad         Trigger = iota // work that is asked for over what can be done; 1 is full
	TriggerLostCapacity                // part of the capacity of the last minutes that is closed, sick or gone
	TriggerUnreachable                 // part of the known gateways that are away
	TriggerShedReports                 // part of the lines of reports that is not taken
	TriggerBehind                      // of the lines that may wait, or of the grace that confirmations take: the larger
	TriggerCount
)

var reasonNames = [TriggerCount]string{"load", "lost", "unreachable", "shed", "behind"}

func (r Trigger) String() string { return reasonNames[r] }

// ParseTrigger finds a reason by its name.
func ParseTrigger(name string) (Trigger, bool) {
	for r, n := range reasonNames {
		if n == name {
			return Trigger(r), true
		}
	}
	return 0, false
}

// Signals are what is known of a scope now. What is not known neither enters a level nor, for a while, lets one be left.
type Signals struct {
	Values [TriggerCount]float64
	Known  [TriggerCount]bool
}

// Set makes a figure known.
func (f *Signals) Set(r Trigger, v float64) {
	if !math.IsNaN(v) {
		f.Values[r], f.Known[r] = v, true
	}
}

// Level is one level as the settings have it.
type Level struct {
	Name       string                 `cbor:"Name" json:"Name"`
	Enter      [TriggerCount]float64  `cbor:"Enter" json:"Enter"`         // at or above: it is entered; 0: the reason does not count
	Leave      [TriggerCount]float64  `cbor:"Leave" json:"Leave"`         // at or below: it may be left
	EnterDelay policyapi.Microseconds `cbor:"EnterHeld" json:"EnterHeld"` // for so long without a break
	LeaveDelay policyapi.Microseconds `cbor:"LeaveHeld" json:"LeaveHeld"` // the same, of all reasons together
	Bounds     Bounds                 `cbor:"Bounds" json:"Bounds"`
}

// Bounds are what a level does. None of them opens anything that the rules close.
type Bounds struct {
	Share                []float64 `cbor:"Share" json:"Share"`         // by kind: of the admission, in work, that it may use at most; 1: all
	RetryPolicy          []int     `cbor:"SecondTry" json:"SecondTry"` // by kind: the most of the orders for second tries; 3: as it is
	CrossZoneFactor      float64   `cbor:"Cross" json:"Cross"`         // factor on lines to other zones where the own zone has warm ones; 1: as they are
	MaxEndpoints         int       `cbor:"Lines" json:"Lines"`         // of a kind in one gateway's table at most; 0: as many as there are
	MaxHealthChecks      float64   `cbor:"Probes" json:"Probes"`       // a second at most; 0: no bound
	ReportIntervalFactor int       `cbor:"Stretch" json:"Stretch"`     // times the report period; 1: as it is
}

// Unbounded is what holds at the usual service, for so many kinds.
func Unbounded(kinds int) Bounds {
	b := Bounds{CrossZoneFactor: 1, ReportIntervalFactor: 1}
	for range kinds {
		b.Share, b.RetryPolicy = append(b.Share, 1), append(b.RetryPolicy, 3)
	}
	return b
}

// Settings are a machine's.
type Settings struct {
	Levels  []Level                `cbor:"Levels" json:"Levels"` // by severity, the least first
	Zones   []policyapi.Zone       `cbor:"Zones" json:"Zones"`
	Classes []string               `cbor:"Kinds" json:"Kinds"`
	Period  policyapi.Microseconds `cbor:"Period" json:"Period"` // of figures
}

// Fallback is what gateways do by the table that they hold while they reach no coordinator.
type Fallback struct {
	Level    int                    `cbor:"Level" json:"Level"` // 0: there is none
	After    policyapi.Microseconds `cbor:"After" json:"After"` // without a word from a coordinator
	Duration policyapi.Microseconds `cbor:"For" json:"For"`     // from then on; afterwards the table holds again as it is
}

// Finding is what is wrong with settings: at which level (from 0), or -1 for all, and which of its keys.
type Finding struct {
	Level                int
	Key, Problem, Remedy string
}

// Limits of settings.
const (
	mostLevels = 16
	// unknownFor is how long a reason of which nothing is known keeps a level: a figure that never comes must not keep it for ever.
	unknownFor = 60 * second
	// again: a level that is entered within so many times its holding time after it was left is held longer before it is left anew.
	again       = 10
	mostBackoff = 8
)

// Check finds settings under which a level could not be left, or two would swing, or the admission could not be used.
func (s Settings) Check() (found []Finding) {
	find := func(level int, key, wrong, right string, args ...any) {
		found = append(found, Finding{level, key, wrong, fmt.Sprintf(right, args...)})
	}
	if len(s.Levels) > mostLevels {
		find(-1, "", fmt.Sprintf("has %d levels", len(s.Levels)), "%d at most", mostLevels)
	}
	names := map[string]bool{"": true, NormalLevel: true}
	for i, l := range s.Levels {
		if names[l.Name] {
			find(i, "name", fmt.Sprintf("%q is empty, %q or stands twice", l.Name, NormalLevel), "give each level a name of its own")
		}
		names[l.Name] = true
		reasons := 0
		for r := range TriggerCount {
			enter, leave := l.Enter[r], l.Leave[r]
			if enter < 0 || leave < 0 || math.IsNaN(enter) || math.IsNaN(leave) || math.IsInf(enter, 0) || math.IsInf(leave, 0) {
				find(i, "enter."+r.String(), fmt.Sprintf("is %v, left at %v", enter, leave), "both must be 0 or more")
				continue
			}
			if enter == 0 {
				if leave > 0 {
					find(i, "leave."+r.String(), "stands without enter."+r.String(), "give both or none")
				}
				continue
			}
			reasons++
			if leave >= enter {
				find(i, "leave."+r.String(), fmt.Sprintf("%v is not under enter, %v: the level would swing", leave, enter), "leave a gap")
			}
			if leave < least[r] {
				find(i, "leave."+r.String(), fmt.Sprintf("%v is never reached in calm: the level can't be left", leave), "%v or more", least[r])
			}
			if r != TriggerLoad && enter > 1 {
				find(i, "enter."+r.String(), fmt.Sprintf("%v is never reached", enter), "1 at most")
			}
			if i > 0 && s.Levels[i-1].Enter[r] > enter {
				find(i, "enter."+r.String(), fmt.Sprintf("%v is under that of %q, %v, which is less severe", enter, s.Levels[i-1].Name, s.Levels[i-1].Enter[r]),
					"severer levels are entered later")
			}
		}
		if reasons == 0 {
			find(i, "enter", "has no reason", "name one of load, lost, unreachable, shed, behind; a level that only operators use takes enter.load 1000")
		}
		if l.EnterDelay < 0 {
			find(i, "enter_held", "is below 0", "0 or more")
		}
		stretch := max(1, l.Bounds.ReportIntervalFactor)
		if l.LeaveDelay < 2*s.Period*policyapi.Microseconds(stretch) {
			find(i, "leave_held", fmt.Sprintf("%v s is under two reports at this level", float64(l.LeaveDelay)/float64(second)),
				"%v s or more: it could be left without evidence", float64(2*s.Period*policyapi.Microseconds(stretch))/float64(second))
		}
		s.checkBounds(i, find)
	}
	return found
}

// least is what a leaving threshold has to allow: figures that a calm fleet has.
var least = [TriggerCount]float64{TriggerLoad: 0.1, TriggerLostCapacity: 0.01, TriggerUnreachable: 0.02, TriggerShedReports: 0.01, TriggerBehind: 0.02}

func (s Settings) checkBounds(i int, find func(level int, key, wrong, right string, args ...any)) {
	b := s.Levels[i].Bounds
	if len(b.Share) != len(s.Classes) || len(b.RetryPolicy) != len(s.Classes) {
		find(i, "kinds", fmt.Sprintf("has bounds for %d of %d kinds", len(b.Share), len(s.Classes)), "one for each")
		return
	}
	sum := 0.0
	for k, share := range b.Share {
		if !(share >= 0 && share <= 1) {
			find(i, "kinds."+s.Classes[k]+".share", fmt.Sprintf("is %v", share), "0 to 1")
		}
		if b.RetryPolicy[k] < 0 || b.RetryPolicy[k] > 3 {
			find(i, "kinds."+s.Classes[k]+".second_try", fmt.Sprintf("is %d", b.RetryPolicy[k]), "0 to 3")
		}
		sum += share
	}
	if sum < 1 {
		find(i, "kinds", fmt.Sprintf("shares add up to %.2f: part of what can be served would be turned away", sum), "1 or more")
	}
	if !(b.CrossZoneFactor >= 0 && b.CrossZoneFactor <= 1) {
		find(i, "cross", fmt.Sprintf("is %v", b.CrossZoneFactor), "0 to 1")
	}
	if b.MaxEndpoints != 0 && b.MaxEndpoints < leastLines {
		find(i, "lines", fmt.Sprintf("is %d", b.MaxEndpoints), "%d or more, or 0 for no bound", leastLines)
	}
	if b.MaxHealthChecks < 0 {
		find(i, "probes_per_s", "is below 0", "0 for no bound")
	}
	if b.ReportIntervalFactor < 1 || b.ReportIntervalFactor > 10 {
		find(i, "report_stretch", fmt.Sprintf("is %d", b.ReportIntervalFactor), "1 to 10")
	}
	if i > 0 && b.ReportIntervalFactor < s.Levels[i-1].Bounds.ReportIntervalFactor {
		find(i, "report_stretch", fmt.Sprintf("%d is under that of %q", b.ReportIntervalFactor, s.Levels[i-1].Name), "severer levels bound as much or more")
	}
}

// leastLines: with fewer nodes to choose from one that fails takes too much along.
const leastLines = 3

// NormalLevel names level 0.
const NormalLevel = "usual"

// LevelName is a level's name.
func (s Settings) LevelName(level int) string {
	if level <= 0 || level > len(s.Levels) {
		return NormalLevel
	}
	return s.Levels[level-1].Name
}

// LevelNamed is a level by its name.
func (s Settings) LevelNamed(name string) (int, bool) {
	if name == NormalLevel {
		return 0, true
	}
	for i, l := range s.Levels {
		if l.Name == name {
			return i + 1, true
		}
	}
	return 0, false
}

// Bounds are a level's.
func (s Settings) Bounds(level int) Bounds {
	if level <= 0 || level > len(s.Levels) {
		return Unbounded(len(s.Classes))
	}
	return s.Levels[level-1].Bounds
}

// MaxChanges is how many changes of one scope's level there can be in a length of time, whatever the figures do: each level is left
// only after its holding time, which doubles, and each time that it is left it can be entered once more.
func (s Settings) MaxChanges(length policyapi.Microseconds) (changes int) {
	ups := 0
	for _, l := range s.Levels {
		left, factor := length-l.EnterDelay, policyapi.Microseconds(1)
		for left >= l.LeaveDelay*factor {
			left -= l.LeaveDelay*factor + l.EnterDelay
			changes++
			factor = min(2*factor, mostBackoff)
		}
		ups++
	}
	return 2*changes + ups
}
