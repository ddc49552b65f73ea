package client

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"porthub/xds"
)

const (
	defaultTimeout = 2 * time.Second
	// maxResponseBytes is several times the size of the largest table.
	maxResponseBytes = 64 << 20
	// idleTimeout is long, because the coordinator considers a gateway disconnected when its connection ends.
	idleTimeout = time.Hour
)

// Options configure a Link or a Poller.
type Options struct {
	Node        xds.Node
	Coordinator string        // host:port
	Timeout     time.Duration // for one message and its response; 0 means 2 s. A Poller does not use it.
	// Dial replaces the default dialer. Tests use it to break connections.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// httpClient returns a client with one persistent connection.
func (o Options) httpClient(dialTimeout, timeout time.Duration) *http.Client {
	dial := o.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &http.Client{
		Timeout: timeout,
		Transport: &http.Transport{
			DialContext:         dial,
			MaxConnsPerHost:     1,
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
	}
}

// post sends one message and returns the response's body and status code.
func post(ctx context.Context, httpClient *http.Client, addr, path string, message proto.Message) (body []byte, statusCode int, err error) {
	text, err := xds.Encode(message)
	if err != nil {
		return nil, 0, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(text))
	if err != nil {
		return nil, 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := httpClient.Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errResponseTooLarge
	}
	return body, response.StatusCode, err
}

// newRejectedError returns the error for a response with a status of 400 or above, or an unexpected one to a poll.
func newRejectedError(statusCode int, body []byte) error {
	return &RejectedError{StatusCode: statusCode, Message: string(bytes.TrimSpace(body))}
}
