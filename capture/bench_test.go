package capture

import (
	"fmt"
	"runtime"
	"testing"

	"porthub/coordinator"
	"porthub/policyapi"
)

// BenchmarkRecord measures the cost of recording one round of load reports for several sizes of the fleet. Each gateway reports
// on the endpoints of its zone, a third of all and at most 20, for three request classes.
func BenchmarkRecord(b *testing.B) {
	for _, size := range [][2]int{{18, 15}, {100, 300}} {
		b.Run(fmt.Sprintf("%d_nodes_%d_gateways", size[0], size[1]), func(b *testing.B) {
			w := NewWriter(b.TempDir(), Limits{})
			var inputs []coordinator.Input
			for g := range size[1] {
				r := coordinator.LoadReport{Gateway: coordinator.Gateway(fmt.Sprint("gw-", g)), Conn: coordinator.ConnID(g), Sequence: 7, Interval: second}
				for _, class := range []string{"schedule", "capacity", "save-sim"} {
					report := coordinator.ClassReport{Class: class, Arrivals: 30}
					for n := range min(20, size[0]/3) {
						report.Endpoints = append(report.Endpoints, coordinator.EndpointReport{Endpoint: policyapi.EndpointID(fmt.Sprintf("127.0.0.1:%d", 40000+3*n+g%3)), Attempts: 3 + n + g,
							MeanLatency: policyapi.Microseconds(160_000 + 100*n + g), Metrics: policyapi.LoadMetrics{"busy": 0.4 + float64(n)/100, "q": float64(g % 4)}})
					}
					r.Classes = append(r.Classes, report)
				}
				inputs = append(inputs, r)
			}
			n := 0
			for b.Loop() {
				w.Append(&Record{Step: &Step{Now: policyapi.Microseconds(n), Inputs: inputs}})
				n++
				for w.Written()+uint64(cap(w.queue))/2 < uint64(n) {
					runtime.Gosched()
				}
			}
			w.Close()
			s := w.Stats()
			b.ReportMetric(float64(s.BusyMicroseconds)/float64(s.Records)/float64(len(inputs)), "us/input")
			b.ReportMetric(float64(s.Bytes)/float64(s.Records)/float64(len(inputs)), "bytes/input")
		})
	}
}
