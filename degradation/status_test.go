package degradation

import "testing"

// A scope that has never changed has its level since 0, as the page of the API says of times that are not known. (Regression: since_us
// was -4611686018427387904, the mark by which the controller knows such a scope.)
func TestScopeThatNeverChanged(t *testing.T) {
	for _, scope := range NewController(twoLevels()).Scopes(second) {
		if scope.Since != 0 {
			t.Errorf("scope %q since %d", scope.Zone, scope.Since)
		}
	}
}
