package httpclient

import (
	"context"
	"net"
)

// readHookKey is the key of the hook of a call within its context.
type readHookKey struct{}

// WithReadHook returns a context for calls through [Transport] that report the bytes which arrive on their connection, as soon as
// they are read: the body of a response can hold them back until a chunk is complete. The hook is called by the goroutine that reads
// the connection, which may be another one than the caller's.
func WithReadHook(ctx context.Context, hook func(bytes int)) context.Context {
	return context.WithValue(ctx, readHookKey{}, hook)
}

// hookedConn is a connection that reports the bytes that are read from it.
type hookedConn struct {
	net.Conn
	hook func(bytes int)
}

// Read implements net.Conn.
func (c hookedConn) Read(buffer []byte) (n int, err error) {
	n, err = c.Conn.Read(buffer)
	if n > 0 {
		c.hook(n)
	}
	return n, err
}

// withHook returns a connection that calls the hook of a call's context, if there is one.
func withHook(ctx context.Context, conn net.Conn) net.Conn {
	if hook, has := ctx.Value(readHookKey{}).(func(bytes int)); has {
		return hookedConn{conn, hook}
	}
	return conn
}
