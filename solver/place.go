package solver

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// lot is what one demand puts on one node, in reqs a second.
type lot struct {
	node int
	x    float64
}

// place turns prices into weights: what the prices say, without the shares too small for a line, then F-NORM, then
// what still has room is filled up.
func (p *problem) place() Solution {
	f := p.f
	lots := make([][]lot, len(p.demands))
	load := make([]float64, len(p.limit))
	at, touched := make([]float64, len(p.limit)), []int(nil) // reqs a second of one demand by node, and where any are
	for i := range p.demands {
		d := &p.demands[i]
		if d.z <= 0 {
			continue
		}
		in := d.rate * d.share / d.z
		s, e := &p.sets[d.set], p.e[d.kind]
		touched = touched[:0]
		put := func(j int, x float64) {
			if at[j] == 0 {
				touched = append(touched, j)
			}
			at[j] += x
		}
		for _, l := range d.lines {
			put(l.Endpoint, in*l.Weight*e[l.Endpoint])
		}
		if d.out > 0 && d.out*s.sum > least*d.z {
			for n, j := range s.nodes {
				put(j, in*d.out*s.prior[n]*e[j])
			}
		}
		lots[i] = trim(at, touched, d.rate*d.share)
		for _, j := range touched {
			at[j] = 0
		}
		for _, l := range lots[i] {
			load[l.node] += l.x * f.Endpoints[l.node].cost(d.kind)
		}
	}
	// F-NORM: what a node is offered is divided by its over-capacity ratio.
	for i := range lots {
		for n := range lots[i] {
			l := &lots[i][n]
			if ratio := load[l.node] / p.limit[l.node]; ratio > 1 {
				l.x /= ratio
			}
		}
	}
	for j := range load {
		load[j] = min(load[j], p.limit[j])
	}
	p.fill(lots, load, 1)
	if left, all := p.unplaced(lots); left > 0 && left < 2*slack*all {
		p.fill(lots, load, 1+slack) // almost all fits: it is likelier that all does than that prices are exact
	}
	return p.solution(lots)
}

// trim keeps the lots that are worth a line, in the order of nodes; what the others had goes to the kept ones.
func trim(at []float64, touched []int, total float64) (kept []lot) {
	slices.Sort(touched)
	sum := 0.0
	for _, j := range touched {
		if at[j] >= least*total {
			kept, sum = append(kept, lot{j, at[j]}), sum+at[j]
		}
	}
	if sum < total/2 { // so many that each is small: the largest stand for all
		kept, sum = kept[:0], 0
		for _, j := range touched {
			kept = append(kept, lot{j, at[j]})
		}
		slices.SortFunc(kept, func(a, b lot) int { return cmp.Or(cmp.Compare(b.x, a.x), cmp.Compare(a.node, b.node)) })
		kept = kept[:min(len(kept), int(1/least))]
		slices.SortFunc(kept, func(a, b lot) int { return cmp.Compare(a.node, b.node) })
		for _, l := range kept {
			sum += l.x
		}
	}
	for i := range kept {
		kept[i].x *= total / sum
	}
	return kept
}

func placed(lots []lot) (sum float64) {
	for _, l := range lots {
		sum += l.x
	}
	return sum
}

func (p *problem) unplaced(lots [][]lot) (left, all float64) {
	for i, d := range p.demands {
		left, all = left+max(0, d.rate-placed(lots[i])), all+d.rate
	}
	return left, all
}

// fill puts what is not placed where room is left, the best paid kind first and, within it, those of the fewest open
// nodes: they have the least choice. Each is spread by room, so that no node gets it all.
func (p *problem) fill(lots [][]lot, load []float64, upTo float64) {
	f := p.f
	rank := make([]int, len(f.Classes))
	for i, k := range f.byPayoff() {
		rank[k] = i
	}
	order := make([]int, len(p.demands))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := &p.demands[a], &p.demands[b]
		return cmp.Or(cmp.Compare(rank[x.kind], rank[y.kind]), cmp.Compare(len(p.sets[x.set].nodes), len(p.sets[y.set].nodes)))
	})
	// The room of each set, kept up to date as it is used: a set without room is passed over at once.
	for start := 0; start < len(order); {
		// Demands of one set share its room by what each lacks, so that none is served by standing first.
		first, end := &p.demands[order[start]], start
		for ; end < len(order) && p.demands[order[end]].kind == first.kind && len(p.sets[p.demands[order[end]].set].nodes) ==
			len(p.sets[first.set].nodes); end++ {
		}
		bySet := map[int]float64{}
		for _, i := range order[start:end] {
			d := &p.demands[i]
			if lack := d.rate - placed(lots[i]); lack > 1e-9*d.rate {
				bySet[d.set] += lack
			}
		}
		for _, s := range slices.Sorted(maps.Keys(bySet)) {
			set, room := &p.sets[s], 0.0
			for _, j := range set.nodes {
				room += max(0, upTo*p.limit[j]-load[j]) / f.Endpoints[j].cost(set.kind)
			}
			part := min(1, room/bySet[s])
			if part <= 1e-9 {
				continue
			}
			// Each takes what it is due from the nodes with the most room, so that few lines are added.
			byRoom := slices.Clone(set.nodes)
			free := func(j int) float64 { return max(0, upTo*p.limit[j]-load[j]) / f.Endpoints[j].cost(set.kind) }
			slices.SortStableFunc(byRoom, func(a, b int) int { return cmp.Compare(free(b), free(a)) })
			next := 0
			for _, i := range order[start:end] {
				d := &p.demands[i]
				if d.set != s {
					continue
				}
				for due := part * (d.rate - placed(lots[i])); due > 1e-9*d.rate && next < len(byRoom); {
					j := byRoom[next]
					x := min(due, free(j))
					if x > 0 {
						lots[i] = add(lots[i], lot{j, x})
						load[j] += x * f.Endpoints[j].cost(set.kind)
						due -= x
					}
					if due > 1e-9*d.rate {
						next++
					}
				}
			}
		}
		start = end
	}
}

// add puts a lot to those of the same node; lots are in the order of nodes.
func add(lots []lot, l lot) []lot {
	i, has := slices.BinarySearchFunc(lots, l.node, func(a lot, node int) int { return cmp.Compare(a.node, node) })
	if has {
		lots[i].x += l.x
		return lots
	}
	return slices.Insert(lots, i, l)
}

func (p *problem) solution(lots [][]lot) Solution {
	f := p.f
	s := p.empty()
	c := &s.Certificate
	for i, d := range p.demands {
		sum := placed(lots[i])
		if s.Admit[d.user][d.kind] = min(1, sum/d.rate); s.Admit[d.user][d.kind] > 1-1e-6 {
			s.Admit[d.user][d.kind] = 1
		}
		c.PlacedPriority += sum * p.payoff[d.kind]
		c.Shed[d.kind] += max(0, d.rate-sum)
		for _, l := range lots[i] {
			if sum > 0 && l.x > 0 {
				s.Weights[d.user][d.kind] = append(s.Weights[d.user][d.kind], Share{l.node, l.x / sum})
				c.Load[l.node] += l.x * f.Endpoints[l.node].cost(d.kind)
			}
		}
	}
	c.Bound = p.bound()
	c.Reason = p.why(c.Shed)
	return s
}

// bound is the payoff that no placement exceeds, whatever the prices: the dual's value at them.
func (p *problem) bound() float64 {
	sum := 0.0
	for j, l := range p.limit {
		sum += l * p.price[j]
	}
	best := make([]float64, len(p.sets)) // the most that a req of a set's kind earns beside what it costs
	for i, s := range p.sets {
		best[i] = math.Inf(-1)
		for _, j := range s.nodes {
			best[i] = max(best[i], p.payoff[s.kind]-p.f.Endpoints[j].cost(s.kind)*p.price[j])
		}
	}
	all := 0.0
	for _, d := range p.demands {
		sum += d.rate * max(0, best[d.set])
		all += d.rate * p.payoff[d.kind]
	}
	return min(sum, all)
}

func (p *problem) why(away []float64) string {
	var parts []string
	asked := make([]float64, len(away))
	for _, d := range p.demands {
		asked[d.kind] += d.rate
	}
	for k, a := range away {
		if a <= 1e-6*asked[k] {
			continue
		}
		nowhere := 0.0
		for _, d := range p.demands {
			if d.kind == k && len(p.sets[d.set].nodes) == 0 {
				nowhere += d.rate
			}
		}
		why := "what the nodes open to it can carry is used by what pays more for its cost"
		if nowhere > 0.99*a {
			why = "no open node"
		}
		parts = append(parts, fmt.Sprintf("%s: %.3g of %.3g reqs a second turned away: %s", p.f.Classes[k].Name, a, asked[k], why))
	}
	if parts == nil {
		return "all fits once weights are moved"
	}
	return strings.Join(parts, "; ")
}
