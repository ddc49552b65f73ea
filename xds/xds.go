// Package xds turns what a gateway is given and what it says into published xDS v3 messages and back. The types are
// Envoy's, from github.com/envoyproxy/go-control-plane; texts are protobuf JSON.
//
//   - Clusters are ClusterLoadAssignment resources, one for each request kind, named by the kind. Localities are
//     zones, load_balancing_weight is a line's weight times WeightScale, DRAINING is what is withheld.
//   - Routes are one RouteConfiguration with a route for each kind: the header x-request-kind picks it, retry_policy
//     is the order for second tries, a local rate limit in the route's own filter settings is a rate, a runtime
//     fraction a share.
//   - Acknowledgements are DiscoveryRequest messages; reports are LoadStatsRequest messages.
package xds

import (
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	ratev3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/local_ratelimit/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/structpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"porthub/policyapi"
	"porthub/routing"
)

// The type URLs of the two documents.
const (
	EndpointType = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
	RouteType    = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"
)

// WeightScale is what a weight of 1 becomes: the published weights are whole numbers from 1 on.
const WeightScale = routing.WeightScale

// ClassHeader is the request header that names a req's kind.
const ClassHeader = "x-request-kind"

// RouteConfigurationName is the name of the RouteConfiguration.
const RouteConfigurationName = "request-kinds"

// FallbackMetadata names the part of a route's metadata that says what holds while no coordinator is reached.
const FallbackMetadata = "porthub.fallback"

const (
	fallbackAfter = "after_ms"
	fallbackFor   = "for_ms"
	fallbackShare = "share"
	fallbackTry   = "second_try"
)

const rateFilter = "envoy.filters.http.local_ratelimit"

// NewEndpointDocument makes the document of a gateway's clusters.
func NewEndpointDocument(version, nonce string, clusters []routing.Cluster) (*discoveryv3.DiscoveryResponse, error) {
	r := &discoveryv3.DiscoveryResponse{VersionInfo: version, TypeUrl: EndpointType, Nonce: nonce}
	for _, c := range clusters {
		a, err := assignment(c)
		if err != nil {
			return nil, err
		}
		res, err := anypb.New(a)
		if err != nil {
			return nil, fmt.Errorf("cluster %s: %w", c.Class, err)
		}
		r.Resources = append(r.Resources, res)
	}
	return r, nil
}

func assignment(c routing.Cluster) (*endpointv3.ClusterLoadAssignment, error) {
	a := &endpointv3.ClusterLoadAssignment{ClusterName: c.Class}
	var zone *endpointv3.LocalityLbEndpoints
	for _, l := range c.Endpoints {
		if zone == nil || zone.Locality.Zone != string(l.Zone) {
			zone = &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: string(l.Zone)}}
			a.Endpoints = append(a.Endpoints, zone)
		}
		e, err := lbEndpoint(l)
		if err != nil {
			return nil, err
		}
		zone.LbEndpoints = append(zone.LbEndpoints, e)
	}
	return a, nil
}

// lbEndpoint is one line as published.
func lbEndpoint(l routing.ClusterEndpoint) (*endpointv3.LbEndpoint, error) {
	address, err := Address(string(l.Endpoint))
	if err != nil {
		return nil, err
	}
	health := corev3.HealthStatus_HEALTHY
	if l.Withheld {
		health = corev3.HealthStatus_DRAINING
	}
	return &endpointv3.LbEndpoint{HealthStatus: health, LoadBalancingWeight: wrapperspb.UInt32(weight(l)),
		HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{Address: address}}}, nil
}

// readLine is a line as read, in a zone.
func readLine(e *endpointv3.LbEndpoint, backend, zone string) routing.ClusterEndpoint {
	return routing.ClusterEndpoint{Endpoint: policyapi.EndpointID(backend), Zone: policyapi.Zone(zone),
		Weight:   float64(e.GetLoadBalancingWeight().GetValue()) / WeightScale,
		Withheld: e.HealthStatus == corev3.HealthStatus_DRAINING || e.HealthStatus == corev3.HealthStatus_UNHEALTHY}
}

// Address turns address:port into its message.
func Address(hostport string) (*corev3.Address, error) {
	host, port, err := net.SplitHostPort(hostport)
	n, perr := strconv.ParseUint(port, 10, 16)
	if err != nil || perr != nil {
		return nil, fmt.Errorf("%q is no address:port", hostport)
	}
	return &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{Address: host,
		PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(n)}}}}, nil
}

func hostport(a *corev3.Address) string {
	s := a.GetSocketAddress()
	return net.JoinHostPort(s.GetAddress(), strconv.Itoa(int(s.GetPortValue())))
}

// NewRouteDocument makes the document of a gateway's routes.
func NewRouteDocument(version, nonce string, routes []routing.Route) (*discoveryv3.DiscoveryResponse, error) {
	rc, err := configuration(RouteConfigurationName, routes)
	if err != nil {
		return nil, err
	}
	res, err := anypb.New(rc)
	if err != nil {
		return nil, fmt.Errorf("routes: %w", err)
	}
	return &discoveryv3.DiscoveryResponse{VersionInfo: version, TypeUrl: RouteType, Nonce: nonce, Resources: []*anypb.Any{res}}, nil
}

func configuration(name string, routes []routing.Route) (*routev3.RouteConfiguration, error) {
	rc := &routev3.RouteConfiguration{Name: name, VirtualHosts: []*routev3.VirtualHost{{Name: "all", Domains: []string{"*"}}}}
	for _, r := range routes {
		one, err := route(r)
		if err != nil {
			return nil, err
		}
		rc.VirtualHosts[0].Routes = append(rc.VirtualHosts[0].Routes, one)
	}
	return rc, nil
}

// fillEvery is how often a rate's bucket is filled.
const fillEvery = 100 * time.Millisecond

func route(r routing.Route) (*routev3.Route, error) {
	action := &routev3.RouteAction{
		ClusterSpecifier: &routev3.RouteAction_Cluster{Cluster: r.Class},
		Timeout:          durationpb.New(time.Duration(r.Timeout) * time.Microsecond),
	}
	switch r.RetryPolicy {
	case 0:
	case 1: // on proof that the first never ran
		action.RetryPolicy = &routev3.RetryPolicy{RetryOn: "connect-failure,refused-stream", NumRetries: wrapperspb.UInt32(1)}
	case 2, 3:
		action.RetryPolicy = &routev3.RetryPolicy{RetryOn: "5xx,reset,connect-failure,refused-stream",
			NumRetries: wrapperspb.UInt32(uint32(r.RetryPolicy - 1))}
	default:
		return nil, fmt.Errorf("route %s: no such second try: %d", r.Class, r.RetryPolicy)
	}
	one := &routev3.Route{Name: r.Class,
		Match: &routev3.RouteMatch{PathSpecifier: &routev3.RouteMatch_Prefix{Prefix: "/"},
			Headers: []*routev3.HeaderMatcher{{Name: ClassHeader, HeaderMatchSpecifier: &routev3.HeaderMatcher_StringMatch{
				StringMatch: exact(r.Class)}}}},
		Action: &routev3.Route_Route{Route: action}}
	if r.Fallback.Duration > 0 {
		meta, err := structpb.NewStruct(map[string]any{fallbackAfter: float64(r.Fallback.After / 1000), fallbackFor: float64(r.Fallback.Duration / 1000),
			fallbackShare: r.Fallback.Share, fallbackTry: float64(r.Fallback.RetryPolicy)})
		if err != nil {
			return nil, fmt.Errorf("route %s: %w", r.Class, err)
		}
		one.Metadata = &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{FallbackMetadata: meta}}
	}
	if r.Share < 1 {
		one.Match.RuntimeFraction = &corev3.RuntimeFractionalPercent{RuntimeKey: "admission." + r.Class,
			DefaultValue: &typev3.FractionalPercent{Numerator: uint32(math.Round(max(0, r.Share) * 1e6)),
				Denominator: typev3.FractionalPercent_MILLION}}
	}
	if r.Rate >= 0 {
		// A bucket says whole reqs in a whole time: the time is chosen so that the rate is met within a hundredth.
		fill, tokens := fillEvery, r.Rate*fillEvery.Seconds()
		if tokens < 100 {
			fill = time.Duration(100 / max(r.Rate, 1e-3) * float64(time.Second))
			tokens = 100
		}
		if fill > time.Hour {
			fill = time.Hour
		}
		bucket := &ratev3.LocalRateLimit{StatPrefix: "admission",
			TokenBucket: &typev3.TokenBucket{MaxTokens: uint32(max(1, math.Ceil(r.Rate/4))), TokensPerFill: wrapperspb.UInt32(uint32(math.Round(tokens))),
				FillInterval: durationpb.New(fill)},
			FilterEnabled: always(), FilterEnforced: always()}
		if r.Rate == 0 {
			bucket.TokenBucket.TokensPerFill, bucket.TokenBucket.FillInterval = wrapperspb.UInt32(1), durationpb.New(time.Hour)
		}
		settings, err := anypb.New(bucket)
		if err != nil {
			return nil, fmt.Errorf("route %s: %w", r.Class, err)
		}
		one.TypedPerFilterConfig = map[string]*anypb.Any{rateFilter: settings}
	}
	return one, nil
}

func always() *corev3.RuntimeFractionalPercent {
	return &corev3.RuntimeFractionalPercent{DefaultValue: &typev3.FractionalPercent{Numerator: 100}}
}

// Encode writes a message as protobuf JSON, the same text for the same message.
func Encode(m proto.Message) ([]byte, error) {
	text, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	if err != nil {
		return nil, err
	}
	return text, nil
}

// ErrInvalidMessage is a text that is no message of the type it should be.
var ErrInvalidMessage = errors.New("no xDS message")

// Decode reads protobuf JSON. Unknown fields are passed over: a newer peer may say more.
func Decode(text []byte, into proto.Message) error {
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(text, into); err != nil {
		return fmt.Errorf("%w: %s: %v", ErrInvalidMessage, into.ProtoReflect().Descriptor().Name(), err)
	}
	return nil
}

// Document is a read document: one of Clusters and Routes is set, by Type.
type Document struct {
	Type, Version, Nonce string
	Clusters             []routing.Cluster
	Routes               []routing.Route
}

// ParseDocument reads a document as a gateway does. A text that is cut short or not a whole document is an error, and what
// could be read of it is still told by its nonce if there is one.
func ParseDocument(text []byte) (Document, error) {
	r := &discoveryv3.DiscoveryResponse{}
	if err := Decode(text, r); err != nil {
		return Document{}, err
	}
	return ParseResponse(r)
}

// ParseResponse reads a document from its message.
func ParseResponse(r *discoveryv3.DiscoveryResponse) (Document, error) {
	d := Document{Type: r.TypeUrl, Version: r.VersionInfo, Nonce: r.Nonce}
	for i, res := range r.Resources {
		switch r.TypeUrl {
		case EndpointType:
			a := &endpointv3.ClusterLoadAssignment{}
			if err := res.UnmarshalTo(a); err != nil {
				return d, fmt.Errorf("%w: resource %d: %v", ErrInvalidMessage, i, err)
			}
			c := routing.Cluster{Class: a.ClusterName}
			for _, zone := range a.Endpoints {
				for _, e := range zone.LbEndpoints {
					c.Endpoints = append(c.Endpoints, readLine(e, hostport(e.GetEndpoint().GetAddress()), zone.GetLocality().GetZone()))
				}
			}
			d.Clusters = append(d.Clusters, c)
		case RouteType:
			rc := &routev3.RouteConfiguration{}
			if err := res.UnmarshalTo(rc); err != nil {
				return d, fmt.Errorf("%w: resource %d: %v", ErrInvalidMessage, i, err)
			}
			routes, err := readRoutes(rc)
			if err != nil {
				return d, err
			}
			d.Routes = append(d.Routes, routes...)
		default:
			return d, fmt.Errorf("%w: type %q is not known", ErrInvalidMessage, r.TypeUrl)
		}
	}
	return d, nil
}

func readRoutes(rc *routev3.RouteConfiguration) (out []routing.Route, err error) {
	for _, host := range rc.VirtualHosts {
		for _, one := range host.Routes {
			read, err := readRoute(one)
			if err != nil {
				return nil, err
			}
			out = append(out, read)
		}
	}
	return out, nil
}

func readRoute(one *routev3.Route) (routing.Route, error) {
	action := one.GetRoute()
	r := routing.Route{Class: action.GetCluster(), Rate: routing.UnlimitedRate, Share: 1,
		Timeout: policyapi.Microseconds(action.GetTimeout().AsDuration().Microseconds())}
	if retry := action.GetRetryPolicy(); retry != nil {
		if r.RetryPolicy = int(retry.GetNumRetries().GetValue()); strings.Contains(retry.RetryOn, "5xx") {
			r.RetryPolicy++
		}
	}
	if f := one.GetMatch().GetRuntimeFraction(); f != nil {
		r.Share = float64(f.DefaultValue.GetNumerator()) / map[typev3.FractionalPercent_DenominatorType]float64{
			typev3.FractionalPercent_HUNDRED: 100, typev3.FractionalPercent_TEN_THOUSAND: 1e4,
			typev3.FractionalPercent_MILLION: 1e6}[f.DefaultValue.GetDenominator()]
	}
	if meta := one.GetMetadata().GetFilterMetadata()[FallbackMetadata].GetFields(); meta != nil {
		number := func(key string) float64 { return meta[key].GetNumberValue() }
		f := routing.Fallback{After: policyapi.Microseconds(number(fallbackAfter)) * 1000, Duration: policyapi.Microseconds(number(fallbackFor)) * 1000,
			Share: number(fallbackShare), RetryPolicy: int(number(fallbackTry))}
		if !(f.Share >= 0 && f.Share <= 1) || f.After < 0 || f.Duration < 0 || f.RetryPolicy < 0 || f.RetryPolicy > 3 {
			return r, fmt.Errorf("%w: route %s: a fallback of %+v", ErrInvalidMessage, one.Name, f)
		}
		r.Fallback = f
	}
	if settings := one.TypedPerFilterConfig[rateFilter]; settings != nil {
		limit := &ratev3.LocalRateLimit{}
		if err := settings.UnmarshalTo(limit); err != nil {
			return r, fmt.Errorf("%w: route %s: %v", ErrInvalidMessage, one.Name, err)
		}
		every := limit.GetTokenBucket().GetFillInterval().AsDuration().Seconds()
		if every <= 0 {
			return r, fmt.Errorf("%w: route %s: a bucket without a fill interval", ErrInvalidMessage, one.Name)
		}
		if r.Rate = float64(limit.TokenBucket.GetTokensPerFill().GetValue()) / every; r.Rate < 1e-3 {
			r.Rate = 0
		}
	}
	return r, nil
}
