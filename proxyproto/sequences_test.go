package proxyproto_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"

	"porthub/policyapi"
)

var (
	sequences     = flag.Int("sequences", 120, "number of random sequences of fleet events to run")
	reported      = flag.Int("reported", 2, "number of failed sequences of each rule to report in full")
	firstSequence = flag.Uint64("first-sequence", 1, "seed of the first sequence")
)

// deployment contains the settings of a sequence and the numbers of its endpoints and proxies.
type deployment struct {
	initialSettings policyapi.Start
	perZone         int  // initial endpoints of each zone
	maxProxies      int  // maximum number of proxies
	slowChannel     bool // the channel can't carry the tables of all proxies within half of the grace period
}

// sequence is a random sequence of fleet events at one coordinator. Its deployment and events are drawn from a seed.
type sequence struct {
	*fleetModel
	deployment
	random        *rand.Rand
	endpointCount int
	actions       []string
	changes       []policyapi.Microseconds // when the list changed
}

// pick returns a random one of the values.
func pick(r *rand.Rand, values ...int) int { return values[r.IntN(len(values))] }

// drawDeployment draws a deployment. Its limits allow a coordinator to keep the rules: sending a line to each proxy takes a small
// part of the grace period, and so does sending the tables of proxies that connect at the same time.
func drawDeployment(r *rand.Rand) deployment {
	var d deployment
	d.initialSettings.InstanceCount = pick(r, 1, 1, 5, 5, 40, 300)
	d.initialSettings.PollsList = r.IntN(2) == 0
	d.initialSettings.Admission = policyapi.AdmissionMode(r.IntN(3))
	d.maxProxies = pick(r, 1, 2, 4, 8, 8, 12, 30, 100)
	if r.IntN(25) == 0 {
		d.maxProxies = pick(r, 300, 1000)
	}
	d.initialSettings.ProxyCount = d.maxProxies * d.initialSettings.InstanceCount
	d.initialSettings.Zones = []policyapi.Zone{"a", "b", "c", "d"}[:1+r.IntN(4)]
	d.initialSettings.Zone = d.initialSettings.Zones[0]
	d.perZone = pick(r, 0, 1, 2, 3, 6, 12, 30)
	d.initialSettings.Classes = drawClasses(r, d.initialSettings.Zones)
	d.drawLimits(r)
	return d
}

func drawClasses(r *rand.Rand, zones []policyapi.Zone) (classes []policyapi.ClassSettings) {
	for k := range 1 + r.IntN(3) {
		class := policyapi.ClassSettings{
			Name:             fmt.Sprintf("kind%d", k),
			LatencyObjective: 800_000,
			ClientTimeout:    2 * second,
			PriorityWeight:   float64(1 + r.IntN(3)),
			Idempotency:      policyapi.Idempotency(r.IntN(3)),
			LocalZoneOnly:    r.IntN(4) == 0,
		}
		if r.IntN(5) == 0 {
			class.AllowedZones = zones[:1+r.IntN(len(zones))]
		}
		classes = append(classes, class)
	}
	return classes
}

// maxTableLines returns the maximum number of lines that all tables of a proxy can have, even after the list has doubled.
func (d *deployment) maxTableLines() int {
	zoneRules := map[string]bool{}
	for _, class := range d.initialSettings.Classes {
		zoneRules[fmt.Sprint(class.LocalZoneOnly, class.AllowedZones)] = true
	}
	return len(zoneRules) * 2 * max(1, d.perZone) * len(d.initialSettings.Zones)
}

// drawLimits draws the settings of the channel, the reports and the rules.
func (d *deployment) drawLimits(r *rand.Rand) {
	overhead := 3 + r.IntN(4)
	allTablesLines := float64(d.maxTableLines() + overhead + 3*len(d.initialSettings.Classes) + 3)
	queueLimit := allTablesLines * float64(3+r.IntN(20))
	queueLimit = max(queueLimit, float64(d.maxProxies)*allTablesLines/2, float64(2*d.maxProxies*(overhead+8)))
	d.initialSettings.Channel = policyapi.ChannelSettings{
		MessageOverhead:     float64(overhead),
		Latency:             200_000,
		MaxLatency:          600_000,
		EndpointConnections: pick(r, 20, 100, 300, 3000),
	}
	drainSeconds := 0.5 + 8*r.Float64() // time that a full queue takes to drain
	d.initialSettings.Channel.LinesPerSecond = queueLimit / drainSeconds
	grace := policyapi.Microseconds((drainSeconds + 2.5) * float64(second))
	d.initialSettings.Reports = policyapi.ReportSettings{
		Period:            policyapi.Microseconds(pick(r, 500, 1000, 1000, 2000, 5000)) * 1000,
		MaxLinesPerSecond: float64(pick(r, 50, 200, 1000)),
		MetricsInReports:  true,
		MetricNames:       []string{"busy"},
	}
	d.initialSettings.Rules = policyapi.RuleSettings{
		EmptyTableLimit:     grace + 3*second,
		DrainGracePeriod:    grace,
		WarmUp:              policyapi.Microseconds(2+r.IntN(15)) * second,
		InitialCapacity:     0.2,
		OverloadFactor:      2.5,
		OverloadWindow:      2 * second,
		SoftRemoval:         r.IntN(5) == 0,
		PollInterval:        10 * second,
		QueueLimit:          queueLimit,
		MessageLimit:        pick(r, 0, 2, 3, 4, 6, 10, 20, 20),
		MessageWindow:       10 * second,
		HealthChecksAllowed: r.IntN(2) == 0,
	}
	d.slowChannel = 2*float64(d.maxProxies)*allTablesLines/d.initialSettings.Channel.LinesPerSecond > drainSeconds+2.5
}

func newSequence(t testing.TB, seed uint64) *sequence {
	r := rand.New(rand.NewPCG(seed, 1))
	d := drawDeployment(r)
	s := &sequence{fleetModel: newFleetModel(t, d.initialSettings, seed), deployment: d, random: r}
	if r.IntN(4) == 0 {
		s.slowdown = 1 + 2*r.Float64()
		s.oracle.factor = policyapi.Microseconds(s.slowdown + 1)
	}
	s.ackLoss = []float64{0, 0, 0.05, 0.3}[r.IntN(4)]
	return s
}

func (s *sequence) logAction(format string, args ...any) {
	s.actions = append(s.actions, fmt.Sprintf("%8.2f s: ", float64(s.now)/float64(second))+fmt.Sprintf(format, args...))
}

// newEndpoint returns an endpoint with a new name and a random weight and pod.
func (s *sequence) newEndpoint(zone policyapi.Zone, startedAt policyapi.Microseconds) policyapi.Endpoint {
	s.endpointCount++
	return policyapi.Endpoint{
		ID:          policyapi.EndpointID(fmt.Sprintf("s-%03d", s.endpointCount)),
		Zone:        zone,
		Weight:      0.5 + s.random.Float64(),
		Pod:         policyapi.PodID(s.random.IntN(4)),
		MachineType: "std",
		StartedAt:   startedAt,
	}
}

// start delivers the endpoint list, in some sequences after a cached one that can be incomplete, and connects proxies.
func (s *sequence) start() {
	incomplete := s.random.IntN(4) == 0
	for _, zone := range s.settings.Zones {
		for range s.perZone {
			e := s.newEndpoint(zone, 0)
			s.list[e.ID] = e
		}
	}
	cached := s.endpointUpdate(policyapi.Cached)
	if incomplete {
		cached.Endpoints = cached.Endpoints[:len(cached.Endpoints)/4]
	}
	if s.random.IntN(3) > 0 {
		s.deliverList(cached)
	}
	s.after(policyapi.Microseconds(s.random.Int64N(int64(2*second))), func() { s.deliverList(s.endpointUpdate(policyapi.Snapshot)) })
	s.logAction("start, %d endpoints, incomplete list %t", len(s.list), incomplete)
	s.run(second / 2)
	s.reportLoad()
	for range 1 + s.random.IntN(s.maxProxies) {
		s.connectRandomProxy()
	}
}

// connectRandomProxy connects a proxy: a new one, one that was connected before, or one that has a table of another coordinator.
func (s *sequence) connectRandomProxy() {
	id := policyapi.ProxyID(s.random.IntN(s.maxProxies))
	if s.proxies[id] != nil && s.random.IntN(10) > 0 {
		return
	}
	zone := s.settings.Zones[s.random.IntN(len(s.settings.Zones))]
	if p := s.knownProxies[id]; p != nil {
		zone = p.zone
	}
	load := 20 * s.random.Float64()
	if s.random.IntN(8) == 0 {
		load *= 20
	}
	var earlierTable []policyapi.EndpointID
	if s.random.IntN(3) == 0 {
		for range 1 + s.random.IntN(4) {
			if s.endpointCount == 0 || s.random.IntN(4) == 0 {
				earlierTable = append(earlierTable, policyapi.EndpointID(fmt.Sprintf("x-%d", s.random.IntN(4)))) // not in any list of this coordinator
			} else {
				earlierTable = append(earlierTable, policyapi.EndpointID(fmt.Sprintf("s-%03d", 1+s.random.IntN(s.endpointCount))))
			}
		}
	}
	s.connect(id, zone, load, earlierTable...)
}

// randomEndpoints draws at most limit listed endpoints with a status, from one zone or from all zones.
func (s *sequence) randomEndpoints(limit int, status policyapi.EndpointStatus) (endpoints []policyapi.Endpoint) {
	zone := s.settings.Zones[s.random.IntN(len(s.settings.Zones))]
	everywhere := s.random.IntN(2) == 0
	for _, id := range slices.Sorted(maps.Keys(s.list)) {
		if e := s.list[id]; e.Status == status && (everywhere || e.Zone == zone) {
			endpoints = append(endpoints, e)
		}
	}
	s.random.Shuffle(len(endpoints), func(i, j int) { endpoints[i], endpoints[j] = endpoints[j], endpoints[i] })
	return endpoints[:min(len(endpoints), limit)]
}

// randomAction draws and performs the next event.
func (s *sequence) randomAction() {
	count := 1 + s.random.IntN(3)
	if s.random.IntN(6) == 0 {
		count = 100 // more endpoints than most zones have
	}
	action := s.random.IntN(16)
	if (action <= 8 || action == 15) && !s.mayChange() {
		return
	}
	switch action {
	case 0, 1, 2, 3:
		s.drain(s.randomEndpoints(count, policyapi.Ready))
	case 4, 5:
		s.remove(s.randomEndpoints(count, policyapi.Draining))
	case 6:
		s.remove(s.randomEndpoints(count, policyapi.Ready))
	case 7, 8:
		s.launch(count)
	case 9:
		s.logAction("snapshot delivered")
		s.deliverList(s.endpointUpdate(policyapi.Snapshot))
	case 10:
		s.deliverList(policyapi.EndpointUpdate{Kind: policyapi.Failed})
	case 11:
		for range 1 + s.random.IntN(3) {
			s.connectRandomProxy()
		}
	case 12:
		for _, id := range slices.Sorted(maps.Keys(s.proxies)) {
			if s.random.IntN(4) == 0 {
				s.logAction("proxy %d disconnects", id)
				s.disconnect(id)
			}
		}
	case 13:
		for _, id := range slices.Sorted(maps.Keys(s.proxies)) {
			s.proxies[id].load = 40 * s.random.Float64() * s.random.Float64()
		}
	case 14:
		for _, e := range s.randomEndpoints(1, policyapi.Ready) {
			s.failing[e.ID] = !s.failing[e.ID]
		}
	case 15:
		s.restart()
	}
}

// mayChange reports whether the list may change now, or the module may fail. Under a low message limit no coordinator could
// publish more changes to a proxy: of the messages within a window, one binds the proxy and one stays in reserve.
func (s *sequence) mayChange() bool {
	messageLimit := s.settings.Rules.MessageLimit
	if messageLimit == 0 {
		return true
	}
	s.changes = slices.DeleteFunc(s.changes, func(at policyapi.Microseconds) bool { return s.now-at > s.settings.Rules.MessageWindow+second })
	if len(s.changes) >= max(1, messageLimit-2) {
		return false
	}
	s.changes = append(s.changes, s.now)
	return true
}

func endpointIDs(endpoints []policyapi.Endpoint) (ids []policyapi.EndpointID) {
	for _, e := range endpoints {
		ids = append(ids, e.ID)
	}
	return ids
}

func (s *sequence) drain(endpoints []policyapi.Endpoint) {
	for i := range endpoints {
		endpoints[i].Status = policyapi.Draining
	}
	s.logAction("draining: %v", endpointIDs(endpoints))
	s.applyDelta(endpoints...)
}

func (s *sequence) remove(endpoints []policyapi.Endpoint) {
	for i := range endpoints {
		endpoints[i].Status = policyapi.Removed
	}
	s.logAction("removed: %v", endpointIDs(endpoints))
	s.applyDelta(endpoints...)
}

// launch lists new endpoints, in some cases also draining ones as ready again: new processes under the same names.
func (s *sequence) launch(count int) {
	var endpoints []policyapi.Endpoint
	if s.random.IntN(2) == 0 {
		for _, e := range s.randomEndpoints(count, policyapi.Draining) {
			e.Status, e.StartedAt = policyapi.Ready, s.now
			endpoints = append(endpoints, e)
		}
	}
	for range min(count, 2*max(1, s.perZone)*len(s.settings.Zones)-len(s.list)-len(endpoints)) {
		endpoints = append(endpoints, s.newEndpoint(s.settings.Zones[s.random.IntN(len(s.settings.Zones))], s.now))
	}
	s.logAction("ready: %v", endpointIDs(endpoints))
	s.applyDelta(endpoints...)
}

// restart restarts the coordinator, whose proxies reconnect within a second, or replaces only its decision module.
func (s *sequence) restart() {
	if s.slowChannel {
		return // the tables of all proxies could not be sent again in time
	}
	if s.random.IntN(2) == 0 {
		s.logAction("the decision module fails")
		s.failModule()
		s.after(second/2, func() { s.deliverList(s.endpointUpdate(policyapi.Snapshot)) })
		return
	}
	s.logAction("the coordinator restarts")
	zones := map[policyapi.ProxyID]policyapi.Zone{}
	for id, p := range s.proxies {
		zones[id] = p.zone
	}
	s.restartCoordinator()
	s.deliverList(s.endpointUpdate(policyapi.Cached))
	s.after(second/2, func() { s.deliverList(s.endpointUpdate(policyapi.Snapshot)) })
	for _, id := range slices.Sorted(maps.Keys(zones)) {
		s.after(policyapi.Microseconds(s.random.Int64N(int64(second))), func() {
			if s.proxies[id] == nil {
				s.connect(id, zones[id], 10)
			}
		})
	}
}

// runScenario runs the sequence to its end, or until a rule is violated.
func (s *sequence) runScenario() {
	s.start()
	for range 10 + s.random.IntN(20) {
		s.randomAction()
		s.run(policyapi.Microseconds(s.random.Int64N(int64(3*second))) + second/5)
		if len(s.oracle.findings) > 0 {
			return
		}
	}
	s.run(s.settings.Rules.DrainGracePeriod*s.oracle.factor + second)
}

// In random sequences of fleet events no proxy offers an endpoint that was listed as draining or removed once the grace period is
// over (rule 3), no proxy is without an endpoint while a ready and warmed-up one is listed (rule 1), and lines and messages stay
// within their limits (rule 5).
func TestRandomSequencesKeepTheRules(t *testing.T) {
	type outcome struct {
		seed uint64
		s    *sequence
	}
	seeds, failed := make(chan uint64), make(chan outcome, *sequences)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for seed := range seeds {
				s := newSequence(t, seed)
				if s.runScenario(); len(s.oracle.findings) > 0 {
					failed <- outcome{seed, s}
				}
			}
		})
	}
	for i := range *sequences {
		seeds <- *firstSequence + uint64(i)
	}
	close(seeds)
	workers.Wait()
	close(failed)
	count := map[string]int{}
	for o := range failed {
		first := o.s.oracle.findings[0]
		if count[first.rule]++; count[first.rule] <= *reported {
			t.Errorf("sequence %d, %+v\n%s\n%s", o.seed, o.s.settings, strings.Join(o.s.actions, "\n"), first)
		}
	}
	if len(count) > 0 {
		t.Errorf("of %d sequences, number of violations by the rule that was violated first: %v; want none", *sequences, count)
	}
}
