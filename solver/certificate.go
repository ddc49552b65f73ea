package solver

import (
	"fmt"
	"math"
	"strings"
)

const (
	// fullAdmission is the admitted part from which on all of a demand counts as admitted.
	fullAdmission = 1 - 1e-6
	// negligibleShed is the rejected part of a class's demand that is not worth a reason.
	negligibleShed = 1e-6
	// nowherePart is the part of the rejected demand without an open endpoint that makes this the reason.
	nowherePart = 0.99
)

// solution returns the solution of placements, with its certificate.
func (p *problem) solution(placements [][]placement) Solution {
	s := p.emptySolution()
	c := &s.Certificate
	for i, d := range p.demands {
		sum := placedRate(placements[i])
		admitted := min(1, sum/d.rate)
		if admitted > fullAdmission {
			admitted = 1
		}
		s.Admit[d.consumer][d.class] = admitted
		c.PlacedPriority += sum * p.priority[d.class]
		c.Shed[d.class] += max(0, d.rate-sum)
		for _, pl := range placements[i] {
			if sum > 0 && pl.rate > 0 {
				s.Weights[d.consumer][d.class] = append(s.Weights[d.consumer][d.class], Share{pl.endpoint, pl.rate / sum})
				c.Load[pl.endpoint] += pl.rate * p.fleet.Endpoints[pl.endpoint].cost(d.class)
			}
		}
	}
	c.Bound = p.bound()
	c.Reason = p.shedReason(c.Shed)
	return s
}

// bound returns the priority weight per second that no placement exceeds: the dual's value at the present prices.
func (p *problem) bound() float64 {
	bound := 0.0
	for i, limit := range p.limit {
		bound += limit * p.price[i]
	}
	profit := make([]float64, len(p.targets)) // the most by which a request's priority exceeds its price
	for i, t := range p.targets {
		profit[i] = math.Inf(-1)
		for _, endpoint := range t.endpoints {
			profit[i] = max(profit[i], p.priority[t.class]-p.fleet.Endpoints[endpoint].cost(t.class)*p.price[endpoint])
		}
	}
	all := 0.0
	for _, d := range p.demands {
		bound += d.rate * max(0, profit[d.target])
		all += d.rate * p.priority[d.class]
	}
	return min(bound, all)
}

// shedReason describes why demand was rejected.
func (p *problem) shedReason(shed []float64) string {
	demanded := make([]float64, len(shed))
	nowhere := make([]float64, len(shed)) // without an open endpoint
	for i := range p.demands {
		d := &p.demands[i]
		demanded[d.class] += d.rate
		if p.choice(d) == 0 {
			nowhere[d.class] += d.rate
		}
	}
	var reasons []string
	for class, rate := range shed {
		if rate <= negligibleShed*demanded[class] {
			continue
		}
		reason := "the capacity of the endpoints open to it is used by classes of a higher priority for their cost"
		if nowhere[class] > nowherePart*rate {
			reason = "no open endpoint"
		}
		reasons = append(reasons, fmt.Sprintf("%s: %.3g of %.3g requests/s rejected: %s", p.fleet.Classes[class].Name, rate, demanded[class], reason))
	}
	if len(reasons) == 0 {
		return "all fits once weights are moved"
	}
	return strings.Join(reasons, "; ")
}
