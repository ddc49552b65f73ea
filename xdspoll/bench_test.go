package xdspoll

import (
	"fmt"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"porthub/coordinator"
	"porthub/policyapi"
	"porthub/routing"
	"porthub/xds"
)

// large is a gateway's snapshot: three classes with so many endpoints each.
func large(lines, version int) routing.Snapshot {
	var s routing.Snapshot
	for k := range 3 {
		c := routing.Cluster{Class: fmt.Sprint("kind-", k)}
		for i := range lines {
			l := routing.ClusterEndpoint{Endpoint: policyapi.EndpointID(fmt.Sprintf("127.0.0.1:%d", 1000+i)), Zone: "hala-a", Weight: 1}
			if i == version%lines {
				l.Weight = 1.5
			}
			c.Endpoints = append(c.Endpoints, l)
		}
		c.Sort()
		s.Clusters = append(s.Clusters, c)
	}
	return s
}

// BenchmarkChange is what a change of one weight costs a gateway, as a complete document or as a delta: bytes of the text and the time to
// read and apply it, for which a single-threaded gateway pauses.
func BenchmarkChange(b *testing.B) {
	for _, lines := range []int{18, 100, 400} {
		from, to := large(lines, 1), large(lines, 2)
		kinds := []string{"kind-0", "kind-1", "kind-2"}
		whole, err := xds.NewEndpointDocument("v", "n", to.Clusters)
		if err != nil {
			b.Fatal(err)
		}
		delta, err := xds.NewEndpointDelta("v", "n", xds.EndpointVersions(from), to)
		if err != nil {
			b.Fatal(err)
		}
		for name, m := range map[string]proto.Message{"whole": whole, "delta": delta} {
			text, err := xds.Encode(m)
			if err != nil {
				b.Fatal(err)
			}
			b.Run(fmt.Sprintf("%d_lines_%s", lines, name), func(b *testing.B) {
				for b.Loop() {
					if name == "whole" {
						if _, err := xds.ParseDocument(text); err != nil {
							b.Fatal(err)
						}
						continue
					}
					d := proto.Clone(delta)
					proto.Reset(d)
					if err := xds.Decode(text, d); err != nil {
						b.Fatal(err)
					}
					if _, err := xds.ApplyEndpointDelta(kinds, from, delta); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(len(text)), "bytes")
				b.ReportMetric(float64(proto.Size(m)), "bytes-binary")
			})
		}
	}
}

// BenchmarkWake holds ten thousand polls and wakes them at once: memory for each, and the time until one is answered.
func BenchmarkWake(b *testing.B) {
	const many = 10_000
	for b.Loop() {
		took := make([]time.Duration, many)
		var before, after runtime.MemStats
		runtime.GC() // twice: the last round's polls are freed
		runtime.GC()
		runtime.ReadMemStats(&before)
		h := NewHub(many, 1)
		var began time.Time
		var answered sync.WaitGroup
		for i := range many {
			answered.Add(1)
			h.Poll(Request{Gateway: coordinator.Gateway(fmt.Sprint("gw-", i)), Document: coordinator.EndpointsDocument, MaxWait: time.Minute,
				Respond: func(*Response, error) { took[i] = time.Since(began); answered.Done() }})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		s := large(18, 1)
		began = time.Now()
		for i := range many {
			h.Publish(coordinator.Publish{Gateway: coordinator.Gateway(fmt.Sprint("gw-", i)), Version: "e.1", Nonce: "e.1", Snapshot: s, Changed: [2]bool{true, true}})
		}
		answered.Wait()
		runtime.KeepAlive(h)
		slices.Sort(took)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/many, "bytes/poll")
		b.ReportMetric(float64(took[many/2].Microseconds())/1000, "ms-p50")
		b.ReportMetric(float64(took[many*99/100].Microseconds())/1000, "ms-p99")
	}
}
