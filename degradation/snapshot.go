package degradation

import (
	"fmt"

	"porthub/policyapi"
)

// Snapshot is the state of a Controller for the next start of the process.
type Snapshot struct {
	Levels    map[policyapi.Zone]string `cbor:"levels" json:"Levels"` // by name: the settings may change meanwhile
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

// Restore restores the levels and overrides of an earlier process. A level counts as just entered and is left by fresh
// signals alone. Levels and overrides that no longer exist are discarded; notes says which, for the log.
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
			notes = append(notes, fmt.Sprintf("override %d (%s %s) is not restored", o.ID, o.Action, saved.LevelName))
			continue
		}
		o.Level = level
		c.lastOverrideID = max(c.lastOverrideID, o.ID)
		c.overrides = append(c.overrides, o)
	}
	return notes
}

// restore enters a level without evidence of the triggers.
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
