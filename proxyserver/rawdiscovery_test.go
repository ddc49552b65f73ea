package proxyserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	// pieceInterval is the time between two pieces of a response.
	pieceInterval = 100 * time.Millisecond
	// endlessPieces is the number of pieces of a response that does not end while a test runs.
	endlessPieces = 10 * 3600 * int(time.Second/pieceInterval)
)

// rawDiscovery is a discovery whose responses the test writes byte by byte. An HTTP server would send each piece of a line as a
// chunk of its own.
type rawDiscovery struct {
	listener net.Listener
	calls    chan *rawCall
}

// rawCall is a call to a rawDiscovery.
type rawCall struct {
	t    *testing.T
	uri  string
	conn net.Conn
	done chan struct{} // closed when the caller has ended the call
}

func newRawDiscovery(t *testing.T) *rawDiscovery {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	d := &rawDiscovery{listener: listener, calls: make(chan *rawCall, 256)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go d.serve(t, conn)
		}
	}()
	return d
}

// serve reads the request of a connection and waits until the caller ends it.
func (d *rawDiscovery) serve(t *testing.T, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	call := &rawCall{t: t, uri: request.URL.RequestURI(), conn: conn, done: make(chan struct{})}
	d.calls <- call
	_, _ = io.Copy(io.Discard, reader)
	close(call.done)
}

func (d *rawDiscovery) address() string { return d.listener.Addr().String() }

// nextCall returns the next call, which must be for the given URI.
func (d *rawDiscovery) nextCall(t *testing.T, uri string) *rawCall {
	t.Helper()
	call := receive(t, "call for "+uri, d.calls)
	if call.uri != uri {
		t.Fatalf("got a call for %s, want %s", call.uri, uri)
	}
	return call
}

// accept sends the header of a response in chunks, and some lines at once, each as a chunk.
func (c *rawCall) accept(lines ...string) {
	c.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for _, line := range lines {
		c.write(fmt.Sprintf("%x\r\n%s\n\r\n", len(line)+1, line))
	}
}

// write sends a part of the response. A call that has ended is not an error.
func (c *rawCall) write(text string) { _, _ = io.WriteString(c.conn, text) }

// sendPieces sends a text as one chunk, in so many pieces, until the call ends.
func (c *rawCall) sendPieces(text string, pieces int) {
	c.write(fmt.Sprintf("%x\r\n", len(text)))
	for i := range pieces {
		c.write(text[i*len(text)/pieces : (i+1)*len(text)/pieces])
		select {
		case <-c.done:
			return
		case <-time.After(pieceInterval):
		}
	}
	c.write("\r\n")
}

// sendEndlessLine sends pieces of a line that does not end while the test runs.
func (c *rawCall) sendEndlessLine() { c.sendPieces(strings.Repeat(" ", endlessPieces), endlessPieces) }

// sendHeartbeats sends the empty lines of an open watch until the call ends.
func (c *rawCall) sendHeartbeats() {
	for {
		c.write("1\r\n\n\r\n")
		select {
		case <-c.done:
			return
		case <-time.After(lineTimeout / 10):
		}
	}
}
