package emulator

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// Address is a loopback address that stays reserved for an emulated process, whether or not the process listens on it. A
// socket that is bound but does not listen holds the reservation: connections are refused at once, and the kernel does not
// assign the port to a socket that binds to port 0. Without the reservation, an unrelated process could take the port of a
// killed one and receive its requests.
type Address struct {
	text   string
	holder *os.File // the bound socket; closed by Release, or when the Address is garbage collected
}

// NewAddress reserves a free loopback address.
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

// bindLoopback binds a socket to a free port and returns the address. SO_REUSEADDR lets another socket listen on the same
// address as long as this one does not listen.
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
	inet, ok := bound.(*syscall.SockaddrInet4)
	if !ok {
		return "", errors.New("getsockname: the bound address is not an IPv4 address")
	}
	return (&net.TCPAddr{IP: loopback[:], Port: inet.Port}).String(), nil
}

// String returns the address as host and port.
func (a *Address) String() string { return a.text }

// Listen listens on the address. It retries, because the listener of a killed process may not be closed yet. The address
// stays reserved after the listener is closed.
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

// Release ends the reservation of the address.
func (a *Address) Release() { _ = a.holder.Close() }
