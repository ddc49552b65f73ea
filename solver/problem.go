package solver

import "slices"

const (
	// unwantedPart is the part of a demand's weight on endpoints that the module does not want while all prices are 0; it
	// is below minShare and so never placed before prices rise.
	unwantedPart = 1e-3
	// floorPart is the part of its demand that each consumer is admitted of each class, less where demand is far over
	// capacity: no gateway starves.
	floorPart = 0.02
	// tiny keeps divisors above 0.
	tiny = 1e-12
)

// problem is the state of one Solve.
type problem struct {
	fleet    *Fleet
	limit    []float64 // work per second by endpoint
	priority []float64 // priority weight by class
	floor    float64   // part of each demand that is admitted at any price
	demands  []demand
	targets  []target

	price  []float64
	factor [][]float64 // by class and endpoint: exp(-β·cost·price)
	load   []float64   // work per second at the present prices
	slope  []float64   // of the load by its own price, over β
}

// demand is the demand of one consumer for one class.
type demand struct {
	consumer, class int
	target          int     // index in problem.targets
	rate            float64 // requests per second
	wanted          []Share // open endpoints that the module wants; weights sum to 1 - unwanted
	unwanted        float64 // weight of all open endpoints, by their prior

	partition float64 // of the last evaluation: the endpoints' part of the partition sum
	admitted  float64 // of the last evaluation: part of rate
}

// target is the set of endpoints that a class may go to from a zone, with the prior weights of those that are not wanted.
type target struct {
	class     int
	endpoints []int     // in order
	prior     []float64 // sums to 1

	partition float64 // of the last evaluation: sum of prior·factor
	unwanted  float64 // of the last evaluation: sum over demands of rate·admitted·unwanted/partition
}

// contains reports whether an endpoint is in the set.
func (t *target) contains(endpoint int) bool {
	_, found := slices.BinarySearch(t.endpoints, endpoint)
	return found
}

// targetKey identifies a target. pod 0 means all pods.
type targetKey struct {
	class int
	zone  string
	pod   int
}

func (f Fleet) targetKey(consumer, class int) targetKey {
	c := &f.Consumers[consumer]
	key := targetKey{class: class, zone: c.Zone}
	if len(c.Pod) > 0 {
		key.pod = c.Pod[class]
	}
	return key
}

func newProblem(f *Fleet) *problem {
	p := &problem{
		fleet: f,
		price: make([]float64, len(f.Endpoints)),
		load:  make([]float64, len(f.Endpoints)),
		slope: make([]float64, len(f.Endpoints)),
	}
	for _, class := range f.Classes {
		p.factor = append(p.factor, make([]float64, len(f.Endpoints)))
		p.priority = append(p.priority, class.PriorityWeight)
	}
	return p
}

// prepare finds the limits, demands and targets. It returns the endpoints whose capacity was guessed.
func (p *problem) prepare() (guessed []int) {
	p.limit, guessed = p.fleet.limits()
	penalty := p.fleet.CrossZonePenalty
	if penalty <= 0 {
		penalty = 1
	}
	index := map[targetKey]int{}
	work := 0.0
	for consumer := range p.fleet.Consumers {
		for class, rate := range p.fleet.Consumers[consumer].Demand {
			if rate <= 0 {
				continue
			}
			key := p.fleet.targetKey(consumer, class)
			i, ok := index[key]
			if !ok {
				i = len(p.targets)
				index[key] = i
				p.targets = append(p.targets, p.newTarget(key, penalty))
			}
			p.demands = append(p.demands, p.newDemand(consumer, class, i))
			work += rate * p.meanCost(&p.targets[i])
		}
	}
	capacity := 0.0
	for _, limit := range p.limit {
		capacity += limit
	}
	p.floor = floorPart * min(1, capacity/max(work, tiny))
	return guessed
}

func (p *problem) newDemand(consumer, class, targetIndex int) demand {
	c, t := &p.fleet.Consumers[consumer], &p.targets[targetIndex]
	d := demand{consumer: consumer, class: class, target: targetIndex, rate: c.Demand[class], unwanted: unwantedPart}
	if class < len(c.Desired) {
		d.wanted = p.openShares(c.Desired[class], t)
	}
	if len(d.wanted) == 0 {
		d.unwanted = 1
	}
	if len(t.endpoints) == 0 {
		d.unwanted = 0
	}
	return d
}

// openShares returns the shares of endpoints in a target, with weights that sum to 1 - unwantedPart.
func (p *problem) openShares(wanted []Share, t *target) (shares []Share) {
	total := 0.0
	for _, share := range wanted {
		if share.Weight > 0 && p.limit[share.Endpoint] > 0 && t.contains(share.Endpoint) {
			shares = append(shares, share)
			total += share.Weight
		}
	}
	for i := range shares {
		shares[i].Weight *= (1 - unwantedPart) / total
	}
	return shares
}

func (p *problem) meanCost(t *target) (mean float64) {
	for _, endpoint := range t.endpoints {
		mean += p.fleet.Endpoints[endpoint].cost(t.class) / float64(len(t.endpoints))
	}
	return mean
}

// newTarget returns the target of a key. A pod without an open endpoint does not restrict it.
func (p *problem) newTarget(key targetKey, crossZonePenalty float64) target {
	t := p.podTarget(key, crossZonePenalty)
	if len(t.endpoints) == 0 && key.pod != 0 {
		key.pod = 0
		t = p.podTarget(key, crossZonePenalty)
	}
	return t
}

func (p *problem) podTarget(key targetKey, crossZonePenalty float64) target {
	t := target{class: key.class}
	total := 0.0
	for i := range p.fleet.Endpoints {
		e := &p.fleet.Endpoints[i]
		if p.limit[i] <= 0 || !p.fleet.open(i, key.class, key.zone) || key.pod != 0 && e.Pod != key.pod {
			continue
		}
		weight := p.limit[i]
		if e.Zone != key.zone {
			weight /= crossZonePenalty
		}
		t.endpoints = append(t.endpoints, i)
		t.prior = append(t.prior, weight)
		total += weight
	}
	for i := range t.prior {
		t.prior[i] /= total
	}
	return t
}
