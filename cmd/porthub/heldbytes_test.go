package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"porthub/proxyproto"
	"porthub/resp"
)

const (
	// hostileClients is the number of clients that make the process hold bytes for them. Without a limit on all of them together they
	// take several times heldBytesMemoryMB.
	hostileClients = 200
	// heldBytesMemoryMB is the memory limit in nodeConfig.
	heldBytesMemoryMB = 48
	// heldBytesPeriod is how long the clients stay connected.
	heldBytesPeriod = 5 * time.Second
	// heldBytesDrainGrace is the shortest drain grace period of the platform's settings.
	heldBytesDrainGrace = 3 * time.Second
	// drainingHost is the host that drains in the course of the test.
	drainingHost = "s-1"
)

// drainWhenClosed is a discovery whose watches report that drainingHost drains once a channel is closed.
func drainWhenClosed(drain <-chan struct{}) http.HandlerFunc {
	const keepAlive = time.Second
	return func(w http.ResponseWriter, request *http.Request) {
		for {
			w.(http.Flusher).Flush()
			select {
			case <-drain:
				_, _ = io.WriteString(w, `{"seq":8,"whole":false,"hosts":[{"host":"`+drainingHost+
					`","dial":"127.0.0.1:1","site":"a","class":"m","block":1,"health":"Terminating","share":1,"born_ms":0}]}`+"\n")
				w.(http.Flusher).Flush()
				<-request.Context().Done()
				return
			case <-request.Context().Done():
				return
			case <-time.After(keepAlive):
				_, _ = io.WriteString(w, "\n")
			}
		}
	}
}

// lists reports whether the client's table has a host.
func (c *soakClient) lists(host string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table[host]
}

// residentPeakMB returns the largest resident memory that a process has had.
func residentPeakMB(t *testing.T, pid int) float64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if kilobytes, found := strings.CutPrefix(line, "VmHWM:"); found {
			n, err := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(kilobytes), "kB")), 64)
			if err != nil {
				t.Fatal(err)
			}
			return n / 1024
		}
	}
	t.Fatalf("no peak of resident memory in %q", text)
	return 0
}

// With hundreds of clients that stop in the middle of a large message, write it in small pieces, or do not read the answers to their
// requests, the process stays within its configured memory. Proxies that are sound keep their connections, are answered in time and
// get their tables, and a large message that is sent completely is accepted.
func TestHostileClientsStayWithinMemory(t *testing.T) {
	large := bytes.Repeat([]byte("x"), 900_000)
	largeMessage := resp.Append(nil, "SOURCE", "az", "a", "note", string(large))
	for name, send := range map[string]func(conn net.Conn, proxy int){
		"stopped": func(conn net.Conn, proxy int) {
			_, _ = conn.Write(subscription(proxy))
			_, _ = conn.Write(largeMessage[:len(largeMessage)*2/3])
		},
		"in pieces": func(conn net.Conn, proxy int) {
			_, _ = conn.Write(subscription(proxy))
			_, _ = conn.Write(largeMessage[:len(largeMessage)*2/3])
			for _, b := range large[:1000] {
				if _, err := conn.Write([]byte{b}); err != nil {
					return
				}
				time.Sleep(2 * time.Millisecond)
			}
		},
		"unread answers": func(conn net.Conn, proxy int) {
			_, _ = conn.Write(subscription(proxy))
			requests := bytes.Repeat(resp.Append(nil, "PING"), 1000)
			for {
				if _, err := conn.Write(requests); err != nil {
					return
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			address := freeAddress(t)
			drain := make(chan struct{})
			discovery, _ := startDiscovery(t, drainWhenClosed(drain))
			node := startNode(t, address, nodeConfig(address, discovery, 512, 20))
			node.waitReady()
			sound, done := node.startSoundClient(300)
			var clients sync.WaitGroup
			for proxy := range hostileClients {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					t.Fatal(err)
				}
				_ = conn.SetDeadline(time.Now().Add(heldBytesPeriod))
				clients.Go(func() {
					defer func() { _ = conn.Close() }()
					send(conn, proxy)
					if name != "unread answers" {
						_, _ = io.Copy(io.Discard, conn) // until the process or the deadline ends the connection
						return
					}
					time.Sleep(heldBytesPeriod / 2)
				})
			}
			time.Sleep(heldBytesPeriod / 2)
			joining := node.subscribe(301)
			joining.readUntil(func(received []byte) bool { return bytes.Contains(received, []byte("s-1:")) })
			_, _ = joining.Write(resp.Append(nil, "RATE", "sidecar", "301", "kind", "view", "n", "1", "bad", "0", "window", "1000", "note", string(large)))
			joining.send("PING")
			joining.readUntil(func(received []byte) bool { return bytes.Contains(received, proxyproto.PongReply) })
			drainedAt := time.Now()
			close(drain)
			for sound.lists(drainingHost) && time.Since(drainedAt) < 2*heldBytesPeriod {
				time.Sleep(10 * time.Millisecond)
			}
			drainTime := time.Since(drainedAt)
			clients.Wait()
			sound.close()
			<-done
			if sound.failure != "" || sound.answered == 0 || sound.longestWait > soakAnswerTime {
				t.Errorf("sound proxy: failure %q, %d answers, the longest after %s; want none, some, and at most %s",
					sound.failure, sound.answered, sound.longestWait, soakAnswerTime)
			}
			peak := residentPeakMB(t, node.Process.Pid)
			t.Logf("peak of resident memory %.0f MB, longest wait of a sound proxy %s, %d answers, drain in force after %s",
				peak, sound.longestWait, sound.answered, drainTime)
			if drainTime > heldBytesDrainGrace {
				t.Errorf("a drain was in force after %s, want at most %s", drainTime, heldBytesDrainGrace)
			}
			if peak > heldBytesMemoryMB {
				t.Errorf("peak of resident memory is %.0f MB, want at most the configured %d MB", peak, heldBytesMemoryMB)
			}
			node.signal(syscall.SIGTERM)
			if code := node.exitCode(); code != 0 {
				t.Errorf("exit code %d, want 0: %s", code, node.output())
			}
		})
	}
}

// subscription returns the first message of a proxy's stream.
func subscription(proxy int) []byte {
	return resp.Append(nil, "SUBSCRIBE", "sidecar", strconv.Itoa(proxy), "az", "a", "share", "5", "standing", "1")
}

// startSoundClient connects a proxy that sends requests and reads all answers. The channel is closed once its connection has ended.
func (p *nodeProcess) startSoundClient(proxy int) (*soakClient, chan struct{}) {
	p.t.Helper()
	conn, err := net.Dial("tcp", p.address)
	if err != nil {
		p.t.Fatal(err)
	}
	client := newSoakClient(conn, proxy, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		client.run(20*time.Millisecond, 0)
	}()
	return client, done
}
