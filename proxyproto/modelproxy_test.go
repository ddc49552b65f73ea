package proxyproto_test

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"

	"porthub/policyapi"
	"porthub/proxyproto"
	"porthub/resp"
)

// modelProxy models a proxy according to the protocol's specification. It has a table for each request class and a set of ejected
// endpoints, keeps both when its stream is replaced, and applies CONFIG messages to them.
type modelProxy struct {
	id          policyapi.ProxyID
	zone        policyapi.Zone
	classes     []string
	tables      []map[policyapi.EndpointID]float64 // by class
	ejected     map[policyapi.EndpointID]bool
	lastMessage string // last message that the proxy has applied
}

func newModelProxy(id policyapi.ProxyID, zone policyapi.Zone, classes []string) *modelProxy {
	p := &modelProxy{id: id, zone: zone, classes: classes, ejected: map[policyapi.EndpointID]bool{}}
	for range classes {
		p.tables = append(p.tables, map[policyapi.EndpointID]float64{})
	}
	return p
}

// setTables replaces the tables of all classes, by the proxy's default table or by the table of another coordinator.
func (p *modelProxy) setTables(endpoints ...policyapi.EndpointID) {
	for class := range p.tables {
		p.tables[class] = map[policyapi.EndpointID]float64{}
		for _, id := range endpoints {
			p.tables[class][id] = 1
		}
	}
}

// offers reports whether a request of a class could go to an endpoint.
func (p *modelProxy) offers(class int, id policyapi.EndpointID) bool {
	return p.tables[class][id] > 0 && !p.ejected[id]
}

// offersAny reports whether a request of a class could go to at least one endpoint.
func (p *modelProxy) offersAny(class int) bool {
	for id := range p.tables[class] {
		if p.offers(class, id) {
			return true
		}
	}
	return false
}

// apply applies all parts of one message.
func (p *modelProxy) apply(t testing.TB, message []byte) {
	p.lastMessage = ""
	for len(message) > 0 {
		words, size, err := resp.Parse(message, proxyproto.IncomingLimits)
		if err != nil || size == 0 {
			t.Fatalf("proxy %d: incomplete or invalid message: %v", p.id, err)
		}
		p.applyPart(t, words)
		p.lastMessage += resp.Text(words, 1<<12) + " "
		message = message[size:]
	}
}

func (p *modelProxy) applyPart(t testing.TB, words [][]byte) {
	if string(words[0]) != "CONFIG" || len(words)%2 == 0 {
		t.Fatalf("proxy %d: not a valid CONFIG message: %s", p.id, resp.Text(words, 200))
	}
	fields := map[string]string{}
	for i := 1; i < len(words); i += 2 {
		fields[string(words[i])] = string(words[i+1])
	}
	for class, name := range p.classes {
		if only, has := fields["for"]; has && !slices.Contains(strings.Split(only, "+"), name) {
			continue
		}
		if fields["replace"] != "" {
			p.tables[class] = map[policyapi.EndpointID]float64{}
		}
		p.applyRows(t, class, fields["rows"])
	}
	for _, id := range splitList(fields["drop"]) {
		p.ejected[policyapi.EndpointID(id)] = true
	}
	for _, id := range splitList(fields["undrop"]) {
		delete(p.ejected, policyapi.EndpointID(id))
	}
}

func (p *modelProxy) applyRows(t testing.TB, class int, rows string) {
	for _, row := range splitList(rows) {
		id, text, _ := strings.Cut(row, ":")
		weight, err := strconv.ParseFloat(text, 64)
		if err != nil || weight < 0 {
			t.Fatalf("proxy %d: invalid row %q", p.id, row)
		}
		p.tables[class][policyapi.EndpointID(id)] = weight
		if weight == 0 {
			delete(p.tables[class], policyapi.EndpointID(id))
		}
	}
}

// splitList splits a comma-separated list of the protocol. The empty text is the empty list.
func splitList(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' })
}

// endpoints returns the endpoints of a class's table, sorted.
func (p *modelProxy) endpoints(class int) []policyapi.EndpointID {
	return slices.Sorted(maps.Keys(p.tables[class]))
}

func TestModelProxyAppliesMessages(t *testing.T) {
	p := newModelProxy(4, "a", []string{"view", "save"})
	p.setTables("s-0")
	message := func(words ...string) []byte { return resp.Append(nil, words...) }
	p.apply(t, message("CONFIG", "for", "save", "replace", "1", "rows", "s-1:1.5,s-2:0.5", "part", "1"))
	p.apply(t, message("CONFIG", "rows", "s-2:0,s-3:1", "drop", "s-1", "stamp", "7"))
	if got := p.endpoints(0); !slices.Equal(got, []policyapi.EndpointID{"s-0", "s-3"}) {
		t.Errorf("class view: got endpoints %v, want s-0 and s-3", got)
	}
	if got := p.endpoints(1); !slices.Equal(got, []policyapi.EndpointID{"s-1", "s-3"}) {
		t.Errorf("class save: got endpoints %v, want s-1 and s-3", got)
	}
	if p.offers(1, "s-1") || !p.offers(1, "s-3") {
		t.Error("the ejected endpoint s-1 is offered, or s-3 is not offered")
	}
	p.apply(t, message("CONFIG", "undrop", "s-1"))
	if !p.offers(1, "s-1") {
		t.Error("the restored endpoint s-1 is not offered")
	}
}
