package gateway

import (
	"bytes"
	"io"
	"net/http"

	"github.com/mangostage/mangostage/platform"
)

const (
	// maxBuffered is the longest body in bytes that is read completely before it is
	// relayed, so that another endpoint can still be tried if it ends early.
	maxBuffered = 64 << 10
	// maxEvent is the longest event in bytes that is held until it is complete.
	maxEvent = 256 << 10
	// readSize is the size in bytes of one read from a stream.
	readSize = 8 << 10
)

// usable reports whether an answer may be relayed as it is. A success must carry the
// endpoint's seal and must not be content-encoded.
func (a *answer) usable() bool {
	if a.StatusCode < 200 || a.StatusCode > 299 {
		return true
	}
	return a.Sealed && !a.Encoded
}

// buffer reads a short body completely. It leaves a longer one, and one without a
// length, to be relayed as it arrives. The error says that a short body ended early.
func (a *answer) buffer() (body []byte, complete bool, err error) {
	if a.ContentLength < 0 || a.ContentLength > maxBuffered {
		return nil, false, nil
	}
	body, err = io.ReadAll(a.Body)
	_ = a.Body.Close()
	return body, true, err
}

// endsWithConnection reports whether nothing but the end of the connection ends the body.
func (a *answer) endsWithConnection() bool {
	return a.ContentLength < 0 && len(a.TransferEncoding) == 0
}

// writeHead writes the endpoint's status and headers to the client.
func (a *answer) writeHead(w http.ResponseWriter) {
	platform.CopyAnswerHeader(w.Header(), a.Header)
	if len(a.Header["Content-Type"]) == 0 {
		// A nil value keeps net/http from guessing a type.
		w.Header()["Content-Type"] = nil
	}
	w.WriteHeader(a.StatusCode)
}

// relay copies the rest of the answer. If it ends early, the caller must abort the
// client's connection, so that the answer does not look complete: the client then
// misses bytes of a known length, or the last chunk. broke is true if the endpoint's
// connection ended it, not the client's.
func (a *answer) relay(w http.ResponseWriter) (broke bool, err error) {
	defer func() { _ = a.Body.Close() }()
	body := &errorReader{Reader: a.Body}
	if _, err := io.Copy(w, body); err != nil {
		return body.failed, errBroken.Wrap(err, "answer")
	}
	return false, nil
}

// errorReader records whether its reader has failed.
type errorReader struct {
	io.Reader
	failed bool
}

// Read implements io.Reader.
func (r *errorReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.failed = r.failed || err != nil && err != io.EOF
	return n, err
}

// eventReader reads a stream of server-sent events.
type eventReader struct {
	body io.Reader
	// pending holds the bytes that were read and not yet returned.
	pending []byte
	// chunk is the read buffer.
	chunk []byte
	// lastID is the ID of the last complete event.
	lastID string
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{body: body, chunk: make([]byte, readSize)}
}

// next returns the bytes of one or more complete events. At the end of the stream it
// returns the remaining bytes and io.EOF. Any other error means that the stream broke;
// the bytes returned with it belong to an incomplete event and must not be relayed.
func (e *eventReader) next() ([]byte, error) {
	for {
		if n := completeLen(e.pending); n > 0 {
			out := e.pending[:n:n]
			e.pending = e.pending[n:]
			e.recordLastID(out)
			return out, nil
		}
		if len(e.pending) > maxEvent {
			return nil, errBroken.New("event exceeds %d bytes", maxEvent)
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

// completeLen returns the length of the complete events at the start of data.
func completeLen(data []byte) int {
	n := 0
	if i := bytes.LastIndex(data, []byte("\n\n")); i >= 0 {
		n = i + 2
	}
	if i := bytes.LastIndex(data, []byte("\r\n\r\n")); i >= 0 {
		n = max(n, i+4)
	}
	return n
}

// recordLastID sets lastID from complete events.
func (e *eventReader) recordLastID(data []byte) {
	for _, line := range bytes.Split(data, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.lastID = string(bytes.TrimSpace(id))
		}
	}
}
