package coordinator

import (
	"fmt"
	"testing"

	"porthub/policyapi"
)

// BenchmarkRound measures one round of reports: every gateway reports, the decision module and the solver run, documents are
// published and acknowledged.
func BenchmarkRound(b *testing.B) {
	for _, size := range [][2]int{{18, 15}, {100, 300}, {400, 3000}} {
		b.Run(fmt.Sprintf("%d_nodes_%d_gateways", size[0], size[1]), func(b *testing.B) {
			h := newHarness(&testing.T{}, func(s *Settings) {
				s.Start.ProxyCount, s.Start.Rules.QueueLimit = size[1], float64(max(20000, 60*size[1]))
			})
			zones := []policyapi.Zone{"a", "b"}
			var list []policyapi.Endpoint
			for i := range size[0] {
				list = append(list, readyEndpoints(zones[i%2], policyapi.EndpointID(fmt.Sprintf("n%d:1", i)))...)
			}
			h.setEndpoints(list...)
			var names []Gateway
			for i := range size[1] {
				names = append(names, Gateway(fmt.Sprintf("g%d", i)))
				h.connect(names[i], zones[i%2])
			}
			h.advance(5*second, names...)
			b.ReportAllocs()
			for b.Loop() {
				h.advance(second, names...)
			}
		})
	}
}

// BenchmarkDrain measures the second in which a drain is published to ten thousand gateways of a fleet of a hundred endpoints.
func BenchmarkDrain(b *testing.B) {
	h := newHarness(&testing.T{}, func(s *Settings) { s.Start.ProxyCount, s.Start.Rules.QueueLimit = 10000, 4e6 })
	zones := []policyapi.Zone{"a", "b"}
	var list []policyapi.Endpoint
	for i := range 100 {
		list = append(list, readyEndpoints(zones[i%2], policyapi.EndpointID(fmt.Sprintf("n%d:1", i)))...)
	}
	h.setEndpoints(list...)
	for i := range 10000 {
		h.connect(Gateway(fmt.Sprintf("g%d", i)), zones[i%2])
	}
	h.advance(10*second, "g1")
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		for i := range 20 {
			list[i].Status = policyapi.Ready
		}
		list[n%20].Status = policyapi.Draining
		h.setEndpoints(list...)
		h.advance(second) // withheld after at most a quarter of the drain grace period
	}
}

// BenchmarkOverview measures the overview that the terminal view polls.
func BenchmarkOverview(b *testing.B) {
	for _, size := range [][2]int{{100, 300}, {1000, 3000}} {
		b.Run(fmt.Sprintf("%d_nodes_%d_gateways", size[0], size[1]), func(b *testing.B) {
			h := newHarness(&testing.T{}, func(s *Settings) { s.Start.ProxyCount, s.Start.Rules.QueueLimit = size[1], 4e6 })
			zones := []policyapi.Zone{"a", "b"}
			var list []policyapi.Endpoint
			for i := range size[0] {
				list = append(list, readyEndpoints(zones[i%2], policyapi.EndpointID(fmt.Sprintf("n%d:1", i)))...)
			}
			h.setEndpoints(list...)
			var joins []Input
			for i := range size[1] {
				g := Gateway(fmt.Sprintf("g%d", i))
				h.conns[g] = ConnID(i + 1)
				joins = append(joins, GatewayConnected{Gateway: g, Conn: ConnID(i + 1), Zone: zones[i%2], HasDefaultTableOnly: true, Weight: 20})
			}
			h.step(joins...)
			h.advance(8*second, "g1")
			b.ReportAllocs()
			for b.Loop() {
				h.core.Overview()
			}
		})
	}
}
