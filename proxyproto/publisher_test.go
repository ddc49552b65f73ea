package proxyproto

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"porthub/policyapi"
	"porthub/resp"
)

// messageTexts returns the parts of a message, each as its words joined by spaces.
func messageTexts(t interface{ Fatal(...any) }, bytes []byte) (texts []string) {
	for len(bytes) > 0 {
		words, size, err := resp.Parse(bytes, IncomingLimits)
		if err != nil || size == 0 {
			t.Fatal("incomplete or invalid message: ", err)
		}
		texts = append(texts, resp.Text(words, MaxMessageBytes))
		bytes = bytes[size:]
	}
	return texts
}

// publisherStep is a batch of orders and the messages that must result from it, by proxy.
type publisherStep struct {
	name   string
	orders []policyapi.Order
	want   map[policyapi.ProxyID]string // the parts of the message, separated by |
}

// everyClass is the empty set, which means all classes.
const everyClass policyapi.ClassSet = 0

// encodingSteps are applied in order to one Publisher with two connected proxies. Each step starts from the state after the steps
// before it.
var encodingSteps = []publisherStep{
	{
		name: "weights of a table without proxies",
		orders: []policyapi.Order{
			policyapi.SetWeight{Table: 1, Endpoint: "s-2", Weight: 0.75},
			policyapi.SetWeight{Table: 1, Endpoint: "s-1", Weight: 1.23456789},
		},
	},
	{
		name: "bind",
		orders: []policyapi.Order{
			policyapi.BindProxy{Proxy: 1, Table: 1},
			policyapi.RequestAck{AckID: 4},
		},
		want: map[policyapi.ProxyID]string{
			1: "CONFIG replace 1 rows s-1:1.23457,s-2:0.75 stamp 4",
		},
	},
	{
		name: "weight",
		orders: []policyapi.Order{
			policyapi.SetWeight{Table: 1, Endpoint: "s-2"},
			policyapi.RequestAck{AckID: 5},
		},
		want: map[policyapi.ProxyID]string{
			1: "CONFIG rows s-2:0 stamp 5",
		},
	},
	{
		name: "admission for all tables",
		orders: []policyapi.Order{
			policyapi.SetAdmission{Table: policyapi.AllTables, Classes: 2, Level: 1e6, RetryPolicy: 1},
		},
		want: map[policyapi.ProxyID]string{
			0: "CONFIG for save gate 1000000 again 1",
			1: "CONFIG for save gate 1000000 again 1",
		},
	},
	{
		name: "admission of a table",
		orders: []policyapi.Order{
			policyapi.SetAdmission{Table: 1, Level: 2.5, RetryPolicy: 0},
		},
		want: map[policyapi.ProxyID]string{
			1: "CONFIG gate 2.5 again 0",
		},
	},
	{
		name: "lower level with the table's own retry policy",
		orders: []policyapi.Order{
			policyapi.SetAdmission{Table: policyapi.AllTables, Classes: 2, Level: 0.5, RetryPolicy: 1},
		},
		want: map[policyapi.ProxyID]string{
			0: "CONFIG for save gate 0.5 again 1",
			1: "CONFIG for save gate 0.5 again 0",
		},
	},
	{
		name: "another table for two classes",
		orders: []policyapi.Order{
			policyapi.SetWeight{Table: 2, Endpoint: "s-1", Weight: 1},
			policyapi.BindProxy{Proxy: 1, Table: 2, Classes: 3},
			policyapi.RequestAck{AckID: 6},
		},
		want: map[policyapi.ProxyID]string{
			1: "CONFIG for view+save replace 1 rows s-1:1 part 1|CONFIG for save gate 0.5 again 1 stamp 6",
		},
	},
	{
		name: "ejection",
		orders: []policyapi.Order{
			policyapi.EjectEndpoint{Endpoint: "s-1", Ejected: true},
		},
		want: map[policyapi.ProxyID]string{
			0: "CONFIG drop s-1",
			1: "CONFIG drop s-1",
		},
	},
	{
		name: "ejection lifted",
		orders: []policyapi.Order{
			policyapi.EjectEndpoint{Endpoint: "s-1"},
			policyapi.RequestAck{AckID: 7},
		},
		want: map[policyapi.ProxyID]string{
			0: "CONFIG undrop s-1 stamp 7",
			1: "CONFIG undrop s-1 stamp 7",
		},
	},
	{
		name: "ack id alone",
		orders: []policyapi.Order{
			policyapi.RequestAck{AckID: 8},
		},
	},
	{
		name: "ack id for all proxies",
		orders: []policyapi.Order{
			policyapi.RequestAck{AckID: 9, AllProxies: true},
		},
		want: map[policyapi.ProxyID]string{
			0: "CONFIG stamp 9",
			1: "CONFIG stamp 9",
		},
	},
	{
		name: "cleared table",
		orders: []policyapi.Order{
			policyapi.ClearTable{Table: 2},
		},
		want: map[policyapi.ProxyID]string{
			1: "CONFIG for view+save replace 1 part 1|CONFIG for save gate 0.5 again 1",
		},
	},
	{
		name: "bind of a disconnected proxy",
		orders: []policyapi.Order{
			policyapi.BindProxy{Proxy: 7, Table: 1, Classes: everyClass},
		},
	},
	{
		name: "order without a message",
		orders: []policyapi.Order{
			policyapi.Log{Text: "x"},
		},
	},
}

func TestPublisherEncodesOrders(t *testing.T) {
	publisher := NewPublisher(testSettings.Classes)
	for proxy := range policyapi.ProxyID(2) {
		publisher.Connect(policyapi.ProxyConnected{Proxy: proxy})
	}
	for _, step := range encodingSteps {
		t.Run(step.name, func(t *testing.T) {
			got := map[policyapi.ProxyID]string{}
			for _, message := range publisher.Apply(step.orders) {
				got[message.Proxy] = strings.Join(messageTexts(t, message.Bytes), "|")
			}
			if !maps.Equal(got, step.want) {
				t.Errorf("got messages %v, want %v", got, step.want)
			}
		})
	}
}

// A proxy keeps its ejections when its stream is replaced. Ejections that were lifted in between are lifted on the new stream.
func TestEjectionsSurviveReconnect(t *testing.T) {
	publisher := NewPublisher(testSettings.Classes)
	publisher.Connect(policyapi.ProxyConnected{Proxy: 1})
	publisher.Apply([]policyapi.Order{
		policyapi.EjectEndpoint{Endpoint: "s-1", Ejected: true},
		policyapi.EjectEndpoint{Endpoint: "s-2", Ejected: true},
	})
	publisher.Disconnect(1)
	publisher.Apply([]policyapi.Order{policyapi.EjectEndpoint{Endpoint: "s-1"}})
	publisher.Connect(policyapi.ProxyConnected{Proxy: 1})
	got := publisher.Apply([]policyapi.Order{policyapi.SetWeight{Table: 1, Endpoint: "s-2", Weight: 1}, policyapi.BindProxy{Proxy: 1, Table: 1}})
	if len(got) != 1 || strings.Join(messageTexts(t, got[0].Bytes), "|") != "CONFIG replace 1 rows s-2:1 drop s-2 undrop s-1" {
		t.Errorf("got messages %+v, want one that binds table 1, ejects s-2 and restores s-1", got)
	}
	publisher.DiscardEndpoints([]policyapi.EndpointID{"s-2"})
	if len(publisher.ejected) != 0 || len(publisher.proxyEjections[1]) != 0 {
		t.Errorf("got ejections %v and proxy ejections %v, want none", publisher.ejected, publisher.proxyEjections)
	}
}

// A large table is sent in several parts of at most maxRowsPerPart rows.
func TestLargeTableIsSplitIntoParts(t *testing.T) {
	publisher := NewPublisher(testSettings.Classes)
	publisher.Connect(policyapi.ProxyConnected{Proxy: 1})
	var orders []policyapi.Order
	for i := range 3*maxRowsPerPart + 1 {
		orders = append(orders, policyapi.SetWeight{Table: 1, Endpoint: policyapi.EndpointID(fmt.Sprintf("s-%090d", i)), Weight: 1})
	}
	got := publisher.Apply(append(orders, policyapi.BindProxy{Proxy: 1, Table: 1}, policyapi.RequestAck{AckID: 1}))
	parts := messageTexts(t, got[0].Bytes)
	if len(parts) != 4 || !strings.HasSuffix(parts[3], "stamp 1") || !strings.HasSuffix(parts[2], "part 1") || strings.Contains(parts[1], "replace") {
		t.Errorf("got %d parts, want 4: replace only in the first, part 1 in all but the last, stamp in the last", len(parts))
	}
}

// A batch binds a stream and changes the weights of a table, in either order: the stream's message has the state at the end of
// the batch.
func TestBindAndWeightInOneBatch(t *testing.T) {
	setUp := []policyapi.Order{
		policyapi.SetWeight{Table: 1, Endpoint: "s-1", Weight: 1},
		policyapi.SetWeight{Table: 1, Endpoint: "s-2", Weight: 1},
		policyapi.SetWeight{Table: 2, Endpoint: "s-3", Weight: 1},
	}
	bind := func(table policyapi.TableID) policyapi.Order { return policyapi.BindProxy{Proxy: 1, Table: table} }
	drain := policyapi.SetWeight{Table: 1, Endpoint: "s-1"}
	for name, c := range map[string]struct {
		before, batch []policyapi.Order
		want          string
	}{
		"bound, then removed":              {setUp, []policyapi.Order{bind(1), drain}, "CONFIG replace 1 rows s-2:1"},
		"removed, then bound":              {setUp, []policyapi.Order{drain, bind(1)}, "CONFIG replace 1 rows s-2:1"},
		"removed, then bound elsewhere":    {append(slices.Clone(setUp), bind(1)), []policyapi.Order{drain, bind(2)}, "CONFIG replace 1 rows s-3:1"},
		"bound elsewhere, then removed":    {append(slices.Clone(setUp), bind(1)), []policyapi.Order{bind(2), drain}, "CONFIG replace 1 rows s-3:1"},
		"removed, restored, removed again": {append(slices.Clone(setUp), bind(1)), []policyapi.Order{drain, setUp[0], drain}, "CONFIG rows s-1:0"},
	} {
		t.Run(name, func(t *testing.T) {
			publisher := NewPublisher(testSettings.Classes)
			publisher.Connect(policyapi.ProxyConnected{Proxy: 1})
			publisher.Apply(c.before)
			messages := publisher.Apply(c.batch)
			if len(messages) != 1 || strings.Join(messageTexts(t, messages[0].Bytes), "|") != c.want {
				t.Errorf("got messages %+v, want one: %s", messages, c.want)
			}
		})
	}
}
