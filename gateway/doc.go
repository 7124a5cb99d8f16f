// Package gateway serves client requests behind the platform's load balancer.
// For each request it finds the route and the client account, has the route's
// stages run, forwards the request to an endpoint and relays the answer byte for
// byte.
package gateway

import (
	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/internal/bounded"
)

var errs = errorx.NewNamespace("gateway")

var (
	// errNotSent means that no byte of the request can have reached an endpoint.
	errNotSent = errs.NewType("not_sent")
	// errUnknown means that the request was sent and no usable answer came back, so
	// that it may have run.
	errUnknown = errs.NewType("fate_unknown")
	// errConnUsed means that an answer to an earlier request over the connection could be taken
	// for the one to this.
	errConnUsed = errs.NewType("connection_used").New("the connection has carried this request, or one like it")
	// errSentBefore means that the request has been written to another connection.
	errSentBefore = errs.NewType("sent_before").New("the request was sent over another connection")
	// errNoAnswer means that an endpoint sent bytes that are no answer, or are not going to
	// be one, and that this process gave them up.
	errNoAnswer = errUnknown.NewSubtype("no_answer")
	// errConnEnded means that a kept connection ended after the request was sent and before a
	// byte of an answer came.
	errConnEnded = errUnknown.NewSubtype("connection_ended")
	// errBroken means that an answer ended before it was complete.
	errBroken = errs.NewType("answer_broken")
)

// isNoAnswer reports whether an error says that what came was no answer, so that this process, not
// the endpoint, ended the exchange.
func isNoAnswer(err error) bool { return errorx.IsOfType(err, errNoAnswer) || bounded.GivenUp(err) }

// asUnknown returns the error of a request that was sent and got no usable answer.
func asUnknown(err error, message string, args ...any) error {
	if isNoAnswer(err) {
		return errNoAnswer.Wrap(err, message, args...)
	}
	return errUnknown.Wrap(err, message, args...)
}
