package policy

import (
	"maps"
	"slices"
)

// State is an instance's view of the fleet, for operators to compare with what the proxies do. Rates are in requests per
// second.
type State struct {
	Proxies                int     // connected
	UnacknowledgedMessages int     // sent to connected proxies and not acknowledged
	QueuedLines            float64 // lines taken to wait in the channel
	Ready                  int     // endpoints that are listed ready
	Ejected                int     // of those, ejected from at least one zone
	WarmingUp              int     // of those, in slow start
	CapacityLimited        int     // of those, slow for several reports in a row
	Demand                 float64 // of the connected proxies
	Served                 float64 // completed, as last reported
	Capacity               float64 // of the ready endpoints
	FleetSpeed             float64 // present speed relative to the speeds learned
	Utilization            float64 // load over capacity
	AdmittedRate           float64 // published limit; 0: no limit
	EndpointActors         int     // endpoints with retained state
	Tables                 int     // tables in use
	QueuedRequests         int     // requests queued, as the endpoints report
}

// State returns the instance's view of the fleet as of the last Step. It changes nothing, and is the same each time.
func (in *Instance) State() State {
	pl, ch := in.planner, in.channel
	s := State{
		Proxies:        len(ch.streams),
		QueuedLines:    ch.queuedLines(ch.turns.deliveredAt),
		Demand:         sum(pl.zoneDemand),
		FleetSpeed:     pl.fleet.speed,
		Utilization:    pl.fleet.utilization,
		AdmittedRate:   pl.admittedRate,
		EndpointActors: len(in.endpoints.order),
		Tables:         len(ch.replicas) * len(ch.classSets),
	}
	for _, stream := range ch.streams {
		s.UnacknowledgedMessages += len(stream.unacknowledged)
	}
	for _, id := range slices.Sorted(maps.Keys(pl.endpoints)) {
		if e := pl.endpoints[id]; e.ready {
			s.addEndpoint(e)
		}
	}
	for _, g := range pl.groups.list {
		if pl.groups.isZoneWide(g) {
			s.Capacity += g.available
		}
	}
	return s
}

func (s *State) addEndpoint(e endpointState) {
	s.Ready++
	s.Served += e.load.served
	s.QueuedRequests += int(e.load.queue)
	if slices.Contains(e.ejected, true) {
		s.Ejected++
	}
	if e.slowStartFactor < 1 {
		s.WarmingUp++
	}
	if e.learned.limit > 0 {
		s.CapacityLimited++
	}
}
