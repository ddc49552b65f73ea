package degradation

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"porthub/policyapi"
	"porthub/testutil"
)

// TestMain fixes the draws of property tests.
func TestMain(m *testing.M) { testutil.RunWithFixedSeed(m, 400) }

// testLevel returns a level by load; options add to it.
func testLevel(name string, enter, leave float64, enterDelay, leaveDelay policyapi.Microseconds, options ...func(*Level)) Level {
	l := Level{Name: name, EnterDelay: enterDelay, LeaveDelay: leaveDelay, Bounds: Unbounded(2)}
	l.Enter[TriggerLoad], l.Leave[TriggerLoad] = enter, leave
	for _, option := range options {
		option(&l)
	}
	return l
}

// lostCapacity is an option of testLevel: it adds the trigger by lost capacity.
func lostCapacity(enter, leave float64) func(*Level) {
	return func(l *Level) { l.Enter[TriggerLostCapacity], l.Leave[TriggerLostCapacity] = enter, leave }
}

// twoLevels returns valid settings with the levels tight and hard.
func twoLevels() Settings {
	return Settings{Zones: []policyapi.Zone{"a", "b"}, Classes: []string{"view", "save"}, Period: second, Levels: []Level{
		testLevel("tight", 1, 0.8, 2*second, 10*second, lostCapacity(0.3, 0.1)), testLevel("hard", 1.4, 1.1, 2*second, 10*second, lostCapacity(0.5, 0.2))}}
}

// loadSignals returns signals with the load given and no lost capacity.
func loadSignals(load float64) Signals {
	var signals Signals
	signals.Set(TriggerLoad, load)
	signals.Set(TriggerLostCapacity, 0)
	return signals
}

// playLoad steps the fleet's scope once a second by the load given and returns the levels and the number of changes.
func playLoad(controller *Controller, seconds int, load func(tick int) float64) (levels []int, changes int) {
	for tick := range seconds {
		changes += len(controller.Step(policyapi.Microseconds(tick)*second, map[policyapi.Zone]Signals{FleetScope: loadSignals(load(tick))}))
		levels = append(levels, controller.Level("a"))
	}
	return levels, changes
}

// Levels are entered at once over those between, and left one at a time.
func TestEnterAndLeave(t *testing.T) {
	levels, _ := playLoad(NewController(twoLevels()), 60, func(s int) float64 {
		if s >= 5 && s < 15 {
			return 2
		}
		return 0.5
	})
	if levels[6] != 0 || levels[7] != 2 || levels[24] != 2 || levels[25] != 1 || levels[26] != 1 || levels[27] != 0 {
		t.Errorf("%v", levels)
	}
}

// For ten minutes the load oscillates about a threshold, at every pace: there are never more changes than MaxChanges, and
// the worst course reaches it.
func TestOscillationIsBounded(t *testing.T) {
	settings := twoLevels()
	settings.Levels = settings.Levels[:1]
	maxChanges, worst := settings.MaxChanges(600*second), 0
	for low := 1; low < 90; low++ {
		for high := 1; high < 6; high++ {
			_, changes := playLoad(NewController(settings), 600, func(s int) float64 {
				if s%(low+high) < high {
					return 1
				}
				return 0.8
			})
			worst = max(worst, changes)
		}
	}
	// The worst course waits out each delay to the second.
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
	t.Logf("at most %d changes in ten minutes; by steady oscillation %d, by the worst course %d", maxChanges, worst, changes)
	if worst > maxChanges || changes > maxChanges || changes < maxChanges-1 {
		t.Error("MaxChanges is exceeded, or not tight")
	}
	for _, hover := range []float64{0.8, 1, 1.1, 1.4} { // the load jitters about each threshold of two levels
		controller := NewController(twoLevels())
		_, changes := playLoad(controller, 600, func(s int) float64 { return hover + 0.02*float64(s%3-1) })
		if changes > controller.Settings().MaxChanges(600*second) || changes > 4 {
			t.Errorf("about %.1f: %d changes", hover, changes)
		}
	}
}

// Two triggers that take turns keep a level as one would; an unknown one keeps it for a minute.
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
		t.Errorf("%d changes, at %d", changes, controller.Level("b"))
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
		t.Errorf("an unknown trigger kept the level for %d s", leftAfter)
	}
}

// Gateways are at the severer level of their zone's and the fleet's.
func TestLevelOfZoneAndFleet(t *testing.T) {
	controller := NewController(twoLevels())
	for s := range 5 {
		controller.Step(policyapi.Microseconds(s)*second, map[policyapi.Zone]Signals{FleetScope: loadSignals(1.1), "a": loadSignals(1.5), "b": loadSignals(0.5)})
	}
	if controller.Level("a") != 2 || controller.Level("b") != 1 || controller.Level(FleetScope) != 1 {
		t.Errorf("a %d, b %d", controller.Level("a"), controller.Level("b"))
	}
}

// drawSettings draws settings, which may have findings.
func drawSettings(t *rapid.T) Settings {
	settings := Settings{Zones: []policyapi.Zone{"a"}, Classes: []string{"view", "save"}, Period: second}
	for i := range rapid.IntRange(1, 4).Draw(t, "levels") {
		l := Level{Name: fmt.Sprint("l", i), Bounds: Unbounded(2), EnterDelay: policyapi.Microseconds(rapid.IntRange(0, 4).Draw(t, "enter held")) * second,
			LeaveDelay: policyapi.Microseconds(rapid.IntRange(2, 12).Draw(t, "leave held")) * second}
		for trigger := range TriggerCount {
			if rapid.IntRange(0, 2).Draw(t, "counts") > 0 {
				l.Enter[trigger] = float64(rapid.IntRange(1, 20).Draw(t, "enter")) / 20
				l.Leave[trigger] = max(minLeave[trigger], l.Enter[trigger]*rapid.Float64Range(0.1, 0.95).Draw(t, "leave"))
			}
		}
		settings.Levels = append(settings.Levels, l)
	}
	return settings
}

func drawSignals(t *rapid.T) (signals Signals) {
	for trigger := range TriggerCount {
		if rapid.IntRange(0, 9).Draw(t, "known") > 0 {
			signals.Set(trigger, float64(rapid.IntRange(0, 24).Draw(t, "figure"))/20)
		}
	}
	return signals
}

// steppedController is a controller whose fleet scope is stepped once a second.
type steppedController struct {
	*Controller
	now     policyapi.Microseconds
	changes int
}

func (c *steppedController) step(signals Signals) {
	c.now += second
	c.changes += len(c.Step(c.now, map[policyapi.Zone]Signals{FleetScope: signals}))
}

// For all settings without findings: calm signals lead back to normal service in a bounded time, constant ones never make
// a level oscillate, and no course has more changes than MaxChanges.
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
		t.Errorf("only %d settings were valid", accepted)
	}
}

// requireBoundedChanges steps through drawn spells of constant signals.
func requireBoundedChanges(t *rapid.T, controller *steppedController) {
	t.Helper()
	for range rapid.IntRange(0, 12).Draw(t, "spells") {
		signals := drawSignals(t)
		for range rapid.IntRange(1, 20).Draw(t, "seconds") {
			controller.step(signals)
		}
	}
	settings := controller.Settings()
	if maxChanges := settings.MaxChanges(controller.now); controller.changes > maxChanges {
		t.Fatalf("%d changes in %d s, at most %d by the settings %+v", controller.changes, controller.now/second, maxChanges, settings.Levels)
	}
}

// requireNoOscillation holds drawn signals for ten minutes: the level goes up or down, not both.
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
		t.Fatalf("on constant signals %d up and %d down: %+v, %+v", ups, downs, constant, settings.Levels)
	}
}

// requireReturnToNormal steps with calm signals for as long as all leave delays with the largest backoff.
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
		t.Fatalf("still at %d after %d calm seconds: %+v", controller.Level("a"), bound, settings.Levels)
	}
}

// Force takes precedence over hold and forbid over both; each ends by itself, and beneath them the level by the signals
// goes on.
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
			t.Errorf("%+v: %v", o, err)
		}
	}
	forced := override(Override{Action: ForceLevel, Level: 1, Zone: "a"})
	if step(0.2); controller.Level("a") != 1 || controller.Level("b") != 0 {
		t.Errorf("forced: a %d, b %d", controller.Level("a"), controller.Level("b"))
	}
	override(Override{Action: ForbidLevel, Level: 2})
	for range 5 {
		step(2)
	}
	if controller.Level("b") != 1 || controller.Scopes(now)[0].AutomaticLevel != 2 {
		t.Errorf("forbidden: b %d, %+v", controller.Level("b"), controller.Scopes(now)[0])
	}
	override(Override{Action: HoldLevel})
	for range 9 {
		step(0.2)
	}
	if _, err := controller.ClearOverride(forced.ID); err != nil {
		t.Error(err)
	}
	if step(0.2); controller.Level("b") != 1 {
		t.Errorf("held: %d", controller.Level("b"))
	}
	for range 30 {
		step(0.2)
	}
	if controller.Level("a") != 0 || controller.Level("b") != 0 || len(controller.Overrides()) != 0 {
		t.Errorf("all overrides have ended: a %d, b %d, %v", controller.Level("a"), controller.Level("b"), controller.Overrides())
	}
}

// After a restart a level stays until its triggers have been clear for its delay, and overrides go on, by the names of
// levels.
func TestRestore(t *testing.T) {
	controller := NewController(twoLevels())
	for s := range 5 {
		controller.Step(policyapi.Microseconds(s)*second, map[policyapi.Zone]Signals{"a": loadSignals(2)})
	}
	if _, err := controller.SetOverride(5*second, Override{Action: ForceLevel, Level: 1, Zone: "b", Until: 100 * second, Reason: "r"}); err != nil {
		t.Fatal(err)
	}
	settings := twoLevels()
	settings.Levels = append([]Level{testLevel("mild", 0.9, 0.7, second, 5*second)}, settings.Levels...) // a new mildest level
	restored := NewController(settings)
	if notes := restored.Restore(10*second, controller.Snapshot()); len(notes) != 0 || restored.Level("a") != 3 {
		t.Errorf("%v, a %d", notes, restored.Level("a"))
	}
	leftAt := 0
	for s := 10; s < 60; s++ {
		restored.Step(policyapi.Microseconds(s)*second, map[policyapi.Zone]Signals{"a": loadSignals(0.1)})
		if restored.Level("a") < 3 && leftAt == 0 {
			leftAt = s
		}
	}
	if leftAt != 20 || restored.Level("a") != 0 || restored.Level("b") != 2 {
		t.Errorf("left at %d s, a %d, b %d", leftAt, restored.Level("a"), restored.Level("b"))
	}
	if notes := NewController(Settings{Zones: settings.Zones}).Restore(0, controller.Snapshot()); len(notes) != 2 {
		t.Errorf("levels that are no longer configured: %v", notes)
	}
}
