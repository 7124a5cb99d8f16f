package gateway

import (
	"bytes"
	"io"
	"net/http"

	"github.com/mangostage/mangostage/platform"
)

const (
	// maxBuffered is the longest answer that is read whole before it is
	// relayed; one that ends early can then still be asked for elsewhere.
	maxBuffered = 64 << 10
	// maxEvent is the longest event that is held back until it is complete.
	maxEvent = 256 << 10
	readSize = 8 << 10
)

// usable tells whether an answer may be relayed as it is: a success needs the
// endpoint's seal and its own bytes.
func (a *answer) usable() bool {
	if a.StatusCode < 200 || a.StatusCode > 299 {
		return true
	}
	return a.Sealed && !a.Encoded
}

// buffer reads a short answer whole. It leaves longer ones, and those without
// a length, to be relayed as they come; early tells that an answer broke off.
func (a *answer) buffer() (body []byte, whole, early bool) {
	if a.ContentLength < 0 || a.ContentLength > maxBuffered {
		return nil, false, false
	}
	body, err := io.ReadAll(a.Body)
	_ = a.Body.Close()
	return body, true, err != nil
}

// head writes the endpoint's status and headers.
func (a *answer) head(w http.ResponseWriter) {
	platform.CopyAnswerHeader(w.Header(), a.Header)
	if len(a.Header["Content-Type"]) == 0 {
		// Without this net/http would guess a type.
		w.Header()["Content-Type"] = nil
	}
	w.WriteHeader(a.StatusCode)
}

// relay copies the rest of the answer. An answer that ends early must not look
// complete, so the client's connection is broken off: with a length the client
// misses bytes, without one it misses the last chunk.
func (a *answer) relay(w http.ResponseWriter) error {
	defer func() { _ = a.Body.Close() }()
	if _, err := io.Copy(w, a.Body); err != nil {
		return errBroken.Wrap(err, "answer")
	}
	return nil
}

// events reads a stream event by event.
type events struct {
	body    io.Reader
	pending []byte
	chunk   []byte
	// last is the ID of the last complete event.
	last string
}

func newEvents(body io.Reader) *events {
	return &events{body: body, chunk: make([]byte, readSize)}
}

// next returns the bytes of the events that have become complete. At the end
// of the stream it returns what is left and io.EOF; another error means that
// the stream broke off, and the bytes of the incomplete event are dropped.
func (e *events) next() ([]byte, error) {
	for {
		if n := boundary(e.pending); n > 0 {
			out := e.pending[:n:n]
			e.pending = e.pending[n:]
			e.note(out)
			return out, nil
		}
		if len(e.pending) > maxEvent {
			return nil, errBroken.New("an event of more than %d bytes", maxEvent)
		}
		n, err := e.body.Read(e.chunk)
		e.pending = append(e.pending, e.chunk[:n]...)
		if err == io.EOF && n > 0 {
			continue
		}
		if err != nil {
			rest := e.pending
			e.pending = nil
			return rest, err
		}
	}
}

// boundary is the length of the complete events at the start of data.
func boundary(data []byte) int {
	n := 0
	if i := bytes.LastIndex(data, []byte("\n\n")); i >= 0 {
		n = i + 2
	}
	if i := bytes.LastIndex(data, []byte("\r\n\r\n")); i >= 0 {
		n = max(n, i+4)
	}
	return n
}

// note remembers the last event ID in complete events.
func (e *events) note(data []byte) {
	for _, line := range bytes.Split(data, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.last = string(bytes.TrimSpace(id))
		}
	}
}
