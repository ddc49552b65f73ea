package solver

import "slices"

const (
	// priorFraction is the fraction of a demand's weight that is spread over all open endpoints by their prior weights. It is
	// below minShare, so that endpoints outside the desired table get no entry before prices rise.
	priorFraction = 1e-3
	// floorFraction is the fraction of a consumer's demand for each class that is admitted at any price, so that no gateway
	// starves. It is reduced where the total demand exceeds the capacity.
	floorFraction = 0.02
	// minDivisor keeps divisors above 0.
	minDivisor = 1e-12
)

// problem is the state of one call of Solve.
type problem struct {
	fleet    *Fleet
	limit    []float64 // work per second by endpoint
	priority []float64 // priority weight by class
	floor    float64   // fraction of each demand that is admitted at any price
	demands  []demand
	targets  []target

	price  []float64
	factor [][]float64 // by class and endpoint: exp(-β·cost·price)
	load   []float64   // work per second by endpoint at the current prices
	slope  []float64   // by endpoint: decrease of load per increase of the endpoint's own price, divided by β
}

// demand is the demand of one consumer for one class.
type demand struct {
	consumer, class int
	target          int     // index in problem.targets
	rate            float64 // requests per second
	desired         []Share // open endpoints of the desired table, with weights that sum to 1 - priorWeight
	priorWeight     float64 // total weight that is spread over all open endpoints by their prior weights

	// Results of the last evaluation.
	partition float64 // sum of the endpoints' weights, each multiplied by its factor
	admitted  float64 // admitted fraction of rate
}

// target is the set of endpoints that may serve a class for consumers of a zone, with their prior weights.
type target struct {
	class     int
	endpoints []int     // ascending
	prior     []float64 // prior weights by position in endpoints; they sum to 1

	// Results of the last evaluation.
	partition float64 // sum of prior·factor
	priorRate float64 // sum over demands of rate·admitted·priorWeight/partition
}

// contains reports whether an endpoint is in the target.
func (t *target) contains(endpoint int) bool {
	_, found := slices.BinarySearch(t.endpoints, endpoint)
	return found
}

// targetKey identifies a target. A pod of 0 means all pods.
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

// prepare computes the limits, demands, targets and the floor. It returns the endpoints whose capacity was guessed.
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
	p.floor = floorFraction * min(1, capacity/max(work, minDivisor))
	return guessed
}

func (p *problem) newDemand(consumer, class, targetIndex int) demand {
	c, t := &p.fleet.Consumers[consumer], &p.targets[targetIndex]
	d := demand{consumer: consumer, class: class, target: targetIndex, rate: c.Demand[class], priorWeight: priorFraction}
	if class < len(c.Desired) {
		d.desired = p.openShares(c.Desired[class], t)
	}
	if len(d.desired) == 0 {
		d.priorWeight = 1
	}
	if len(t.endpoints) == 0 {
		d.priorWeight = 0
	}
	return d
}

// openShares returns the desired shares above 0 of endpoints in a target, with weights that sum to 1 - priorFraction.
func (p *problem) openShares(desired []Share, t *target) (shares []Share) {
	total := 0.0
	for _, share := range desired {
		if share.Weight > 0 && p.limit[share.Endpoint] > 0 && t.contains(share.Endpoint) {
			shares = append(shares, share)
			total += share.Weight
		}
	}
	for i := range shares {
		shares[i].Weight *= (1 - priorFraction) / total
	}
	return shares
}

// meanCost returns the mean cost of a request of the target's class at its endpoints.
func (p *problem) meanCost(t *target) (mean float64) {
	for _, endpoint := range t.endpoints {
		mean += p.fleet.Endpoints[endpoint].cost(t.class) / float64(len(t.endpoints))
	}
	return mean
}

// newTarget returns the target of a key. If the key's pod has no open endpoint, the target has those of all pods.
func (p *problem) newTarget(key targetKey, crossZonePenalty float64) target {
	t := p.podTarget(key, crossZonePenalty)
	if len(t.endpoints) == 0 && key.pod != 0 {
		key.pod = 0
		t = p.podTarget(key, crossZonePenalty)
	}
	return t
}

// podTarget returns the target of a key, which has no endpoints if none of the pod is open.
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
