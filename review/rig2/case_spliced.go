package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["spliced"] = spliced }

const (
	// splicedEvents is the number of events of a stream, splicedPause the time between two, and
	// splicedWork that before the first.
	splicedEvents = 8
	splicedPause  = 40 * time.Millisecond
	splicedWork   = 30 * time.Millisecond
	// greyShare is the part of the requests that fail at the engine that fails part of them.
	greyShare = 0.45
	// greyBody is the body of its failures.
	greyBody = `{"error":"no such subject"}`
)

// splicedEvent is one event of the stream, the same from each engine.
func splicedEvent(n int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %d\n\n", n, n, splicedEvents)
}

// spliced runs clients of a resumable streaming route, while three engines of 21 fail a part of their requests
// and six of the others crash and come back, four times.
func spliced(d *deployment) int {
	var whole strings.Builder
	for n := range splicedEvents {
		whole.WriteString(splicedEvent(n + 1))
	}
	var mu sync.Mutex
	attempts := map[string][]string{}
	crashed := false
	var engines []*engine
	serve := func(e *engine, a *arrival) bool {
		after, _ := strconv.Atoi(a.req.Header.Get("Last-Event-Id"))
		mu.Lock()
		what := fmt.Sprintf("%s after event %d", a.seal, after)
		fails := false
		if d.trouble && slices.Index(engines, e) >= 18 {
			fails = rand.Float64() < greyShare
		}
		if fails {
			what += " (failed with 404)"
		}
		attempts[a.id] = append(attempts[a.id], what)
		mu.Unlock()
		if fails {
			answer(a.conn, 404, map[string]string{"Mangostage-Attempt-Id": a.id, sealHeader: a.seal, "Content-Type": "application/json"}, []byte(greyBody))
			return true
		}
		time.Sleep(splicedWork)
		return a.sendEvents(after+1, splicedEvents, splicedPause, splicedEvent) == nil
	}
	mu.Lock()
	for i := range 21 {
		engines = append(engines, startEngine(d, "watch", 30+i, serve))
	}
	mu.Unlock()
	d.store.put("op/config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-watch", "host": "watch.example", "prefix": "/watch/", "route_kind": "streaming", "timeout_ms": 6000,
			"slo_ms": 600, "priority": 1, "service": "watch", "max_attempts": 2, "public": false, "sticky": false, "resumable": true,
			"itl_target_ms": 200,
		}},
		"services": []any{map[string]any{"name": "watch", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false}},
		"limits":   configLimits,
		"tenants":  configTenants,
	})
	if !d.startNodes(3, 8) {
		return noRun
	}
	stop := make(chan struct{})
	var done sync.WaitGroup
	var replies []reply
	for range 96 {
		done.Go(func() {
			client(d.nodes, stop, 20*time.Millisecond, func(c *conn) reply {
				return c.do("POST", "watch.example", "/watch/"+newID(), "Accept: text/event-stream\r\n", "subject", 6*time.Second)
			}, func(r reply) {
				mu.Lock()
				defer mu.Unlock()
				replies = append(replies, r)
			})
		})
	}
	for round := range 4 {
		time.Sleep(3 * time.Second)
		hit := engines[6*(round%3) : 6*(round%3)+6]
		if d.trouble {
			crashed = true
			for _, e := range hit {
				e.crash()
			}
		}
		time.Sleep(4 * time.Second)
		if d.trouble {
			for _, e := range hit {
				e.start()
			}
		}
	}
	time.Sleep(2 * time.Second)
	close(stop)
	done.Wait()
	mu.Lock()
	defer mu.Unlock()
	served, resumed, wrong := 0, 0, 0
	for _, r := range replies {
		d.note("attempt %s sent at %.3f: %s; runs: %s", r.id, r.sent.Sub(d.began).Seconds(), r, strings.Join(attempts[r.id], ", "))
		if !r.whole || r.status != 200 {
			continue
		}
		served++
		if len(attempts[r.id]) > 1 {
			resumed++
		}
		if r.body != whole.String() {
			wrong++
			d.note("  its body is not the stream:\n%s", r.body)
		}
	}
	if served < 500 || crashed && resumed == 0 {
		d.note("%d of %d attempts served, %d resumed", served, len(replies), resumed)
		return noRun
	}
	return d.verdict(wrong == 0, "of %d whole answers with success (%d of them resumed at another engine), %d are not the whole stream", served, resumed, wrong)
}
