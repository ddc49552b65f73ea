package emulator

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// Address is an address on loopback that a process keeps for its life, whether it listens or not. A socket that is bound
// and does not listen holds it: connections are refused at once, and the kernel gives the port to nobody who asks for any.
// Without it a stranger's process can take the port of a killed one, and gets its requests.
type Address struct {
	text   string
	holder *os.File // the socket; it is closed by Release, or when the Address is garbage
}

// NewAddress reserves a free address.
func NewAddress() (*Address, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	a := &Address{holder: os.NewFile(uintptr(fd), "address")}
	if a.text, err = bindLoopback(fd); err != nil {
		return nil, errors.Join(err, a.holder.Close())
	}
	return a, nil
}

// bindLoopback binds a socket to a free port, so that others can listen there while it does not, and returns the address.
func bindLoopback(fd int) (string, error) {
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return "", os.NewSyscallError("setsockopt", err)
	}
	loopback := [4]byte{127, 0, 0, 1}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: loopback}); err != nil {
		return "", os.NewSyscallError("bind", err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		return "", os.NewSyscallError("getsockname", err)
	}
	inet, is := bound.(*syscall.SockaddrInet4)
	if !is {
		return "", errors.New("getsockname: not an IPv4 address")
	}
	return (&net.TCPAddr{IP: loopback[:], Port: inet.Port}).String(), nil
}

// String returns the address as host and port.
func (a *Address) String() string { return a.text }

// Listen listens at the address, which a killed process may still be closing. The address stays reserved when the listener is
// closed.
func (a *Address) Listen() (listener net.Listener, err error) {
	const (
		attempts = 50
		delay    = 10 * time.Millisecond
	)
	for range attempts {
		if listener, err = net.Listen("tcp", a.text); err == nil {
			return listener, nil
		}
		time.Sleep(delay)
	}
	return nil, err
}

// Release gives the address up.
func (a *Address) Release() { _ = a.holder.Close() }
