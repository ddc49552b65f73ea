package solver

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// maxMovedFraction is the fraction of all tables that may change in a round. minMovedTables may change in any case.
	maxMovedFraction = 0.25
	minMovedTables   = 4
	// weightMargin is the relative change of a weight, and admitMargin the change of an admission, up to which no message is
	// sent.
	weightMargin = 0.15
	admitMargin  = 0.05
)

// TableKey identifies the table of a consumer for a class.
type TableKey struct {
	Consumer string
	Class    int
}

// Table is a table that replaces the desired one.
type Table struct {
	Weights map[string]float64 // by endpoint name; they sum to 1
	Admit   float64            // admitted fraction of the demand, 0 to 1
}

// tableChange is a pending change of a table.
type tableChange struct {
	key       TableKey
	to        Table
	movedRate float64 // requests per second that move to other endpoints
}

// moveTables changes tables to those of a solution: a bounded number in each round, those that move the most load first. It
// returns the number of changed tables.
func (a *Activation) moveTables(f Fleet, solution Solution) int {
	changes, total := a.tableChanges(f, solution)
	slices.SortStableFunc(changes, func(x, y tableChange) int { return cmp.Compare(y.movedRate, x.movedRate) })
	limit := max(minMovedTables, int(maxMovedFraction*float64(total)))
	changes = changes[:min(len(changes), limit)]
	for _, change := range changes {
		a.tables[change.key] = change.to
	}
	return len(changes)
}

// tableChanges returns the tables that differ from a solution and the number of all tables of the solution. It deletes the tables
// of consumers that are removed or have no demand or no open endpoint; for these, the desired tables apply.
func (a *Activation) tableChanges(f Fleet, solution Solution) (changes []tableChange, total int) {
	solved := map[TableKey]bool{}
	for i := range f.Consumers {
		consumer := &f.Consumers[i]
		for class, rate := range consumer.Demand {
			if rate <= 0 || len(solution.Weights[i][class]) == 0 {
				continue
			}
			total++
			key := TableKey{consumer.Name, class}
			solved[key] = true
			current, ok := a.tables[key]
			if !ok {
				current = desiredTable(f, consumer, class)
			}
			to := solvedTable(f, solution, i, class)
			if !similar(current, to) {
				changes = append(changes, tableChange{key, to, rate * movedFraction(current, to)})
			}
		}
	}
	for key := range a.tables {
		if !solved[key] {
			delete(a.tables, key)
		}
	}
	return changes, total
}

// solvedTable returns the table of a consumer for a class in a solution.
func solvedTable(f Fleet, solution Solution, consumer, class int) Table {
	table := Table{Weights: map[string]float64{}, Admit: solution.Admit[consumer][class]}
	for _, share := range solution.Weights[consumer][class] {
		table.Weights[f.Endpoints[share.Endpoint].Name] = share.Weight
	}
	return table
}

// desiredTable returns the desired table of a consumer for a class. It has no weights if the consumer has no such table.
func desiredTable(f Fleet, consumer *Consumer, class int) Table {
	table := Table{Weights: map[string]float64{}, Admit: 1}
	if class >= len(consumer.Desired) {
		return table
	}
	total := 0.0
	for _, share := range consumer.Desired[class] {
		total += share.Weight
	}
	for _, share := range consumer.Desired[class] {
		table.Weights[f.Endpoints[share.Endpoint].Name] += share.Weight / max(total, minDivisor)
	}
	return table
}

// similar reports whether two tables differ too little to justify a message. Tables with different sets of endpoints are never
// similar, and neither are one that admits all demand and one that does not.
func similar(a, b Table) bool {
	if math.Abs(a.Admit-b.Admit) > admitMargin || (a.Admit < 1) != (b.Admit < 1) || len(a.Weights) != len(b.Weights) {
		return false
	}
	for name, weight := range b.Weights {
		previous, ok := a.Weights[name]
		if !ok || weight < (1-weightMargin)*previous || weight > previous/(1-weightMargin) {
			return false
		}
	}
	return true
}

// movedFraction returns the fraction of a table's load that moves to other endpoints if one table replaces another: half the sum
// of the absolute differences of the weights.
func movedFraction(from, to Table) (sum float64) {
	for _, name := range slices.Sorted(maps.Keys(to.Weights)) { // in a fixed order: rounding depends on the order of summation
		sum += math.Abs(to.Weights[name]-from.Weights[name]) / 2
	}
	for _, name := range slices.Sorted(maps.Keys(from.Weights)) {
		if _, ok := to.Weights[name]; !ok {
			sum += from.Weights[name] / 2
		}
	}
	return sum
}
