package policy

import (
	"maps"
	"slices"
	"testing"

	"porthub/policyapi"
)

// host is a fake host. It delivers events to an instance, maintains the clock and the timers, and records the tables,
// bindings and levels that the proxies would have. Times are in microseconds.
type host struct {
	t          *testing.T
	instance   *Instance
	now        micros
	timers     []timer
	tables     map[policyapi.TableID]map[policyapi.EndpointID]float64
	binds      map[policyapi.ProxyID][]policyapi.TableID
	admissions map[policyapi.RequestClass]policyapi.SetAdmission
	orders     []policyapi.Order // of the last step
	count      map[string]int    // number of orders by kind
	highest    map[string]int    // greatest value seen by name

	failureRate         float64              // fraction of all attempts that fail
	falselyFull         policyapi.EndpointID // this endpoint reports that it is full
	slowEndpoint        policyapi.EndpointID // this endpoint has four times the latency
	extraRate           int                  // additional requests per second at proxy 0
	neverAcknowledge    bool                 // no proxy acknowledges
	unacknowledging     []policyapi.ProxyID  // these proxies do not acknowledge
	unacknowledgedLines float64              // lines sent and not acknowledged
	sentAt              map[policyapi.ProxyID][]micros
}

type timer struct {
	at    micros
	token policyapi.TimerToken
}

// hostClasses is the number of request classes in the settings of newHost.
const hostClasses policyapi.RequestClass = 2

// newHost returns a host of an instance in a fleet of three zones. Change modifies the settings unless it is nil.
func newHost(t *testing.T, change func(*policyapi.Start)) *host {
	t.Helper()
	start := policyapi.Start{
		Seed: 7, InstanceCount: 1, Zone: "a", Zones: []policyapi.Zone{"a", "b", "c"},
		Classes: []policyapi.ClassSettings{
			{Name: "view", Idempotency: policyapi.Idempotent, LatencyObjective: 800_000, ClientTimeout: 2_000_000, PriorityWeight: 1},
			{Name: "save", LatencyObjective: 800_000, ClientTimeout: 2_000_000, PriorityWeight: 4},
		},
		Rules: policyapi.RuleSettings{EmptyTableLimit: 4_000_000, DrainGracePeriod: 3_000_000, WarmUp: 16_000_000, InitialCapacity: 0.2,
			OverloadFactor: 2.5, OverloadWindow: 2_000_000, QueueLimit: 5000, MessageLimit: 20, MessageWindow: 10_000_000,
			HealthChecksAllowed: true},
		Channel:   policyapi.ChannelSettings{LinesPerSecond: 6000, MessageOverhead: 6, Latency: 200_000, MaxLatency: 600_000},
		Reports:   policyapi.ReportSettings{Period: second, MaxLinesPerSecond: 200, MetricsInReports: true, MetricNames: []string{"busy"}},
		Admission: policyapi.AdmissionByRate, ProxyCount: 3,
	}
	if change != nil {
		change(&start)
	}
	return &host{t: t, instance: New(start), now: 100 * second, tables: map[policyapi.TableID]map[policyapi.EndpointID]float64{},
		binds: map[policyapi.ProxyID][]policyapi.TableID{}, admissions: map[policyapi.RequestClass]policyapi.SetAdmission{}, count: map[string]int{},
		highest: map[string]int{}, sentAt: map[policyapi.ProxyID][]micros{}}
}

// step delivers events at the current time, carries out the orders and acknowledges the messages that they cause.
func (h *host) step(events ...policyapi.Event) {
	h.orders = h.instance.Step(h.now, events)
	reached := map[policyapi.ProxyID]float64{}
	for _, o := range h.orders {
		h.apply(o, reached)
	}
	h.acknowledge(reached)
}

// apply carries out an order and adds the lines that it costs to those of each proxy that it reaches.
func (h *host) apply(order policyapi.Order, reached map[policyapi.ProxyID]float64) {
	switch o := order.(type) {
	case policyapi.SetTimer:
		h.timers = append(h.timers, timer{h.now + o.After, o.Token})
	case policyapi.SetWeight:
		h.setWeight(o)
		for p, tables := range h.binds {
			if slices.Contains(tables, o.Table) {
				reached[p]++
			}
		}
	case policyapi.BindProxy:
		reached[o.Proxy] += float64(len(h.tables[o.Table])) + 1
		h.bind(o)
	case policyapi.SetAdmission:
		h.setAdmission(o)
		for p := range h.binds {
			reached[p]++
		}
	case policyapi.WatchEndpoints:
		h.count["watch"]++
	case policyapi.CheckHealth:
		h.count["health check"]++
	}
}

func (h *host) setWeight(o policyapi.SetWeight) {
	if h.tables[o.Table] == nil {
		h.tables[o.Table] = map[policyapi.EndpointID]float64{}
	}
	h.tables[o.Table][o.Endpoint] = o.Weight
	if o.Weight == 0 {
		delete(h.tables[o.Table], o.Endpoint)
	}
}

func (h *host) bind(o policyapi.BindProxy) {
	if h.binds[o.Proxy] == nil {
		h.binds[o.Proxy] = make([]policyapi.TableID, hostClasses)
	}
	for class := range hostClasses {
		if includes(o.Classes, class) {
			h.binds[o.Proxy][class] = o.Table
		}
	}
}

func (h *host) setAdmission(o policyapi.SetAdmission) {
	if o.Classes&1 != 0 {
		h.highest["level"] = max(h.highest["level"], int(o.Level))
	}
	h.highest["retry policy"] = max(h.highest["retry policy"], int(o.RetryPolicy))
	for class := range hostClasses {
		if includes(o.Classes, class) {
			h.admissions[class] = o
		}
	}
}

// includes reports whether a set of classes includes a class. The empty set includes all classes.
func includes(set policyapi.ClassSet, class policyapi.RequestClass) bool {
	return set == 0 || set&(1<<class) != 0
}

// acknowledge counts the messages of a step and their lines, and acknowledges the messages if that was requested.
func (h *host) acknowledge(reached map[policyapi.ProxyID]float64) {
	var acknowledged []policyapi.Event
	for _, p := range slices.Sorted(maps.Keys(reached)) {
		h.unacknowledgedLines += reached[p] + 7
		h.sentAt[p] = append(slices.DeleteFunc(h.sentAt[p], func(at micros) bool { return h.now-at > 10*second }), h.now)
		h.highest["messages"] = max(h.highest["messages"], len(h.sentAt[p]))
		for _, o := range h.orders {
			if m, is := o.(policyapi.RequestAck); is && !slices.Contains(h.unacknowledging, p) {
				acknowledged = append(acknowledged, policyapi.Acknowledged{Proxy: p, AckID: m.AckID, Delay: second / 5})
			}
		}
	}
	if len(acknowledged) > 0 && !h.neverAcknowledge {
		h.unacknowledgedLines = 0
		h.instance.Step(h.now, acknowledged)
	}
}

// advance advances the clock in steps of a tenth of a second. At each full second, the reports are delivered before the
// timers that have expired.
func (h *host) advance(d micros, reports func() []policyapi.Event) {
	for end := h.now + d; h.now < end; {
		h.now += second / 10
		var events []policyapi.Event
		if reports != nil && h.now%second == 0 {
			events = reports()
		}
		var pending []timer
		for _, r := range h.timers {
			if r.at <= h.now {
				events = append(events, policyapi.TimerFired{Token: r.token})
			} else {
				pending = append(pending, r)
			}
		}
		h.timers = pending
		if len(events) > 0 {
			h.step(events...)
		}
	}
}

// readyEndpoints returns list entries of endpoints of the same size.
func readyEndpoints(zone policyapi.Zone, ids ...policyapi.EndpointID) []policyapi.Endpoint {
	var entries []policyapi.Endpoint
	for _, id := range ids {
		entries = append(entries, policyapi.Endpoint{ID: id, Zone: zone, Weight: 1, MachineType: "std"})
	}
	return entries
}

// startFleet lists two endpoints in each of three zones and connects a proxy in each zone.
func (h *host) startFleet() {
	endpoints := append(append(readyEndpoints("a", "a1", "a2"), readyEndpoints("b", "b1", "b2")...), readyEndpoints("c", "c1", "c2")...)
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Snapshot, Endpoints: endpoints})
	for p, z := range []policyapi.Zone{"a", "b", "c"} {
		h.step(policyapi.ProxyConnected{Proxy: policyapi.ProxyID(p), Zone: z, HasDefaultTableOnly: true, Weight: 20})
	}
}

// steadyReports returns a function that reports rate requests per second at each proxy, distributed among the endpoints by
// the table of the first class. An endpoint with ten attempts per second has the given busy share. Silent endpoints have no
// reports.
func (h *host) steadyReports(rate int, busyShare float64, latency micros, silent ...policyapi.EndpointID) func() []policyapi.Event {
	return func() []policyapi.Event {
		var events []policyapi.Event
		var loads []policyapi.EndpointLoad
		attempts := map[policyapi.EndpointID]float64{}
		for p, z := range []policyapi.Zone{"a", "b", "c"} {
			id, rate := policyapi.ProxyID(p), rate
			if p == 0 {
				rate += h.extraRate
			}
			for k := range hostClasses {
				events = append(events, policyapi.ProxyLoad{Proxy: id, Class: k, Requests: rate / 2, Period: second})
			}
			if len(h.binds[id]) == 0 {
				continue
			}
			lines := h.tables[h.binds[id][0]]
			all := sum(slices.Collect(maps.Values(lines)))
			for _, b := range slices.Sorted(maps.Keys(lines)) {
				if n := float64(rate) * lines[b] / all; !slices.Contains(silent, b) {
					attempts[b] += n
					loads = append(loads, policyapi.EndpointLoad{Zone: z, Endpoint: b, Period: second, MeanLatency: latency,
						Attempts: int(n + 0.5), Failures: int(h.failureRate*n + 0.5)})
				}
			}
		}
		for _, e := range loads {
			e.Metrics = policyapi.LoadMetrics{"busy": min(1, busyShare*attempts[e.Endpoint]/10)}
			if e.Endpoint == h.falselyFull {
				e.Metrics["busy"] = 1
			}
			if e.Endpoint == h.slowEndpoint {
				e.MeanLatency *= 4
			}
			events = append(events, e)
		}
		return events
	}
}
