package config

import (
	"porthub/degradation"
	"porthub/policyapi"
)

// Degradation configures the levels of reduced service, and the level of gateways that can reach no coordinator.
type Degradation struct {
	Levels   []DegradationLevel `json:"levels"` // by severity, the mildest first; empty: no levels
	Fallback Fallback           `json:"fallback"`
}

// DegradationLevel is one level: the thresholds at which it is entered and left, and what it limits.
type DegradationLevel struct {
	Name       string   `json:"name"`
	Enter      Triggers `json:"enter"` // entered when any signal is at or above its threshold; 0: the signal is ignored
	Leave      Triggers `json:"leave"` // left when all signals are at or below their thresholds
	EnterDelay Duration `json:"enter_held"`
	LeaveDelay Duration `json:"leave_held"`

	Classes              []ClassBounds `json:"kinds"`          // request classes with bounds of their own
	RetryPolicy          int           `json:"second_try"`     // upper bound on the retry policy of all classes; 3: none
	CrossZoneFactor      float64       `json:"cross"`          // factor on weights to other zones; 1: unchanged
	MaxEndpoints         int           `json:"lines"`          // endpoints of a class in one gateway's table; 0: no bound
	MaxHealthChecks      float64       `json:"probes_per_s"`   // health checks per second; 0: no bound
	ReportIntervalFactor int           `json:"report_stretch"` // factor on the report period; 1: unchanged
}

// Defaults of a level. By default a level limits nothing.
const (
	defaultEnterDelay  = 2 * second
	defaultLeaveDelay  = 15 * second
	anyRetryPolicy     = 3  // the highest retry policy, which limits nothing
	inheritRetryPolicy = -1 // the class has the retry policy of its level
)

func (l *DegradationLevel) setDefaults() {
	l.EnterDelay = defaultEnterDelay
	l.LeaveDelay = defaultLeaveDelay
	l.RetryPolicy = anyRetryPolicy
	l.CrossZoneFactor = 1
	l.ReportIntervalFactor = 1
}

// Triggers holds the thresholds of a level. docs/levels.md defines each signal.
type Triggers struct {
	Load        float64 `json:"load"`
	Lost        float64 `json:"lost"`
	Unreachable float64 `json:"unreachable"`
	Shed        float64 `json:"shed"`
	Behind      float64 `json:"behind"`
}

func (t Triggers) thresholds() [degradation.TriggerCount]float64 {
	return [degradation.TriggerCount]float64{
		degradation.TriggerLoad:           t.Load,
		degradation.TriggerLostCapacity:   t.Lost,
		degradation.TriggerUnreachable:    t.Unreachable,
		degradation.TriggerShedReports:    t.Shed,
		degradation.TriggerPublicationLag: t.Behind,
	}
}

// ClassBounds holds a level's bounds for one request class.
type ClassBounds struct {
	Name        string  `json:"name"`
	Share       float64 `json:"share"`      // fraction of the admitted work that the class may use; 1: all
	RetryPolicy int     `json:"second_try"` // -1: that of the level
}

func (b *ClassBounds) setDefaults() {
	b.Share = 1
	b.RetryPolicy = inheritRetryPolicy
}

// Fallback configures the level at which a gateway serves while it can reach no coordinator. The gateway's tables include it.
type Fallback struct {
	Level    string   `json:"level"` // empty: none, the table applies unchanged
	After    Duration `json:"after"` // time from the last message of a coordinator to the fallback
	Duration Duration `json:"for"`   // duration of the fallback; afterward the table applies unchanged again
}

// DegradationSettings returns the levels and the fallback as values of package degradation.
func (c Config) DegradationSettings() (degradation.Settings, degradation.Fallback) {
	settings := degradation.Settings{Period: c.Reports.Period.microseconds()}
	for _, zone := range c.Zones {
		settings.Zones = append(settings.Zones, policyapi.Zone(zone))
	}
	for _, class := range c.Classes {
		settings.Classes = append(settings.Classes, class.Name)
	}
	for _, level := range c.Degradation.Levels {
		settings.Levels = append(settings.Levels, level.settings(settings.Classes))
	}
	fallback := degradation.Fallback{
		After:    c.Degradation.Fallback.After.microseconds(),
		Duration: c.Degradation.Fallback.Duration.microseconds(),
	}
	if c.Degradation.Fallback.Level != "" {
		// An unknown name results in level 0, which the validator reports.
		fallback.Level, _ = settings.LevelNamed(c.Degradation.Fallback.Level)
	}
	return settings, fallback
}

func (l *DegradationLevel) settings(classes []string) degradation.Level {
	level := degradation.Level{
		Name:       l.Name,
		Enter:      l.Enter.thresholds(),
		Leave:      l.Leave.thresholds(),
		EnterDelay: l.EnterDelay.microseconds(),
		LeaveDelay: l.LeaveDelay.microseconds(),
		Bounds:     degradation.Unbounded(len(classes)),
	}
	level.Bounds.CrossZoneFactor = l.CrossZoneFactor
	level.Bounds.MaxEndpoints = l.MaxEndpoints
	level.Bounds.MaxHealthChecks = l.MaxHealthChecks
	level.Bounds.ReportIntervalFactor = l.ReportIntervalFactor
	for class, name := range classes {
		level.Bounds.RetryPolicy[class] = policyapi.RetryPolicy(l.RetryPolicy)
		for _, bounds := range l.Classes {
			if bounds.Name != name {
				continue
			}
			level.Bounds.Share[class] = bounds.Share
			if bounds.RetryPolicy >= 0 {
				level.Bounds.RetryPolicy[class] = policyapi.RetryPolicy(bounds.RetryPolicy)
			}
		}
	}
	return level
}
