package testutil

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// rapidSeed is the seed of all property tests. It is fixed so that a failure in CI can be reproduced by running the test again.
const rapidSeed = "20261201"

// RunWithFixedSeed runs a package's tests and exits with their exit code. Each property test (package rapid) runs the given
// number of checks and draws the same values in every run. It must be called from TestMain of a package whose tests import
// rapid, which defines the flags; it panics if they are missing.
func RunWithFixedSeed(m *testing.M, checks int) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": rapidSeed, "rapid.checks": strconv.Itoa(checks), "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
