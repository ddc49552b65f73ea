package xds

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// ErrInvalidMessage is wrapped by every error for malformed text or an invalid message.
var ErrInvalidMessage = errors.New("no xDS message")

// Encode returns a message as protobuf JSON, with the field names of the .proto files.
func Encode(m proto.Message) ([]byte, error) {
	return protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
}

// Decode parses protobuf JSON into a message. Unknown fields are ignored, since a newer peer may send additional ones. The
// error wraps ErrInvalidMessage.
func Decode(text []byte, into proto.Message) error {
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(text, into); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrInvalidMessage, into.ProtoReflect().Descriptor().Name(), err)
	}
	return nil
}
