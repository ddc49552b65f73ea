package expect

import (
	"porthub/coordinator"
	"porthub/tables"
)

// RunSpoilt runs a case with what gateways read spoilt, or with other limits told to the core than the judge goes by.
func (e Expectation) RunSpoilt(set coordinator.Settings, c Case, held func(*tables.Snapshot), told func(*coordinator.Settings)) []Failure {
	return e.run(set, c, spoilt{held, told})
}
