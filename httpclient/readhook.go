package httpclient

import (
	"context"
	"crypto/tls"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// DialFunc establishes a connection, as http.Transport.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// HookReads returns a DialFunc whose connections can report the bytes that arrive on them to the hook of WithReadHook.
func HookReads(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &hookedConn{Conn: conn}, nil
	}
}

// WithReadHook returns a context for calls that report the bytes which arrive on their connection, as soon as they are read: the body
// of a response can hold them back until a chunk is complete. The transport must dial by [HookReads], as that of [Transport] does. The
// hook is called by the goroutine that reads the connection, which may be another one than the caller's; if the connection is used
// again, it may still be called after the end of the call.
func WithReadHook(ctx context.Context, hook func(bytes int)) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn := info.Conn
		if encrypted, is := conn.(*tls.Conn); is {
			conn = encrypted.NetConn()
		}
		if hooked, is := conn.(*hookedConn); is {
			hooked.hook.Store(&hook)
		}
	}})
}

// hookedConn is a connection that reports the bytes that are read from it.
type hookedConn struct {
	net.Conn
	hook atomic.Pointer[func(bytes int)] // nil: the bytes are not reported
}

// Read implements net.Conn.
func (c *hookedConn) Read(buffer []byte) (n int, err error) {
	n, err = c.Conn.Read(buffer)
	if hook := c.hook.Load(); n > 0 && hook != nil {
		(*hook)(n)
	}
	return n, err
}
