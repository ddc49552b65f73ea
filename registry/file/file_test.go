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
		t.Fatalf("Parse returned %v, error %v; want three endpoints", got, err)
	}
	if want := (policyapi.Endpoint{ID: "10.0.0.2:80", Zone: "a", Weight: 2.5, Pod: 4, MachineType: "m", Status: policyapi.Draining,
		StartedAt: 1_000_000}); got[1] != want {
		t.Errorf("second endpoint is %+v, want %+v", got[1], want)
	}
	if got[2].Weight != 1 || got[2].StartedAt != 77 || got[2].Status != policyapi.Ready {
		t.Errorf("third endpoint is %+v, want weight 1, start time 77 and status ready", got[2])
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
		`[{"targets": ["a"], "labels": {"zone": "a"}}]`:                        "expected address:port",
		`[{"targets": ["a:0"], "labels": {"zone": "a"}}]`:                      "expected address:port",
		`[{"targets": ["a:1"], "labels": {"zone": "a", "weight": "-1"}}]`:      "weight",
		`[{"targets": ["a:1"], "labels": {"zone": "a", "weight": "NaN"}}]`:     "weight",
		`[{"targets": ["a:1"], "labels": {"zone": "a", "status": "fine"}}]`:    "status",
		`[{"targets": ["a:1"], "labels": {"zone": "a", "launched": "today"}}]`: "launched",
		`[{"targets": ["a:1"], "labels": {"zone": "a", "pod": "x"}}]`:          "pod",
	} {
		t.Run(text, func(t *testing.T) {
			if _, err := Parse([]byte(text)); !errors.Is(err, ErrInvalidList) || !strings.Contains(err.Error(), want) {
				t.Errorf("error is %v, want ErrInvalidList with the text %q", err, want)
			}
		})
	}
}

// deliveries records what a source delivers.
type deliveries struct {
	mu       sync.Mutex // guards the fields below
	lists    int
	failures int
	last     []policyapi.Endpoint
}

func (d *deliveries) onUpdate(endpoints []policyapi.Endpoint, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.failures++
		return
	}
	d.lists++
	d.last = endpoints
}

// waitFor waits until a condition holds. It evaluates the condition with the mutex locked.
func (d *deliveries) waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(2 * time.Millisecond) {
		d.mu.Lock()
		done := ok()
		d.mu.Unlock()
		if done {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("not within 10 s: %s (%d lists, %d failures)", what, d.lists, d.failures)
		}
	}
}

// replaceFile replaces a file atomically, as programs that write endpoint lists do.
func replaceFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// A source delivers each change once, the error for an invalid file once, and nothing before a request.
func TestSourceDeliversChanges(t *testing.T) {
	path := filepath.Join(t.TempDir(), "nodes.json")
	d := &deliveries{}
	s := New(path, 20*time.Millisecond, d.onUpdate)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.Run(ctx)
	replaceFile(t, path, `[{"targets": ["a:1"], "labels": {"zone": "a"}}]`)
	time.Sleep(60 * time.Millisecond)
	d.mu.Lock()
	if d.lists+d.failures != 0 {
		t.Errorf("%d deliveries before a request, want none", d.lists+d.failures)
	}
	d.mu.Unlock()
	s.Watch(true)
	d.waitFor(t, "the list is delivered", func() bool { return d.lists == 1 && len(d.last) == 1 })
	replaceFile(t, path, `[{"targets": ["a:1", "b:1"], "labels": {"zone": "a"}}]`)
	d.waitFor(t, "the change is delivered", func() bool { return d.lists == 2 && len(d.last) == 2 })
	replaceFile(t, path, `[{"targets": ["a:1", "b`)
	d.waitFor(t, "the error for the partial file is delivered", func() bool { return d.failures == 1 })
	time.Sleep(100 * time.Millisecond)
	d.waitFor(t, "the error is delivered only once", func() bool { return d.failures == 1 && d.lists == 2 })
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	s.Fetch()
	d.waitFor(t, "the error for the missing file is delivered after a request", func() bool { return d.failures == 2 })
	replaceFile(t, path, `[{"targets": ["a:1", "b:1"], "labels": {"zone": "a"}}]`)
	d.waitFor(t, "the same list is delivered again after the failure", func() bool { return d.lists == 3 })
}
