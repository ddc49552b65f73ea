package solver

import "fmt"

const (
	// enterOverload is the fraction of an endpoint's limit above which the wanted weights count as exceeding it. Solutions
	// apply after enterRounds such rounds in a row.
	enterOverload = 1.15
	enterRounds   = 2
	// leaveOverload is the fraction of every endpoint's limit below which the wanted weights count as within it. Solutions
	// stop applying after leaveRounds such rounds in a row.
	leaveOverload = 0.95
	leaveRounds   = 3
)

// Activation decides when solutions replace the wanted weights. These pass unchanged while they are within the limits.
// Solutions apply from when the limits are clearly exceeded until they have clearly been met for some rounds, and change a
// bounded number of tables in each round. It is not safe for concurrent use.
type Activation struct {
	active            bool
	overLimitRounds   int                // in a row in which limits were exceeded
	withinLimitRounds int                // in a row in which limits were met
	prices            map[string]float64 // of the last solution, by endpoint name
	tables            map[TableKey]Table // that replace the wanted ones
}

// RoundResult is the result of one Step.
type RoundResult struct {
	Active bool
	// Tables replace the wanted ones; a table that is not among them is as wanted. They are valid until the next Step.
	Tables        map[TableKey]Table
	ChangedTables int // tables that changed in this round
	// WorstUtilization is the largest load of an endpoint by the wanted weights, as a fraction of its limit.
	WorstUtilization float64
	WorstEndpoint    string
	Certificate      *Certificate // nil unless active
	Notes            []string     // for the log: changes of mode, with their reason
}

// NewActivation returns an inactive Activation.
func NewActivation() *Activation {
	return &Activation{prices: map[string]float64{}, tables: map[TableKey]Table{}}
}

// Step takes the fleet of one round with the wanted weights in it. A table that gives weight to an endpoint which fails the
// class, and an overloaded endpoint that is warming up, activate at once. While keepActive is set an active solution stays
// active: an endpoint is on trial.
func (a *Activation) Step(f Fleet, keepActive bool) RoundResult {
	wanted := loadWanted(f)
	round := RoundResult{WorstUtilization: wanted.worst, WorstEndpoint: wanted.worstEndpoint}
	a.countRounds(wanted, keepActive)
	switch {
	case !a.active && wanted.urgent != "":
		a.active = true
		round.Notes = append(round.Notes, "solver active: "+wanted.urgent)
	case !a.active && a.overLimitRounds >= enterRounds:
		a.active = true
		round.Notes = append(round.Notes, fmt.Sprintf("solver active: %s would be offered %.2f of its limit", wanted.worstEndpoint, wanted.worst))
	case a.active && a.withinLimitRounds >= leaveRounds:
		a.active = false
		a.overLimitRounds = 0
		round.ChangedTables = len(a.tables)
		clear(a.tables)
		round.Notes = append(round.Notes, fmt.Sprintf("solver inactive: %s is offered the most, %.2f of its limit", wanted.worstEndpoint, wanted.worst))
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

func (a *Activation) countRounds(wanted wantedLoads, keepActive bool) {
	if wanted.worst > enterOverload {
		a.overLimitRounds++
	} else {
		a.overLimitRounds = 0
	}
	if wanted.worst < leaveOverload && wanted.urgent == "" && !keepActive {
		a.withinLimitRounds++
	} else {
		a.withinLimitRounds = 0
	}
}

// solve solves a fleet from the prices of the last solution.
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

// wantedLoads is the load of the endpoints by the wanted weights.
type wantedLoads struct {
	worst         float64 // largest load, as a part of the endpoint's limit
	worstEndpoint string
	urgent        string // why solutions must apply at once, as text; empty: they need not
}

func loadWanted(f Fleet) (wanted wantedLoads) {
	load := make([]float64, len(f.Endpoints))
	for i := range f.Consumers {
		consumer := &f.Consumers[i]
		for class, rate := range consumer.Demand {
			if rate <= 0 || class >= len(consumer.Desired) {
				continue
			}
			if failing := f.loadTable(load, consumer.Desired[class], class, rate); failing != "" && wanted.urgent == "" {
				wanted.urgent = fmt.Sprintf("%s fails %s and is in the table of %s", failing, f.Classes[class].Name, consumer.Name)
			}
		}
	}
	limits, _ := f.limits()
	for i := range f.Endpoints {
		if limits[i] <= 0 || load[i] <= 0 {
			continue
		}
		wanted.addEndpoint(&f.Endpoints[i], load[i]/limits[i])
	}
	return wanted
}

// loadTable adds the load of a table that is wanted, and returns the name of the first endpoint in it that fails the class.
func (f Fleet) loadTable(load []float64, table []Share, class int, rate float64) (failing string) {
	total := 0.0
	for _, share := range table {
		total += share.Weight
	}
	for _, share := range table {
		e := &f.Endpoints[share.Endpoint]
		load[share.Endpoint] += rate * share.Weight / max(total, tiny) * e.cost(class)
		if failing == "" && share.Weight > 0 && e.fails(class) {
			failing = e.Name
		}
	}
	return failing
}

// addEndpoint adds an endpoint's load, as a part of its limit. One that is warming up must not exceed its capacity.
func (w *wantedLoads) addEndpoint(e *Endpoint, utilization float64) {
	if utilization > w.worst {
		w.worst = utilization
		w.worstEndpoint = e.Name
	}
	warmingUp := e.Limit > 0 && e.Limit < 1
	if warmingUp && utilization > 1/e.Limit && w.urgent == "" {
		w.urgent = fmt.Sprintf("%s is warming up and would be offered %.2f of its limit", e.Name, utilization)
	}
}
