package solver

import "slices"

// OvershootEstimator learns by how much more comes to nodes than their tables plan for them. Gateways avoid for a while what has failed
// them, and send its part to what is left; they and their clients try again. When much of a fleet fails or is full that
// doubles what a node gets, and a cold one falls over at a part that was meant for it. The zero Excess plans for none.
type OvershootEstimator struct{ times float64 }

// What Excess goes by.
const (
	excessFrom = 2.0 // reqs a second planned, below which a node's count says little
	excessMost = 3.0 // more is not believed
	excessFade = 0.9 // of it stays with each round that shows less
)

// EndpointOutcome is what one node was to get and what came to it, tries a second in one round.
type EndpointOutcome struct{ Planned, Actual float64 }

// Observe takes in what nodes that serve were to get and got.
func (x *OvershootEstimator) Observe(nodes []EndpointOutcome) {
	var ratios []float64
	for _, n := range nodes {
		if n.Planned >= excessFrom {
			ratios = append(ratios, n.Actual/n.Planned)
		}
	}
	x.times = max(1, x.times*excessFade)
	if len(ratios) == 0 {
		return
	}
	slices.Sort(ratios)
	top := ratios[len(ratios)-1-len(ratios)/4:] // the busiest quarter: what is avoided makes up for it
	sum := 0.0
	for _, r := range top {
		sum += r
	}
	x.times = min(excessMost, max(x.times, sum/float64(len(top))))
}

// Factor is the factor, 1 or more.
func (x *OvershootEstimator) Factor() float64 { return max(1, x.times) }
