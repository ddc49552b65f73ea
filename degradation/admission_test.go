package degradation

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Each class is admitted its minimum, then classes of higher priority come first. No class exceeds its share or its demand, and the
// total is used as far as classes may use it and not exceeded.
func TestDivideAdmission(t *testing.T) {
	got := DivideAdmission(100, []float64{80, 60, 50}, []float64{1, 1, 2}, []float64{1, 0.3, 1})
	if math.Abs(got[2]-50) > 1e-9 || got[1] > 30 || math.Abs(got[0]+got[1]+got[2]-100) > 1e-9 {
		t.Errorf("DivideAdmission of 100 = %v, want 50 for the third class, at most 30 for the second, and a sum of 100", got)
	}
	// Classes of equal priority get the same fraction of what they may use.
	if got := DivideAdmission(50, []float64{80, 20}, []float64{1, 1}, []float64{1, 1}); math.Abs(got[0]-40) > 1e-9 ||
		math.Abs(got[1]-10) > 1e-9 {
		t.Errorf("DivideAdmission of 50 among classes of equal priority = %v, want [40 10]", got)
	}
	rapid.Check(t, func(t *rapid.T) {
		classes := rapid.IntRange(1, 5).Draw(t, "classes")
		draw := func(name string, limit float64) []float64 {
			return rapid.SliceOfN(rapid.Float64Range(0, limit), classes, classes).Draw(t, name)
		}
		total, demand, priority, share := rapid.Float64Range(0, 100).Draw(t, "total"), draw("demand", 100), draw("priority", 3),
			draw("share", 1)
		got, sum, usable := DivideAdmission(total, demand, priority, share), 0.0, 0.0
		for class, admitted := range got {
			if admitted < 0 || admitted > demand[class]+1e-9 || admitted > share[class]*total+1e-9 {
				t.Fatalf("class %d: admitted %v, want 0 to its demand of %v and its share of %v of %v",
					class, admitted, demand[class], share[class], total)
			}
			sum, usable = sum+admitted, usable+min(demand[class], share[class]*total)
		}
		if sum > total+1e-9 || sum < min(total, usable)-1e-6 {
			t.Fatalf("admitted %v in all, want the smaller of the total, %v, and what classes may use, %v", sum, total, usable)
		}
		if slices.ContainsFunc(got, math.IsNaN) {
			t.Fatalf("DivideAdmission = %v, want no NaN", got)
		}
	})
}
