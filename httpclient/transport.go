// Package httpclient is how HTTP calls to others are made where descriptors are few.
package httpclient

import (
	"context"
	"net"
	"net/http"
)

// Transport makes each call on a connection of its own and gives the connection up together with the call. The standard
// perCallTransport lets a dial go on when the call that wanted it has ended, in the hope of a later one: towards a machine that
// has vanished each call would hold a descriptor for two minutes.
func Transport() http.RoundTripper {
	var dialer net.Dialer
	return perCallTransport{&http.Transport{DisableKeepAlives: true, DisableCompression: true, ReadBufferSize: 16 << 10,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if call, is := ctx.Value(callKey{}).(context.Context); is {
				ctx = call
			}
			return dialer.DialContext(ctx, network, address)
		}}}
}

// callKey is where a dial finds the context of the call that wants it: the standard transport hands on values only.
type callKey struct{}

type perCallTransport struct{ base *http.Transport }

func (t perCallTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	return t.base.RoundTrip(req.WithContext(context.WithValue(req.Context(), callKey{}, req.Context())))
}
