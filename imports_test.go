package porthub

import (
	"os/exec"
	"slices"
	"strings"
	"testing"
)

// purePackages decide and do no I/O.
var purePackages = []string{"policyapi", "policylog", "policy", "routing", "coordinator", "solver", "recovery", "membership", "loadreport", "degradation",
	"expectation", "resp", "proxyproto"}

// The packages that decide are free of I/O and of what does I/O: an import of ours never points from them to a front,
// a registry, the daemon or the network.
func TestPurePackagesStayPure(t *testing.T) {
	allowed := append([]string{"simwire"}, purePackages...)
	for _, p := range purePackages {
		t.Run(p, func(t *testing.T) {
			out, err := exec.Command("go", "list", "-deps", "./"+p).CombinedOutput()
			if err != nil {
				t.Fatalf("%v: %s", err, out)
			}
			for _, dep := range strings.Fields(string(out)) {
				own, isOwn := strings.CutPrefix(dep, "porthub/")
				if dep == "net" || dep == "os/exec" || dep == "net/http" || isOwn && !slices.Contains(allowed, own) {
					t.Errorf("%s imports %s", p, dep)
				}
			}
		})
	}
}
