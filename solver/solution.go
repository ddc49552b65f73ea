package solver

import "slices"

// Solution is the result of Solve.
type Solution struct {
	// Untouched reports that the wanted weights are within every limit and are returned unchanged.
	Untouched bool `json:"untouched"`
	// Weights by consumer and class; each table sums to 1 unless nothing of the class can be served.
	Weights [][][]Share `json:"weights"`
	// Admit is the part of its demand that each consumer may admit, by class, 0 to 1.
	Admit       [][]float64 `json:"admit"`
	Certificate Certificate `json:"certificate"`
}

// Certificate shows that a solution is right, so that it can be checked without solving.
type Certificate struct {
	Load   []float64 `json:"load"`   // work per second offered to each endpoint
	Limit  []float64 `json:"limit"`  // that it may be offered
	Prices []float64 `json:"prices"` // priority weight for a unit of work
	// Residual is the largest overload that the prices left before F-NORM, as a part of the limit.
	Residual float64 `json:"residual"`
	Steps    int     `json:"steps"`
	// PlacedPriority is the priority weight per second that is placed, and Bound one that no placement exceeds: by weak
	// duality, sum(limit·price) + sum(demand·max(0, priority - cost·price)).
	PlacedPriority float64 `json:"payoff"`
	Bound          float64 `json:"bound"`
	// Shed is the rejected demand, requests per second by class, and Reason why, as text.
	Shed   []float64 `json:"away"`
	Reason string    `json:"why"`
	// GuessedCapacities are the endpoints whose capacity made no sense and was taken as the median.
	GuessedCapacities []int `json:"guessed,omitempty"`
}

// emptySolution returns a solution that admits everything and has no weights yet.
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
