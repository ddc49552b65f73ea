package fleets

import (
	"fmt"
	"slices"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"

	"porthub/solver"
)

// Optimum is the most payoff a second that any placement reaches, by a linear program: what each kind may place from
// each set of nodes, demands summed by set, since payoff does not ask who is served.
func Optimum(f solver.Fleet) (float64, error) {
	limit := solver.Limits(f)
	type set struct {
		kind  int
		nodes []int
		rate  float64
	}
	var sets []*set
	for u := range f.Consumers {
		for k, rate := range f.Consumers[u].Demand {
			open := solver.OpenEndpoints(f, u, k)
			i := slices.IndexFunc(sets, func(s *set) bool { return s.kind == k && slices.Equal(s.nodes, open) })
			if i < 0 {
				i = len(sets)
				sets = append(sets, &set{kind: k, nodes: open})
			}
			sets[i].rate += rate
		}
	}
	vars, rows := 0, len(sets)+len(f.Endpoints)
	for _, s := range sets {
		vars += len(s.nodes)
	}
	if vars == 0 {
		return 0, nil
	}
	a := mat.NewDense(rows, vars+rows, nil)
	c, b := make([]float64, vars+rows), make([]float64, rows)
	basic := make([]int, rows)
	v := 0
	for i, s := range sets {
		b[i] = s.rate
		for _, j := range s.nodes {
			a.Set(i, v, 1)
			cost := 1.0
			if len(f.Endpoints[j].Cost) > 0 {
				cost = f.Endpoints[j].Cost[s.kind]
			}
			a.Set(len(sets)+j, v, cost)
			c[v] = -f.Classes[s.kind].PriorityWeight
			v++
		}
	}
	for j, l := range limit {
		b[len(sets)+j] = l
	}
	for r := range rows { // slack
		a.Set(r, vars+r, 1)
		basic[r] = vars + r
	}
	best, _, err := lp.Simplex(c, a, b, 1e-9, basic)
	if err != nil {
		return 0, fmt.Errorf("linear program of %d variables and %d rows: %w", vars, rows, err)
	}
	return -best, nil
}
