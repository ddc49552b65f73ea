package file

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"porthub/policyapi"
)

func TestParse(t *testing.T) {
	got, err := Parse([]byte(`[{"targets": ["10.0.0.1:80", "10.0.0.2:80"], "labels": {"zone": "a", "weight": "2.5", "pod": "4", "machine": "m",
		"status": "draining", "launched": "1970-01-01T00:00:01Z", "other": "x"}}, {"targets": ["h:1"], "labels": {"zone": "b", "launched": "77"}}]`))
	if err != nil || len(got) != 3 {
		t.Fatalf("%v, %v", got, err)
	}
	if want := (policyapi.Endpoint{ID: "10.0.0.2:80", Zone: "a", Weight: 2.5, Pod: 4, MachineType: "m", Status: policyapi.Draining,
		StartedAt: 1_000_000}); got[1] != want {
		t.Errorf("%+v", got[1])
	}
	if got[2].Weight != 1 || got[2].StartedAt != 77 || got[2].Status != policyapi.Ready {
		t.Errorf("%+v", got[2])
	}
}

func TestParseRejectsInvalidLists(t *testing.T) {
	for text, want := range map[string]string{
		``:                       "empty",
		`   `:                    "empty",
		`[{"targets": ["a:1"]`:   "unexpected",
		`{}`:                     "cannot unmarshal",
		`[] []`:                  "follows",
		`[{"targets": ["a:1"]}]`: "zone is missing",
		`[{"targets": ["a"], "labels": {"zone": "a"}}]`:                        "no address:port",
		`[{"targets": ["a:0"], "labels": {"zone": "a"}}]`:                      "no address:port",
		`[{"targets": ["a:1"], "labels": {"zone": "a", "weight": "-1"}}]`:      "weight",
		`[{"targets": ["a:1"], "labels": {"zone": "a", "weight": "NaN"}}]`:     "weight",
		`[{"targets": ["a:1"], "labels": {"zone": "a", "status": "fine"}}]`:    "status",
		`[{"targets": ["a:1"], "labels": {"zone": "a", "launched": "today"}}]`: "launched",
		`[{"targets": ["a:1"], "labels": {"zone": "a", "pod": "x"}}]`:          "pod",
	} {
		t.Run(text, func(t *testing.T) {
			if _, err := Parse([]byte(text)); !errors.Is(err, ErrInvalidList) || !strings.Contains(err.Error(), want) {
				t.Errorf("%v, want ErrInvalidList with %q", err, want)
			}
		})
	}
}

// A source delivers each change once, an invalid file once, and nothing without a request.
func TestSourceDeliversChanges(t *testing.T) {
	path := filepath.Join(t.TempDir(), "nodes.json")
	var mu sync.Mutex
	var lists, failures int
	var last []policyapi.Endpoint
	s := New(path, 20*time.Millisecond, func(e []policyapi.Endpoint, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			failures++
		} else {
			lists, last = lists+1, e
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.Run(ctx)
	put := func(text string) {
		t.Helper()
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	wait := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(2 * time.Millisecond) {
			mu.Lock()
			done := ok()
			mu.Unlock()
			if done {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("not within 10 s: %s (%d lists, %d failures)", what, lists, failures)
			}
		}
	}
	put(`[{"targets": ["a:1"], "labels": {"zone": "a"}}]`)
	time.Sleep(60 * time.Millisecond)
	mu.Lock()
	if lists+failures != 0 {
		t.Error("it delivers without a request")
	}
	mu.Unlock()
	s.Watch(true)
	wait("the list", func() bool { return lists == 1 && len(last) == 1 })
	put(`[{"targets": ["a:1", "b:1"], "labels": {"zone": "a"}}]`)
	wait("the change", func() bool { return lists == 2 && len(last) == 2 })
	put(`[{"targets": ["a:1", "b`)
	wait("the partial file", func() bool { return failures == 1 })
	time.Sleep(100 * time.Millisecond)
	wait("delivered once", func() bool { return failures == 1 && lists == 2 })
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	s.Fetch()
	wait("a missing file after a request", func() bool { return failures == 2 })
	put(`[{"targets": ["a:1", "b:1"], "labels": {"zone": "a"}}]`)
	wait("the same list again, after the failure", func() bool { return lists == 3 })
}
