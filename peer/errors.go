package peer

import (
	"errors"

	"github.com/joomcode/errorx"
	"github.com/sourcegraph/jsonrpc2"
)

// writeError sorts an error of the sending half. The library reports a
// connection that was closed beforehand as ErrClosed without writing.
func writeError(err error, method string) error {
	if errorx.IsOfType(err, ErrNotWritten) {
		return err
	}
	if errors.Is(err, jsonrpc2.ErrClosed) {
		return ErrNotWritten.Wrap(err, "%s", method)
	}
	return ErrLost.Wrap(err, "%s", method)
}

// waitError sorts an error of the waiting half, after the message was written.
func waitError(err error, method string) error {
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) {
		return ErrRemote.Wrap(err, "%s", method)
	}
	return ErrLost.Wrap(err, "%s", method)
}

// discard drops the library's own log lines; the node's owner logs what matters.
type discard struct{}

// Printf implements jsonrpc2.Logger.
func (discard) Printf(string, ...any) {}
