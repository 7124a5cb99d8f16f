package stops

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// outcome is what became of a client's request.
type outcome string

const (
	// served means by the first attempt, retried by the second one.
	served  outcome = "served"
	retried outcome = "served after a refusal"
	refused outcome = "refused"
	// failed means that a complete answer says that the request may have run.
	failed outcome = "failed"
	// unread means that the connection ended without an answer and nothing has run.
	unread outcome = "unread"
	// cut means that the request has run and has no complete answer; cutLate is the same of
	// one that was sent over 3 s after SIGTERM.
	cut     outcome = "cut"
	cutLate outcome = "cut, sent 3 s after SIGTERM"
)

// lateAfter is the time from SIGTERM after which no cut is excused.
const lateAfter = 3 * time.Second

// tally counts outcomes by kind of request.
type tally struct {
	mu     sync.Mutex
	counts map[string]map[outcome]int
	// refusals counts all refusals by kind and reason.
	refusals map[string]map[string]int
}

func newTally() *tally {
	return &tally{counts: make(map[string]map[outcome]int), refusals: make(map[string]map[string]int)}
}

func (t *tally) add(kind string, o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts[kind] == nil {
		t.counts[kind] = make(map[outcome]int)
	}
	t.counts[kind][o]++
}

func (t *tally) addRefusal(kind, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.refusals[kind] == nil {
		t.refusals[kind] = make(map[string]int)
	}
	t.refusals[kind][reason]++
}

// count returns the number of requests of all kinds with an outcome.
func (t *tally) count(o outcome) int {
	n := 0
	for _, counts := range t.counts {
		n += counts[o]
	}
	return n
}

func (t *tally) log(tb testing.TB) {
	for _, kind := range kinds {
		tb.Logf("%s: %v, refusals %v", kind, t.counts[kind], t.refusals[kind])
	}
}

// requestIDs numbers the requests.
var requestIDs atomic.Int64

// client is a client with one connection, which it keeps until it is told or the connection
// ends.
type client struct {
	r       *rig
	gateway *gateway
	// avoid is the gateway that has refused the request: a client's retries reach other ones.
	avoid *gateway
	conn  net.Conn
	in    *bufio.Reader
	// sent counts the requests on the connection.
	sent int
}

// run sends requests of a kind until done is closed.
func (c *client) run(kind string, done <-chan struct{}, t *tally) {
	for {
		select {
		case <-done:
			c.drop()
			return
		case <-time.After(rand.N(thinkTime)):
		}
		t.add(kind, c.request(kind, t))
	}
}

// request sends one request, and once more after a refusal or an end without an answer.
func (c *client) request(kind string, t *tally) outcome {
	work := rand.N(usualWork)
	if kind != "bounded" && rand.IntN(longShare) == 0 {
		work = longWork
	}
	first, wait := c.try(kind, work, t)
	if first != refused && first != unread {
		return first
	}
	c.drop()
	<-time.After(wait)
	c.avoid = c.gateway
	second, _ := c.try(kind, work, t)
	c.avoid = nil
	if second == served && first == refused {
		return retried
	}
	return second
}

// try sends one attempt; wait is the Retry-After of a refusal, up to a third of the time left.
func (c *client) try(kind string, work time.Duration, t *tally) (o outcome, wait time.Duration) {
	id := fmt.Sprintf("r-%d", requestIDs.Add(1))
	for c.conn == nil {
		if !c.dial() {
			return unread, 0
		}
	}
	late := c.gateway.sinceStop() > lateAfter
	c.sent++
	body := work.String()
	_ = c.conn.SetDeadline(time.Now().Add(clientDeadline))
	_, err := fmt.Fprintf(c.conn, "POST /%s/x HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token k1\r\nMangostage-Attempt-Id: %s\r\n"+
		"Mangostage-Deadline-Ms: %d\r\nMangostage-Token-Usage: 100,20\r\nContent-Length: %d\r\n\r\n%s", kind, id, clientDeadline.Milliseconds(), len(body), body)
	var got answer
	if err == nil {
		got, err = readAnswer(c.in)
	}
	if err != nil {
		c.drop()
		return c.unanswered(id, late), 0
	}
	if got.closes {
		c.drop()
	}
	switch got.status {
	case http.StatusOK:
		return served, 0
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		var problem struct {
			Reason string `json:"reason"`
		}
		_ = json.Unmarshal(got.body, &problem)
		t.addRefusal(kind, problem.Reason)
		return refused, min(clientDeadline/3, got.retryAfter)
	}
	return failed, 0
}

// answer is a whole answer.
type answer struct {
	status int
	// closes means that the connection is closed after the answer.
	closes     bool
	retryAfter time.Duration
	body       []byte
}

// readAnswer reads a whole answer.
func readAnswer(in *bufio.Reader) (answer, error) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Close, time.Duration(seconds * float64(time.Second)), body}, err
}

// unanswered returns the outcome of a request whose connection has ended.
func (c *client) unanswered(id string, late bool) outcome {
	switch {
	case !c.r.hasRun(id):
		return unread
	case late:
		return cutLate
	}
	return cut
}

// dial opens a connection to the gateway that the balancer chooses.
func (c *client) dial() bool {
	c.gateway = c.r.balance(c.avoid)
	conn, err := net.DialTimeout("tcp", c.gateway.frontend, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.in, c.sent = conn, bufio.NewReader(conn), 0
	return true
}

// drop closes the connection.
func (c *client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
