package routing

import (
	"maps"
	"slices"

	"porthub/policyapi"
)

// EndpointEligibility describes what the rules currently allow for an endpoint, whatever its weight in a pinned version.
type EndpointEligibility struct {
	Closed    bool    // draining, removed or ejected for the class: gets no weight
	Weight    float64 // current weight in the decision module's table; 0: not in that table
	WarmingUp bool    // gets at most the share of its current weight, and no weight if that is 0
}

// Mask restricts pinned weights to what the rules allow. Closed endpoints get no weight. The share of an endpoint that is warming
// up, relative to the warmed-up endpoints, does not exceed its share by the current weights. masked is the number of endpoints that
// get no weight for these reasons. ok is false if no warmed-up endpoint has a weight.
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
		// The pinned and the current weights may differ in scale. The smaller of the current weight and its equivalent in the scale
		// of the pinned weights applies.
		weights[id] = min(e.Weight, e.Weight*pinnedSum/currentSum)
	}
	return weights, masked, pinnedSum > 0
}
