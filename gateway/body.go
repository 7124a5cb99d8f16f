package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/mangostage/mangostage/internal/bounded"
)

const (
	// maxBuffered is the longest body in bytes that is read completely before it is
	// relayed, so that another endpoint can still be tried if it ends early.
	maxBuffered = 64 << 10
	// maxErrorBytes is the maximum length of an error answer in bytes, its head included.
	maxErrorBytes = 128 << 10
	// maxErrorTime is the maximum time from the head of an error answer to its end.
	maxErrorTime = time.Second
	// maxBodySilence is the maximum time without a byte of a body that is being buffered.
	maxBodySilence = time.Second
	// maxBufferTime is the time after which a body is no longer buffered, but relayed as it
	// arrives.
	maxBufferTime = time.Second
)

// checkUsable returns an error if an answer may not be relayed as it is, and then drops what it says
// about its endpoint. A success must carry the endpoint's seal and must not be content-encoded.
func (a *answer) checkUsable() error {
	switch {
	case a.StatusCode >= http.StatusMultipleChoices:
		return nil
	case !a.Sealed:
		a.disbelieve()
		return errBroken.New("status %d without a seal", a.StatusCode)
	case a.Encoded:
		a.disbelieve()
		return errBroken.New("status %d with an encoded body", a.StatusCode)
	}
	return nil
}

// buffer reads a short body completely. It leaves a longer one, a success without a
// length, and one that comes slowly to be relayed as they arrive. The error says that a
// short body ended early, or is of type errNoAnswer if the body was given up.
func (a *answer) buffer(deadline time.Time) (body []byte, complete bool, err error) {
	switch {
	case a.StatusCode >= http.StatusMultipleChoices:
		body, err = a.readError()
		return body, true, err
	case a.ContentLength < 0 || a.ContentLength > maxBuffered:
		return nil, false, nil
	}
	return a.readShort(deadline)
}

// readWholeError reads the body of an error answer and keeps it: what a broken one says is not
// believed. The error is of type errUnknown.
func (a *answer) readWholeError() error {
	body, err := a.readError()
	if err != nil {
		return asUnknown(err, "endpoint %s, status %d", a.endpoint.ID, a.StatusCode)
	}
	if a.Body != http.NoBody {
		a.Body = io.NopCloser(bytes.NewReader(body))
	}
	a.believe()
	return nil
}

// readError reads the body of an error answer and gives it up if it is too long or too slow.
func (a *answer) readError() ([]byte, error) {
	defer func() { _ = a.Body.Close() }()
	limit := int64(maxErrorBytes - a.headBytes)
	if a.ContentLength > limit && a.Body != http.NoBody {
		return nil, errNoAnswer.New("an error of %d bytes", a.ContentLength)
	}
	body, err := bounded.ReadAll(a.Request.Context(), a.giveUp, a.Body, limit, maxErrorTime)
	return body, err
}

// readShort reads the body of a success with a short length. If the body comes slowly and
// may yet be complete before the deadline, the rest is left to be relayed.
func (a *answer) readShort(deadline time.Time) (body []byte, complete bool, err error) {
	began := time.Now()
	silent := time.AfterFunc(maxBodySilence, func() {
		a.giveUp(errNoAnswer.New("no byte of the body for %s", maxBodySilence))
	})
	defer silent.Stop()
	body = make([]byte, 0, a.ContentLength+1)
	for {
		n, err := a.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil {
			_ = a.Body.Close()
			if errors.Is(err, io.EOF) {
				return body, true, nil
			}
			return nil, false, a.cause(err)
		}
		silent.Reset(maxBodySilence)
		elapsed := time.Since(began)
		if elapsed < maxBufferTime {
			continue
		}
		if !endsInTime(int64(len(body)), a.ContentLength, elapsed, time.Until(deadline)) {
			_ = a.Body.Close()
			return nil, false, errNoAnswer.New("%d of %d bytes within %s", len(body), a.ContentLength, elapsed)
		}
		a.Body = readCloser{io.MultiReader(bytes.NewReader(body), a.Body), a.Body}
		return nil, false, nil
	}
}

// hold reads a body until it is whole, or longer than limit bytes: then the rest is left to be
// relayed.
func (a *answer) hold(limit int64) (body []byte, complete bool, err error) {
	body, err = io.ReadAll(io.LimitReader(a.Body, limit+1))
	switch {
	case err != nil:
		_ = a.Body.Close()
		return nil, false, a.cause(err)
	case int64(len(body)) <= limit:
		_ = a.Body.Close()
		return body, true, nil
	}
	a.Body = readCloser{io.MultiReader(bytes.NewReader(body), a.Body), a.Body}
	return nil, false, nil
}

// endsInTime reports whether a body of which some bytes have come within the elapsed time
// will be complete within the time left, at the same rate.
func endsInTime(received, length int64, elapsed, left time.Duration) bool {
	return float64(length-received)*float64(elapsed) <= float64(received)*float64(left)
}

// cause returns why the answer was given up, or else err.
func (a *answer) cause(err error) error {
	if cause := context.Cause(a.Request.Context()); cause != nil {
		return cause
	}
	return err
}

// readCloser reads from one value and closes another.
type readCloser struct {
	io.Reader
	io.Closer
}
