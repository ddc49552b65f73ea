//go:build review

package review

import (
	"os/exec"
	"testing"
)

// TestSecondReviewCases runs each case of the second review. It needs the build of the deploy file and review/build-2.sh.
func TestSecondReviewCases(t *testing.T) {
	for _, name := range []string{"6", "7", "8", "9", "10"} {
		t.Run(name, func(t *testing.T) {
			if out, err := exec.Command("bash", name+"/run.sh").CombinedOutput(); err != nil {
				t.Errorf("review/%s/run.sh: %v\n%s", name, err, out)
			}
		})
	}
}
