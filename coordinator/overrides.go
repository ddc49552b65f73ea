package coordinator

import (
	"fmt"

	"porthub/degradation"
)

// SetLevelOverride applies an operator's override of the levels of service; it takes effect with the next step. If no levels are
// configured, the error wraps degradation.ErrUnknownLevel.
func (c *Core) SetLevelOverride(override degradation.Override) (degradation.Override, error) {
	if c.degradation == nil {
		return override, errNoLevels()
	}
	controller := c.degradation.controller
	set, err := controller.SetOverride(c.now, override)
	if err != nil {
		return set, err
	}
	c.overridesChanged("override %d: %s %s in %q for %d s: %s", set.ID, set.Action, controller.Settings().LevelName(set.Level), set.Zone,
		(set.Until-c.now)/second, set.Reason)
	return set, nil
}

// ClearLevelOverride ends an operator's override. If no levels are configured, the error wraps degradation.ErrUnknownLevel.
func (c *Core) ClearLevelOverride(id int, reason string) (degradation.Override, error) {
	if c.degradation == nil {
		return degradation.Override{}, errNoLevels()
	}
	cleared, err := c.degradation.controller.ClearOverride(id)
	if err != nil {
		return cleared, err
	}
	c.overridesChanged("override %d cleared: %s", id, reason)
	return cleared, nil
}

func errNoLevels() error {
	return fmt.Errorf("%w: service.levels is empty", degradation.ErrUnknownLevel)
}

// overridesChanged logs a change of the overrides and applies it without waiting for the next round. The next step returns the
// log entries.
func (c *Core) overridesChanged(format string, args ...any) {
	c.outbox.logLater(LogEntry{Level: LogWarn, Event: eventLevelOverride, Text: fmt.Sprintf(format, args...)})
	for _, entry := range c.stepDegradation(nil) {
		c.outbox.logLater(entry)
	}
}
