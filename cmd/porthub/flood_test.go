package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"porthub/resp"
)

const (
	floodPeriod = 2 * time.Second
	// floodTableTime is the time within which a joining proxy must have its first table during a flood, less than a third of the time for
	// which the shortest setting of the platform allows a proxy to have none.
	floodTableTime = time.Second
)

// floods are messages that one client sends at full speed on one connection after its first message.
var floods = map[string]struct {
	first   []string
	message func(n int) []string
}{
	"valid RATE":   {subscriptionWords(0), func(int) []string { return rateWords("view") }},
	"unsound RATE": {subscriptionWords(0), func(int) []string { return rateWords("nothing") }},
	"LOAD of ever new hosts": {[]string{"SOURCE", "az", "a"}, func(n int) []string {
		return []string{"LOAD", "az", "a", "host", fmt.Sprintf("s-new-%d", n), "n", "10", "bad", "0", "avg", "41.7", "window", "1000"}
	}},
	"valid LOAD": {[]string{"SOURCE", "az", "a"}, func(n int) []string {
		return []string{"LOAD", "az", "a", "host", fmt.Sprintf("s-%d", n%20), "n", "10", "bad", "0", "avg", "41.7", "window", "1000"}
	}},
	"ACK": {subscriptionWords(0), func(n int) []string {
		return []string{"ACK", "sidecar", "0", "version", strconv.Itoa(n), "lag_ms", "1"}
	}},
	"SUBSCRIBE again":  {subscriptionWords(0), func(n int) []string { return subscriptionWords(n % 400) }},
	"SOURCE again":     {[]string{"SOURCE", "az", "a"}, func(int) []string { return []string{"SOURCE", "az", "a"} }},
	"unknown messages": {subscriptionWords(0), func(n int) []string { return []string{fmt.Sprintf("NAME-%d", n), "x", "y"} }},
}

func subscriptionWords(proxy int) []string {
	return []string{"SUBSCRIBE", "sidecar", strconv.Itoa(proxy), "az", "a", "share", "5", "standing", "1"}
}

func rateWords(class string) []string {
	return []string{"RATE", "sidecar", "0", "kind", class, "n", "1", "bad", "0", "window", "1000"}
}

// While one client sends small or unsound messages at full speed, on one connection or on ever new ones, other proxies are answered and a
// joining one gets its table in time, and the process stays within its configured memory.
func TestFloodDoesNotDelayOthers(t *testing.T) {
	for name, flood := range floods {
		t.Run(name, func(t *testing.T) {
			testFlood(t, func(address string, stop <-chan struct{}) {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					t.Error(err)
					return
				}
				defer func() { _ = conn.Close() }()
				go func() { _, _ = io.Copy(io.Discard, conn) }()
				_, _ = conn.Write(resp.Append(nil, flood.first...))
				for n := 0; !isClosed(stop); {
					var chunk []byte
					for range 100 {
						chunk = resp.Append(chunk, flood.message(n)...)
						n++
					}
					if _, err := conn.Write(chunk); err != nil {
						return // the process may close it
					}
				}
			})
		})
	}
	for name, text := range map[string][]byte{
		"streams that end at once":          resp.Append(nil, subscriptionWords(7)...),
		"streams that end within a message": append(resp.Append(nil, subscriptionWords(7)...), "*9\r\n$4\r\nRATE\r\n"...),
		"clients that are rejected":         []byte("GET / HTTP/1.1\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			testFlood(t, func(address string, stop <-chan struct{}) {
				for !isClosed(stop) {
					conn, err := net.Dial("tcp", address)
					if err != nil {
						continue
					}
					_, _ = conn.Write(text)
					_ = conn.(*net.TCPConn).SetLinger(0) // leaves no socket in TIME_WAIT
					_ = conn.Close()
				}
			})
		})
	}
}

// testFlood runs a flood until stop is closed, and checks what other proxies get meanwhile.
func testFlood(t *testing.T, run func(address string, stop <-chan struct{})) {
	t.Helper()
	address := freeAddress(t)
	discovery, _ := startDiscovery(t, openAndHang)
	node := startNode(t, address, nodeConfig(address, discovery, 512, 20))
	node.waitReady()
	sound, done := node.startSoundClient(300)
	stop := make(chan struct{})
	var flood sync.WaitGroup
	flood.Go(func() { run(address, stop) })
	longestJoin := time.Duration(0)
	for proxy, end := 301, time.Now().Add(floodPeriod); time.Now().Before(end); proxy++ {
		began := time.Now()
		joining := node.subscribe(proxy)
		joining.readUntil(func(received []byte) bool { return bytes.Contains(received, []byte("s-1:")) })
		longestJoin = max(longestJoin, time.Since(began))
		time.Sleep(200 * time.Millisecond)
	}
	close(stop)
	flood.Wait()
	sound.close()
	<-done
	peak := residentPeakMB(t, node.Process.Pid)
	t.Logf("longest wait of a sound proxy %s of %d answers, longest time to a first table %s, peak of resident memory %.0f MB",
		sound.longestWait, sound.answered, longestJoin, peak)
	if sound.failure != "" || sound.answered == 0 || sound.longestWait > floodTableTime || longestJoin > floodTableTime {
		t.Errorf("sound proxy: failure %q, %d answers, the longest after %s, the longest time to a first table %s; want none, some, at most %s",
			sound.failure, sound.answered, sound.longestWait, longestJoin, floodTableTime)
	}
	if peak > heldBytesMemoryMB {
		t.Errorf("peak of resident memory is %.0f MB, want at most the configured %d MB", peak, heldBytesMemoryMB)
	}
	node.signal(syscall.SIGTERM)
	if code := node.exitCode(); code != 0 {
		t.Errorf("exit code %d, want 0: %s", code, node.output())
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
