package main

import (
	"bytes"
	"cmp"
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"porthub/proxyproto"
	"porthub/resp"
)

// soakAnswerTime is how long a request on an open connection may stay without an answer.
const soakAnswerTime = 3 * time.Second

// soakClient is a proxy that keeps using its connection until that ends: it sends requests (PING), some in pieces, applies the tables
// that it gets and acknowledges them. Requests after the end of the connection are not sent, as the platform's proxies go elsewhere.
type soakClient struct {
	conn   net.Conn
	proxy  int
	random *rand.Rand

	mu          sync.Mutex // guards all below
	writing     sync.Mutex // one message at a time
	pending     []time.Time
	answered    int
	ended       bool
	failure     string // what the process did wrong, as text
	table       map[string]bool
	longestWait time.Duration
}

func newSoakClient(conn net.Conn, proxy int, seed uint64) *soakClient {
	return &soakClient{conn: conn, proxy: proxy, random: rand.New(rand.NewPCG(seed, uint64(proxy))), table: map[string]bool{}}
}

// run uses the connection until it ends. reset makes the client break it off with a message half sent after some requests; 0: never.
func (c *soakClient) run(pause time.Duration, reset int) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.read()
	}()
	c.write(resp.Append(nil, "SUBSCRIBE", "sidecar", strconv.Itoa(c.proxy), "az", "a", "share", "5", "standing", "1"))
	for requests := 1; ; requests++ {
		if requests == reset {
			c.write(resp.Append(nil, "RATE", "sidecar", strconv.Itoa(c.proxy))[:9])
			c.close()
			break
		}
		if !c.request() {
			break
		}
		time.Sleep(pause/2 + time.Duration(c.random.Int64N(int64(pause))))
	}
	<-done
}

// request sends a request, one of four in two pieces. It returns false once the connection has ended.
func (c *soakClient) request() bool {
	message := resp.Append(nil, "PING")
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return false
	}
	c.pending = append(c.pending, time.Now())
	c.mu.Unlock()
	if c.random.IntN(4) == 0 {
		c.writing.Lock()
		defer c.writing.Unlock()
		cut := 1 + c.random.IntN(len(message)-1)
		_, err := c.conn.Write(message[:cut])
		time.Sleep(5 * time.Millisecond)
		if err == nil {
			_, err = c.conn.Write(message[cut:])
		}
		return err == nil
	}
	return c.write(message)
}

func (c *soakClient) write(message []byte) bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	_, err := c.conn.Write(message)
	return err == nil
}

func (c *soakClient) close() {
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
	_ = c.conn.Close()
}

// read reads until the connection ends, or a request has gone without an answer for too long.
func (c *soakClient) read() {
	defer c.close()
	var received []byte
	buffer := make([]byte, 64<<10)
	for {
		_ = c.conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		n, err := c.conn.Read(buffer)
		received = c.handle(append(received, buffer[:n]...))
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			if !errors.Is(err, io.EOF) && !isReset(err) && !errors.Is(err, net.ErrClosed) {
				c.fail("read: " + err.Error())
			}
			return
		}
		if c.waitsTooLong() {
			return
		}
	}
}

// isReset reports whether a peer has reset the connection.
func isReset(err error) bool { return strings.Contains(err.Error(), "reset by peer") }

// handle handles complete messages and returns the rest.
func (c *soakClient) handle(received []byte) []byte {
	for len(received) > 0 {
		words, size, err := resp.Parse(received, proxyproto.IncomingLimits)
		if err != nil {
			c.fail("unreadable: " + err.Error())
			return nil
		}
		if size == 0 {
			break
		}
		received = received[size:]
		switch string(words[0]) {
		case "PONG":
			c.answer()
		case "CONFIG":
			c.apply(words[1:])
		default:
			c.fail("unexpected message " + string(bytes.Join(words, []byte(" "))))
		}
	}
	return received
}

func (c *soakClient) answer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 {
		c.setFailure("an answer without a request")
		return
	}
	c.longestWait = max(c.longestWait, time.Since(c.pending[0]))
	c.pending = c.pending[1:]
	c.answered++
}

// apply applies the fields of a CONFIG message and acknowledges its stamp.
func (c *soakClient) apply(fields [][]byte) {
	values := map[string]string{}
	for i := 0; i+1 < len(fields); i += 2 {
		values[string(fields[i])] = string(fields[i+1])
	}
	c.mu.Lock()
	if values["replace"] != "" {
		c.table = map[string]bool{}
	}
	for _, row := range strings.FieldsFunc(values["rows"], func(r rune) bool { return r == ',' }) {
		host, weight, _ := strings.Cut(row, ":")
		if weight == "0" {
			delete(c.table, host)
		} else {
			c.table[host] = true
		}
	}
	c.mu.Unlock()
	if stamp := values["stamp"]; stamp != "" {
		go c.write(resp.Append(nil, "ACK", "sidecar", strconv.Itoa(c.proxy), "version", stamp, "lag_ms", "1.0"))
	}
}

func (c *soakClient) fail(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setFailure(what)
}

// setFailure keeps the first failure. The caller holds the lock.
func (c *soakClient) setFailure(what string) { c.failure = cmp.Or(c.failure, what) }

// waitsTooLong reports, as a failure too, whether a request has no answer though the connection is open.
func (c *soakClient) waitsTooLong() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 || time.Since(c.pending[0]) <= soakAnswerTime {
		return false
	}
	c.setFailure("a request has no answer on an open connection")
	return true
}

// hosts returns the table, sorted.
func (c *soakClient) hosts() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.table))
}
