// Package capture keeps everything that a coordinator's core was told, in order and with its time, and what it ordered
// then, so that an evening can be replayed to the same orders and asked why a node got traffic. docs/capture-format.md
// has the format.
package capture

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"reflect"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"porthub/coordinator"
	"porthub/degradation"
	"porthub/policyapi"
	"porthub/recovery"
	"porthub/routing"
)

// Format is the version of the format that is written. Records of a newer one are not read.
const Format = 1

// Record is one record; one of its parts is set.
type Record struct {
	Seq     uint64   `cbor:"seq"` // from 1 on, anew in each start
	Start   *Start   `cbor:"start,omitempty"`
	Step    *Step    `cbor:"step,omitempty"`
	Command *Command `cbor:"command,omitempty"`
	Gap     *Gap     `cbor:"gap,omitempty"`
	End     *End     `cbor:"end,omitempty"`
}

// Start is the first record of a process.
type Start struct {
	Format   int                  `cbor:"format" json:"Format"`
	Build    string               `cbor:"build" json:"Build"` // decisions may differ in another one
	WallTime int64                `cbor:"wall_us" json:"Wall"`
	Settings coordinator.Settings `cbor:"settings" json:"Settings"`
	Restored *recovery.State      `cbor:"recalled,omitempty" json:"Recalled"` // what the core was handed of the time before
}

// Step is one step of the core: what it was told, what the module ordered, and a digest of what went out.
type Step struct {
	Now    policyapi.Microseconds
	Inputs []coordinator.Input
	Orders []policyapi.Order
	Digest uint64
	// Brief notes for staff: event, node and text, as the log has them.
	Log []coordinator.LogEntry
}

// Command is an operator's word between two steps.
type Command struct {
	Pin   *routing.Pin `cbor:"pin,omitempty" json:"Pin"`
	Unpin int          `cbor:"unpin,omitempty" json:"Unpin"`
	// Drain or Undrain names a node.
	Drain   policyapi.EndpointID `cbor:"drain,omitempty" json:"Drain"`
	Undrain policyapi.EndpointID `cbor:"undrain,omitempty" json:"Undrain"`
	Reason  string               `cbor:"reason,omitempty" json:"Reason"`
	// SetOverride is an operator's word about levels of service, Unsay the number of one that is taken back.
	SetOverride   *degradation.Override `cbor:"say,omitempty" json:"Say"`
	ClearOverride int                   `cbor:"unsay,omitempty" json:"Unsay"`
}

// Gap says that records are missing: what was told then is not known.
type Gap struct {
	From   uint64 `cbor:"from" json:"From"`
	To     uint64 `cbor:"to" json:"To"` // 0: not known, up to what comes next
	Reason string `cbor:"why" json:"Why"`
}

// End is the last record of a process that ended by itself.
type End struct {
	Steps uint64 `cbor:"steps" json:"Steps"`
}

// ErrFormat is a record that can't be read.
var ErrFormat = errors.New("no record of a capture")

// The names of inputs and orders in records. A name once given stays.
var recordNames, recordTypes = naming(map[string]any{
	"list": coordinator.EndpointUpdate{}, "told": coordinator.RegistryUpdate{}, "join": coordinator.GatewayConnected{}, "leave": coordinator.GatewayDisconnected{}, "ack": coordinator.DocumentAck{},
	"report": coordinator.LoadReport{}, "probed": coordinator.HealthCheckResult{}, "refused": coordinator.PeerRejected{}, "failed": coordinator.PublishFailed{},

	"log": policyapi.Log{}, "watch": policyapi.WatchEndpoints{}, "fetch": policyapi.Resync{}, "sleep": policyapi.SetTimer{}, "probe": policyapi.CheckHealth{},
	"tell": policyapi.Broadcast{}, "line": policyapi.SetWeight{}, "clear": policyapi.ClearTable{}, "bind": policyapi.BindProxy{}, "withdraw": policyapi.EjectEndpoint{},
	"admit": policyapi.SetAdmission{}, "marked": policyapi.RequestAck{},
})

func naming(all map[string]any) (map[reflect.Type]string, map[string]reflect.Type) {
	n, t := map[reflect.Type]string{}, map[string]reflect.Type{}
	for name, v := range all {
		n[reflect.TypeOf(v)], t[name] = name, reflect.TypeOf(v)
	}
	return n, t
}

// taggedValue is an input or order with its name.
type taggedValue struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Value cbor.RawMessage
}

type encodedStep struct {
	Now    policyapi.Microseconds `cbor:"now_us"`
	Inputs []taggedValue          `cbor:"in,omitempty"`
	Orders []taggedValue          `cbor:"out,omitempty"`
	Digest uint64                 `cbor:"digest,omitempty"`
	Notes  []coordinator.LogEntry `cbor:"notes,omitempty"`
}

// What is written has its inputs as they are: encoded in one pass, not each by itself and then all together.
type (
	taggedOut struct {
		_     struct{} `cbor:",toarray"`
		Name  string
		Value any
	}
	stepOut struct {
		Now    policyapi.Microseconds `cbor:"now_us"`
		Inputs []taggedOut            `cbor:"in,omitempty"`
		Orders []taggedOut            `cbor:"out,omitempty"`
		Digest uint64                 `cbor:"digest,omitempty"`
		Notes  []coordinator.LogEntry `cbor:"notes,omitempty"`
	}
	recordOut struct {
		Seq     uint64   `cbor:"seq"`
		Start   *Start   `cbor:"start,omitempty"`
		Step    *stepOut `cbor:"step,omitempty"`
		Command *Command `cbor:"command,omitempty"`
		Gap     *Gap     `cbor:"gap,omitempty"`
		End     *End     `cbor:"end,omitempty"`
	}
)

// encode appends a record's map to a buffer.
func (r *Record) encode(to *bytes.Buffer) error {
	out := recordOut{Seq: r.Seq, Start: r.Start, Command: r.Command, Gap: r.Gap, End: r.End}
	if r.Step != nil {
		in, err := tag(r.Step.Inputs)
		if err != nil {
			return err
		}
		orders, err := tag(r.Step.Orders)
		if err != nil {
			return err
		}
		out.Step = &stepOut{r.Step.Now, in, orders, r.Step.Digest, r.Step.Log}
	}
	return cbor.MarshalToBuffer(out, to)
}

func tag[T any](values []T) ([]taggedOut, error) {
	out := make([]taggedOut, len(values))
	for i, v := range values {
		name, known := recordNames[reflect.TypeOf(v)]
		if !known {
			return nil, fmt.Errorf("capture: %T has no name", v)
		}
		out[i].Name, out[i].Value = name, v
	}
	return out, nil
}

func untag[T any](in []taggedValue) (out []T, err error) {
	for _, t := range in {
		kind, known := recordTypes[t.Name]
		if !known {
			return nil, fmt.Errorf("%w: %q is not known here: a newer build wrote it", ErrFormat, t.Name)
		}
		v := reflect.New(kind)
		if err := cbor.Unmarshal(t.Value, v.Interface()); err != nil {
			return nil, fmt.Errorf("%w: %s: %v", ErrFormat, t.Name, err)
		}
		one, is := v.Elem().Interface().(T)
		if !is {
			return nil, fmt.Errorf("%w: %s stands in the wrong place", ErrFormat, t.Name)
		}
		out = append(out, one)
	}
	return out, nil
}

// UnmarshalCBOR reads a step.
func (s *Step) UnmarshalCBOR(text []byte) (err error) {
	var r encodedStep
	if err := cbor.Unmarshal(text, &r); err != nil {
		return err
	}
	s.Now, s.Digest, s.Log = r.Now, r.Digest, r.Notes
	if s.Inputs, err = untag[coordinator.Input](r.Inputs); err != nil {
		return err
	}
	s.Orders, err = untag[policyapi.Order](r.Orders)
	return err
}

// Digest is of what a step published: for each message its gateway, version and lines.
func Digest(outputs []coordinator.Output) uint64 {
	h, any := xxhash.New(), false
	var buf [8]byte
	num := func(n uint64) {
		binary.LittleEndian.PutUint64(buf[:], n)
		_, _ = h.Write(buf[:])
	}
	for _, o := range outputs {
		p, is := o.(coordinator.Publish)
		if !is {
			continue
		}
		any = true
		_, _ = h.WriteString(string(p.Gateway))
		_, _ = h.WriteString(p.Version)
		for _, c := range p.Snapshot.Clusters {
			weights, withheld := uint64(0), uint64(0)
			for _, l := range c.Endpoints {
				if weights += math.Float64bits(l.Weight); l.Withheld {
					withheld++
				}
			}
			num(uint64(len(c.Endpoints)))
			num(weights)
			num(withheld)
		}
		for _, r := range p.Snapshot.Routes {
			num(math.Float64bits(r.Rate))
			num(math.Float64bits(r.Share))
		}
	}
	if !any {
		return 0
	}
	return h.Sum64()
}

// Export is a record in a form for JSON: inputs and orders beside their names.
func (r *Record) Export() map[string]any {
	out := map[string]any{"record": r.Seq}
	switch {
	case r.Start != nil:
		out["start"] = r.Start
	case r.Command != nil:
		out["command"] = r.Command
	case r.Gap != nil:
		out["gap"] = r.Gap
	case r.End != nil:
		out["end"] = r.End
	case r.Step != nil:
		out["now_us"] = r.Step.Now
		out["in"], out["out"] = plain(r.Step.Inputs), plain(r.Step.Orders)
		if r.Step.Digest != 0 {
			out["published"] = fmt.Sprintf("%x", r.Step.Digest)
		}
	}
	return out
}

func plain[T any](values []T) []map[string]any {
	out := []map[string]any{}
	for _, v := range values {
		out = append(out, map[string]any{recordNames[reflect.TypeOf(v)]: v})
	}
	return out
}
