package fleets

import (
	"time"

	"porthub/solver"
)

// Baseline is another way of filling tables.
type Baseline string

// The ways that Measure compares with.
const (
	EvenWeights     Baseline = "even weights"
	CapacityWeights Baseline = "weights by capacity"
	WantedWeights   Baseline = "the tables wanted alone"
)

// ServedPriority is the payoff a second that a way of filling tables comes to where nothing is turned away: a node that is
// offered more than its limit serves its limit, of every kind alike, and one that may not be sent to serves nothing.
func ServedPriority(f solver.Fleet, way Baseline) float64 {
	limit := solver.Limits(f)
	type put struct {
		u, k, j int
		x       float64
	}
	var puts []put
	load := make([]float64, len(f.Endpoints))
	for u := range f.Consumers {
		for k, rate := range f.Consumers[u].Demand {
			weights := map[int]float64{}
			open := map[int]bool{}
			for _, j := range solver.OpenEndpoints(f, u, k) {
				open[j] = true
				switch way {
				case EvenWeights:
					weights[j] = 1
				case CapacityWeights:
					weights[j] = limit[j]
				}
			}
			if way == WantedWeights && k < len(f.Consumers[u].Wanted) {
				for _, l := range f.Consumers[u].Wanted[k] {
					if !f.Endpoints[l.Endpoint].Closed { // drains are kept by any tables
						weights[l.Endpoint] += l.Weight
					}
				}
			}
			total := 0.0
			for j := range f.Endpoints {
				total += weights[j]
			}
			if total == 0 {
				continue
			}
			for j := range f.Endpoints {
				if weights[j] == 0 {
					continue
				}
				x := rate * weights[j] / total
				if open[j] {
					puts = append(puts, put{u, k, j, x})
				}
				load[j] += x * cost(f, j, k)
			}
		}
	}
	sum := 0.0
	for _, p := range puts {
		part := 1.0
		if load[p.j] > limit[p.j] {
			part = limit[p.j] / load[p.j]
		}
		sum += p.x * part * f.Classes[p.k].PriorityWeight
	}
	return sum
}

func cost(f solver.Fleet, j, k int) float64 {
	if len(f.Endpoints[j].Cost) == 0 {
		return 1
	}
	return f.Endpoints[j].Cost[k]
}

// ScaleMeasurement is one measurement of Scale.
type ScaleMeasurement struct {
	Endpoints   int     `json:"nodes"`
	Consumers   int     `json:"users"`
	Classes     int     `json:"kinds"`
	Utilization float64 `json:"use"` // demand over what fits
	// Cold start, a warm start after one node was lost, and how many weights of how many changed by over 0.15 then.
	ColdMilliseconds float64 `json:"cold_ms"`
	ColdSteps        int     `json:"cold_steps"`
	WarmMilliseconds float64 `json:"warm_ms"`
	WarmSteps        int     `json:"warm_steps"`
	ChangedWeights   int     `json:"changed"`
	Weights          int     `json:"weights"`
	// ChangedTables that changed, and those that had a line to the lost node.
	ChangedTables  int     `json:"tables"`
	AffectedTables int     `json:"touched"`
	Overload       float64 `json:"overload"`
}

// MeasureScale measures time and steps on fleets from a hundred nodes and gateways to a thousand and three thousand, calm and
// overloaded, and what the loss of one node changes.
func MeasureScale() (sizes []ScaleMeasurement) {
	for _, s := range [][3]int{{100, 100, 3}, {100, 300, 3}, {300, 1000, 3}, {1000, 3000, 8}} {
		for _, use := range []float64{0.8, 1.5} {
			f := Large(s[0], s[1], s[2], use)
			size := ScaleMeasurement{Endpoints: s[0], Consumers: s[1], Classes: s[2], Utilization: use}
			began := time.Now()
			first := solver.Solve(f, nil)
			size.ColdMilliseconds, size.ColdSteps = ms(began), first.Certificate.Steps
			f.Endpoints[0].Closed = true
			began = time.Now()
			second := solver.Solve(f, first.Certificate.Prices)
			size.WarmMilliseconds, size.WarmSteps = ms(began), second.Certificate.Steps
			size.Overload = Overload(f, second)
			for u := range f.Consumers {
				for k := range f.Classes {
					before := map[int]float64{}
					for _, l := range first.Weights[u][k] {
						before[l.Endpoint] = l.Weight
					}
					if before[0] > 0 {
						size.AffectedTables++
					}
					changed := 0
					for _, l := range second.Weights[u][k] {
						if old := before[l.Endpoint]; l.Weight < 0.85*old || l.Weight > old/0.85 {
							changed++
						}
						delete(before, l.Endpoint)
					}
					changed += len(before)
					size.ChangedWeights, size.Weights = size.ChangedWeights+changed, size.Weights+len(second.Weights[u][k])
					if changed > 0 {
						size.ChangedTables++
					}
				}
			}
			sizes = append(sizes, size)
		}
	}
	return sizes
}

func ms(since time.Time) float64 { return float64(time.Since(since).Microseconds()) / 1000 }
