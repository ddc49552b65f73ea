package main

import (
	"strings"
	"testing"

	"porthub/policy"
	"porthub/policyapi"
	"porthub/simwire"
)

// The adapter replies to every batch, ignores events for instances that do not run, drops a crashed instance, and returns an
// error for input that ends within a batch.
func TestServe(t *testing.T) {
	start := "UP\tcoordinator-0\t7\t{\"localities\":[\"a\"],\"discovery\":\"ask\"," +
		"\"profiles\":[{\"name\":\"view\",\"points\":1,\"slo\":750000}]}\n"
	in := "TURN\t1\nEOB\nTURN\t2\nRING\tcoordinator-5\t1\nEOB\nTURN\t3\n" + start + "EOB\n" +
		"TURN\t4\nCRASH_NOW\tcoordinator-0\nRING\tcoordinator-0\t1\nEOB\n"
	var out strings.Builder
	if err := serve(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	replies := strings.Split(out.String(), "OK\n")
	if len(replies) != 5 || replies[0] != "" || replies[1] != "" || replies[3] != "" {
		t.Errorf("replies %q, want four, of which only the third has orders", replies)
	}
	if !strings.Contains(replies[2], "TAIL\tcoordinator-0\t1\n") || !strings.Contains(replies[2], "SLEEP\t") {
		t.Errorf("the started instance replied %q, want a TAIL and a SLEEP", replies[2])
	}
	if err := serve(strings.NewReader("TURN\t1\nRING\tcoordinator-0\t1\n"), &out); err == nil {
		t.Error("serve accepted input that ends within a batch")
	}
}

// A panic of an instance, here one that New did not create, is reported as an exception, and the other instances still
// reply.
func TestPanicIsReported(t *testing.T) {
	in := "TURN\t1\n" +
		"UP\tgood\t7\t{\"localities\":[\"a\"],\"profiles\":[{\"name\":\"view\",\"slo\":750000}]}\n" +
		"DISCOVERY\tbad\t1\tFULL\t1\nROW\ta\tb:1\t1\t0\t-\tstd\tready\n" +
		"EOB\n"
	batch, err := simwire.NewReader(strings.NewReader(in)).Read()
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	w := simwire.NewWriter(&out)
	h := host{instances: map[policyapi.InstanceID]*policy.Instance{"bad": {}}}
	h.handle(batch, w)
	if err := w.End(); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "EXCEPTION\tbad\t") || !strings.Contains(out.String(), "SLEEP\tgood\t") {
		t.Errorf("reply %q, want an exception of bad and a timer of good", out.String())
	}
}

// An instance that starts without zones does not panic.
func TestStartWithoutZones(t *testing.T) {
	in := "TURN\t1\nUP\ti\t7\t{\"localities\":[]}\nDISCOVERY\ti\t1\tFULL\t1\nROW\ta\tb:1\t1\t0\t-\tstd\tready\nEOB\n"
	var out strings.Builder
	if err := serve(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if strings.Contains(out.String(), "EXCEPTION") || !strings.Contains(out.String(), "SLEEP\ti\t") {
		t.Errorf("reply %q, want a timer and no exception", out.String())
	}
}
