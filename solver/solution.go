package solver

import "slices"

// Solution is the result of Solve.
type Solution struct {
	// Untouched reports whether the desired weights respect every limit and are returned unchanged.
	Untouched bool `json:"untouched"`
	// Weights holds the tables by consumer and class. The weights of a table sum to 1, or it is empty if nothing of the class
	// can be served.
	Weights [][][]Share `json:"weights"`
	// Admit is the fraction of its demand that each consumer may admit, by consumer and class, 0 to 1.
	Admit       [][]float64 `json:"admit"`
	Certificate Certificate `json:"certificate"`
}

// Certificate is the evidence that a solution is valid and how near it is to the optimum, which can be checked without solving.
type Certificate struct {
	Load   []float64 `json:"load"`   // work per second offered to each endpoint
	Limit  []float64 `json:"limit"`  // work per second that each endpoint may be offered
	Prices []float64 `json:"prices"` // price of a unit of work at each endpoint, in priority weight
	// Residual is the largest error of the prices before F-NORM, as a fraction of a limit: an overload, or a price that is too
	// high for an endpoint with free capacity.
	Residual float64 `json:"residual"`
	Steps    int     `json:"steps"` // number of price steps
	// PlacedPriority is the priority weight per second that is placed, and Bound is an upper bound on that of any placement:
	// by weak duality, sum(limit·price) + sum(demand·max(0, priority - cost·price)).
	PlacedPriority float64 `json:"payoff"`
	Bound          float64 `json:"bound"`
	// Shed is the rejected demand in requests per second by class, and Reason describes why it is rejected.
	Shed   []float64 `json:"away"`
	Reason string    `json:"why"`
	// GuessedCapacities lists the endpoints whose capacity was implausible and was replaced by the median.
	GuessedCapacities []int `json:"guessed,omitempty"`
}

// emptySolution returns a solution that admits all demand and has no weights yet.
func (p *problem) emptySolution() Solution {
	s := Solution{
		Weights: make([][][]Share, len(p.fleet.Consumers)),
		Admit:   make([][]float64, len(p.fleet.Consumers)),
		Certificate: Certificate{
			Load:   make([]float64, len(p.limit)),
			Limit:  slices.Clone(p.limit),
			Prices: slices.Clone(p.price),
			Shed:   make([]float64, len(p.fleet.Classes)),
		},
	}
	for consumer := range p.fleet.Consumers {
		s.Weights[consumer] = make([][]Share, len(p.fleet.Classes))
		s.Admit[consumer] = slices.Repeat([]float64{1}, len(p.fleet.Classes))
	}
	return s
}
