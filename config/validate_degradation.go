package config

import "fmt"

// degradation reports levels that can't be left, would oscillate or limit nothing, as package degradation determines. It also
// checks the fallback.
func (v validator) degradation() {
	settings, fallback := v.cfg.DegradationSettings()
	for i, level := range v.cfg.Degradation.Levels {
		v.classBounds(i, level, settings.Classes)
	}
	for _, finding := range settings.Check() {
		key := "service.levels"
		if finding.Level >= 0 {
			key = fmt.Sprintf("service.levels[%d]", finding.Level)
			if finding.Key != "" {
				key += "." + finding.Key
			}
		}
		v.require(false, key, finding.Problem, finding.Remedy)
	}
	configured := v.cfg.Degradation.Fallback
	if configured.Level == "" {
		return
	}
	v.require(fallback.Level > 0, "service.fallback.level", fmt.Sprintf("%q is not a level", configured.Level), "name one of service.levels")
	v.require(configured.Duration > 0 && configured.After >= v.cfg.Gateways.SilenceTimeout, "service.fallback",
		fmt.Sprintf("begins after %d ms and lasts %d ms", configured.After/millisecond, configured.Duration/millisecond),
		"it must not begin before gateways.silent_after, and must end")
}

func (v validator) classBounds(index int, level DegradationLevel, classes []string) {
	seen := map[string]bool{}
	for j, bounds := range level.Classes {
		key := fmt.Sprintf("service.levels[%d].kinds[%d].name", index, j)
		problem := fmt.Sprintf("%q is not a request class or appears twice", bounds.Name)
		if seen[bounds.Name] {
			v.require(false, key, problem, "list each of request_kinds at most once")
		} else {
			v.oneOf(key, bounds.Name, classes, problem, "list each of request_kinds at most once")
		}
		seen[bounds.Name] = true
	}
	v.require(v.cfg.Admission != "off" || len(level.Classes) == 0, fmt.Sprintf("service.levels[%d].kinds", index),
		"limits shares while levels is off", "gateways reject nothing with levels off: remove kinds")
}
