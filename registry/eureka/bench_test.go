package eureka_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	emulated "porthub/emulator/eureka"
	"porthub/membership"
	"porthub/registry/eureka"
)

// BenchmarkPoll measures the bytes, the requests and the client's time of one poll by snapshots and by deltas. One endpoint
// changes between polls.
func BenchmarkPoll(b *testing.B) {
	for _, endpoints := range []int{100, 1000} {
		for _, deltas := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d_nodes_deltas_%t", endpoints, deltas), func(b *testing.B) {
				registry := emulated.New()
				peer, err := registry.Listen()
				if err != nil {
					b.Fatal(err)
				}
				defer peer.Close()
				put := func(n int, status string) {
					registry.Put(emulated.Instance{App: "CALC", ID: fmt.Sprint("c-", n), IP: "127.0.0.1", Port: 9000 + n, Status: status,
						Metadata: map[string]string{"zone": "a", "weight": "2", "pod": "1", "machine": "std"}})
				}
				for n := range endpoints {
					put(n, "UP")
				}
				registry.DropDeltas() // deltas do not contain endpoints that were registered long ago
				updates := make(chan membership.SourceUpdate)
				client := eureka.New(eureka.Options{Name: "eureka", Addresses: []string{peer.Addr}, Deltas: deltas,
					PollInterval: time.Microsecond, Timeout: 5 * time.Second, MetadataKeys: map[string]string{"zone": "zone"}}, func(update membership.SourceUpdate) { updates <- update })
				ctx, cancel := context.WithCancel(context.Background())
				done := make(chan struct{})
				go func() { defer close(done); client.Run(ctx) }()
				<-updates
				before := client.Stats()
				n := 0
				for b.Loop() {
					put(n%endpoints, []string{"OUT_OF_SERVICE", "UP"}[n/endpoints%2])
					if n++; n%30 == 0 {
						registry.DropDeltas() // deltas are kept for 90 s, which is 30 polls with an interval of 3 s
					}
					if update := <-updates; update.Error != "" {
						b.Fatal(update.Error)
					}
				}
				after := client.Stats()
				cancel()
				go func() {
					for range updates {
					}
				}()
				<-done
				close(updates)
				b.ReportMetric(float64(after.Bytes-before.Bytes)/float64(n), "bytes/poll")
				b.ReportMetric(float64(after.Requests-before.Requests)/float64(n), "calls/poll")
			})
		}
	}
}
