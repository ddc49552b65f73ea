package simwire

import (
	"errors"
	"strings"
	"testing"

	"porthub/policyapi"
)

// A reply consists of one line for each order and exception, from whose texts line ends and tabs are removed, and a last
// line.
func TestOrdersAreWritten(t *testing.T) {
	var out strings.Builder
	w := NewWriter(&out)
	w.Order("c", policyapi.SetWeight{Table: 3, Endpoint: "b:1", Weight: 0.75})
	w.Order("c", policyapi.SetAdmission{Table: policyapi.AllTables, Classes: 2, Level: 1e6, RetryPolicy: 1})
	w.Order("c", policyapi.Log{Text: "two\tlines\nof text"})
	w.Exception("c", "out of\nrange")
	w.End()
	want := "LINE\tc\t3\t0.75\tb:1\nGATE_CLASS\tc\t65535\t2\t1e+06\t1\nRECORD\tc\ttwo lines of text\n" +
		"EXCEPTION\tc\tout of range\nOK\n"
	if out.String() != want {
		t.Errorf("wrote %q, want %q", out.String(), want)
	}
}

// Each order is written as its message with its parts; an order of an unknown type is written as an exception.
func TestEveryOrderHasALine(t *testing.T) {
	for want, order := range map[string]policyapi.Order{
		"RECORD\tc\ttext":                      policyapi.Log{Text: "text"},
		"TAIL\tc\t1":                           policyapi.WatchEndpoints{Enabled: true},
		"QUERY_ALL\tc":                         policyapi.Resync{},
		"SLEEP\tc\t250000\t3":                  policyapi.SetTimer{After: 250_000, Token: 3},
		"HEALTH_CHECK\tc\tb:1":                 policyapi.CheckHealth{Endpoint: "b:1"},
		"BROADCAST_TO\tc\tall\taGk=":           policyapi.Broadcast{Body: []byte("hi")},
		"LINE\tc\t3\t0.333333\tb:1":            policyapi.SetWeight{Table: 3, Endpoint: "b:1", Weight: 1.0 / 3},
		"DROP_LINES\tc\t3":                     policyapi.ClearTable{Table: 3},
		"INSTALL\tc\t7\t3\t2":                  policyapi.BindProxy{Proxy: 7, Table: 3, Classes: 2},
		"MASK\tc\tb:1\t0":                      policyapi.EjectEndpoint{Endpoint: "b:1"},
		"GATE_CLASS\tc\t65535\t0\t0.5\t2":      policyapi.SetAdmission{Table: policyapi.AllTables, Level: 0.5, RetryPolicy: policyapi.RetryOnce},
		"MARK\tc\t9\t1":                        policyapi.RequestAck{AckID: 9, AllProxies: true},
		"EXCEPTION\tc\tno wire form for <nil>": nil,
	} {
		var out strings.Builder
		w := NewWriter(&out)
		w.Order("c", order)
		if err := w.End(); err != nil {
			t.Fatal(err)
		}
		if got := out.String(); got != want+"\nOK\n" {
			t.Errorf("%#v is written as %q, want %q", order, got, want)
		}
	}
}

type failingWriter struct{}

var errFull = errors.New("full")

func (failingWriter) Write([]byte) (int, error) { return 0, errFull }

// End returns an error of the underlying writer.
func TestWriteErrorIsReturned(t *testing.T) {
	w := NewWriter(failingWriter{})
	w.Order("c", policyapi.Resync{})
	if err := w.End(); !errors.Is(err, errFull) {
		t.Errorf("End returned %v, want %v", err, errFull)
	}
}
