package emulator

import (
	"net"
	"testing"
)

// An address without a listener must refuse connections, and the kernel must not assign it to a socket that binds to port 0.
//
// Before addresses were reserved, eight parallel processes of this package's tests failed 88 of 480 times: the port of a
// killed endpoint was assigned to an endpoint of another process, which answered its requests with 200 or 502.
func TestAddressIsKeptWithoutListener(t *testing.T) {
	reserved := map[string]bool{}
	for range 200 {
		a, err := NewAddress()
		if err != nil {
			t.Fatal(err)
		}
		defer a.Release()
		if reserved[a.String()] {
			t.Fatalf("%s was reserved twice", a)
		}
		reserved[a.String()] = true
	}
	for range 5000 { // a fifth of the kernel's port range: about 35 would match if the addresses were free
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		assigned := l.Addr().String()
		_ = l.Close()
		if reserved[assigned] {
			t.Fatalf("the kernel assigned the reserved address %s", assigned)
		}
	}
	for address := range reserved {
		if c, err := net.Dial("tcp", address); err == nil {
			_ = c.Close()
			t.Fatalf("%s accepted a connection, want it refused", address)
		}
	}
}

// A restarted process must be able to listen on its address again, any number of times.
func TestAddressIsListenedAtAgain(t *testing.T) {
	a, err := NewAddress()
	if err != nil {
		t.Fatal(err)
	}
	defer a.Release()
	for range 100 {
		l, err := a.Listen()
		if err != nil {
			t.Fatal(err)
		}
		if l.Addr().String() != a.String() {
			t.Fatalf("listening on %s, want %s", l.Addr(), a)
		}
		_ = l.Close()
	}
}
