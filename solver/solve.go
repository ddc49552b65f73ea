package solver

import (
	"math"
	"slices"
)

// Solution is what Solve returns.
type Solution struct {
	// Untouched: the weights wanted keep every limit and came back as they were.
	Untouched bool `json:"untouched"`
	// Weights by user and kind; each sums to 1 unless nothing of the kind can be served.
	Weights [][][]Share `json:"weights"`
	// Admit is the part of its demand that each user may let in, by kind, 0 to 1.
	Admit       [][]float64 `json:"admit"`
	Certificate Certificate `json:"certificate"`
}

// Certificate says why a solution is what it is, so that it can be checked without solving.
type Certificate struct {
	Load   []float64 `json:"load"`   // work a second offered to each node
	Limit  []float64 `json:"limit"`  // what may be
	Prices []float64 `json:"prices"` // payoff for a unit of work
	// Residual is the largest overload that the prices left before F-NORM, as a part of the limit.
	Residual float64 `json:"residual"`
	Steps    int     `json:"steps"`
	// PlacedPriority a second that is placed, and a bound that no placement whatever exceeds: by weak duality,
	// sum(limit·price) + sum(demand·max(0, payoff - cost·price)).
	PlacedPriority float64 `json:"payoff"`
	Bound          float64 `json:"bound"`
	// Shed is the demand turned away, reqs a second by kind, and Why in words.
	Shed   []float64 `json:"away"`
	Reason string    `json:"why"`
	// GuessedCapacities are nodes whose stated capacity made no sense and was taken as the median.
	GuessedCapacities []int `json:"guessed,omitempty"`
}

// The method's constants.
const (
	// gamma is the paper's.
	gamma = 0.4
	// tolerance is the overload at which prices are good enough: F-NORM takes the rest.
	tolerance = 0.005
	// stepsMost bounds the steps at one sharpness.
	stepsMost = 60
	// outside is the part of a user's weight that goes to nodes the module did not want while all prices are 0; it is
	// below least and so never seen before prices rise.
	outside = 1e-3
	// least is the smallest share that gets a line of its own.
	least = 0.01
	// slack is how far over its limit a node may be filled where almost all fits: half of what the operators allow.
	slack = 0.025
	// floorPart of its demand each user gets of each kind, less where demand is far over capacity: no gateway starves.
	floorPart = 0.02
)

// sharpness: β times the least payoff, from soft to sharp. A soft optimum is found in a few steps from anywhere, and
// its prices are a good start for the next.
var sharpness = []float64{3, 6, 12, 24, 48}

// demand is one kind of one user.
type demand struct {
	user, kind, set int
	rate            float64
	lines           []Share // allowed ones that the module wants; weights sum to 1
	out             float64 // weight of all that the module does not want
	z               float64 // of the last evaluation: the nodes' part of the partition sum
	share           float64 // part let in
}

// set is the nodes that a kind may go to from a zone, with the weights that all users there give to unwanted ones.
type set struct {
	kind  int
	nodes []int
	prior []float64 // sums to 1
	sum   float64   // of prior·E
	users float64   // sum over demands of rate·share·out/z
}

type problem struct {
	f       *Fleet
	limit   []float64
	demands []demand
	sets    []set
	price   []float64
	e       [][]float64 // by kind and node: exp(-β·cost·price)
	load    []float64
	slope   []float64
	payoff  []float64
	floor   float64
}

type setKey struct {
	kind int
	zone string
	pod  int
}

// Solve finds the weights. Prices of an earlier solution of a like fleet, by node, may be handed in: a warm start takes
// fewer steps. The fleet must pass Check.
func Solve(f Fleet, warm []float64) Solution {
	p := newProblem(&f)
	guessed := p.prepare()
	if s, keeps := p.untouched(); keeps {
		s.Certificate.GuessedCapacities = guessed
		return s
	}
	started := len(warm) == len(f.Endpoints)
	if started {
		for j, price := range warm {
			if price >= 0 && !math.IsInf(price, 0) {
				p.price[j] = price
			}
		}
	}
	lowest := math.Inf(1)
	for _, k := range f.Classes {
		lowest = min(lowest, k.PriorityWeight)
	}
	steps, residual := 0, 0.0
	for i, sharp := range sharpness {
		last := i == len(sharpness)-1
		if started && !last {
			continue
		}
		most := stepsMost
		if last {
			most = 3 * stepsMost
		}
		for n := 0; n < most; n++ {
			residual = p.evaluate(sharp / lowest)
			if n > 0 && residual <= tolerance {
				break
			}
			p.step(sharp / lowest)
			steps++
		}
	}
	residual = p.evaluate(sharpness[len(sharpness)-1] / lowest)
	s := p.place()
	s.Certificate.Steps, s.Certificate.Residual, s.Certificate.GuessedCapacities = steps, residual, guessed
	return s
}

func newProblem(f *Fleet) *problem {
	p := &problem{f: f, price: make([]float64, len(f.Endpoints)), load: make([]float64, len(f.Endpoints)), slope: make([]float64, len(f.Endpoints))}
	for _, k := range f.Classes {
		p.e = append(p.e, make([]float64, len(f.Endpoints)))
		p.payoff = append(p.payoff, k.PriorityWeight)
	}
	return p
}

// prepare finds who may go where.
func (p *problem) prepare() []int {
	f := p.f
	limit, guessed := f.limits()
	p.limit = limit
	cross := f.CrossZonePenalty
	if cross <= 0 {
		cross = 1
	}
	index, work, can := map[setKey]int{}, 0.0, 0.0
	for u := range f.Consumers {
		user := &f.Consumers[u]
		for k, rate := range user.Demand {
			if rate <= 0 {
				continue
			}
			key := setKey{kind: k, zone: user.Zone}
			if len(user.Pod) > 0 {
				key.pod = user.Pod[k]
			}
			s, known := index[key]
			if !known {
				s = len(p.sets)
				index[key] = s
				p.sets = append(p.sets, p.newSet(key, cross))
			}
			d := demand{user: u, kind: k, set: s, rate: rate, out: outside}
			if k < len(user.Wanted) {
				total := 0.0
				for _, l := range user.Wanted[k] {
					if l.Weight > 0 && p.limit[l.Endpoint] > 0 && has(p.sets[s].nodes, l.Endpoint) {
						d.lines = append(d.lines, l)
						total += l.Weight
					}
				}
				for i := range d.lines {
					d.lines[i].Weight *= (1 - outside) / total
				}
			}
			if len(d.lines) == 0 {
				d.out = 1
			}
			if len(p.sets[s].nodes) == 0 {
				d.out = 0
			}
			mean := 0.0
			for _, j := range p.sets[s].nodes {
				mean += f.Endpoints[j].cost(k) / float64(len(p.sets[s].nodes))
			}
			work += rate * mean
			p.demands = append(p.demands, d)
		}
	}
	for _, l := range p.limit {
		can += l
	}
	p.floor = floorPart * min(1, can/max(work, 1e-12))
	return guessed
}

func (p *problem) newSet(key setKey, cross float64) set {
	find := func(pod int) set {
		s, total := set{kind: key.kind}, 0.0
		for j := range p.f.Endpoints {
			if p.limit[j] > 0 && p.f.open(j, key.kind, key.zone) && (pod == 0 || p.f.Endpoints[j].Pod == pod) {
				w := p.limit[j]
				if p.f.Endpoints[j].Zone != key.zone {
					w /= cross
				}
				s.nodes, s.prior, total = append(s.nodes, j), append(s.prior, w), total+w
			}
		}
		for i := range s.prior {
			s.prior[i] /= total
		}
		return s
	}
	s := find(key.pod)
	if len(s.nodes) == 0 && key.pod != 0 { // a pod without an open node: the keys go where they can
		s = find(0)
	}
	return s
}

// untouched tells whether the weights wanted keep every limit as they are, and returns them if so.
func (p *problem) untouched() (Solution, bool) {
	load := make([]float64, len(p.limit))
	for _, d := range p.demands {
		user := &p.f.Consumers[d.user]
		if d.kind >= len(user.Wanted) {
			return Solution{}, false
		}
		total := 0.0
		for _, l := range user.Wanted[d.kind] {
			if l.Weight > 0 && !has(p.sets[d.set].nodes, l.Endpoint) {
				return Solution{}, false
			}
			total += l.Weight
		}
		if total <= 0 {
			return Solution{}, false
		}
		for _, l := range user.Wanted[d.kind] {
			load[l.Endpoint] += d.rate * l.Weight / total * p.f.Endpoints[l.Endpoint].cost(d.kind)
		}
	}
	for j := range load {
		if load[j] > p.limit[j] {
			return Solution{}, false
		}
	}
	s := p.empty()
	s.Untouched = true
	s.Certificate.Load, s.Certificate.Reason = load, "all fits as wanted"
	for _, d := range p.demands {
		var lines []Share
		for _, l := range p.f.Consumers[d.user].Wanted[d.kind] {
			if l.Weight > 0 {
				lines = append(lines, l)
			}
		}
		total := 0.0
		for _, l := range lines {
			total += l.Weight
		}
		for i := range lines {
			lines[i].Weight /= total
		}
		s.Weights[d.user][d.kind] = lines
		s.Certificate.PlacedPriority += d.rate * p.payoff[d.kind]
	}
	s.Certificate.Bound = s.Certificate.PlacedPriority
	return s, true
}

func (p *problem) empty() Solution {
	s := Solution{Weights: make([][][]Share, len(p.f.Consumers)), Admit: make([][]float64, len(p.f.Consumers))}
	for u := range p.f.Consumers {
		s.Weights[u] = make([][]Share, len(p.f.Classes))
		s.Admit[u] = slices.Repeat([]float64{1}, len(p.f.Classes))
	}
	s.Certificate = Certificate{Load: make([]float64, len(p.limit)), Limit: slices.Clone(p.limit), Prices: slices.Clone(p.price),
		Shed: make([]float64, len(p.f.Classes))}
	return s
}

// evaluate finds the load that all users bring each node at the present prices and the load's slope in its own price,
// and returns the largest overload.
func (p *problem) evaluate(beta float64) float64 {
	f := p.f
	for k := range p.e {
		for j := range f.Endpoints {
			p.e[k][j] = math.Exp(-min(600, beta*f.Endpoints[j].cost(k)*p.price[j]))
		}
	}
	clear(p.load)
	clear(p.slope)
	for i := range p.sets {
		s := &p.sets[i]
		s.sum, s.users = 0, 0
		for n, j := range s.nodes {
			s.sum += s.prior[n] * p.e[s.kind][j]
		}
	}
	for i := range p.demands {
		d := &p.demands[i]
		s, e := &p.sets[d.set], p.e[d.kind]
		d.z = d.out * s.sum
		for _, l := range d.lines {
			d.z += l.Weight * e[l.Endpoint]
		}
		if d.z <= 0 {
			d.share = 0
			continue
		}
		away := math.Exp(-min(600, beta*p.payoff[d.kind]))
		d.share = p.floor + (1-p.floor)*d.z/(d.z+away)
		in := d.rate * d.share / d.z
		s.users += in * d.out
		for _, l := range d.lines {
			c := f.Endpoints[l.Endpoint].cost(d.kind)
			x := in * l.Weight * e[l.Endpoint]
			p.load[l.Endpoint] += c * x
			// What leaves the node goes to the user's other nodes or away; the floor keeps a sole node from a slope of 0.
			p.slope[l.Endpoint] += c * c * x * max(0.1, 1-x/d.rate)
		}
	}
	for i := range p.sets {
		s := &p.sets[i]
		for n, j := range s.nodes {
			c := f.Endpoints[j].cost(s.kind)
			x := s.users * s.prior[n] * p.e[s.kind][j]
			p.load[j] += c * x
			p.slope[j] += c * c * x
		}
	}
	worst := 0.0
	for j, l := range p.load {
		if p.limit[j] > 0 {
			over := l/p.limit[j] - 1
			if over < 0 && p.price[j] > 0 { // a price on a node that has room is as wrong, where it matters
				over = min(-over, beta*p.price[j])
			}
			worst = max(worst, over)
		}
	}
	return worst
}

// step is the paper's price step on every node: p = max(0, p - γ·G/H). No price moves by more than it takes to halve
// a line's weight or double it, so that falling capacities and moving prices don't chase each other; a node with no
// slope keeps its price.
func (p *problem) step(beta float64) {
	const most = 1.0
	for j := range p.price {
		if p.slope[j] <= 0 || p.limit[j] <= 0 {
			continue
		}
		g := p.load[j] - p.limit[j]
		move := gamma * g / (beta * p.slope[j])
		if c := p.load[j] / max(p.slope[j], 1e-300); math.Abs(move) > most*c/beta { // c: one over the mean cost
			move = math.Copysign(most*c/beta, move)
		}
		p.price[j] = max(0, p.price[j]+move)
	}
}

// has finds a node among those of a set, which are in order.
func has(nodes []int, j int) bool {
	_, found := slices.BinarySearch(nodes, j)
	return found
}
