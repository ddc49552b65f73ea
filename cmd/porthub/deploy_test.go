package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// The build command in the deploy file must link the program dynamically, and the run command must replace the shell by that one process,
// because the platform loads a library of its own into the process.
func TestDeployFileBuildsDynamically(t *testing.T) {
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	value := func(key string) string {
		t.Helper()
		match := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"$`).FindSubmatch(text)
		if match == nil {
			t.Fatalf("the deploy file has no key %s", key)
		}
		return string(match[1])
	}
	if run := value("run"); run != "exec bin/porthub node" {
		t.Errorf("run is %q: it must replace the shell by one process", run)
	}
	// A program in bin may be in use, so the test builds in another directory.
	dir := t.TempDir()
	cmd := exec.Command("/bin/sh", "-c", strings.ReplaceAll(value("build"), "-o bin/", "-o "+dir+"/"))
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("the build command failed with %v: %s", err, out)
	}
	program, err := elf.Open(filepath.Join(dir, "porthub"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = program.Close() }()
	if !slices.ContainsFunc(program.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Error("the program has no PT_INTERP segment: it is not linked dynamically")
	}
	libraries, err := program.ImportedLibraries()
	if err != nil || !slices.ContainsFunc(libraries, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		t.Errorf("the program is not linked against the C library: libraries %v, error %v", libraries, err)
	}
}
