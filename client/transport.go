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
	// maxResponseBytes bounds the largest table several times over.
	maxResponseBytes = 64 << 20
	// idleTimeout keeps the connection: the coordinator takes its end for the gateway's departure.
	idleTimeout = time.Hour
)

// Options configure a Link or a Poller.
type Options struct {
	Node        xds.Node
	Coordinator string        // address and port
	Timeout     time.Duration // of one message and its response; 0: 2 s. A Poller takes its own.
	// Dial replaces the plain dialer, for tests that cut the connection.
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

func rejected(statusCode int, body []byte) error {
	return &RejectedError{StatusCode: statusCode, Message: string(bytes.TrimSpace(body))}
}
