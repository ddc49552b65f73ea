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

// largeSnapshot returns a snapshot of three classes with the given number of endpoints each. The endpoint whose weight
// differs from the others depends on the version.
func largeSnapshot(endpoints, version int) routing.Snapshot {
	var snapshot routing.Snapshot
	for class := range 3 {
		cluster := routing.Cluster{Class: fmt.Sprint("kind-", class)}
		for i := range endpoints {
			endpoint := routing.ClusterEndpoint{Endpoint: policyapi.EndpointID(fmt.Sprintf("127.0.0.1:%d", 1000+i)), Zone: "hala-a", Weight: 1}
			if i == version%endpoints {
				endpoint.Weight = 1.5
			}
			cluster.Endpoints = append(cluster.Endpoints, endpoint)
		}
		cluster.Sort()
		snapshot.Clusters = append(snapshot.Clusters, cluster)
	}
	return snapshot
}

// BenchmarkChange measures what a change of weights costs a gateway, as a complete document and as a delta: the size of the
// message, and the time to decode and apply it, during which a single-threaded gateway pauses.
func BenchmarkChange(b *testing.B) {
	for _, endpoints := range []int{18, 100, 400} {
		from, to := largeSnapshot(endpoints, 1), largeSnapshot(endpoints, 2)
		classes := []string{"kind-0", "kind-1", "kind-2"}
		document, err := xds.NewEndpointDocument("v", "n", to.Clusters)
		if err != nil {
			b.Fatal(err)
		}
		delta, err := xds.NewEndpointDelta("v", "n", xds.EndpointVersions(from), to)
		if err != nil {
			b.Fatal(err)
		}
		for name, message := range map[string]proto.Message{"whole": document, "delta": delta} {
			text, err := xds.Encode(message)
			if err != nil {
				b.Fatal(err)
			}
			b.Run(fmt.Sprintf("%d_lines_%s", endpoints, name), func(b *testing.B) {
				for b.Loop() {
					if name == "whole" {
						if _, err := xds.ParseDocument(text); err != nil {
							b.Fatal(err)
						}
						continue
					}
					decoded := proto.Clone(delta)
					proto.Reset(decoded)
					if err := xds.Decode(text, decoded); err != nil {
						b.Fatal(err)
					}
					if _, err := xds.ApplyEndpointDelta(classes, from, delta); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(len(text)), "bytes")
				b.ReportMetric(float64(proto.Size(message)), "bytes-binary")
			})
		}
	}
}

// BenchmarkWake has ten thousand pending polls and answers all of them together. It measures the memory of each poll and the
// time until its response.
func BenchmarkWake(b *testing.B) {
	const polls = 10_000
	for b.Loop() {
		latencies := make([]time.Duration, polls)
		var before, after runtime.MemStats
		runtime.GC() // twice, to free the polls of the last iteration
		runtime.GC()
		runtime.ReadMemStats(&before)
		hub := NewHub(polls, 1)
		var start time.Time
		var pending sync.WaitGroup
		for i := range polls {
			pending.Add(1)
			hub.Poll(Request{Gateway: coordinator.Gateway(fmt.Sprint("gw-", i)), Document: coordinator.EndpointsDocument, MaxWait: time.Minute,
				Respond: func(*Response, error) { latencies[i] = time.Since(start); pending.Done() }})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		snapshot := largeSnapshot(18, 1)
		start = time.Now()
		for i := range polls {
			hub.Publish(coordinator.Publish{Gateway: coordinator.Gateway(fmt.Sprint("gw-", i)), Version: "e.1", Nonce: "e.1",
				Snapshot: snapshot, Changed: [2]bool{true, true}})
		}
		pending.Wait()
		runtime.KeepAlive(hub)
		slices.Sort(latencies)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/polls, "bytes/poll")
		b.ReportMetric(float64(latencies[polls/2].Microseconds())/1000, "ms-p50")
		b.ReportMetric(float64(latencies[polls*99/100].Microseconds())/1000, "ms-p99")
	}
}
