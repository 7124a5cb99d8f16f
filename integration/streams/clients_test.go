package streams

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// calls numbers the requests of all tests.
var calls atomic.Int64

// call is a request of a client.
type call struct {
	route, body string
	// resumes is the attempt that began the stream which the call takes up after the event
	// lastEvent; empty for a new stream.
	resumes, lastEvent string
	// leaveAfter, if set, is the number of events after which the client leaves.
	leaveAfter int
}

// result is what a client got.
type result struct {
	id     string
	status int
	header http.Header
	body   string
	took   time.Duration
	// complete is true for a success that looks complete.
	complete bool
}

// send sends a request through a gateway and reads its answer.
func (r *rig) send(m *member, c call) (res result) {
	res = result{id: fmt.Sprintf("%s-%d", r.t.Name(), calls.Add(1))}
	req, err := http.NewRequest(http.MethodPost, "http://"+m.frontend+"/"+c.route+"/", strings.NewReader(c.body))
	if err != nil {
		return res
	}
	req.Host = "shop.example"
	req.Header.Set("Mangostage-Attempt-Id", res.id)
	req.Header.Set("Mangostage-Deadline-Ms", "8000")
	req.Header.Set("Authorization", "Token k1")
	if c.lastEvent != "" {
		req.Header.Set("Last-Event-Id", c.lastEvent)
	}
	if c.resumes != "" {
		req.Header.Set("Resumes", c.resumes)
	}
	began := time.Now()
	defer func() { res.took = time.Since(began) }()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := readEvents(resp.Body, c.leaveAfter)
	res.status, res.header, res.body = resp.StatusCode, resp.Header, body
	res.complete = err == nil && resp.StatusCode == http.StatusOK
	return res
}

// sendHTTP10 sends a request with HTTP/1.0, to which answers have no chunks, and reads all
// that comes; the error says how the connection ended.
func (r *rig) sendHTTP10(m *member, route, body string) (string, error) {
	conn, err := net.Dial("tcp", m.frontend)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /%s/ HTTP/1.0\r\nHost: shop.example\r\nMangostage-Attempt-Id: %s-%d\r\n"+
		"Mangostage-Deadline-Ms: 8000\r\nAuthorization: Token k1\r\nContent-Length: %d\r\n\r\n%s",
		route, r.t.Name(), calls.Add(1), len(body), body)
	if err != nil {
		return "", err
	}
	answer, err := io.ReadAll(conn)
	return string(answer), err
}

// errLeft means that the client has left by itself.
var errLeft = errors.New("the client has left")

// readEvents reads a body to its end or, if leaveAfter is set, that many events of it: what
// came with these is not taken.
func readEvents(body io.Reader, leaveAfter int) (string, error) {
	var text strings.Builder
	chunk := make([]byte, 1<<10)
	for {
		n, err := body.Read(chunk)
		text.Write(chunk[:n])
		if events := strings.SplitAfter(text.String(), "\n\n"); leaveAfter > 0 && len(events) > leaveAfter {
			return strings.Join(events[:leaveAfter], ""), errLeft
		}
		switch {
		case err == io.EOF:
			return text.String(), nil
		case err != nil:
			return text.String(), err
		}
	}
}

// events returns the versions of the whole events of an answer, in order, and the ID of the
// last one.
func (r result) events() (versions []string, last string) {
	for _, event := range strings.SplitAfter(r.body, "\n\n") {
		id, data, ok := strings.Cut(strings.TrimSuffix(event, "\n\n"), "\ndata: ")
		if !ok || !strings.HasSuffix(event, "\n\n") {
			continue
		}
		version, _, _ := strings.Cut(data, " ")
		versions = append(versions, version)
		last = strings.TrimPrefix(id, "id: ")
	}
	return versions, last
}

// takeUp goes on with a stream that broke, through a gateway.
func (r *rig) takeUp(m *member, route string, stream result) result {
	_, last := stream.events()
	return r.send(m, call{route: route, resumes: stream.id, lastEvent: last})
}

// reasonOf returns the reason in a problem that a gateway answered with.
func reasonOf(r result) string {
	var problem struct {
		Reason string `json:"reason"`
	}
	if json.Unmarshal([]byte(r.body), &problem) != nil {
		return ""
	}
	return problem.Reason
}
