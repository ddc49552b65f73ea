package chaos

import (
	"strings"

	"porthub/emulator"
	"porthub/policyapi"
)

// The names of checks in scenarios and results.
const (
	checkService       = "service"
	checkWorst10s      = "worst_10s"
	checkPartialReads  = "partial_reads"
	checkDeliveryP99   = "orders_p99_ms"
	checkConverged     = "converged_s"
	checkStop          = "stop_ms"
	checkLevelChanges  = "level_changes"
	checkOverInitial   = "over_standing" // service above that of the baseline with initial tables
	checkClassPrefix   = "kind:"
	levelChangesMargin = 10 // seconds added to the scenario's length, as levels may also change before and after it
)

// runChecks evaluates the checks of a scenario. It also checks that no gateway read an incomplete document.
func runChecks(s Scenario, r Result, totals map[emulator.ClassZone]emulator.Totals) []CheckResult {
	var out []CheckResult
	for _, check := range append([]Check{{Name: checkPartialReads}}, s.Checks...) {
		value, ok := checkedValue(check.Name, r, totals)
		if !ok {
			continue
		}
		if check.Name == checkLevelChanges { // the upper bound follows from the level settings
			// The settings are valid, as the coordinator has run with them.
			levels, _ := s.Config("", "127.0.0.1:0", 1).DegradationSettings()
			check.AtMost = float64(levels.MaxChanges(policyapi.Microseconds(s.Seconds+levelChangesMargin) * 1_000_000))
		}
		out = append(out, check.evaluate(value))
	}
	return out
}

// evaluate compares a value with the check's bounds.
func (c Check) evaluate(value float64) CheckResult {
	hasUpperBound := c.AtMost != 0 || c.AtLeast <= 0
	ok := value >= c.AtLeast && (!hasUpperBound || value <= c.AtMost)
	return CheckResult{Name: c.Name, OK: ok, Value: value}
}

// checkedValue returns the value that a check bounds, 0 for an unknown check. ok is false if the run has no such value.
func checkedValue(name string, r Result, totals map[emulator.ClassZone]emulator.Totals) (value float64, ok bool) {
	if class, byClass := strings.CutPrefix(name, checkClassPrefix); byClass {
		return classService(class, totals), true
	}
	switch name {
	case checkService:
		return r.Service, true
	case checkWorst10s:
		return r.WorstService10s, true
	case checkPartialReads:
		return float64(r.IncompleteReads), true
	case checkDeliveryP99:
		return r.DeliveryTime.P99, true
	case checkConverged:
		return r.ConvergedSeconds, true
	case checkStop:
		return r.StopMilliseconds, true
	case checkLevelChanges:
		return float64(r.LevelChanges), true
	case checkOverInitial:
		baseline, ok := r.Baselines[string(initialTables)]
		return r.Service - baseline.Service, ok
	default:
		return 0, true
	}
}

// classService returns the service of a class in all zones.
func classService(class string, totals map[emulator.ClassZone]emulator.Totals) float64 {
	var total emulator.Totals
	for key, classTotal := range totals {
		if key.Class == class {
			total = total.Add(classTotal)
		}
	}
	return total.Earned / max(total.Demanded, 1e-9)
}
