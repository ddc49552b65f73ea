package degradation

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Each class gets its floor, then classes of higher priority go first; none exceeds its share, and no more is admitted than
// the total.
func TestDivideAdmission(t *testing.T) {
	got := DivideAdmission(100, []float64{80, 60, 50}, []float64{1, 1, 2}, []float64{1, 0.3, 1})
	if math.Abs(got[2]-50) > 1e-9 || got[1] > 30 || math.Abs(got[0]+got[1]+got[2]-100) > 1e-9 {
		t.Errorf("%v", got)
	}
	// Equal priorities: the same part of what each may use.
	if got := DivideAdmission(50, []float64{80, 20}, []float64{1, 1}, []float64{1, 1}); math.Abs(got[0]-40) > 1e-9 || math.Abs(got[1]-10) > 1e-9 {
		t.Errorf("%v", got)
	}
	rapid.Check(t, func(t *rapid.T) {
		classes := rapid.IntRange(1, 5).Draw(t, "kinds")
		draw := func(name string, limit float64) []float64 {
			return rapid.SliceOfN(rapid.Float64Range(0, limit), classes, classes).Draw(t, name)
		}
		total, demand, priority, share := rapid.Float64Range(0, 100).Draw(t, "total"), draw("asked", 100), draw("payoff", 3), draw("share", 1)
		got, sum, usable := DivideAdmission(total, demand, priority, share), 0.0, 0.0
		for class, admitted := range got {
			if admitted < 0 || admitted > demand[class]+1e-9 || admitted > share[class]*total+1e-9 {
				t.Fatalf("class %d gets %v", class, admitted)
			}
			sum, usable = sum+admitted, usable+min(demand[class], share[class]*total)
		}
		if sum > total+1e-9 || sum < min(total, usable)-1e-6 {
			t.Fatalf("%v given of %v, %v could be used", sum, total, usable)
		}
		if slices.ContainsFunc(got, math.IsNaN) {
			t.Fatal(got)
		}
	})
}
