package peer

import (
	"errors"

	"github.com/joomcode/errorx"
	"github.com/sourcegraph/jsonrpc2"
)

// classifyWriteError returns an error of DispatchCall or Notify as ErrNotWritten
// or ErrLost. The library returns ErrClosed, without writing, for a connection
// that was already closed.
func classifyWriteError(err error, method string) error {
	if errorx.IsOfType(err, ErrNotWritten) {
		return err
	}
	if errors.Is(err, jsonrpc2.ErrClosed) {
		return ErrNotWritten.Wrap(err, "%s", method)
	}
	return ErrLost.Wrap(err, "%s", method)
}

// classifyWaitError returns an error that occurred after the message was
// written, while waiting for the reply, as ErrRemote or ErrLost.
func classifyWaitError(err error, method string) error {
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) {
		return ErrRemote.Wrap(err, "%s", method)
	}
	return ErrLost.Wrap(err, "%s", method)
}

// discardLogger drops the log lines of the jsonrpc2 library. The node's callbacks
// and returned errors report failures instead.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}
