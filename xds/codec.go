package xds

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// ErrInvalidMessage is wrapped by every error about a text or message that is not what its type demands.
var ErrInvalidMessage = errors.New("no xDS message")

// Encode writes a message as protobuf JSON.
func Encode(m proto.Message) ([]byte, error) {
	return protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
}

// Decode reads protobuf JSON. Unknown fields are ignored: a newer peer may send more. The error wraps ErrInvalidMessage.
func Decode(text []byte, into proto.Message) error {
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(text, into); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrInvalidMessage, into.ProtoReflect().Descriptor().Name(), err)
	}
	return nil
}
