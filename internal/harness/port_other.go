//go:build !linux

package harness

import (
	"net"
	"syscall"

	"github.com/joomcode/errorx"
)

// reservePort returns the address of a free loopback port. It does not reserve
// the port, because it does not assume that the system lets a second socket bind
// a port in use; the release function does nothing.
func reservePort() (address string, release func(), err error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(loopback, "0"))
	if err != nil {
		return "", nil, errorx.Decorate(err, "find a free port")
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), func() {}, nil
}

// childAttributes returns nil: only Linux ends child processes automatically.
func childAttributes() *syscall.SysProcAttr { return nil }
