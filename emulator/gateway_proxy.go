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

// attemptTimeout is how long an attempt may take that is followed by another one.
const attemptTimeout = 600 * time.Millisecond

// statusError is a response other than 200.
type statusError int

func (e statusError) Error() string { return fmt.Sprintf("answered %d", int(e)) }

// handle takes one request of a client through its attempts.
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

// errNoEndpoint is a request for whose class the table has no endpoint.
var errNoEndpoint = errors.New("no endpoint for the class")

// forward attempts a request at one endpoint after the other, as its route allows. It returns the last attempt's error,
// or errNoEndpoint if there was none.
func (g *Gateway) forward(r *http.Request, class string, route routing.Route) error {
	attempts := g.attempts(route)
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

// attempts is how often a request may be attempted by its route.
func (g *Gateway) attempts(route routing.Route) int {
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

// timeoutFor is how long an attempt may take; 0: as long as the client waits.
func (g *Gateway) timeoutFor(route routing.Route, last bool) time.Duration {
	retriesAnyFailure := g.AlwaysRetry || route.RetryPolicy >= policyapi.RetryOnce
	if last || !retriesAnyFailure {
		return 0
	}
	return attemptTimeout
}

// mayRetry reports whether a failed attempt may be followed by another one.
func (g *Gateway) mayRetry(route routing.Route, err error) bool {
	onlyIfRejected := route.RetryPolicy == policyapi.RetryIfNotExecuted && !g.AlwaysRetry
	return !onlyIfRejected || errors.Is(err, errRejected)
}

// admit counts a request of a class and takes a token of its route's rate.
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

// route returns the route of a class, by its fallback if there was no contact with the coordinator for long.
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

// attempt sends a request to an endpoint and counts the outcome. Its error is an errRejected where it is certain that
// nothing ran. A timeout of 0 is none.
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
	load, err := g.exchange(ctx, addr, zone, r)
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

// exchange sends a request to an endpoint and returns the load that the endpoint reports of itself.
func (g *Gateway) exchange(ctx context.Context, addr, zone string, r *http.Request) (map[string]float64, error) {
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
	case response.Header.Get(headerDenied) != "":
		return nil, errRejected
	case response.StatusCode != http.StatusOK:
		return nil, statusError(response.StatusCode)
	}
	return xds.ParseORCA(response.Header.Get(xds.ORCAHeader)), nil
}

// waitIfBlocked waits for the end of a request that can't reach its zone: nothing comes back, not even a refusal.
func (g *Gateway) waitIfBlocked(ctx context.Context, zone string) error {
	if !g.world.Blocked(g.Zone, zone) {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}
