package xds

import (
	"fmt"
	"strings"

	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	ratev3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/local_ratelimit/v3"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/structpb"

	"porthub/policyapi"
	"porthub/routing"
)

// maxRetryPolicy is the highest valid retry policy.
const maxRetryPolicy = policyapi.RetryTwice

func parseRoutes(configuration *routev3.RouteConfiguration) (routes []routing.Route, err error) {
	for _, host := range configuration.VirtualHosts {
		for _, route := range host.Routes {
			parsed, err := parseRoute(route)
			if err != nil {
				return nil, err
			}
			routes = append(routes, parsed)
		}
	}
	return routes, nil
}

func parseRoute(route *routev3.Route) (routing.Route, error) {
	action := route.GetRoute()
	parsed := routing.Route{
		Class:       action.GetCluster(),
		Rate:        routing.UnlimitedRate,
		Share:       1,
		Timeout:     policyapi.Microseconds(action.GetTimeout().AsDuration().Microseconds()),
		RetryPolicy: parseRetryPolicy(action.GetRetryPolicy()),
	}
	if fraction := route.GetMatch().GetRuntimeFraction(); fraction != nil {
		parsed.Share = float64(fraction.DefaultValue.GetNumerator()) / denominators[fraction.DefaultValue.GetDenominator()]
	}
	var err error
	if fields := route.GetMetadata().GetFilterMetadata()[FallbackMetadata].GetFields(); fields != nil {
		parsed.Fallback, err = parseFallback(fields)
		if err != nil {
			return parsed, fmt.Errorf("%w: route %s: %w", ErrInvalidMessage, route.Name, err)
		}
	}
	if settings := route.TypedPerFilterConfig[rateLimitFilter]; settings != nil {
		parsed.Rate, err = parseRateLimit(settings)
		if err != nil {
			return parsed, fmt.Errorf("%w: route %s: %w", ErrInvalidMessage, route.Name, err)
		}
	}
	return parsed, nil
}

// parseRetryPolicy is the inverse of newRetryPolicy.
func parseRetryPolicy(retry *routev3.RetryPolicy) policyapi.RetryPolicy {
	if retry == nil {
		return policyapi.NoRetry
	}
	policy := policyapi.RetryPolicy(retry.GetNumRetries().GetValue())
	if strings.Contains(retry.RetryOn, "5xx") {
		policy++
	}
	return policy
}

func parseFallback(fields map[string]*structpb.Value) (routing.Fallback, error) {
	number := func(key string) float64 { return fields[key].GetNumberValue() }
	fallback := routing.Fallback{
		After:       fromMilliseconds(number(fallbackAfter)),
		Duration:    fromMilliseconds(number(fallbackDuration)),
		Share:       number(fallbackShare),
		RetryPolicy: policyapi.RetryPolicy(number(fallbackRetryPolicy)),
	}
	shareValid := fallback.Share >= 0 && fallback.Share <= 1 // false for NaN
	retryValid := fallback.RetryPolicy >= 0 && fallback.RetryPolicy <= maxRetryPolicy
	if !shareValid || !retryValid || fallback.After < 0 || fallback.Duration < 0 {
		return routing.Fallback{}, fmt.Errorf(
			"invalid fallback %+v: share must be 0 to 1, second_try 0 to 3, and after_ms and for_ms at least 0",
			fallback)
	}
	return fallback, nil
}

// fromMilliseconds converts milliseconds to microseconds.
func fromMilliseconds(ms float64) policyapi.Microseconds {
	return policyapi.Microseconds(ms) * microsecondsPerMillisecond
}

// parseRateLimit returns the rate of a token bucket, in requests per second.
func parseRateLimit(settings *anypb.Any) (float64, error) {
	limit := &ratev3.LocalRateLimit{}
	if err := settings.UnmarshalTo(limit); err != nil {
		return routing.UnlimitedRate, err
	}
	interval := limit.GetTokenBucket().GetFillInterval().AsDuration().Seconds()
	if interval <= 0 {
		return routing.UnlimitedRate, fmt.Errorf("token bucket: fill_interval is missing or not above 0")
	}
	rate := float64(limit.TokenBucket.GetTokensPerFill().GetValue()) / interval
	if rate < minRate {
		return 0, nil
	}
	return rate, nil
}
