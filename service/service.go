package service

import (
	"fmt"
	"math"

	"porthub/control"
)

const second control.Microseconds = 1_000_000

// Reason is a figure that a level goes by.
type Reason int

const (
	Load        Reason = iota // work that is asked for over what can be done; 1 is full
	Lost                      // part of the capacity of the last minutes that is closed, sick or gone
	Unreachable               // part of the known gateways that are away
	Shed                      // part of the lines of reports that is not taken
	Behind                    // of the lines that may wait, or of the grace that confirmations take: the larger
	Reasons
)

var reasonNames = [Reasons]string{"load", "lost", "unreachable", "shed", "behind"}

func (r Reason) String() string { return reasonNames[r] }

// ReasonOf finds a reason by its name.
func ReasonOf(name string) (Reason, bool) {
	for r, n := range reasonNames {
		if n == name {
			return Reason(r), true
		}
	}
	return 0, false
}

// Figures are what is known of a scope now. What is not known neither enters a level nor, for a while, lets one be left.
type Figures struct {
	Of    [Reasons]float64
	Known [Reasons]bool
}

// Set makes a figure known.
func (f *Figures) Set(r Reason, v float64) {
	if !math.IsNaN(v) {
		f.Of[r], f.Known[r] = v, true
	}
}

// Level is one level as the settings have it.
type Level struct {
	Name      string               `cbor:"Name" json:"Name"`
	Enter     [Reasons]float64     `cbor:"Enter" json:"Enter"`         // at or above: it is entered; 0: the reason does not count
	Leave     [Reasons]float64     `cbor:"Leave" json:"Leave"`         // at or below: it may be left
	EnterHeld control.Microseconds `cbor:"EnterHeld" json:"EnterHeld"` // for so long without a break
	LeaveHeld control.Microseconds `cbor:"LeaveHeld" json:"LeaveHeld"` // the same, of all reasons together
	Bounds    Bounds               `cbor:"Bounds" json:"Bounds"`
}

// Bounds are what a level does. None of them opens anything that the rules close.
type Bounds struct {
	Share     []float64 `cbor:"Share" json:"Share"`         // by kind: of the admission, in work, that it may use at most; 1: all
	SecondTry []int     `cbor:"SecondTry" json:"SecondTry"` // by kind: the most of the orders for second tries; 3: as it is
	Cross     float64   `cbor:"Cross" json:"Cross"`         // factor on lines to other zones where the own zone has warm ones; 1: as they are
	Lines     int       `cbor:"Lines" json:"Lines"`         // of a kind in one gateway's table at most; 0: as many as there are
	Probes    float64   `cbor:"Probes" json:"Probes"`       // a second at most; 0: no bound
	Stretch   int       `cbor:"Stretch" json:"Stretch"`     // times the report period; 1: as it is
}

// None is what holds at the usual service, for so many kinds.
func None(kinds int) Bounds {
	b := Bounds{Cross: 1, Stretch: 1}
	for range kinds {
		b.Share, b.SecondTry = append(b.Share, 1), append(b.SecondTry, 3)
	}
	return b
}

// Settings are a machine's.
type Settings struct {
	Levels []Level              `cbor:"Levels" json:"Levels"` // by severity, the least first
	Zones  []control.Zone       `cbor:"Zones" json:"Zones"`
	Kinds  []string             `cbor:"Kinds" json:"Kinds"`
	Period control.Microseconds `cbor:"Period" json:"Period"` // of figures
}

// Fallback is what gateways do by the table that they hold while they reach no coordinator.
type Fallback struct {
	Level int                  `cbor:"Level" json:"Level"` // 0: there is none
	After control.Microseconds `cbor:"After" json:"After"` // without a word from a coordinator
	For   control.Microseconds `cbor:"For" json:"For"`     // from then on; afterwards the table holds again as it is
}

// Finding is what is wrong with settings: at which level (from 0), or -1 for all, and which of its keys.
type Finding struct {
	Level             int
	Key, Wrong, Right string
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
	names := map[string]bool{"": true, Usual: true}
	for i, l := range s.Levels {
		if names[l.Name] {
			find(i, "name", fmt.Sprintf("%q is empty, %q or stands twice", l.Name, Usual), "give each level a name of its own")
		}
		names[l.Name] = true
		reasons := 0
		for r := range Reasons {
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
			if r != Load && enter > 1 {
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
		if l.EnterHeld < 0 {
			find(i, "enter_held", "is below 0", "0 or more")
		}
		stretch := max(1, l.Bounds.Stretch)
		if l.LeaveHeld < 2*s.Period*control.Microseconds(stretch) {
			find(i, "leave_held", fmt.Sprintf("%v s is under two reports at this level", float64(l.LeaveHeld)/float64(second)),
				"%v s or more: it could be left without evidence", float64(2*s.Period*control.Microseconds(stretch))/float64(second))
		}
		s.checkBounds(i, find)
	}
	return found
}

// least is what a leaving threshold has to allow: figures that a calm fleet has.
var least = [Reasons]float64{Load: 0.1, Lost: 0.01, Unreachable: 0.02, Shed: 0.01, Behind: 0.02}

func (s Settings) checkBounds(i int, find func(level int, key, wrong, right string, args ...any)) {
	b := s.Levels[i].Bounds
	if len(b.Share) != len(s.Kinds) || len(b.SecondTry) != len(s.Kinds) {
		find(i, "kinds", fmt.Sprintf("has bounds for %d of %d kinds", len(b.Share), len(s.Kinds)), "one for each")
		return
	}
	sum := 0.0
	for k, share := range b.Share {
		if !(share >= 0 && share <= 1) {
			find(i, "kinds."+s.Kinds[k]+".share", fmt.Sprintf("is %v", share), "0 to 1")
		}
		if b.SecondTry[k] < 0 || b.SecondTry[k] > 3 {
			find(i, "kinds."+s.Kinds[k]+".second_try", fmt.Sprintf("is %d", b.SecondTry[k]), "0 to 3")
		}
		sum += share
	}
	if sum < 1 {
		find(i, "kinds", fmt.Sprintf("shares add up to %.2f: part of what can be served would be turned away", sum), "1 or more")
	}
	if !(b.Cross >= 0 && b.Cross <= 1) {
		find(i, "cross", fmt.Sprintf("is %v", b.Cross), "0 to 1")
	}
	if b.Lines != 0 && b.Lines < leastLines {
		find(i, "lines", fmt.Sprintf("is %d", b.Lines), "%d or more, or 0 for no bound", leastLines)
	}
	if b.Probes < 0 {
		find(i, "probes_per_s", "is below 0", "0 for no bound")
	}
	if b.Stretch < 1 || b.Stretch > 10 {
		find(i, "report_stretch", fmt.Sprintf("is %d", b.Stretch), "1 to 10")
	}
	if i > 0 && b.Stretch < s.Levels[i-1].Bounds.Stretch {
		find(i, "report_stretch", fmt.Sprintf("%d is under that of %q", b.Stretch, s.Levels[i-1].Name), "severer levels bound as much or more")
	}
}

// leastLines: with fewer nodes to choose from one that fails takes too much along.
const leastLines = 3

// Usual names level 0.
const Usual = "usual"

// Name is a level's name.
func (s Settings) Name(level int) string {
	if level <= 0 || level > len(s.Levels) {
		return Usual
	}
	return s.Levels[level-1].Name
}

// Find is a level by its name.
func (s Settings) Find(name string) (int, bool) {
	if name == Usual {
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
		return None(len(s.Kinds))
	}
	return s.Levels[level-1].Bounds
}

// Most is how many changes of one scope's level there can be in a length of time, whatever the figures do: each level is left
// only after its holding time, which doubles, and each time that it is left it can be entered once more.
func (s Settings) Most(length control.Microseconds) (changes int) {
	ups := 0
	for _, l := range s.Levels {
		left, factor := length-l.EnterHeld, control.Microseconds(1)
		for left >= l.LeaveHeld*factor {
			left -= l.LeaveHeld*factor + l.EnterHeld
			changes++
			factor = min(2*factor, mostBackoff)
		}
		ups++
	}
	return 2*changes + ups
}
