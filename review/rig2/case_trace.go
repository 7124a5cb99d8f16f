package main

import (
	"strings"
	"sync"
	"time"
)

func init() { cases["trace"] = trace }

const (
	// lostTimes is how often engines lose answers, each time for lostFor and lostPause after the time
	// before; they lose that of every lostEvery-th request that they run.
	lostTimes = 4
	lostPause = 3 * time.Second
	lostFor   = 4 * time.Second
	lostEvery = 17
)

// trace runs clients of a non-idempotent route, with the methods POST and TRACE by turns, while half of the
// engines lose the answers to some of the requests that they ran.
func trace(d *deployment) int {
	var mu sync.Mutex
	ran := map[string][]string{}
	losing, lost := false, 0
	served := map[*engine]int{}
	var engines []*engine
	serve := func(e *engine, a *arrival) bool {
		time.Sleep(10 * time.Millisecond)
		mu.Lock()
		ran[a.id] = append(ran[a.id], a.req.Method+" run "+a.seal)
		served[e]++
		lose := losing && (e == engines[1] || e == engines[2]) && served[e]%lostEvery == 0
		if lose {
			lost++
		}
		mu.Unlock()
		if lose {
			d.note("engine %s ran attempt %s (%s) and its answer is lost", e.id, a.id, a.req.Method)
			reset(a.conn)
			return false
		}
		answer(a.conn, 200, map[string]string{"Mangostage-Attempt-Id": a.id, sealHeader: a.seal}, []byte("done"))
		return true
	}
	for i := range 4 {
		engines = append(engines, startEngine(d, "orders", 30+i, serve))
	}
	d.store.put("op/config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-orders", "host": "orders.example", "prefix": "/orders/", "route_kind": "non_idempotent", "timeout_ms": 2000,
			"slo_ms": 300, "priority": 1, "service": "orders", "max_attempts": 1, "public": false, "sticky": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "orders", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false}},
		"limits":   configLimits,
		"tenants":  configTenants,
	})
	if !d.startNodes(3, 8) {
		return noRun
	}
	stop := make(chan struct{})
	var done sync.WaitGroup
	var replies []reply
	methods := map[string]string{}
	for i := range 12 {
		method := []string{"POST", "TRACE"}[i%2]
		done.Go(func() {
			client(d.nodes, stop, 30*time.Millisecond, func(c *conn) reply {
				return c.do(method, "orders.example", "/orders/17", "", "", 4*time.Second)
			}, func(r reply) {
				mu.Lock()
				defer mu.Unlock()
				methods[r.id] = method
				replies = append(replies, r)
			})
		})
	}
	for range lostTimes {
		time.Sleep(lostPause)
		mu.Lock()
		losing = d.trouble
		mu.Unlock()
		time.Sleep(lostFor)
		mu.Lock()
		losing = false
		mu.Unlock()
	}
	time.Sleep(2 * time.Second)
	close(stop)
	done.Wait()
	mu.Lock()
	defer mu.Unlock()
	asked, twice := map[string]int{}, map[string]int{}
	for _, r := range replies {
		asked[methods[r.id]]++
		if len(ran[r.id]) > 1 {
			twice[methods[r.id]]++
		}
		d.note("attempt %s, %s, sent at %.3f: %s; %s", r.id, methods[r.id], r.sent.Sub(d.began).Seconds(), r, strings.Join(ran[r.id], ", "))
	}
	if len(replies) < 500 || d.trouble && lost == 0 {
		d.note("%d attempts, %d lost answers", len(replies), lost)
		return noRun
	}
	return d.verdict(twice["POST"]+twice["TRACE"] == 0, "attempts of a non-idempotent route that ran more than once: %d of %d with POST, %d of %d with TRACE; %d answers were lost",
		twice["POST"], asked["POST"], twice["TRACE"], asked["TRACE"], lost)
}
