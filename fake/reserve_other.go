//go:build !linux

package fake

// reserve does nothing where bound ports cannot be held in a portable way.
func reserve(string) func() { return func() {} }
