package xds

import (
	"encoding/json"
	"sync"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"

	"porthub/routing"
)

// SharedResponse is a response without the version and nonce of the gateway that it goes to. Gateways that are to have
// the same tables share one: its resources are built once, and so is each encoding of them. It is safe for concurrent
// use.
type SharedResponse struct {
	// One of the two is set.
	full  *discoveryv3.DiscoveryResponse
	delta *discoveryv3.DeltaDiscoveryResponse

	json   encoding
	binary encoding
}

// encoding is a body that is made on first use.
type encoding struct {
	once sync.Once
	body []byte
	err  error
}

func (e *encoding) get(encode func() ([]byte, error)) ([]byte, error) {
	e.once.Do(func() { e.body, e.err = encode() })
	return e.body, e.err
}

// ShareEndpointDocument returns the response with all clusters.
func ShareEndpointDocument(clusters []routing.Cluster) (*SharedResponse, error) {
	m, err := NewEndpointDocument("", "", clusters)
	return &SharedResponse{full: m}, err
}

// ShareRouteDocument returns the response with all routes.
func ShareRouteDocument(routes []routing.Route) (*SharedResponse, error) {
	m, err := NewRouteDocument("", "", routes)
	return &SharedResponse{full: m}, err
}

// ShareEndpointDelta returns the response of NewEndpointDelta.
func ShareEndpointDelta(from map[string]string, to routing.Snapshot) (*SharedResponse, error) {
	m, err := NewEndpointDelta("", "", from, to)
	return &SharedResponse{delta: m}, err
}

// ShareRouteDelta returns the response of NewRouteDelta.
func ShareRouteDelta(from map[string]string, to routing.Snapshot) (*SharedResponse, error) {
	m, err := NewRouteDelta("", "", from, to)
	return &SharedResponse{delta: m}, err
}

// Message returns the response to one gateway. Its resources are shared: it must not be changed.
func (s *SharedResponse) Message(version, nonce string) proto.Message {
	if s.delta != nil {
		return &discoveryv3.DeltaDiscoveryResponse{
			SystemVersionInfo: version,
			Nonce:             nonce,
			TypeUrl:           s.delta.TypeUrl,
			Resources:         s.delta.Resources,
			RemovedResources:  s.delta.RemovedResources,
		}
	}
	return &discoveryv3.DiscoveryResponse{
		VersionInfo: version,
		Nonce:       nonce,
		TypeUrl:     s.full.TypeUrl,
		Resources:   s.full.Resources,
	}
}

// unaddressed is the message without version and nonce.
func (s *SharedResponse) unaddressed() proto.Message {
	if s.delta != nil {
		return s.delta
	}
	return s.full
}

// ResourceCount returns the number of resources, removed ones included.
func (s *SharedResponse) ResourceCount() int {
	if s.delta != nil {
		return len(s.delta.Resources) + len(s.delta.RemovedResources)
	}
	return len(s.full.Resources)
}

// Encode writes the response to one gateway as protobuf JSON.
func (s *SharedResponse) Encode(version, nonce string) ([]byte, error) {
	body, err := s.json.get(func() ([]byte, error) { return Encode(s.unaddressed()) })
	if err != nil {
		return nil, err
	}
	key := "version_info"
	if s.delta != nil {
		key = "system_version_info"
	}
	head, err := json.Marshal(map[string]string{key: version, "nonce": nonce})
	if err != nil {
		return nil, err
	}
	// Two objects are joined to one. The shared one is never empty: it has its type.
	return append(append(head[:len(head)-1], ','), body[1:]...), nil
}

// EncodeBinary writes the response to one gateway in the protobuf wire format, in which the concatenation of two
// messages is their merge.
func (s *SharedResponse) EncodeBinary(version, nonce string) ([]byte, error) {
	body, err := s.binary.get(func() ([]byte, error) { return proto.Marshal(s.unaddressed()) })
	if err != nil {
		return nil, err
	}
	var head proto.Message = &discoveryv3.DiscoveryResponse{VersionInfo: version, Nonce: nonce}
	if s.delta != nil {
		head = &discoveryv3.DeltaDiscoveryResponse{SystemVersionInfo: version, Nonce: nonce}
	}
	addressed, err := proto.Marshal(head)
	return append(addressed, body...), err
}
