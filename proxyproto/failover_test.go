package proxyproto_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"porthub/policyapi"
)

// newFailoverModel returns the model of a coordinator with 200 endpoints and 468 proxies of its own. Four other coordinators are
// killed after 8 s, in the middle of a release: their 2,100 proxies connect within 1.7 s and return to their own coordinators 3
// to 11 s later.
func newFailoverModel(t *testing.T, seed uint64) *fleetModel {
	random := rand.New(rand.NewPCG(seed, 5))
	m := newFleetModel(t, fullSizeSettings(), seed)
	var ids []policyapi.EndpointID
	for i := range 200 {
		endpoint := policyapi.Endpoint{ID: policyapi.EndpointID(fmt.Sprintf("s-%03d", i)), Zone: m.settings.Zones[i%3], Weight: 1, Pod: policyapi.PodID(i % 40)}
		m.list[endpoint.ID] = endpoint
		ids = append(ids, endpoint.ID)
	}
	m.deliverList(m.endpointUpdate(policyapi.Snapshot))
	connect := func(proxy int, earlierTable ...policyapi.EndpointID) {
		m.connect(policyapi.ProxyID(proxy), m.settings.Zones[proxy%3], 0.3+0.6*random.ExpFloat64(), earlierTable...)
	}
	for proxy := range 468 {
		connect(proxy)
	}
	m.reportLoad()
	m.run(8 * second)
	random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for wave := range 4 {
		m.after(policyapi.Microseconds(wave)*2*second, func() { m.release(wave, ids[wave*25:(wave+1)*25]) })
	}
	for proxy := 468; proxy < 468+2100; proxy++ {
		arrival := policyapi.Microseconds(random.Int64N(int64(17 * second / 10)))
		m.after(arrival, func() { connect(proxy, ids[random.IntN(200)], ids[random.IntN(200)], ids[random.IntN(200)]) })
		m.after(arrival+3*second+policyapi.Microseconds(random.Int64N(int64(8*second))), func() { m.disconnect(policyapi.ProxyID(proxy)) })
	}
	return m
}

// Most of the proxies that connected after the failure of other coordinators disconnect while messages for them are queued. The
// module's estimate of the queued lines differs from the true number by no more than the channel carries until acknowledgements
// arrive: within twice the longest latency and a report period.
//
// Regression: on a simulated day (seed 88117 of herd+mass) the one remaining coordinator estimated 61,000 queued lines for eight
// seconds, while 28,000 and then 4,000 lines were queued. It counted up to 34,700 lines for proxies that had disconnected, and
// therefore held back tables and levels from the proxies that stayed.
func TestQueueEstimateWhileProxiesLeave(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := newFailoverModel(t, seed)
			ackTime := 2*m.settings.Channel.MaxLatency + m.settings.Reports.Period
			allowed := m.settings.Channel.LinesPerSecond * float64(ackTime) / float64(second)
			worst, at := 0.0, policyapi.Microseconds(0)
			for begin := m.now; m.now < begin+13*second; {
				m.run(second / 4)
				if difference := math.Abs(m.module.State().QueuedLines - m.waitingLines()); difference > worst {
					worst, at = difference, m.now-begin
				}
			}
			if worst > allowed {
				t.Errorf("%.1f s after the kill the estimate of queued lines is wrong by %.0f lines, want at most %.0f",
					float64(at)/float64(second), worst, allowed)
			}
			if n := len(m.oracle.findings); n > 0 {
				t.Errorf("got %d findings, want none; first: %s", n, m.oracle.findings[0])
			}
		})
	}
}
