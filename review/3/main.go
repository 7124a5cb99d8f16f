// Command 3 shows that a 503 of an engine which does not state that the request has not run
// is passed to the client, for whom it is the promise that it has not.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"mangostage.review/rig"
)

const (
	// greyShare is the share of the engines that fail, greyRuns the share of their requests;
	// the site file has srv_grey with a share of 0.14 and 0.45.
	engines  = 3
	greyRuns = 0.4
	greyFrom = 5 * time.Second
	greyTime = 6 * time.Second
	runTime  = 20 * time.Second
)

func main() {
	r := rig.New()
	r.PutConfig(3, []rig.Object{
		rig.Route("order", "/order/", "non_idempotent", "katalog", rig.Object{"timeout_ms": 2000, "slo_ms": 300}),
	}, []rig.Object{rig.PlainService("katalog")})
	b := &book{rig: r, runs: make(map[string]int), orders: make(map[string]int)}
	for i := range engines {
		grey := r.Trouble && i == 0
		id := fmt.Sprintf("i-kat%d", i)
		r.AddEngine(id, "katalog", 6, func(c *rig.Conn, q *http.Request, body []byte) bool {
			return b.run(c, q, string(body), id, grey)
		})
	}
	nodes := r.AddNodes(2)
	r.StartNodes()
	b.start(time.Now())
	var clients sync.WaitGroup
	end := time.Now().Add(runTime)
	for i := range 6 {
		clients.Go(func() {
			client := rig.NewClient()
			for n := 0; time.Now().Before(end); n++ {
				b.order(client, nodes, fmt.Sprintf("order %d-%d", i, n))
				time.Sleep(80 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	twice := 0
	for order, runs := range b.orders {
		if runs > 1 {
			twice++
			r.Logf("%s has run %d times, each time in an attempt of its own", order, runs)
		}
	}
	r.Logf("orders that have run more than once since their client trusted the promise: %d", twice)
	r.End(r.Violations() > 0)
}

// book counts the runs of requests, by the ID of the attempt, and of orders.
type book struct {
	rig *rig.Rig

	mu     sync.Mutex
	began  time.Time
	runs   map[string]int
	orders map[string]int
}

func (b *book) start(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.began = now
}

// run runs a request and answers it. A grey engine fails some of them at the end.
func (b *book) run(c *rig.Conn, q *http.Request, order, engine string, grey bool) bool {
	id := q.Header.Get("Mangostage-Attempt-Id")
	b.mu.Lock()
	b.runs[id]++
	b.orders[order]++
	since := time.Since(b.began)
	b.mu.Unlock()
	time.Sleep(60 * time.Millisecond)
	if grey && since >= greyFrom && since < greyFrom+greyTime && rand.Float64() < greyRuns {
		b.rig.Logf("engine %s: %s of %s has run and fails with 503, without Mangostage-Not-Executed", engine, id, order)
		return c.Answer(http.StatusServiceUnavailable, rig.Sealed(q), []byte("the stock system did not answer"))
	}
	return c.Answer(http.StatusOK, rig.Sealed(q), []byte("done: "+order))
}

// order sends an order, and sends it again after a promise that it has not run, as clients do.
func (b *book) order(client *http.Client, nodes []*rig.Node, order string) {
	for try := range 2 {
		id := rig.NewID()
		n := nodes[rand.IntN(len(nodes))]
		result := rig.Send(client, n, rig.Attempt{ID: id, Method: http.MethodPost, Path: "/order/new", Deadline: 4 * time.Second, Body: []byte(order)})
		b.rig.Logf("client: %s, attempt %d, %s to %s: %s", order, try+1, id, n.Name, result)
		promised := result.Err == nil && strings.Contains(" 408 421 429 503 ", fmt.Sprintf(" %d ", result.Status))
		if !promised {
			return
		}
		b.mu.Lock()
		ran := b.runs[id]
		b.mu.Unlock()
		if ran > 0 {
			b.rig.Violation("REFUSED: %s of %s, a request that isn't idempotent, is answered %d and has run", id, order, result.Status)
		}
		time.Sleep(100 * time.Millisecond)
	}
}
