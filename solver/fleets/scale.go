package fleets

import (
	"time"

	"porthub/solver"
)

// weightMargin is the relative change of a weight above which the weight counts as changed.
const weightMargin = 0.15

// ScaleMeasurement is the result of MeasureScale for one fleet.
type ScaleMeasurement struct {
	Endpoints   int     `json:"nodes"`
	Consumers   int     `json:"users"`
	Classes     int     `json:"kinds"`
	Utilization float64 `json:"use"` // ratio of the demanded work to the total capacity
	// Cold is a solution without earlier prices, warm is one with the prices of the cold solution after one endpoint was closed.
	ColdMilliseconds float64 `json:"cold_ms"`
	ColdSteps        int     `json:"cold_steps"`
	WarmMilliseconds float64 `json:"warm_ms"`
	WarmSteps        int     `json:"warm_steps"`
	ChangedWeights   int     `json:"changed"`  // weights that differ by more than weightMargin after the loss
	Weights          int     `json:"weights"`  // weights after the loss
	ChangedTables    int     `json:"tables"`   // tables with a changed weight
	AffectedTables   int     `json:"touched"`  // tables that had the lost endpoint
	Overload         float64 `json:"overload"` // largest ratio of an endpoint's load to its limit after the loss
}

// lostEndpoint is the index of the endpoint that MeasureScale closes.
const lostEndpoint = 0

// MeasureScale measures the time and steps of the solver, and the changes that the loss of one endpoint causes, on fleets from 100
// endpoints and 100 consumers to 1,000 endpoints and 3,000 consumers, with and without overload.
func MeasureScale() (measurements []ScaleMeasurement) {
	for _, size := range []struct{ endpoints, consumers, classes int }{{100, 100, 3}, {100, 300, 3}, {300, 1000, 3}, {1000, 3000, 8}} {
		for _, utilization := range []float64{0.8, 1.5} {
			m := ScaleMeasurement{Endpoints: size.endpoints, Consumers: size.consumers, Classes: size.classes, Utilization: utilization}
			m.measure(Large(size.endpoints, size.consumers, size.classes, utilization))
			measurements = append(measurements, m)
		}
	}
	return measurements
}

// measure solves a fleet before and after the loss of one endpoint.
func (m *ScaleMeasurement) measure(f solver.Fleet) {
	start := time.Now()
	before := solver.Solve(f, nil)
	m.ColdMilliseconds = millisecondsSince(start)
	m.ColdSteps = before.Certificate.Steps

	f.Endpoints[lostEndpoint].Closed = true
	start = time.Now()
	after := solver.Solve(f, before.Certificate.Prices)
	m.WarmMilliseconds = millisecondsSince(start)
	m.WarmSteps = after.Certificate.Steps
	m.Overload = Overload(f, after)

	for consumer := range f.Consumers {
		for class := range f.Classes {
			m.compare(before.Weights[consumer][class], after.Weights[consumer][class])
		}
	}
}

// compare adds the changes of one table to the measurement.
func (m *ScaleMeasurement) compare(before, after []solver.Share) {
	previous := map[int]float64{}
	for _, share := range before {
		previous[share.Endpoint] = share.Weight
	}
	if previous[lostEndpoint] > 0 {
		m.AffectedTables++
	}
	changed := 0
	for _, share := range after {
		weight := previous[share.Endpoint]
		if share.Weight < (1-weightMargin)*weight || share.Weight > weight/(1-weightMargin) {
			changed++
		}
		delete(previous, share.Endpoint)
	}
	changed += len(previous)
	m.ChangedWeights += changed
	m.Weights += len(after)
	if changed > 0 {
		m.ChangedTables++
	}
}

func millisecondsSince(start time.Time) float64 {
	return float64(time.Since(start).Microseconds()) / 1000
}
