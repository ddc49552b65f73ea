package porthub_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The script .ci/known-red rejects entries of the list of known failures that lack a part, have additional parts, or name a test that
// does not exist or is already listed. Otherwise CI could skip tests by accident. A subtest can be listed without the rest of its test.
func TestKnownRedIsReadStrictly(t *testing.T) {
	const entry = " | go test . -run TestKnownRedIsReadStrictly, seed 1 | 3 findings | issue 7\n"
	for name, c := range map[string]struct{ list, want string }{
		"empty":        {"", ""},
		"a test":       {"TestKnownRedIsReadStrictly" + entry, "^TestKnownRedIsReadStrictly$"},
		"a subtest":    {"TestKnownRedIsReadStrictly/seed_2" + entry, "^TestKnownRedIsReadStrictly$/^seed_2$"},
		"two":          {"TestKnownRedIsReadStrictly/1" + entry + "TestKnownRedIsReadStrictly/2" + entry, "^TestKnownRedIsReadStrictly$/^1$|^TestKnownRedIsReadStrictly$/^2$"},
		"no command":   {"TestKnownRedIsReadStrictly |  | 3 findings | issue 7\n", "refused: lacks a part"},
		"no finding":   {"TestKnownRedIsReadStrictly | go test . | | issue 7\n", "refused: lacks a part"},
		"no issue":     {"TestKnownRedIsReadStrictly | go test . | 3 findings\n", "refused: lacks a part"},
		"no number":    {"TestKnownRedIsReadStrictly | go test . | 3 findings | later\n", "refused: names an issue"},
		"old form":     {"TestKnownRedIsReadStrictly: 3 findings (issue 7)\n", "refused: lacks a part"},
		"unknown":      {"TestThatDoesNotExist" + entry, "refused: does not exist"},
		"twice":        {"TestKnownRedIsReadStrictly" + entry + "TestKnownRedIsReadStrictly" + entry, "refused: listed twice"},
		"a pattern":    {"Test.*" + entry, "refused: not the name of a test"},
		"five parts":   {"TestKnownRedIsReadStrictly | a | b | c | issue 7\n", "refused: has more"},
		"four entries": {"TestKnownRedIsReadStrictly/1" + entry + "TestKnownRedIsReadStrictly/2" + entry + "TestKnownRedIsReadStrictly/3" + entry + "TestKnownRedIsReadStrictly/4" + entry, "refused: three entries at most"},
	} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "list")
			if err := os.WriteFile(file, []byte(c.list), 0o600); err != nil {
				t.Fatal(err)
			}
			cmd := exec.Command("bash", ".ci/known-red", file)
			var printed strings.Builder
			cmd.Stderr = &printed
			pattern, err := cmd.Output()
			if why, refused := strings.CutPrefix(c.want, "refused: "); refused {
				if err == nil || !strings.Contains(printed.String(), why) {
					t.Errorf("error %v, output %q, want a rejection with %q", err, printed.String(), why)
				}
				return
			}
			if err != nil || strings.TrimSpace(string(pattern)) != c.want || !strings.Contains(printed.String(), c.list) {
				t.Errorf("error %v, pattern %q, want %q and the list in the output; output %q", err, pattern, c.want, printed.String())
			}
		})
	}
}
