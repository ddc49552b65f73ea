package expectation

import (
	"porthub/coordinator"
	"porthub/routing"
)

// RunTampered runs a case with what gateways read spoilt, or with other limits told to the core than the judge goes by.
func (e Expectation) RunTampered(set coordinator.Settings, c Case, held func(*routing.Snapshot), told func(*coordinator.Settings)) []Failure {
	return e.run(set, c, tampering{held, told})
}
