package emulator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"porthub/policyapi"
	"porthub/routing"
	"porthub/xds"
)

// attemptTimeout limits an attempt that may be retried after any failure.
const attemptTimeout = 600 * time.Millisecond

// statusError reports a response with a status other than 200.
type statusError int

func (e statusError) Error() string { return fmt.Sprintf("endpoint responded with status %d", int(e)) }

// handle serves a client's request.
func (g *Gateway) handle(w http.ResponseWriter, r *http.Request) {
	class := r.Header.Get(xds.ClassHeader)
	stats, route, admitted := g.admit(class)
	if !admitted {
		reject(w)
		return
	}
	err := g.forward(r, class, route)
	if err == nil {
		_, _ = io.WriteString(w, "done\n")
		return
	}
	g.mu.Lock()
	if errors.Is(err, errNoEndpoint) {
		stats.rejected++
	} else {
		stats.failed++
	}
	g.mu.Unlock()
	if errors.Is(err, errRejected) || errors.Is(err, errNoEndpoint) {
		reject(w)
		return
	}
	w.WriteHeader(http.StatusBadGateway)
}

// errNoEndpoint reports that the table has no endpoint for the class of a request.
var errNoEndpoint = errors.New("table has no endpoint for the request class")

// forward sends a request to an endpoint and retries it as the route allows, each time at an endpoint other than the last
// one. It returns the error of the last attempt, or errNoEndpoint if there was no attempt.
func (g *Gateway) forward(r *http.Request, class string, route routing.Route) error {
	attempts := g.maxAttempts(route)
	excluded := ""
	var err error
	for attempt := range attempts {
		endpoint, ok := g.pick(class, excluded)
		if !ok {
			if attempt == 0 {
				return errNoEndpoint
			}
			return err
		}
		excluded = string(endpoint.Endpoint)
		last := attempt == attempts-1
		err = g.attempt(r, class, endpoint, g.timeoutFor(route, last))
		if err == nil || r.Context().Err() != nil || !g.mayRetry(route, err) {
			return err
		}
	}
	return err
}

// maxAttempts returns how many attempts the route allows.
func (g *Gateway) maxAttempts(route routing.Route) int {
	policy := route.RetryPolicy
	switch {
	case g.AlwaysRetry || policy == policyapi.RetryTwice:
		return 3
	case policy > policyapi.NoRetry:
		return 2
	default:
		return 1
	}
}

// timeoutFor returns the timeout of an attempt, or 0 if only the client's timeout applies.
func (g *Gateway) timeoutFor(route routing.Route, last bool) time.Duration {
	retriesAnyFailure := g.AlwaysRetry || route.RetryPolicy >= policyapi.RetryOnce
	if last || !retriesAnyFailure {
		return 0
	}
	return attemptTimeout
}

// mayRetry reports whether the route allows a retry after the error.
func (g *Gateway) mayRetry(route routing.Route, err error) bool {
	onlyIfRejected := route.RetryPolicy == policyapi.RetryIfNotExecuted && !g.AlwaysRetry
	return !onlyIfRejected || errors.Is(err, errRejected)
}

// admit counts a request and decides by the share and the rate of its route whether it is admitted.
func (g *Gateway) admit(class string) (stats *classStats, route routing.Route, admitted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	stats = g.stats.class(class)
	stats.arrived++
	route = g.route(class)
	admitted = g.takeToken(route)
	if !admitted {
		stats.rejected++
	}
	return stats, route, admitted
}

func (g *Gateway) takeToken(route routing.Route) bool {
	if route.Share < 1 && g.rng.Float64() >= route.Share {
		return false
	}
	if route.Rate < 0 {
		return true // unlimited
	}
	now := g.world.Now()
	bucket := g.buckets[route.Class]
	if bucket == nil {
		bucket = &tokenBucket{tokens: 1, updated: now}
		g.buckets[route.Class] = bucket
	}
	return bucket.take(route.Rate, now)
}

// route returns the route of a class as it applies after the time since the last contact with the coordinator. A class
// without a route is admitted without limits.
func (g *Gateway) route(class string) routing.Route {
	for _, route := range g.tables.Snapshot.Routes {
		if route.Class != class {
			continue
		}
		if g.lastContact.IsZero() {
			return route
		}
		return route.WithoutCoordinator(policyapi.Microseconds(time.Since(g.lastContact).Microseconds()))
	}
	return routing.Route{Class: class, Rate: routing.UnlimitedRate, Share: 1}
}

func (g *Gateway) pick(class, excluded string) (routing.ClusterEndpoint, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.pick(g.tables.Snapshot.Clusters, class, excluded, g.world.Now(), g.rng)
}

// attempt sends a request to an endpoint and records the outcome. The error matches errRejected if the request was certainly
// not executed. With a timeout of 0, only the client's timeout applies.
func (g *Gateway) attempt(r *http.Request, class string, endpoint routing.ClusterEndpoint, timeout time.Duration) error {
	ctx := r.Context()
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	addr := string(endpoint.Endpoint)
	zone := string(endpoint.Zone)
	start := time.Now()
	g.world.Log.RequestSent(g.world.Now(), g.Name, addr)
	g.mu.Lock()
	stats := g.stats.class(class).endpoint(addr, zone)
	stats.inFlight++
	g.mu.Unlock()
	load, err := g.roundTrip(ctx, addr, zone, r)
	g.mu.Lock()
	defer g.mu.Unlock()
	stats.inFlight--
	stats.attempts++
	g.balancer.record(addr, err != nil, g.EjectAfter, g.world.Now()+g.EjectionTime)
	if err != nil {
		stats.failed++
		return err
	}
	stats.latency += time.Since(start)
	if load != nil {
		stats.load = load
		stats.loadReports++
	}
	return nil
}

// roundTrip sends a request to an endpoint and returns the load that the endpoint reports with its response.
func (g *Gateway) roundTrip(ctx context.Context, addr, zone string, r *http.Request) (map[string]float64, error) {
	if err := g.waitIfBlocked(ctx, zone); err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/work", nil)
	if err != nil {
		return nil, err
	}
	for _, header := range []string{xds.ClassHeader, headerRequest, headerAttempt, headerWork} {
		request.Header.Set(header, r.Header.Get(header))
	}
	request.Header.Set(headerGateway, g.Name)
	response, err := g.http.Do(request)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, fmt.Errorf("%w: %w", errRejected, err)
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	if blocked := g.waitIfBlocked(ctx, zone); blocked != nil {
		return nil, blocked
	}
	switch {
	case err != nil:
		return nil, err
	case response.Header.Get(headerRejected) != "":
		return nil, errRejected
	case response.StatusCode != http.StatusOK:
		return nil, statusError(response.StatusCode)
	}
	return xds.ParseORCA(response.Header.Get(xds.ORCAHeader)), nil
}

// waitIfBlocked blocks until the request ends if a partition separates the gateway from the zone: neither a response nor a
// connection refusal arrives through a partition.
func (g *Gateway) waitIfBlocked(ctx context.Context, zone string) error {
	if !g.world.Blocked(g.Zone, zone) {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}
