package eureka

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"porthub/membership"
	"porthub/policyapi"
)

// Options say where a registry is and how it is asked.
type Options struct {
	Name      string   // of the source
	Addresses []string // base URLs such as http://127.0.0.1:8761/eureka; the first that answers is asked on
	App       string   // one application alone; empty: all, or VIP
	VIP       string   // what stands behind a vip address
	Deltas    bool     // ask for deltas between whole answers; with App or VIP there are none
	XML       bool     // ask for XML
	Poll      time.Duration
	Timeout   time.Duration // of one request
	Most      int64         // bytes of an answer
	// Fields maps metadata to what the list has: zone, weight, pod, machine. Zone is needed unless Zone is set.
	Fields map[string]string
	Zone   string // of instances that name none
	Hosts  bool   // nodes are named by hostName, not ipAddr
	Self   *Self
}

// Self is the coordinator's own entry.
type Self struct {
	App, ID, Host, IP string
	Port              int
	Renew             time.Duration
}

// Defaults fill what is left out.
func (o Options) Defaults() Options {
	if o.Poll <= 0 {
		o.Poll = 5 * time.Second
	}
	if o.Timeout <= 0 {
		o.Timeout = 2 * time.Second
	}
	if o.Most <= 0 {
		o.Most = 32 << 20
	}
	if o.Self != nil && o.Self.Renew <= 0 {
		o.Self.Renew = 30 * time.Second
	}
	return o
}

// Stats count what a registry was asked.
type Stats struct {
	Calls     int64 `json:"calls"`
	Bytes     int64 `json:"bytes"` // of answers
	Whole     int64 `json:"whole"`
	Deltas    int64 `json:"deltas"`
	Unchanged int64 `json:"unchanged"` // answers that were the same to the letter
	Mismatch  int64 `json:"hash_mismatches"`
	Failed    int64 `json:"failed"`
}

// Client reads one registry.
type Client struct {
	o      Options
	http   *http.Client
	told   func(membership.SourceUpdate)
	at     int // address in use
	hold   Holding
	sum    uint64 // of the last whole answer
	claims []membership.Observation
	fails  int
	again  chan struct{}

	calls, bytes, whole, deltas, unchanged, mismatch, failed atomic.Int64
}

// New makes a client; told is called with each answer and each failure, by one goroutine.
func New(o Options, told func(membership.SourceUpdate)) *Client {
	o = o.Defaults()
	return &Client{o: o, told: told, again: make(chan struct{}, 1), http: &http.Client{Timeout: o.Timeout, Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: o.Timeout}).DialContext, MaxIdleConnsPerHost: 2, ResponseHeaderTimeout: o.Timeout}}}
}

// Stats returns the counts.
func (c *Client) Stats() Stats {
	return Stats{c.calls.Load(), c.bytes.Load(), c.whole.Load(), c.deltas.Load(), c.unchanged.Load(), c.mismatch.Load(), c.failed.Load()}
}

// Fetch asks at once.
func (c *Client) Fetch() {
	select {
	case c.again <- struct{}{}:
	default:
	}
}

// Run asks until the context ends.
func (c *Client) Run(ctx context.Context) {
	var self sync.WaitGroup
	if c.o.Self != nil {
		self.Add(1)
		go func() { defer self.Done(); c.register(ctx) }()
	}
	defer self.Wait()
	for ctx.Err() == nil {
		err := c.round(ctx)
		wait := c.o.Poll
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			c.failed.Add(1)
			c.fails++
			if c.fails%len(c.o.Addresses) == 0 { // all of them have failed
				c.told(membership.SourceUpdate{Source: c.o.Name, Error: err.Error()})
				wait = c.backoff()
			} else {
				wait = 0
			}
			c.at = (c.at + 1) % len(c.o.Addresses)
			c.hold.whole = false // a peer has its own deltas
		default:
			c.fails = 0
			c.told(membership.SourceUpdate{Source: c.o.Name, Observations: c.claims})
			wait += time.Duration(rand.Int64N(int64(c.o.Poll)/10 + 1))
		}
		select {
		case <-ctx.Done():
		case <-c.again:
		case <-time.After(wait):
		}
	}
}

// backoff doubles with each round of failures, up to 30 s, and is not in step with other coordinators.
func (c *Client) backoff() time.Duration {
	rounds := c.fails / len(c.o.Addresses)
	most := min(c.o.Poll<<min(rounds-1, 5), 30*time.Second)
	return most/2 + time.Duration(rand.Int64N(int64(most)/2+1))
}

// round asks once: for a delta if there is something to add it to, else for the whole.
func (c *Client) round(ctx context.Context) error {
	if c.o.Deltas && c.hold.whole && c.o.App == "" && c.o.VIP == "" {
		body, err := c.get(ctx, "/apps/delta")
		if err != nil {
			return err
		}
		a, err := Parse(body)
		if err != nil {
			return err
		}
		c.deltas.Add(1)
		if c.hold.Delta(a) {
			if len(a.Instances) > 0 {
				c.claims = c.o.Claims(c.hold.Instances())
			}
			return nil
		}
		c.mismatch.Add(1) // a delta was lost, or is not one: the whole tells
	}
	path := "/apps"
	if c.o.App != "" {
		path = "/apps/" + url.PathEscape(c.o.App)
	} else if c.o.VIP != "" {
		path = "/vips/" + url.PathEscape(c.o.VIP)
	}
	body, err := c.get(ctx, path)
	if err != nil {
		return err
	}
	c.whole.Add(1)
	sum := xxhash.Sum64(body)
	if c.hold.whole && sum == c.sum {
		c.unchanged.Add(1)
		return nil
	}
	a, err := Parse(body)
	if err != nil {
		return err
	}
	if a.Hash != "" && c.o.VIP == "" && c.o.App == "" && HashOf(a.Instances) != a.Hash {
		return fmt.Errorf("%w: the whole has hash %s, its instances %s: half of an answer?", ErrBody, a.Hash, HashOf(a.Instances))
	}
	c.hold.Whole(a)
	c.sum, c.claims = sum, c.o.Claims(a.Instances)
	return nil
}

func (c *Client) get(ctx context.Context, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.o.Addresses[c.at]+path, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Accept", "application/json")
	if c.o.XML {
		req.Header.Set("Accept", "application/xml")
	}
	c.calls.Add(1)
	res, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, c.o.Most+1))
	c.bytes.Add(int64(len(body)))
	switch {
	case res.StatusCode == http.StatusNotFound && path != "/apps" && path != "/apps/delta":
		return []byte(`{"applications":{}}`), nil // an application that nobody has registered
	case res.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("%s: %s", path, res.Status)
	case err != nil:
		return nil, fmt.Errorf("%s: %w", path, err)
	case int64(len(body)) > c.o.Most:
		return nil, fmt.Errorf("%s: more than %d bytes", path, c.o.Most)
	}
	return body, nil
}

// Observations are what a registry's instances say of nodes. Those that have no address are left out.
func (o Options) Claims(instances []Instance) (out []membership.Observation) {
	for _, i := range instances {
		host := i.IP
		if o.Hosts || host == "" {
			host = i.Host
		}
		if host == "" || i.Port <= 0 || i.Port > 65535 || o.Self != nil && i.App == strings.ToUpper(o.Self.App) && i.ID == o.Self.ID {
			continue
		}
		field := func(name string) string { return i.Metadata[o.Fields[name]] }
		c := membership.Observation{Endpoint: policyapi.EndpointID(net.JoinHostPort(host, strconv.Itoa(i.Port))), Instance: i.ID, Zone: policyapi.Zone(field("zone")), Weight: 1,
			MachineType: policyapi.MachineType(field("machine")), Status: status(i), ChangedAt: policyapi.Microseconds(i.Dirty) * 1000,
			StartedAt: policyapi.Microseconds(max(i.ServiceUp, 0)) * 1000, LeaseRenewedAt: policyapi.Microseconds(i.Renewed) * 1000,
			LeaseDuration: policyapi.Microseconds(i.LeaseFor) * 1_000_000}
		if c.Zone == "" {
			c.Zone = policyapi.Zone(o.Zone)
		}
		if w, err := strconv.ParseFloat(field("weight"), 64); err == nil && w > 0 && w < 1e6 {
			c.Weight = w
		}
		if p, err := strconv.Atoi(field("pod")); err == nil {
			c.Pod = policyapi.PodID(p)
		}
		out = append(out, c)
	}
	return out
}

func status(i Instance) membership.Status {
	s := i.Status
	if i.Overridden != "" && i.Overridden != "UNKNOWN" {
		s = i.Overridden
	}
	switch s {
	case "UP":
		return membership.Up
	case "STARTING":
		return membership.Starting
	case "OUT_OF_SERVICE":
		return membership.OutOfService
	case "DOWN":
		return membership.Down
	default:
		return membership.Unknown
	}
}

// register keeps an entry of our own: registered, renewed, registered anew where the registry has lost it, removed at the
// end.
func (c *Client) register(ctx context.Context) {
	s := c.o.Self
	app := strings.ToUpper(s.App)
	path := "/apps/" + url.PathEscape(app)
	at, registered := 0, false
	for {
		var err error
		code := 0
		if registered {
			code, err = c.send(ctx, at, http.MethodPut, path+"/"+url.PathEscape(s.ID)+"?status=UP", nil)
			registered = err == nil && code != http.StatusNotFound
		}
		if !registered && err == nil {
			now := time.Now().UnixMilli()
			body, _ := json.Marshal(map[string]any{"instance": map[string]any{"instanceId": s.ID, "hostName": s.Host, "app": app, "ipAddr": s.IP, "status": "UP",
				"port":           map[string]any{"$": s.Port, "@enabled": "true"},
				"dataCenterInfo": map[string]any{"@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo", "name": "MyOwn"},
				"leaseInfo":      map[string]any{"renewalIntervalInSecs": int(s.Renew.Seconds()), "durationInSecs": int(3 * s.Renew.Seconds())}, "lastDirtyTimestamp": strconv.FormatInt(now, 10)}})
			code, err = c.send(ctx, at, http.MethodPost, path, body)
			registered = err == nil && code < 300
		}
		wait := s.Renew
		if !registered {
			at = (at + 1) % len(c.o.Addresses)
			wait = min(s.Renew, time.Second+time.Duration(rand.Int64N(int64(time.Second))))
		}
		select {
		case <-ctx.Done():
			if registered {
				end, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
				_, _ = c.send(end, at, http.MethodDelete, path+"/"+url.PathEscape(s.ID), nil)
				cancel()
			}
			return
		case <-time.After(wait):
		}
	}
}

func (c *Client) send(ctx context.Context, at int, method, path string, body []byte) (int, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.o.Addresses[at]+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	c.calls.Add(1)
	res, err := c.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, 1<<20))
	if res.StatusCode >= 500 {
		return res.StatusCode, errors.New(res.Status)
	}
	return res.StatusCode, nil
}
