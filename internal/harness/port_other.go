//go:build !linux

package harness

import (
	"net"
	"syscall"

	"github.com/joomcode/errorx"
)

// reservePort finds a free port; it cannot hold it where a second socket may
// not bind it as well.
func reservePort() (address string, release func(), err error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(loopback, "0"))
	if err != nil {
		return "", nil, errorx.Decorate(err, "find a free port")
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), func() {}, nil
}

func childAttributes() *syscall.SysProcAttr { return nil }
