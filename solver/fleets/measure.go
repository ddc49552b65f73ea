package fleets

import (
	"math"
	"slices"
	"time"

	"porthub/solver"
)

// Measurement sums what Solve made of many random fleets; the fields are those that scripts rely on.
type Measurement struct {
	Fleets   int `json:"fleets"`
	Feasible int `json:"feasible"` // of them, by how they were drawn
	// WorstOverload is the largest offered load over a node's limit.
	WorstOverload float64 `json:"worst_overload"`
	// Unplaced is the largest part of a feasible fleet's demand that was not placed.
	Unplaced      float64  `json:"unplaced_when_feasible"`
	PriorityRatio *Ratio   `json:"payoff_ratio,omitempty"` // to the exact optimum
	Milliseconds  Quantile `json:"ms"`
	Steps         Quantile `json:"steps"`
	Untouched     int      `json:"untouched"`
	WorstCase     string   `json:"worst_case"`
	Optima        int      `json:"optima,omitempty"` // fleets whose optimum was found
	// PriorityRatioWhenShed is the ratio over those fleets in which something had to be turned away.
	PriorityRatioWhenShed *Ratio `json:"payoff_ratio_when_shed,omitempty"`
	// Baselines are the ratios of other ways of filling tables on the same fleets.
	Baselines map[Baseline]*Ratio `json:"ways,omitempty"`
	// MinAdmitted is the smallest part of its demand of a kind that any user with an open node was let have.
	MinAdmitted float64 `json:"least_let_in"`
}

// PriorityRatio is over all fleets whose optimum was found.
type Ratio struct {
	Median float64 `json:"median"`
	Worst  float64 `json:"worst"`
}

// Quantile is in the unit its field says.
type Quantile struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
}

// Measure solves so many random fleets of a seed. Oracle finds the exact optimum of each as well; compare fills them in
// other ways, held against the optimum, or against ours where none is asked for.
func Measure(n int, seed uint64, oracle, compare bool) (Measurement, error) {
	m := Measurement{Fleets: n, MinAdmitted: 1}
	var took, steps, ratios, shed []float64
	ways := map[Baseline][]float64{}
	worst := 2.0
	for i := range n {
		d := Draw(seed, i)
		if err := d.Check(); err != nil {
			return m, err
		}
		began := time.Now()
		s := solver.Solve(d.Fleet, nil)
		took = append(took, float64(time.Since(began).Microseconds())/1000)
		steps = append(steps, float64(s.Certificate.Steps))
		if s.Untouched {
			m.Untouched++
		}
		m.WorstOverload = max(m.WorstOverload, Overload(d.Fleet, s))
		if d.Fits {
			m.Feasible++
			m.Unplaced = max(m.Unplaced, Unplaced(d.Fleet, s))
		}
		for u := range d.Consumers {
			for k, rate := range d.Consumers[u].Demand {
				if rate > 0 && len(solver.OpenEndpoints(d.Fleet, u, k)) > 0 {
					m.MinAdmitted = min(m.MinAdmitted, s.Admit[u][k])
				}
			}
		}
		best := s.Certificate.PlacedPriority
		if oracle {
			optimum, err := Optimum(d.Fleet)
			if err != nil || optimum <= 0 {
				continue
			}
			m.Optima++
			r := s.Certificate.PlacedPriority / optimum
			if ratios = append(ratios, r); r < worst {
				worst, m.WorstCase = r, d.Case
			}
			if !d.Fits {
				shed = append(shed, r)
			}
			best = optimum
		}
		if compare && best > 0 {
			for _, way := range []Baseline{EvenWeights, CapacityWeights, WantedWeights} {
				ways[way] = append(ways[way], ServedPriority(d.Fleet, way)/best)
			}
		}
	}
	m.Milliseconds, m.Steps = quantile(took), quantile(steps)
	m.PriorityRatio, m.PriorityRatioWhenShed = ratio(ratios), ratio(shed)
	for way, r := range ways {
		if m.Baselines == nil {
			m.Baselines = map[Baseline]*Ratio{}
		}
		m.Baselines[way] = ratio(r)
	}
	return m, nil
}

func ratio(v []float64) *Ratio {
	if len(v) == 0 {
		return nil
	}
	slices.Sort(v)
	return &Ratio{Median: v[len(v)/2], Worst: v[0]}
}

func quantile(v []float64) Quantile {
	if len(v) == 0 {
		return Quantile{}
	}
	v = slices.Clone(v)
	slices.Sort(v)
	return Quantile{v[len(v)/2], v[min(len(v)-1, len(v)*99/100)]}
}

// Overload is the largest offered load over a node's limit, by the weights and admissions themselves and not by the
// certificate. Any load on a node that may get none is endless.
func Overload(f solver.Fleet, s solver.Solution) float64 {
	limit, load, worst := solver.Limits(f), make([]float64, len(f.Endpoints)), 0.0
	for u := range f.Consumers {
		for k, rate := range f.Consumers[u].Demand {
			for _, l := range s.Weights[u][k] {
				cost := 1.0
				if len(f.Endpoints[l.Endpoint].Cost) > 0 {
					cost = f.Endpoints[l.Endpoint].Cost[k]
				}
				load[l.Endpoint] += rate * s.Admit[u][k] * l.Weight * cost
				if rate > 0 && l.Weight > 0 && !slices.Contains(solver.OpenEndpoints(f, u, k), l.Endpoint) {
					return math.Inf(1)
				}
			}
		}
	}
	for j, l := range load {
		if l > 0 {
			worst = max(worst, l/limit[j])
		}
	}
	return worst
}

// Unplaced is the part of all demand that is not served.
func Unplaced(f solver.Fleet, s solver.Solution) float64 {
	all, left := 0.0, 0.0
	for u := range f.Consumers {
		for k, rate := range f.Consumers[u].Demand {
			sum := 0.0
			for _, l := range s.Weights[u][k] {
				sum += l.Weight
			}
			all, left = all+rate, left+rate*(1-s.Admit[u][k]*min(1, sum))
		}
	}
	return left / max(all, 1e-12)
}
