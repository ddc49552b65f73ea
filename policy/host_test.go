package policy

import (
	"maps"
	"slices"
	"testing"

	"porthub/policyapi"
)

// host is the tiny fake host of all stories: it gives an instance its events, keeps the clock and its timers, and
// notes what the proxies would hold.
type host struct {
	t      *testing.T
	in     *Instance
	now    micros
	rings  []ring
	tables map[policyapi.TableID]map[policyapi.EndpointID]float64
	binds  map[policyapi.ProxyID][]policyapi.TableID
	admits map[policyapi.RequestClass]policyapi.SetAdmission
	orders []policyapi.Order // of the last step
	count  map[string]int
	most   map[string]int

	errors float64              // part of all tries that err
	liar   policyapi.EndpointID // says that it is full
	snail  policyapi.EndpointID // answers in four times the time
	extra  int                  // reqs a second on top at proxy 0
	deaf   bool                 // nobody acknowledges
	mute   []policyapi.ProxyID  // these do not
	queued float64              // lines written and not acknowledged
	sent   map[policyapi.ProxyID][]micros
}

type ring struct {
	at    micros
	token policyapi.TimerToken
}

func start(t *testing.T, change func(*policyapi.Start)) *host {
	up := policyapi.Start{
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
		change(&up)
	}
	return &host{t: t, in: New(up), now: 100 * second, tables: map[policyapi.TableID]map[policyapi.EndpointID]float64{},
		binds: map[policyapi.ProxyID][]policyapi.TableID{}, admits: map[policyapi.RequestClass]policyapi.SetAdmission{}, count: map[string]int{},
		most: map[string]int{}, sent: map[policyapi.ProxyID][]micros{}}
}

// tell gives events at the present time and carries out the orders.
func (h *host) tell(events ...policyapi.Event) {
	h.orders = h.in.Step(h.now, events)
	reached := map[policyapi.ProxyID]float64{}
	for _, o := range h.orders {
		switch o := o.(type) {
		case policyapi.SetTimer:
			h.rings = append(h.rings, ring{h.now + o.After, o.Token})
		case policyapi.SetWeight:
			if h.tables[o.Table] == nil {
				h.tables[o.Table] = map[policyapi.EndpointID]float64{}
			}
			if h.tables[o.Table][o.Endpoint] = o.Weight; o.Weight == 0 {
				delete(h.tables[o.Table], o.Endpoint)
			}
			for p, tables := range h.binds {
				if slices.Contains(tables, o.Table) {
					reached[p]++
				}
			}
		case policyapi.BindProxy:
			reached[o.Proxy] += float64(len(h.tables[o.Table])) + 1
			if h.binds[o.Proxy] == nil {
				h.binds[o.Proxy] = make([]policyapi.TableID, 2)
			}
			for k := range 2 {
				if o.Classes == 0 || o.Classes&(1<<k) != 0 {
					h.binds[o.Proxy][k] = o.Table
				}
			}
		case policyapi.SetAdmission:
			if o.Classes&1 != 0 {
				h.most["level"] = max(h.most["level"], int(o.Level))
			}
			h.most["second try"] = max(h.most["second try"], int(o.RetryPolicy))
			for p := range h.binds {
				reached[p]++
			}
			for k := range policyapi.RequestClass(2) {
				if o.Classes == 0 || o.Classes&(1<<k) != 0 {
					h.admits[k] = o
				}
			}
		case policyapi.WatchEndpoints:
			h.count["watch"]++
		case policyapi.CheckHealth:
			h.count["probe"]++
		}
	}
	var applied []policyapi.Event
	for _, p := range slices.Sorted(maps.Keys(reached)) {
		h.queued += reached[p] + 7
		h.sent[p] = append(slices.DeleteFunc(h.sent[p], func(at micros) bool { return h.now-at > 10*second }), h.now)
		h.most["messages"] = max(h.most["messages"], len(h.sent[p]))
		for _, o := range h.orders {
			if m, is := o.(policyapi.RequestAck); is && !slices.Contains(h.mute, p) {
				applied = append(applied, policyapi.Acknowledged{Proxy: p, AckID: m.AckID, Delay: second / 5})
			}
		}
	}
	if len(applied) > 0 && !h.deaf {
		h.queued = 0
		h.in.Step(h.now, applied)
	}
}

// pass lets time go by in steps of a tenth of a second; each full second the reports of say are given first.
func (h *host) pass(d micros, say func() []policyapi.Event) {
	for end := h.now + d; h.now < end; {
		h.now += second / 10
		var events []policyapi.Event
		if say != nil && h.now%second == 0 {
			events = say()
		}
		var later []ring
		for _, r := range h.rings {
			if r.at <= h.now {
				events = append(events, policyapi.TimerFired{Token: r.token})
			} else {
				later = append(later, r)
			}
		}
		h.rings = later
		if len(events) > 0 {
			h.tell(events...)
		}
	}
}

func ready(zone policyapi.Zone, ids ...policyapi.EndpointID) []policyapi.Endpoint {
	var entries []policyapi.Endpoint
	for _, id := range ids {
		entries = append(entries, policyapi.Endpoint{ID: id, Zone: zone, Weight: 1, MachineType: "std"})
	}
	return entries
}

// fleet starts with two backends in each of three zones and a proxy in each.
func (h *host) fleet() {
	entries := append(append(ready("a", "a1", "a2"), ready("b", "b1", "b2")...), ready("c", "c1", "c2")...)
	h.tell(policyapi.EndpointUpdate{Kind: policyapi.Snapshot, Endpoints: entries})
	for p, z := range []policyapi.Zone{"a", "b", "c"} {
		h.tell(policyapi.ProxyConnected{Proxy: policyapi.ProxyID(p), Zone: z, HasDefaultTableOnly: true, Weight: 20})
	}
}

// steady reports rate reqs a second at each proxy, dealt to the backends by the table of the first kind. A backend
// with ten tries a second is busy by the share given; silent ones answer nothing.
func (h *host) steady(rate int, busy float64, answer micros, silent ...policyapi.EndpointID) func() []policyapi.Event {
	return func() []policyapi.Event {
		var events []policyapi.Event
		var heard []policyapi.EndpointLoad
		tries := map[policyapi.EndpointID]float64{}
		for p, z := range []policyapi.Zone{"a", "b", "c"} {
			id, rate := policyapi.ProxyID(p), rate
			if p == 0 {
				rate += h.extra
			}
			for k := range policyapi.RequestClass(2) {
				events = append(events, policyapi.ProxyLoad{Proxy: id, Class: k, Requests: rate / 2, Period: second})
			}
			if len(h.binds[id]) == 0 {
				continue
			}
			lines := h.tables[h.binds[id][0]]
			all := sum(slices.Collect(maps.Values(lines)))
			for _, b := range slices.Sorted(maps.Keys(lines)) {
				if n := float64(rate) * lines[b] / all; !slices.Contains(silent, b) {
					tries[b] += n
					heard = append(heard, policyapi.EndpointLoad{Zone: z, Endpoint: b, Period: second, MeanLatency: answer,
						Attempts: int(n + 0.5), Failures: int(h.errors*n + 0.5)})
				}
			}
		}
		for _, e := range heard {
			e.Metrics = policyapi.LoadMetrics{"busy": min(1, busy*tries[e.Endpoint]/10)}
			if e.Endpoint == h.liar {
				e.Metrics["busy"] = 1
			}
			if e.Endpoint == h.snail {
				e.MeanLatency *= 4
			}
			events = append(events, e)
		}
		return events
	}
}
