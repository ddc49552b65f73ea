package proxyproto_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"porthub/policy"
	"porthub/policyapi"
	"porthub/proxyproto"
)

// fleetModel simulates one coordinator, with its decision module and publisher, under a virtual clock. Its channel drains at the
// rate of the settings or slower, its proxies follow the protocol, and an oracle checks the rules.
type fleetModel struct {
	t        testing.TB
	random   *rand.Rand
	settings policyapi.Start
	slowdown float64 // factor by which the channel is slower than the settings state
	ackLoss  float64 // fraction of acknowledgements that are lost

	now          policyapi.Microseconds
	module       *policy.Instance
	publisher    *proxyproto.Publisher
	timers       map[policyapi.Microseconds][]policyapi.TimerToken
	scheduled    actionHeap
	actionCount  int
	batch        []policyapi.Event
	oracle       *oracle
	proxies      map[policyapi.ProxyID]*connectedProxy
	knownProxies map[policyapi.ProxyID]*modelProxy // all proxies that have ever connected
	list         map[policyapi.EndpointID]policyapi.Endpoint
	version      policyapi.ListVersion
	failing      map[policyapi.EndpointID]bool // endpoints whose attempts all fail

	queueEmptyAt policyapi.Microseconds // when the last message leaves the channel
	inQueue      []queuedMessage
	tables       map[policyapi.TableID]map[policyapi.EndpointID]float64
	bound        map[policyapi.ProxyID][]policyapi.TableID // by class
	messages     int
}

// connectedProxy is a proxy with a stream to the coordinator.
type connectedProxy struct {
	*modelProxy
	since        policyapi.Microseconds
	sent         []policyapi.Microseconds // send times of the messages on this stream
	applied      policyapi.Microseconds   // when the last message is applied
	load         float64                  // requests a second
	disconnected bool
}

// queuedMessage is a message in the channel.
type queuedMessage struct {
	proxy    *connectedProxy
	leavesAt policyapi.Microseconds
	lines    float64
}

// scheduledAction is a function that runs at a given time.
type scheduledAction struct {
	at    policyapi.Microseconds
	order int
	run   func()
}

// actionHeap is a heap of actions, ordered by time and, for the same time, by when they were scheduled.
type actionHeap []scheduledAction

// Len is part of heap.Interface, as are the methods below.
func (s *actionHeap) Len() int { return len(*s) }
func (s *actionHeap) Less(i, j int) bool {
	a, b := (*s)[i], (*s)[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}
func (s *actionHeap) Swap(i, j int) { (*s)[i], (*s)[j] = (*s)[j], (*s)[i] }
func (s *actionHeap) Push(x any)    { *s = append(*s, x.(scheduledAction)) }
func (s *actionHeap) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// tick is the shortest time between two batches of the coordinator.
const tick = second / 20

func newFleetModel(t testing.TB, settings policyapi.Start, seed uint64) *fleetModel {
	m := &fleetModel{t: t, random: rand.New(rand.NewPCG(seed, 29)), settings: settings, slowdown: 1, now: 1000 * second, oracle: newOracle(settings.Rules, settings.Classes),
		proxies: map[policyapi.ProxyID]*connectedProxy{}, knownProxies: map[policyapi.ProxyID]*modelProxy{}, list: map[policyapi.EndpointID]policyapi.Endpoint{},
		failing: map[policyapi.EndpointID]bool{}}
	m.oracle.expected = m.describeOrders
	m.restartCoordinator()
	return m
}

// restartCoordinator restarts the coordinator without state: the messages in its channel and its timers are lost.
func (m *fleetModel) restartCoordinator() {
	m.settings.Seed = m.random.Uint64()
	m.module, m.publisher = policy.New(m.settings), proxyproto.NewPublisher(m.settings.Classes)
	m.timers, m.batch = map[policyapi.Microseconds][]policyapi.TimerToken{}, nil
	m.tables, m.bound = map[policyapi.TableID]map[policyapi.EndpointID]float64{}, map[policyapi.ProxyID][]policyapi.TableID{}
	m.queueEmptyAt, m.inQueue = m.now, nil
	for _, p := range m.proxies {
		p.disconnected = true
	}
	m.proxies = map[policyapi.ProxyID]*connectedProxy{}
	m.oracle.restart(m.now)
}

// failModule replaces the decision module as after a panic, in the same way as package proxyserver does.
func (m *fleetModel) failModule() {
	failed := m.module
	m.module, m.publisher = policy.New(m.settings), m.publisher.Restart()
	m.module.TakeOver(failed)
	m.timers, m.batch = map[policyapi.Microseconds][]policyapi.TimerToken{}, nil
	m.tables, m.bound = map[policyapi.TableID]map[policyapi.EndpointID]float64{}, map[policyapi.ProxyID][]policyapi.TableID{}
	m.enqueue(m.endpointUpdate(policyapi.Cached))
	for _, id := range slices.Sorted(maps.Keys(m.proxies)) {
		connected := policyapi.ProxyConnected{Proxy: id, Zone: m.proxies[id].zone, Weight: m.proxies[id].load}
		m.publisher.Connect(connected)
		m.enqueue(connected)
	}
}

func (m *fleetModel) classes() (names []string) {
	for _, class := range m.settings.Classes {
		names = append(names, class.Name)
	}
	return names
}

// after schedules an action to run after a delay.
func (m *fleetModel) after(delay policyapi.Microseconds, action func()) {
	m.actionCount++
	heap.Push(&m.scheduled, scheduledAction{m.now + delay, m.actionCount, action})
}

func (m *fleetModel) enqueue(e policyapi.Event) { m.batch = append(m.batch, e) }

// applyDelta changes endpoints and delivers the change to the coordinator.
func (m *fleetModel) applyDelta(endpoints ...policyapi.Endpoint) {
	for _, e := range endpoints {
		m.list[e.ID] = e
		if e.Status == policyapi.Removed {
			delete(m.list, e.ID)
		}
	}
	m.version++
	m.deliverList(policyapi.EndpointUpdate{Version: m.version, Kind: policyapi.Delta, Endpoints: endpoints})
}

// endpointUpdate returns the current list.
func (m *fleetModel) endpointUpdate(kind policyapi.UpdateKind) policyapi.EndpointUpdate {
	list := policyapi.EndpointUpdate{Version: m.version, Kind: kind}
	for _, id := range slices.Sorted(maps.Keys(m.list)) {
		list.Endpoints = append(list.Endpoints, m.list[id])
	}
	return list
}

func (m *fleetModel) deliverList(list policyapi.EndpointUpdate) {
	m.oracle.applyList(m.now, list)
	m.enqueue(list)
}

// connect connects a proxy's stream. A proxy that was connected before keeps its tables; a new one has its default table, or
// earlierTable from another coordinator.
func (m *fleetModel) connect(id policyapi.ProxyID, zone policyapi.Zone, load float64, earlierTable ...policyapi.EndpointID) {
	p := m.knownProxies[id]
	isNew := p == nil && len(earlierTable) == 0
	if p == nil {
		p = newModelProxy(id, zone, m.classes())
		m.knownProxies[id] = p
	}
	if isNew {
		p.setTables(m.defaultTable(zone)...)
	}
	if len(earlierTable) > 0 {
		p.setTables(earlierTable...)
	}
	if old := m.proxies[id]; old != nil {
		old.disconnected = true
	}
	m.proxies[id] = &connectedProxy{modelProxy: p, since: m.now, load: load}
	delete(m.bound, id)
	connected := policyapi.ProxyConnected{Proxy: id, Zone: zone, HasDefaultTableOnly: isNew, Weight: load}
	m.publisher.Connect(connected)
	m.enqueue(connected)
}

// defaultTable returns the endpoints of a proxy's default table: up to six endpoints of its zone that are ready when it starts.
func (m *fleetModel) defaultTable(zone policyapi.Zone) (ids []policyapi.EndpointID) {
	for _, id := range slices.Sorted(maps.Keys(m.list)) {
		if e := m.list[id]; e.Zone == zone && e.Status == policyapi.Ready && len(ids) < 6 {
			ids = append(ids, id)
		}
	}
	return ids
}

// disconnect ends a proxy's stream. Messages that are on their way to the proxy are lost.
func (m *fleetModel) disconnect(id policyapi.ProxyID) {
	if p := m.proxies[id]; p != nil {
		p.disconnected = true
		m.dropWaiting(p)
		delete(m.proxies, id)
		delete(m.bound, id)
		m.publisher.Disconnect(id)
		m.enqueue(policyapi.ProxyDisconnected{Proxy: id})
	}
}

// run advances the clock by d and runs everything that is due.
func (m *fleetModel) run(d policyapi.Microseconds) {
	for end := m.now + d; m.now < end; {
		m.now += tick
		for len(m.scheduled) > 0 && m.scheduled[0].at <= m.now {
			heap.Pop(&m.scheduled).(scheduledAction).run()
		}
		for _, at := range slices.Sorted(maps.Keys(m.timers)) {
			if at <= m.now {
				for _, token := range m.timers[at] {
					m.enqueue(policyapi.TimerFired{Token: token})
				}
				delete(m.timers, at)
			}
		}
		if len(m.batch) > 0 {
			m.step()
		}
		if m.now%(second/4) == 0 {
			m.checkRules()
		}
	}
}

// checkRules checks the rules for all connected proxies.
func (m *fleetModel) checkRules() {
	for _, id := range slices.Sorted(maps.Keys(m.proxies)) {
		m.oracle.check(m.now, m.proxies[id].since, m.proxies[id].modelProxy)
	}
}

// step passes the module its events and carries out its orders.
func (m *fleetModel) step() {
	batch := m.batch
	m.batch = nil
	orders := m.module.Step(m.now, batch)
	for _, order := range orders {
		m.trackOrder(order)
	}
	for _, message := range m.publisher.Apply(orders) {
		m.send(message)
	}
}

// trackOrder sets timers, and records tables and binds for describeOrders.
func (m *fleetModel) trackOrder(order policyapi.Order) {
	switch o := order.(type) {
	case policyapi.SetTimer:
		at := m.now + max(1, o.After)
		m.timers[at] = append(m.timers[at], o.Token)
	case policyapi.SetWeight:
		if m.tables[o.Table] == nil {
			m.tables[o.Table] = map[policyapi.EndpointID]float64{}
		}
		m.tables[o.Table][o.Endpoint] = o.Weight
		if o.Weight == 0 {
			delete(m.tables[o.Table], o.Endpoint)
		}
	case policyapi.ClearTable:
		delete(m.tables, o.Table)
	case policyapi.BindProxy:
		if m.bound[o.Proxy] == nil {
			m.bound[o.Proxy] = slices.Repeat([]policyapi.TableID{-1}, len(m.settings.Classes))
		}
		for class := range m.settings.Classes {
			if o.Classes == 0 || o.Classes&(1<<class) != 0 {
				m.bound[o.Proxy][class] = o.Table
			}
		}
	}
}

// describeOrders describes the table that a proxy is bound to for a class, and the endpoints that were ordered for the table.
func (m *fleetModel) describeOrders(id policyapi.ProxyID, class int) string {
	tables := m.bound[id]
	if tables == nil {
		return "bound to no table"
	}
	return fmt.Sprintf("bound to table %d with the ordered endpoints %v", tables[class], slices.Sorted(maps.Keys(m.tables[tables[class]])))
}

// dropWaiting removes the messages for a disconnected proxy from the channel. Later messages are carried earlier because of that,
// but messages that are already queued keep their times: a trace of acknowledgements on a simulated day shows both.
func (m *fleetModel) dropWaiting(p *connectedProxy) {
	m.inQueue = slices.DeleteFunc(m.inQueue, func(q queuedMessage) bool {
		if q.proxy != p || q.leavesAt <= m.now {
			return false
		}
		m.queueEmptyAt -= m.carryTime(q.lines)
		return true
	})
}

// carryTime returns how long the channel takes to carry a number of lines.
func (m *fleetModel) carryTime(lines float64) policyapi.Microseconds {
	return policyapi.Microseconds(lines * m.slowdown / m.settings.Channel.LinesPerSecond * float64(second))
}

// waitingLines returns the number of lines in the channel.
func (m *fleetModel) waitingLines() (lines float64) {
	for _, message := range m.inQueue {
		if message.leavesAt > m.now {
			lines += message.lines
		}
	}
	return lines
}

// send queues a message in the channel: it leaves after all earlier ones, and is then delivered, applied and acknowledged.
func (m *fleetModel) send(message proxyproto.OutboundMessage) {
	p := m.proxies[message.Proxy]
	if p == nil {
		m.t.Fatalf("at %v: message for proxy %d, which is not connected", m.now, message.Proxy)
	}
	m.messages++
	lines := float64(message.Lines) + m.settings.Channel.MessageOverhead
	m.queueEmptyAt = max(m.queueEmptyAt, m.now) + m.carryTime(lines)
	m.inQueue = slices.DeleteFunc(m.inQueue, func(q queuedMessage) bool { return q.leavesAt <= m.now })
	m.inQueue = append(m.inQueue, queuedMessage{p, m.queueEmptyAt, lines})
	m.checkQueue(p)
	travel := m.settings.Channel.Latency/2 + policyapi.Microseconds(m.random.Int64N(int64(m.settings.Channel.MaxLatency-m.settings.Channel.Latency/2)))
	p.applied = max(p.applied, m.queueEmptyAt+travel)
	m.after(p.applied-m.now, func() { m.deliver(p, message) })
}

func (m *fleetModel) deliver(p *connectedProxy, message proxyproto.OutboundMessage) {
	if p.disconnected {
		return
	}
	p.apply(m.t, message.Bytes)
	if !message.RequestsAck || m.random.Float64() < m.ackLoss {
		return
	}
	ackID, isCurrent := m.publisher.Acknowledge(message.AckID)
	if !isCurrent {
		return
	}
	m.after(policyapi.Microseconds(m.random.Int64N(int64(second/5))), func() {
		if !p.disconnected {
			m.enqueue(policyapi.Acknowledged{Proxy: p.id, AckID: ackID})
		}
	})
}

// checkQueue checks rule 5, which limits the lines in the queue and the messages on one stream within a window.
func (m *fleetModel) checkQueue(p *connectedProxy) {
	waiting := m.waitingLines()
	if rules := m.settings.Rules; waiting > rules.QueueLimit {
		m.oracle.findings = append(m.oracle.findings, finding{"queue", m.now, p.id, "", fmt.Sprintf("%.0f lines are queued, limit %.0f", waiting, rules.QueueLimit)})
	}
	window, maxMessages := m.settings.Rules.MessageWindow, m.settings.Rules.MessageLimit
	p.sent = append(slices.DeleteFunc(p.sent, func(at policyapi.Microseconds) bool { return m.now-at >= window }), m.now)
	if maxMessages > 0 && len(p.sent) > maxMessages {
		m.oracle.findings = append(m.oracle.findings, finding{"queue", m.now, p.id, "", fmt.Sprintf("%d messages in the window, limit %d", len(p.sent), maxMessages)})
	}
}

// reportLoad reports the demand of the proxies and the resulting load of the endpoints in their tables, and schedules the next
// report.
func (m *fleetModel) reportLoad() {
	m.after(m.settings.Reports.Period, m.reportLoad)
	type pair struct {
		zone policyapi.Zone
		id   policyapi.EndpointID
	}
	attempts := map[pair]float64{}
	seconds := float64(m.settings.Reports.Period) / float64(second)
	for _, id := range slices.Sorted(maps.Keys(m.proxies)) {
		p := m.proxies[id]
		for class := range m.settings.Classes {
			requests := p.load * seconds / float64(len(m.settings.Classes))
			m.enqueue(policyapi.ProxyLoad{Proxy: id, Class: policyapi.RequestClass(class), Requests: int(requests + m.random.Float64()), Period: m.settings.Reports.Period})
			endpoints, sum := p.endpoints(class), 0.0
			for _, b := range endpoints {
				sum += p.tables[class][b]
			}
			for _, b := range endpoints {
				attempts[pair{p.zone, b}] += requests * p.tables[class][b] / sum
			}
		}
	}
	for _, key := range slices.SortedFunc(maps.Keys(attempts), func(a, b pair) int {
		return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.id, b.id))
	}) {
		load := policyapi.EndpointLoad{Zone: key.zone, Endpoint: key.id, Attempts: int(attempts[key] + m.random.Float64()), MeanLatency: 200_000, Period: m.settings.Reports.Period,
			Metrics: policyapi.LoadMetrics{"busy": 0.5}}
		if m.failing[key.id] {
			load.Failures, load.MeanLatency, load.Metrics = load.Attempts, 0, nil
		}
		if load.Attempts > 0 {
			m.enqueue(load)
		}
	}
}
