package proxyserver

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"porthub/httpclient"
	"porthub/policyapi"
	"porthub/proxyproto"
)

// Bounds on discovery's answers. The times are the protocol's: a line comes each 2 s, an answer sooner or a refusal, and what has
// to be told counts as told after 6 s, heard or not.
const (
	// maxListBytes is a whole list's or a line's bytes: ten thousand backends take half of it.
	maxListBytes = 4 << 20
	// lineTimeout is when a line, or an answer, is missed: another call is then worth its cost.
	lineTimeout = 2500 * time.Millisecond
	// watchTimeout is how long a watch may bring nothing until it is given up.
	watchTimeout = 4500 * time.Millisecond
	// minBackoff and backoffMost bound the pause after a call that failed, before its spread: the longest, and the time that a
	// call may take, leave room within the 6 s for another.
	minBackoff = time.Second
	maxBackoff = 1500 * time.Millisecond
	// overdueJitter is how far the calls of many coordinators are spread that all miss a line of the same discovery at once.
	overdueJitter = 750 * time.Millisecond
	// maxConcurrentCalls bounds the descriptors: a watch that stands, the one that is to follow it, a whole list.
	maxConcurrentCalls = 3
)

// errCanceled ends a call whose answer nobody wants any more.
var errCanceled = errors.New("called off")

// discoveryEvent is what a call of discovery's came to.
type discoveryEvent struct {
	call    int
	open    bool // it is answered: lines follow
	late    bool // a line is missed
	listing proxyproto.EndpointList
	failed  error
}

// discoveryClient makes calls. Each has a goroutine; what they bring goes to the owner.
type discoveryClient struct {
	http    *http.Client
	zones   []policyapi.Zone
	slots   chan struct{}
	deliver func(discoveryEvent)
}

func newDiscoveryClient(zones []policyapi.Zone, tell func(discoveryEvent)) *discoveryClient {
	return &discoveryClient{zones: zones, deliver: tell, slots: make(chan struct{}, maxConcurrentCalls), http: &http.Client{Transport: httpclient.Transport()}}
}

// call makes one, after a pause, once it has a slot.
func (d *discoveryClient) call(ctx context.Context, pause time.Duration, of func(context.Context) error, number int) {
	err := func() error {
		if pause > 0 {
			timer := time.NewTimer(pause)
			defer timer.Stop()
			select {
			case <-timer.C:
			case <-ctx.Done():
				return errCanceled
			}
		}
		select {
		case d.slots <- struct{}{}:
		case <-ctx.Done():
			return errCanceled
		}
		defer func() { <-d.slots }()
		return of(ctx)
	}()
	if err != nil && ctx.Err() == nil { // else it has been answered, or the owner has called it off and asks no more
		d.deliver(discoveryEvent{call: number, failed: err})
	}
}

// fetchSnapshot asks for the whole list once.
func (d *discoveryClient) fetchSnapshot(ctx context.Context, address string, number int) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	res, err := d.get(ctx, address, "/discovery/hosts")
	if err != nil {
		return err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxListBytes))
	if err != nil {
		return err
	}
	listing, err := proxyproto.ReadEndpointList(text, d.zones)
	if err != nil {
		return err
	}
	if listing.Update.Kind != policyapi.Snapshot {
		return errors.New("asked for the whole list, got changes")
	}
	d.deliver(discoveryEvent{call: number, listing: listing})
	return nil
}

func (d *discoveryClient) get(ctx context.Context, address, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	res, err := d.http.Do(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		res.Body.Close()
		return nil, fmt.Errorf("discovery answers %s", res.Status)
	}
	return res, nil
}

// watchChanges watches changes from a version on until it fails or is called off. A watch that can't be read in one line is at an
// end: what it would have said is not known.
func (d *discoveryClient) watchChanges(ctx context.Context, address string, from policyapi.ListVersion, number int) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	none := time.AfterFunc(lineTimeout, func() { cancel(fmt.Errorf("no answer for %s", lineTimeout)) })
	defer none.Stop()
	res, err := d.get(ctx, address, fmt.Sprintf("/discovery/hosts?watch=1&from=%d", from))
	if err != nil {
		return cause(ctx, err)
	}
	defer res.Body.Close()
	if !none.Stop() {
		return cause(ctx, errCanceled)
	}
	d.deliver(discoveryEvent{call: number, open: true})
	late := time.AfterFunc(lineTimeout, func() {
		if ctx.Err() == nil {
			d.deliver(discoveryEvent{call: number, late: true})
		}
	})
	defer late.Stop()
	quiet := time.AfterFunc(watchTimeout, func() { cancel(fmt.Errorf("no line for %s", watchTimeout)) })
	defer quiet.Stop()
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(make([]byte, 0, 16<<10), maxListBytes)
	for lines.Scan() {
		late.Reset(lineTimeout)
		quiet.Reset(watchTimeout)
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		listing, err := proxyproto.ReadEndpointList(line, d.zones)
		if err != nil {
			return err
		}
		d.deliver(discoveryEvent{call: number, listing: listing})
	}
	if err = lines.Err(); err == nil {
		err = io.ErrUnexpectedEOF
	}
	return cause(ctx, err)
}

// cause prefers why a call was called off to what came of that.
func cause(ctx context.Context, err error) error {
	if why := context.Cause(ctx); why != nil {
		return why
	}
	return err
}
