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

// layers are the rows of the diagram in docs/architecture.md, the lowest first.
var layers = [][]string{
	{"policyapi", "policylog", "resp", "http1", "mailbox", "httpclient", "clock", "testutil"},
	{"policy", "routing", "membership", "recovery", "loadreport", "degradation", "solver", "simwire"},
	{"coordinator", "xds", "solver/fleets", "proxyproto"},
	{"client", "xdsfile", "xdspoll", "registry/file", "registry/eureka", "healthcheck", "config", "capture", "expectation"},
	{"daemon", "emulator", "emulator/eureka", "audit", "proxyserver"},
	{"chaos", "tui"},
	{"cmd/porthub", "cmd/adapter"},
}

// An import of this module points to a lower layer or to a neighbour in its own.
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
			continue // the module's root has tests only
		}
		layer, known := layerOf[name]
		if !known {
			t.Errorf("%s is in no layer", name)
		}
		for _, path := range words[1:] {
			if imported, own := strings.CutPrefix(path, "porthub/"); own && layerOf[imported] > layer {
				t.Errorf("%s imports %s of a higher layer", name, imported)
			}
		}
	}
}
