package xds

import (
	"fmt"
	"math"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	ratev3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/local_ratelimit/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	matcherv3 "github.com/envoyproxy/go-control-plane/envoy/type/matcher/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/structpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"porthub/policyapi"
	"porthub/routing"
)

// rateLimitFilter is the name of Envoy's local rate limit filter. A route's rate limit is stored under this name.
const rateLimitFilter = "envoy.filters.http.local_ratelimit"

// Keys of the metadata under FallbackMetadata.
const (
	fallbackAfter       = "after_ms"
	fallbackDuration    = "for_ms"
	fallbackShare       = "share"
	fallbackRetryPolicy = "second_try"
)

const microsecondsPerMillisecond = 1000

// Values of retry_on. retryUnsent lists the failures that prove that the first attempt was not executed: the connection
// was not established or the stream was refused.
const (
	retryUnsent = "connect-failure,refused-stream"
	retryAny    = "5xx,reset,connect-failure,refused-stream"
)

// Parameters of the conversion from a rate to a token bucket, which has an integer number of tokens and a fill interval.
const (
	// fillInterval is the fill interval of a bucket if a fill then has at least minFillTokens; otherwise it is longer.
	fillInterval = 100 * time.Millisecond
	// minFillTokens keeps the error from rounding tokens within 1% of the rate.
	minFillTokens = 100
	// minRate is the lowest rate above 0, in requests per second. A gateway treats a lower rate as 0.
	minRate         = 1e-3
	maxFillInterval = time.Hour
)

// NewRouteDocument returns the document with a gateway's routes. It returns an error for an unknown retry policy.
func NewRouteDocument(version, nonce string, routes []routing.Route) (*discoveryv3.DiscoveryResponse, error) {
	configuration, err := newRouteConfiguration(RouteConfigurationName, routes)
	if err != nil {
		return nil, err
	}
	resource, err := anypb.New(configuration)
	if err != nil {
		return nil, fmt.Errorf("routes: %w", err)
	}
	return &discoveryv3.DiscoveryResponse{
		VersionInfo: version,
		TypeUrl:     RouteType,
		Nonce:       nonce,
		Resources:   []*anypb.Any{resource},
	}, nil
}

func newRouteConfiguration(name string, routes []routing.Route) (*routev3.RouteConfiguration, error) {
	host := &routev3.VirtualHost{Name: "all", Domains: []string{"*"}}
	for _, r := range routes {
		route, err := newRoute(r)
		if err != nil {
			return nil, err
		}
		host.Routes = append(host.Routes, route)
	}
	return &routev3.RouteConfiguration{Name: name, VirtualHosts: []*routev3.VirtualHost{host}}, nil
}

func newRoute(r routing.Route) (*routev3.Route, error) {
	retryPolicy, err := newRetryPolicy(r)
	if err != nil {
		return nil, err
	}
	route := &routev3.Route{
		Name:  r.Class,
		Match: newMatch(r),
		Action: &routev3.Route_Route{Route: &routev3.RouteAction{
			ClusterSpecifier: &routev3.RouteAction_Cluster{Cluster: r.Class},
			Timeout:          durationpb.New(time.Duration(r.Timeout) * time.Microsecond),
			RetryPolicy:      retryPolicy,
		}},
	}
	if r.Fallback.Duration > 0 {
		route.Metadata, err = newFallbackMetadata(r.Fallback)
		if err != nil {
			return nil, fmt.Errorf("route %s: %w", r.Class, err)
		}
	}
	if r.Rate >= 0 {
		settings, err := anypb.New(newRateLimit(r.Rate))
		if err != nil {
			return nil, fmt.Errorf("route %s: %w", r.Class, err)
		}
		route.TypedPerFilterConfig = map[string]*anypb.Any{rateLimitFilter: settings}
	}
	return route, nil
}

func newRetryPolicy(r routing.Route) (*routev3.RetryPolicy, error) {
	switch r.RetryPolicy {
	case policyapi.NoRetry:
		return nil, nil
	case policyapi.RetryIfNotExecuted:
		return &routev3.RetryPolicy{RetryOn: retryUnsent, NumRetries: wrapperspb.UInt32(1)}, nil
	case policyapi.RetryOnce, policyapi.RetryTwice:
		return &routev3.RetryPolicy{RetryOn: retryAny, NumRetries: wrapperspb.UInt32(uint32(r.RetryPolicy - 1))}, nil
	default:
		return nil, fmt.Errorf("route %s: unknown retry policy %d", r.Class, r.RetryPolicy)
	}
}

// newMatch returns a match for the requests of a class, limited to the admitted share.
func newMatch(r routing.Route) *routev3.RouteMatch {
	match := &routev3.RouteMatch{
		PathSpecifier: &routev3.RouteMatch_Prefix{Prefix: "/"},
		Headers: []*routev3.HeaderMatcher{{
			Name: ClassHeader,
			HeaderMatchSpecifier: &routev3.HeaderMatcher_StringMatch{StringMatch: &matcherv3.StringMatcher{
				MatchPattern: &matcherv3.StringMatcher_Exact{Exact: r.Class},
			}},
		}},
	}
	if r.Share < 1 {
		match.RuntimeFraction = &corev3.RuntimeFractionalPercent{
			RuntimeKey: "admission." + r.Class,
			DefaultValue: &typev3.FractionalPercent{
				Numerator:   uint32(math.Round(max(0, r.Share) * denominators[typev3.FractionalPercent_MILLION])),
				Denominator: typev3.FractionalPercent_MILLION,
			},
		}
	}
	return match
}

func newFallbackMetadata(f routing.Fallback) (*corev3.Metadata, error) {
	fields, err := structpb.NewStruct(map[string]any{
		fallbackAfter:       float64(f.After / microsecondsPerMillisecond),
		fallbackDuration:    float64(f.Duration / microsecondsPerMillisecond),
		fallbackShare:       f.Share,
		fallbackRetryPolicy: float64(f.RetryPolicy),
	})
	if err != nil {
		return nil, err
	}
	return &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{FallbackMetadata: fields}}, nil
}

// newRateLimit returns the local rate limit for a rate in requests per second.
func newRateLimit(rate float64) *ratev3.LocalRateLimit {
	interval := fillInterval
	tokens := rate * fillInterval.Seconds()
	if tokens < minFillTokens {
		interval = min(maxFillInterval, time.Duration(minFillTokens/max(rate, minRate)*float64(time.Second)))
		tokens = minFillTokens
	}
	tokensPerFill := uint32(math.Round(tokens))
	if rate == 0 {
		// A bucket can't have 0 tokens per fill. This is the lowest rate that it can have.
		tokensPerFill = 1
		interval = maxFillInterval
	}
	return &ratev3.LocalRateLimit{
		StatPrefix: "admission",
		TokenBucket: &typev3.TokenBucket{
			MaxTokens:     uint32(max(1, math.Ceil(rate/4))), // allows bursts of a quarter of a second
			TokensPerFill: wrapperspb.UInt32(tokensPerFill),
			FillInterval:  durationpb.New(interval),
		},
		FilterEnabled:  always(),
		FilterEnforced: always(),
	}
}

// always returns a fraction of 100%.
func always() *corev3.RuntimeFractionalPercent {
	return &corev3.RuntimeFractionalPercent{DefaultValue: &typev3.FractionalPercent{Numerator: 100}}
}

// denominators maps the denominators of a FractionalPercent to their values.
var denominators = map[typev3.FractionalPercent_DenominatorType]float64{
	typev3.FractionalPercent_HUNDRED:      100,
	typev3.FractionalPercent_TEN_THOUSAND: 1e4,
	typev3.FractionalPercent_MILLION:      1e6,
}
