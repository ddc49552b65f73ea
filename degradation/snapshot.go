package degradation

import (
	"fmt"

	"porthub/policyapi"
)

// Snapshot is the state of a Controller, as stored for the next start of the process.
type Snapshot struct {
	Levels    map[policyapi.Zone]string `cbor:"levels" json:"Levels"` // by name, because the settings may change before the next start
	Overrides []SavedOverride           `cbor:"words,omitempty" json:"Words"`
}

// SavedOverride is an override with the name of its level.
type SavedOverride struct {
	Override  Override `cbor:"word" json:"Word"`
	LevelName string   `cbor:"level" json:"Level"`
}

// Snapshot returns the state of the controller.
func (c *Controller) Snapshot() Snapshot {
	snapshot := Snapshot{Levels: map[policyapi.Zone]string{}}
	for zone, s := range c.scopes {
		if s.level > 0 {
			snapshot.Levels[zone] = c.settings.LevelName(s.level)
		}
	}
	for _, o := range c.overrides {
		snapshot.Overrides = append(snapshot.Overrides, SavedOverride{o, c.settings.LevelName(o.Level)})
	}
	return snapshot
}

// Restore restores the levels and overrides of an earlier process. A restored level counts as entered now and is left only by signals
// from now on. Levels that are no longer configured, and overrides that have expired or whose level or zone is no longer configured,
// are discarded; notes has a log line for each of them.
func (c *Controller) Restore(now policyapi.Microseconds, snapshot Snapshot) (notes []string) {
	for _, zone := range c.scopeNames {
		name, ok := snapshot.Levels[zone]
		if !ok {
			continue
		}
		level, ok := c.settings.LevelNamed(name)
		if !ok {
			notes = append(notes, fmt.Sprintf("level %q is no longer configured", name))
			continue
		}
		c.scopes[zone].restore(now, level)
	}
	for _, saved := range snapshot.Overrides {
		o := saved.Override
		level, ok := c.settings.LevelNamed(saved.LevelName)
		if !ok || o.Until <= now || c.scopes[o.Zone] == nil {
			notes = append(notes, fmt.Sprintf("override %d (%s %s) is not restored: it has expired, or its level or zone is not configured",
				o.ID, o.Action, saved.LevelName))
			continue
		}
		o.Level = level
		c.lastOverrideID = max(c.lastOverrideID, o.ID)
		c.overrides = append(c.overrides, o)
	}
	return notes
}

// restore sets the level of a scope whose signals are not known yet.
func (s *scope) restore(now policyapi.Microseconds, level int) {
	s.level = level
	s.since = now
	s.reason = "restored after a restart"
	s.effectiveLevel = level
	s.effectiveSince = now
	for i := range s.levels {
		s.levels[i].clear = condition{}
	}
	for t := range TriggerCount {
		s.lastKnown[t] = now
	}
}
