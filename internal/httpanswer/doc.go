// Package httpanswer decides whether the bytes that a server sends over a connection are answers
// of HTTP/1 (RFC 9112). All parts of the product that read answers read them through it;
// stand-ins and rigs don't.
//
// [Parser] is the decision, without I/O. [Conn] applies it to a connection, and [Transport] to the
// connections of an HTTP client.
package httpanswer

import (
	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/internal/bounded"
)

var (
	errs = errorx.NewNamespace("httpanswer")
	// ErrMalformed means that the bytes that came are no answer.
	ErrMalformed = bounded.ErrNoAnswer.NewSubtype("malformed")
	// ErrIncomplete means that the connection ended before the answer did.
	ErrIncomplete = errs.NewType("incomplete")
)
