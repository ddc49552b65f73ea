package xds

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/types/known/anypb"

	"porthub/routing"
)

// endpointResourceName returns the name of an endpoint's resource in incremental responses: CLASS/ZONE/ADDRESS.
func endpointResourceName(class string, endpoint routing.ClusterEndpoint) string {
	return class + "/" + string(endpoint.Zone) + "/" + string(endpoint.Endpoint)
}

// endpointVersion returns the version of an endpoint's resource. It consists of all that can change: the weight and whether
// the endpoint is withheld.
func endpointVersion(endpoint routing.ClusterEndpoint) string {
	if endpoint.Withheld {
		return fmt.Sprintf("%d.w", publishedWeight(endpoint))
	}
	return fmt.Sprintf("%d", publishedWeight(endpoint))
}

// EndpointVersions returns the resource versions of all endpoints of a snapshot by resource name, as they are sent in
// initial_resource_versions.
func EndpointVersions(snapshot routing.Snapshot) map[string]string {
	versions := map[string]string{}
	for _, cluster := range snapshot.Clusters {
		for _, endpoint := range cluster.Endpoints {
			versions[endpointResourceName(cluster.Class, endpoint)] = endpointVersion(endpoint)
		}
	}
	return versions
}

// NewEndpointDelta returns the changes from the resource versions that a gateway has to the clusters of a snapshot.
func NewEndpointDelta(version, nonce string, from map[string]string, to routing.Snapshot) (*discoveryv3.DeltaDiscoveryResponse, error) {
	response := &discoveryv3.DeltaDiscoveryResponse{SystemVersionInfo: version, TypeUrl: LbEndpointType, Nonce: nonce}
	present := map[string]bool{}
	for _, cluster := range to.Clusters {
		for _, endpoint := range cluster.Endpoints {
			name := endpointResourceName(cluster.Class, endpoint)
			present[name] = true
			if from[name] == endpointVersion(endpoint) {
				continue
			}
			resource, err := newEndpointResource(name, endpoint)
			if err != nil {
				return nil, err
			}
			response.Resources = append(response.Resources, resource)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(from)) {
		if !present[name] {
			response.RemovedResources = append(response.RemovedResources, name)
		}
	}
	return response, nil
}

func newEndpointResource(name string, endpoint routing.ClusterEndpoint) (*discoveryv3.Resource, error) {
	message, err := newLbEndpoint(endpoint)
	if err != nil {
		return nil, err
	}
	resource, err := anypb.New(message)
	if err != nil {
		return nil, err
	}
	return &discoveryv3.Resource{Name: name, Version: endpointVersion(endpoint), Resource: resource}, nil
}

// ApplyEndpointDelta returns the clusters that result from applying a delta to a snapshot: one for each class, in the order
// of classes. The snapshot is not modified. The error for an invalid resource wraps ErrInvalidMessage.
func ApplyEndpointDelta(classes []string, from routing.Snapshot, delta *discoveryv3.DeltaDiscoveryResponse) ([]routing.Cluster, error) {
	endpoints := map[string]routing.ClusterEndpoint{}
	for _, cluster := range from.Clusters {
		for _, endpoint := range cluster.Endpoints {
			endpoints[endpointResourceName(cluster.Class, endpoint)] = endpoint
		}
	}
	for _, name := range delta.RemovedResources {
		delete(endpoints, name)
	}
	for _, resource := range delta.Resources {
		endpoint, err := parseEndpointResource(resource)
		if err != nil {
			return nil, err
		}
		endpoints[resource.Name] = endpoint
	}
	return clustersOf(classes, endpoints)
}

func parseEndpointResource(resource *discoveryv3.Resource) (routing.ClusterEndpoint, error) {
	parts := strings.SplitN(resource.Name, "/", 3)
	if len(parts) != 3 {
		return routing.ClusterEndpoint{}, fmt.Errorf("%w: resource name %q is not of the form CLASS/ZONE/ADDRESS",
			ErrInvalidMessage, resource.Name)
	}
	message := &endpointv3.LbEndpoint{}
	if err := resource.GetResource().UnmarshalTo(message); err != nil {
		return routing.ClusterEndpoint{}, fmt.Errorf("%w: resource %q: %w", ErrInvalidMessage, resource.Name, err)
	}
	return parseLbEndpoint(message, parts[2], parts[1]), nil
}

// clustersOf groups endpoints by the class in their resource names, which are the keys of endpoints.
func clustersOf(classes []string, endpoints map[string]routing.ClusterEndpoint) ([]routing.Cluster, error) {
	clusters := make([]routing.Cluster, len(classes))
	index := map[string]int{}
	for i, class := range classes {
		clusters[i].Class = class
		index[class] = i
	}
	for name, endpoint := range endpoints {
		class, _, _ := strings.Cut(name, "/")
		i, ok := index[class]
		if !ok {
			return nil, fmt.Errorf("%w: resource %q has an unknown request class", ErrInvalidMessage, name)
		}
		clusters[i].Endpoints = append(clusters[i].Endpoints, endpoint)
	}
	for i := range clusters {
		clusters[i].Sort()
	}
	return clusters, nil
}
