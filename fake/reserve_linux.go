package fake

import (
	"net/netip"
	"syscall"
)

// reservePort binds the address without listening and returns a function that
// releases it. Otherwise another socket of a busy test could take the port
// while a stand-in is down, and the stand-in would never come back. The kernel
// does not give a bound port to any other socket and refuses connections to it.
func reservePort(addr string) func() {
	at, err := netip.ParseAddrPort(addr)
	if err != nil || !at.Addr().Unmap().Is4() {
		return func() {}
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return func() {}
	}
	release := func() { _ = syscall.Close(fd) }
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	_ = syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().Unmap().As4()})
	return release
}
