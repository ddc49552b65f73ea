package coordinator

import (
	"maps"
	"strconv"

	"porthub/policyapi"
	"porthub/routing"
	"porthub/solver"
)

// solveTables runs the solver and returns the tables for which its replacement has changed.
func (c *Core) solveTables() map[policyapi.TableID]bool {
	s := c.solver
	fleet, keepActive := c.solverFleet()
	if len(fleet.Consumers) == 0 || len(fleet.Endpoints) == 0 || fleet.Check() != nil {
		return nil
	}
	before := maps.Clone(s.tables)
	s.round = s.activation.Step(fleet, keepActive)
	for _, text := range s.round.Notes {
		c.outbox.emit(LogEntry{Level: LogInfo, Event: eventSolver, Text: text})
	}
	s.tables = maps.Clone(s.round.Tables)
	changed := map[policyapi.TableID]bool{}
	for key := range union(before, s.tables) {
		last, hadTable := before[key]
		current, hasTable := s.tables[key]
		if hadTable == hasTable && maps.Equal(last.Weights, current.Weights) && last.Admit == current.Admit {
			continue
		}
		if table, err := strconv.Atoi(key.Consumer); err == nil {
			changed[policyapi.TableID(table)] = true
		}
	}
	return changed
}

// solverWeights returns the weights that the solver sets in place of a table's for a class, and the share of the demand that it
// admits. active is false if it sets none.
func (c *Core) solverWeights(table policyapi.TableID, class int) (weights map[policyapi.EndpointID]float64, admittedShare float64, active bool) {
	if c.solver == nil {
		return nil, 1, false
	}
	solved, active := c.solver.tables[solver.TableKey{Consumer: consumerName(table), Class: class}]
	if !active {
		return nil, 1, false
	}
	weights = make(map[policyapi.EndpointID]float64, len(solved.Weights))
	for name, weight := range solved.Weights {
		weights[policyapi.EndpointID(name)] = weight * float64(len(solved.Weights)) // scaled to a mean of 1, like the module's
	}
	return weights, solved.Admit, true
}

// solverWeightsByClass returns the weights that the solver sets in place of a table's, by class. It is nil if there are none.
func (c *Core) solverWeightsByClass(table policyapi.TableID) (byClass map[policyapi.RequestClass]routing.Weights) {
	for class := range c.settings.Start.Classes {
		weights, _, active := c.solverWeights(table, class)
		if !active {
			continue
		}
		if byClass == nil {
			byClass = map[policyapi.RequestClass]routing.Weights{}
		}
		byClass[policyapi.RequestClass(class)] = weights
	}
	return byClass
}
