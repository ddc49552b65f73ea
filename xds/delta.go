package xds

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/types/known/anypb"

	"porthub/routing"
)

// LbEndpointType is the type URL of one line, as LEDS has it. DeltaPath and RouteDeltaPath are where DeltaDiscoveryRequests for
// lines and for routes are posted.
const (
	LbEndpointType    = "type.googleapis.com/envoy.config.endpoint.v3.LbEndpoint"
	EndpointDeltaPath = "/envoy.service.endpoint.v3.LocalityEndpointDiscoveryService/DeltaLocalityEndpoints"
	RouteDeltaPath    = "/envoy.service.route.v3.RouteDiscoveryService/DeltaRoutes"
)

// A line's resource name is kind/zone/address; its version tells weight and whether it is withheld.
func lineName(kind string, l routing.ClusterEndpoint) string {
	return kind + "/" + string(l.Zone) + "/" + string(l.Endpoint)
}

func lineVersion(l routing.ClusterEndpoint) string {
	if l.Withheld {
		return fmt.Sprintf("%d.w", weight(l))
	}
	return fmt.Sprintf("%d", weight(l))
}

func weight(l routing.ClusterEndpoint) uint32 {
	return uint32(min(max(1, math.Round(l.Weight*WeightScale)), 1<<31))
}

// EndpointVersions are the names and versions of all lines of a snapshot, as initial_resource_versions has them.
func EndpointVersions(s routing.Snapshot) map[string]string {
	out := map[string]string{}
	for _, c := range s.Clusters {
		for _, l := range c.Endpoints {
			out[lineName(c.Class, l)] = lineVersion(l)
		}
	}
	return out
}

// RouteVersions are the names and versions of all routes of a snapshot: by deltas each kind's is a RouteConfiguration of
// its own, named by the kind.
func RouteVersions(s routing.Snapshot) map[string]string {
	out := map[string]string{}
	for _, r := range s.Routes {
		out[r.Class] = routeVersion(r)
	}
	return out
}

func routeVersion(r routing.Route) string {
	if r.Fallback.Duration > 0 {
		f := r.Fallback
		return fmt.Sprintf("%g.%g.%d.%d-%d.%d.%g.%d", r.Rate, r.Share, r.RetryPolicy, r.Timeout, f.After, f.Duration, f.Share, f.RetryPolicy)
	}
	return fmt.Sprintf("%g.%g.%d.%d", r.Rate, r.Share, r.RetryPolicy, r.Timeout)
}

// NewRouteDelta is what leads a gateway that holds the routes given to a snapshot's.
func NewRouteDelta(version, nonce string, held map[string]string, to routing.Snapshot) (*discoveryv3.DeltaDiscoveryResponse, error) {
	r := &discoveryv3.DeltaDiscoveryResponse{SystemVersionInfo: version, TypeUrl: RouteType, Nonce: nonce}
	seen := map[string]bool{}
	for _, one := range to.Routes {
		v := routeVersion(one)
		if seen[one.Class] = true; held[one.Class] == v {
			continue
		}
		rc, err := configuration(one.Class, []routing.Route{one})
		if err != nil {
			return nil, err
		}
		res, err := anypb.New(rc)
		if err != nil {
			return nil, err
		}
		r.Resources = append(r.Resources, &discoveryv3.Resource{Name: one.Class, Version: v, Resource: res})
	}
	for _, name := range slices.Sorted(maps.Keys(held)) {
		if !seen[name] {
			r.RemovedResources = append(r.RemovedResources, name)
		}
	}
	return r, nil
}

// ApplyRouteDelta makes the routes that a delta leads to, of the kinds given and in their order. A resource that can't be
// read is an error and changes nothing.
func ApplyRouteDelta(kinds []string, held []routing.Route, d *discoveryv3.DeltaDiscoveryResponse) ([]routing.Route, error) {
	routes := map[string]routing.Route{}
	for _, r := range held {
		routes[r.Class] = r
	}
	for _, name := range d.RemovedResources {
		delete(routes, name)
	}
	for _, res := range d.Resources {
		rc := &routev3.RouteConfiguration{}
		if err := res.GetResource().UnmarshalTo(rc); err != nil {
			return nil, fmt.Errorf("%w: resource %q: %v", ErrInvalidMessage, res.Name, err)
		}
		read, err := readRoutes(rc)
		if err != nil {
			return nil, err
		}
		if len(read) != 1 || read[0].Class != res.Name || !slices.Contains(kinds, res.Name) {
			return nil, fmt.Errorf("%w: resource %q is not the one route of a known kind", ErrInvalidMessage, res.Name)
		}
		routes[res.Name] = read[0]
	}
	var out []routing.Route
	for _, k := range kinds {
		if r, has := routes[k]; has {
			out = append(out, r)
		}
	}
	return out, nil
}

// NewEndpointDelta is what leads a gateway that holds the lines given to a snapshot's clusters.
func NewEndpointDelta(version, nonce string, held map[string]string, to routing.Snapshot) (*discoveryv3.DeltaDiscoveryResponse, error) {
	r := &discoveryv3.DeltaDiscoveryResponse{SystemVersionInfo: version, TypeUrl: LbEndpointType, Nonce: nonce}
	seen := map[string]bool{}
	for _, c := range to.Clusters {
		for _, l := range c.Endpoints {
			name, v := lineName(c.Class, l), lineVersion(l)
			if seen[name] = true; held[name] == v {
				continue
			}
			e, err := lbEndpoint(l)
			if err != nil {
				return nil, err
			}
			res, err := anypb.New(e)
			if err != nil {
				return nil, err
			}
			r.Resources = append(r.Resources, &discoveryv3.Resource{Name: name, Version: v, Resource: res})
		}
	}
	for name := range held {
		if !seen[name] {
			r.RemovedResources = append(r.RemovedResources, name)
		}
	}
	return r, nil
}

// ApplyEndpointDelta makes the clusters that a delta leads to, of the kinds given and in their order. What it was made from
// stays as it is. A resource that can't be read is an error and changes nothing.
func ApplyEndpointDelta(kinds []string, held routing.Snapshot, d *discoveryv3.DeltaDiscoveryResponse) ([]routing.Cluster, error) {
	lines := map[string]routing.ClusterEndpoint{}
	for _, c := range held.Clusters {
		for _, l := range c.Endpoints {
			lines[lineName(c.Class, l)] = l
		}
	}
	for _, name := range d.RemovedResources {
		delete(lines, name)
	}
	for _, res := range d.Resources {
		parts := strings.SplitN(res.Name, "/", 3)
		e := &endpointv3.LbEndpoint{}
		if len(parts) != 3 {
			return nil, fmt.Errorf("%w: resource name %q is not kind/zone/address", ErrInvalidMessage, res.Name)
		}
		if err := res.GetResource().UnmarshalTo(e); err != nil {
			return nil, fmt.Errorf("%w: resource %q: %v", ErrInvalidMessage, res.Name, err)
		}
		lines[res.Name] = readLine(e, parts[2], parts[1])
	}
	out := make([]routing.Cluster, len(kinds))
	index := map[string]int{}
	for i, k := range kinds {
		out[i].Class, index[k] = k, i
	}
	for name, l := range lines {
		kind, _, _ := strings.Cut(name, "/")
		i, known := index[kind]
		if !known {
			return nil, fmt.Errorf("%w: resource %q is of no known kind", ErrInvalidMessage, name)
		}
		out[i].Endpoints = append(out[i].Endpoints, l)
	}
	for i := range out {
		out[i].Sort()
	}
	return out, nil
}
