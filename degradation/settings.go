package degradation

import "porthub/policyapi"

const second policyapi.Microseconds = 1_000_000

// NormalLevel is the name of level 0, normal service.
const NormalLevel = "usual"

// maxRetryPolicy is the retry policy that leaves retries as they are, see Bounds.RetryPolicy.
const maxRetryPolicy = policyapi.RetryTwice

// Level is the settings of one level.
type Level struct {
	Name       string                 `cbor:"Name" json:"Name"`
	Enter      [TriggerCount]float64  `cbor:"Enter" json:"Enter"`         // at or above it the level is entered; 0: it does not go by the trigger
	Leave      [TriggerCount]float64  `cbor:"Leave" json:"Leave"`         // at or below it the level may be left
	EnterDelay policyapi.Microseconds `cbor:"EnterHeld" json:"EnterHeld"` // how long a trigger must be above Enter without a break
	LeaveDelay policyapi.Microseconds `cbor:"LeaveHeld" json:"LeaveHeld"` // how long all triggers must be below Leave without a break
	Bounds     Bounds                 `cbor:"Bounds" json:"Bounds"`
}

// Bounds limit service at a level. None of them sends requests to an endpoint that the rules exclude.
type Bounds struct {
	Share                []float64               `cbor:"Share" json:"Share"`         // by class: the most of the admitted work that it may use, 0 to 1
	RetryPolicy          []policyapi.RetryPolicy `cbor:"SecondTry" json:"SecondTry"` // by class: the most permissive retry policy, 0 to 3; 3: no limit
	CrossZoneFactor      float64                 `cbor:"Cross" json:"Cross"`         // factor on weights in other zones where the own one has capacity; 1: none
	MaxEndpoints         int                     `cbor:"Lines" json:"Lines"`         // of a class in one gateway's table; 0: no limit
	MaxHealthChecks      float64                 `cbor:"Probes" json:"Probes"`       // per second; 0: no limit
	ReportIntervalFactor int                     `cbor:"Stretch" json:"Stretch"`     // on the report period; 1: none
}

// Unbounded returns the bounds of normal service for a number of classes: none.
func Unbounded(classes int) Bounds {
	b := Bounds{CrossZoneFactor: 1, ReportIntervalFactor: 1}
	for range classes {
		b.Share = append(b.Share, 1)
		b.RetryPolicy = append(b.RetryPolicy, maxRetryPolicy)
	}
	return b
}

// Settings are the settings of a Controller.
type Settings struct {
	Levels  []Level                `cbor:"Levels" json:"Levels"` // by severity, the least severe first
	Zones   []policyapi.Zone       `cbor:"Zones" json:"Zones"`
	Classes []string               `cbor:"Kinds" json:"Kinds"`
	Period  policyapi.Microseconds `cbor:"Period" json:"Period"` // of load reports
}

// Fallback is the level that gateways apply to their tables while they reach no coordinator.
type Fallback struct {
	Level    int                    `cbor:"Level" json:"Level"` // 0: there is none
	After    policyapi.Microseconds `cbor:"After" json:"After"` // after the last contact to a coordinator
	Duration policyapi.Microseconds `cbor:"For" json:"For"`     // from then on; afterwards the table applies unchanged again
}

// LevelName returns the name of a level.
func (s Settings) LevelName(level int) string {
	if level <= 0 || level > len(s.Levels) {
		return NormalLevel
	}
	return s.Levels[level-1].Name
}

// LevelNamed returns the level with a name; ok is false if there is none.
func (s Settings) LevelNamed(name string) (level int, ok bool) {
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

// Bounds returns the bounds of a level.
func (s Settings) Bounds(level int) Bounds {
	if level <= 0 || level > len(s.Levels) {
		return Unbounded(len(s.Classes))
	}
	return s.Levels[level-1].Bounds
}

// MaxChanges returns the largest number of changes of one scope's level in a time, whatever the signals are: a level is
// left only after its LeaveDelay, which doubles, and can be entered once more each time that it is left.
func (s Settings) MaxChanges(length policyapi.Microseconds) int {
	departures := 0
	for _, l := range s.Levels {
		remaining := length - l.EnterDelay
		backoff := policyapi.Microseconds(1)
		for remaining >= l.LeaveDelay*backoff {
			remaining -= l.LeaveDelay*backoff + l.EnterDelay
			departures++
			backoff = min(2*backoff, maxBackoff)
		}
	}
	entriesWithoutDeparture := len(s.Levels)
	return 2*departures + entriesWithoutDeparture
}
