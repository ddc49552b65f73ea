package expectation

import (
	"porthub/coordinator"
	"porthub/routing"
)

// RunWithOverrides runs a case with changes to the tables of gateways or to the settings of the core, so that assertions fail.
func (e Expectation) RunWithOverrides(
	settings coordinator.Settings, c Case, tables func(*routing.Snapshot), changeSettings func(*coordinator.Settings),
) []Failure {
	return e.run(settings, c, testOverrides{tables: tables, settings: changeSettings})
}
