package simwire

import (
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"

	"porthub/policyapi"
)

// start is a message that starts an instance with two request classes.
const start = `UP	coordinator-0	7	{"az":"a","localities":["a","b"],"me":0,"instances":1,"extra":{"x":1},` +
	`"profiles":[{"name":"view","effect":"repeatable","points":1,"slo":750000},` +
	`{"name":"save","effect":"once","points":2,"slo":1000000,"onlyZones":["a"]}]}`

// Read returns a batch with its time and its events.
func TestBatchIsRead(t *testing.T) {
	r := NewReader(strings.NewReader("TURN\t5\n" + start + "\nDISCOVERY\tcoordinator-0\t3\tSAVED\t1\n" +
		"ROW\ta\t10.0.0.1:80\t1.5\t0\t-\tstd\tready\nPROXY_STATS\tcoordinator-0\t4\tsave\t9\t1\t500000\n" +
		"TALLY\tcoordinator-0\ta\t10.0.0.1:80\t14\t1\t48250\t1000000\tbusy:0.62,q:3\nEOB\n"))
	b, err := r.Read()
	if err != nil || len(b.Events) != 4 || b.Now != 5 {
		t.Fatalf("read %+v, %v; want four events at time 5", b, err)
	}
	if k := b.Events[0].Event.(policyapi.Start).Classes; len(k) != 2 || k[0].Idempotency != policyapi.Idempotent ||
		k[1].Idempotency != policyapi.NotIdempotent || len(k[1].AllowedZones) != 1 || k[1].LatencyObjective != 1_000_000 {
		t.Errorf("classes %+v, want view and save with their settings", k)
	}
	if e := b.Events[1].Event.(policyapi.EndpointUpdate).Endpoints; len(e) != 1 || e[0].Weight != 1.5 || e[0].StartedAt != 0 {
		t.Errorf("endpoints %+v, want one with weight 1.5", e)
	}
	if u := b.Events[2].Event.(policyapi.ProxyLoad); u.Class != 1 || u.Requests != 9 || u.Proxy != 4 {
		t.Errorf("proxy load %+v, want 9 requests of class 1 at proxy 4", u)
	}
	if h := b.Events[3].Event.(policyapi.EndpointLoad); h.Attempts != 14 || h.Failures != 1 || h.Metrics["q"] != 3 {
		t.Errorf("endpoint load %+v, want 14 attempts, 1 failure and a queue of 3", h)
	}
	if _, err := r.Read(); !errors.Is(err, io.EOF) {
		t.Errorf("the end of the input between batches returned %v, want io.EOF", err)
	}
}

// A syntax error contains the line, the message and the part.
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
		_, err := NewReader(strings.NewReader(text)).Read()
		if err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q returned %v, want an error that begins with %s", text, err, want)
		}
		var syntax *SyntaxError
		if !errors.As(err, &syntax) || syntax.Line == 0 || syntax.Part == "" {
			t.Errorf("%q returned %#v, want a *SyntaxError with a line and a part", text, err)
		}
	}
}

// Each message is read as its event, with each part in its field.
func TestEventsAreRead(t *testing.T) {
	for text, want := range map[string]InstanceEvent{
		"CRASH_NOW\ti":                           {Crash: true},
		"RING\ti\t3":                             {Event: policyapi.TimerFired{Token: 3}},
		"PROBE_DONE\ti\tb:1\tOk\t250\tq:2":       {Event: policyapi.HealthCheckResult{Endpoint: "b:1", Healthy: true, Code: "Ok", Duration: 250, Metrics: policyapi.LoadMetrics{"q": 2}}},
		"PROBE_DONE\ti\tb:1\tTimedOut\t9\t-":     {Event: policyapi.HealthCheckResult{Endpoint: "b:1", Code: "TimedOut", Duration: 9}},
		"MEMO\ti\t2\taGk=":                       {Event: policyapi.PeerMessage{From: 2, Body: []byte("hi")}},
		"SUBSCRIBED\ti\t1\ta\t7\t2.5":            {Event: policyapi.ProxyConnected{HasDefaultTableOnly: true, Zone: "a", Proxy: 7, Weight: 2.5}},
		"STREAM_DOWN\ti\t7":                      {Event: policyapi.ProxyDisconnected{Proxy: 7}},
		"TALLY\ti\ta\tb:1\t9\t2\t300\t1000\t-":   {Event: policyapi.EndpointLoad{Zone: "a", Endpoint: "b:1", Attempts: 9, Failures: 2, MeanLatency: 300, Period: 1000}},
		"PROXY_STATS\ti\t7\tunknown\t9\t2\t1000": {Event: policyapi.ProxyLoad{Proxy: 7, Class: policyapi.UnknownClass, Requests: 9, Failures: 2, Period: 1000}},
		"TOOK_EFFECT\ti\t400\t7\t12":             {Event: policyapi.Acknowledged{Delay: 400, Proxy: 7, AckID: 12}},
		"HEAT\ti\t3\tunknown\t9\t2\t1000":        {Event: policyapi.SliceLoad{Table: 3, Class: policyapi.UnknownClass, Requests: 9, Failures: 2, Period: 1000}},
		"CHARGE\ti\t1\t3":                        {Event: policyapi.SliceAssigned{Assigned: true, Table: 3}},
		"RECORDED\ti\tb:1\t3\t0.5":               {Event: policyapi.SliceWeight{Endpoint: "b:1", Table: 3, Weight: 0.5}},
		"DISCOVERY\ti\t4\tFAILED\t0":             {Event: policyapi.EndpointUpdate{Version: 4, Kind: policyapi.Failed}},
		"DISCOVERY\ti\t4\tINCREMENTAL\t1\nROW\ta\tb:1\t2\t3\t400\tstd\tdraining": {Event: policyapi.EndpointUpdate{Version: 4, Kind: policyapi.Delta,
			Endpoints: []policyapi.Endpoint{{Zone: "a", ID: "b:1", Weight: 2, Pod: 3, StartedAt: 400, MachineType: "std", Status: policyapi.Draining}}}},
	} {
		want.To = "i"
		batch, err := NewReader(strings.NewReader("TURN\t5\n" + text + "\nEOB\n")).Read()
		if err != nil || !reflect.DeepEqual(batch.Events, []InstanceEvent{want}) {
			t.Errorf("%q is read as %+v, %v, want %+v", text, batch.Events, err, want)
		}
	}
}

// ParseSettings returns each value of the settings object in its field, and the protocol's default for each missing key.
func TestSettings(t *testing.T) {
	got, err := ParseSettings([]byte(`{"az":"a","localities":["a","b"],"me":1,"instances":2,"discovery":"ask","weights":"rough","caps":{"peers":true,"probes":true},
		"domain":{"classOwnZone":[true],"dataPlaneSize":12,"outlierAfter":5,"updateCap":20,"emptyFor":1,"period":2,"reloadSpan":3,"transit":4,"worstTransit":5,
		"envelope":6,"linesPerS":7,"ingestRate":8,"socketsMin":9.5,"queueCap":10,"levelKind":"rate"},
		"guarantees":{"askWithin":11,"cold":12,"drainGrace":13,"fall":14,"coldFrom":0.5,"tipMultiple":2.5,"softRemoval":true},
		"loadInfo":{"fields":["busy"],"source":"inline"},
		"profiles":[{"name":"v","effect":"by_key","keyScope":"cell","hardLimit":15,"slo":16,"points":17,"onlyZones":["b"]}]}`))
	want := policyapi.Start{
		Self: 1, InstanceCount: 2, Zone: "a", Zones: []policyapi.Zone{"a", "b"}, ProxyCount: 12, PollsList: true, EjectionThreshold: 5, WeightsListed: true,
		Classes: []policyapi.ClassSettings{{Name: "v", Idempotency: policyapi.IdempotentWithKey, DeduplicationScope: "cell", LatencyObjective: 16,
			ClientTimeout: 15, PriorityWeight: 17, AllowedZones: []policyapi.Zone{"b"}, LocalZoneOnly: true}},
		Rules: policyapi.RuleSettings{EmptyTableLimit: 1, DrainGracePeriod: 13, WarmUp: 12, InitialCapacity: 0.5, OverloadFactor: 2.5, OverloadWindow: 14,
			SoftRemoval: true, PollInterval: 11, QueueLimit: 10, MessageLimit: 20, MessageWindow: 3, HealthChecksAllowed: true, PeerMessagesAllowed: true},
		Channel:   policyapi.ChannelSettings{LinesPerSecond: 7, MessageOverhead: 6, Latency: 4, MaxLatency: 5, EndpointConnections: 9},
		Reports:   policyapi.ReportSettings{Period: 2, MaxLinesPerSecond: 8, MetricsInReports: true, MetricNames: []string{"busy"}},
		Admission: policyapi.AdmissionByRate,
	}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("parsed as %+v, %v, want %+v", got, err, want)
	}
	if got, err := ParseSettings([]byte(`{}`)); err != nil || !reflect.DeepEqual(got, policyapi.Start{InstanceCount: 1, WeightsListed: true}) {
		t.Errorf("an empty object is parsed as %+v, %v, want the defaults", got, err)
	}
}
