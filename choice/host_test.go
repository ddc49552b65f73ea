package choice

import (
	"maps"
	"slices"
	"testing"

	"porthub/control"
)

// host is the tiny fake host of all stories: it gives an instance its events, keeps the clock and its timers, and
// notes what the proxies would hold.
type host struct {
	t      *testing.T
	in     *Instance
	now    micros
	rings  []ring
	tables map[control.TableID]map[control.EndpointID]float64
	binds  map[control.ProxyID][]control.TableID
	admits map[control.RequestClass]control.SetAdmission
	orders []control.Order // of the last step
	count  map[string]int
	most   map[string]int

	errors float64            // part of all tries that err
	liar   control.EndpointID // says that it is full
	snail  control.EndpointID // answers in four times the time
	extra  int                // reqs a second on top at proxy 0
	deaf   bool               // nobody acknowledges
	mute   []control.ProxyID  // these do not
	queued float64            // lines written and not acknowledged
	sent   map[control.ProxyID][]micros
}

type ring struct {
	at    micros
	token control.TimerToken
}

func start(t *testing.T, change func(*control.Start)) *host {
	up := control.Start{
		Seed: 7, InstanceCount: 1, Zone: "a", Zones: []control.Zone{"a", "b", "c"},
		Classes: []control.ClassSettings{
			{Name: "view", Idempotency: control.Idempotent, LatencyObjective: 800_000, ClientTimeout: 2_000_000, PriorityWeight: 1},
			{Name: "save", LatencyObjective: 800_000, ClientTimeout: 2_000_000, PriorityWeight: 4},
		},
		Rules: control.RuleSettings{EmptyTableLimit: 4_000_000, DrainGracePeriod: 3_000_000, WarmUp: 16_000_000, InitialCapacity: 0.2,
			OverloadFactor: 2.5, OverloadWindow: 2_000_000, QueueLimit: 5000, MessageLimit: 20, MessageWindow: 10_000_000,
			HealthChecksAllowed: true},
		Channel:   control.ChannelSettings{LinesPerSecond: 6000, MessageOverhead: 6, Latency: 200_000, MaxLatency: 600_000},
		Reports:   control.ReportSettings{Period: second, MaxLinesPerSecond: 200, MetricsInReports: true, MetricNames: []string{"busy"}},
		Admission: control.AdmissionByRate, ProxyCount: 3,
	}
	if change != nil {
		change(&up)
	}
	return &host{t: t, in: New(up), now: 100 * second, tables: map[control.TableID]map[control.EndpointID]float64{},
		binds: map[control.ProxyID][]control.TableID{}, admits: map[control.RequestClass]control.SetAdmission{}, count: map[string]int{},
		most: map[string]int{}, sent: map[control.ProxyID][]micros{}}
}

// tell gives events at the present time and carries out the orders.
func (h *host) tell(events ...control.Event) {
	h.orders = h.in.Step(h.now, events)
	reached := map[control.ProxyID]float64{}
	for _, o := range h.orders {
		switch o := o.(type) {
		case control.SetTimer:
			h.rings = append(h.rings, ring{h.now + o.After, o.Token})
		case control.SetWeight:
			if h.tables[o.Table] == nil {
				h.tables[o.Table] = map[control.EndpointID]float64{}
			}
			if h.tables[o.Table][o.Endpoint] = o.Weight; o.Weight == 0 {
				delete(h.tables[o.Table], o.Endpoint)
			}
			for p, tables := range h.binds {
				if slices.Contains(tables, o.Table) {
					reached[p]++
				}
			}
		case control.BindProxy:
			reached[o.Proxy] += float64(len(h.tables[o.Table])) + 1
			if h.binds[o.Proxy] == nil {
				h.binds[o.Proxy] = make([]control.TableID, 2)
			}
			for k := range 2 {
				if o.Classes == 0 || o.Classes&(1<<k) != 0 {
					h.binds[o.Proxy][k] = o.Table
				}
			}
		case control.SetAdmission:
			if o.Classes&1 != 0 {
				h.most["level"] = max(h.most["level"], int(o.Level))
			}
			h.most["second try"] = max(h.most["second try"], o.RetryPolicy)
			for p := range h.binds {
				reached[p]++
			}
			for k := range control.RequestClass(2) {
				if o.Classes == 0 || o.Classes&(1<<k) != 0 {
					h.admits[k] = o
				}
			}
		case control.WatchEndpoints:
			h.count["watch"]++
		case control.CheckHealth:
			h.count["probe"]++
		}
	}
	var applied []control.Event
	for _, p := range slices.Sorted(maps.Keys(reached)) {
		h.queued += reached[p] + 7
		h.sent[p] = append(slices.DeleteFunc(h.sent[p], func(at micros) bool { return h.now-at > 10*second }), h.now)
		h.most["messages"] = max(h.most["messages"], len(h.sent[p]))
		for _, o := range h.orders {
			if m, is := o.(control.RequestAck); is && !slices.Contains(h.mute, p) {
				applied = append(applied, control.Acknowledged{Proxy: p, AckID: m.AckID, Delay: second / 5})
			}
		}
	}
	if len(applied) > 0 && !h.deaf {
		h.queued = 0
		h.in.Step(h.now, applied)
	}
}

// pass lets time go by in steps of a tenth of a second; each full second the reports of say are given first.
func (h *host) pass(d micros, say func() []control.Event) {
	for end := h.now + d; h.now < end; {
		h.now += second / 10
		var events []control.Event
		if say != nil && h.now%second == 0 {
			events = say()
		}
		var later []ring
		for _, r := range h.rings {
			if r.at <= h.now {
				events = append(events, control.TimerFired{Token: r.token})
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

func ready(zone control.Zone, ids ...control.EndpointID) []control.Endpoint {
	var entries []control.Endpoint
	for _, id := range ids {
		entries = append(entries, control.Endpoint{ID: id, Zone: zone, Weight: 1, MachineType: "std"})
	}
	return entries
}

// fleet starts with two backends in each of three zones and a proxy in each.
func (h *host) fleet() {
	entries := append(append(ready("a", "a1", "a2"), ready("b", "b1", "b2")...), ready("c", "c1", "c2")...)
	h.tell(control.EndpointUpdate{Kind: control.Snapshot, Endpoints: entries})
	for p, z := range []control.Zone{"a", "b", "c"} {
		h.tell(control.ProxyConnected{Proxy: control.ProxyID(p), Zone: z, HasDefaultTableOnly: true, Weight: 20})
	}
}

// steady reports rate reqs a second at each proxy, dealt to the backends by the table of the first kind. A backend
// with ten tries a second is busy by the share given; silent ones answer nothing.
func (h *host) steady(rate int, busy float64, answer micros, silent ...control.EndpointID) func() []control.Event {
	return func() []control.Event {
		var events []control.Event
		var heard []control.EndpointLoad
		tries := map[control.EndpointID]float64{}
		for p, z := range []control.Zone{"a", "b", "c"} {
			id, rate := control.ProxyID(p), rate
			if p == 0 {
				rate += h.extra
			}
			for k := range control.RequestClass(2) {
				events = append(events, control.ProxyLoad{Proxy: id, Class: k, Requests: rate / 2, Period: second})
			}
			if len(h.binds[id]) == 0 {
				continue
			}
			lines := h.tables[h.binds[id][0]]
			all := sum(slices.Collect(maps.Values(lines)))
			for _, b := range slices.Sorted(maps.Keys(lines)) {
				if n := float64(rate) * lines[b] / all; !slices.Contains(silent, b) {
					tries[b] += n
					heard = append(heard, control.EndpointLoad{Zone: z, Endpoint: b, Period: second, MeanLatency: answer,
						Attempts: int(n + 0.5), Failures: int(h.errors*n + 0.5)})
				}
			}
		}
		for _, e := range heard {
			e.Metrics = control.LoadMetrics{"busy": min(1, busy*tries[e.Endpoint]/10)}
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
