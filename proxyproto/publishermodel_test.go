package proxyproto

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"porthub/policyapi"
)

const (
	modelProxies = 3
	modelTables  = 3
	allTables    = modelTables // index of the levels for all tables
)

// proxyState is the state of a proxy after applying its messages according to the protocol's specification. Its slices are
// indexed by request class.
type proxyState struct {
	weights    []map[string]float64
	admissions []string
	ejected    map[string]bool
}

func newProxyState() proxyState {
	return proxyState{[]map[string]float64{{}, {}, {}}, []string{"", "", ""}, map[string]bool{}}
}

// splitMembers splits a comma-separated list of the protocol. The empty text is the empty list.
func splitMembers(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return r == ',' })
}

// apply applies a message and returns its number of lines as the protocol counts them.
func (s *proxyState) apply(t *rapid.T, message []byte) (lines int) {
	for _, text := range messageTexts(t, message) {
		words := strings.Split(text, " ")
		fields := map[string]string{}
		for i := 1; i < len(words); i += 2 {
			fields[words[i]] = words[i+1]
		}
		for class, settings := range testSettings.Classes {
			if fields["for"] == "" || slices.Contains(strings.Split(fields["for"], "+"), settings.Name) {
				s.applyTable(t, class, fields)
			}
		}
		for _, name := range splitMembers(fields["drop"]) {
			s.ejected[name] = true
		}
		for _, name := range splitMembers(fields["undrop"]) {
			delete(s.ejected, name)
		}
		for _, field := range []string{"rows", "drop", "undrop", "replace", "gate", "stamp"} {
			lines += len(splitMembers(fields[field]))
		}
	}
	return lines
}

func (s *proxyState) applyTable(t *rapid.T, class int, fields map[string]string) {
	if fields["replace"] != "" {
		s.weights[class] = map[string]float64{}
		s.admissions[class] = ""
	}
	for _, row := range splitMembers(fields["rows"]) {
		name, text, _ := strings.Cut(row, ":")
		weight, err := strconv.ParseFloat(text, 64)
		if err != nil || weight < 0 {
			t.Fatalf("invalid row %q", row)
		}
		s.weights[class][name] = weight
		if weight == 0 {
			delete(s.weights[class], name)
		}
	}
	if fields["gate"] != "" {
		s.admissions[class] = fields["gate"] + "/" + fields["again"]
	}
}

// modelStream is a proxy's stream: the orders for the stream, and the state of the proxy.
type modelStream struct {
	proxyState
	bound         []int  // table by request class; -1: none
	globalOrdered []bool // by request class: a level for all tables was ordered since the stream connected
}

// publisherModel draws batches of orders and tracks their effect independently of the Publisher.
type publisherModel struct {
	publisher *Publisher
	streams   map[policyapi.ProxyID]*modelStream
	weights   [modelTables]map[string]float64
	levels    [modelTables + 1]map[int]admission // by table, then request class

	// State of the current batch.
	orders   []policyapi.Order
	cost     int                       // maximum number of lines that the orders take on a stream, without those of binds
	bindCost map[policyapi.ProxyID]int // number of binds of each stream
	cleared  bool
}

func newPublisherModel() *publisherModel {
	return &publisherModel{
		publisher: NewPublisher(testSettings.Classes),
		streams:   map[policyapi.ProxyID]*modelStream{},
		weights:   [modelTables]map[string]float64{{}, {}, {}},
		levels:    [modelTables + 1]map[int]admission{{}, {}, {}, {}},
	}
}

// drawBatch draws a batch of orders. In some cases it connects a new stream first.
func (m *publisherModel) drawBatch(t *rapid.T) {
	proxy := policyapi.ProxyID(rapid.IntRange(0, modelProxies-1).Draw(t, "proxy"))
	if rapid.IntRange(0, 3).Draw(t, "stream") == 0 {
		m.publisher.Connect(policyapi.ProxyConnected{Proxy: proxy, HasDefaultTableOnly: true})
		m.streams[proxy] = &modelStream{proxyState: newProxyState(), bound: []int{-1, -1, -1}, globalOrdered: make([]bool, 3)}
	}
	m.orders = nil
	m.cost = 1 + len(m.levels[allTables])
	m.bindCost = map[policyapi.ProxyID]int{}
	m.cleared = false
	for range rapid.IntRange(0, 8).Draw(t, "orders") {
		m.drawOrder(t, proxy)
	}
}

func (m *publisherModel) drawOrder(t *rapid.T, proxy policyapi.ProxyID) {
	table := rapid.IntRange(0, modelTables-1).Draw(t, "table")
	classes := policyapi.ClassSet(rapid.IntRange(0, 7).Draw(t, "classes"))
	id := policyapi.TableID(table)
	switch rapid.IntRange(0, 9).Draw(t, "order") {
	case 0:
		m.orders = append(m.orders, policyapi.ClearTable{Table: id})
		m.weights[table] = map[string]float64{}
		m.levels[table] = map[int]admission{}
		m.cleared = true
		m.cost++
	case 1, 2:
		m.orders = append(m.orders, policyapi.BindProxy{Proxy: proxy, Table: id, Classes: classes})
		m.bind(proxy, table, classes)
	case 3:
		class := rapid.IntRange(0, 2).Draw(t, "class")
		a := drawAdmission(t)
		m.orders = append(m.orders, policyapi.SetAdmission{Table: policyapi.AllTables, Classes: 1 << class, Level: a.level, RetryPolicy: a.retryPolicy})
		m.levels[allTables][class] = a
		for _, s := range m.streams {
			s.globalOrdered[class] = true
		}
		m.cost++
	case 4:
		a := drawAdmission(t)
		m.orders = append(m.orders, policyapi.SetAdmission{Table: id, Classes: classes, Level: a.level, RetryPolicy: a.retryPolicy})
		for class := range testSettings.Classes {
			if classSetHas(classes, class) {
				m.levels[table][class] = a
			}
		}
		m.cost += 3 // at most one line for each class
	default:
		endpoint := "s-" + strconv.Itoa(rapid.IntRange(0, 4).Draw(t, "endpoint"))
		weight := float64(rapid.IntRange(0, 9).Draw(t, "weight")) / 8
		m.orders = append(m.orders, policyapi.SetWeight{Table: id, Endpoint: policyapi.EndpointID(endpoint), Weight: weight})
		m.weights[table][endpoint] = weight
		if weight == 0 {
			delete(m.weights[table], endpoint)
		}
		m.cost++
	}
}

func drawAdmission(t *rapid.T) admission {
	return admission{float64(rapid.IntRange(0, 4).Draw(t, "level")), policyapi.RetryPolicy(rapid.IntRange(0, 1).Draw(t, "retry policy"))}
}

func (m *publisherModel) bind(proxy policyapi.ProxyID, table int, classes policyapi.ClassSet) {
	s := m.streams[proxy]
	if s == nil {
		return
	}
	for class := range testSettings.Classes {
		if classSetHas(classes, class) {
			s.bound[class] = table
		}
	}
	m.bindCost[proxy]++
}

// publish applies the messages of the batch to the proxies and checks the number of lines of each message.
func (m *publisherModel) publish(t *rapid.T) {
	for _, message := range m.publisher.Apply(append(m.orders, policyapi.RequestAck{AckID: 1})) {
		s := m.streams[message.Proxy]
		maxLines := m.cost
		if m.bindCost[message.Proxy] > 0 || m.cleared {
			for _, table := range slices.Compact(slices.Sorted(slices.Values(s.bound))) {
				if table >= 0 {
					maxLines += m.bindCost[message.Proxy] + len(m.weights[table]) + 3 + len(testSettings.Classes)
				}
			}
		}
		if lines := s.apply(t, message.Bytes); lines != message.Lines || lines > maxLines {
			t.Fatalf("got a message of %d lines with Lines = %d, want equal numbers of at most %d: %q",
				lines, message.Lines, maxLines, messageTexts(t, message.Bytes))
		}
	}
}

// checkStream checks that a proxy has the weights and the admission that were ordered for a class.
func (m *publisherModel) checkStream(t *rapid.T, proxy policyapi.ProxyID, class int) {
	s := m.streams[proxy]
	table := s.bound[class]
	want := ""
	effective, has := m.levels[allTables][class]
	has = has && (table >= 0 || s.globalOrdered[class]) // an earlier level is sent with the first table
	if table >= 0 {
		if own, isSet := m.levels[table][class]; isSet {
			if has {
				own.level = min(own.level, effective.level)
			}
			effective = own
			has = true
		}
		if !maps.Equal(s.weights[class], m.weights[table]) {
			t.Fatalf("proxy %d, class %d: got weights %v, want %v", proxy, class, s.weights[class], m.weights[table])
		}
	}
	if has {
		want = fmt.Sprintf("%s/%d", formatNumber(effective.level), effective.retryPolicy)
	}
	notSentYet := want != "" && s.admissions[class] == "" && len(m.orders) == 0
	if s.admissions[class] != want && !notSentYet {
		t.Fatalf("proxy %d, class %d: got admission %q, want %q", proxy, class, s.admissions[class], want)
	}
}

// For random orders and streams, a proxy that has applied all its messages has the state that was ordered for it, and no message
// has more lines than the simulator's protocol counts for it.
func TestStreamsConvergeToOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPublisherModel()
		for range rapid.IntRange(1, 30).Draw(t, "batches") {
			m.drawBatch(t)
			m.publish(t)
			for proxy, s := range m.streams {
				for class := range s.bound {
					m.checkStream(t, proxy, class)
				}
			}
		}
	})
}
