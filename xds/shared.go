package xds

import (
	"encoding/json"
	"sync"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"

	"porthub/routing"
)

// SharedResponse is a response to several gateways. It lacks the version and nonce, which are specific to a gateway and
// added when the response is sent. Gateways with the same tables share one, so that its resources are built only once and
// encoded only once in each format. It is safe for concurrent use.
type SharedResponse struct {
	// Exactly one of full and delta is set.
	full  *discoveryv3.DiscoveryResponse
	delta *discoveryv3.DeltaDiscoveryResponse

	json   encoding
	binary encoding
}

// encoding is an encoded message that is computed on first use.
type encoding struct {
	once sync.Once
	body []byte
	err  error
}

func (e *encoding) get(encode func() ([]byte, error)) ([]byte, error) {
	e.once.Do(func() { e.body, e.err = encode() })
	return e.body, e.err
}

// ShareEndpointDocument returns the shared form of the response of NewEndpointDocument.
func ShareEndpointDocument(clusters []routing.Cluster) (*SharedResponse, error) {
	m, err := NewEndpointDocument("", "", clusters)
	return &SharedResponse{full: m}, err
}

// ShareRouteDocument returns the shared form of the response of NewRouteDocument.
func ShareRouteDocument(routes []routing.Route) (*SharedResponse, error) {
	m, err := NewRouteDocument("", "", routes)
	return &SharedResponse{full: m}, err
}

// ShareEndpointDelta returns the shared form of the response of NewEndpointDelta.
func ShareEndpointDelta(from map[string]string, to routing.Snapshot) (*SharedResponse, error) {
	m, err := NewEndpointDelta("", "", from, to)
	return &SharedResponse{delta: m}, err
}

// ShareRouteDelta returns the shared form of the response of NewRouteDelta.
func ShareRouteDelta(from map[string]string, to routing.Snapshot) (*SharedResponse, error) {
	m, err := NewRouteDelta("", "", from, to)
	return &SharedResponse{delta: m}, err
}

// Message returns the response to one gateway. Its resources are shared, so it must not be modified.
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

// withoutVersion returns the message without version and nonce.
func (s *SharedResponse) withoutVersion() proto.Message {
	if s.delta != nil {
		return s.delta
	}
	return s.full
}

// ResourceCount returns the number of resources, including removed ones.
func (s *SharedResponse) ResourceCount() int {
	if s.delta != nil {
		return len(s.delta.Resources) + len(s.delta.RemovedResources)
	}
	return len(s.full.Resources)
}

// Encode returns the response to one gateway as protobuf JSON.
func (s *SharedResponse) Encode(version, nonce string) ([]byte, error) {
	body, err := s.json.get(func() ([]byte, error) { return Encode(s.withoutVersion()) })
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
	// Join the two JSON objects by replacing "}{" with a comma. The shared object is never empty, since it has a type URL.
	return append(append(head[:len(head)-1], ','), body[1:]...), nil
}

// EncodeBinary returns the response to one gateway in the protobuf wire format. In this format, the concatenation of two
// messages is their merge, so the shared message is appended to one that has only the version and nonce.
func (s *SharedResponse) EncodeBinary(version, nonce string) ([]byte, error) {
	body, err := s.binary.get(func() ([]byte, error) { return proto.Marshal(s.withoutVersion()) })
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
