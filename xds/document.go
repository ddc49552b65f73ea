package xds

import (
	"fmt"

	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/types/known/anypb"

	"porthub/routing"
)

// Document is a decoded DiscoveryResponse. Its Type, a type URL, determines whether Clusters or Routes is set.
type Document struct {
	Type     string
	Version  string
	Nonce    string
	Clusters []routing.Cluster
	Routes   []routing.Route
}

// ParseDocument decodes a DiscoveryResponse in protobuf JSON, as a gateway does. If the text is truncated or a resource is
// invalid, the error wraps ErrInvalidMessage. The returned document still has the type, version and nonce if they could
// be decoded, so that the gateway can reject the document by its nonce.
func ParseDocument(text []byte) (Document, error) {
	response := &discoveryv3.DiscoveryResponse{}
	if err := Decode(text, response); err != nil {
		return Document{}, err
	}
	return ParseResponse(response)
}

// ParseResponse converts a message to a document. It returns the same errors as ParseDocument.
func ParseResponse(response *discoveryv3.DiscoveryResponse) (Document, error) {
	d := Document{Type: response.TypeUrl, Version: response.VersionInfo, Nonce: response.Nonce}
	for i, resource := range response.Resources {
		if err := d.add(i, resource); err != nil {
			return d, err
		}
	}
	return d, nil
}

// add converts one resource and appends it to the clusters or routes.
func (d *Document) add(index int, resource *anypb.Any) error {
	switch d.Type {
	case EndpointType:
		assignment := &endpointv3.ClusterLoadAssignment{}
		if err := resource.UnmarshalTo(assignment); err != nil {
			return fmt.Errorf("%w: resource %d: %w", ErrInvalidMessage, index, err)
		}
		d.Clusters = append(d.Clusters, parseCluster(assignment))
	case RouteType:
		configuration := &routev3.RouteConfiguration{}
		if err := resource.UnmarshalTo(configuration); err != nil {
			return fmt.Errorf("%w: resource %d: %w", ErrInvalidMessage, index, err)
		}
		routes, err := parseRoutes(configuration)
		if err != nil {
			return err
		}
		d.Routes = append(d.Routes, routes...)
	default:
		return fmt.Errorf("%w: unknown type URL %q", ErrInvalidMessage, d.Type)
	}
	return nil
}
