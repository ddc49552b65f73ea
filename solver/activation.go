package solver

import "fmt"

const (
	// enterOverload is the load, as a fraction of an endpoint's limit, above which the desired weights count as exceeding the
	// limit. Solutions apply after enterRounds such rounds in a row.
	enterOverload = 1.15
	enterRounds   = 2
	// leaveOverload is the load, as a fraction of the limit, below which all endpoints must be for the desired weights to count
	// as within the limits. Solutions stop applying after leaveRounds such rounds in a row.
	leaveOverload = 0.95
	leaveRounds   = 3
)

// Activation decides when solutions replace the desired weights. The desired weights apply unchanged while they are within the
// limits. Solutions apply once the limits have been exceeded by a margin, until the desired weights have respected them with a
// margin for several rounds. A bounded number of tables changes in each round. It is not safe for concurrent use.
type Activation struct {
	active            bool
	overLimitRounds   int                // consecutive rounds above enterOverload
	withinLimitRounds int                // consecutive rounds below leaveOverload
	prices            map[string]float64 // of the last solution, by endpoint name
	tables            map[TableKey]Table // tables that replace the desired ones
}

// RoundResult is the result of Activation.Step for one round.
type RoundResult struct {
	Active bool
	// Tables replace the desired tables; a table without an entry stays as desired. The map is valid until the next Step.
	Tables        map[TableKey]Table
	ChangedTables int // number of tables that changed in this round
	// WorstUtilization is the largest load that the desired weights put on an endpoint, as a fraction of its limit.
	WorstUtilization float64
	WorstEndpoint    string
	Certificate      *Certificate // nil unless active
	Notes            []string     // log lines for activation and deactivation, with the reason
}

// NewActivation returns an inactive Activation.
func NewActivation() *Activation {
	return &Activation{prices: map[string]float64{}, tables: map[TableKey]Table{}}
}

// Step evaluates the fleet of one round, with its desired weights, and returns the tables to apply. Solutions apply at once if
// a desired table gives weight to an endpoint that fails the table's class, or if an endpoint that is warming up would be
// offered more than its capacity. With keepActive, which callers set while an endpoint is on trial, active solutions stay
// active.
func (a *Activation) Step(f Fleet, keepActive bool) RoundResult {
	desired := computeDesiredLoad(f)
	round := RoundResult{WorstUtilization: desired.worst, WorstEndpoint: desired.worstEndpoint}
	a.countRounds(desired, keepActive)
	switch {
	case !a.active && desired.urgentReason != "":
		a.active = true
		round.Notes = append(round.Notes, "solver active: "+desired.urgentReason)
	case !a.active && a.overLimitRounds >= enterRounds:
		a.active = true
		round.Notes = append(round.Notes,
			fmt.Sprintf("solver active: %s would be offered %.2f of its limit", desired.worstEndpoint, desired.worst))
	case a.active && a.withinLimitRounds >= leaveRounds:
		a.active = false
		a.overLimitRounds = 0
		round.ChangedTables = len(a.tables)
		clear(a.tables)
		round.Notes = append(round.Notes,
			fmt.Sprintf("solver inactive: %s is offered the most, %.2f of its limit", desired.worstEndpoint, desired.worst))
	}
	round.Active = a.active
	if !a.active {
		return round
	}
	solution := a.solve(f)
	round.Certificate = &solution.Certificate
	round.ChangedTables = a.moveTables(f, solution)
	round.Tables = a.tables
	return round
}

// countRounds updates the numbers of consecutive rounds over and within the limits.
func (a *Activation) countRounds(desired desiredLoad, keepActive bool) {
	if desired.worst > enterOverload {
		a.overLimitRounds++
	} else {
		a.overLimitRounds = 0
	}
	if desired.worst < leaveOverload && desired.urgentReason == "" && !keepActive {
		a.withinLimitRounds++
	} else {
		a.withinLimitRounds = 0
	}
}

// solve solves a fleet, starting from the prices of the last solution.
func (a *Activation) solve(f Fleet) Solution {
	var warm []float64
	if len(a.prices) > 0 {
		warm = make([]float64, len(f.Endpoints))
		for i, e := range f.Endpoints {
			warm[i] = a.prices[e.Name]
		}
	}
	solution := Solve(f, warm)
	clear(a.prices)
	for i, e := range f.Endpoints {
		a.prices[e.Name] = solution.Certificate.Prices[i]
	}
	return solution
}

// desiredLoad summarizes the load that the desired weights put on endpoints.
type desiredLoad struct {
	worst         float64 // largest load, as a fraction of the endpoint's limit
	worstEndpoint string
	urgentReason  string // why solutions must apply at once; empty if they need not
}

func computeDesiredLoad(f Fleet) (desired desiredLoad) {
	load := make([]float64, len(f.Endpoints))
	for i := range f.Consumers {
		consumer := &f.Consumers[i]
		for class, rate := range consumer.Demand {
			if rate <= 0 || class >= len(consumer.Desired) {
				continue
			}
			if failing := f.loadTable(load, consumer.Desired[class], class, rate); failing != "" && desired.urgentReason == "" {
				desired.urgentReason = fmt.Sprintf("%s fails %s and is in the table of %s", failing, f.Classes[class].Name, consumer.Name)
			}
		}
	}
	limits, _ := f.limits()
	for i := range f.Endpoints {
		if limits[i] <= 0 || load[i] <= 0 {
			continue
		}
		desired.addEndpoint(&f.Endpoints[i], load[i]/limits[i])
	}
	return desired
}

// loadTable adds the load of a desired table to load and returns the name of the first endpoint with a weight in the table that
// fails the class, or "".
func (f Fleet) loadTable(load []float64, table []Share, class int, rate float64) (failing string) {
	total := 0.0
	for _, share := range table {
		total += share.Weight
	}
	for _, share := range table {
		e := &f.Endpoints[share.Endpoint]
		load[share.Endpoint] += rate * share.Weight / max(total, minDivisor) * e.cost(class)
		if failing == "" && share.Weight > 0 && e.fails(class) {
			failing = e.Name
		}
	}
	return failing
}

// addEndpoint adds the load of an endpoint, as a fraction of its limit. It sets urgentReason if the endpoint is warming up and would
// be offered more than its capacity.
func (w *desiredLoad) addEndpoint(e *Endpoint, utilization float64) {
	if utilization > w.worst {
		w.worst = utilization
		w.worstEndpoint = e.Name
	}
	warmingUp := e.Limit > 0 && e.Limit < 1
	if warmingUp && utilization > 1/e.Limit && w.urgentReason == "" {
		w.urgentReason = fmt.Sprintf("%s is warming up and would be offered %.2f of its limit", e.Name, utilization)
	}
}
