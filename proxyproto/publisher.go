package proxyproto

import (
	"maps"
	"slices"

	"porthub/policyapi"
)

// Publisher records the tables, admission levels and ejections that the decision module has ordered, and which of them were sent on
// each stream. Apply turns a batch of orders into at most one message for each stream.
//
// A Publisher is not safe for concurrent use.
type Publisher struct {
	classes         []string // names of the request classes, by policyapi.RequestClass
	tables          map[policyapi.TableID]*table
	globalAdmission map[policyapi.RequestClass]admission // levels that apply to all tables
	ejected         map[policyapi.EndpointID]bool
	streams         map[policyapi.ProxyID]*stream
	// proxyEjections are the ejections that were sent to each proxy. They stay in force when the proxy's stream is replaced.
	proxyEjections map[policyapi.ProxyID]map[policyapi.EndpointID]bool
	acks           ackSequence
}

// admission is an admission level with its retry policy.
type admission struct {
	level       float64
	retryPolicy policyapi.RetryPolicy
}

// table is a routing table as ordered by the decision module. Endpoints that it lacks have weight 0.
type table struct {
	weights    map[policyapi.EndpointID]float64
	admissions map[policyapi.RequestClass]admission
}

// stream is the state of one proxy's stream. Its slices are indexed by request class.
type stream struct {
	tables         []*table                      // nil: no table was bound, and the proxy uses the one that it had when it connected
	sentAdmissions []*admission                  // last admission sent; nil if none was
	ejected        map[policyapi.EndpointID]bool // ejections sent on this stream
}

// NewPublisher returns a Publisher without tables and streams for the request classes of the settings.
func NewPublisher(classes []policyapi.ClassSettings) *Publisher {
	p := &Publisher{
		tables:          map[policyapi.TableID]*table{},
		globalAdmission: map[policyapi.RequestClass]admission{},
		ejected:         map[policyapi.EndpointID]bool{},
		streams:         map[policyapi.ProxyID]*stream{},
		proxyEjections:  map[policyapi.ProxyID]map[policyapi.EndpointID]bool{},
	}
	for _, class := range classes {
		p.classes = append(p.classes, class.Name)
	}
	return p
}

// Restart returns the Publisher of a decision module that replaces a failed one: without tables and streams. The proxies'
// ejections stay in force, and the ack ids continue after the last one used, so that an acknowledgement to the failed module
// can't be mistaken for one to its successor.
func (p *Publisher) Restart() *Publisher {
	restarted := NewPublisher(nil)
	restarted.classes = p.classes
	restarted.proxyEjections = p.proxyEjections
	restarted.acks = p.acks.restart()
	return restarted
}

// Acknowledge converts an ack id on the wire to the decision module's own. It returns false if the id was issued to an earlier
// module.
func (p *Publisher) Acknowledge(wire policyapi.AckID) (policyapi.AckID, bool) {
	return p.acks.fromWire(wire)
}

// Connect registers a proxy's new stream, on which nothing has been sent. A proxy that has only its default table has no ejections
// either.
func (p *Publisher) Connect(connected policyapi.ProxyConnected) {
	p.streams[connected.Proxy] = &stream{
		tables:         make([]*table, len(p.classes)),
		sentAdmissions: make([]*admission, len(p.classes)),
		ejected:        map[policyapi.EndpointID]bool{},
	}
	if connected.HasDefaultTableOnly {
		delete(p.proxyEjections, connected.Proxy)
	}
}

// Disconnect removes a proxy's stream.
func (p *Publisher) Disconnect(proxy policyapi.ProxyID) { delete(p.streams, proxy) }

// DiscardEndpoints discards the state of endpoints that messages may no longer name.
func (p *Publisher) DiscardEndpoints(expired []policyapi.EndpointID) {
	for _, id := range expired {
		delete(p.ejected, id)
		for _, ejections := range p.proxyEjections {
			delete(ejections, id)
		}
		for _, s := range p.streams {
			delete(s.ejected, id)
		}
	}
}

// changeSet contains the changes of one batch of orders.
type changeSet struct {
	changedWeights map[*table]map[policyapi.EndpointID]bool // weights that were set, even to the same value
	cleared        map[*table]bool
	rebound        map[policyapi.ProxyID][]bool // request classes for which a proxy was bound to a table
	ackID          policyapi.AckID
	requestsAck    bool
	ackFromAll     bool // proxies without other changes must acknowledge, too

	globalAdmissionChanged []bool // by request class
}

func (p *Publisher) newChangeSet() changeSet {
	return changeSet{
		changedWeights:         map[*table]map[policyapi.EndpointID]bool{},
		cleared:                map[*table]bool{},
		rebound:                map[policyapi.ProxyID][]bool{},
		globalAdmissionChanged: make([]bool, len(p.classes)),
	}
}

// Apply applies the orders that concern tables and streams, ignores the others and returns the resulting messages, sorted by proxy.
func (p *Publisher) Apply(orders []policyapi.Order) []OutboundMessage {
	changes := p.newChangeSet()
	changed := false
	for _, order := range orders {
		if p.applyOrder(&changes, order) {
			changed = true
		}
	}
	if !changed {
		return nil
	}
	var messages []OutboundMessage
	for _, proxy := range slices.Sorted(maps.Keys(p.streams)) {
		if message := p.compose(proxy, &changes); len(message.Bytes) > 0 {
			messages = append(messages, message)
		}
	}
	return messages
}

// applyOrder applies one order. It returns false if the order concerns neither tables nor streams.
func (p *Publisher) applyOrder(changes *changeSet, order policyapi.Order) bool {
	switch o := order.(type) {
	case policyapi.SetWeight:
		p.setWeight(changes, o)
	case policyapi.ClearTable:
		p.clearTable(changes, o)
	case policyapi.BindProxy:
		p.bind(changes, o)
	case policyapi.EjectEndpoint:
		if o.Ejected {
			p.ejected[o.Endpoint] = true
		} else {
			delete(p.ejected, o.Endpoint)
		}
	case policyapi.SetAdmission:
		p.setAdmission(changes, o)
	case policyapi.RequestAck:
		changes.ackID = o.AckID
		changes.requestsAck = true
		changes.ackFromAll = o.AllProxies
		p.acks.issue(o.AckID)
	default:
		return false
	}
	return true
}

func (p *Publisher) setWeight(changes *changeSet, o policyapi.SetWeight) {
	t := p.table(o.Table)
	if o.Weight == 0 {
		delete(t.weights, o.Endpoint)
	} else {
		t.weights[o.Endpoint] = roundToWire(o.Weight)
	}
	if changes.changedWeights[t] == nil {
		changes.changedWeights[t] = map[policyapi.EndpointID]bool{}
	}
	changes.changedWeights[t][o.Endpoint] = true
}

func (p *Publisher) clearTable(changes *changeSet, o policyapi.ClearTable) {
	t := p.table(o.Table)
	clear(t.weights)
	clear(t.admissions)
	changes.cleared[t] = true
	delete(changes.changedWeights, t)
}

func (p *Publisher) bind(changes *changeSet, o policyapi.BindProxy) {
	s := p.streams[o.Proxy]
	if s == nil {
		return // the proxy has disconnected
	}
	if changes.rebound[o.Proxy] == nil {
		changes.rebound[o.Proxy] = make([]bool, len(p.classes))
	}
	for class := range p.classes {
		if classSetHas(o.Classes, class) {
			s.tables[class] = p.table(o.Table)
			changes.rebound[o.Proxy][class] = true
		}
	}
}

func (p *Publisher) setAdmission(changes *changeSet, o policyapi.SetAdmission) {
	isGlobal := o.Table == policyapi.AllTables
	admissions := p.globalAdmission
	if !isGlobal {
		admissions = p.table(o.Table).admissions
	}
	for class := range p.classes {
		if !classSetHas(o.Classes, class) {
			continue
		}
		admissions[policyapi.RequestClass(class)] = admission{roundToWire(o.Level), o.RetryPolicy}
		if isGlobal {
			changes.globalAdmissionChanged[class] = true
		}
	}
}

// table returns the table with the given ID, creating it if it does not exist.
func (p *Publisher) table(id policyapi.TableID) *table {
	t := p.tables[id]
	if t == nil {
		t = &table{map[policyapi.EndpointID]float64{}, map[policyapi.RequestClass]admission{}}
		p.tables[id] = t
	}
	return t
}

// classSetHas reports whether a set of request classes includes a class; the empty set means all classes.
func classSetHas(set policyapi.ClassSet, class int) bool { return set == 0 || set&(1<<class) != 0 }
