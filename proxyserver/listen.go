package proxyserver

import (
	"fmt"
	"net"
	"os"
	"syscall"

	"github.com/panjf2000/gnet/v2"
)

// listen starts the event loop at an address and returns once it accepts connections. Errors wrap ErrEnvironment.
func listen(addr string, s *server) (*server, error) {
	addr, err := reserveAddress(addr)
	if err != nil {
		return nil, fmt.Errorf("%w: listen on %w", ErrEnvironment, err)
	}
	s.addr = addr
	s.booted = make(chan struct{})
	s.ended = make(chan error, 1)
	s.streams = map[*connection]bool{}
	s.unsentConnections = map[*connection]bool{}
	// The event loop runs until close is called or an error occurs.
	go func() {
		// A single event loop accepts connections in its own goroutine, one at a time, so that OnOpen can enforce the limit at
		// each. With a separate acceptor, gnet accepts all pending connections before it calls a handler, and stops permanently
		// once descriptors run out.
		s.ended <- gnet.Run(s, "tcp://"+addr, gnet.WithNumEventLoop(1), gnet.WithReusePort(true), gnet.WithReuseAddr(true),
			gnet.WithTicker(true), gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithLogger(s.log.Sugar()))
	}()
	select {
	case <-s.booted:
		return s, nil
	case err := <-s.ended:
		return nil, fmt.Errorf("%w: listen on %s: %w", ErrEnvironment, addr, err)
	}
}

// reserveAddress checks that an address is free and returns it with its port. The check is necessary because a single event loop
// accepts connections itself only with SO_REUSEPORT, with which gnet does not detect another listener. The socket that is bound
// for the check does not listen: a client that connects before gnet listens is refused and retries, instead of being accepted and
// then reset.
func reserveAddress(text string) (string, error) {
	addr, err := net.ResolveTCPAddr("tcp", text)
	if err != nil {
		return "", err
	}
	port, err := bindAndRelease(addr)
	if err != nil {
		return "", fmt.Errorf("%s: %w", text, err)
	}
	addr.Port = port
	return addr.String(), nil
}

// bindAndRelease binds a socket to an address, returns its port and closes it.
func bindAndRelease(addr *net.TCPAddr) (port int, err error) {
	family, socketAddr := socketAddress(addr)
	fd, err := syscall.Socket(family, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, os.NewSyscallError("socket", err)
	}
	defer func() { _ = syscall.Close(fd) }()
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return 0, os.NewSyscallError("setsockopt", err)
	}
	if err := syscall.Bind(fd, socketAddr); err != nil {
		return 0, os.NewSyscallError("bind", err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		return 0, os.NewSyscallError("getsockname", err)
	}
	switch bound := bound.(type) {
	case *syscall.SockaddrInet4:
		return bound.Port, nil
	case *syscall.SockaddrInet6:
		return bound.Port, nil
	default:
		return addr.Port, nil
	}
}

func socketAddress(addr *net.TCPAddr) (family int, socketAddr syscall.Sockaddr) {
	if ip := addr.IP.To4(); ip != nil {
		return syscall.AF_INET, &syscall.SockaddrInet4{Port: addr.Port, Addr: [4]byte(ip)}
	}
	if addr.IP != nil {
		return syscall.AF_INET6, &syscall.SockaddrInet6{Port: addr.Port, Addr: [16]byte(addr.IP)}
	}
	return syscall.AF_INET, &syscall.SockaddrInet4{Port: addr.Port}
}
