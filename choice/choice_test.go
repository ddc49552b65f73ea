package choice

import (
	"testing"

	"porthub/control"
)

// A quiet fleet keeps its tries at home, every proxy has a line for every kind, and nothing is turned away.
func TestQuietFleetStaysAtHome(t *testing.T) {
	h := start(t, nil)
	h.fleet()
	h.pass(10*second, h.steady(10, 0.3, 200_000))
	for p, home := range map[control.Proxy]control.Backend{0: "a", 1: "b", 2: "c"} {
		for k, table := range h.binds[p] {
			lines := h.tables[table]
			if len(lines) != 2 || lines[home+"1"] == 0 || lines[home+"2"] == 0 {
				t.Errorf("proxy %d, kind %d: lines %v, want the two at home", p, k, lines)
			}
		}
	}
	if a := h.admits[0]; a.Level < everything || a.SecondTry != 1 {
		t.Errorf("quiet fleet has level %+v", a)
	}
}

// A backend that answers nothing while its lines should bring tries loses its lines, and gets them back step by step
// once a probe goes well.
func TestSilentBackendLeavesAndReturns(t *testing.T) {
	h := start(t, nil)
	h.fleet()
	h.pass(5*second, h.steady(20, 0.4, 200_000))
	full := h.tables[0]["a1"]
	h.pass(5*second, h.steady(20, 0.4, 200_000, "a1"))
	if w, has := h.tables[0]["a1"]; has {
		t.Fatalf("the silent backend still has weight %.2f", w)
	}
	if h.count["probe"] == 0 {
		t.Fatal("nobody probed it")
	}
	h.tell(control.Probed{Backend: "a1", OK: true})
	h.pass(2*second, h.steady(20, 0.4, 200_000, "a1"))
	if w := h.tables[0]["a1"]; w == 0 || w > full/2 {
		t.Errorf("back with weight %.2f, want a small part of %.2f", w, full)
	}
}
