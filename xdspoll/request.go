package xdspoll

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"porthub/coordinator"
	"porthub/xds"
)

// ErrUnknownBase is returned if a delta can't be built: the publication that the poll's nonce names is not known, or no longer,
// and the poll has no resource versions.
var ErrUnknownBase = errors.New("unknown response_nonce: send initial_resource_versions")

// Request is one poll.
type Request struct {
	Gateway  coordinator.Gateway
	Document coordinator.Document
	Version  string        // that the gateway has applied; empty: none
	MaxWait  time.Duration // for something new; 0: the response is sent at once
	// Delta requests single endpoints or routes in place of a complete document: those that differ from the publication
	// with this Nonce or, if it is not known, from these resource Versions by name.
	Delta    bool
	Nonce    string
	Versions map[string]string
	// Respond is called once, by any goroutine: with nil and no error if there is nothing new.
	Respond func(response *Response, err error)
}

// Response is the response to a poll. Gateways that need the same share its resources.
type Response struct {
	Version string
	Nonce   string
	*xds.SharedResponse
}

// Message returns the complete response. Its resources are shared: it must not be changed.
func (r *Response) Message() proto.Message { return r.SharedResponse.Message(r.Version, r.Nonce) }

// Body returns the response as it is sent: protobuf's wire format or protobuf JSON.
func (r *Response) Body(binary bool) ([]byte, error) {
	if binary {
		return r.EncodeBinary(r.Version, r.Nonce)
	}
	return r.Encode(r.Version, r.Nonce)
}
