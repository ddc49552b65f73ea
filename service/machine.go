package service

import (
	"errors"
	"fmt"
	"slices"

	"porthub/control"
)

// Fleet stands for all zones together in a scope.
const Fleet control.Zone = ""

// Machine is at a level for the fleet and for each zone.
type Machine struct {
	set    Settings
	scopes []control.Zone // the fleet first
	states map[control.Zone]*state
	words  []Word
	number int
}

// state is one scope's. Times are of the last change to what they tell of.
type state struct {
	level int // by the figures
	since control.Microseconds
	why   string

	met     []control.Microseconds // by level: since when a reason to enter it is met, without a break; never: it is not
	under   []control.Microseconds // by level: since when all reasons for it are under their lower thresholds; never: they are not
	left    []control.Microseconds
	backoff []int
	figures Figures
	knownAt [Reasons]control.Microseconds

	shown   int // with the operators' words
	shownAt control.Microseconds
}

const never = control.Microseconds(-1 << 62)

// New starts a machine at the usual service. The settings must pass Check.
func New(set Settings) *Machine {
	m := &Machine{set: set, scopes: append([]control.Zone{Fleet}, set.Zones...), states: map[control.Zone]*state{}}
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
func (m *Machine) Settings() Settings { return m.set }

// Change is a scope that has come to another level.
type Change struct {
	Zone     control.Zone // Fleet: all
	From, To int
	Why      string
}

// Step takes the figures of now in and tells what has changed. A scope without figures stays as it was, but for the words
// of operators.
func (m *Machine) Step(now control.Microseconds, figures map[control.Zone]Figures) (changes []Change) {
	m.words = slices.DeleteFunc(m.words, func(w Word) bool { return w.Until <= now })
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
func (m *Machine) step(now control.Microseconds, s *state, f Figures) {
	s.figures = f
	for r := range Reasons {
		if f.Known[r] || s.knownAt[r] == 0 {
			s.knownAt[r] = now
		}
	}
	target, why := s.level, ""
	for i, l := range m.set.Levels {
		met := ""
		for r := range Reasons {
			if l.Enter[r] > 0 && f.Known[r] && f.Of[r] >= l.Enter[r] {
				met = fmt.Sprintf("%s %.2f, it is entered at %.2f", r, f.Of[r], l.Enter[r])
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
		if met != "" && now-s.met[i] >= l.EnterHeld && i+1 > target {
			target, why = i+1, met
		}
	}
	if target > s.level { // at once, over all between: each step's wait would cost what the level is to save
		i := target - 1
		if s.left[i] != never && now-s.left[i] <= again*m.set.Levels[i].LeaveHeld*control.Microseconds(s.backoff[i]) {
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
	s.why = fmt.Sprintf("the reasons for %s have passed", m.set.Name(s.level))
	s.left[s.level-1] = now
	s.level, s.since = s.level-1, now
}

// ends is when a scope's level is left if its reasons stay gone; an unreachable time while they are not.
func (m *Machine) ends(s *state) control.Microseconds {
	i := s.level - 1
	if s.under[i] == never {
		return -never
	}
	seen := 2 * m.set.Period * control.Microseconds(max(1, m.set.Levels[i].Bounds.Stretch))
	return max(s.under[i]+m.held(s), s.since+seen)
}

// held is how long the level's reasons have to be gone.
func (m *Machine) held(s *state) control.Microseconds {
	return m.set.Levels[s.level-1].LeaveHeld * control.Microseconds(s.backoff[s.level-1])
}

// calm tells whether all of a level's reasons are under their lower thresholds. One of which nothing is known is not, for a
// minute.
func (m *Machine) calm(now control.Microseconds, s *state, l Level) bool {
	for r := range Reasons {
		switch {
		case l.Enter[r] == 0:
		case !s.figures.Known[r]:
			if now-s.knownAt[r] < unknownFor {
				return false
			}
		case s.figures.Of[r] > l.Leave[r]:
			return false
		}
	}
	return true
}

// At is the level of a zone's gateways: the severer of the zone's and the fleet's.
func (m *Machine) At(zone control.Zone) int {
	at := m.states[Fleet].shown
	if s := m.states[zone]; s != nil {
		at = max(at, s.shown)
	}
	return at
}

// Do is what an operator wants with a level.
type Do string

const (
	Force  Do = "force"  // it is in force
	Forbid Do = "forbid" // it and severer ones are not
	Hold   Do = "hold"   // the level of now stays
)

// Word is an operator's, until a time.
type Word struct {
	ID     int                  `json:"id" cbor:"id"`
	Do     Do                   `json:"do" cbor:"do"`
	Zone   control.Zone         `json:"zone" cbor:"zone"` // Fleet: all
	Level  int                  `json:"level" cbor:"level"`
	Until  control.Microseconds `json:"until_us" cbor:"until_us"`
	Reason string               `json:"reason" cbor:"reason"`
}

// What goes wrong with words.
var (
	ErrNoReason = errors.New("a word about levels needs a reason")
	ErrNoEnd    = errors.New("a word about levels needs an end, a day away at most")
	ErrNoZone   = errors.New("no such zone")
	ErrNoLevel  = errors.New("no such level")
	ErrNoWord   = errors.New("no such word")
)

// longest is how long a word may hold: one that was forgotten must end by itself.
const longest = 24 * 3600 * second

// Say takes an operator's word in; it takes the place of one that says the same of the same scope.
func (m *Machine) Say(now control.Microseconds, w Word) (Word, error) {
	s := m.states[w.Zone]
	switch {
	case w.Reason == "":
		return w, ErrNoReason
	case w.Until <= now || w.Until > now+longest:
		return w, ErrNoEnd
	case s == nil:
		return w, fmt.Errorf("%w: %q", ErrNoZone, w.Zone)
	case w.Do == Hold:
		w.Level = s.shown
	case w.Do != Force && w.Do != Forbid || w.Level < 0 || w.Level > len(m.set.Levels) || w.Do == Forbid && w.Level == 0:
		return w, fmt.Errorf("%w: %s %d", ErrNoLevel, w.Do, w.Level)
	}
	m.words = slices.DeleteFunc(m.words, func(o Word) bool { return o.Do == w.Do && o.Zone == w.Zone })
	m.number++
	w.ID = m.number
	m.words = append(m.words, w)
	return w, nil
}

// Unsay takes a word back.
func (m *Machine) Unsay(id int) (Word, error) {
	i := slices.IndexFunc(m.words, func(w Word) bool { return w.ID == id })
	if i < 0 {
		return Word{}, fmt.Errorf("%w: %d", ErrNoWord, id)
	}
	w := m.words[i]
	m.words = slices.Delete(m.words, i, i+1)
	return w, nil
}

// Words lists them, the oldest first.
func (m *Machine) Words() []Word { return m.words }

// apply puts the operators' words over a scope's level: force goes before hold, and what is forbidden is taken off both. The
// figures' own level goes on beneath, so that no word leaves a trace when it ends.
func (m *Machine) apply(z control.Zone, s *state) (level int, why string) {
	level, why = s.level, s.why
	for _, do := range []Do{Hold, Force, Forbid} {
		for _, w := range m.words {
			if w.Zone != z || w.Do != do {
				continue
			}
			if do != Forbid {
				level, why = w.Level, fmt.Sprintf("an operator: %s (word %d)", w.Reason, w.ID)
			} else if level >= w.Level {
				level, why = w.Level-1, fmt.Sprintf("an operator forbids %s: %s (word %d)", m.set.Name(w.Level), w.Reason, w.ID)
			}
		}
	}
	return level, why
}

// Standing is how one scope stands.
type Standing struct {
	Zone     control.Zone         `json:"zone"` // empty: the fleet
	Level    int                  `json:"level"`
	Name     string               `json:"name"`
	Since    control.Microseconds `json:"since_us"`
	Why      string               `json:"why"`
	ByItself int                  `json:"by_itself"` // the level without operators' words
	Ends     []string             `json:"ends"`      // what keeps it, and until when it has to be gone
	Figures  []Figure             `json:"figures"`
}

// Figure is one figure of a scope with the thresholds of the level that it is at, or of the first one.
type Figure struct {
	Reason string  `json:"reason"`
	Value  float64 `json:"value"`
	Known  bool    `json:"known"`
	Enter  float64 `json:"enter"` // of the next level; 0: it does not go by it
	Leave  float64 `json:"leave"` // of this one
}

// Standings tell how all scopes stand, the fleet first.
func (m *Machine) Standings(now control.Microseconds) (out []Standing) {
	for _, z := range m.scopes {
		s := m.states[z]
		_, why := m.apply(z, s)
		st := Standing{Zone: z, Level: s.shown, Name: m.set.Name(s.shown), Since: s.shownAt, Why: why, ByItself: s.level}
		for r := range Reasons {
			f := Figure{Reason: r.String(), Value: s.figures.Of[r], Known: s.figures.Known[r]}
			if s.level < len(m.set.Levels) {
				f.Enter = m.set.Levels[s.level].Enter[r]
			}
			if s.level > 0 {
				l := m.set.Levels[s.level-1]
				if f.Leave = l.Leave[r]; l.Enter[r] > 0 && (!f.Known || f.Value > f.Leave) {
					st.Ends = append(st.Ends, keeps(f))
				}
			}
			st.Figures = append(st.Figures, f)
		}
		if s.level > 0 && s.under[s.level-1] != never {
			st.Ends = append(st.Ends, fmt.Sprintf("in %.0f s if its reasons stay gone", float64(max(0, m.ends(s)-now))/float64(second)))
		}
		for _, w := range m.words {
			if w.Zone == z {
				st.Ends = append(st.Ends, fmt.Sprintf("word %d (%s) ends in %.0f s", w.ID, w.Do, float64(w.Until-now)/float64(second)))
			}
		}
		out = append(out, st)
	}
	return out
}

func keeps(f Figure) string {
	if !f.Known {
		return f.Reason + " is not known"
	}
	return fmt.Sprintf("%s is %.2f and must be at %.2f", f.Reason, f.Value, f.Leave)
}

// Kept is what a next start has to know.
type Kept struct {
	Levels map[control.Zone]string `cbor:"levels" json:"Levels"` // by name: the settings may have changed meanwhile
	Words  []KeptWord              `cbor:"words,omitempty" json:"Words"`
}

// KeptWord is a word with its level's name.
type KeptWord struct {
	Word  Word   `cbor:"word" json:"Word"`
	Level string `cbor:"level" json:"Level"`
}

// Keep tells it.
func (m *Machine) Keep() Kept {
	k := Kept{Levels: map[control.Zone]string{}}
	for z, s := range m.states {
		if s.level > 0 {
			k.Levels[z] = m.set.Name(s.level)
		}
	}
	for _, w := range m.words {
		k.Words = append(k.Words, KeptWord{w, m.set.Name(w.Level)})
	}
	return k
}

// Recall takes an earlier start's levels and words over. A level is held from now on as if it had just been entered, and is left
// by fresh evidence alone; names that are not known any more are passed over, and told.
func (m *Machine) Recall(now control.Microseconds, k Kept) (notes []string) {
	for _, z := range m.scopes {
		name, has := k.Levels[z]
		if !has {
			continue
		}
		level, known := m.set.Find(name)
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
		for r := range Reasons {
			s.knownAt[r] = now
		}
	}
	for _, kept := range k.Words {
		w := kept.Word
		level, known := m.set.Find(kept.Level)
		if w.Until <= now || m.states[w.Zone] == nil || !known {
			notes = append(notes, fmt.Sprintf("word %d (%s %s) is not taken over", w.ID, w.Do, kept.Level))
			continue
		}
		w.Level, m.number = level, max(m.number, w.ID)
		m.words = append(m.words, w)
	}
	return notes
}
