package solver

import "math"

const (
	// tolerance is the residual up to which prices are accepted; F-NORM removes the remaining overload.
	tolerance = 0.005
	// maxSteps is the largest number of price steps at one sharpness. The last sharpness gets lastStepsFactor times as many.
	maxSteps        = 60
	lastStepsFactor = 3
)

// sharpness holds the successive values of β times the lowest priority weight. At a low β, the optimum is found in a few steps
// from any prices, and its prices are a good start for the next value.
var sharpness = [...]float64{3, 6, 12, 24, 48}

// Solve returns the weights and admissions for a fleet, which must pass Check. warm may hold the prices of an earlier solution
// of a similar fleet, by endpoint; starting from them takes fewer steps. It may be nil.
func Solve(f Fleet, warm []float64) Solution {
	p := newProblem(&f)
	guessed := p.prepare()
	if s, ok := p.untouched(); ok {
		s.Certificate.GuessedCapacities = guessed
		return s
	}
	stages := sharpness[:]
	if p.warmStart(warm) {
		stages = stages[len(stages)-1:]
	}
	lowest := p.lowestPriority()
	steps := 0
	for i, sharp := range stages {
		limit := maxSteps
		if i == len(stages)-1 {
			limit *= lastStepsFactor
		}
		steps += p.findPrices(sharp/lowest, limit)
	}
	residual := p.evaluate(stages[len(stages)-1] / lowest)
	s := p.place()
	s.Certificate.Steps = steps
	s.Certificate.Residual = residual
	s.Certificate.GuessedCapacities = guessed
	return s
}

// warmStart sets the prices to those of an earlier solution. It reports false if their number is not that of the endpoints.
func (p *problem) warmStart(prices []float64) bool {
	if len(prices) != len(p.fleet.Endpoints) {
		return false
	}
	for i, price := range prices {
		if isAmount(price) {
			p.price[i] = price
		}
	}
	return true
}

func (p *problem) lowestPriority() float64 {
	lowest := math.Inf(1)
	for _, class := range p.fleet.Classes {
		lowest = min(lowest, class.PriorityWeight)
	}
	return lowest
}

// findPrices takes price steps until the residual is within tolerance, at least one and at most limit, and returns the number
// of steps.
func (p *problem) findPrices(beta float64, limit int) (steps int) {
	for steps < limit {
		residual := p.evaluate(beta)
		if steps > 0 && residual <= tolerance {
			break
		}
		p.step(beta)
		steps++
	}
	return steps
}
