package solver_test

import (
	"testing"

	"porthub/solver/fleets"
)

func TestRandom(t *testing.T) {
	m, err := fleets.Measure(1000, 1, true, false)
	t.Logf("%+v %+v %v", m, m.Ratio, err)
}
