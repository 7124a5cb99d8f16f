// Package socket inspects the socket of a connection for events that reading
// from the connection would report only later.
package socket

import (
	"crypto/tls"
	"net"
	"syscall"
)

// Raw returns the socket of a plain or TLS connection; nil if it has none or is
// closed.
func Raw(conn net.Conn) syscall.RawConn {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	inner, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		// The socket is closed; the first write reports it.
		return nil
	}
	return raw
}
