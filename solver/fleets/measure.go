package fleets

import (
	"slices"
	"time"

	"porthub/solver"
)

// Measurement summarizes the solutions of many random fleets.
type Measurement struct {
	Fleets   int `json:"fleets"`
	Feasible int `json:"feasible"` // fleets whose demand fits, see RandomFleet.Fits
	// WorstOverload is the largest ratio of an endpoint's load to its limit.
	WorstOverload float64 `json:"worst_overload"`
	// Unplaced is the largest fraction of a feasible fleet's demand that was not placed.
	Unplaced      float64   `json:"unplaced_when_feasible"`
	PriorityRatio *Ratio    `json:"payoff_ratio,omitempty"` // ratio of the placed priority to the exact optimum
	Milliseconds  Quantiles `json:"ms"`
	Steps         Quantiles `json:"steps"`
	Untouched     int       `json:"untouched"`        // fleets whose desired weights were returned unchanged
	WorstCase     string    `json:"worst_case"`       // case of the fleet with the worst priority ratio
	Optima        int       `json:"optima,omitempty"` // fleets whose optimum was found
	// PriorityRatioWhenShed is the priority ratio over the fleets that are not feasible.
	PriorityRatioWhenShed *Ratio `json:"payoff_ratio_when_shed,omitempty"`
	// Baselines holds the ratios of the priority served by each baseline on the same fleets.
	Baselines map[Baseline]*Ratio `json:"ways,omitempty"`
	// MinAdmitted is the smallest fraction of its demand for a class that a consumer with an open endpoint was admitted.
	MinAdmitted float64 `json:"least_let_in"`
}

// Ratio summarizes a ratio over fleets.
type Ratio struct {
	Median float64 `json:"median"`
	Worst  float64 `json:"worst"`
}

// Quantiles holds the median and the 99th percentile of a quantity, in the unit of that quantity.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
}

// samples holds the values by fleet that a Measurement summarizes.
type samples struct {
	milliseconds, steps    []float64
	ratios, rejectedRatios []float64 // priority ratios of all fleets, and of those that are not feasible
	worstRatio             float64   // the lowest of ratios
	baselines              map[Baseline][]float64
}

// Measure solves n random fleets of a seed. If optimum is set, it also computes the exact optimum of each fleet. If baselines is
// set, it also computes the priority that each baseline serves, relative to the optimum or, without it, to the solution. It
// returns an error if a fleet is malformed.
func Measure(n int, seed uint64, optimum, baselines bool) (Measurement, error) {
	measurement := Measurement{Fleets: n, MinAdmitted: 1}
	collected := samples{baselines: map[Baseline][]float64{}}
	for i := range n {
		drawn := Draw(seed, i)
		if err := drawn.Check(); err != nil {
			return measurement, err
		}
		best := measurement.solve(drawn, &collected)
		if optimum {
			exact, ok := measurement.compareOptimum(drawn, best, &collected)
			if !ok {
				continue
			}
			best = exact
		}
		if baselines && best > 0 {
			for _, baseline := range []Baseline{EvenWeights, CapacityWeights, DesiredWeights} {
				collected.baselines[baseline] = append(collected.baselines[baseline], ServedPriority(drawn.Fleet, baseline)/best)
			}
		}
	}
	measurement.summarize(collected)
	return measurement, nil
}

// solve solves a fleet, records the results and returns the placed priority.
func (m *Measurement) solve(d RandomFleet, s *samples) (placed float64) {
	start := time.Now()
	solution := solver.Solve(d.Fleet, nil)
	s.milliseconds = append(s.milliseconds, millisecondsSince(start))
	s.steps = append(s.steps, float64(solution.Certificate.Steps))
	if solution.Untouched {
		m.Untouched++
	}
	m.WorstOverload = max(m.WorstOverload, Overload(d.Fleet, solution))
	if d.Fits {
		m.Feasible++
		m.Unplaced = max(m.Unplaced, Unplaced(d.Fleet, solution))
	}
	m.MinAdmitted = min(m.MinAdmitted, minAdmitted(d.Fleet, solution))
	return solution.Certificate.PlacedPriority
}

// compareOptimum records the ratio of the placed priority to the optimum and returns the optimum. ok is false if the optimum was
// not found or is 0.
func (m *Measurement) compareOptimum(d RandomFleet, placed float64, s *samples) (optimum float64, ok bool) {
	optimum, err := Optimum(d.Fleet)
	if err != nil || optimum <= 0 {
		return 0, false
	}
	m.Optima++
	ratio := placed / optimum
	if len(s.ratios) == 0 || ratio < s.worstRatio {
		s.worstRatio = ratio
		m.WorstCase = d.Case
	}
	s.ratios = append(s.ratios, ratio)
	if !d.Fits {
		s.rejectedRatios = append(s.rejectedRatios, ratio)
	}
	return optimum, true
}

// summarize computes the quantiles and ratios from the samples.
func (m *Measurement) summarize(s samples) {
	m.Milliseconds = quantiles(s.milliseconds)
	m.Steps = quantiles(s.steps)
	m.PriorityRatio = ratioOf(s.ratios)
	m.PriorityRatioWhenShed = ratioOf(s.rejectedRatios)
	if len(s.baselines) == 0 {
		return
	}
	m.Baselines = map[Baseline]*Ratio{}
	for baseline, ratios := range s.baselines {
		m.Baselines[baseline] = ratioOf(ratios)
	}
}

// ratioOf returns the median and the lowest of values, or nil if there are none.
func ratioOf(values []float64) *Ratio {
	if len(values) == 0 {
		return nil
	}
	values = slices.Sorted(slices.Values(values))
	return &Ratio{Median: values[len(values)/2], Worst: values[0]}
}

// quantiles returns the median and the 99th percentile of values, or zeros if there are none.
func quantiles(values []float64) Quantiles {
	if len(values) == 0 {
		return Quantiles{}
	}
	values = slices.Sorted(slices.Values(values))
	return Quantiles{P50: values[len(values)/2], P99: values[min(len(values)-1, len(values)*99/100)]}
}
