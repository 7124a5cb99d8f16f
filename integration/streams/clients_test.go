package streams

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
)

// calls numbers the requests of all tests.
var calls atomic.Int64

// call is a request of a client.
type call struct {
	route, body string
}

// result is what a client got.
type result struct {
	id     string
	status int
	body   string
	// complete is true for a success that looks complete.
	complete bool
}

// send sends a request through a gateway and reads its answer.
func (r *rig) send(m *member, c call) result {
	res := result{id: fmt.Sprintf("%s-%d", r.t.Name(), calls.Add(1))}
	req, err := http.NewRequest(http.MethodPost, "http://"+m.frontend+"/"+c.route+"/", strings.NewReader(c.body))
	if err != nil {
		return res
	}
	req.Host = "shop.example"
	req.Header.Set("Mangostage-Attempt-Id", res.id)
	req.Header.Set("Mangostage-Deadline-Ms", "8000")
	req.Header.Set("Authorization", "Token k1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	res.status, res.body = resp.StatusCode, string(body)
	res.complete = err == nil && resp.StatusCode == http.StatusOK
	return res
}
