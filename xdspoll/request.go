package xdspoll

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"porthub/coordinator"
	"porthub/xds"
)

// ErrUnknownBase is the response to a poll for a delta that can't be built: the publication that the poll's nonce names is
// unknown or no longer kept, and the poll has no resource versions.
var ErrUnknownBase = errors.New("unknown response_nonce: send initial_resource_versions")

// Request is a poll of a gateway for a document.
type Request struct {
	Gateway  coordinator.Gateway
	Document coordinator.Document
	Version  string        // applied by the gateway; empty if there is none
	MaxWait  time.Duration // maximum time to wait for something new; 0 requests a response at once
	// Delta requests single endpoints or routes instead of a complete document: those that differ from the publication
	// with this Nonce or, if it is unknown, from these Versions, which are resource versions by resource name.
	Delta    bool
	Nonce    string
	Versions map[string]string
	// Respond is called once, from any goroutine, unless the poll is rejected or cancelled. Both arguments are nil if there
	// is nothing new.
	Respond func(response *Response, err error)
}

// Response is the response to a poll. Gateways with the same changes share its resources.
type Response struct {
	Version string
	Nonce   string
	*xds.SharedResponse
}

// Message returns the response with its version and nonce. Its resources are shared, so it must not be modified.
func (r *Response) Message() proto.Message { return r.SharedResponse.Message(r.Version, r.Nonce) }

// Body returns the encoded response, in the protobuf wire format if binary is set and as protobuf JSON otherwise.
func (r *Response) Body(binary bool) ([]byte, error) {
	if binary {
		return r.EncodeBinary(r.Version, r.Nonce)
	}
	return r.Encode(r.Version, r.Nonce)
}
