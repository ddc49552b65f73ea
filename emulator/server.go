package emulator

import (
	"net"
	"net/http"
)

// server is an HTTP server that stops listening as soon as it is closed. An http.Server only closes listeners that its Serve has
// been called with, which runs in another goroutine: until then a closed server would still accept connections.
type server struct {
	http     *http.Server
	listener net.Listener
}

// startServer serves a listener until the server is closed.
func startServer(listener net.Listener, httpServer *http.Server) *server {
	go func() { _ = httpServer.Serve(listener) }()
	return &server{http: httpServer, listener: listener}
}

// Close closes the listener and all connections.
func (s *server) Close() {
	_ = s.listener.Close()
	_ = s.http.Close()
}
