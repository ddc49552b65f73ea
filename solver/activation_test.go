package solver_test

import (
	"maps"
	"math"
	"reflect"
	"testing"

	"porthub/solver"
)

// Solutions become active only if the overload lasts or is urgent and inactive only after several calm rounds. They change a
// bounded number of tables per round, and all tables reach the solution.
func TestActivation(t *testing.T) {
	demands := make([]float64, 40)
	for i := range demands {
		demands[i] = 0.5
	}
	calm := evenFleet([]float64{10, 10, 10}, demands...)
	overloaded := evenFleet([]float64{10, 10, 4}, demands...)
	activation := solver.NewActivation()
	if round := activation.Step(overloaded, false); round.Active || len(round.Notes) != 0 {
		t.Errorf("after one overloaded round: active %t, notes %v, want inactive without notes", round.Active, round.Notes)
	}
	if round := activation.Step(calm, false); round.Active {
		t.Error("active after a calm round, want inactive")
	}
	activation.Step(overloaded, false)
	round := activation.Step(overloaded, false)
	if !round.Active || len(round.Notes) != 1 || round.ChangedTables == 0 || round.ChangedTables > 10 {
		t.Errorf("after two overloaded rounds: active %t, notes %v, %d changed tables; want active, one note, 1 to 10 tables",
			round.Active, round.Notes, round.ChangedTables)
	}
	for range 8 {
		round = activation.Step(overloaded, false)
	}
	load := 0.0
	for u := range overloaded.Consumers {
		load += 0.5 * round.Tables[solver.TableKey{Consumer: overloaded.Consumers[u].Name}].Weights["n2"]
	}
	if round.ChangedTables != 0 || load > 4*1.05 {
		t.Errorf("after ten overloaded rounds: %d changed tables, want 0; endpoint n2 is offered %.2f, want at most 5%% above its capacity of 4",
			round.ChangedTables, load)
	}
	// Load that oscillates about the threshold rarely changes the mode.
	changes := 0
	for i := range 600 {
		f := evenFleet([]float64{10, 10, 4 + 2.8*math.Abs(math.Sin(float64(i)/3))}, demands...)
		changes += len(activation.Step(f, false).Notes)
	}
	if changes > 2 {
		t.Errorf("%d changes of mode in 600 rounds of oscillating load, want at most 2", changes)
	}
	for range 3 {
		round = activation.Step(calm, true)
	}
	if !round.Active {
		t.Error("inactive while an endpoint is on trial, want active")
	}
	for range 3 {
		round = activation.Step(calm, false)
	}
	if round.Active || len(round.Tables) != 0 {
		t.Errorf("after three calm rounds: active %t, %d tables, want inactive without tables", round.Active, len(round.Tables))
	}
	calm.Endpoints[0].Failing = []bool{true}
	if round := activation.Step(calm, true); !round.Active {
		t.Error("inactive while a table gives weight to an endpoint that fails the class, want active")
	}
}

// A consumer may have demand for a class without a desired table; the solution then gives it one. Comparing that table with the
// missing desired one used to panic once solutions were active.
func TestActivationWithoutDesiredTable(t *testing.T) {
	f := evenFleet([]float64{10, 10, 4}, 8, 8)
	f.Consumers[1].Desired = nil
	if err := f.Check(); err != nil {
		t.Fatal(err)
	}
	f.Endpoints[2].Failing = []bool{true} // it is in the first consumer's table, so that solutions apply at once
	round := solver.NewActivation().Step(f, false)
	if table := round.Tables[solver.TableKey{Consumer: f.Consumers[1].Name}]; !round.Active || len(table.Weights) == 0 {
		t.Errorf("active %t, tables %v; want active and a table with weights for the second consumer", round.Active, round.Tables)
	}
}

// The same fleet always changes the same tables. The load that a table moves used to be summed in the iteration order of a map,
// and for tables that move equal load, the rounding of the sum decided which of them changed.
func TestSameTablesAreMoved(t *testing.T) {
	limits, demands := make([]float64, 30), make([]float64, 40)
	for i := range limits {
		limits[i] = 10 - float64(i%7)/3
	}
	for i := range demands {
		demands[i] = 7
	}
	f := evenFleet(limits, demands...)
	var want map[solver.TableKey]solver.Table
	for range 1000 {
		activation := solver.NewActivation()
		activation.Step(f, false)
		round := activation.Step(f, false)
		if want == nil {
			want = maps.Clone(round.Tables)
		}
		if len(round.Tables) == 0 || len(round.Tables) == len(demands) || !reflect.DeepEqual(round.Tables, want) {
			t.Fatalf("%d of %d tables have changed; want some but not all, and the same as in the first run", len(round.Tables), len(demands))
		}
	}
}
