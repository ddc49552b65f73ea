package main

import (
	"strings"
	"testing"
)

// The adapter answers every batch, drops events for instances that do not run, forgets a crashed one, and stops with
// an error on input that ends in mid-batch.
func TestServe(t *testing.T) {
	up := "UP\tcoordinator-0\t7\t{\"localities\":[\"a\"],\"discovery\":\"ask\"," +
		"\"profiles\":[{\"name\":\"view\",\"points\":1,\"slo\":750000}]}\n"
	in := "TURN\t1\nEOB\nTURN\t2\nRING\tcoordinator-5\t1\nEOB\nTURN\t3\n" + up + "EOB\n" +
		"TURN\t4\nCRASH_NOW\tcoordinator-0\nRING\tcoordinator-0\t1\nEOB\n"
	var out strings.Builder
	if err := serve(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	replies := strings.Split(out.String(), "OK\n")
	if len(replies) != 5 || replies[0] != "" || replies[1] != "" || replies[3] != "" {
		t.Errorf("replies %q", replies)
	}
	if !strings.Contains(replies[2], "TAIL\tcoordinator-0\t1\n") || !strings.Contains(replies[2], "SLEEP\t") {
		t.Errorf("the started instance says %q", replies[2])
	}
	if err := serve(strings.NewReader("TURN\t1\nRING\tcoordinator-0\t1\n"), &out); err == nil {
		t.Error("input that ends in mid-batch is taken")
	}
}
