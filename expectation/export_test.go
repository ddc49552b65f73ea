package expectation

import (
	"porthub/coordinator"
	"porthub/routing"
)

// RunTampered runs a case with changed tables at gateways, or with other settings for the core than for the evaluator.
func (e Expectation) RunTampered(set coordinator.Settings, c Case, tables func(*routing.Snapshot), changeSettings func(*coordinator.Settings)) []Failure {
	return e.run(set, c, tampering{tables: tables, settings: changeSettings})
}
