package xds

import (
	"fmt"
	"math"
	"net"
	"strconv"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"porthub/policyapi"
	"porthub/routing"
)

// maxWeight limits a published weight to half the range of its type, uint32, which leaves room to add weights.
const maxWeight = 1 << 31

// NewEndpointDocument returns the document with a gateway's clusters. It returns an error if the ID of an endpoint is not
// an address and port.
func NewEndpointDocument(version, nonce string, clusters []routing.Cluster) (*discoveryv3.DiscoveryResponse, error) {
	response := &discoveryv3.DiscoveryResponse{VersionInfo: version, TypeUrl: EndpointType, Nonce: nonce}
	for _, cluster := range clusters {
		assignment, err := newAssignment(cluster)
		if err != nil {
			return nil, err
		}
		resource, err := anypb.New(assignment)
		if err != nil {
			return nil, fmt.Errorf("cluster %s: %w", cluster.Class, err)
		}
		response.Resources = append(response.Resources, resource)
	}
	return response, nil
}

// newAssignment converts a cluster. It starts a new locality whenever the zone changes, since a cluster's endpoints are
// sorted by zone.
func newAssignment(cluster routing.Cluster) (*endpointv3.ClusterLoadAssignment, error) {
	assignment := &endpointv3.ClusterLoadAssignment{ClusterName: cluster.Class}
	var locality *endpointv3.LocalityLbEndpoints
	for _, endpoint := range cluster.Endpoints {
		if locality == nil || locality.Locality.Zone != string(endpoint.Zone) {
			locality = &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: string(endpoint.Zone)}}
			assignment.Endpoints = append(assignment.Endpoints, locality)
		}
		lbEndpoint, err := newLbEndpoint(endpoint)
		if err != nil {
			return nil, err
		}
		locality.LbEndpoints = append(locality.LbEndpoints, lbEndpoint)
	}
	return assignment, nil
}

func newLbEndpoint(endpoint routing.ClusterEndpoint) (*endpointv3.LbEndpoint, error) {
	address, err := Address(string(endpoint.Endpoint))
	if err != nil {
		return nil, err
	}
	health := corev3.HealthStatus_HEALTHY
	if endpoint.Withheld {
		health = corev3.HealthStatus_DRAINING
	}
	return &endpointv3.LbEndpoint{
		HealthStatus:        health,
		LoadBalancingWeight: wrapperspb.UInt32(publishedWeight(endpoint)),
		HostIdentifier:      &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{Address: address}},
	}, nil
}

func publishedWeight(endpoint routing.ClusterEndpoint) uint32 {
	return uint32(min(max(1, math.Round(endpoint.Weight*WeightScale)), maxWeight))
}

func parseCluster(assignment *endpointv3.ClusterLoadAssignment) routing.Cluster {
	cluster := routing.Cluster{Class: assignment.ClusterName}
	for _, locality := range assignment.Endpoints {
		zone := locality.GetLocality().GetZone()
		for _, endpoint := range locality.LbEndpoints {
			address := hostport(endpoint.GetEndpoint().GetAddress())
			cluster.Endpoints = append(cluster.Endpoints, parseLbEndpoint(endpoint, address, zone))
		}
	}
	return cluster
}

func parseLbEndpoint(endpoint *endpointv3.LbEndpoint, address, zone string) routing.ClusterEndpoint {
	return routing.ClusterEndpoint{
		Endpoint: policyapi.EndpointID(address),
		Zone:     policyapi.Zone(zone),
		Weight:   float64(endpoint.GetLoadBalancingWeight().GetValue()) / WeightScale,
		Withheld: endpoint.HealthStatus == corev3.HealthStatus_DRAINING || endpoint.HealthStatus == corev3.HealthStatus_UNHEALTHY,
	}
}

// Address converts host:port to an Address message.
func Address(hostport string) (*corev3.Address, error) {
	host, port, err := net.SplitHostPort(hostport)
	if err != nil {
		return nil, fmt.Errorf("address %q is not host:port", hostport)
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("address %q: the port is not a number from 0 to 65535", hostport)
	}
	return &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{
		Address:       host,
		PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(number)},
	}}}, nil
}

func hostport(address *corev3.Address) string {
	socket := address.GetSocketAddress()
	return net.JoinHostPort(socket.GetAddress(), strconv.Itoa(int(socket.GetPortValue())))
}
