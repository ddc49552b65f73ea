package porthub

import (
	"os/exec"
	"strings"
	"testing"
)

// The packages that decide are free of I/O and of what does I/O: an import of ours never points from them to a front,
// a registry, the daemon or the network.
func TestPurePackagesStayPure(t *testing.T) {
	pure := []string{"control", "choice", "tables", "coordinator", "solver", "recovery", "membership", "intake", "service", "expect", "front/resp", "platform"}
	for _, p := range pure {
		out, err := exec.Command("go", "list", "-deps", "./"+p).CombinedOutput()
		if err != nil {
			t.Fatalf("%s: %v: %s", p, err, out)
		}
		for _, dep := range strings.Fields(string(out)) {
			if dep == "net" || dep == "os/exec" || dep == "net/http" || strings.HasPrefix(dep, "porthub/") &&
				!strings.Contains(" porthub/control porthub/choice porthub/tables porthub/coordinator porthub/solver porthub/recovery porthub/membership porthub/intake porthub/service porthub/expect porthub/wire porthub/front/resp porthub/platform ", " "+dep+" ") {
				t.Errorf("%s imports %s", p, dep)
			}
		}
	}
}
