package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/mangostage/mangostage/platform"
)

// maxEvent is the longest event in bytes that is held until it is complete: then
// another endpoint can go on after the event before it.
const maxEvent = 256 << 10

// framing says what ends the body of an answer.
type framing string

const (
	framedByLength     framing = "length"
	framedByChunks     framing = "chunks"
	framedByConnection framing = "connection"
)

// framing returns what ends the body.
func (a *answer) framing() framing {
	switch {
	case a.ContentLength >= 0:
		return framedByLength
	case len(a.TransferEncoding) > 0:
		return framedByChunks
	}
	return framedByConnection
}

// withholds reports whether an answer must not be passed on, and logs and counts that.
//
// The failure that it guards against: an endpoint has run an order and fails it with a
// status such as 503, without stating that it has not. To the client that status promises
// that nothing has run, so it sends the order again.
func (g *Gateway) withholds(req *request, a *answer) bool {
	if !a.Promises || a.NotRun || req.route.Repeatable() {
		return false
	}
	g.cfg.Metrics.countWithheld(req, a.StatusCode)
	req.about(g.cfg.Log.Warn().Str("event", logPromiseWithheld)).Str("endpoint", a.endpoint.ID).
		Int("status", a.StatusCode).Bool("sealed", a.Sealed).Dur("age_ms", time.Since(req.arrived)).
		Msg("an endpoint's status promises that a request has not run, and it does not state so")
	return true
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
