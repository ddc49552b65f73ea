package testutil

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update-golden", false, "write golden files instead of comparing with them")

// Golden compares got with a golden file in testdata, or writes the file if the test runs with -update-golden.
func Golden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := goldenPath(name)
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("content differs from %s: got\n%s\nwant\n%s", path, got, want)
	}
}

func goldenPath(name string) string { return filepath.Join("testdata", "golden", name) }

// Updating reports whether the test runs with -update-golden, for tests that write their golden files by other means than
// Golden.
func Updating() bool { return *update }

// ReadGolden returns the content of a golden file.
func ReadGolden(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(goldenPath(name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}
