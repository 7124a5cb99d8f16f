package harness

import (
	"net"
	"strconv"
	"syscall"

	"github.com/joomcode/errorx"
)

// reservePort binds a free loopback port without listening on it. It returns the
// address and a function that releases the port.
//
// The reservation prevents that another socket on a busy machine gets the port
// before the process listens on it, or while the process is down, which would
// show as a process that occasionally fails to start. The kernel does not assign
// a bound port to other sockets and refuses connections to it. The process can
// still listen on the port, because both sockets set SO_REUSEADDR.
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
		return "", nil, errorx.IllegalState.New("unexpected address type %T of a bound socket", bound)
	}
	return net.JoinHostPort(loopback, strconv.Itoa(v4.Port)), release, nil
}

// childAttributes makes the kernel kill the child process when the test process
// ends without running its cleanup, for example because of the test timeout.
func childAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
