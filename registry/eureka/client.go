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

	"porthub/httpclient"
	"porthub/membership"
)

const (
	maxBackoff = 30 * time.Second
	// maxBackoffDoublings is the maximum number of doublings of the backoff, which starts with one poll interval.
	maxBackoffDoublings = 5
	// jitterDivisor limits the jitter of a poll to a tenth of the poll interval. The jitter makes the polls of several
	// coordinators drift apart.
	jitterDivisor = 10
	// noApplications replaces the body of a 404 response, which a registry returns for an application without instances.
	noApplications = `{"applications":{}}`
)

// Client polls one registry.
type Client struct {
	options       Options
	http          *http.Client
	onUpdate      func(membership.SourceUpdate)
	fetchRequests chan struct{}
	counters      counters

	// The fields below are used only by the goroutine of Run.
	peer                int // index of the current peer in options.Addresses
	cache               Cache
	deregistrations     deregistrations
	deltaRead           bool   // the poll in progress has read a delta
	snapshotHash        uint64 // hash of the body of the last snapshot
	observations        []membership.Observation
	consecutiveFailures int
	timeout             responseTimeout
	slowestResponse     time.Duration // of the poll in progress
}

// Stats holds counters of the requests to a registry.
type Stats struct {
	Requests       int64 `json:"calls"`
	Bytes          int64 `json:"bytes"` // of responses
	Snapshots      int64 `json:"whole"`
	Deltas         int64 `json:"deltas"`
	Unchanged      int64 `json:"unchanged"` // snapshots with the same body as the previous one
	HashMismatches int64 `json:"hash_mismatches"`
	Failures       int64 `json:"failed"`
}

// counters are the counters behind Stats.
type counters struct {
	requests       atomic.Int64
	bytes          atomic.Int64
	snapshots      atomic.Int64
	deltas         atomic.Int64
	unchanged      atomic.Int64
	hashMismatches atomic.Int64
	failures       atomic.Int64
}

// New returns a client that sends no requests until Run is called. Run's goroutine calls onUpdate with the observations after
// each successful poll, and with an error each time that all peers have failed in turn.
func New(options Options, onUpdate func(membership.SourceUpdate)) *Client {
	options = options.withDefaults()
	return &Client{
		options:       options,
		onUpdate:      onUpdate,
		fetchRequests: make(chan struct{}, 1),
		timeout:       responseTimeout{initial: options.Timeout, current: options.Timeout},
		http: &http.Client{Transport: &http.Transport{
			DialContext:           httpclient.HookReads((&net.Dialer{Timeout: options.Timeout}).DialContext),
			MaxIdleConnsPerHost:   2,
			ResponseHeaderTimeout: options.Timeout,
		}},
	}
}

// Stats returns the counters. It is safe for concurrent use.
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

// Fetch requests a poll without waiting for the poll interval. It never blocks and is safe for concurrent use.
func (c *Client) Fetch() {
	select {
	case c.fetchRequests <- struct{}{}:
	default:
	}
}

// Run polls the registry until the context ends. If Options.Registration is set, it also maintains the registration in another
// goroutine, which ends before Run returns.
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
		case <-c.fetchRequests:
		case <-time.After(wait):
		}
	}
}

// report handles the result of a poll: it delivers observations or an error, switches to the next peer after a failure, and
// returns the wait before the next poll.
func (c *Client) report(err error) time.Duration {
	if err == nil {
		c.consecutiveFailures = 0
		c.timeout.succeeded(c.slowestResponse)
		c.onUpdate(c.update())
		return c.options.PollInterval + time.Duration(rand.Int64N(int64(c.options.PollInterval)/jitterDivisor+1))
	}
	c.counters.failures.Add(1)
	c.consecutiveFailures++
	c.timeout.failed(err)
	var wait time.Duration // the next peer is polled without delay
	if c.consecutiveFailures%len(c.options.Addresses) == 0 {
		c.onUpdate(membership.SourceUpdate{Source: c.options.Name, Error: err.Error()})
		c.timeout.allPeersFailed()
		wait = c.backoff()
	}
	c.peer = (c.peer + 1) % len(c.options.Addresses)
	c.cache.complete = false // deltas of one peer do not apply to the state of another
	return wait
}

// backoff returns the wait after all peers have failed. It doubles each time and has jitter, so that several coordinators do
// not poll in lockstep.
func (c *Client) backoff() time.Duration {
	rounds := c.consecutiveFailures / len(c.options.Addresses)
	limit := min(c.options.PollInterval<<min(rounds-1, maxBackoffDoublings), maxBackoff)
	return limit/2 + time.Duration(rand.Int64N(int64(limit)/2+1))
}

// poll updates the cache and the observations, with a delta if possible and with a snapshot otherwise.
func (c *Client) poll(ctx context.Context) error {
	c.slowestResponse = 0
	c.deltaRead = false
	if c.options.usesDeltas() && c.cache.complete {
		applied, err := c.pollDelta(ctx)
		if applied || err != nil {
			return err
		}
		c.counters.hashMismatches.Add(1) // a delta was lost or is stale
	}
	if err := c.pollSnapshot(ctx); err != nil {
		return err
	}
	c.explainMissing(ctx)
	return nil
}

// pollDelta fetches a delta and applies it. It returns false if the result does not have the registry's hash.
func (c *Client) pollDelta(ctx context.Context) (applied bool, err error) {
	delta, err := c.getDelta(ctx)
	if err != nil {
		return false, err
	}
	if !c.cache.ApplyDelta(delta) {
		return false, nil
	}
	if len(delta.Instances) > 0 {
		c.observations = c.options.Observations(c.cache.Instances())
	}
	return true, nil
}

// getDelta fetches a delta and records the cancellations that it shows.
func (c *Client) getDelta(ctx context.Context) (Applications, error) {
	body, err := c.get(ctx, "/apps/delta")
	if err != nil {
		return Applications{}, err
	}
	delta, err := Parse(body)
	if err != nil {
		return Applications{}, err
	}
	c.counters.deltas.Add(1)
	c.deltaRead = true
	c.deregistrations.applyDelta(time.Now(), delta, c.cache.removed)
	return delta, nil
}

// pollSnapshot fetches a snapshot and replaces the state by it. A body that equals that of the last snapshot is not decoded
// again.
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
	before := c.cache.instances
	c.cache.ApplySnapshot(snapshot)
	c.deregistrations.missing(time.Now(), before, c.cache.instances)
	c.snapshotHash = hash
	c.observations = c.options.Observations(snapshot.Instances)
	return nil
}

// checkHash returns an error if a snapshot of the whole registry lacks instances, which its hash shows. Snapshots of one
// application or vip address are not checked.
func (c *Client) checkHash(snapshot Applications) error {
	if snapshot.Hash == "" || c.options.VIP != "" || c.options.App != "" {
		return nil
	}
	if hash := StatusHash(snapshot.Instances); hash != snapshot.Hash {
		return fmt.Errorf("%w: the stated hash is %s, but the instances have the hash %s: the response is incomplete",
			ErrInvalidResponse, snapshot.Hash, hash)
	}
	return nil
}

// snapshotPath returns the path of the snapshot that the options select.
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

// get returns the body of a GET request to the current peer. The status 404 is not an error for an application or vip
// address: the body then has no applications.
func (c *Client) get(ctx context.Context, path string) ([]byte, error) {
	began := time.Now()
	defer func() { c.slowestResponse = max(c.slowestResponse, time.Since(began)) }()
	ctx, stop := httpclient.Limit(ctx, httpclient.Limits{Silence: c.options.Timeout, Total: c.timeout.current})
	defer stop()
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
		return nil, httpclient.CauseOr(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, c.options.MaxResponseBytes+1))
	c.counters.bytes.Add(int64(len(body)))
	if response.StatusCode == http.StatusNotFound && path != "/apps" && path != "/apps/delta" {
		return []byte(noApplications), nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("GET %s: unexpected status %s, want 200", path, response.Status)
	}
	if err != nil {
		return nil, fmt.Errorf("GET %s: failed to read the body: %w", path, httpclient.CauseOr(ctx, err))
	}
	if int64(len(body)) > c.options.MaxResponseBytes {
		return nil, fmt.Errorf("GET %s: the body is larger than %d bytes", path, c.options.MaxResponseBytes)
	}
	return body, nil
}
