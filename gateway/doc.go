// Package gateway serves clients on the users' platform: it finds a request's
// route and account, has its stages run, sends it to an endpoint and relays
// the answer byte for byte.
package gateway

import "github.com/joomcode/errorx"

var errs = errorx.NewNamespace("gateway")

var (
	// errNotSent means that no byte of the request can have reached an endpoint.
	errNotSent = errs.NewType("not_sent")
	// errUnknown means that the request was sent and no usable answer came.
	errUnknown = errs.NewType("fate_unknown")
	// errBroken means that an answer ended early.
	errBroken = errs.NewType("answer_broken")
)
