package chaos

import (
	"strings"

	"porthub/emulator"
	"porthub/policyapi"
)

// The names of checks, as scenarios and results have them.
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
	levelChangesMargin = 10 // seconds around the scenario in which levels may change too
)

// runChecks evaluates the checks of a scenario, and that no read was incomplete.
func runChecks(s Scenario, r Result, cells map[emulator.Cell]emulator.Sum) []CheckResult {
	var out []CheckResult
	for _, check := range append([]Check{{Name: checkPartialReads}}, s.Checks...) {
		figure, ok := checkFigure(check.Name, r, cells)
		if !ok {
			continue
		}
		if check.Name == checkLevelChanges { // no more than the settings allow
			levels, _ := s.Config("", "127.0.0.1:0", 1).DegradationSettings() // valid: the coordinator has run with them
			check.AtMost = float64(levels.MaxChanges(policyapi.Microseconds(s.Seconds+levelChangesMargin) * 1_000_000))
		}
		out = append(out, check.evaluate(figure))
	}
	return out
}

// evaluate compares a figure with the check's bounds.
func (c Check) evaluate(figure float64) CheckResult {
	hasUpperBound := c.AtMost != 0 || c.AtLeast <= 0
	ok := figure >= c.AtLeast && (!hasUpperBound || figure <= c.AtMost)
	return CheckResult{Name: c.Name, OK: ok, Value: figure}
}

// checkFigure returns the figure of a check; ok is false if there is none. An unknown check's figure is 0.
func checkFigure(name string, r Result, cells map[emulator.Cell]emulator.Sum) (figure float64, ok bool) {
	if class, byClass := strings.CutPrefix(name, checkClassPrefix); byClass {
		return classService(class, cells), true
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

// classService is the service of a class over all zones.
func classService(class string, cells map[emulator.Cell]emulator.Sum) float64 {
	var total emulator.Sum
	for cell, sum := range cells {
		if cell.Class == class {
			total = total.Add(sum)
		}
	}
	return total.Earned / max(total.Demanded, 1e-9)
}
