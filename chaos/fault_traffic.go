package chaos

import (
	"cmp"
	"slices"
	"time"
)

// ramp is how far a fault of the traffic has come at a time, 0 to 1: it rises and falls within Extra seconds.
func (f Fault) ramp(at time.Duration) float64 {
	const minRamp = 1e-3 // seconds
	start := duration(f.At)
	if at < start || at > f.end() {
		return 0
	}
	length := max(minRamp, f.Extra) * float64(time.Second)
	return min(1, float64(at-start)/length, float64(f.end()-at)/length)
}

// trafficFactor is the traffic of a gateway at a time, as a multiple of its usual one.
func (f *fleet) trafficFactor(gateway int, at time.Duration) float64 {
	factor := 1.0
	added := 0.0
	for i, fault := range f.scenario.Faults {
		switch fault.Name {
		case "burst":
			factor *= 1 + (fault.Size-1)*fault.ramp(at)
		case "hot_caller":
			if hot := f.affected[i]; slices.Contains(hot, gateway) {
				added += fault.ramp(at) * fault.Size * f.scenario.RequestRate / float64(len(hot)) / f.rate(gateway)
			}
		case "shift":
			factor *= f.shiftFactor(fault, gateway, at)
		}
	}
	return factor + added
}

// shiftFactor moves a part of the traffic of the other zones to one zone.
func (f *fleet) shiftFactor(fault Fault, gateway int, at time.Duration) float64 {
	zone := cmp.Or(fault.Zone, f.scenario.Zones[len(f.scenario.Zones)-1])
	inside := 0.0
	for i, g := range f.gateways {
		if g.Zone == zone {
			inside += f.rate(i)
		}
	}
	moved := fault.Size * min(1, 4*fault.ramp(at))
	if f.gateways[gateway].Zone != zone {
		return 1 - moved
	}
	return 1 + moved*(f.scenario.RequestRate-inside)/max(inside, 1e-9)
}

// workFactor is the work of a request as a multiple of the usual.
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
