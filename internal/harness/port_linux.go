package harness

import (
	"net"
	"strconv"
	"syscall"

	"github.com/joomcode/errorx"
)

// reservePort binds a free port of loopback without listening and returns its
// address and a function that lets it go. It guards against another socket of
// a busy machine taking the port before its process listens on it, or while the
// process is down: that shows as a process that fails to start, now and then.
// The kernel gives a bound port to nobody by itself, refuses connections
// to it, and lets a listener bind it as well since both reuse the address.
func reservePort() (address string, release func(), err error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", nil, errorx.Decorate(err, "open a socket")
	}
	release = func() { _ = syscall.Close(fd) }
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		release()
		return "", nil, errorx.Decorate(err, "reuse addresses")
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		release()
		return "", nil, errorx.Decorate(err, "bind a free port")
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		release()
		return "", nil, errorx.Decorate(err, "read the bound port")
	}
	v4, ok := bound.(*syscall.SockaddrInet4)
	if !ok {
		release()
		return "", nil, errorx.IllegalState.New("bound to %T", bound)
	}
	return net.JoinHostPort(loopback, strconv.Itoa(v4.Port)), release, nil
}

// childAttributes make the kernel end a process when the test's ends without
// its clean-up, as when it runs into its time limit.
func childAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
