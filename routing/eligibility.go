package routing

import (
	"maps"
	"slices"

	"porthub/policyapi"
)

// EndpointEligibility is what the rules allow an endpoint now, whatever weight a pinned version has for it.
type EndpointEligibility struct {
	Closed    bool    // draining, removed or ejected for the class: no weight
	Weight    float64 // in the table by the decision module; 0: it has none there
	WarmingUp bool    // its share must not exceed the share by Weight; with Weight 0 it gets none
}

// Mask restricts pinned weights to what the rules allow: closed endpoints get none, and the share of one that is warming
// up, relative to the warmed-up ones, is no larger than by the current weights. It returns the number of endpoints that
// were masked, and ok false if no warmed-up endpoint is left.
func Mask(pinned Weights, eligibility func(policyapi.EndpointID) EndpointEligibility) (weights Weights, masked int, ok bool) {
	weights = Weights{}
	pinnedSum, currentSum := 0.0, 0.0 // sums of the warmed-up endpoints' weights
	var warmingUp []policyapi.EndpointID
	for _, id := range slices.Sorted(maps.Keys(pinned)) {
		switch e := eligibility(id); {
		case e.Closed:
			masked++
		case e.WarmingUp:
			warmingUp = append(warmingUp, id)
		case e.Weight > 0:
			weights[id] = pinned[id]
			pinnedSum += pinned[id]
			currentSum += e.Weight
		default:
			weights[id] = pinned[id]
			pinnedSum += pinned[id]
			currentSum += pinned[id]
		}
	}
	for _, id := range warmingUp {
		e := eligibility(id)
		if e.Weight <= 0 || currentSum <= 0 {
			masked++
			continue
		}
		// Its current weight, scaled as the weights of the warmed-up endpoints are.
		weights[id] = min(e.Weight, e.Weight*pinnedSum/currentSum)
	}
	return weights, masked, pinnedSum > 0
}
