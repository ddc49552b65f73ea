package config

import (
	"porthub/degradation"
	"porthub/policyapi"
)

// Degradation configures the levels of reduced service, and what gateways do while they reach no coordinator.
type Degradation struct {
	Levels   []DegradationLevel `json:"levels"` // by severity, the mildest first; empty: there are no levels
	Fallback Fallback           `json:"fallback"`
}

// DegradationLevel is one level: the thresholds at which it is entered and left, and what it limits.
type DegradationLevel struct {
	Name       string   `json:"name"`
	Enter      Triggers `json:"enter"` // entered when one figure is at or above its threshold; 0: not considered
	Leave      Triggers `json:"leave"` // left when all figures are at or below
	EnterDelay Duration `json:"enter_held"`
	LeaveDelay Duration `json:"leave_held"`

	Classes              []ClassBounds `json:"kinds"`          // request classes with bounds of their own
	RetryPolicy          int           `json:"second_try"`     // upper bound on the retry policy of all classes; 3: none
	CrossZoneFactor      float64       `json:"cross"`          // factor on weights to other zones; 1: unchanged
	MaxEndpoints         int           `json:"lines"`          // of a class in one gateway's table; 0: no bound
	MaxHealthChecks      float64       `json:"probes_per_s"`   // 0: no bound
	ReportIntervalFactor int           `json:"report_stretch"` // multiple of the report period
}

// The defaults of a level, which limits nothing.
const (
	defaultEnterDelay  = 2 * second
	defaultLeaveDelay  = 15 * second
	anyRetryPolicy     = 3  // the most that a retry policy can be
	inheritRetryPolicy = -1 // a class takes its level's
)

func (l *DegradationLevel) setDefaults() {
	l.EnterDelay = defaultEnterDelay
	l.LeaveDelay = defaultLeaveDelay
	l.RetryPolicy = anyRetryPolicy
	l.CrossZoneFactor = 1
	l.ReportIntervalFactor = 1
}

// Triggers are the thresholds of a level. docs/levels.md defines each figure.
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

// ClassBounds are a level's bounds for one request class.
type ClassBounds struct {
	Name        string  `json:"name"`
	Share       float64 `json:"share"`      // of the admitted work that the class may use; 1: all
	RetryPolicy int     `json:"second_try"` // -1: the level's
}

func (b *ClassBounds) setDefaults() {
	b.Share = 1
	b.RetryPolicy = inheritRetryPolicy
}

// Fallback is the level at which a gateway serves while it reaches no coordinator. It is part of its tables.
type Fallback struct {
	Level    string   `json:"level"` // empty: the table applies unchanged
	After    Duration `json:"after"` // since the last message of a coordinator
	Duration Duration `json:"for"`   // afterwards the table applies unchanged again
}

// DegradationSettings returns the levels and the fallback in the form of package degradation.
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
		// An unknown name leaves level 0, which validation reports.
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
