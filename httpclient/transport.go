package httpclient

import (
	"context"
	"net"
	"net/http"
)

// readBufferBytes is a connection's read buffer: lines of endpoint lists are longer than the standard 4 KiB.
const readBufferBytes = 16 << 10

// Transport returns a RoundTripper that makes each call on a connection of its own and closes the connection, or ends its dial, together
// with the call. The standard transport lets a dial go on when its call has ended, for the sake of a later one: towards a machine that
// has vanished each call would hold a descriptor for two minutes.
func Transport() http.RoundTripper {
	var dialer net.Dialer
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if callCtx, is := ctx.Value(callKey{}).(context.Context); is {
			ctx = callCtx
		}
		return dialer.DialContext(ctx, network, address)
	}
	return perCallTransport{&http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		ReadBufferSize:     readBufferBytes,
		DialContext:        dial,
	}}
}

// callKey is the key under which a dial finds the context of its call: the standard transport hands a dial the context's values only.
type callKey struct{}

type perCallTransport struct{ base *http.Transport }

// RoundTrip makes a call.
func (t perCallTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx := request.Context()
	return t.base.RoundTrip(request.WithContext(context.WithValue(ctx, callKey{}, ctx)))
}
