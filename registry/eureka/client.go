package eureka

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"porthub/membership"
)

const (
	maxBackoff = 30 * time.Second
	// maxBackoffDoublings bounds the growth of the backoff in poll intervals.
	maxBackoffDoublings = 5
	// jitterDivisor is the part of the poll interval by which polls of several coordinators drift apart.
	jitterDivisor = 10
	// noApplications is the body in place of a 404, which a registry returns for an application without instances.
	noApplications = `{"applications":{}}`
)

// Client reads one registry.
type Client struct {
	options  Options
	http     *http.Client
	onUpdate func(membership.SourceUpdate)
	fetches  chan struct{}
	counters counters

	// What follows belongs to the goroutine of Run.
	peer                int // index of the address in use
	cache               Cache
	snapshotHash        uint64 // of the last snapshot's body
	observations        []membership.Observation
	consecutiveFailures int
}

// Stats count the requests to a registry.
type Stats struct {
	Requests       int64 `json:"calls"`
	Bytes          int64 `json:"bytes"` // of responses
	Snapshots      int64 `json:"whole"`
	Deltas         int64 `json:"deltas"`
	Unchanged      int64 `json:"unchanged"` // snapshots with the same body as the last
	HashMismatches int64 `json:"hash_mismatches"`
	Failures       int64 `json:"failed"`
}

type counters struct {
	requests       atomic.Int64
	bytes          atomic.Int64
	snapshots      atomic.Int64
	deltas         atomic.Int64
	unchanged      atomic.Int64
	hashMismatches atomic.Int64
	failures       atomic.Int64
}

// New returns a client that does nothing until Run. The function onUpdate is called by Run's goroutine with the state
// after each poll, and with a failure once every peer has failed.
func New(options Options, onUpdate func(membership.SourceUpdate)) *Client {
	options = options.withDefaults()
	return &Client{
		options:  options,
		onUpdate: onUpdate,
		fetches:  make(chan struct{}, 1),
		http: &http.Client{Timeout: options.Timeout, Transport: &http.Transport{
			DialContext:           (&net.Dialer{Timeout: options.Timeout}).DialContext,
			MaxIdleConnsPerHost:   2,
			ResponseHeaderTimeout: options.Timeout,
		}},
	}
}

// Stats returns the counts. It is safe for concurrent use.
func (c *Client) Stats() Stats {
	return Stats{
		Requests:       c.counters.requests.Load(),
		Bytes:          c.counters.bytes.Load(),
		Snapshots:      c.counters.snapshots.Load(),
		Deltas:         c.counters.deltas.Load(),
		Unchanged:      c.counters.unchanged.Load(),
		HashMismatches: c.counters.hashMismatches.Load(),
		Failures:       c.counters.failures.Load(),
	}
}

// Fetch makes the next poll happen at once. It never blocks.
func (c *Client) Fetch() {
	select {
	case c.fetches <- struct{}{}:
	default:
	}
}

// Run polls until the context ends. Its goroutine for the registration ends before it returns.
func (c *Client) Run(ctx context.Context) {
	var registration sync.WaitGroup
	defer registration.Wait()
	if c.options.Registration != nil {
		registration.Go(func() { c.register(ctx) })
	}
	for ctx.Err() == nil {
		err := c.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		wait := c.report(err)
		select {
		case <-ctx.Done():
		case <-c.fetches:
		case <-time.After(wait):
		}
	}
}

// report delivers the outcome of a poll and returns the wait before the next.
func (c *Client) report(err error) time.Duration {
	if err == nil {
		c.consecutiveFailures = 0
		c.onUpdate(membership.SourceUpdate{Source: c.options.Name, Observations: c.observations})
		return c.options.PollInterval + time.Duration(rand.Int64N(int64(c.options.PollInterval)/jitterDivisor+1))
	}
	c.counters.failures.Add(1)
	c.consecutiveFailures++
	var wait time.Duration // the next peer is polled at once
	if c.consecutiveFailures%len(c.options.Addresses) == 0 {
		c.onUpdate(membership.SourceUpdate{Source: c.options.Name, Error: err.Error()})
		wait = c.backoff()
	}
	c.peer = (c.peer + 1) % len(c.options.Addresses)
	c.cache.complete = false // each peer has its own deltas
	return wait
}

// backoff doubles each time that all peers have failed. It has jitter, so that coordinators do not poll in step.
func (c *Client) backoff() time.Duration {
	rounds := c.consecutiveFailures / len(c.options.Addresses)
	limit := min(c.options.PollInterval<<min(rounds-1, maxBackoffDoublings), maxBackoff)
	return limit/2 + time.Duration(rand.Int64N(int64(limit)/2+1))
}

// poll updates the cache and the observations, by a delta if possible.
func (c *Client) poll(ctx context.Context) error {
	if c.options.takesDeltas() && c.cache.complete {
		applied, err := c.pollDelta(ctx)
		if applied || err != nil {
			return err
		}
		c.counters.hashMismatches.Add(1) // a delta was lost, or is stale
	}
	return c.pollSnapshot(ctx)
}

// pollDelta reports whether the delta led to the registry's state.
func (c *Client) pollDelta(ctx context.Context) (applied bool, err error) {
	body, err := c.get(ctx, "/apps/delta")
	if err != nil {
		return false, err
	}
	delta, err := Parse(body)
	if err != nil {
		return false, err
	}
	c.counters.deltas.Add(1)
	if !c.cache.ApplyDelta(delta) {
		return false, nil
	}
	if len(delta.Instances) > 0 {
		c.observations = c.options.Observations(c.cache.Instances())
	}
	return true, nil
}

func (c *Client) pollSnapshot(ctx context.Context) error {
	body, err := c.get(ctx, c.snapshotPath())
	if err != nil {
		return err
	}
	c.counters.snapshots.Add(1)
	hash := xxhash.Sum64(body)
	if c.cache.complete && hash == c.snapshotHash {
		c.counters.unchanged.Add(1)
		return nil
	}
	snapshot, err := Parse(body)
	if err != nil {
		return err
	}
	if err := c.checkHash(snapshot); err != nil {
		return err
	}
	c.cache.ApplySnapshot(snapshot)
	c.snapshotHash = hash
	c.observations = c.options.Observations(snapshot.Instances)
	return nil
}

// checkHash detects a snapshot of the complete registry that lacks instances.
func (c *Client) checkHash(snapshot Applications) error {
	if snapshot.Hash == "" || c.options.VIP != "" || c.options.App != "" {
		return nil
	}
	if hash := StatusHash(snapshot.Instances); hash != snapshot.Hash {
		return fmt.Errorf("%w: the snapshot has hash %s, its instances %s: the response is incomplete", ErrInvalidResponse, snapshot.Hash, hash)
	}
	return nil
}

func (c *Client) snapshotPath() string {
	switch {
	case c.options.App != "":
		return "/apps/" + url.PathEscape(c.options.App)
	case c.options.VIP != "":
		return "/vips/" + url.PathEscape(c.options.VIP)
	default:
		return "/apps"
	}
}

func (c *Client) get(ctx context.Context, path string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.options.Addresses[c.peer]+path, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Accept", "application/json")
	if c.options.XML {
		request.Header.Set("Accept", "application/xml")
	}
	c.counters.requests.Add(1)
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, c.options.MaxResponseBytes+1))
	c.counters.bytes.Add(int64(len(body)))
	if response.StatusCode == http.StatusNotFound && path != "/apps" && path != "/apps/delta" {
		return []byte(noApplications), nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s", path, response.Status)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if int64(len(body)) > c.options.MaxResponseBytes {
		return nil, fmt.Errorf("%s: more than %d bytes", path, c.options.MaxResponseBytes)
	}
	return body, nil
}
