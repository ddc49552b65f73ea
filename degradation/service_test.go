package degradation

import (
	"errors"
	"flag"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"porthub/policyapi"
)

// TestMain gives drawn courses the same draws in each run.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func level(name string, enter, leave float64, enterHeld, leaveHeld policyapi.Microseconds, more ...func(*Level)) Level {
	l := Level{Name: name, EnterDelay: enterHeld, LeaveDelay: leaveHeld, Bounds: Unbounded(2)}
	l.Enter[TriggerLoad], l.Leave[TriggerLoad] = enter, leave
	for _, m := range more {
		m(&l)
	}
	return l
}

func lost(enter, leave float64) func(*Level) {
	return func(l *Level) { l.Enter[TriggerLostCapacity], l.Leave[TriggerLostCapacity] = enter, leave }
}

func two() Settings {
	return Settings{Zones: []policyapi.Zone{"a", "b"}, Classes: []string{"view", "save"}, Period: second, Levels: []Level{
		level("tight", 1, 0.8, 2*second, 10*second, lost(0.3, 0.1)), level("hard", 1.4, 1.1, 2*second, 10*second, lost(0.5, 0.2))}}
}

func loaded(load float64) Signals {
	var f Signals
	f.Set(TriggerLoad, load)
	f.Set(TriggerLostCapacity, 0)
	return f
}

// course plays a load by second in the fleet's scope and returns the levels.
func course(m *Controller, seconds int, load func(s int) float64) (levels []int, changes int) {
	for s := range seconds {
		changes += len(m.Step(policyapi.Microseconds(s)*second, map[policyapi.Zone]Signals{FleetScope: loaded(load(s))}))
		levels = append(levels, m.Level("a"))
	}
	return levels, changes
}

// Up at once over a level between, down one at a time.
func TestUpAndDown(t *testing.T) {
	levels, _ := course(NewController(two()), 60, func(s int) float64 {
		if s >= 5 && s < 15 {
			return 2
		}
		return 0.5
	})
	if levels[6] != 0 || levels[7] != 2 || levels[24] != 2 || levels[25] != 1 || levels[26] != 1 || levels[27] != 0 {
		t.Errorf("%v", levels)
	}
}

// For ten minutes the load goes to and fro over each boundary, at every pace: never more changes than the settings allow, and the
// worst pace reaches just that many.
func TestOscillation(t *testing.T) {
	one := two()
	one.Levels = one.Levels[:1]
	most, worst := one.MaxChanges(600*second), 0
	for low := 1; low < 90; low++ {
		for high := 1; high < 6; high++ {
			_, n := course(NewController(one), 600, func(s int) float64 {
				if s%(low+high) < high {
					return 1
				}
				return 0.8
			})
			worst = max(worst, n)
		}
	}
	// The worst there is: it waits out each holding time to the second.
	m, n, high := NewController(one), 0, true
	for s := range 601 {
		load := 0.8
		if high {
			load = 1
		}
		for range m.Step(policyapi.Microseconds(s)*second, map[policyapi.Zone]Signals{FleetScope: loaded(load)}) {
			n, high = n+1, !high
		}
	}
	t.Logf("at most %d changes in ten minutes; by steady oscillation %d, by the worst course %d", most, worst, n)
	if worst > most || n > most || n < most-1 {
		t.Error("the bound is broken, or not tight")
	}
	for _, hover := range []float64{0.8, 1, 1.1, 1.4} { // of two levels, a load that jitters about each threshold
		m := NewController(two())
		_, n := course(m, 600, func(s int) float64 { return hover + 0.02*float64(s%3-1) })
		if n > m.Settings().MaxChanges(600*second) || n > 4 {
			t.Errorf("about %.1f: %d changes", hover, n)
		}
	}
}

// Two reasons that take turns keep the level as one would; one of which nothing is known keeps it for a minute.
func TestReasons(t *testing.T) {
	m, changes := NewController(two()), 0
	for s := range 300 {
		f := loaded(1.2)
		if s%6 >= 3 {
			f = loaded(0.2)
			f.Set(TriggerLostCapacity, 0.4)
		}
		changes += len(m.Step(policyapi.Microseconds(s)*second, map[policyapi.Zone]Signals{FleetScope: f}))
	}
	if changes != 1 || m.Level("b") != 1 {
		t.Errorf("%d changes, at %d", changes, m.Level("b"))
	}
	var unknown Signals
	unknown.Set(TriggerLoad, 0.1)
	at := policyapi.Microseconds(0)
	for s := 300; s < 500 && at == 0; s++ {
		if m.Step(policyapi.Microseconds(s)*second, map[policyapi.Zone]Signals{FleetScope: unknown}); m.Level("b") == 0 {
			at = policyapi.Microseconds(s - 300)
		}
	}
	if at < 59 || at > 75 {
		t.Errorf("a reason of which nothing is known kept it for %d s", at)
	}
}

// Zones have levels of their own, and their gateways are at the severer of theirs and the fleet's.
func TestScopes(t *testing.T) {
	m := NewController(two())
	for s := range 5 {
		m.Step(policyapi.Microseconds(s)*second, map[policyapi.Zone]Signals{FleetScope: loaded(1.1), "a": loaded(1.5), "b": loaded(0.5)})
	}
	if m.Level("a") != 2 || m.Level("b") != 1 || m.Level(FleetScope) != 1 {
		t.Errorf("a %d, b %d", m.Level("a"), m.Level("b"))
	}
}

// Whatever settings Check takes: calm figures lead back to the usual service in a bounded time, whatever came before;
// constant ones never make a level swing; and no course has more changes than Most says.
func TestEverySettings(t *testing.T) {
	taken := 0
	rapid.Check(t, func(t *rapid.T) {
		set := Settings{Zones: []policyapi.Zone{"a"}, Classes: []string{"view", "save"}, Period: second}
		for i := range rapid.IntRange(1, 4).Draw(t, "levels") {
			l := Level{Name: fmt.Sprint("l", i), Bounds: Unbounded(2), EnterDelay: policyapi.Microseconds(rapid.IntRange(0, 4).Draw(t, "enter held")) * second,
				LeaveDelay: policyapi.Microseconds(rapid.IntRange(2, 12).Draw(t, "leave held")) * second}
			for r := range TriggerCount {
				if rapid.IntRange(0, 2).Draw(t, "counts") > 0 {
					l.Enter[r] = float64(rapid.IntRange(1, 20).Draw(t, "enter")) / 20
					l.Leave[r] = max(least[r], l.Enter[r]*rapid.Float64Range(0.1, 0.95).Draw(t, "leave"))
				}
			}
			set.Levels = append(set.Levels, l)
		}
		if len(set.Check()) > 0 {
			return
		}
		taken++
		m, now, changes := NewController(set), policyapi.Microseconds(0), 0
		step := func(f Signals) int {
			now += second
			n := len(m.Step(now, map[policyapi.Zone]Signals{FleetScope: f}))
			changes += n
			return n
		}
		draw := func() (f Signals) {
			for r := range TriggerCount {
				if rapid.IntRange(0, 9).Draw(t, "known") > 0 {
					f.Set(r, float64(rapid.IntRange(0, 24).Draw(t, "figure"))/20)
				}
			}
			return f
		}
		for range rapid.IntRange(0, 12).Draw(t, "spells") {
			f := draw()
			for range rapid.IntRange(1, 20).Draw(t, "seconds") {
				step(f)
			}
		}
		if most := set.MaxChanges(now); changes > most {
			t.Fatalf("%d changes in %d s, at most %d by the settings %+v", changes, now/second, most, set.Levels)
		}
		constant, last, ups, downs := draw(), m.Level("a"), 0, 0
		for range 600 {
			step(constant)
			if at := m.Level("a"); at > last {
				ups, last = ups+1, at
			} else if at < last {
				downs, last = downs+1, at
			}
		}
		if ups > len(set.Levels) || ups > 0 && downs > 0 {
			t.Fatalf("on constant figures %d up and %d down: %+v, %+v", ups, downs, constant, set.Levels)
		}
		var calm Signals
		for r := range TriggerCount {
			calm.Set(r, 0)
		}
		bound := 0
		for _, l := range set.Levels {
			bound += int(l.LeaveDelay/second)*mostBackoff + 1
		}
		for range bound {
			step(calm)
		}
		if m.Level("a") != 0 {
			t.Fatalf("still at %d after %d calm seconds: %+v", m.Level("a"), bound, set.Levels)
		}
	})
	if taken < 30 {
		t.Errorf("only %d settings were taken", taken)
	}
}

// Operators' words: force goes before hold, forbid over both, each ends by itself, and beneath them the figures' own level goes on.
func TestWords(t *testing.T) {
	m, now := NewController(two()), policyapi.Microseconds(0)
	step := func(load float64) {
		now += second
		m.Step(now, map[policyapi.Zone]Signals{FleetScope: loaded(load)})
	}
	say := func(w Override) Override {
		w.Until, w.Reason = now+20*second, "night"
		said, err := m.SetOverride(now, w)
		if err != nil {
			t.Fatal(err)
		}
		return said
	}
	for want, w := range map[error]Override{
		ErrReasonRequired: {Action: ForceLevel, Level: 1, Until: now + second},
		ErrInvalidEnd:     {Action: ForceLevel, Level: 1, Reason: "r"},
		ErrUnknownZone:    {Action: ForceLevel, Zone: "x", Level: 1, Until: now + second, Reason: "r"},
		ErrUnknownLevel:   {Action: ForbidLevel, Level: 3, Until: now + second, Reason: "r"},
	} {
		if _, err := m.SetOverride(now, w); !errors.Is(err, want) {
			t.Errorf("%+v: %v", w, err)
		}
	}
	forced := say(Override{Action: ForceLevel, Level: 1, Zone: "a"})
	if step(0.2); m.Level("a") != 1 || m.Level("b") != 0 {
		t.Errorf("forced: a %d, b %d", m.Level("a"), m.Level("b"))
	}
	say(Override{Action: ForbidLevel, Level: 2})
	for range 5 {
		step(2)
	}
	if m.Level("b") != 1 || m.Scopes(now)[0].AutomaticLevel != 2 {
		t.Errorf("forbidden: b %d, %+v", m.Level("b"), m.Scopes(now)[0])
	}
	say(Override{Action: HoldLevel})
	for range 9 {
		step(0.2)
	}
	if _, err := m.ClearOverride(forced.ID); err != nil {
		t.Error(err)
	}
	if step(0.2); m.Level("b") != 1 {
		t.Errorf("held: %d", m.Level("b"))
	}
	for range 30 {
		step(0.2)
	}
	if m.Level("a") != 0 || m.Level("b") != 0 || len(m.Overrides()) != 0 {
		t.Errorf("all words have ended, a %d, b %d, %v", m.Level("a"), m.Level("b"), m.Overrides())
	}
}

// A restart at a level: it stays until fresh evidence has held for its time, and words go on, by the names of levels.
func TestRecall(t *testing.T) {
	m := NewController(two())
	for s := range 5 {
		m.Step(policyapi.Microseconds(s)*second, map[policyapi.Zone]Signals{"a": loaded(2)})
	}
	if _, err := m.SetOverride(5*second, Override{Action: ForceLevel, Level: 1, Zone: "b", Until: 100 * second, Reason: "r"}); err != nil {
		t.Fatal(err)
	}
	set := two()
	set.Levels = append([]Level{level("mild", 0.9, 0.7, second, 5*second)}, set.Levels...) // another one stands before them now
	next := NewController(set)
	if notes := next.Restore(10*second, m.Snapshot()); len(notes) != 0 || next.Level("a") != 3 {
		t.Errorf("%v, a %d", notes, next.Level("a"))
	}
	left := 0
	for s := 10; s < 60; s++ {
		next.Step(policyapi.Microseconds(s)*second, map[policyapi.Zone]Signals{"a": loaded(0.1)})
		if next.Level("a") < 3 && left == 0 {
			left = s
		}
	}
	if left != 20 || next.Level("a") != 0 || next.Level("b") != 2 {
		t.Errorf("left at %d s, a %d, b %d", left, next.Level("a"), next.Level("b"))
	}
	if notes := NewController(Settings{Zones: set.Zones}).Restore(0, m.Snapshot()); len(notes) != 2 {
		t.Errorf("levels that are gone: %v", notes)
	}
}

// Settings under which a level can't be left, or would swing, or which waste what can be served, are refused with the reason.
func TestCheck(t *testing.T) {
	for says, spoil := range map[string]func(*Settings){
		"would swing":      func(s *Settings) { s.Levels[0].Leave[TriggerLoad] = 1 },
		"can't be left":    func(s *Settings) { s.Levels[0].Leave[TriggerLoad] = 0 },
		"is never reached": func(s *Settings) { s.Levels[0].Enter[TriggerLostCapacity] = 1.2 },
		"less severe":      func(s *Settings) { s.Levels[0].Enter[TriggerLoad] = 1.5 },
		"no reason": func(s *Settings) {
			s.Levels[0].Enter, s.Levels[0].Leave = [TriggerCount]float64{}, [TriggerCount]float64{}
		},
		"under two reports":     func(s *Settings) { s.Levels[1].Bounds.ReportIntervalFactor = 8 },
		"turned away":           func(s *Settings) { s.Levels[0].Bounds.Share = []float64{0.5, 0.4} },
		"stands twice":          func(s *Settings) { s.Levels[1].Name = "tight" },
		"stands without enter.": func(s *Settings) { s.Levels[0].Leave[TriggerShedReports] = 0.4 },
		"0 to 3":                func(s *Settings) { s.Levels[0].Bounds.RetryPolicy = []int{4, 0} },
		"of 2 kinds":            func(s *Settings) { s.Levels[0].Bounds.Share = nil },
		"or 0 for no bound":     func(s *Settings) { s.Levels[0].Bounds.MaxEndpoints = 1 },
		"bound as much":         func(s *Settings) { s.Levels[0].Bounds.ReportIntervalFactor = 2 },
		"both must be":          func(s *Settings) { s.Levels[0].Enter[TriggerLoad] = math.NaN() },
	} {
		s := two()
		spoil(&s)
		var all []string
		for _, f := range s.Check() {
			all = append(all, f.Problem+": "+f.Remedy)
		}
		if !strings.Contains(strings.Join(all, "\n"), says) {
			t.Errorf("%q is not said: %v", says, all)
		}
	}
	if f := two().Check(); len(f) > 0 {
		t.Errorf("sound ones: %v", f)
	}
}

// Of what is let in each kind gets its floor, then kinds of more payoff go first; none is over its share, and no more is given
// than there is.
func TestDivide(t *testing.T) {
	got := DivideAdmission(100, []float64{80, 60, 50}, []float64{1, 1, 2}, []float64{1, 0.3, 1})
	if math.Abs(got[2]-50) > 1e-9 || got[1] > 30 || math.Abs(got[0]+got[1]+got[2]-100) > 1e-9 {
		t.Errorf("%v", got)
	}
	// Payoffs that tie: the same part of what each may have.
	if got := DivideAdmission(50, []float64{80, 20}, []float64{1, 1}, []float64{1, 1}); math.Abs(got[0]-40) > 1e-9 || math.Abs(got[1]-10) > 1e-9 {
		t.Errorf("%v", got)
	}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "kinds")
		draw := func(name string, most float64) []float64 {
			return rapid.SliceOfN(rapid.Float64Range(0, most), n, n).Draw(t, name)
		}
		total, asked, payoff, share := rapid.Float64Range(0, 100).Draw(t, "total"), draw("asked", 100), draw("payoff", 3), draw("share", 1)
		got, sum, can := DivideAdmission(total, asked, payoff, share), 0.0, 0.0
		for k, g := range got {
			if g < 0 || g > asked[k]+1e-9 || g > share[k]*total+1e-9 {
				t.Fatalf("kind %d gets %v", k, g)
			}
			sum, can = sum+g, can+min(asked[k], share[k]*total)
		}
		if sum > total+1e-9 || sum < min(total, can)-1e-6 {
			t.Fatalf("%v given of %v, %v could be used", sum, total, can)
		}
		if slices.ContainsFunc(got, math.IsNaN) {
			t.Fatal(got)
		}
	})
}
