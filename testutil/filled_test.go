package testutil

import (
	"reflect"
	"testing"
)

type inner struct {
	Name string `json:"name" cbor:"name"`
}

type outer struct {
	Flag    bool             `json:"flag" cbor:"flag"`
	Small   int8             `json:"small" cbor:"small"`
	Count   uint32           `json:"count" cbor:"count"`
	Ratio   float64          `json:"ratio" cbor:"ratio"`
	Pointer *inner           `json:"pointer" cbor:"pointer"`
	Slice   []inner          `json:"slice" cbor:"slice"`
	Pair    [2]string        `json:"pair" cbor:"pair"`
	Map     map[string]inner `json:"map" cbor:"map"`
	Any     any              `json:"any" cbor:"any"`
	hidden  int
}

// Every exported field is set, equal calls return equal values, and fields of the same type have different values.
func TestFilled(t *testing.T) {
	value := Filled[outer](t)
	if !reflect.DeepEqual(value, Filled[outer](t)) {
		t.Error("two calls returned different values")
	}
	if value.Pair[0] == value.Pair[1] || value.Pointer.Name == value.Slice[0].Name {
		t.Errorf("two fields have the same value: %+v", value)
	}
	if len(value.Slice) != 1 || len(value.Map) != 1 || value.Any == nil || value.Small <= 0 {
		t.Errorf("got %+v, want slices and maps of one element and no zero field", value)
	}
	if value.hidden != 0 {
		t.Error("an unexported field is set, want it to be zero")
	}
}

// A type whose fields all have explicit keys is accepted for both encodings.
func TestRequireKeys(t *testing.T) {
	RequireKeys(t, "json", reflect.TypeFor[outer]())
	RequireKeys(t, "cbor", reflect.TypeFor[[]*outer]())
}
