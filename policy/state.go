package policy

import (
	"maps"
	"slices"
)

// State is an instance's view of the fleet, which operators can compare with the actual behavior of the proxies. Rates are
// in requests per second.
type State struct {
	Proxies                int     // connected proxies
	UnacknowledgedMessages int     // messages to connected proxies that have not been acknowledged
	QueuedLines            float64 // estimated lines that wait in the channel
	Ready                  int     // endpoints that are listed ready
	Ejected                int     // ready endpoints that are ejected from at least one zone
	WarmingUp              int     // ready endpoints in slow start
	CapacityLimited        int     // ready endpoints that were slow for several consecutive reports
	Demand                 float64 // of the connected proxies
	Served                 float64 // completed requests, as last reported
	Capacity               float64 // of the ready endpoints
	FleetSpeed             float64 // current speed relative to the learned speeds of the endpoints
	Utilization            float64 // load over capacity
	AdmittedRate           float64 // published limit on all requests; 0: no limit
	EndpointActors         int     // endpoints whose state is retained
	Tables                 int     // tables in use
	QueuedRequests         int     // requests queued, as reported by the endpoints
	LimitedReports         int     // load reports that were limited to what is plausible, since the start
}

// State returns the instance's view of the fleet as of the last Step. It changes nothing, and repeated calls return the
// same value.
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
		LimitedReports: pl.limitedReports,
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
