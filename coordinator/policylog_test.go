package coordinator

import (
	"reflect"
	"testing"

	"porthub/policylog"
)

// Each kind of log line of the decision module becomes an entry with the line's values as fields.
func TestPolicyLogLines(t *testing.T) {
	for text, want := range map[string]LogEntry{
		"levels on: true, 479.2 reqs a second asked, 428.3 can be done": {Event: "admission",
			Fields: []LogField{{"limited", true}, {"demand", 479.2}, {"capacity", 428.3}}},
		"1.2.3.4:5 sick from a: of about 13 tries in a row none was done": {Event: "endpoint_ejected",
			Fields: []LogField{{"endpoint", "1.2.3.4:5"}, {"zone", "a"}, {"attempts", 13.0}}},
		"sick marks of b passed over: false, 3 of 9 reqs a second well": {Event: "panic_threshold",
			Fields: []LogField{{"zone", "b"}, {"active", false}, {"healthy", 3.0}, {"total", 9.0}}},
		"something new": {Event: "policy"},
	} {
		t.Run(text, func(t *testing.T) {
			got := policyLogEntry(text)
			if got.Event != want.Event || !reflect.DeepEqual(got.Fields, want.Fields) || got.Text != policylog.Parse(text).Text || got.Level != LogInfo {
				t.Errorf("entry %+v, want info event and fields of %+v", got, want)
			}
		})
	}
}
