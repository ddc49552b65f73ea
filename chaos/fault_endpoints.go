package chaos

import (
	"cmp"
	"math"
	"time"

	"porthub/audit"
	"porthub/config"
	"porthub/emulator"
)

// applyAndRevert calls apply for each endpoint and, when the fault ends, revert.
func (in injection) applyAndRevert(endpoints []*emulator.Endpoint, apply, revert func(*emulator.Endpoint)) {
	for _, e := range endpoints {
		apply(e)
	}
	in.fleet.sleep(duration(in.Duration))
	for _, e := range endpoints {
		revert(e)
	}
}

// withFault sets a fault of the endpoints and resets it when the fault ends.
func (in injection) withFault(endpoints []*emulator.Endpoint, set, reset func(*emulator.Fault)) {
	in.applyAndRevert(endpoints, func(e *emulator.Endpoint) { e.SetFault(set) }, func(e *emulator.Endpoint) { e.SetFault(reset) })
}

// chooseEndpoints draws the fraction Share of the endpoints that are running and ready in the list, from the fault's zone if it
// has one.
func (in injection) chooseEndpoints() []*emulator.Endpoint {
	var eligible []*emulator.Endpoint
	for _, e := range in.fleet.endpoints {
		running, _ := e.Running()
		if running && in.fleet.isReady(e) && (in.Zone == "" || e.Zone == in.Zone) {
			eligible = append(eligible, e)
		}
	}
	in.rng.Shuffle(len(eligible), func(i, j int) { eligible[i], eligible[j] = eligible[j], eligible[i] })
	return eligible[:shareOf(in.Share, len(eligible))]
}

// shareOf returns the given fraction of n, rounded up.
func shareOf(share float64, n int) int { return min(n, int(math.Ceil(share*float64(n)))) }

func (f *fleet) isReady(e *emulator.Endpoint) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed[e.Addr].state == audit.Ready
}

// chooseZone returns the fault's zone, or a random zone if it has none.
func (in injection) chooseZone() string {
	if in.Zone != "" {
		return in.Zone
	}
	zones := in.fleet.scenario.Zones
	return zones[in.rng.IntN(len(zones))]
}

// crashEndpoint kills an endpoint. After the list delay it is removed from the list, unless it is running again by then.
func (f *fleet) crashEndpoint(e *emulator.Endpoint) {
	e.Kill()
	f.pending.Add(1)
	time.AfterFunc(duration(f.scenario.ListDelay), func() {
		defer f.pending.Done()
		if running, _ := e.Running(); !running {
			f.setListed(e, audit.Absent, 0)
		}
	})
}

// restartEndpoint restarts an endpoint. After half the list delay the list contains its new start time.
func (f *fleet) restartEndpoint(e *emulator.Endpoint) {
	if err := e.Restart(); err == nil {
		f.setListed(e, audit.Ready, duration(f.scenario.ListDelay)/2)
	}
}

func (in injection) crash() {
	in.applyAndRevert(in.chooseEndpoints(), in.fleet.crashEndpoint, in.fleet.restartEndpoint)
}

func (in injection) vanish() {
	f := in.fleet
	in.applyAndRevert(in.chooseEndpoints(), func(e *emulator.Endpoint) {
		e.SetFault(func(x *emulator.Fault) { x.Hang = true })
		f.setListed(e, audit.Absent, 4*duration(f.scenario.ListDelay))
	}, func(e *emulator.Endpoint) {
		e.Kill()
		f.restartEndpoint(e)
	})
}

func (in injection) hang() {
	in.withFault(in.chooseEndpoints(), func(x *emulator.Fault) { x.Hang = true }, func(x *emulator.Fault) { x.Hang = false })
}

func (in injection) pause() {
	const minInterval = 0.2 // seconds
	endpoints := in.chooseEndpoints()
	length := time.Duration(in.Size * float64(time.Millisecond))
	for in.fleet.world.Now() < in.end() {
		for _, e := range endpoints {
			e.Pause(length)
		}
		if !in.fleet.sleep(seconds((0.5 + in.rng.Float64()) * max(minInterval, in.Extra))) {
			return
		}
	}
}

func (in injection) flap() {
	endpoints := in.chooseEndpoints()
	for in.fleet.world.Now() < in.end() {
		cycle := max(0.5, in.Size) * (0.7 + 0.6*in.rng.Float64()) // seconds
		down := seconds(cycle * min(0.9, max(0.1, in.Extra)))
		crash := in
		crash.Duration = config.Duration(down.Microseconds())
		crash.applyAndRevert(endpoints, in.fleet.crashEndpoint, in.fleet.restartEndpoint)
		if !in.fleet.sleep(seconds(cycle) - down) {
			return
		}
	}
}

func (in injection) slowDown() {
	in.withFault(in.fleet.endpoints, func(x *emulator.Fault) { x.Slowdown = in.Size }, func(x *emulator.Fault) { x.Slowdown = 0 })
}

func (in injection) loseResponses() {
	in.withFault(in.chooseEndpoints(), func(x *emulator.Fault) { x.ResponseLoss = in.Size }, func(x *emulator.Fault) { x.ResponseLoss = 0 })
}

func (in injection) failClass() {
	class := cmp.Or(in.Class, in.fleet.scenario.Classes[0].Name)
	in.withFault(in.chooseEndpoints(), func(x *emulator.Fault) {
		x.FailClass = class
		x.FailureRate = in.Size
		x.FailWithError = in.Extra > 0.5
	}, func(x *emulator.Fault) { x.FailureRate = 0 })
}

func (in injection) limitConnections() {
	const minShare = 1e-3 // 0 would mean the full limit
	in.withFault(in.fleet.endpoints, func(x *emulator.Fault) { x.ConnectionShare = max(in.Size, minShare) },
		func(x *emulator.Fault) { x.ConnectionShare = 0 })
}

func (in injection) loseZone() {
	f := in.fleet
	zone := in.chooseZone()
	if in.Size > 0.5 {
		for i, g := range f.gateways {
			if g.Zone == zone {
				f.restartGateway(i, duration(in.Duration))
			}
		}
	}
	var endpoints []*emulator.Endpoint
	for _, e := range f.endpoints {
		if e.Zone == zone {
			endpoints = append(endpoints, e)
		}
	}
	in.applyAndRevert(endpoints, f.crashEndpoint, f.restartEndpoint)
}

func (in injection) partitionZone() {
	f := in.fleet
	zone := in.chooseZone()
	coordinatorZone := f.scenario.Zones[0]
	setPartitioned := func(on bool) {
		f.world.SetPartitioned(zone, on)
		for _, g := range f.gateways {
			if (g.Zone == zone) != (coordinatorZone == zone) {
				g.SetIsolated(on)
			}
		}
	}
	setPartitioned(true)
	f.sleep(duration(in.Duration))
	setPartitioned(false)
}

func (in injection) shrink() {
	f := in.fleet
	all := in
	all.Fault = Fault{Share: 1}
	running := all.chooseEndpoints()
	remaining := int(math.Ceil(float64(len(running)) / max(1, in.Size)))
	removed := running[:len(running)-remaining]
	drain := seconds(in.Extra)
	interval := time.Duration(float64(duration(in.Duration)) / float64(len(removed)))
	for _, e := range removed {
		f.setListed(e, audit.Draining, 0)
		f.setListed(e, audit.Absent, drain)
		// The endpoint keeps running for twice the grace period after its removal, so that requests sent within that period are
		// still served.
		time.AfterFunc(drain+2*duration(f.scenario.Rules.DrainGracePeriod), e.Kill)
		if !f.sleep(interval) {
			return
		}
	}
}

func (in injection) dropFromList() {
	f := in.fleet
	in.applyAndRevert(in.chooseEndpoints(), func(e *emulator.Endpoint) { f.setListed(e, audit.Absent, 0) },
		func(e *emulator.Endpoint) { f.setListed(e, audit.Ready, 0) })
}
