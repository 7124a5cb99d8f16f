//go:build !linux

package socket

import "syscall"

// ClosedByPeer always returns false: only Linux supports the check. On other
// systems the close is detected by reading.
func ClosedByPeer(syscall.RawConn) bool { return false }

// Readable always returns false: only Linux supports the check.
func Readable(syscall.RawConn) bool { return false }

// Dead always returns false: only Linux supports the check.
func Dead(syscall.RawConn) bool { return false }
