package capture

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"reflect"

	"github.com/fxamacker/cbor/v2"

	"porthub/coordinator"
	"porthub/policyapi"
)

// The names of inputs and orders in records. They are part of the format: an existing name must not change.
var recordNames, recordTypes = indexNames(map[string]any{
	"list":    coordinator.EndpointUpdate{},
	"told":    coordinator.RegistryUpdate{},
	"join":    coordinator.GatewayConnected{},
	"leave":   coordinator.GatewayDisconnected{},
	"ack":     coordinator.DocumentAck{},
	"report":  coordinator.LoadReport{},
	"probed":  coordinator.HealthCheckResult{},
	"refused": coordinator.PeerRejected{},
	"failed":  coordinator.PublishFailed{},

	"log":      policyapi.Log{},
	"watch":    policyapi.WatchEndpoints{},
	"fetch":    policyapi.Resync{},
	"sleep":    policyapi.SetTimer{},
	"probe":    policyapi.CheckHealth{},
	"tell":     policyapi.Broadcast{},
	"line":     policyapi.SetWeight{},
	"clear":    policyapi.ClearTable{},
	"bind":     policyapi.BindProxy{},
	"withdraw": policyapi.EjectEndpoint{},
	"admit":    policyapi.SetAdmission{},
	"marked":   policyapi.RequestAck{},
})

func indexNames(values map[string]any) (map[reflect.Type]string, map[string]reflect.Type) {
	names := map[reflect.Type]string{}
	types := map[string]reflect.Type{}
	for name, value := range values {
		valueType := reflect.TypeOf(value)
		names[valueType] = name
		types[name] = valueType
	}
	return names, types
}

// A step is encoded in one pass and decoded in two: the name of an input or order determines the type that its bytes are
// decoded into.
type (
	// taggedValue is an input or order to be decoded.
	taggedValue struct {
		_     struct{} `cbor:",toarray"`
		Name  string
		Value cbor.RawMessage
	}
	encodedStep struct {
		Now    policyapi.Microseconds `cbor:"now_us"`
		Inputs []taggedValue          `cbor:"in,omitempty"`
		Orders []taggedValue          `cbor:"out,omitempty"`
		Digest uint64                 `cbor:"digest,omitempty"`
		Log    []coordinator.LogEntry `cbor:"notes,omitempty"`
	}
	// outgoingValue is an input or order to be encoded.
	outgoingValue struct {
		_     struct{} `cbor:",toarray"`
		Name  string
		Value any
	}
	outgoingStep struct {
		Now    policyapi.Microseconds `cbor:"now_us"`
		Inputs []outgoingValue        `cbor:"in,omitempty"`
		Orders []outgoingValue        `cbor:"out,omitempty"`
		Digest uint64                 `cbor:"digest,omitempty"`
		Log    []coordinator.LogEntry `cbor:"notes,omitempty"`
	}
	outgoingRecord struct {
		Seq     uint64        `cbor:"seq"`
		Start   *Start        `cbor:"start,omitempty"`
		Step    *outgoingStep `cbor:"step,omitempty"`
		Command *Command      `cbor:"command,omitempty"`
		Gap     *Gap          `cbor:"gap,omitempty"`
		End     *End          `cbor:"end,omitempty"`
	}
)

// encode appends a record's CBOR map to a buffer.
func (r *Record) encode(to *bytes.Buffer) error {
	out := outgoingRecord{Seq: r.Seq, Start: r.Start, Command: r.Command, Gap: r.Gap, End: r.End}
	if r.Step != nil {
		inputs, err := nameValues(r.Step.Inputs)
		if err != nil {
			return err
		}
		orders, err := nameValues(r.Step.Orders)
		if err != nil {
			return err
		}
		out.Step = &outgoingStep{Now: r.Step.Now, Inputs: inputs, Orders: orders, Digest: r.Step.Digest, Log: r.Step.Log}
	}
	return cbor.MarshalToBuffer(out, to)
}

func nameValues[T any](values []T) ([]outgoingValue, error) {
	out := make([]outgoingValue, len(values))
	for i, value := range values {
		name, known := recordNames[reflect.TypeOf(value)]
		if !known {
			return nil, fmt.Errorf("capture: %T has no name in records: add it to recordNames", value)
		}
		out[i].Name = name
		out[i].Value = value
	}
	return out, nil
}

func decodeValues[T any](values []taggedValue) ([]T, error) {
	var out []T
	for _, tagged := range values {
		valueType, known := recordTypes[tagged.Name]
		if !known {
			return nil, fmt.Errorf("%w: unknown input or order %q, written by a newer build", ErrFormat, tagged.Name)
		}
		decoded := reflect.New(valueType)
		if err := cbor.Unmarshal(tagged.Value, decoded.Interface()); err != nil {
			return nil, fmt.Errorf("%w: %s: %w", ErrFormat, tagged.Name, err)
		}
		value, ok := decoded.Elem().Interface().(T)
		if !ok {
			return nil, fmt.Errorf("%w: %s is an order among inputs, or an input among orders", ErrFormat, tagged.Name)
		}
		out = append(out, value)
	}
	return out, nil
}

// UnmarshalCBOR decodes a step. Its errors wrap [ErrFormat] or are those of the CBOR decoder.
func (s *Step) UnmarshalCBOR(data []byte) error {
	var encoded encodedStep
	if err := cbor.Unmarshal(data, &encoded); err != nil {
		return err
	}
	inputs, err := decodeValues[coordinator.Input](encoded.Inputs)
	if err != nil {
		return err
	}
	orders, err := decodeValues[policyapi.Order](encoded.Orders)
	if err != nil {
		return err
	}
	*s = Step{Now: encoded.Now, Inputs: inputs, Orders: orders, Digest: encoded.Digest, Log: encoded.Log}
	return nil
}

// recordHeaderSize is the size, in bytes, of the header of each record in a block: the record's length and its CRC-32C, 4 bytes
// each.
const recordHeaderSize = 4 + 4

// blockBody is the uncompressed body of a block.
type blockBody struct {
	buffer  bytes.Buffer
	records int
}

// add appends a record with its header. If the record can't be encoded, the body is left unchanged.
func (b *blockBody) add(r *Record) error {
	start := b.buffer.Len()
	b.buffer.Write(make([]byte, recordHeaderSize))
	if err := r.encode(&b.buffer); err != nil {
		b.buffer.Truncate(start)
		return err
	}
	header := b.buffer.Bytes()[start : start+recordHeaderSize]
	data := b.buffer.Bytes()[start+recordHeaderSize:]
	binary.LittleEndian.PutUint32(header, uint32(len(data)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(data, crcTable))
	b.records++
	return nil
}

// decodeRecord decodes the first record of a block's body and returns the rest of the body. The block's checksum has been
// verified, so any error here was in the block when it was written.
func decodeRecord(body []byte) (record *Record, rest []byte, err error) {
	if len(body) < recordHeaderSize {
		return nil, body, fmt.Errorf("%w: the block ends within a record's header", ErrFormat)
	}
	size := binary.LittleEndian.Uint32(body)
	checksum := binary.LittleEndian.Uint32(body[4:])
	if available := len(body) - recordHeaderSize; uint64(size) > uint64(available) {
		return nil, body, fmt.Errorf("%w: the length of a record is %d bytes, but only %d are left in its block", ErrFormat, size, available)
	}
	data := body[recordHeaderSize : recordHeaderSize+size]
	rest = body[recordHeaderSize+size:]
	if crc32.Checksum(data, crcTable) != checksum {
		return nil, rest, fmt.Errorf("%w: a record's checksum is wrong", ErrFormat)
	}
	record = &Record{}
	if err := cbor.Unmarshal(data, record); err != nil {
		return nil, rest, fmt.Errorf("%w: %w", ErrFormat, err)
	}
	if record.Start != nil && record.Start.Format > Format {
		return nil, rest, &NewerFormatError{Format: record.Start.Format, Build: record.Start.Build}
	}
	return record, rest, nil
}
