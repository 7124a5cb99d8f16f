package copies

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	// gateways is the number of gateways and of clients: a request that is refused and comes again
	// then often finds the connection that it came over.
	gateways = 2
	// requestsPerClient is for each client; its routes take turns.
	requestsPerClient = 60
)

var routes = []string{"staged", "staged", "stream", "order"}

// promisesNotRun reports whether a status promises that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// Guards against second copies of answers that are taken for the answers to other calls: what is
// refused runs, what may run once runs twice, and a request gets the inputs of another.
func TestCopiesOfAnswersBelongToNoCall(t *testing.T) {
	r := newRig(t, gateways)
	var mu sync.Mutex
	statuses := make(map[string]int)
	var running sync.WaitGroup
	for n := range gateways {
		running.Go(func() {
			// A client keeps its connections.
			client := &http.Client{Timeout: clientTimeout, Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for i := range requestsPerClient {
				id := fmt.Sprintf("c%dr%d", n, i)
				status := ask(t, client, r.frontends[n], routes[i%len(routes)], id)
				mu.Lock()
				statuses[id] = status
				mu.Unlock()
			}
		})
	}
	running.Wait()
	copied := int64(0)
	for _, l := range r.listeners {
		copied += l.Sent()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	served := 0
	for id, status := range statuses {
		assert.Check(t, r.runs[id] <= 1, "%s ran %d times", id, r.runs[id])
		assert.Check(t, r.runs[id] == 0 || !promisesNotRun(status), "%s ran and was answered %d", id, status)
		if status == http.StatusOK {
			served++
		}
	}
	assert.Check(t, len(r.foreign) == 0, "%v", r.foreign)
	assert.Check(t, copied > 0, "no answer was sent twice")
	assert.Check(t, served > len(statuses)/10, "%d of %d served", served, len(statuses))
	t.Logf("%d requests, %d served, %d answers sent twice", len(statuses), served, copied)
}

// ask sends one request and returns the status of its whole answer; 0 if there was none.
func ask(t *testing.T, client *http.Client, addr, route, id string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/"+route+"/", strings.NewReader("report"))
	assert.Check(t, err)
	req.Host = "shop.example"
	req.Header.Set("Mangostage-Attempt-Id", id)
	req.Header.Set("Mangostage-Deadline-Ms", "5000")
	req.Header.Set("Authorization", "Token k1")
	if route == "staged" {
		req.Header.Set("Mangostage-Segments", fmt.Sprint(pieces))
		req.Header.Set("Mangostage-Segment-Key", "k-"+id)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}
