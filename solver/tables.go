package solver

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// movedPart is the part of all tables that may change in a round, minMoved the least number of them.
	movedPart = 0.25
	minMoved  = 4
	// weightMargin and admitMargin are the relative change of a weight and the change of an admission that are not worth a
	// message.
	weightMargin = 0.15
	admitMargin  = 0.05
)

// TableKey identifies the table of a consumer for a class.
type TableKey struct {
	Consumer string
	Class    int
}

// Table is a table that replaces the wanted one.
type Table struct {
	Weights map[string]float64 // by endpoint name; they sum to 1
	Admit   float64            // part of the demand that is admitted, 0 to 1
}

// tableChange is a table that should change.
type tableChange struct {
	key  TableKey
	to   Table
	gain float64 // requests per second that move
}

// moveTables brings the tables nearer to a solution, those first that move the most load, a bounded number in a round. It
// returns their number.
func (a *Activation) moveTables(f Fleet, solution Solution) int {
	changes, total := a.tableChanges(f, solution)
	slices.SortStableFunc(changes, func(x, y tableChange) int { return cmp.Compare(y.gain, x.gain) })
	limit := max(minMoved, int(movedPart*float64(total)))
	changes = changes[:min(len(changes), limit)]
	for _, change := range changes {
		a.tables[change.key] = change.to
	}
	return len(changes)
}

// tableChanges returns the tables that should change and the number of all tables. It drops those of consumers that are
// removed, or have no demand or no open endpoint: these are as wanted.
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
				current = wantedTable(f, consumer, class)
			}
			to := solvedTable(f, solution, i, class)
			if !similar(current, to) {
				changes = append(changes, tableChange{key, to, rate * movedLoad(current, to)})
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

func solvedTable(f Fleet, solution Solution, consumer, class int) Table {
	table := Table{Weights: map[string]float64{}, Admit: solution.Admit[consumer][class]}
	for _, share := range solution.Weights[consumer][class] {
		table.Weights[f.Endpoints[share.Endpoint].Name] = share.Weight
	}
	return table
}

func wantedTable(f Fleet, consumer *Consumer, class int) Table {
	table := Table{Weights: map[string]float64{}, Admit: 1}
	if class >= len(consumer.Desired) {
		return table // it wants none
	}
	total := 0.0
	for _, share := range consumer.Desired[class] {
		total += share.Weight
	}
	for _, share := range consumer.Desired[class] {
		table.Weights[f.Endpoints[share.Endpoint].Name] += share.Weight / max(total, tiny)
	}
	return table
}

// similar reports whether two tables differ so little that a message is not worth it. Tables of different endpoints never
// are similar.
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

// movedLoad returns the part of a table's load that moves from one table to another: half the sum of the weights'
// differences.
func movedLoad(from, to Table) (sum float64) {
	for _, name := range slices.Sorted(maps.Keys(to.Weights)) { // in order, so that the same tables give the same sum
		sum += math.Abs(to.Weights[name]-from.Weights[name]) / 2
	}
	for _, name := range slices.Sorted(maps.Keys(from.Weights)) {
		if _, ok := to.Weights[name]; !ok {
			sum += from.Weights[name] / 2
		}
	}
	return sum
}
