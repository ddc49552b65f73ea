package coordinator

import (
	"cmp"
	"maps"
	"slices"

	"porthub/policyapi"
)

// loadAggregate sums up the reports of the gateways since the last round, for the decision module.
type loadAggregate struct {
	endpoints map[endpointKey]*endpointSum
	proxies   map[proxyKey]*policyapi.ProxyLoad
}

type endpointKey struct {
	zone     policyapi.Zone // of the reporting gateways
	endpoint policyapi.EndpointID
}

type proxyKey struct {
	proxy policyapi.ProxyID
	class policyapi.RequestClass
}

type endpointSum struct {
	attempts, failures int
	latencySum         float64 // over the successful attempts, in microseconds
	period             microseconds
	metrics            policyapi.LoadMetrics
	metricsResponses   int // successful attempts in the report that metrics come from
}

func newLoadAggregate() loadAggregate {
	return loadAggregate{endpoints: map[endpointKey]*endpointSum{}, proxies: map[proxyKey]*policyapi.ProxyLoad{}}
}

// addRequests adds the requests of a class that arrived at a gateway.
func (a *loadAggregate) addRequests(proxy policyapi.ProxyID, class policyapi.RequestClass, r ClassReport, interval microseconds) {
	key := proxyKey{proxy, class}
	load := a.proxies[key]
	if load == nil {
		load = &policyapi.ProxyLoad{Proxy: proxy, Class: class}
		a.proxies[key] = load
	}
	load.Requests += r.Arrivals
	load.Failures += r.Failures
	load.Period += interval
}

// addAttempts adds what a gateway of a zone measured at an endpoint.
func (a *loadAggregate) addAttempts(zone policyapi.Zone, r EndpointReport, interval microseconds) {
	key := endpointKey{zone, r.Endpoint}
	sum := a.endpoints[key]
	if sum == nil {
		sum = &endpointSum{}
		a.endpoints[key] = sum
	}
	succeeded := r.Attempts - r.Failures
	sum.attempts += r.Attempts
	sum.failures += r.Failures
	sum.period = max(sum.period, interval)
	sum.latencySum += float64(succeeded) * float64(r.MeanLatency)
	// An endpoint sends its metrics with each response. Of several reports, the metrics from the one with most responses are used.
	if r.Metrics != nil && succeeded >= sum.metricsResponses {
		sum.metrics = r.Metrics
		sum.metricsResponses = succeeded
	}
}

// attempts returns how many attempts the gateways of a zone made at an endpoint, and whether they reported any.
func (a *loadAggregate) attempts(zone policyapi.Zone, endpoint policyapi.EndpointID) (count int, reported bool) {
	sum := a.endpoints[endpointKey{zone, endpoint}]
	if sum == nil {
		return 0, false
	}
	return sum.attempts, true
}

// events returns the sums as events, in an order that does not depend on that of the reports.
func (a *loadAggregate) events(withMetrics bool) (events []policyapi.Event) {
	endpoints := slices.SortedFunc(maps.Keys(a.endpoints), func(x, y endpointKey) int {
		return cmp.Or(cmp.Compare(x.zone, y.zone), cmp.Compare(x.endpoint, y.endpoint))
	})
	for _, key := range endpoints {
		events = append(events, a.endpoints[key].event(key, withMetrics))
	}
	proxies := slices.SortedFunc(maps.Keys(a.proxies), func(x, y proxyKey) int {
		return cmp.Or(cmp.Compare(x.proxy, y.proxy), cmp.Compare(x.class, y.class))
	})
	for _, key := range proxies {
		events = append(events, *a.proxies[key])
	}
	return events
}

func (s *endpointSum) event(key endpointKey, withMetrics bool) policyapi.EndpointLoad {
	load := policyapi.EndpointLoad{Zone: key.zone, Endpoint: key.endpoint, Attempts: s.attempts, Failures: s.failures, Period: s.period}
	if withMetrics {
		load.Metrics = s.metrics
	}
	if succeeded := s.attempts - s.failures; succeeded > 0 {
		load.MeanLatency = microseconds(s.latencySum / float64(succeeded))
	}
	return load
}
