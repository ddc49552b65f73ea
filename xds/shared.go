package xds

import (
	"encoding/json"
	"sync"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"

	"porthub/routing"
)

// Shared is a response without the version and nonce of the gateway that it goes to. Gateways that are to hold the same
// share one: its resources are made once, and so is each encoding of them. It is safe for many goroutines.
type Shared struct {
	whole *discoveryv3.DiscoveryResponse // or
	delta *discoveryv3.DeltaDiscoveryResponse

	text, binary encoding
}

type encoding struct {
	once sync.Once
	body []byte
	err  error
}

// ShareEndpoints is the response with whole clusters.
func ShareEndpoints(clusters []routing.Cluster) (*Shared, error) {
	m, err := Endpoints("", "", clusters)
	return &Shared{whole: m}, err
}

// ShareRoutes is the response with routes.
func ShareRoutes(routes []routing.Route) (*Shared, error) {
	m, err := RouteDocument("", "", routes)
	return &Shared{whole: m}, err
}

// ShareDelta is what leads a gateway that holds the lines given to a snapshot's clusters.
func ShareDelta(held map[string]string, to routing.Snapshot) (*Shared, error) {
	m, err := Delta("", "", held, to)
	return &Shared{delta: m}, err
}

// ShareRouteDelta is what leads a gateway that holds the routes given to a snapshot's.
func ShareRouteDelta(held map[string]string, to routing.Snapshot) (*Shared, error) {
	m, err := RouteDelta("", "", held, to)
	return &Shared{delta: m}, err
}

// Message is the response to one gateway. Its resources are shared: it must not be changed.
func (s *Shared) Message(version, nonce string) proto.Message {
	if s.delta != nil {
		return &discoveryv3.DeltaDiscoveryResponse{SystemVersionInfo: version, Nonce: nonce, TypeUrl: s.delta.TypeUrl, Resources: s.delta.Resources,
			RemovedResources: s.delta.RemovedResources}
	}
	return &discoveryv3.DiscoveryResponse{VersionInfo: version, Nonce: nonce, TypeUrl: s.whole.TypeUrl, Resources: s.whole.Resources}
}

func (s *Shared) bare() proto.Message {
	if s.delta != nil {
		return s.delta
	}
	return s.whole
}

// Lines counts the resources, removed ones too.
func (s *Shared) Lines() int {
	if s.delta != nil {
		return len(s.delta.Resources) + len(s.delta.RemovedResources)
	}
	return len(s.whole.Resources)
}

// Encode writes the response to one gateway as protobuf JSON.
func (s *Shared) Encode(version, nonce string) ([]byte, error) {
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
func (s *Shared) EncodeBinary(version, nonce string) ([]byte, error) {
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
