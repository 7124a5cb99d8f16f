package fake

import (
	"net/netip"
	"syscall"
)

// reserve binds the address without listening and returns a function that
// lets it go. It guards against another socket of a busy test taking the port
// while a stand-in is down, which shows as a stand-in that never comes back:
// the kernel gives a bound port to nobody else and refuses connections to it.
func reserve(addr string) func() {
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
