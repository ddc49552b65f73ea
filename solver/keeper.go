package solver

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Activation decides when the solver's answer acts. The weights wanted pass untouched while they keep the limits; the
// departure begins when they clearly don't, ends when they have clearly kept them for a while, and moves a bounded
// number of tables in one round.
type Activation struct {
	acting bool
	over   int // rounds in a row that the limits were broken
	fine   int // rounds in a row that they were kept
	prices map[string]float64
	tables map[TableKey]Table
}

// TableKey names one kind's table of a user.
type TableKey struct {
	Consumer string
	Class    int
}

// Table is what acts in place of the weights wanted: weights by node name, and the part of demand let in.
type Table struct {
	Weights map[string]float64
	Admit   float64
}

// Round is what a round of the keeper came to.
type Round struct {
	Active bool
	// Tables act in place of what is wanted; what is not named here passes as wanted.
	Tables map[TableKey]Table
	Moved  int // tables that changed in this round
	// WorstUtilization is the largest load over a limit that the weights wanted would bring, and At where.
	WorstUtilization float64
	WorstEndpoint    string
	Certificate      *Certificate
	Notes            []string // changes of mode, with their figures
}

const (
	enterOver   = 1.15 // of a node's limit, for enterFor rounds
	enterFor    = 2
	leaveUnder  = 0.95
	leaveFor    = 3
	movedPart   = 0.25 // of all tables move in a round, movedLeast at least
	movedLeast  = 4
	near        = 0.15 // a table whose weights are all this near to what acts stays as it is
	admitMargin = 0.05
)

// NewActivation starts with nothing acting.
func NewActivation() *Activation {
	return &Activation{prices: map[string]float64{}, tables: map[TableKey]Table{}}
}

// Step takes a round's fleet, the weights wanted in it. A table that holds a line for a node that fails the kind, or a
// cold node over its budget, does not wait for load to show. While hold is set what acts goes on acting: somebody is on
// trial.
func (k *Activation) Step(f Fleet, hold bool) Round {
	r := Round{}
	worst, at, urgent := offered(f)
	r.WorstUtilization, r.WorstEndpoint = worst, at
	if worst > enterOver {
		k.over++
	} else {
		k.over = 0
	}
	if worst < leaveUnder && urgent == "" && !hold {
		k.fine++
	} else {
		k.fine = 0
	}
	switch {
	case !k.acting && (urgent != "" || k.over >= enterFor):
		why := urgent
		if why == "" {
			why = fmt.Sprintf("%s would be offered %.2f of its limit", at, worst)
		}
		k.acting = true
		r.Notes = append(r.Notes, "solver acts: "+why)
	case k.acting && k.fine >= leaveFor:
		k.acting, k.over = false, 0
		r.Moved = len(k.tables)
		clear(k.tables)
		r.Notes = append(r.Notes, fmt.Sprintf("solver rests: %s is offered the most, %.2f of its limit", at, worst))
	}
	if r.Active = k.acting; !k.acting {
		return r
	}
	warm := make([]float64, len(f.Endpoints))
	for j, n := range f.Endpoints {
		warm[j] = k.prices[n.Name]
	}
	if len(k.prices) == 0 {
		warm = nil
	}
	s := Solve(f, warm)
	r.Certificate = &s.Certificate
	clear(k.prices)
	for j, n := range f.Endpoints {
		k.prices[n.Name] = s.Certificate.Prices[j]
	}
	r.Moved = k.move(f, s)
	r.Tables = k.tables
	return r
}

// offered finds the largest load over a limit that the weights wanted bring, and what can't wait.
func offered(f Fleet) (worst float64, at, urgent string) {
	limit, _ := f.limits()
	load := make([]float64, len(f.Endpoints))
	for u := range f.Consumers {
		user := &f.Consumers[u]
		for k, rate := range user.Demand {
			if rate <= 0 || k >= len(user.Wanted) {
				continue
			}
			total := 0.0
			for _, l := range user.Wanted[k] {
				total += l.Weight
			}
			for _, l := range user.Wanted[k] {
				n := &f.Endpoints[l.Endpoint]
				load[l.Endpoint] += rate * l.Weight / max(total, 1e-12) * n.cost(k)
				if len(n.Failing) > 0 && n.Failing[k] && l.Weight > 0 && urgent == "" {
					urgent = fmt.Sprintf("%s fails %s and stands in %s's table", n.Name, f.Classes[k].Name, user.Name)
				}
			}
		}
	}
	for j, l := range load {
		if limit[j] <= 0 || l <= 0 {
			continue
		}
		ratio := l / limit[j]
		if ratio > worst {
			worst, at = ratio, f.Endpoints[j].Name
		}
		if f.Endpoints[j].Limit > 0 && f.Endpoints[j].Limit < 1 && ratio > 1/f.Endpoints[j].Limit && urgent == "" {
			urgent = fmt.Sprintf("%s is cold and would be offered %.2f of its budget", f.Endpoints[j].Name, ratio)
		}
	}
	return worst, at, urgent
}

// move brings the tables that act nearer to the solution: those first that take the most load off where it is too
// much, so many in a round.
func (k *Activation) move(f Fleet, s Solution) (moved int) {
	type change struct {
		key  TableKey
		to   Table
		gain float64
	}
	var changes []change
	seen := map[TableKey]bool{}
	all := 0
	for u := range f.Consumers {
		user := &f.Consumers[u]
		for kind, rate := range user.Demand {
			if rate <= 0 || len(s.Weights[u][kind]) == 0 {
				continue // nothing is asked for, or nothing is open: what is wanted stays
			}
			all++
			key := TableKey{user.Name, kind}
			seen[key] = true
			to := Table{Weights: map[string]float64{}, Admit: s.Admit[u][kind]}
			for _, l := range s.Weights[u][kind] {
				to.Weights[f.Endpoints[l.Endpoint].Name] = l.Weight
			}
			now, acts := k.tables[key]
			if !acts {
				now = wanted(f, user, kind)
			}
			if alike(now, to) {
				continue
			}
			changes = append(changes, change{key, to, rate * differ(now, to)})
		}
	}
	for key := range k.tables {
		if !seen[key] {
			delete(k.tables, key)
		}
	}
	slices.SortStableFunc(changes, func(a, b change) int { return cmp.Compare(b.gain, a.gain) })
	most := max(movedLeast, int(movedPart*float64(all)))
	for _, c := range changes[:min(len(changes), most)] {
		k.tables[c.key] = c.to
		moved++
	}
	return moved
}

func wanted(f Fleet, user *Consumer, kind int) Table {
	t := Table{Weights: map[string]float64{}, Admit: 1}
	total := 0.0
	for _, l := range user.Wanted[kind] {
		total += l.Weight
	}
	for _, l := range user.Wanted[kind] {
		t.Weights[f.Endpoints[l.Endpoint].Name] += l.Weight / max(total, 1e-12)
	}
	return t
}

// alike tells whether two tables are so near that a message is not worth it. A line more or less never is.
func alike(a, b Table) bool {
	if math.Abs(a.Admit-b.Admit) > admitMargin || (a.Admit < 1) != (b.Admit < 1) || len(a.Weights) != len(b.Weights) {
		return false
	}
	for n, w := range b.Weights {
		if old, has := a.Weights[n]; !has || w < (1-near)*old || w > old/(1-near) {
			return false
		}
	}
	return true
}

// differ is half the sum of what weights differ by: the part of the table's load that moves.
func differ(a, b Table) (sum float64) {
	for n, w := range b.Weights {
		sum += math.Abs(w-a.Weights[n]) / 2
	}
	for n, w := range a.Weights {
		if _, has := b.Weights[n]; !has {
			sum += w / 2
		}
	}
	return sum
}
