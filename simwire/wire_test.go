package simwire

import (
	"errors"
	"io"
	"strings"
	"testing"

	"porthub/policyapi"
)

const up = `UP	coordinator-0	7	{"az":"a","localities":["a","b"],"me":0,"instances":1,"extra":{"x":1},` +
	`"profiles":[{"name":"view","effect":"repeatable","points":1,"slo":750000},` +
	`{"name":"save","effect":"once","points":2,"slo":1000000,"onlyZones":["a"]}]}`

func TestBatchIsRead(t *testing.T) {
	r := NewReader(strings.NewReader("TURN\t5\n" + up + "\nDISCOVERY\tcoordinator-0\t3\tSAVED\t1\n" +
		"ROW\ta\t10.0.0.1:80\t1.5\t0\t-\tstd\tready\nPROXY_STATS\tcoordinator-0\t4\tsave\t9\t1\t500000\n" +
		"TALLY\tcoordinator-0\ta\t10.0.0.1:80\t14\t1\t48250\t1000000\tbusy:0.62,q:3\nEOB\n"))
	b, err := r.Read()
	if err != nil || len(b.Events) != 4 || b.Now != 5 {
		t.Fatalf("%+v, %v", b, err)
	}
	if k := b.Events[0].Event.(policyapi.Start).Classes; len(k) != 2 || k[0].Idempotency != policyapi.Idempotent ||
		k[1].Idempotency != policyapi.NotIdempotent || len(k[1].AllowedZones) != 1 || k[1].LatencyObjective != 1_000_000 {
		t.Errorf("kinds %+v", k)
	}
	if e := b.Events[1].Event.(policyapi.EndpointUpdate).Endpoints; len(e) != 1 || e[0].Weight != 1.5 || e[0].StartedAt != 0 {
		t.Errorf("entries %+v", e)
	}
	if u := b.Events[2].Event.(policyapi.ProxyLoad); u.Class != 1 || u.Requests != 9 || u.Proxy != 4 {
		t.Errorf("usage %+v", u)
	}
	if h := b.Events[3].Event.(policyapi.EndpointLoad); h.Attempts != 14 || h.Failures != 1 || h.Metrics["q"] != 3 {
		t.Errorf("heard %+v", h)
	}
	if _, err := r.Read(); !errors.Is(err, io.EOF) {
		t.Errorf("a clean end gives %v", err)
	}
}

// What is malformed is named by line, message and part.
func TestMalformedLinesAreNamed(t *testing.T) {
	for text, want := range map[string]string{
		"HELLO\t1\n":                                           "line 1: HELLO: message",
		"TURN\tsoon\n":                                         "line 1: TURN: time",
		"TURN\t1\nNOISE\tcoordinator-0\nEOB\n":                 "line 2: NOISE: message",
		"TURN\t1\nRING\tcoordinator-0\nEOB\n":                  "line 2: RING: nonce: missing",
		"TURN\t1\nRING\tcoordinator-0\t1\t2\n":                 "line 2: RING: end of line",
		"TURN\t1\nRING\tcoordinator-0\t1\n":                    "line 3: EOB",
		"TURN\t1\nRING\tcoordinator-0\t1":                      "line 2",
		"TURN\t1\nUP\tcoordinator-0\t1\t{\nEOB\n":              "line 2: UP: info",
		"TURN\t1\nTALLY\tc\ta\tb\tmany\t0\t0\t0\t-\nEOB\n":     "line 2: TALLY: total",
		"TURN\t1\nTALLY\tc\ta\tb\t1\t0\t0\t0\tbusy\nEOB\n":     "line 2: TALLY: telemetry",
		"TURN\t1\nDISCOVERY\tc\t1\tFULL\t2\nEOB\n":             "line 3: EOB: message: expected ROW",
		"TURN\t1\nDISCOVERY\tc\t1\tFULL\t1\n":                  "line 3: ROW",
		"TURN\t1\nDISCOVERY\tc\t1\tSOME\t0\nEOB\n":             "line 2: DISCOVERY: how",
		"TURN\t1\nSUBSCRIBED\tc\tyes\ta\t1\t1\nEOB\n":          "line 2: SUBSCRIBED: on",
		"TURN\t1\nMEMO\tc\t1\t***\nEOB\n":                      "line 2: MEMO: body",
		"TURN\t1\nSTREAM_DOWN\tc\t99999999999999999999\nEOB\n": "line 2: STREAM_DOWN: agent",
	} {
		if _, err := NewReader(strings.NewReader(text)).Read(); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q gives %v, want %s", text, err, want)
		}
	}
}

func TestOrdersAreWritten(t *testing.T) {
	var out strings.Builder
	w := NewWriter(&out)
	w.Order("c", policyapi.SetWeight{Table: 3, Endpoint: "b:1", Weight: 0.75})
	w.Order("c", policyapi.SetAdmission{Table: policyapi.AllTables, Classes: 2, Level: 1e6, RetryPolicy: 1})
	w.Order("c", policyapi.Log{Text: "two\tlines\nof it"})
	w.Exception("c", "out of\nrange")
	w.End()
	want := "LINE\tc\t3\t0.75\tb:1\nGATE_CLASS\tc\t65535\t2\t1e+06\t1\nRECORD\tc\ttwo lines of it\n" +
		"EXCEPTION\tc\tout of range\nOK\n"
	if out.String() != want {
		t.Errorf("%q", out.String())
	}
}
