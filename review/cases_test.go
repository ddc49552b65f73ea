//go:build review

// Package review has the cases of an independent review: each is a folder with its claim and a script.
package review

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// TestReviewCases runs the script of each case. It needs the deploy file's build and build.sh.
func TestReviewCases(t *testing.T) {
	scripts, err := filepath.Glob("[0-9]/run.sh")
	if err != nil {
		t.Fatal(err)
	}
	for _, script := range scripts {
		t.Run(filepath.Dir(script), func(t *testing.T) {
			command := exec.Command("./" + script)
			command.Stdout, command.Stderr = os.Stdout, os.Stderr
			if err := command.Run(); err != nil {
				t.Errorf("%s: %v", script, err)
			}
		})
	}
}
