package httpclient

import (
	"context"
	"net"
	"net/http"
)

// readBufferBytes is the size of a connection's read buffer. Lines of endpoint lists are longer than the default of 4 KiB.
const readBufferBytes = 16 << 10

// Transport returns a RoundTripper that makes each call on its own connection. When the call ends, the connection is closed or
// its dial is canceled. The transport of net/http continues a dial after its call has ended, so that a later call can use the
// connection: each call to a machine that has vanished would hold a file descriptor for two minutes.
func Transport() http.RoundTripper {
	var dialer net.Dialer
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if callCtx, ok := ctx.Value(callKey{}).(context.Context); ok {
			ctx = callCtx
		}
		return dialer.DialContext(ctx, network, address)
	}
	return perCallTransport{&http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		ReadBufferSize:     readBufferBytes,
		DialContext:        HookReads(dial),
	}}
}

// callKey is the key of the context of a call within that context. The transport of net/http passes only the values of the
// call's context to a dial, and not its cancellation.
type callKey struct{}

// perCallTransport is the RoundTripper that Transport returns.
type perCallTransport struct{ base *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t perCallTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx := request.Context()
	return t.base.RoundTrip(request.WithContext(context.WithValue(ctx, callKey{}, ctx)))
}
