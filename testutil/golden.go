package testutil

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update-golden", false, "write golden files instead of comparing with them")

// Golden compares got with a file of testdata, or writes the file if the test runs with -update-golden.
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
		t.Errorf("%s: got\n%s\nwant\n%s", path, got, want)
	}
}

func goldenPath(name string) string { return filepath.Join("testdata", "golden", name) }

// Updating reports whether golden files are being written. A test that needs an old file to read may not write one then.
func Updating() bool { return *update }

// ReadGolden reads a golden file.
func ReadGolden(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(goldenPath(name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}
