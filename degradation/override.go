package degradation

import (
	"errors"
	"fmt"
	"slices"

	"porthub/policyapi"
)

// Action is the kind of an override.
type Action string

// The values of Action.
const (
	ForceLevel  Action = "force"  // sets the level
	ForbidLevel Action = "forbid" // forbids the level and all severer ones
	HoldLevel   Action = "hold"   // keeps the level in force when the override is set
)

// Override is an operator's override of the level of a scope until a given time.
type Override struct {
	ID     int                    `json:"id" cbor:"id"`
	Action Action                 `json:"do" cbor:"do"`
	Zone   policyapi.Zone         `json:"zone" cbor:"zone"` // a zone, or FleetScope
	Level  int                    `json:"level" cbor:"level"`
	Until  policyapi.Microseconds `json:"until_us" cbor:"until_us"`
	Reason string                 `json:"reason" cbor:"reason"`
}

// maxOverrideDuration is the longest duration of an override, so that one that operators do not clear ends anyway.
const maxOverrideDuration = 24 * 3600 * second

// Errors returned by Controller.SetOverride and Controller.ClearOverride.
var (
	ErrReasonRequired  = errors.New("an override of a level needs a reason")
	ErrInvalidEnd      = errors.New("an override of a level needs an end, a day away at most")
	ErrUnknownZone     = errors.New("no such zone")
	ErrUnknownLevel    = errors.New("no such level")
	ErrUnknownOverride = errors.New("no such override")
)

// SetOverride adds an override and returns it with its ID. If its action is HoldLevel, its level is set to the current one. An
// earlier override of the same scope with the same action is replaced. SetOverride returns ErrReasonRequired, ErrInvalidEnd,
// ErrUnknownZone or ErrUnknownLevel if the override is invalid.
func (c *Controller) SetOverride(now policyapi.Microseconds, o Override) (Override, error) {
	if err := c.checkOverride(now, o); err != nil {
		return o, err
	}
	if o.Action == HoldLevel {
		o.Level = c.scopes[o.Zone].effectiveLevel
	}
	c.overrides = slices.DeleteFunc(c.overrides, func(other Override) bool { return other.Action == o.Action && other.Zone == o.Zone })
	c.lastOverrideID++
	o.ID = c.lastOverrideID
	c.overrides = append(c.overrides, o)
	return o, nil
}

func (c *Controller) checkOverride(now policyapi.Microseconds, o Override) error {
	switch {
	case o.Reason == "":
		return ErrReasonRequired
	case o.Until <= now || o.Until > now+maxOverrideDuration:
		return ErrInvalidEnd
	case c.scopes[o.Zone] == nil:
		return fmt.Errorf("%w: %q", ErrUnknownZone, o.Zone)
	case !c.validLevel(o):
		return fmt.Errorf("%w: %s %d", ErrUnknownLevel, o.Action, o.Level)
	}
	return nil
}

// validLevel reports whether the action of an override is known and its level is valid for the action.
func (c *Controller) validLevel(o Override) bool {
	inRange := o.Level >= 0 && o.Level <= len(c.settings.Levels)
	switch o.Action {
	case HoldLevel:
		return true
	case ForceLevel:
		return inRange
	case ForbidLevel:
		return inRange && o.Level > 0
	default:
		return false
	}
}

// ClearOverride removes an override and returns it. It returns ErrUnknownOverride if there is none with the ID.
func (c *Controller) ClearOverride(id int) (Override, error) {
	i := slices.IndexFunc(c.overrides, func(o Override) bool { return o.ID == id })
	if i < 0 {
		return Override{}, fmt.Errorf("%w: %d", ErrUnknownOverride, id)
	}
	o := c.overrides[i]
	c.overrides = slices.Delete(c.overrides, i, i+1)
	return o, nil
}

// Overrides returns the overrides, oldest first. Callers must not modify the result.
func (c *Controller) Overrides() []Override { return c.overrides }

// override returns the level of a scope with its overrides applied, and the reason. Force takes precedence over hold, and forbid
// over both.
func (c *Controller) override(zone policyapi.Zone, s *scope) (level int, reason string) {
	level = s.level
	reason = s.reason
	for _, action := range []Action{HoldLevel, ForceLevel, ForbidLevel} {
		for _, o := range c.overrides {
			if o.Zone != zone || o.Action != action {
				continue
			}
			switch {
			case action != ForbidLevel:
				level = o.Level
				reason = fmt.Sprintf("operator override %d: %s", o.ID, o.Reason)
			case level >= o.Level:
				level = o.Level - 1
				reason = fmt.Sprintf("operator override %d forbids %s: %s", o.ID, c.settings.LevelName(o.Level), o.Reason)
			}
		}
	}
	return level, reason
}
