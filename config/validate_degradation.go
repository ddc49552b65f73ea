package config

import "fmt"

// degradation finds levels that can't be left, would oscillate or limit nothing, by the rules of package degradation.
func (v validator) degradation() {
	settings, fallback := v.cfg.DegradationSettings()
	for i, level := range v.cfg.Degradation.Levels {
		v.classBounds(i, level, settings.Classes)
	}
	for _, f := range settings.Check() {
		key := "service.levels"
		if f.Level >= 0 {
			key = fmt.Sprintf("service.levels[%d]", f.Level)
			if f.Key != "" {
				key += "." + f.Key
			}
		}
		v.require(false, key, f.Problem, f.Remedy)
	}
	f := v.cfg.Degradation.Fallback
	if f.Level == "" {
		return
	}
	v.require(fallback.Level > 0, "service.fallback.level", fmt.Sprintf("%q is not a level", f.Level), "name one of service.levels")
	v.require(f.Duration > 0 && f.After >= v.cfg.Gateways.SilenceTimeout, "service.fallback",
		fmt.Sprintf("begins after %d ms and lasts %d ms", f.After/millisecond, f.Duration/millisecond),
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
