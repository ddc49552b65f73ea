package degradation

import "porthub/policyapi"

const second policyapi.Microseconds = 1_000_000

// NormalLevel is the name of level 0, normal service.
const NormalLevel = "usual"

// maxRetryPolicy is the most permissive retry policy. As a bound, it does not limit retries; see Bounds.RetryPolicy.
const maxRetryPolicy = policyapi.RetryTwice

// Level holds the settings of one level.
type Level struct {
	Name string `cbor:"Name" json:"Name"`
	// Enter holds the thresholds at or above which the level is entered. A trigger with a threshold of 0 does not apply.
	Enter [TriggerCount]float64 `cbor:"Enter" json:"Enter"`
	// Leave holds the thresholds at or below which the level may be left.
	Leave [TriggerCount]float64 `cbor:"Leave" json:"Leave"`
	// EnterDelay is how long a trigger must stay at or above Enter before the level is entered.
	EnterDelay policyapi.Microseconds `cbor:"EnterHeld" json:"EnterHeld"`
	// LeaveDelay is how long all triggers must stay at or below Leave before the level is left.
	LeaveDelay policyapi.Microseconds `cbor:"LeaveHeld" json:"LeaveHeld"`
	Bounds     Bounds                 `cbor:"Bounds" json:"Bounds"`
}

// Bounds limits service at a level. No bound makes an endpoint that the rules exclude eligible for requests.
type Bounds struct {
	// Share is the largest fraction of the admitted work that each class may use, 0 to 1.
	Share []float64 `cbor:"Share" json:"Share"`
	// RetryPolicy is the most permissive retry policy of each class, 0 to 3. 3 does not limit retries.
	RetryPolicy []policyapi.RetryPolicy `cbor:"SecondTry" json:"SecondTry"`
	// CrossZoneFactor multiplies the weights of endpoints in other zones if the gateway's own zone has capacity; 1: no limit.
	CrossZoneFactor float64 `cbor:"Cross" json:"Cross"`
	// MaxEndpoints is the largest number of endpoints of a class in the table of one gateway; 0: no limit.
	MaxEndpoints int `cbor:"Lines" json:"Lines"`
	// MaxHealthChecks is the largest number of health checks per second; 0: no limit.
	MaxHealthChecks float64 `cbor:"Probes" json:"Probes"`
	// ReportIntervalFactor multiplies the report period; 1: no change.
	ReportIntervalFactor int `cbor:"Stretch" json:"Stretch"`
}

// Unbounded returns the bounds of normal service for a number of classes, which limit nothing.
func Unbounded(classes int) Bounds {
	b := Bounds{CrossZoneFactor: 1, ReportIntervalFactor: 1}
	for range classes {
		b.Share = append(b.Share, 1)
		b.RetryPolicy = append(b.RetryPolicy, maxRetryPolicy)
	}
	return b
}

// Settings holds the settings of a Controller.
type Settings struct {
	Levels  []Level                `cbor:"Levels" json:"Levels"` // by severity, least severe first
	Zones   []policyapi.Zone       `cbor:"Zones" json:"Zones"`
	Classes []string               `cbor:"Kinds" json:"Kinds"`
	Period  policyapi.Microseconds `cbor:"Period" json:"Period"` // period of load reports
}

// Fallback is the level that gateways apply to their tables while they have no contact to a coordinator.
type Fallback struct {
	Level    int                    `cbor:"Level" json:"Level"` // 0: no fallback
	After    policyapi.Microseconds `cbor:"After" json:"After"` // time without contact to a coordinator until the fallback applies
	Duration policyapi.Microseconds `cbor:"For" json:"For"`     // how long it applies; then the table applies unchanged again
}

// LevelName returns the name of a level, which is NormalLevel for a level out of range.
func (s Settings) LevelName(level int) string {
	if level <= 0 || level > len(s.Levels) {
		return NormalLevel
	}
	return s.Levels[level-1].Name
}

// LevelNamed returns the level with the given name. ok is false if there is none.
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

// Bounds returns the bounds of a level, which limit nothing for a level out of range.
func (s Settings) Bounds(level int) Bounds {
	if level <= 0 || level > len(s.Levels) {
		return Unbounded(len(s.Classes))
	}
	return s.Levels[level-1].Bounds
}

// MaxChanges returns the largest possible number of changes of a scope's level within a duration, whatever the signals are: a level
// is left only after its LeaveDelay, which doubles, and can be entered again once each time that it is left.
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
