package capture

import (
	"encoding/json"
	"fmt"
	"reflect"

	"porthub/policyapi"
)

// ExportedRecord is a record as `porthub capture export` prints it. The fields are sorted by JSON key.
type ExportedRecord struct {
	Command   *Command                `json:"command,omitempty"`
	End       *End                    `json:"end,omitempty"`
	Gap       *Gap                    `json:"gap,omitempty"`
	Inputs    []NamedValue            `json:"in,omitzero"` // nil unless the record is a step
	Now       *policyapi.Microseconds `json:"now_us,omitempty"`
	Orders    []NamedValue            `json:"out,omitzero"` // nil unless the record is a step
	Published string                  `json:"published,omitempty"`
	Seq       uint64                  `json:"record"`
	Start     *Start                  `json:"start,omitempty"`
}

// NamedValue is an input or order with its name in records. In JSON it is an object whose only key is the name.
type NamedValue struct {
	Name  string
	Value any
}

// MarshalJSON prints the value under its name.
func (v NamedValue) MarshalJSON() ([]byte, error) {
	return json.Marshal(map[string]any{v.Name: v.Value})
}

// Export returns the record in its form for JSON.
func (r *Record) Export() ExportedRecord {
	out := ExportedRecord{Seq: r.Seq}
	switch {
	case r.Start != nil:
		out.Start = r.Start
	case r.Command != nil:
		out.Command = r.Command
	case r.Gap != nil:
		out.Gap = r.Gap
	case r.End != nil:
		out.End = r.End
	case r.Step != nil:
		out.Now = &r.Step.Now
		out.Inputs = exportValues(r.Step.Inputs)
		out.Orders = exportValues(r.Step.Orders)
		if r.Step.Digest != 0 {
			out.Published = fmt.Sprintf("%x", r.Step.Digest)
		}
	}
	return out
}

// exportValues returns values with their names. It never returns nil: a step without inputs has an empty array in JSON.
func exportValues[T any](values []T) []NamedValue {
	out := make([]NamedValue, len(values))
	for i, value := range values {
		out[i] = NamedValue{Name: recordNames[reflect.TypeOf(value)], Value: value}
	}
	return out
}
