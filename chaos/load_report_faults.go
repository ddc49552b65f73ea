package chaos

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"porthub/audit"
	"porthub/emulator"
	"porthub/policyapi"
	"porthub/routing"
)

// lightFault is a fault of a lightweight fleet.
type lightFault struct {
	position float64 // when it is injected, as a fraction of the run's length
	inject   func()
}

// injectFaults injects the faults one after the other until the context ends.
func (f *lightFleet) injectFaults(ctx context.Context, start time.Duration, result *LoadReportResult) {
	failing := f.readyEndpoints(0, max(1, f.options.Endpoints/33))
	length := float64(f.options.Seconds) * float64(time.Second)
	for _, fault := range []lightFault{
		{0.12, func() { setFailing(failing, true) }}, // all gateways that use these endpoints report failures at the same time
		{0.24, func() { setFailing(failing, false) }},
		{0.36, f.drainEndpoints},
		{0.46, f.restartEndpoints},
		{0.6, func() { f.restartCoordinator(ctx, result) }},
		{0.8, f.stopSomeReports},
		{0.88, func() { f.coordinator.pause(500 * time.Millisecond); f.recordChange() }},
	} {
		sleepContext(ctx, start+time.Duration(fault.position*length)-f.world.Now())
		f.recordChange()
		if ctx.Err() != nil {
			return
		}
		fault.inject()
		if f.coordinator.failure() != nil {
			return // the coordinator could not be restarted
		}
	}
}

func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (f *lightFleet) recordChange() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changes = append(f.changes, f.world.Now())
}

// readyEndpoints returns up to n ready endpoints, beginning at an index. Adjacent endpoints of the fleet are in different zones.
func (f *lightFleet) readyEndpoints(from, n int) []*emulator.LightEndpoint {
	var ready []*emulator.LightEndpoint
	for _, e := range f.endpoints[min(from, len(f.endpoints)):] {
		if len(ready) == n {
			break
		}
		if f.stateOf(e) == audit.Ready {
			ready = append(ready, e)
		}
	}
	return ready
}

func setFailing(endpoints []*emulator.LightEndpoint, on bool) {
	for _, e := range endpoints {
		e.SetFailing(on)
	}
}

// drainEndpoints drains two endpoints. The drain of the first of them is measured.
func (f *lightFleet) drainEndpoints() {
	draining := f.readyEndpoints(f.options.Endpoints/4, 2)
	f.mu.Lock()
	for _, e := range draining {
		f.states[e.Name] = audit.Draining
	}
	f.mu.Unlock()
	_ = f.writeList() // a failed write shows in the result, as late or missing drain times
	f.mu.Lock()
	f.drainedAt = f.world.Now()
	f.mu.Unlock()
}

// restartEndpoints restarts a tenth of the endpoints at the same time. The list contains their start times after a delay.
func (f *lightFleet) restartEndpoints() {
	const (
		downTime  = 700 * time.Millisecond
		listDelay = time.Second
	)
	restarted := f.readyEndpoints(f.options.Endpoints/2, max(1, f.options.Endpoints/10))
	setFailing(restarted, true)
	time.Sleep(downTime)
	for _, e := range restarted {
		startedAt := e.Restart()
		f.mu.Lock()
		f.startedAt[e.Name] = startedAt
		f.mu.Unlock()
		e.SetFailing(false)
	}
	time.Sleep(listDelay)
	_ = f.writeList() // a failed write shows in the result, as the list lacks the start times
}

// restartCoordinator kills the coordinator, restarts it and records the time from when it listens again until all gateways are
// connected.
func (f *lightFleet) restartCoordinator(ctx context.Context, result *LoadReportResult) {
	f.coordinator.kill()
	time.Sleep(2 * time.Second)
	if err := f.coordinator.start(); err != nil {
		return // injectFaults returns too
	}
	start := f.world.Now()
	time.Sleep(500 * time.Millisecond) // time for the gateways to detect the broken connections
	for ctx.Err() == nil && f.countGateways((*emulator.LightGateway).Connected) < len(f.gateways) {
		time.Sleep(20 * time.Millisecond)
	}
	reconnected := (f.world.Now() - start).Seconds()
	if ctx.Err() != nil {
		reconnected = -1
	}
	result.ReconnectSeconds = append(result.ReconnectSeconds, reconnected)
	f.recordChange()
}

// stopSomeReports makes every twentieth gateway stop reporting; it stays connected.
func (f *lightFleet) stopSomeReports() {
	for i := range len(f.gateways) / 20 {
		f.gateways[20*i].StopReporting()
	}
}

// startHostilePeers starts two peers that send random bytes as fast as the coordinator accepts them, and twenty that send one
// byte per second. They stop when the context ends.
func (f *lightFleet) startHostilePeers(ctx context.Context, goroutines *sync.WaitGroup) {
	garbage := make([]byte, 4096)
	rng := f.world.Rand("garbage")
	for i := range garbage {
		garbage[i] = byte(rng.Uint32())
	}
	sendGarbage := func(c net.Conn) error {
		_, err := c.Write(garbage)
		return err
	}
	sendSlowly := func(c net.Conn) error {
		_, err := c.Write([]byte("P"))
		sleepContext(ctx, time.Second)
		return err
	}
	for range 2 {
		goroutines.Go(func() { f.runHostilePeer(ctx, sendGarbage) })
	}
	for range 20 {
		goroutines.Go(func() { f.runHostilePeer(ctx, sendSlowly) })
	}
}

// runHostilePeer connects to the coordinator, sends until the connection breaks, and reconnects, until the context ends.
func (f *lightFleet) runHostilePeer(ctx context.Context, send func(net.Conn) error) {
	dialer := &net.Dialer{Timeout: time.Second}
	for ctx.Err() == nil {
		if c, err := dialer.DialContext(ctx, "tcp", f.coordinator.address()); err == nil {
			stop := context.AfterFunc(ctx, func() { _ = c.Close() })
			for ctx.Err() == nil && send(c) == nil {
				continue
			}
			stop()
			_ = c.Close()
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// corruption returns the function that corrupts a gateway's tables so that the audit must report a violated rule; nil if the
// gateway's tables are not corrupted.
func (f *lightFleet) corruption(gateway int) func(*routing.Snapshot) {
	switch f.options.BreakRule {
	case audit.EmptyTable:
		if gateway == 0 {
			return emptyFirstCluster
		}
	case audit.DuplicateEffect:
		if gateway == 0 {
			return retryAllClasses
		}
	case audit.Drain:
		return keepLightEndpoints()
	case audit.WarmUp:
		return f.sendAllToRestarted
	}
	return nil
}

func retryAllClasses(s *routing.Snapshot) {
	s.Routes = slices.Clone(s.Routes)
	for i := range s.Routes {
		s.Routes[i].RetryPolicy = policyapi.RetryTwice
	}
}

// keepLightEndpoints returns a function that adds all endpoints of a gateway's earlier tables to each table.
func keepLightEndpoints() func(*routing.Snapshot) {
	seen := map[string]routing.ClusterEndpoint{} // by cluster and endpoint
	return func(s *routing.Snapshot) {
		for i := range s.Clusters {
			for _, endpoint := range s.Clusters[i].Endpoints {
				endpoint.Withheld = false
				seen[fmt.Sprint(i, endpoint.Endpoint)] = endpoint
			}
			s.Clusters[i].Endpoints = slices.Collect(maps.Values(seen))
		}
	}
}

// sendAllToRestarted reduces each cluster to a single endpoint that has been restarted, if there is one.
func (f *lightFleet) sendAllToRestarted(s *routing.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.endpoints {
		if f.startedAt[e.Name] <= 0 {
			continue
		}
		for i := range s.Clusters {
			s.Clusters[i].Endpoints = []routing.ClusterEndpoint{
				{Endpoint: policyapi.EndpointID(e.Name), Zone: policyapi.Zone(e.Zone), Weight: 1}}
		}
	}
}
