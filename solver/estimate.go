package solver

import (
	"math"

	"porthub/policyapi"
)

// CapacityEstimator learns what nodes can do: reqs done in a busy second, in a histogram of four bins by busy share, halved
// when full; and what a req of each kind costs beside the others, by how long it takes where nobody waits.
type CapacityEstimator struct {
	kinds int
	nodes map[policyapi.EndpointID]*speed
	costs []bin // by kind: answers and their time
}

type bin struct{ n, sum float64 }

type speed struct {
	bins [4]bin // busy seconds, reqs done in them
}

const (
	speedFull = 20.0 // busy seconds remembered
	speedLess = 3.0  // busy seconds before a speed is told
	costFull  = 400.0
	calm      = 0.6  // busy share under which answers are taken to wait for nobody
	idle      = 0.08 // busy share under which nothing is learned
)

// NewCapacityEstimator starts with nothing known, of so many kinds.
func NewCapacityEstimator(kinds int) *CapacityEstimator {
	return &CapacityEstimator{kinds: kinds, nodes: map[policyapi.EndpointID]*speed{}, costs: make([]bin, kinds)}
}

// Observe takes in what all gateways met at a node in so many seconds: its own busy share if it told one (else below 0)
// and what was met by kind. It is learned from warm nodes only: a cold one would pass for slow for long.
func (e *CapacityEstimator) Observe(node policyapi.EndpointID, seconds, busy float64, warm bool, heard []policyapi.EndpointClassLoad) {
	if !(busy > idle) || !warm || seconds <= 0 {
		return
	}
	s := e.nodes[node]
	if s == nil {
		s = &speed{}
		e.nodes[node] = s
	}
	done := 0.0
	for _, h := range heard {
		if ok := float64(h.Attempts - h.Failures); ok > 0 && int(h.Class) < e.kinds {
			done += ok * e.cost(int(h.Class))
			if c := &e.costs[h.Class]; busy < calm {
				c.n, c.sum = c.n+ok, c.sum+ok*float64(h.MeanLatency)
				if c.n > costFull {
					c.n, c.sum = c.n/2, c.sum/2
				}
			}
		}
	}
	busy = min(1, busy)
	b := &s.bins[min(3, int(4*busy))]
	b.n, b.sum = b.n+busy*seconds, b.sum+done
	total := 0.0
	for _, b := range s.bins {
		total += b.n
	}
	if total > speedFull {
		for i := range s.bins {
			s.bins[i].n, s.bins[i].sum = s.bins[i].n/2, s.bins[i].sum/2
		}
	}
}

// Forget drops a node: another process under its name is learned anew.
func (e *CapacityEstimator) Forget(node policyapi.EndpointID) { delete(e.nodes, node) }

// Capacity is what a node can do when warm, in mean reqs a second; NaN while too little is known.
func (e *CapacityEstimator) Capacity(node policyapi.EndpointID) float64 {
	s := e.nodes[node]
	if s == nil {
		return math.NaN()
	}
	n, sum := 0.0, 0.0
	for _, b := range s.bins {
		n, sum = n+b.n, sum+b.sum
	}
	if n < speedLess || sum <= 0 {
		return math.NaN()
	}
	return sum / n
}

// Costs are what reqs of each kind cost beside the mean of all, which is 1.
func (e *CapacityEstimator) Costs() []float64 {
	out := make([]float64, e.kinds)
	for k := range out {
		out[k] = e.cost(k)
	}
	return out
}

func (e *CapacityEstimator) cost(k int) float64 {
	const doubt = 30 // answers that the mean counts for
	n, sum := 0.0, 0.0
	for _, c := range e.costs {
		n, sum = n+c.n, sum+c.sum
	}
	if n == 0 || sum == 0 {
		return 1
	}
	mean := sum / n
	c := e.costs[k]
	return (c.sum + doubt*mean) / (c.n + doubt) / mean
}
