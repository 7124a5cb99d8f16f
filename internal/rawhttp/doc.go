// Package rawhttp is a stand-in of servers whose answers tests write byte for byte, sound ones and
// broken ones.
package rawhttp
