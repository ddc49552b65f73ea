package testutil

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// rapidSeed is the seed of all property tests: a failure in CI must be reproducible by running the test again.
const rapidSeed = "20261201"

// RunWithFixedSeed runs a package's tests and exits with their code. Property tests (package rapid) draw the same values in
// each run, with so many checks each. It is to be called by a TestMain in a package whose tests import rapid, which
// defines the flags; it panics if they are missing.
func RunWithFixedSeed(m *testing.M, checks int) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": rapidSeed, "rapid.checks": strconv.Itoa(checks), "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
