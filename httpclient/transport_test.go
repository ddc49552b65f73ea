package httpclient

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// unreachableAddress returns an address to which connections are never established: its listener accepts none, and the backlog
// is full.
func unreachableAddress(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
	for range 8 {
		c, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	t.Fatal("the system establishes connections beyond the backlog, want dials that stay pending")
	return ""
}

// synSent is the state in /proc/self/net/tcp of a connection that is not established yet.
const synSent = "02"

// pendingDials returns the number of connections to an address that are not established yet, from /proc/self/net/tcp.
func pendingDials(t *testing.T, address string) (n int) {
	text, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	var port int
	if _, err := fmt.Sscanf(address, "127.0.0.1:%d", &port); err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) > 3 && fields[2] == fmt.Sprintf("0100007F:%04X", port) && fields[3] == synSent {
			n++
		}
	}
	return n
}

// If a call is canceled before its connection is established, its dial must end too. Otherwise calls to an unreachable machine
// would accumulate file descriptors.
func TestDialEndsWithItsCall(t *testing.T) {
	address := unreachableAddress(t)
	client := http.Client{Transport: Transport()}
	for range 3 {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() {
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
			if err == nil {
				_, err = client.Do(request)
			}
			ended <- err
		}()
		for end := time.Now().Add(10 * time.Second); pendingDials(t, address) == 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("no dial is pending within 10 s of the call, want one")
			}
		}
		cancel()
		if err := <-ended; err == nil {
			t.Error("call to an unreachable address succeeded, want an error")
		}
		for end := time.Now().Add(2 * time.Second); pendingDials(t, address) > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("a dial is still pending 2 s after the end of its call, want none")
			}
		}
	}
}

// The read hook reports bytes although the body of the response holds them back until their chunk is complete.
func TestReadHookReportsPartOfAChunk(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = conn.Close() }) // open until then, so that the chunk stays incomplete
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		time.Sleep(100 * time.Millisecond)
		_, _ = fmt.Fprint(conn, "10\r\npart")
	}()
	reads := make(chan int, 16)
	ctx := WithReadHook(t.Context(), func(bytes int) { reads <- bytes })
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+listener.Addr().String(), nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := (&http.Client{Transport: Transport()}).Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	go func() { _, _ = response.Body.Read(make([]byte, 16)) }()
	total := 0
	for want := len("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\npart"); total < want; {
		select {
		case n := <-reads:
			total += n
		case <-time.After(10 * time.Second):
			t.Fatalf("the hook has reported %d bytes, want %d", total, want)
		}
	}
}
