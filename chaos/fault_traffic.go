package chaos

import (
	"cmp"
	"slices"
	"time"
)

// ramp returns the strength of a traffic fault at the given time, 0 to 1. It rises to 1 over the first Extra seconds of the
// fault and falls to 0 over the last.
func (f Fault) ramp(at time.Duration) float64 {
	const minRamp = 1e-3 // seconds
	start := duration(f.At)
	if at < start || at > f.end() {
		return 0
	}
	length := max(minRamp, f.Extra) * float64(time.Second)
	return min(1, float64(at-start)/length, float64(f.end()-at)/length)
}

// trafficFactor returns a gateway's traffic at the given time, as a multiple of its usual rate.
func (f *fleet) trafficFactor(gateway int, at time.Duration) float64 {
	factor := 1.0
	addedFactor := 0.0
	for i, fault := range f.scenario.Faults {
		switch fault.Name {
		case "burst":
			factor *= 1 + (fault.Size-1)*fault.ramp(at)
		case "hot_caller":
			if callers := f.affectedGateways[i]; slices.Contains(callers, gateway) {
				addedFactor += fault.ramp(at) * fault.Size * f.scenario.RequestRate / float64(len(callers)) / f.rate(gateway)
			}
		case "shift":
			factor *= f.shiftFactor(fault, gateway, at)
		}
	}
	return factor + addedFactor
}

// shiftFactor returns a gateway's traffic factor while a fraction of the other zones' traffic moves to one zone. The move is
// complete after a quarter of Extra seconds.
func (f *fleet) shiftFactor(fault Fault, gateway int, at time.Duration) float64 {
	zone := cmp.Or(fault.Zone, f.scenario.Zones[len(f.scenario.Zones)-1])
	zoneRate := 0.0
	for i, g := range f.gateways {
		if g.Zone == zone {
			zoneRate += f.rate(i)
		}
	}
	movedShare := fault.Size * min(1, 4*fault.ramp(at))
	if f.gateways[gateway].Zone != zone {
		return 1 - movedShare
	}
	return 1 + movedShare*(f.scenario.RequestRate-zoneRate)/max(zoneRate, 1e-9)
}

// workFactor returns the work of a request as a multiple of the class's usual work; draw is a random number from 0 to 1.
func (f *fleet) workFactor(at time.Duration, class string, draw float64) float64 {
	for _, fault := range f.scenario.Faults {
		if fault.Name != "heavy_tail" || !fault.active(at) {
			continue
		}
		if class == cmp.Or(fault.Class, f.scenario.Classes[0].Name) && draw < fault.Extra {
			return fault.Size
		}
	}
	return 1
}
