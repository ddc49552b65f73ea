package degradation

import "testing"

// A scope whose level has never changed reports 0 as the time of the last change, which the control API documents as unknown.
// since_us used to be -4611686018427387904, the controller's internal value for such a scope.
func TestScopeThatNeverChanged(t *testing.T) {
	for _, scope := range NewController(twoLevels()).Scopes(second) {
		if scope.Since != 0 {
			t.Errorf("scope %q: since = %d, want 0", scope.Zone, scope.Since)
		}
	}
}
