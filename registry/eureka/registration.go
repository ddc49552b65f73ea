package eureka

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

const (
	// leaseRenewals is the number of renew intervals after which the registry removes an entry that is not renewed.
	leaseRenewals     = 3
	deregisterTimeout = 200 * time.Millisecond
	// maxIgnoredBytes is the number of bytes of a response that are read, so that the connection can be used again.
	maxIgnoredBytes = 1 << 20
)

// registrationState is the state of the goroutine that maintains the registration.
type registrationState struct {
	path       string // path of the application at the registry
	peer       int    // index of the current peer in options.Addresses
	registered bool
}

// register maintains the coordinator's own registration until the context ends: it registers the entry, renews it, registers it
// again if the registry has lost it, and removes it at the end.
func (c *Client) register(ctx context.Context) {
	registration := c.options.Registration
	state := registrationState{path: "/apps/" + url.PathEscape(strings.ToUpper(registration.App))}
	for {
		c.renew(ctx, &state)
		wait := registration.RenewInterval
		if !state.registered {
			state.peer = (state.peer + 1) % len(c.options.Addresses)
			wait = min(registration.RenewInterval, time.Second+time.Duration(rand.Int64N(int64(time.Second))))
		}
		select {
		case <-ctx.Done():
			c.deregister(state)
			return
		case <-time.After(wait):
		}
	}
}

// renew renews the entry, or registers it if it is not registered.
func (c *Client) renew(ctx context.Context, state *registrationState) {
	if state.registered {
		path := state.path + "/" + url.PathEscape(c.options.Registration.ID) + "?status=UP"
		status, err := c.send(ctx, state.peer, http.MethodPut, path, nil)
		state.registered = err == nil && status != http.StatusNotFound
		if err != nil || state.registered {
			return
		}
	}
	status, err := c.send(ctx, state.peer, http.MethodPost, state.path, c.options.Registration.body(time.Now()))
	state.registered = err == nil && status < http.StatusMultipleChoices
}

// deregister removes the entry if it is registered. It ignores errors: the lease of an entry that remains expires.
func (c *Client) deregister(state registrationState) {
	if !state.registered {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	_, _ = c.send(ctx, state.peer, http.MethodDelete, state.path+"/"+url.PathEscape(c.options.Registration.ID), nil)
}

// body returns the body of the registration request.
func (r *Registration) body(now time.Time) []byte {
	instance := map[string]any{
		"instanceId": r.ID,
		"hostName":   r.Host,
		"app":        strings.ToUpper(r.App),
		"ipAddr":     r.IP,
		"status":     "UP",
		"port":       map[string]any{"$": r.Port, "@enabled": "true"},
		"dataCenterInfo": map[string]any{
			"@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo",
			"name":   "MyOwn",
		},
		"leaseInfo": map[string]any{
			"renewalIntervalInSecs": int(r.RenewInterval.Seconds()),
			"durationInSecs":        int(leaseRenewals * r.RenewInterval.Seconds()),
		},
		"lastDirtyTimestamp": strconv.FormatInt(now.UnixMilli(), 10),
	}
	body, _ := json.Marshal(map[string]any{"instance": instance}) // cannot fail: all values are strings, numbers or maps
	return body
}

// send sends a request to a peer and returns the status code of the response. A code of 500 or above is an error.
func (c *Client) send(ctx context.Context, peer int, method, path string, body []byte) (statusCode int, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.options.Addresses[peer]+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	c.counters.requests.Add(1)
	response, err := c.http.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxIgnoredBytes))
	if response.StatusCode >= http.StatusInternalServerError {
		return response.StatusCode, errors.New(response.Status)
	}
	return response.StatusCode, nil
}
