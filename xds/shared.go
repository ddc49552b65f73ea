package xds

import (
	"encoding/json"
	"sync"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"

	"porthub/routing"
)

// SharedResponse is a response without the version and nonce of the gateway that it goes to. Gateways that are to hold the same
// share one: its resources are made once, and so is each encoding of them. It is safe for many goroutines.
type SharedResponse struct {
	whole *discoveryv3.DiscoveryResponse // or
	delta *discoveryv3.DeltaDiscoveryResponse

	text, binary encoding
}

type encoding struct {
	once sync.Once
	body []byte
	err  error
}

// ShareEndpointDocument is the response with whole clusters.
func ShareEndpointDocument(clusters []routing.Cluster) (*SharedResponse, error) {
	m, err := NewEndpointDocument("", "", clusters)
	return &SharedResponse{whole: m}, err
}

// ShareRouteDocument is the response with routes.
func ShareRouteDocument(routes []routing.Route) (*SharedResponse, error) {
	m, err := NewRouteDocument("", "", routes)
	return &SharedResponse{whole: m}, err
}

// ShareEndpointDelta is what leads a gateway that holds the lines given to a snapshot's clusters.
func ShareEndpointDelta(held map[string]string, to routing.Snapshot) (*SharedResponse, error) {
	m, err := NewEndpointDelta("", "", held, to)
	return &SharedResponse{delta: m}, err
}

// ShareRouteDelta is what leads a gateway that holds the routes given to a snapshot's.
func ShareRouteDelta(held map[string]string, to routing.Snapshot) (*SharedResponse, error) {
	m, err := NewRouteDelta("", "", held, to)
	return &SharedResponse{delta: m}, err
}

// Message is the response to one gateway. Its resources are shared: it must not be changed.
func (s *SharedResponse) Message(version, nonce string) proto.Message {
	if s.delta != nil {
		return &discoveryv3.DeltaDiscoveryResponse{SystemVersionInfo: version, Nonce: nonce, TypeUrl: s.delta.TypeUrl, Resources: s.delta.Resources,
			RemovedResources: s.delta.RemovedResources}
	}
	return &discoveryv3.DiscoveryResponse{VersionInfo: version, Nonce: nonce, TypeUrl: s.whole.TypeUrl, Resources: s.whole.Resources}
}

func (s *SharedResponse) bare() proto.Message {
	if s.delta != nil {
		return s.delta
	}
	return s.whole
}

// ResourceCount counts the resources, removed ones too.
func (s *SharedResponse) ResourceCount() int {
	if s.delta != nil {
		return len(s.delta.Resources) + len(s.delta.RemovedResources)
	}
	return len(s.whole.Resources)
}

// Encode writes the response to one gateway as protobuf JSON.
func (s *SharedResponse) Encode(version, nonce string) ([]byte, error) {
	s.text.once.Do(func() { s.text.body, s.text.err = Encode(s.bare()) })
	if s.text.err != nil {
		return nil, s.text.err
	}
	key := "version_info"
	if s.delta != nil {
		key = "system_version_info"
	}
	head, err := json.Marshal(map[string]string{key: version, "nonce": nonce})
	if err != nil {
		return nil, err
	}
	// Two objects become one. The shared one is never empty: it has its type.
	return append(append(head[:len(head)-1], ','), s.text.body[1:]...), nil
}

// EncodeBinary writes it as a protobuf: fields that follow one another are one message.
func (s *SharedResponse) EncodeBinary(version, nonce string) ([]byte, error) {
	s.binary.once.Do(func() { s.binary.body, s.binary.err = proto.Marshal(s.bare()) })
	if s.binary.err != nil {
		return nil, s.binary.err
	}
	var head proto.Message = &discoveryv3.DiscoveryResponse{VersionInfo: version, Nonce: nonce}
	if s.delta != nil {
		head = &discoveryv3.DeltaDiscoveryResponse{SystemVersionInfo: version, Nonce: nonce}
	}
	body, err := proto.Marshal(head)
	return append(body, s.binary.body...), err
}
