package xds

import (
	"fmt"
	"maps"
	"slices"

	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/types/known/anypb"

	"porthub/routing"
)

// RouteVersions returns the resource versions of all routes of a snapshot by resource name, as they are sent in
// initial_resource_versions. In incremental responses the route of each class is a RouteConfiguration of its own, named
// after the class.
func RouteVersions(snapshot routing.Snapshot) map[string]string {
	versions := map[string]string{}
	for _, route := range snapshot.Routes {
		versions[route.Class] = routeVersion(route)
	}
	return versions
}

// routeVersion returns the version of a route's resource. It consists of all that can change.
func routeVersion(r routing.Route) string {
	version := fmt.Sprintf("%g.%g.%d.%d", r.Rate, r.Share, r.RetryPolicy, r.Timeout)
	if r.Fallback.Duration <= 0 {
		return version
	}
	f := r.Fallback
	return version + fmt.Sprintf("-%d.%d.%g.%d", f.After, f.Duration, f.Share, f.RetryPolicy)
}

// NewRouteDelta returns the changes from the resource versions that a gateway has to the routes of a snapshot.
func NewRouteDelta(version, nonce string, from map[string]string, to routing.Snapshot) (*discoveryv3.DeltaDiscoveryResponse, error) {
	response := &discoveryv3.DeltaDiscoveryResponse{SystemVersionInfo: version, TypeUrl: RouteType, Nonce: nonce}
	present := map[string]bool{}
	for _, route := range to.Routes {
		present[route.Class] = true
		if from[route.Class] == routeVersion(route) {
			continue
		}
		resource, err := newRouteResource(route)
		if err != nil {
			return nil, err
		}
		response.Resources = append(response.Resources, resource)
	}
	for _, name := range slices.Sorted(maps.Keys(from)) {
		if !present[name] {
			response.RemovedResources = append(response.RemovedResources, name)
		}
	}
	return response, nil
}

func newRouteResource(route routing.Route) (*discoveryv3.Resource, error) {
	configuration, err := newRouteConfiguration(route.Class, []routing.Route{route})
	if err != nil {
		return nil, err
	}
	resource, err := anypb.New(configuration)
	if err != nil {
		return nil, err
	}
	return &discoveryv3.Resource{Name: route.Class, Version: routeVersion(route), Resource: resource}, nil
}

// ApplyRouteDelta returns the routes that result from applying a delta to other routes, which are not modified. The result
// has only routes of the given classes, in the order of classes. The error for an invalid resource wraps
// ErrInvalidMessage.
func ApplyRouteDelta(classes []string, from []routing.Route, delta *discoveryv3.DeltaDiscoveryResponse) ([]routing.Route, error) {
	byClass := map[string]routing.Route{}
	for _, route := range from {
		byClass[route.Class] = route
	}
	for _, name := range delta.RemovedResources {
		delete(byClass, name)
	}
	for _, resource := range delta.Resources {
		route, err := parseRouteResource(classes, resource)
		if err != nil {
			return nil, err
		}
		byClass[resource.Name] = route
	}
	var routes []routing.Route
	for _, class := range classes {
		if route, ok := byClass[class]; ok {
			routes = append(routes, route)
		}
	}
	return routes, nil
}

func parseRouteResource(classes []string, resource *discoveryv3.Resource) (routing.Route, error) {
	configuration := &routev3.RouteConfiguration{}
	if err := resource.GetResource().UnmarshalTo(configuration); err != nil {
		return routing.Route{}, fmt.Errorf("%w: resource %q: %w", ErrInvalidMessage, resource.Name, err)
	}
	routes, err := parseRoutes(configuration)
	if err != nil {
		return routing.Route{}, err
	}
	if len(routes) != 1 || routes[0].Class != resource.Name || !slices.Contains(classes, resource.Name) {
		return routing.Route{}, fmt.Errorf("%w: resource %q must have exactly one route, of the known request class with the same name",
			ErrInvalidMessage, resource.Name)
	}
	return routes[0], nil
}
