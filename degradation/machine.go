package degradation

import (
	"errors"
	"fmt"
	"slices"

	"porthub/policyapi"
)

// FleetScope stands for all zones together in a scope.
const FleetScope policyapi.Zone = ""

// Controller is at a level for the fleet and for each zone.
type Controller struct {
	set    Settings
	scopes []policyapi.Zone // the fleet first
	states map[policyapi.Zone]*state
	words  []Override
	number int
}

// state is one scope's. Times are of the last change to what they tell of.
type state struct {
	level int // by the figures
	since policyapi.Microseconds
	why   string

	met     []policyapi.Microseconds // by level: since when a reason to enter it is met, without a break; never: it is not
	under   []policyapi.Microseconds // by level: since when all reasons for it are under their lower thresholds; never: they are not
	left    []policyapi.Microseconds
	backoff []int
	figures Signals
	knownAt [TriggerCount]policyapi.Microseconds

	shown   int // with the operators' words
	shownAt policyapi.Microseconds
}

const never = policyapi.Microseconds(-1 << 62)

// NewController starts a machine at the usual service. The settings must pass Check.
func NewController(set Settings) *Controller {
	m := &Controller{set: set, scopes: append([]policyapi.Zone{FleetScope}, set.Zones...), states: map[policyapi.Zone]*state{}}
	for _, z := range m.scopes {
		s := &state{since: never, shownAt: never}
		for range set.Levels {
			s.under = append(s.under, never)
			s.met, s.left, s.backoff = append(s.met, never), append(s.left, never), append(s.backoff, 1)
		}
		m.states[z] = s
	}
	return m
}

// Settings are what it was made with.
func (m *Controller) Settings() Settings { return m.set }

// Change is a scope that has come to another level.
type Change struct {
	Zone     policyapi.Zone // Fleet: all
	From, To int
	Reason   string
}

// Step takes the figures of now in and tells what has changed. A scope without figures stays as it was, but for the words
// of operators.
func (m *Controller) Step(now policyapi.Microseconds, figures map[policyapi.Zone]Signals) (changes []Change) {
	m.words = slices.DeleteFunc(m.words, func(w Override) bool { return w.Until <= now })
	for _, z := range m.scopes {
		s := m.states[z]
		if f, told := figures[z]; told {
			m.step(now, s, f)
		}
		to, why := m.apply(z, s)
		if to != s.shown {
			changes = append(changes, Change{z, s.shown, to, why})
			s.shown, s.shownAt = to, now
		}
	}
	return changes
}

// step moves one scope by its figures.
func (m *Controller) step(now policyapi.Microseconds, s *state, f Signals) {
	s.figures = f
	for r := range TriggerCount {
		if f.Known[r] || s.knownAt[r] == 0 {
			s.knownAt[r] = now
		}
	}
	target, why := s.level, ""
	for i, l := range m.set.Levels {
		met := ""
		for r := range TriggerCount {
			if l.Enter[r] > 0 && f.Known[r] && f.Values[r] >= l.Enter[r] {
				met = fmt.Sprintf("%s %.2f, it is entered at %.2f", r, f.Values[r], l.Enter[r])
				break
			}
		}
		switch {
		case met == "":
			s.met[i] = never
		case s.met[i] == never:
			s.met[i] = now
		}
		switch {
		case !m.calm(now, s, l):
			s.under[i] = never
		case s.under[i] == never:
			s.under[i] = now
		}
		if met != "" && now-s.met[i] >= l.EnterDelay && i+1 > target {
			target, why = i+1, met
		}
	}
	if target > s.level { // at once, over all between: each step's wait would cost what the level is to save
		i := target - 1
		if s.left[i] != never && now-s.left[i] <= again*m.set.Levels[i].LeaveDelay*policyapi.Microseconds(s.backoff[i]) {
			s.backoff[i] = min(2*s.backoff[i], mostBackoff)
		} else {
			s.backoff[i] = 1
		}
		s.level, s.since, s.why = target, now, why
		return
	}
	if s.level == 0 || now < m.ends(s) {
		return
	}
	// One step at a time: two reports of what the lower one lets in are to be seen first.
	s.why = fmt.Sprintf("the reasons for %s have passed", m.set.LevelName(s.level))
	s.left[s.level-1] = now
	s.level, s.since = s.level-1, now
}

// ends is when a scope's level is left if its reasons stay gone; an unreachable time while they are not.
func (m *Controller) ends(s *state) policyapi.Microseconds {
	i := s.level - 1
	if s.under[i] == never {
		return -never
	}
	seen := 2 * m.set.Period * policyapi.Microseconds(max(1, m.set.Levels[i].Bounds.ReportIntervalFactor))
	return max(s.under[i]+m.held(s), s.since+seen)
}

// held is how long the level's reasons have to be gone.
func (m *Controller) held(s *state) policyapi.Microseconds {
	return m.set.Levels[s.level-1].LeaveDelay * policyapi.Microseconds(s.backoff[s.level-1])
}

// calm tells whether all of a level's reasons are under their lower thresholds. One of which nothing is known is not, for a
// minute.
func (m *Controller) calm(now policyapi.Microseconds, s *state, l Level) bool {
	for r := range TriggerCount {
		switch {
		case l.Enter[r] == 0:
		case !s.figures.Known[r]:
			if now-s.knownAt[r] < unknownFor {
				return false
			}
		case s.figures.Values[r] > l.Leave[r]:
			return false
		}
	}
	return true
}

// LevelName is the level of a zone's gateways: the severer of the zone's and the fleet's.
func (m *Controller) Level(zone policyapi.Zone) int {
	at := m.states[FleetScope].shown
	if s := m.states[zone]; s != nil {
		at = max(at, s.shown)
	}
	return at
}

// Action is what an operator wants with a level.
type Action string

const (
	ForceLevel  Action = "force"  // it is in force
	ForbidLevel Action = "forbid" // it and severer ones are not
	HoldLevel   Action = "hold"   // the level of now stays
)

// Override is an operator's, until a time.
type Override struct {
	ID     int                    `json:"id" cbor:"id"`
	Action Action                 `json:"do" cbor:"do"`
	Zone   policyapi.Zone         `json:"zone" cbor:"zone"` // Fleet: all
	Level  int                    `json:"level" cbor:"level"`
	Until  policyapi.Microseconds `json:"until_us" cbor:"until_us"`
	Reason string                 `json:"reason" cbor:"reason"`
}

// What goes wrong with words.
var (
	ErrReasonRequired  = errors.New("a word about levels needs a reason")
	ErrInvalidEnd      = errors.New("a word about levels needs an end, a day away at most")
	ErrUnknownZone     = errors.New("no such zone")
	ErrUnknownLevel    = errors.New("no such level")
	ErrUnknownOverride = errors.New("no such word")
)

// longest is how long a word may hold: one that was forgotten must end by itself.
const longest = 24 * 3600 * second

// SetOverride takes an operator's word in; it takes the place of one that says the same of the same scope.
func (m *Controller) SetOverride(now policyapi.Microseconds, w Override) (Override, error) {
	s := m.states[w.Zone]
	switch {
	case w.Reason == "":
		return w, ErrReasonRequired
	case w.Until <= now || w.Until > now+longest:
		return w, ErrInvalidEnd
	case s == nil:
		return w, fmt.Errorf("%w: %q", ErrUnknownZone, w.Zone)
	case w.Action == HoldLevel:
		w.Level = s.shown
	case w.Action != ForceLevel && w.Action != ForbidLevel || w.Level < 0 || w.Level > len(m.set.Levels) || w.Action == ForbidLevel && w.Level == 0:
		return w, fmt.Errorf("%w: %s %d", ErrUnknownLevel, w.Action, w.Level)
	}
	m.words = slices.DeleteFunc(m.words, func(o Override) bool { return o.Action == w.Action && o.Zone == w.Zone })
	m.number++
	w.ID = m.number
	m.words = append(m.words, w)
	return w, nil
}

// ClearOverride takes a word back.
func (m *Controller) ClearOverride(id int) (Override, error) {
	i := slices.IndexFunc(m.words, func(w Override) bool { return w.ID == id })
	if i < 0 {
		return Override{}, fmt.Errorf("%w: %d", ErrUnknownOverride, id)
	}
	w := m.words[i]
	m.words = slices.Delete(m.words, i, i+1)
	return w, nil
}

// Overrides lists them, the oldest first.
func (m *Controller) Overrides() []Override { return m.words }

// apply puts the operators' words over a scope's level: force goes before hold, and what is forbidden is taken off both. The
// figures' own level goes on beneath, so that no word leaves a trace when it ends.
func (m *Controller) apply(z policyapi.Zone, s *state) (level int, why string) {
	level, why = s.level, s.why
	for _, do := range []Action{HoldLevel, ForceLevel, ForbidLevel} {
		for _, w := range m.words {
			if w.Zone != z || w.Action != do {
				continue
			}
			if do != ForbidLevel {
				level, why = w.Level, fmt.Sprintf("an operator: %s (word %d)", w.Reason, w.ID)
			} else if level >= w.Level {
				level, why = w.Level-1, fmt.Sprintf("an operator forbids %s: %s (word %d)", m.set.LevelName(w.Level), w.Reason, w.ID)
			}
		}
	}
	return level, why
}

// ScopeStatus is how one scope stands.
type ScopeStatus struct {
	Zone           policyapi.Zone         `json:"zone"` // empty: the fleet
	Level          int                    `json:"level"`
	Name           string                 `json:"name"`
	Since          policyapi.Microseconds `json:"since_us"`
	Reason         string                 `json:"why"`
	AutomaticLevel int                    `json:"by_itself"` // the level without operators' words
	EndConditions  []string               `json:"ends"`      // what keeps it, and until when it has to be gone
	Signals        []Signal               `json:"figures"`
}

// Signal is one figure of a scope with the thresholds of the level that it is at, or of the first one.
type Signal struct {
	Trigger string  `json:"reason"`
	Value   float64 `json:"value"`
	Known   bool    `json:"known"`
	Enter   float64 `json:"enter"` // of the next level; 0: it does not go by it
	Leave   float64 `json:"leave"` // of this one
}

// Scopes tell how all scopes stand, the fleet first.
func (m *Controller) Scopes(now policyapi.Microseconds) (out []ScopeStatus) {
	for _, z := range m.scopes {
		s := m.states[z]
		_, why := m.apply(z, s)
		st := ScopeStatus{Zone: z, Level: s.shown, Name: m.set.LevelName(s.shown), Since: s.shownAt, Reason: why, AutomaticLevel: s.level}
		for r := range TriggerCount {
			f := Signal{Trigger: r.String(), Value: s.figures.Values[r], Known: s.figures.Known[r]}
			if s.level < len(m.set.Levels) {
				f.Enter = m.set.Levels[s.level].Enter[r]
			}
			if s.level > 0 {
				l := m.set.Levels[s.level-1]
				if f.Leave = l.Leave[r]; l.Enter[r] > 0 && (!f.Known || f.Value > f.Leave) {
					st.EndConditions = append(st.EndConditions, keeps(f))
				}
			}
			st.Signals = append(st.Signals, f)
		}
		if s.level > 0 && s.under[s.level-1] != never {
			st.EndConditions = append(st.EndConditions, fmt.Sprintf("in %.0f s if its reasons stay gone", float64(max(0, m.ends(s)-now))/float64(second)))
		}
		for _, w := range m.words {
			if w.Zone == z {
				st.EndConditions = append(st.EndConditions, fmt.Sprintf("word %d (%s) ends in %.0f s", w.ID, w.Action, float64(w.Until-now)/float64(second)))
			}
		}
		out = append(out, st)
	}
	return out
}

func keeps(f Signal) string {
	if !f.Known {
		return f.Trigger + " is not known"
	}
	return fmt.Sprintf("%s is %.2f and must be at %.2f", f.Trigger, f.Value, f.Leave)
}

// Snapshot is what a next start has to know.
type Snapshot struct {
	Levels    map[policyapi.Zone]string `cbor:"levels" json:"Levels"` // by name: the settings may have changed meanwhile
	Overrides []SavedOverride           `cbor:"words,omitempty" json:"Words"`
}

// SavedOverride is a word with its level's name.
type SavedOverride struct {
	Override  Override `cbor:"word" json:"Word"`
	LevelName string   `cbor:"level" json:"Level"`
}

// Snapshot tells it.
func (m *Controller) Snapshot() Snapshot {
	k := Snapshot{Levels: map[policyapi.Zone]string{}}
	for z, s := range m.states {
		if s.level > 0 {
			k.Levels[z] = m.set.LevelName(s.level)
		}
	}
	for _, w := range m.words {
		k.Overrides = append(k.Overrides, SavedOverride{w, m.set.LevelName(w.Level)})
	}
	return k
}

// Restore takes an earlier start's levels and words over. A level is held from now on as if it had just been entered, and is left
// by fresh evidence alone; names that are not known any more are passed over, and told.
func (m *Controller) Restore(now policyapi.Microseconds, k Snapshot) (notes []string) {
	for _, z := range m.scopes {
		name, has := k.Levels[z]
		if !has {
			continue
		}
		level, known := m.set.LevelNamed(name)
		if !known {
			notes = append(notes, fmt.Sprintf("level %q is not among the settings any more", name))
			continue
		}
		s := m.states[z]
		s.level, s.since, s.why = level, now, "as before the restart"
		for i := range s.under { // what was gone before counts for nothing
			s.under[i] = never
		}
		s.shown, s.shownAt = level, now
		for r := range TriggerCount {
			s.knownAt[r] = now
		}
	}
	for _, kept := range k.Overrides {
		w := kept.Override
		level, known := m.set.LevelNamed(kept.LevelName)
		if w.Until <= now || m.states[w.Zone] == nil || !known {
			notes = append(notes, fmt.Sprintf("word %d (%s %s) is not taken over", w.ID, w.Action, kept.LevelName))
			continue
		}
		w.Level, m.number = level, max(m.number, w.ID)
		m.words = append(m.words, w)
	}
	return notes
}
