package emulator

import (
	"math/rand/v2"
	"time"

	"porthub/routing"
)

// balancer selects endpoints by smooth weighted round robin and ejects endpoints that fail repeatedly.
type balancer struct {
	current   map[string]map[string]float64 // current weights, by class and endpoint
	ejections map[string]*ejection          // by endpoint
}

// ejection tracks an endpoint's recent failures at this gateway.
type ejection struct {
	consecutiveFailures int
	until               time.Duration // end of the ejection
}

func newBalancer() balancer {
	return balancer{current: map[string]map[string]float64{}, ejections: map[string]*ejection{}}
}

// pick selects an endpoint of a class other than the excluded one. It selects an ejected endpoint only if there is no
// other.
func (b *balancer) pick(clusters []routing.Cluster, class, excluded string, now time.Duration, rng *rand.Rand) (endpoint routing.ClusterEndpoint, ok bool) {
	current := b.current[class]
	if current == nil {
		current = map[string]float64{}
		b.current[class] = current
	}
	var best, ejected *routing.ClusterEndpoint
	total := 0.0
	for _, candidate := range candidates(clusters, class, excluded) {
		name := string(candidate.Endpoint)
		if b.isEjected(name, now) {
			ejected = candidate
			continue
		}
		if _, known := current[name]; !known { // a random start keeps gateways from all starting with the same endpoint
			current[name] = rng.Float64() * candidate.Weight
		}
		current[name] += candidate.Weight
		total += candidate.Weight
		if best == nil || current[name] > current[string(best.Endpoint)] {
			best = candidate
		}
	}
	if best != nil {
		current[string(best.Endpoint)] -= total
		return *best, true
	}
	if ejected != nil {
		return *ejected, true
	}
	return routing.ClusterEndpoint{}, false
}

// candidates returns the endpoints of a class that are not withheld, without the excluded one.
func candidates(clusters []routing.Cluster, class, excluded string) []*routing.ClusterEndpoint {
	var out []*routing.ClusterEndpoint
	for i := range clusters {
		if clusters[i].Class != class {
			continue
		}
		for j := range clusters[i].Endpoints {
			endpoint := &clusters[i].Endpoints[j]
			if !endpoint.Withheld && string(endpoint.Endpoint) != excluded {
				out = append(out, endpoint)
			}
		}
	}
	return out
}

func (b *balancer) isEjected(endpoint string, now time.Duration) bool {
	e := b.ejections[endpoint]
	return e != nil && e.until > now
}

// record records the outcome of an attempt. After ejectAfter consecutive failures the endpoint is ejected until the given
// time; with 0 it is never ejected.
func (b *balancer) record(endpoint string, failed bool, ejectAfter int, until time.Duration) {
	e := b.ejections[endpoint]
	if e == nil {
		e = &ejection{}
		b.ejections[endpoint] = e
	}
	if !failed {
		e.consecutiveFailures = 0
		return
	}
	e.consecutiveFailures++
	if ejectAfter > 0 && e.consecutiveFailures >= ejectAfter {
		e.consecutiveFailures = 0
		e.until = until
	}
}

// tokenBucket limits the rate of admitted requests. It holds up to a quarter of a second's tokens, and at least one.
type tokenBucket struct {
	tokens  float64
	updated time.Duration
}

// take adds the tokens since the last call and takes one. It reports whether there was one.
func (b *tokenBucket) take(rate float64, now time.Duration) bool {
	b.tokens = min(max(1, rate/4), b.tokens+rate*(now-b.updated).Seconds())
	b.updated = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
