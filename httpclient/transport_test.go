package httpclient

import (
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

// unreachableAddress is an address at which connections never come up: nobody accepts, and the few places that wait are taken.
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
	at, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port)
	for range 8 {
		c, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	t.Fatal("the system lets connections come up that nobody accepts")
	return ""
}

// pendingDials is how many connections to an address have not come up yet, by the system's own table.
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
		f := strings.Fields(line)
		if len(f) > 3 && f[2] == fmt.Sprintf("0100007F:%04X", port) && f[3] == "02" {
			n++
		}
	}
	return n
}

// A call that is given up before its connection has come up takes the dial with it.
func TestDialEndsWithItsCall(t *testing.T) {
	address := unreachableAddress(t)
	client := http.Client{Transport: Transport()}
	for range 3 {
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
			if err == nil {
				_, err = client.Do(req)
			}
			ended <- err
		}()
		for end := time.Now().Add(10 * time.Second); pendingDials(t, address) == 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("nothing is dialled")
			}
		}
		stop()
		if err := <-ended; err == nil {
			t.Error("an answer from nowhere")
		}
		for end := time.Now().Add(2 * time.Second); pendingDials(t, address) > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("a dial goes on after its call has ended")
			}
		}
	}
}
