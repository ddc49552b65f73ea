package proxyproto_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"porthub/policyapi"
)

var surgeSeeds = flag.Uint64("surge-seeds", 2, "number of additional seeds for the large surge")

// fullSizeSettings returns the settings of a deployment of 200 endpoints and 2,400 proxies under five coordinators.
func fullSizeSettings() policyapi.Start {
	return policyapi.Start{
		InstanceCount: 5,
		ProxyCount:    2400,
		PollsList:     true,
		Admission:     policyapi.AdmissionByRate,
		Zone:          "a",
		Zones:         []policyapi.Zone{"a", "b", "c"},
		Classes: []policyapi.ClassSettings{
			{Name: "schedule", Idempotency: policyapi.Idempotent, LatencyObjective: 750_000, ClientTimeout: 2_500_000, PriorityWeight: 1},
			{Name: "capacity", Idempotency: policyapi.Idempotent, LatencyObjective: 800_000, ClientTimeout: 2_500_000, PriorityWeight: 1},
			{Name: "save", LatencyObjective: 750_000, ClientTimeout: 2_000_000, PriorityWeight: 2},
		},
		Rules: policyapi.RuleSettings{
			EmptyTableLimit:     18 * second,
			DrainGracePeriod:    11_100_000,
			WarmUp:              17 * second,
			InitialCapacity:     0.16,
			OverloadFactor:      2.5,
			OverloadWindow:      2 * second,
			PollInterval:        10 * second,
			QueueLimit:          62400,
			MessageLimit:        20,
			MessageWindow:       10 * second,
			HealthChecksAllowed: true,
		},
		Channel: policyapi.ChannelSettings{
			LinesPerSecond:      6700,
			MessageOverhead:     6,
			Latency:             330_000,
			MaxLatency:          825_000,
			EndpointConnections: 219,
		},
		Reports: policyapi.ReportSettings{
			Period:            second,
			MaxLinesPerSecond: 200,
			MetricsInReports:  true,
			MetricNames:       []string{"busy", "q"},
		},
	}
}

// Most coordinators are killed while a release replaces half of the endpoints: the proxies connect to the remaining coordinator
// with the tables of the others, while endpoints drain every half second. Their tables are replaced within the grace period.
func TestSurgeOfProxiesDuringARelease(t *testing.T) { runSurge(t, 1000) }

// The same surge with as many proxies as five coordinators of the simulated days have: the channel cannot deliver all their tables
// within the grace period.
func TestLargeSurgeOfProxiesDuringARelease(t *testing.T) { runSurge(t, 1800) }

// The large surge with additional seeds: go test ./proxyproto -run TestLargeSurgeOnMoreSeeds -surge-seeds 20
func TestLargeSurgeOnMoreSeeds(t *testing.T) { runSurgeOn(t, 1800, 3, *surgeSeeds) }

func runSurge(t *testing.T, proxies int) { runSurgeOn(t, proxies, 0, 3) }

func runSurgeOn(t *testing.T, proxies int, firstSeed, seeds uint64) {
	for seed := firstSeed; seed < firstSeed+seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 3))
			m := newFleetModel(t, fullSizeSettings(), seed)
			var ids []policyapi.EndpointID
			for i := range 200 {
				endpoint := policyapi.Endpoint{ID: policyapi.EndpointID(fmt.Sprintf("s-%03d", i)), Zone: m.settings.Zones[i%3], Weight: 0.8 + 0.4*random.Float64(),
					Pod: policyapi.PodID(i % 40), MachineType: "std"}
				m.list[endpoint.ID] = endpoint
				ids = append(ids, endpoint.ID)
			}
			m.deliverList(m.endpointUpdate(policyapi.Snapshot))
			load := func() float64 { return 0.3 + 0.6*random.ExpFloat64() }
			zone := func(proxy int) policyapi.Zone { return m.settings.Zones[proxy%3] }
			for proxy := range 400 {
				m.connect(policyapi.ProxyID(proxy), zone(proxy), load())
			}
			m.reportLoad()
			m.run(8 * second)
			random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
			for wave := range 4 {
				m.after(policyapi.Microseconds(wave)*second/2, func() { m.release(wave, ids[wave*25:(wave+1)*25]) })
			}
			for proxy := 400; proxy < 400+proxies; proxy++ {
				earlierTable := []policyapi.EndpointID{ids[random.IntN(200)], ids[random.IntN(200)], ids[random.IntN(200)]}
				m.after(policyapi.Microseconds(300_000+random.Int64N(2_000_000)), func() { m.connect(policyapi.ProxyID(proxy), zone(proxy), load(), earlierTable...) })
				m.after(policyapi.Microseconds(5_000_000+random.Int64N(9_000_000)), func() { m.disconnect(policyapi.ProxyID(proxy)) })
			}
			m.run(20 * second)
			if n := len(m.oracle.findings); n > 0 {
				t.Errorf("got %d findings, want none; first: %s", n, m.oracle.findings[0])
			}
		})
	}
}

// release drains endpoints and lists a new one for each.
func (m *fleetModel) release(wave int, ids []policyapi.EndpointID) {
	var endpoints []policyapi.Endpoint
	for i, id := range ids {
		e := m.list[id]
		e.Status = policyapi.Draining
		replacement := e
		replacement.ID, replacement.Status, replacement.StartedAt = policyapi.EndpointID(fmt.Sprintf("n-%d-%02d", wave, i)), policyapi.Ready, m.now
		endpoints = append(endpoints, e, replacement)
	}
	m.applyDelta(endpoints...)
}
