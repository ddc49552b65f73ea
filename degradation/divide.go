package degradation

import (
	"cmp"
	"slices"
)

// DivideAdmission divides what the admission lets in among the kinds: total is in work (reqs a second times their cost), asked what is
// asked for of each kind, share the most that each may use of the total. Each gets the floor first; of the rest kinds of more
// payoff go first, and of equal payoff each gets the same part of what it asks for within its bound. What nobody may use
// stays unused.
func DivideAdmission(total float64, asked, payoff, share []float64) []float64 {
	bound := func(k int) float64 {
		if share[k] >= 1 {
			return asked[k]
		}
		return min(asked[k], share[k]*total)
	}
	out := make([]float64, len(asked))
	order := make([]int, len(asked))
	floors := 0.0
	for k := range order {
		order[k] = k
		out[k] = MinShare * bound(k)
		floors += out[k]
	}
	if floors > total {
		for k := range out {
			out[k] *= total / floors
		}
		return out
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(payoff[b], payoff[a]) })
	left := total - floors
	for i := 0; i < len(order); {
		j, sum := i, 0.0
		for ; j < len(order) && payoff[order[j]] == payoff[order[i]]; j++ {
			sum += bound(order[j]) - out[order[j]]
		}
		part := 1.0
		if sum > left {
			part = left / sum
		}
		for _, k := range order[i:j] {
			more := part * (bound(k) - out[k])
			out[k] += more
			left -= more
		}
		left = max(0, left)
		i = j
	}
	return out
}

// MinShare is the part of each kind's own that still comes where its share allows it: a kind that is turned away whole can't be
// seen to be wanted, and its callers repeat.
const MinShare = 0.1
