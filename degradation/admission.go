package degradation

import (
	"cmp"
	"math"
	"slices"
)

const (
	// MinAdmittedFraction is the part of a class's own demand that is admitted first where its share allows it: of a class that is
	// rejected completely the demand is no longer observable, and its callers retry.
	MinAdmittedFraction = 0.1
	// shareSteps is the number of steps of AdmittedShare.
	shareSteps = 20
	// fullShare is the part of the demand that counts as all of it.
	fullShare = 0.999
)

// DivideAdmission divides the admitted work among the request classes. total is the admitted work (requests per second
// times their cost); by class, demand is the work demanded, priority its priority weight, and share the most of total that
// it may use. Each class first gets MinAdmittedFraction of what it may use. Of the rest, classes of higher priority go first, and
// those of equal priority get the same part of what they may still use. What no class may use stays unused.
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

// divideEqually admits the same part of what each class may still use, and returns the work that remains.
func divideEqually(remaining float64, classes []int, usable, admitted []float64) float64 {
	wanted := 0.0
	for _, class := range classes {
		wanted += usable[class] - admitted[class]
	}
	part := 1.0
	if wanted > remaining {
		part = remaining / wanted
	}
	for _, class := range classes {
		more := part * (usable[class] - admitted[class])
		admitted[class] += more
		remaining -= more
	}
	return max(0, remaining)
}

// AdmittedShare returns the admitted part of a class's demand, in steps of a twentieth and at least one of them, so that it
// does not change with each report.
func AdmittedShare(admitted, demand float64) float64 {
	if demand <= 0 || admitted >= demand*fullShare {
		return 1
	}
	return math.Max(1, math.Floor(admitted/demand*shareSteps)) / shareSteps
}
