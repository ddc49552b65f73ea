package tui

// drawLevels draws the degradation levels, and the state of the weight solver, the sampling of load reports, and the channel.
func (m Model) drawLevels() []string {
	block := &textBlock{width: m.width}
	m.addScopes(block)
	m.addOverrides(block)
	block.addf("")
	m.addSolver(block)
	sampling := m.frame.Sampling
	block.addf("load reports: %d, sampled %.2f, %d gateways reporting, %d silent, %.2f per gateway",
		sampling.Reports, sampling.SampledFraction, sampling.Reporting, sampling.Silent, sampling.ReportsPerGateway)
	block.addf("channel: %.0f of %.0f lines in flight; %d pins", m.frame.LinesInFlight, m.frame.LineLimit, m.frame.Pins)
	return block.lines
}

func (m Model) addScopes(block *textBlock) {
	if len(m.frame.Levels.Scopes) == 0 {
		block.addf("no service levels are configured")
	}
	for _, scope := range m.frame.Levels.Scopes {
		name := string(scope.Zone)
		if name == "" {
			name = "fleet"
		}
		since := ""
		if scope.Since > 0 {
			since = " for " + age(m.frame.Now-scope.Since)
		}
		block.addf("%s: %s%s  %s", name, scope.Name, since, scope.Reason)
		for _, condition := range scope.EndConditions {
			block.addf("    %s", condition)
		}
	}
}

func (m Model) addOverrides(block *textBlock) {
	levels := m.frame.Levels.Levels
	for _, override := range m.frame.Levels.Overrides {
		level := levels[min(override.Level, len(levels)-1)]
		block.addf("override %d: %s %s in %q for another %s: %s",
			override.ID, override.Action, level, override.Zone, age(override.Until-m.frame.Now), override.Reason)
	}
}

func (m Model) addSolver(block *textBlock) {
	solver := m.frame.Solver
	if solver == nil {
		return
	}
	block.addf("solver: active %t, %d tables, highest utilization %.2f %s",
		solver.Active, solver.Tables, solver.WorstUtilization, solver.WorstEndpoint)
	for _, failing := range solver.Failing {
		block.addf("    fails: %s", failing)
	}
}
