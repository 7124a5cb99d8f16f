package gateway_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/platform/standin"
)

// exchangeTimeout bounds the exchange on one fuzzed connection: the server itself
// closes it when the bytes end, and waits only for a request that lacks bytes.
const exchangeTimeout = 200 * time.Millisecond

// sentRequests returns the requests in a client's bytes, up to the first malformed
// one, each with its body.
func sentRequests(data []byte) []standin.Run {
	var sent []standin.Run
	reader := bufio.NewReader(bytes.NewReader(data))
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return sent
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return sent
		}
		sent = append(sent, standin.Run{
			ID: req.Header.Get("Mangostage-Attempt-Id"), Method: req.Method, Target: req.RequestURI, Body: body,
		})
	}
}

// rawRequest returns the start of a request with the ID, followed by rest.
func rawRequest(id, rest string) string {
	return "POST /once/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token k1\r\nMangostage-Attempt-Id: " + id + "\r\n" + rest
}

// A client's bytes hide a second request in a body, give two lengths, break off in a
// chunk or are no request at all. Endpoints must run only the requests that the bytes
// contain, each with its own method, target and body, and the gateway must continue
// to serve others.
func FuzzFront(f *testing.F) {
	hidden := rawRequest("inner", "Content-Length: 0\r\n\r\n")
	f.Add([]byte(rawRequest("a", "Content-Length: 3\r\n\r\nabc")))
	f.Add([]byte(rawRequest("a", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n") + rawRequest("b", "Content-Length: 0\r\n\r\n")))
	f.Add([]byte(rawRequest("a", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(hidden), hidden))))
	f.Add([]byte(rawRequest("a", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+hidden)))
	f.Add([]byte(rawRequest("a", "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabc"+hidden)))
	f.Add([]byte(rawRequest("a", "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n3\r\nabc\r\n0\r\n\r\n")))
	f.Add([]byte(rawRequest("a", "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nabc")))
	f.Add([]byte(rawRequest("a", "Transfer-Encoding: chunked\r\n\r\n3;x=\n\r\nabc\r\n0\r\nTrailer: x\r\n\r\n")))
	f.Add([]byte(rawRequest("a", "Mangostage-Deadline-Ms: -1\r\nMangostage-Segments: 9999999999\r\nContent-Length: 0\r\n\r\n")))
	f.Add([]byte("GET /idem/?q=%zz HTTP/1.1\r\nHost: a.example:80\r\nAuthorization: Token k1\r\nMangostage-Attempt-Id: g\r\n\r\n"))
	f.Add([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"))
	r := newRig(f)
	e := r.startEndpoint("plain", "p-1", nil)
	// sent holds the requests of all inputs that have not run: a request whose connection
	// the test has given up may still arrive at the endpoint.
	var sent []standin.Run
	seen := 0
	f.Fuzz(func(t *testing.T, data []byte) {
		r.t = t
		sent = append(sent, sentRequests(data)...)
		exchange(t, r.url, data)
		after := r.request(http.MethodPost, "/once/", "after")
		assert.Equal(t, r.do(after).body, "ok")
		ran := e.Runs()
		for _, run := range ran[seen:] {
			if run.ID == after.Header.Get("Mangostage-Attempt-Id") {
				continue
			}
			at := indexOfRun(sent, run)
			assert.Assert(t, at >= 0, "%s %s %q with body %q ran and was not sent", run.Method, run.Target, run.ID, run.Body)
			sent = append(sent[:at], sent[at+1:]...)
		}
		seen = len(ran)
		sent = sent[max(0, len(sent)-maxUnmatched):]
	})
}

// maxUnmatched bounds the requests remembered that have not run.
const maxUnmatched = 1000

func indexOfRun(sent []standin.Run, run standin.Run) int {
	for i, s := range sent {
		if s.ID == run.ID && s.Method == run.Method && s.Target == run.Target && bytes.Equal(s.Body, run.Body) {
			return i
		}
	}
	return -1
}

// exchange sends bytes on a new connection and reads until it ends.
func exchange(t *testing.T, url string, data []byte) {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(exchangeTimeout)))
	// The server may close the connection in the middle of malformed bytes.
	_, _ = conn.Write(data)
	_ = conn.(*net.TCPConn).CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
}
