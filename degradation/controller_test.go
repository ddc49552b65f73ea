package degradation

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"porthub/policyapi"
	"porthub/testutil"
)

// TestMain runs the tests with fixed random draws for the property tests.
func TestMain(m *testing.M) { testutil.RunWithFixedSeed(m, 400) }

// testLevel returns a level that is triggered by load; options modify it.
func testLevel(name string, enter, leave float64, enterDelay, leaveDelay policyapi.Microseconds, options ...func(*Level)) Level {
	l := Level{Name: name, EnterDelay: enterDelay, LeaveDelay: leaveDelay, Bounds: Unbounded(2)}
	l.Enter[TriggerLoad], l.Leave[TriggerLoad] = enter, leave
	for _, option := range options {
		option(&l)
	}
	return l
}

// lostCapacity returns an option of testLevel that adds the trigger for lost capacity.
func lostCapacity(enter, leave float64) func(*Level) {
	return func(l *Level) { l.Enter[TriggerLostCapacity], l.Leave[TriggerLostCapacity] = enter, leave }
}

// twoLevels returns valid settings with the levels "tight" and "hard".
func twoLevels() Settings {
	return Settings{Zones: []policyapi.Zone{"a", "b"}, Classes: []string{"view", "save"}, Period: second, Levels: []Level{
		testLevel("tight", 1, 0.8, 2*second, 10*second, lostCapacity(0.3, 0.1)),
		testLevel("hard", 1.4, 1.1, 2*second, 10*second, lostCapacity(0.5, 0.2)),
	}}
}

// loadSignals returns signals with the given load and no lost capacity.
func loadSignals(load float64) Signals {
	var signals Signals
	signals.Set(TriggerLoad, load)
	signals.Set(TriggerLostCapacity, 0)
	return signals
}

// runLoad steps the fleet's scope once per second with the load of each second. It returns the level of zone a after each step and
// the number of changes.
func runLoad(controller *Controller, seconds int, load func(tick int) float64) (levels []int, changes int) {
	for tick := range seconds {
		changes += len(controller.Step(policyapi.Microseconds(tick)*second, map[policyapi.Zone]Signals{FleetScope: loadSignals(load(tick))}))
		levels = append(levels, controller.Level("a"))
	}
	return levels, changes
}

// The severest triggered level is entered without passing through those between, and levels are left one at a time.
func TestEnterAndLeave(t *testing.T) {
	levels, _ := runLoad(NewController(twoLevels()), 60, func(s int) float64 {
		if s >= 5 && s < 15 {
			return 2
		}
		return 0.5
	})
	if levels[6] != 0 || levels[7] != 2 || levels[24] != 2 || levels[25] != 1 || levels[26] != 1 || levels[27] != 0 {
		t.Errorf("levels by second = %v, want 0 until second 6, 2 from 7 to 24, 1 at 25 and 26, 0 at 27", levels)
	}
}

// If the load oscillates about a threshold for ten minutes, at any period, there are never more changes than MaxChanges, and the
// worst case reaches it.
func TestOscillationIsBounded(t *testing.T) {
	settings := twoLevels()
	settings.Levels = settings.Levels[:1]
	maxChanges, worst := settings.MaxChanges(600*second), 0
	for low := 1; low < 90; low++ {
		for high := 1; high < 6; high++ {
			_, changes := runLoad(NewController(settings), 600, func(s int) float64 {
				if s%(low+high) < high {
					return 1
				}
				return 0.8
			})
			worst = max(worst, changes)
		}
	}
	// In the worst case, the load changes as soon as the level does.
	controller, changes, high := NewController(settings), 0, true
	for s := range 601 {
		load := 0.8
		if high {
			load = 1
		}
		for range controller.Step(policyapi.Microseconds(s)*second, map[policyapi.Zone]Signals{FleetScope: loadSignals(load)}) {
			changes, high = changes+1, !high
		}
	}
	t.Logf("changes in ten minutes: at most %d by MaxChanges, %d with periodic oscillation, %d in the worst case",
		maxChanges, worst, changes)
	if worst > maxChanges || changes > maxChanges || changes < maxChanges-1 {
		t.Errorf("%d changes with periodic oscillation, %d in the worst case; want at most %d, and at least %d in the worst case",
			worst, changes, maxChanges, maxChanges-1)
	}
	for _, threshold := range []float64{0.8, 1, 1.1, 1.4} { // the load oscillates by 0.02 about each threshold of two levels
		controller := NewController(twoLevels())
		_, changes := runLoad(controller, 600, func(s int) float64 { return threshold + 0.02*float64(s%3-1) })
		if changes > controller.Settings().MaxChanges(600*second) || changes > 4 {
			t.Errorf("load about %.1f: %d changes, want at most 4 and at most MaxChanges, %d",
				threshold, changes, controller.Settings().MaxChanges(600*second))
		}
	}
}

// Two triggers that alternate keep a level as a single lasting one does. A trigger of unknown value keeps it for about a minute.
func TestAlternatingAndUnknownTriggers(t *testing.T) {
	controller, changes := NewController(twoLevels()), 0
	for s := range 300 {
		signals := loadSignals(1.2)
		if s%6 >= 3 {
			signals = loadSignals(0.2)
			signals.Set(TriggerLostCapacity, 0.4)
		}
		changes += len(controller.Step(policyapi.Microseconds(s)*second, map[policyapi.Zone]Signals{FleetScope: signals}))
	}
	if changes != 1 || controller.Level("b") != 1 {
		t.Errorf("with alternating triggers: %d changes, level %d, want one change to level 1", changes, controller.Level("b"))
	}
	var unknown Signals
	unknown.Set(TriggerLoad, 0.1)
	leftAfter := policyapi.Microseconds(0)
	for s := 300; s < 500 && leftAfter == 0; s++ {
		if controller.Step(policyapi.Microseconds(s)*second, map[policyapi.Zone]Signals{FleetScope: unknown}); controller.Level("b") == 0 {
			leftAfter = policyapi.Microseconds(s - 300)
		}
	}
	if leftAfter < 59 || leftAfter > 75 {
		t.Errorf("with an unknown trigger, the level was left after %d s, want 59 to 75", leftAfter)
	}
}

// The level of a gateway is the severer of its zone's and the fleet's.
func TestLevelOfZoneAndFleet(t *testing.T) {
	controller := NewController(twoLevels())
	for s := range 5 {
		controller.Step(policyapi.Microseconds(s)*second, map[policyapi.Zone]Signals{
			FleetScope: loadSignals(1.1), "a": loadSignals(1.5), "b": loadSignals(0.5),
		})
	}
	if controller.Level("a") != 2 || controller.Level("b") != 1 || controller.Level(FleetScope) != 1 {
		t.Errorf("levels of zone a, zone b and the fleet = %d, %d, %d, want 2, 1, 1",
			controller.Level("a"), controller.Level("b"), controller.Level(FleetScope))
	}
}

// drawSettings draws settings, which may be invalid.
func drawSettings(t *rapid.T) Settings {
	settings := Settings{Zones: []policyapi.Zone{"a"}, Classes: []string{"view", "save"}, Period: second}
	for i := range rapid.IntRange(1, 4).Draw(t, "levels") {
		l := Level{
			Name:       fmt.Sprint("l", i),
			Bounds:     Unbounded(2),
			EnterDelay: policyapi.Microseconds(rapid.IntRange(0, 4).Draw(t, "enter delay")) * second,
			LeaveDelay: policyapi.Microseconds(rapid.IntRange(2, 12).Draw(t, "leave delay")) * second,
		}
		for trigger := range TriggerCount {
			if rapid.IntRange(0, 2).Draw(t, "trigger applies") > 0 {
				l.Enter[trigger] = float64(rapid.IntRange(1, 20).Draw(t, "enter")) / 20
				l.Leave[trigger] = max(minLeave[trigger], l.Enter[trigger]*rapid.Float64Range(0.1, 0.95).Draw(t, "leave"))
			}
		}
		settings.Levels = append(settings.Levels, l)
	}
	return settings
}

// drawSignals draws signals, some of which are unknown.
func drawSignals(t *rapid.T) (signals Signals) {
	for trigger := range TriggerCount {
		if rapid.IntRange(0, 9).Draw(t, "known") > 0 {
			signals.Set(trigger, float64(rapid.IntRange(0, 24).Draw(t, "value"))/20)
		}
	}
	return signals
}

// steppedController is a controller whose fleet scope is stepped once per second.
type steppedController struct {
	*Controller
	now     policyapi.Microseconds
	changes int
}

func (c *steppedController) step(signals Signals) {
	c.now += second
	c.changes += len(c.Step(c.now, map[policyapi.Zone]Signals{FleetScope: signals}))
}

// For all valid settings, calm signals lead back to normal service within a bounded time, constant signals never make the level
// oscillate, and no sequence of signals causes more changes than MaxChanges.
func TestAllValidSettings(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		settings := drawSettings(t)
		if len(settings.Check()) > 0 {
			return
		}
		accepted++
		controller := &steppedController{Controller: NewController(settings)}
		requireBoundedChanges(t, controller)
		requireNoOscillation(t, controller)
		requireReturnToNormal(t, controller)
	})
	if accepted < 30 {
		t.Errorf("%d of the drawn settings were valid, want at least 30", accepted)
	}
}

// requireBoundedChanges steps through drawn periods of constant signals and fails if there are more changes than MaxChanges.
func requireBoundedChanges(t *rapid.T, controller *steppedController) {
	t.Helper()
	for range rapid.IntRange(0, 12).Draw(t, "periods") {
		signals := drawSignals(t)
		for range rapid.IntRange(1, 20).Draw(t, "seconds") {
			controller.step(signals)
		}
	}
	settings := controller.Settings()
	if maxChanges := settings.MaxChanges(controller.now); controller.changes > maxChanges {
		t.Fatalf("%d changes in %d s, want at most %d by the levels %+v",
			controller.changes, controller.now/second, maxChanges, settings.Levels)
	}
}

// requireNoOscillation keeps drawn signals constant for ten minutes and fails if the level rises and falls, or rises more often than
// there are levels.
func requireNoOscillation(t *rapid.T, controller *steppedController) {
	t.Helper()
	settings := controller.Settings()
	constant := drawSignals(t)
	lastLevel, ups, downs := controller.Level("a"), 0, 0
	for range 600 {
		controller.step(constant)
		level := controller.Level("a")
		if level > lastLevel {
			ups++
		}
		if level < lastLevel {
			downs++
		}
		lastLevel = level
	}
	if ups > len(settings.Levels) || ups > 0 && downs > 0 {
		t.Fatalf("with constant signals, the level rose %d times and fell %d times, want only one of them: signals %+v, levels %+v",
			ups, downs, constant, settings.Levels)
	}
}

// requireReturnToNormal steps with calm signals for the sum of all leave delays with the largest backoff and fails if the level is
// not normal service then.
func requireReturnToNormal(t *rapid.T, controller *steppedController) {
	t.Helper()
	var calm Signals
	for trigger := range TriggerCount {
		calm.Set(trigger, 0)
	}
	settings := controller.Settings()
	bound := 0
	for _, l := range settings.Levels {
		bound += int(l.LeaveDelay/second)*maxBackoff + 1
	}
	for range bound {
		controller.step(calm)
	}
	if controller.Level("a") != 0 {
		t.Fatalf("level %d after %d calm seconds, want 0: levels %+v", controller.Level("a"), bound, settings.Levels)
	}
}

// Force takes precedence over hold, and forbid over both. Each override ends at its time, and the automatic level continues to follow
// the signals during overrides.
func TestOverrides(t *testing.T) {
	controller, now := NewController(twoLevels()), policyapi.Microseconds(0)
	step := func(load float64) {
		now += second
		controller.Step(now, map[policyapi.Zone]Signals{FleetScope: loadSignals(load)})
	}
	override := func(o Override) Override {
		o.Until, o.Reason = now+20*second, "night"
		set, err := controller.SetOverride(now, o)
		if err != nil {
			t.Fatal(err)
		}
		return set
	}
	for want, o := range map[error]Override{
		ErrReasonRequired: {Action: ForceLevel, Level: 1, Until: now + second},
		ErrInvalidEnd:     {Action: ForceLevel, Level: 1, Reason: "r"},
		ErrUnknownZone:    {Action: ForceLevel, Zone: "x", Level: 1, Until: now + second, Reason: "r"},
		ErrUnknownLevel:   {Action: ForbidLevel, Level: 3, Until: now + second, Reason: "r"},
	} {
		if _, err := controller.SetOverride(now, o); !errors.Is(err, want) {
			t.Errorf("SetOverride(%+v) = %v, want %v", o, err, want)
		}
	}
	forced := override(Override{Action: ForceLevel, Level: 1, Zone: "a"})
	if step(0.2); controller.Level("a") != 1 || controller.Level("b") != 0 {
		t.Errorf("level 1 forced in zone a: levels of zones a and b = %d and %d, want 1 and 0",
			controller.Level("a"), controller.Level("b"))
	}
	override(Override{Action: ForbidLevel, Level: 2})
	for range 5 {
		step(2)
	}
	if controller.Level("b") != 1 || controller.Scopes(now)[0].AutomaticLevel != 2 {
		t.Errorf("level 2 forbidden: level of zone b = %d, want 1; fleet %+v, want automatic level 2",
			controller.Level("b"), controller.Scopes(now)[0])
	}
	override(Override{Action: HoldLevel})
	for range 9 {
		step(0.2)
	}
	if _, err := controller.ClearOverride(forced.ID); err != nil {
		t.Error(err)
	}
	if step(0.2); controller.Level("b") != 1 {
		t.Errorf("level 1 held: level of zone b = %d, want 1", controller.Level("b"))
	}
	for range 30 {
		step(0.2)
	}
	if controller.Level("a") != 0 || controller.Level("b") != 0 || len(controller.Overrides()) != 0 {
		t.Errorf("after all overrides have expired: levels of zones a and b = %d and %d, want 0; overrides %v, want none",
			controller.Level("a"), controller.Level("b"), controller.Overrides())
	}
}

// After a restart, a level stays until its triggers have been clear for its leave delay, and overrides stay in force. Levels are
// identified by name, because the settings may have changed.
func TestRestore(t *testing.T) {
	controller := NewController(twoLevels())
	for s := range 5 {
		controller.Step(policyapi.Microseconds(s)*second, map[policyapi.Zone]Signals{"a": loadSignals(2)})
	}
	if _, err := controller.SetOverride(5*second, Override{
		Action: ForceLevel, Level: 1, Zone: "b", Until: 100 * second, Reason: "r",
	}); err != nil {
		t.Fatal(err)
	}
	settings := twoLevels()
	settings.Levels = append([]Level{testLevel("mild", 0.9, 0.7, second, 5*second)}, settings.Levels...) // a new mildest level
	restored := NewController(settings)
	if notes := restored.Restore(10*second, controller.Snapshot()); len(notes) != 0 || restored.Level("a") != 3 {
		t.Errorf("after Restore: notes %v, want none; level of zone a = %d, want 3", notes, restored.Level("a"))
	}
	leftAt := 0
	for s := 10; s < 60; s++ {
		restored.Step(policyapi.Microseconds(s)*second, map[policyapi.Zone]Signals{"a": loadSignals(0.1)})
		if restored.Level("a") < 3 && leftAt == 0 {
			leftAt = s
		}
	}
	if leftAt != 20 || restored.Level("a") != 0 || restored.Level("b") != 2 {
		t.Errorf("level 3 of zone a was left at %d s, want 20 s; levels of zones a and b = %d and %d, want 0 and 2",
			leftAt, restored.Level("a"), restored.Level("b"))
	}
	if notes := NewController(Settings{Zones: settings.Zones}).Restore(0, controller.Snapshot()); len(notes) != 2 {
		t.Errorf("Restore without configured levels: notes %v, want two", notes)
	}
}
