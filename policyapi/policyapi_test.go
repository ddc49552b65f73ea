package policyapi

import (
	"encoding/json"
	"fmt"
	"testing"
)

// String returns the name of each value of an enumeration, and the type and number of an unknown value.
func TestString(t *testing.T) {
	for _, c := range []struct {
		value fmt.Stringer
		want  string
	}{
		{NotIdempotent, "not idempotent"}, {IdempotentWithKey, "idempotent with key"}, {Idempotent, "idempotent"},
		{Idempotency(7), "Idempotency(7)"},
		{AdmissionOff, "off"}, {AdmissionByShare, "share"}, {AdmissionByRate, "rate"}, {AdmissionMode(7), "AdmissionMode(7)"},
		{Delta, "delta"}, {Snapshot, "snapshot"}, {Cached, "cached"}, {Failed, "failed"}, {UpdateKind(7), "UpdateKind(7)"},
		{Ready, "ready"}, {Draining, "draining"}, {Removed, "removed"}, {EndpointStatus(7), "EndpointStatus(7)"},
		{NoRetry, "no retry"}, {RetryIfNotExecuted, "retry if not executed"}, {RetryOnce, "retry once"},
		{RetryTwice, "retry twice"}, {RetryPolicy(7), "RetryPolicy(7)"},
	} {
		if got := c.value.String(); got != c.want {
			t.Errorf("%T(%d).String() = %q, want %q", c.value, c.value, got, c.want)
		}
	}
}

// A retry policy is encoded as an integer, whose value is that of the protocols.
func TestRetryPolicyIsAnInteger(t *testing.T) {
	for value, policy := range []RetryPolicy{NoRetry, RetryIfNotExecuted, RetryOnce, RetryTwice} {
		text, err := json.Marshal(SetAdmission{RetryPolicy: policy})
		if err != nil {
			t.Fatal(err)
		}
		if want := fmt.Sprintf(`{"Table":0,"Kinds":0,"Level":0,"SecondTry":%d}`, value); string(text) != want {
			t.Errorf("encoded as %s, want %s", text, want)
		}
	}
}
