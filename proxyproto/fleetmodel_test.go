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

// fleetModel runs one coordinator, the decision module and the board that turns its orders into messages, under a virtual clock:
// with a channel that drains at a stated pace or slower, proxies as the protocol describes them, and the oracle beside it.
type fleetModel struct {
	t        testing.TB
	random   *rand.Rand
	settings policyapi.Start
	slowdown float64 // the channel runs so many times slower than stated
	ackLoss  float64 // part of the acknowledgements that never come

	now         policyapi.Microseconds
	module      *policy.Instance
	publisher   *proxyproto.Publisher
	timers      map[policyapi.Microseconds][]policyapi.TimerToken
	agenda      schedule
	actionCount int
	batch       []policyapi.Event
	oracle      *oracle
	proxies     map[policyapi.ProxyID]*connectedProxy
	everSeen    map[policyapi.ProxyID]*modelProxy // all that ever came, with what they hold
	list        map[policyapi.EndpointID]policyapi.Endpoint
	version     policyapi.ListVersion
	failing     map[policyapi.EndpointID]bool // it answers nothing

	queueEmptyAt policyapi.Microseconds // when the last message in the channel leaves it
	inQueue      []queued
	tables       map[policyapi.TableID]map[policyapi.EndpointID]float64
	bound        map[policyapi.ProxyID][]policyapi.TableID // by class
	messages     int
}

// connectedProxy is a proxy with a stream to the coordinator.
type connectedProxy struct {
	*modelProxy
	since        policyapi.Microseconds
	sent         []policyapi.Microseconds // of messages on this stream
	applied      policyapi.Microseconds   // when the last of them has been applied
	load         float64                  // requests a second
	disconnected bool
}

type queued struct {
	leaves policyapi.Microseconds
	lines  float64
}

// scheduledAction is something that happens at a time.
type scheduledAction struct {
	at    policyapi.Microseconds
	order int
	run   func()
}

type schedule []scheduledAction

func (a schedule) Len() int { return len(a) }
func (a schedule) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a schedule) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *schedule) Push(x any)   { *a = append(*a, x.(scheduledAction)) }
func (a *schedule) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// tick is how often the coordinator takes a batch, at most.
const tick = second / 20

func newFleetModel(t testing.TB, up policyapi.Start, seed uint64) *fleetModel {
	m := &fleetModel{t: t, random: rand.New(rand.NewPCG(seed, 29)), settings: up, slowdown: 1, now: 1000 * second, oracle: newOracle(up.Rules, up.Classes),
		proxies: map[policyapi.ProxyID]*connectedProxy{}, everSeen: map[policyapi.ProxyID]*modelProxy{}, list: map[policyapi.EndpointID]policyapi.Endpoint{},
		failing: map[policyapi.EndpointID]bool{}}
	m.oracle.expected = m.describeOrders
	m.restartCoordinator()
	return m
}

// restartCoordinator starts the coordinator from nothing: what was in its channel and its timers are lost.
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

// failModule puts a fresh module in the place of one that has failed, as the live coordinator does.
func (m *fleetModel) failModule() {
	failed := m.module
	m.module, m.publisher = policy.New(m.settings), m.publisher.Restart()
	m.module.TakeOver(failed)
	m.timers, m.batch = map[policyapi.Microseconds][]policyapi.TimerToken{}, nil
	m.tables, m.bound = map[policyapi.TableID]map[policyapi.EndpointID]float64{}, map[policyapi.ProxyID][]policyapi.TableID{}
	m.enqueue(m.endpointUpdate(policyapi.Cached))
	for _, id := range slices.Sorted(maps.Keys(m.proxies)) {
		j := policyapi.ProxyConnected{Proxy: id, Zone: m.proxies[id].zone, Weight: m.proxies[id].load}
		m.publisher.Connect(j)
		m.enqueue(j)
	}
}

func (m *fleetModel) classes() (names []string) {
	for _, k := range m.settings.Classes {
		names = append(names, k.Name)
	}
	return names
}

// after has something done later.
func (m *fleetModel) after(wait policyapi.Microseconds, do func()) {
	m.actionCount++
	heap.Push(&m.agenda, scheduledAction{m.now + wait, m.actionCount, do})
}

func (m *fleetModel) enqueue(e policyapi.Event) { m.batch = append(m.batch, e) }

// applyDelta gives the coordinator entries that have changed, now.
func (m *fleetModel) applyDelta(entries ...policyapi.Endpoint) {
	for _, e := range entries {
		if m.list[e.ID] = e; e.Status == policyapi.Removed {
			delete(m.list, e.ID)
		}
	}
	m.version++
	m.deliverList(policyapi.EndpointUpdate{Version: m.version, Kind: policyapi.Delta, Endpoints: entries})
}

// endpointUpdate is the list as it is.
func (m *fleetModel) endpointUpdate(how policyapi.UpdateKind) policyapi.EndpointUpdate {
	list := policyapi.EndpointUpdate{Version: m.version, Kind: how}
	for _, id := range slices.Sorted(maps.Keys(m.list)) {
		list.Endpoints = append(list.Endpoints, m.list[id])
	}
	return list
}

func (m *fleetModel) deliverList(list policyapi.EndpointUpdate) {
	m.oracle.applyList(m.now, list)
	m.enqueue(list)
}

// connect lets a proxy's stream stand. One that has been here holds what it held; fresh ones hold a standing table.
func (m *fleetModel) connect(id policyapi.ProxyID, zone policyapi.Zone, load float64, brings ...policyapi.EndpointID) {
	p := m.everSeen[id]
	fresh := p == nil && len(brings) == 0
	if p == nil {
		p = newModelProxy(id, zone, m.classes())
		m.everSeen[id] = p
	}
	if fresh {
		p.setTables(m.defaultTable(zone)...)
	}
	if len(brings) > 0 {
		p.setTables(brings...)
	}
	if old := m.proxies[id]; old != nil {
		old.disconnected = true
	}
	m.proxies[id] = &connectedProxy{modelProxy: p, since: m.now, load: load}
	delete(m.bound, id)
	j := policyapi.ProxyConnected{Proxy: id, Zone: zone, HasDefaultTableOnly: fresh, Weight: load}
	m.publisher.Connect(j)
	m.enqueue(j)
}

// defaultTable is what a proxy's own table has: a few endpoints that the list calls ready when it starts.
func (m *fleetModel) defaultTable(zone policyapi.Zone) (ids []policyapi.EndpointID) {
	for _, id := range slices.Sorted(maps.Keys(m.list)) {
		if e := m.list[id]; e.Zone == zone && e.Status == policyapi.Ready && len(ids) < 6 {
			ids = append(ids, id)
		}
	}
	return ids
}

// disconnect ends a proxy's stream: what is on its way to it is lost.
func (m *fleetModel) disconnect(id policyapi.ProxyID) {
	if p := m.proxies[id]; p != nil {
		p.disconnected = true
		delete(m.proxies, id)
		delete(m.bound, id)
		m.publisher.Disconnect(id)
		m.enqueue(policyapi.ProxyDisconnected{Proxy: id})
	}
}

// run lets time go by.
func (m *fleetModel) run(d policyapi.Microseconds) {
	for end := m.now + d; m.now < end; {
		m.now += tick
		for len(m.agenda) > 0 && m.agenda[0].at <= m.now {
			heap.Pop(&m.agenda).(scheduledAction).run()
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

// check asks the oracle about all that are joined.
func (m *fleetModel) checkRules() {
	for _, id := range slices.Sorted(maps.Keys(m.proxies)) {
		m.oracle.check(m.now, m.proxies[id].since, m.proxies[id].modelProxy)
	}
}

// step lets the module decide on what has come in and carries out its orders.
func (m *fleetModel) step() {
	batch := m.batch
	m.batch = nil
	orders := m.module.Step(m.now, batch)
	for _, order := range orders {
		m.trackOrder(order)
	}
	for _, post := range m.publisher.Apply(orders) {
		m.send(post)
	}
}

// trackOrder follows orders for the report and sets timers.
func (m *fleetModel) trackOrder(order policyapi.Order) {
	switch o := order.(type) {
	case policyapi.SetTimer:
		at := m.now + max(1, o.After)
		m.timers[at] = append(m.timers[at], o.Token)
	case policyapi.SetWeight:
		if m.tables[o.Table] == nil {
			m.tables[o.Table] = map[policyapi.EndpointID]float64{}
		}
		if m.tables[o.Table][o.Endpoint] = o.Weight; o.Weight == 0 {
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

// describeOrders tells which table a proxy was bound to, and what that is to hold.
func (m *fleetModel) describeOrders(id policyapi.ProxyID, class int) string {
	tables := m.bound[id]
	if tables == nil {
		return "bound to no table"
	}
	return fmt.Sprintf("bound to table %d, ordered to hold %v", tables[class], slices.Sorted(maps.Keys(m.tables[tables[class]])))
}

// send puts a message into the channel: it leaves once all before it have, travels, is applied and acknowledged.
func (m *fleetModel) send(post proxyproto.OutboundMessage) {
	p := m.proxies[post.Proxy]
	if p == nil {
		m.t.Fatalf("%v: a message for proxy %d, which is not joined", m.now, post.Proxy)
	}
	m.messages++
	lines := float64(post.Lines) + m.settings.Channel.MessageOverhead
	m.queueEmptyAt = max(m.queueEmptyAt, m.now) + policyapi.Microseconds(lines*m.slowdown/m.settings.Channel.LinesPerSecond*float64(second))
	m.inQueue = slices.DeleteFunc(m.inQueue, func(q queued) bool { return q.leaves <= m.now })
	m.inQueue = append(m.inQueue, queued{m.queueEmptyAt, lines})
	m.checkQueue(p)
	travel := m.settings.Channel.Latency/2 + policyapi.Microseconds(m.random.Int64N(int64(m.settings.Channel.MaxLatency-m.settings.Channel.Latency/2)))
	p.applied = max(p.applied, m.queueEmptyAt+travel)
	m.after(p.applied-m.now, func() { m.deliver(p, post) })
}

func (m *fleetModel) deliver(p *connectedProxy, post proxyproto.OutboundMessage) {
	if p.disconnected {
		return
	}
	p.apply(m.t, post.Bytes)
	if !post.RequestsAck || m.random.Float64() < m.ackLoss {
		return
	}
	mark, ours := m.publisher.Acknowledge(post.AckID)
	if !ours {
		return
	}
	m.after(policyapi.Microseconds(m.random.Int64N(int64(second/5))), func() {
		if !p.disconnected {
			m.enqueue(policyapi.Acknowledged{Proxy: p.id, AckID: mark})
		}
	})
}

// checkQueue judges rule 5: the lines that wait, and the messages to one proxy since it has joined.
func (m *fleetModel) checkQueue(p *connectedProxy) {
	waiting := 0.0
	for _, q := range m.inQueue {
		waiting += q.lines
	}
	if rules := m.settings.Rules; waiting > rules.QueueLimit {
		m.oracle.findings = append(m.oracle.findings, finding{"queue", m.now, p.id, "", fmt.Sprintf("%.0f lines wait, %.0f may", waiting, rules.QueueLimit)})
	}
	span, most := m.settings.Rules.MessageWindow, m.settings.Rules.MessageLimit
	p.sent = append(slices.DeleteFunc(p.sent, func(at policyapi.Microseconds) bool { return m.now-at >= span }), m.now)
	if most > 0 && len(p.sent) > most {
		m.oracle.findings = append(m.oracle.findings, finding{"queue", m.now, p.id, "", fmt.Sprintf("%d messages in the span, %d may", len(p.sent), most)})
	}
}

// reportLoad is a round of reports: what proxies asked for, and how endpoints did by what proxies hold. It goes on for ever.
func (m *fleetModel) reportLoad() {
	m.after(m.settings.Reports.Period, m.reportLoad)
	type pair struct {
		zone policyapi.Zone
		id   policyapi.EndpointID
	}
	tries := map[pair]float64{}
	seconds := float64(m.settings.Reports.Period) / float64(second)
	for _, id := range slices.Sorted(maps.Keys(m.proxies)) {
		p := m.proxies[id]
		for class := range m.settings.Classes {
			requests := p.load * seconds / float64(len(m.settings.Classes))
			m.enqueue(policyapi.ProxyLoad{Proxy: id, Class: policyapi.RequestClass(class), Requests: int(requests + m.random.Float64()), Period: m.settings.Reports.Period})
			held, sum := p.endpoints(class), 0.0
			for _, b := range held {
				sum += p.tables[class][b]
			}
			for _, b := range held {
				tries[pair{p.zone, b}] += requests * p.tables[class][b] / sum
			}
		}
	}
	for _, at := range slices.SortedFunc(maps.Keys(tries), func(a, b pair) int {
		return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.id, b.id))
	}) {
		heard := policyapi.EndpointLoad{Zone: at.zone, Endpoint: at.id, Attempts: int(tries[at] + m.random.Float64()), MeanLatency: 200_000, Period: m.settings.Reports.Period,
			Metrics: policyapi.LoadMetrics{"busy": 0.5}}
		if m.failing[at.id] {
			heard.Failures, heard.MeanLatency, heard.Metrics = heard.Attempts, 0, nil
		}
		if heard.Attempts > 0 {
			m.enqueue(heard)
		}
	}
}
