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

// soakAnswerTime is the time within which a request on an open connection must be answered.
const soakAnswerTime = 3 * time.Second

// soakClient is a proxy that uses its connection until it ends: it sends requests (PING), some of them in two pieces, and applies and
// acknowledges the tables that it receives. After the end of the connection it sends no requests, because the platform's proxies then
// connect elsewhere.
type soakClient struct {
	conn   net.Conn
	proxy  int
	random *rand.Rand

	mu          sync.Mutex  // guards the fields below, except writing
	writing     sync.Mutex  // held while a message is written
	pending     []time.Time // when each unanswered request was sent
	answered    int
	ended       bool
	failure     string          // first violation by the process; empty: none
	table       map[string]bool // hosts with a weight above 0
	longestWait time.Duration   // longest time until an answer
}

func newSoakClient(conn net.Conn, proxy int, seed uint64) *soakClient {
	return &soakClient{conn: conn, proxy: proxy, random: rand.New(rand.NewPCG(seed, uint64(proxy))), table: map[string]bool{}}
}

// run uses the connection until it ends. If reset is above 0, the client sends part of a message and closes the connection in place of the
// request of that number.
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

// request sends a request, in two pieces for one request in four. It returns false if the connection has ended.
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

// read handles messages until the connection ends or a request is not answered in time.
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

// isReset reports whether an error means that the peer has reset the connection.
func isReset(err error) bool { return strings.Contains(err.Error(), "reset by peer") }

// handle handles the complete messages in received and returns the rest.
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

// apply applies the rows of a CONFIG message to the table and acknowledges its stamp.
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

func (c *soakClient) fail(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setFailure(text)
}

// setFailure records a failure unless there is one already. The caller holds mu.
func (c *soakClient) setFailure(text string) { c.failure = cmp.Or(c.failure, text) }

// waitsTooLong reports whether a request has not been answered within soakAnswerTime, and records that as a failure.
func (c *soakClient) waitsTooLong() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 || time.Since(c.pending[0]) <= soakAnswerTime {
		return false
	}
	c.setFailure("a request has no answer on an open connection")
	return true
}

// hosts returns the hosts in the table, sorted.
func (c *soakClient) hosts() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.table))
}
