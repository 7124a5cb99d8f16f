package endpoint

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
)

// Limits on what an endpoint may send, in bytes.
const (
	// MaxReply bounds a reply, and a single event of a stream.
	MaxReply = 2 << 20
	// MaxStream bounds a whole stream.
	MaxStream = 16 << 20
	// maxFailureReply bounds the body of an unsuccessful reply.
	maxFailureReply = 16 << 10
)

// maxReplyEnd bounds the time from what completes a reply to its end.
const maxReplyEnd = time.Second

// decode reads one JSON document of at most limit bytes and nothing after it.
func decode(r io.Reader, limit int64, into any) error {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return errCut.Wrap(err, "read reply")
	}
	if int64(len(data)) > limit {
		return ErrMalformed.New("reply is longer than %d bytes", limit)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return ErrMalformed.Wrap(err, "decode reply")
	}
	return nil
}

// readEnd reads to the end of a reply whose content is complete. It returns an error if the reply is
// broken, and none if its end does not come within [maxReplyEnd] or before the call ends.
func readEnd(resp *http.Response) error {
	var late atomic.Bool
	timer := time.AfterFunc(maxReplyEnd, func() {
		late.Store(true)
		_ = resp.Body.Close()
	})
	defer timer.Stop()
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxFailureReply))
	if late.Load() || resp.Request.Context().Err() != nil {
		return nil
	}
	return err
}

// failure converts an unsuccessful reply to an *Error.
//
// A refusal proves that the call did not run only if it names this call: on a
// reused connection, a late second reply to the previous call could be read as
// the reply to this one.
func failure(resp *http.Response, id string) *Error {
	var reply FailureReply
	err := decode(resp.Body, maxFailureReply, &reply)
	if errorx.IsOfType(err, errCut) {
		return lost(err)
	}
	if err != nil && resp.StatusCode < http.StatusBadRequest {
		return &Error{Written: true, Lost: true, Err: ErrMalformed.New("status %d", resp.StatusCode)}
	}
	foreign := reply.Call != "" && reply.Call != id
	switch {
	case foreign, resp.StatusCode < http.StatusBadRequest:
		return &Error{Written: true, Lost: true, Err: ErrMalformed.New("status %d for call %q", resp.StatusCode, reply.Call)}
	case resp.StatusCode == http.StatusServiceUnavailable && reply.Refused && reply.Call == id:
		return &Error{Written: true, Refused: true, Err: ErrRefused.New("endpoint refused: %s", reply.Error)}
	}
	return &Error{Written: true, Err: ErrFailed.New("status %d: %s", resp.StatusCode, reply.Error)}
}

// lost returns the error of a call that was written and whose result is unknown.
func lost(err error) *Error { return &Error{Written: true, Lost: true, Err: err} }

// withContextCause adds ctx's error to the cause of a failure that the end of
// ctx may have brought about, so that errors.Is finds it; errors.Is does not see
// through errorx errors.
func withContextCause(ctx context.Context, err error) error {
	var failed *Error
	if ctx.Err() == nil || !errors.As(err, &failed) || errors.Is(err, ctx.Err()) {
		return err
	}
	if failed.Lost || !bool(failed.Written) {
		failed.Err = fmt.Errorf("%w: %w", ctx.Err(), failed.Err)
	}
	return failed
}
