package policylog

import (
	"reflect"
	"testing"
)

// Each line has the text that captures contain, and Parse returns its event, its figures and a message.
func TestLinesAreReadBack(t *testing.T) {
	tests := []struct {
		name, line, text string
		want             Entry
	}{
		{
			name: "admission limited",
			line: Admission(true, 479.21, 428.34),
			text: "levels on: true, 479.2 reqs a second asked, 428.3 can be done",
			want: Entry{EventAdmission, "admission is limited: demand 479.2 requests/s, capacity 428.3 requests/s",
				[]Field{{"limited", true}, {"demand", 479.2}, {"capacity", 428.3}}},
		},
		{
			name: "admission no longer limited",
			line: Admission(false, 5, 428),
			text: "levels on: false, 5.0 reqs a second asked, 428.0 can be done",
			want: Entry{EventAdmission, "admission is no longer limited: demand 5.0 requests/s, capacity 428.0 requests/s",
				[]Field{{"limited", false}, {"demand", 5.0}, {"capacity", 428.0}}},
		},
		{
			name: "endpoint ejected",
			line: EndpointEjected("1.2.3.4:5", "a", 12.6),
			text: "1.2.3.4:5 sick from a: of about 13 tries in a row none was done",
			want: Entry{EventEndpointEjected, "endpoint 1.2.3.4:5 ejected from zone a: about 13 consecutive attempts failed",
				[]Field{{"endpoint", "1.2.3.4:5"}, {"zone", "a"}, {"attempts", 13.0}}},
		},
		{
			name: "ejections ignored",
			line: PanicThreshold("b", true, 1, 9),
			text: "sick marks of b passed over: true, 1 of 9 reqs a second well",
			want: Entry{EventPanicThreshold, "ejections from zone b ignored: only 1 of 9 requests/s look healthy",
				[]Field{{"zone", "b"}, {"active", true}, {"healthy", 1.0}, {"total", 9.0}}},
		},
		{
			name: "ejections no longer ignored",
			line: PanicThreshold("b", false, 3, 9),
			text: "sick marks of b passed over: false, 3 of 9 reqs a second well",
			want: Entry{EventPanicThreshold, "ejections from zone b in force again: 3 of 9 requests/s look healthy",
				[]Field{{"zone", "b"}, {"active", false}, {"healthy", 3.0}, {"total", 9.0}}},
		},
		{
			name: "unknown format",
			line: "something new",
			text: "something new",
			want: Entry{Event: EventOther, Text: "something new"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if test.line != test.text {
				t.Errorf("line %q, want %q", test.line, test.text)
			}
			if got := Parse(test.line); !reflect.DeepEqual(got, test.want) {
				t.Errorf("parsed as %+v, want %+v", got, test.want)
			}
		})
	}
}
