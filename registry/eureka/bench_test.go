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

// BenchmarkPoll measures the bytes and the client's time of one poll, with one endpoint changed between polls, for
// snapshots and for deltas.
func BenchmarkPoll(b *testing.B) {
	for _, nodes := range []int{100, 1000} {
		for _, deltas := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d_nodes_deltas_%t", nodes, deltas), func(b *testing.B) {
				reg := emulated.New()
				p, err := reg.Listen()
				if err != nil {
					b.Fatal(err)
				}
				defer p.Close()
				put := func(n int, status string) {
					reg.Put(emulated.Instance{App: "CALC", ID: fmt.Sprint("c-", n), IP: "127.0.0.1", Port: 9000 + n, Status: status,
						Metadata: map[string]string{"zone": "a", "weight": "2", "pod": "1", "machine": "std"}})
				}
				for n := range nodes {
					put(n, "UP")
				}
				reg.DropDeltas() // what was registered long ago is in no delta
				answers := make(chan membership.SourceUpdate)
				c := eureka.New(eureka.Options{Name: "eureka", Addresses: []string{p.Addr}, Deltas: deltas, PollInterval: time.Microsecond, Timeout: 5 * time.Second,
					MetadataKeys: map[string]string{"zone": "zone"}}, func(a membership.SourceUpdate) { answers <- a })
				ctx, cancel := context.WithCancel(context.Background())
				done := make(chan struct{})
				go func() { defer close(done); c.Run(ctx) }()
				<-answers
				before := c.Stats()
				n := 0
				for b.Loop() {
					put(n%nodes, []string{"OUT_OF_SERVICE", "UP"}[n/nodes%2])
					if n++; n%30 == 0 {
						reg.DropDeltas() // a minute and a half at a poll each three seconds
					}
					if a := <-answers; a.Error != "" {
						b.Fatal(a.Error)
					}
				}
				s := c.Stats()
				cancel()
				go func() {
					for range answers {
					}
				}()
				<-done
				close(answers)
				b.ReportMetric(float64(s.Bytes-before.Bytes)/float64(n), "bytes/poll")
				b.ReportMetric(float64(s.Requests-before.Requests)/float64(n), "calls/poll")
			})
		}
	}
}
