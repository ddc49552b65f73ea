package porthub

import (
	"os/exec"
	"slices"
	"strings"
	"testing"
)

// purePackages are the packages that make decisions and do no I/O.
var purePackages = []string{"policyapi", "policylog", "policy", "routing", "coordinator", "solver", "recovery", "membership", "loadreport", "degradation",
	"expectation", "resp", "proxyproto"}

// Packages that make decisions neither do I/O nor depend on a package that does: not on the network or other processes, and not on
// the packages that deliver tables, read registries or run the daemon.
func TestPurePackagesStayPure(t *testing.T) {
	allowed := append([]string{"simwire"}, purePackages...)
	for _, p := range purePackages {
		t.Run(p, func(t *testing.T) {
			out, err := exec.Command("go", "list", "-deps", "./"+p).CombinedOutput()
			if err != nil {
				t.Fatalf("go list failed with %v: %s", err, out)
			}
			for _, dep := range strings.Fields(string(out)) {
				own, isOwn := strings.CutPrefix(dep, "porthub/")
				if dep == "net" || dep == "os/exec" || dep == "net/http" || isOwn && !slices.Contains(allowed, own) {
					t.Errorf("%s depends on %s, which does I/O or is not a pure package", p, dep)
				}
			}
		})
	}
}

// layers are the rows of the diagram in docs/architecture.md, with the lowest layer first.
var layers = [][]string{
	{"policyapi", "policylog", "resp", "http1", "inbound", "mailbox", "httpclient", "clock", "testutil"},
	{"policy", "routing", "membership", "recovery", "loadreport", "degradation", "solver", "simwire"},
	{"coordinator", "xds", "solver/fleets", "proxyproto"},
	{"client", "xdsfile", "xdspoll", "registry/file", "registry/eureka", "healthcheck", "config", "capture", "expectation"},
	{"daemon", "emulator", "emulator/eureka", "audit", "proxyserver"},
	{"chaos", "tui"},
	{"cmd/porthub", "cmd/adapter"},
}

// A package imports packages of this module only from its own layer and from lower layers.
func TestImportsPointDown(t *testing.T) {
	layerOf := map[string]int{}
	for layer, packages := range layers {
		for _, name := range packages {
			layerOf[name] = layer
		}
	}
	out, err := exec.Command("go", "list", "-f", "{{.ImportPath}} {{join .Imports \" \"}}", "./...").Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(strings.TrimSpace(string(out)), "\n") {
		words := strings.Fields(line)
		name, isOwn := strings.CutPrefix(words[0], "porthub/")
		if !isOwn {
			continue // the root of the module, which contains only tests
		}
		layer, known := layerOf[name]
		if !known {
			t.Errorf("%s is missing from layers", name)
		}
		for _, path := range words[1:] {
			if imported, own := strings.CutPrefix(path, "porthub/"); own && layerOf[imported] > layer {
				t.Errorf("%s imports %s, which is in a higher layer", name, imported)
			}
		}
	}
}
