package fleets

import (
	"fmt"
	"slices"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"

	"porthub/solver"
)

// simplexTolerance is the tolerance of the simplex method.
const simplexTolerance = 1e-9

// demandGroup is the total demand for a class of all consumers that have the same open endpoints.
type demandGroup struct {
	class     int
	endpoints []int
	rate      float64 // requests per second
}

// Optimum returns the highest priority weight per second of any placement, computed by a linear program. Its variables are the
// rates that each class places on each endpoint, summed over the consumers with the same open endpoints, because the priority does
// not depend on which of them is served. It returns an error if the program can't be solved.
func Optimum(f solver.Fleet) (float64, error) {
	groups := demandGroups(f)
	variables := 0
	for _, group := range groups {
		variables += len(group.endpoints)
	}
	if variables == 0 {
		return 0, nil
	}
	// The rows are the demand of each group, then the limit of each endpoint. Each row has a slack variable, which is in the
	// initial basis.
	rows := len(groups) + len(f.Endpoints)
	matrix := mat.NewDense(rows, variables+rows, nil)
	objective := make([]float64, variables+rows)
	bounds := make([]float64, rows)
	basic := make([]int, rows)
	column := 0
	for i, group := range groups {
		bounds[i] = group.rate
		for _, endpoint := range group.endpoints {
			matrix.Set(i, column, 1)
			matrix.Set(len(groups)+endpoint, column, cost(f, endpoint, group.class))
			objective[column] = -f.Classes[group.class].PriorityWeight
			column++
		}
	}
	for endpoint, limit := range solver.Limits(f) {
		bounds[len(groups)+endpoint] = limit
	}
	for row := range rows {
		matrix.Set(row, variables+row, 1)
		basic[row] = variables + row
	}
	best, _, err := lp.Simplex(objective, matrix, bounds, simplexTolerance, basic)
	if err != nil {
		return 0, fmt.Errorf("solving a linear program of %d variables and %d rows: %w", variables, rows, err)
	}
	return -best, nil
}

// demandGroups returns the demand of all consumers, grouped by class and open endpoints.
func demandGroups(f solver.Fleet) (groups []*demandGroup) {
	for consumer := range f.Consumers {
		for class, rate := range f.Consumers[consumer].Demand {
			open := solver.OpenEndpoints(f, consumer, class)
			i := slices.IndexFunc(groups, func(g *demandGroup) bool { return g.class == class && slices.Equal(g.endpoints, open) })
			if i < 0 {
				i = len(groups)
				groups = append(groups, &demandGroup{class: class, endpoints: open})
			}
			groups[i].rate += rate
		}
	}
	return groups
}
