package degradation

import (
	"fmt"
	"slices"

	"porthub/policyapi"
)

const (
	// unknownTimeout is how long an unknown value of a trigger prevents leaving a level. Without the timeout, a trigger whose
	// value never becomes known would keep the level for ever.
	unknownTimeout = 60 * second
	// reentryFactor is the multiple of a level's current leave delay within which entering the level again doubles the delay.
	reentryFactor = 10
	// maxBackoff is the largest factor on a level's leave delay.
	maxBackoff = 8
)

// FleetScope is the scope of all zones together, in place of a zone.
const FleetScope policyapi.Zone = ""

// beforeStart is the time of the last change of a scope whose level has never changed.
const beforeStart = policyapi.Microseconds(-1 << 62)

// Controller decides the level of the fleet and of each zone. It is not safe for concurrent use.
type Controller struct {
	settings       Settings
	scopeNames     []policyapi.Zone // FleetScope, then the zones as configured
	scopes         map[policyapi.Zone]*scope
	overrides      []Override // oldest first
	lastOverrideID int
}

// scope is the state of the fleet or of one zone.
type scope struct {
	signals   Signals
	lastKnown [TriggerCount]policyapi.Microseconds // when the value was last known, or first updated if it never was

	// The automatic level, by the signals alone. It is updated during overrides, too, so that they have no effect after their end.
	level  int
	since  policyapi.Microseconds
	reason string
	levels []levelState // by index in Settings.Levels

	// The level in force, which overrides may change.
	effectiveLevel int
	effectiveSince policyapi.Microseconds
}

// levelState is the state of one level in one scope.
type levelState struct {
	triggered condition // one of the level's triggers is at or above its Enter threshold
	clear     condition // all triggers of the level are at or below their Leave thresholds
	wasLeft   bool
	leftAt    policyapi.Microseconds
	backoff   policyapi.Microseconds // factor on LeaveDelay
}

// condition records whether a condition holds and since when it has held without interruption.
type condition struct {
	holds bool
	since policyapi.Microseconds
}

func (c *condition) update(now policyapi.Microseconds, holds bool) {
	if holds && !c.holds {
		c.since = now
	}
	c.holds = holds
}

// NewController returns a Controller at normal service. Check must return no findings for the settings.
func NewController(settings Settings) *Controller {
	c := &Controller{
		settings:   settings,
		scopeNames: append([]policyapi.Zone{FleetScope}, settings.Zones...),
		scopes:     map[policyapi.Zone]*scope{},
	}
	for _, zone := range c.scopeNames {
		s := &scope{since: beforeStart, effectiveSince: beforeStart}
		for range settings.Levels {
			s.levels = append(s.levels, levelState{backoff: 1})
		}
		c.scopes[zone] = s
	}
	return c
}

// Settings returns the settings of the controller.
func (c *Controller) Settings() Settings { return c.settings }

// Change is a change of a scope's level.
type Change struct {
	Zone     policyapi.Zone // a zone, or FleetScope
	From, To int
	Reason   string
}

// Step removes expired overrides, updates the levels by the current signals of each scope, and returns the changes. A scope without
// signals keeps its level unless an override changes it.
func (c *Controller) Step(now policyapi.Microseconds, signals map[policyapi.Zone]Signals) (changes []Change) {
	c.overrides = slices.DeleteFunc(c.overrides, func(o Override) bool { return o.Until <= now })
	for _, zone := range c.scopeNames {
		s := c.scopes[zone]
		if current, ok := signals[zone]; ok {
			c.stepScope(now, s, current)
		}
		level, reason := c.override(zone, s)
		if level == s.effectiveLevel {
			continue
		}
		changes = append(changes, Change{zone, s.effectiveLevel, level, reason})
		s.effectiveLevel = level
		s.effectiveSince = now
	}
	return changes
}

// stepScope updates the automatic level of a scope by its signals.
func (c *Controller) stepScope(now policyapi.Microseconds, s *scope, signals Signals) {
	s.signals = signals
	for t := range TriggerCount {
		if signals.Known[t] || s.lastKnown[t] == 0 {
			s.lastKnown[t] = now
		}
	}
	level, reason := c.updateLevels(now, s)
	if level > s.level {
		c.enter(now, s, level, reason)
		return
	}
	if at, ok := c.leavesAt(s); ok && now >= at {
		c.leave(now, s)
	}
}

// updateLevels updates the conditions of all levels of a scope. It returns the severest level to enter and the reason, or the current
// level if none is severer.
func (c *Controller) updateLevels(now policyapi.Microseconds, s *scope) (level int, reason string) {
	level = s.level
	for i, settings := range c.settings.Levels {
		state := &s.levels[i]
		trigger, triggered := triggeredBy(settings, s.signals)
		state.triggered.update(now, triggered)
		state.clear.update(now, isClear(now, settings, s))
		if triggered && now-state.triggered.since >= settings.EnterDelay && i+1 > level {
			level = i + 1
			reason = fmt.Sprintf("%s %.2f, entered at %.2f", trigger, s.signals.Values[trigger], settings.Enter[trigger])
		}
	}
	return level, reason
}

// triggeredBy returns the first trigger that is at or above its enter threshold for a level.
func triggeredBy(level Level, signals Signals) (trigger Trigger, ok bool) {
	for t := range TriggerCount {
		if level.Enter[t] > 0 && signals.Known[t] && signals.Values[t] >= level.Enter[t] {
			return t, true
		}
	}
	return 0, false
}

// isClear reports whether all triggers of a level are at or below their leave thresholds. A trigger of unknown value counts as clear
// only after unknownTimeout.
func isClear(now policyapi.Microseconds, level Level, s *scope) bool {
	for t := range TriggerCount {
		switch {
		case level.Enter[t] == 0:
		case !s.signals.Known[t]:
			if now-s.lastKnown[t] < unknownTimeout {
				return false
			}
		case s.signals.Values[t] > level.Leave[t]:
			return false
		}
	}
	return true
}

// enter enters a level directly, without passing through those between: waiting at each of them would delay the protection that the
// level gives.
func (c *Controller) enter(now policyapi.Microseconds, s *scope, level int, reason string) {
	state := &s.levels[level-1]
	leaveDelay := c.settings.Levels[level-1].LeaveDelay
	if state.wasLeft && now-state.leftAt <= reentryFactor*leaveDelay*state.backoff {
		state.backoff = min(2*state.backoff, maxBackoff)
	} else {
		state.backoff = 1
	}
	s.level = level
	s.since = now
	s.reason = reason
}

// leave changes to the next less severe level and not further, so that the additional load that it admits is measured before the
// next change.
func (c *Controller) leave(now policyapi.Microseconds, s *scope) {
	state := &s.levels[s.level-1]
	state.wasLeft = true
	state.leftAt = now
	s.reason = fmt.Sprintf("the triggers of %s have cleared", c.settings.LevelName(s.level))
	s.level--
	s.since = now
}

// leavesAt returns when a scope leaves its automatic level if the triggers of the level stay clear. ok is false at normal service and
// while the triggers are not clear.
func (c *Controller) leavesAt(s *scope) (at policyapi.Microseconds, ok bool) {
	if s.level == 0 || !s.levels[s.level-1].clear.holds {
		return 0, false
	}
	i := s.level - 1
	state := s.levels[i]
	leaveDelay := c.settings.Levels[i].LeaveDelay * state.backoff
	return max(state.clear.since+leaveDelay, s.since+c.settings.reportTime(i)), true
}

// Level returns the level of the gateways in a zone, which is the severer of the zone's and the fleet's.
func (c *Controller) Level(zone policyapi.Zone) int {
	level := c.scopes[FleetScope].effectiveLevel
	if s := c.scopes[zone]; s != nil {
		level = max(level, s.effectiveLevel)
	}
	return level
}
