package degradation

import (
	"fmt"

	"porthub/policyapi"
)

// ScopeStatus is the status of one scope.
type ScopeStatus struct {
	Zone           policyapi.Zone         `json:"zone"` // empty: the fleet
	Level          int                    `json:"level"`
	Name           string                 `json:"name"`
	Since          policyapi.Microseconds `json:"since_us"` // when the level last changed; 0: never
	Reason         string                 `json:"why"`
	AutomaticLevel int                    `json:"by_itself"` // the level without overrides
	EndConditions  []string               `json:"ends"`      // what prevents leaving the level, and for how long if that is known
	Signals        []Signal               `json:"figures"`
}

// Signal is the value of a trigger in a scope, with the thresholds that apply at the scope's level.
type Signal struct {
	Trigger string  `json:"reason"`
	Value   float64 `json:"value"`
	Known   bool    `json:"known"`
	Enter   float64 `json:"enter"` // threshold of the next severer level; 0: the trigger does not apply, or there is no such level
	Leave   float64 `json:"leave"` // threshold of the current level; 0 at normal service
}

// Scopes returns the status of all scopes, first the fleet's.
func (c *Controller) Scopes(now policyapi.Microseconds) (statuses []ScopeStatus) {
	for _, zone := range c.scopeNames {
		s := c.scopes[zone]
		_, reason := c.override(zone, s)
		statuses = append(statuses, ScopeStatus{
			Zone:           zone,
			Level:          s.effectiveLevel,
			Name:           c.settings.LevelName(s.effectiveLevel),
			Since:          max(0, s.effectiveSince), // 0 instead of beforeStart
			Reason:         reason,
			AutomaticLevel: s.level,
			EndConditions:  c.endConditions(now, zone, s),
			Signals:        c.signals(s),
		})
	}
	return statuses
}

// signals returns the signals of a scope with their thresholds.
func (c *Controller) signals(s *scope) (signals []Signal) {
	for t := range TriggerCount {
		signal := Signal{Trigger: t.String(), Value: s.signals.Values[t], Known: s.signals.Known[t]}
		if s.level < len(c.settings.Levels) {
			signal.Enter = c.settings.Levels[s.level].Enter[t]
		}
		if s.level > 0 {
			signal.Leave = c.settings.Levels[s.level-1].Leave[t]
		}
		signals = append(signals, signal)
	}
	return signals
}

// endConditions describes what prevents a scope from leaving its level: triggers that are not clear, the leave delay, and overrides.
func (c *Controller) endConditions(now policyapi.Microseconds, zone policyapi.Zone, s *scope) (conditions []string) {
	if s.level > 0 {
		conditions = triggerConditions(c.settings.Levels[s.level-1], s.signals)
	}
	if at, ok := c.leavesAt(s); ok {
		conditions = append(conditions, fmt.Sprintf("in %.0f s if its triggers stay clear", float64(max(0, at-now))/float64(second)))
	}
	for _, o := range c.overrides {
		if o.Zone == zone {
			conditions = append(conditions, fmt.Sprintf("override %d (%s) ends in %.0f s", o.ID, o.Action, float64(o.Until-now)/float64(second)))
		}
	}
	return conditions
}

// triggerConditions describes the triggers that prevent leaving a level.
func triggerConditions(level Level, signals Signals) (conditions []string) {
	for t := range TriggerCount {
		switch {
		case level.Enter[t] <= 0:
		case !signals.Known[t]:
			conditions = append(conditions, t.String()+" is unknown")
		case signals.Values[t] > level.Leave[t]:
			conditions = append(conditions, fmt.Sprintf("%s is %.2f and must fall to %.2f", t, signals.Values[t], level.Leave[t]))
		}
	}
	return conditions
}
