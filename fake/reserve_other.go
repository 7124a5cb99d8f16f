//go:build !linux

package fake

// reservePort does nothing: there is no portable way to reserve a port.
func reservePort(string) func() { return func() {} }
