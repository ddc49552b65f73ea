package degradation

import (
	"cmp"
	"math"
	"slices"
)

const (
	// MinAdmittedFraction is the fraction of its demand, as far as its share allows it, that each class is admitted before the
	// rest is divided by priority: if a class is rejected completely, its demand can no longer be observed and its callers retry.
	MinAdmittedFraction = 0.1
	// shareSteps is the number of steps to which AdmittedShare rounds.
	shareSteps = 20
	// fullShare is the admitted fraction from which a demand counts as fully admitted.
	fullShare = 0.999
)

// DivideAdmission divides the admitted work among the request classes and returns the admitted work of each. total is the admitted
// work of all (requests per second times their cost). By class, demand is the demanded work, priority the priority weight, and share
// the largest fraction of total that the class may use. Each class first gets MinAdmittedFraction of what it may use. The rest goes
// to classes in the order of priority; classes of equal priority get the same fraction of what they may still use. Work that no
// class may use stays unused.
func DivideAdmission(total float64, demand, priority, share []float64) []float64 {
	usable := make([]float64, len(demand))
	admitted := make([]float64, len(demand))
	order := make([]int, len(demand))
	floors := 0.0
	for class := range order {
		order[class] = class
		usable[class] = demand[class]
		if share[class] < 1 {
			usable[class] = min(demand[class], share[class]*total)
		}
		admitted[class] = MinAdmittedFraction * usable[class]
		floors += admitted[class]
	}
	if floors > total {
		for class := range admitted {
			admitted[class] *= total / floors
		}
		return admitted
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(priority[b], priority[a]) })
	remaining := total - floors
	for len(order) > 0 {
		size := equalPriorities(order, priority)
		remaining = divideEqually(remaining, order[:size], usable, admitted)
		order = order[size:]
	}
	return admitted
}

// equalPriorities returns how many classes at the start of order have the same priority.
func equalPriorities(order []int, priority []float64) int {
	size := 1
	for size < len(order) && priority[order[size]] == priority[order[0]] {
		size++
	}
	return size
}

// divideEqually admits the same fraction of what each class may still use, and returns the work that remains.
func divideEqually(remaining float64, classes []int, usable, admitted []float64) float64 {
	unmet := 0.0
	for _, class := range classes {
		unmet += usable[class] - admitted[class]
	}
	fraction := 1.0
	if unmet > remaining {
		fraction = remaining / unmet
	}
	for _, class := range classes {
		additional := fraction * (usable[class] - admitted[class])
		admitted[class] += additional
		remaining -= additional
	}
	return max(0, remaining)
}

// AdmittedShare returns the admitted fraction of a class's demand, rounded down to a multiple of 1/20 but at least 1/20. The rounding
// keeps it from changing with each report.
func AdmittedShare(admitted, demand float64) float64 {
	if demand <= 0 || admitted >= demand*fullShare {
		return 1
	}
	return math.Max(1, math.Floor(admitted/demand*shareSteps)) / shareSteps
}
