package policy

import (
	"maps"
	"slices"
	"testing"

	"porthub/policyapi"
)

const (
	// hostBusyShare is the busy share at ten attempts per second of the endpoints in these tests, and hostCapacity the number of
	// requests per second that they therefore serve.
	hostBusyShare, hostCapacity = 0.8, 12.5
	// spoiltCount is a number in a report that no fleet reaches.
	spoiltCount = 2_000_000_000
)

// newWarmHost returns a host of a fleet that has been reported on for long enough to know its speeds.
func newWarmHost(t *testing.T) *host {
	t.Helper()
	h := newHost(t, func(start *policyapi.Start) { start.Rules.InitialCapacity = 0.16 })
	h.startFleet()
	h.advance(20*second, h.steadyReports(20, hostBusyShare, 200_000))
	return h
}

// spoilOnce returns a function that changes the last event of the next reports that change accepts, and no other. An endpoint's
// metrics are those of the last report on it.
func spoilOnce(reports func() []policyapi.Event, change func(policyapi.Event) (policyapi.Event, bool)) func() []policyapi.Event {
	spoilt := false
	return func() []policyapi.Event {
		events := reports()
		for i := len(events) - 1; i >= 0; i-- {
			if changed, ok := change(events[i]); ok && !spoilt {
				events[i] = changed
				spoilt = true
			}
		}
		return events
	}
}

// loadOf returns the requests per second that an endpoint gets by the tables of the first class, if each proxy gets rate.
func (h *host) loadOf(id policyapi.EndpointID, rate float64) (load float64) {
	for _, tables := range h.binds {
		lines := h.tables[tables[0]]
		load += rate * lines[id] / sum(slices.Collect(maps.Values(lines)))
	}
	return load
}

// checkColdLoad advances the clock through the warm-up of an endpoint that has just started, and checks that its load stays below
// the rule's bound: OverloadFactor times its present capacity.
func (h *host) checkColdLoad(id policyapi.EndpointID, reports func() []policyapi.Event) {
	h.t.Helper()
	startedAt := h.now
	rules := h.instance.planner.settings.rules
	for h.now < startedAt+rules.WarmUp {
		h.advance(second, reports)
		progress := rules.InitialCapacity + (1-rules.InitialCapacity)*float64(h.now-startedAt)/float64(rules.WarmUp)
		budget := rules.OverloadFactor * progress * hostCapacity
		if load := h.loadOf(id, 20); load > budget {
			h.t.Errorf("%d s after its start %s gets %.1f requests per second, want at most %.1f", (h.now-startedAt)/second, id, load, budget)
		}
	}
}

// spoilEndpointLoad returns a change for spoilOnce that spoils a report on endpoint a1.
func spoilEndpointLoad(spoil func(*policyapi.EndpointLoad)) func(policyapi.Event) (policyapi.Event, bool) {
	return func(event policyapi.Event) (policyapi.Event, bool) {
		load, is := event.(policyapi.EndpointLoad)
		if !is || load.Endpoint != "a1" {
			return event, false
		}
		load.Metrics = maps.Clone(load.Metrics)
		spoil(&load)
		return load, true
	}
}

// spoiltReports are reports of which one field is out of range.
var spoiltReports = map[string]func(policyapi.Event) (policyapi.Event, bool){
	"attempts": spoilEndpointLoad(func(load *policyapi.EndpointLoad) { load.Attempts = spoiltCount }),
	"attempts and failures": spoilEndpointLoad(func(load *policyapi.EndpointLoad) {
		load.Attempts = spoiltCount
		load.Failures = spoiltCount - 10
	}),
	"attempts and period": spoilEndpointLoad(func(load *policyapi.EndpointLoad) {
		load.Attempts = spoiltCount
		load.Period = 3600 * second
	}),
	"some attempts":    spoilEndpointLoad(func(load *policyapi.EndpointLoad) { load.Attempts = 1000 }),
	"period":           spoilEndpointLoad(func(load *policyapi.EndpointLoad) { load.Period = 3600 * second }),
	"no latency":       spoilEndpointLoad(func(load *policyapi.EndpointLoad) { load.MeanLatency = 0 }),
	"long latency":     spoilEndpointLoad(func(load *policyapi.EndpointLoad) { load.MeanLatency = 4 * second }),
	"small busy share": spoilEndpointLoad(func(load *policyapi.EndpointLoad) { load.Metrics["busy"] = 1.01 * minLearnBusy }),
	"large busy share": spoilEndpointLoad(func(load *policyapi.EndpointLoad) { load.Metrics["busy"] = spoiltCount }),
	"queue":            spoilEndpointLoad(func(load *policyapi.EndpointLoad) { load.Metrics["q"] = spoiltCount }),
	"endpoint's rate":  spoilEndpointLoad(func(load *policyapi.EndpointLoad) { load.Metrics["rate"] = spoiltCount }),
	"proxy's requests": func(event policyapi.Event) (policyapi.Event, bool) {
		load, is := event.(policyapi.ProxyLoad)
		load.Requests = spoiltCount
		return load, is
	},
}

// afterSpoiltReport runs a subtest for each of the spoiltReports, with a host whose last rounds had that report and with the good
// reports that follow.
func afterSpoiltReport(t *testing.T, rounds micros, test func(h *host, reports func() []policyapi.Event)) {
	for name, spoil := range spoiltReports {
		t.Run(name, func(t *testing.T) {
			h := newWarmHost(t)
			reports := h.steadyReports(20, hostBusyShare, 200_000)
			h.advance(rounds*second, spoilOnce(reports, spoil))
			test(h, reports)
		})
	}
}

// One report with a field out of range must not make endpoints that start afterwards get more than they can serve: they replaced
// others and were sent up to 2.87 times their budget, because the estimate of the fleet's speed had counted the report.
func TestSpoiltReportBeforeReplacement(t *testing.T) {
	afterSpoiltReport(t, 3, func(h *host, reports func() []policyapi.Event) {
		replacement := readyEndpoints("b", "b3")[0]
		replacement.StartedAt = h.now
		drained := readyEndpoints("b", "b1")[0]
		drained.Status = policyapi.Draining
		h.step(policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: []policyapi.Endpoint{drained, replacement}})
		h.checkColdLoad("b3", reports)
	})
}

// One report with a field out of range must not make the endpoint that it names get more than it can serve when it restarts: what
// was learned of its speed is retained over a restart.
func TestSpoiltReportBeforeRestart(t *testing.T) {
	afterSpoiltReport(t, 3, func(h *host, reports func() []policyapi.Event) {
		restarted := readyEndpoints("a", "a1")
		restarted[0].StartedAt = h.now
		h.step(policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: restarted})
		h.checkColdLoad("a1", reports)
	})
}

// One report with a field out of range must not change what the coordinator knows of the fleet for longer than a few rounds: the
// capacity was given as 16 million requests per second half a minute later.
func TestSpoiltReportIsForgotten(t *testing.T) {
	before := newWarmHost(t).instance.State()
	afterSpoiltReport(t, 10, func(h *host, _ func() []policyapi.Event) {
		state := h.instance.State()
		if state.Capacity < 0.75*before.Capacity || state.Capacity > before.Capacity/0.75 {
			h.t.Errorf("the capacity is %.1f, want about %.1f", state.Capacity, before.Capacity)
		}
		if state.Demand < 0.9*before.Demand || state.Demand > before.Demand/0.9 {
			h.t.Errorf("the demand is %.1f, want about %.1f", state.Demand, before.Demand)
		}
		if state.Ejected > 0 || state.AdmittedRate > 0 {
			h.t.Errorf("%d endpoints are ejected and the admitted rate is %.1f, want none and no limit", state.Ejected, state.AdmittedRate)
		}
	})
}

// Operators can see that a report was limited, and that good ones are not.
func TestLimitedReportsAreCounted(t *testing.T) {
	h := newWarmHost(t)
	if n := h.instance.State().LimitedReports; n != 0 {
		t.Errorf("%d reports count as limited before the spoilt one, want none", n)
	}
	h.advance(3*second, spoilOnce(h.steadyReports(20, hostBusyShare, 200_000), spoiltReports["attempts"]))
	if n := h.instance.State().LimitedReports; n != 1 {
		t.Errorf("%d reports count as limited after the spoilt one, want 1", n)
	}
}

// An endpoint that reports its own rate once, and not again, is not taken to serve other instances from then on.
func TestRateThatIsNotRepeatedIsForgotten(t *testing.T) {
	h := newWarmHost(t)
	reports := h.steadyReports(20, hostBusyShare, 200_000)
	h.advance(second, spoilOnce(reports, spoilEndpointLoad(func(load *policyapi.EndpointLoad) { load.Metrics["rate"] = 30 })))
	h.advance(recentReportWindow+second, reports)
	if external := h.instance.planner.endpoints["a1"].load.externalLoad; external > 0 {
		t.Errorf("the external load of a1 is %.1f requests per second, want 0", external)
	}
}

// A report that shows a true surge raises the limits, so that after a few rounds
// all of it counts: at one proxy a hundredfold, at all proxies thirtyfold while nine of ten attempts fail.
func TestTrueSurgeCounts(t *testing.T) {
	t.Run("one proxy", func(t *testing.T) {
		h := newWarmHost(t)
		h.extraRate = 2000
		h.advance(6*second, h.steadyReports(20, hostBusyShare, 200_000))
		if demand := h.instance.State().Demand; demand < 0.95*2060 {
			t.Errorf("the demand is %.1f, want about 2060", demand)
		}
	})
	t.Run("all proxies", func(t *testing.T) {
		h := newWarmHost(t)
		h.failureRate = 0.9
		h.advance(6*second, h.steadyReports(600, hostBusyShare, 200_000))
		state := h.instance.State()
		if state.Demand < 0.95*1800 || state.AdmittedRate <= 0 {
			t.Errorf("the demand is %.1f and the admitted rate %.1f, want about 1800 and a limit", state.Demand, state.AdmittedRate)
		}
		if state.Served < 0.9*180 {
			t.Errorf("%.1f requests per second count as served, want about 180", state.Served)
		}
	})
}

// Endpoints that have become five times as fast are known to be so after a few busy seconds.
func TestTrueSpeedIsLearned(t *testing.T) {
	h := newWarmHost(t)
	before := h.instance.State().Capacity
	h.advance(40*second, h.steadyReports(100, hostBusyShare/5, 50_000))
	if capacity := h.instance.State().Capacity; capacity < 4*before {
		t.Errorf("the capacity is %.1f, want about five times %.1f", capacity, before)
	}
}

// The rough figure that a proxy connects with counts up to a multiple of what the others have, and not at all once it is reported.
func TestDemandOfConnectingProxyIsLimited(t *testing.T) {
	h := newWarmHost(t)
	h.step(policyapi.ProxyConnected{Proxy: 3, Zone: "a", Weight: spoiltCount})
	if demand := h.instance.State().Demand; demand > 60+20*maxSurge+1 {
		t.Errorf("the demand is %.1f after a proxy has connected, want at most %d", demand, 60+20*maxSurge)
	}
	reports := h.steadyReports(20, hostBusyShare, 200_000)
	h.advance(10*second, func() []policyapi.Event {
		events := reports()
		for class := range hostClasses {
			events = append(events, policyapi.ProxyLoad{Proxy: 3, Class: class, Requests: 10, Period: second})
		}
		return events
	})
	if demand := h.instance.State().Demand; demand < 79 || demand > 85 {
		t.Errorf("the demand is %.1f once the proxy is reported, want about 80", demand)
	}
}
