package solver

import (
	"fmt"
	"math"
	"strings"
)

const (
	// fullAdmission is the admitted fraction above which a demand counts as fully admitted.
	fullAdmission = 1 - 1e-6
	// negligibleRejection is the rejected fraction of a class's demand up to which no reason is given.
	negligibleRejection = 1e-6
	// noEndpointFraction is the fraction of a class's rejected demand above which the lack of an open endpoint is the reason.
	noEndpointFraction = 0.99
)

// solution returns the solution that consists of the placements, with its certificate.
func (p *problem) solution(placements [][]placement) Solution {
	result := p.emptySolution()
	certificate := &result.Certificate
	for i, d := range p.demands {
		sum := placedRate(placements[i])
		admitted := min(1, sum/d.rate)
		if admitted > fullAdmission {
			admitted = 1
		}
		result.Admit[d.consumer][d.class] = admitted
		certificate.PlacedPriority += sum * p.priority[d.class]
		certificate.Shed[d.class] += max(0, d.rate-sum)
		for _, place := range placements[i] {
			if sum > 0 && place.rate > 0 {
				result.Weights[d.consumer][d.class] = append(result.Weights[d.consumer][d.class], Share{place.endpoint, place.rate / sum})
				certificate.Load[place.endpoint] += place.rate * p.fleet.Endpoints[place.endpoint].cost(d.class)
			}
		}
	}
	certificate.Bound = p.bound()
	certificate.Reason = p.rejectionReason(certificate.Shed)
	return result
}

// bound returns an upper bound on the priority weight per second of any placement: the value of the dual at the current prices,
// or the priority of all demand if that is lower.
func (p *problem) bound() float64 {
	bound := 0.0
	for i, limit := range p.limit {
		bound += limit * p.price[i]
	}
	profit := make([]float64, len(p.targets)) // largest excess of a request's priority over its price
	for i, target := range p.targets {
		profit[i] = math.Inf(-1)
		for _, endpoint := range target.endpoints {
			profit[i] = max(profit[i], p.priority[target.class]-p.fleet.Endpoints[endpoint].cost(target.class)*p.price[endpoint])
		}
	}
	totalPriority := 0.0
	for _, demand := range p.demands {
		bound += demand.rate * max(0, profit[demand.target])
		totalPriority += demand.rate * p.priority[demand.class]
	}
	return min(bound, totalPriority)
}

// rejectionReason describes why demand was rejected. rejected is in requests per second by class.
func (p *problem) rejectionReason(rejected []float64) string {
	demanded := make([]float64, len(rejected))
	withoutEndpoint := make([]float64, len(rejected)) // demand that has no open endpoint
	for i := range p.demands {
		d := &p.demands[i]
		demanded[d.class] += d.rate
		if p.openCount(d) == 0 {
			withoutEndpoint[d.class] += d.rate
		}
	}
	var reasons []string
	for class, rate := range rejected {
		if rate <= negligibleRejection*demanded[class] {
			continue
		}
		reason := "the capacity of the endpoints open to it is used by classes of a higher priority for their cost"
		if withoutEndpoint[class] > noEndpointFraction*rate {
			reason = "no open endpoint"
		}
		reasons = append(reasons, fmt.Sprintf("%s: %.3g of %.3g requests/s rejected: %s", p.fleet.Classes[class].Name, rate, demanded[class], reason))
	}
	if len(reasons) == 0 {
		return "all fits once weights are moved"
	}
	return strings.Join(reasons, "; ")
}
