package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// joinedEvents is the number of events of an answer, joinedPause the time between two.
const (
	joinedEvents = 8
	joinedPause  = 40 * time.Millisecond
)

func init() { cases["joined"] = joined }

// eventText is one event of a run: who made it stands in each.
func eventText(a *arrival, n int) string {
	return fmt.Sprintf("id: %d\ndata: event %d of %d of run %s\n\n", n, n, joinedEvents, a.seal)
}

// joined runs clients of an idempotent route whose answers are event streams, while one engine of
// four crashes and comes back, three times.
func joined(d *deployment) int {
	var mu sync.Mutex
	bodies := map[string]string{}
	ends := map[string]string{}
	attempts := map[string][]string{}
	serve := func(e *engine, a *arrival) bool {
		var whole strings.Builder
		for n := range joinedEvents {
			whole.WriteString(eventText(a, n+1))
		}
		mu.Lock()
		bodies[a.seal], ends[a.seal] = whole.String(), "ended before its last event"
		attempts[a.id] = append(attempts[a.id], a.seal)
		mu.Unlock()
		err := a.sendEvents(1, joinedEvents, joinedPause, func(n int) string { return eventText(a, n) })
		if err == nil {
			mu.Lock()
			ends[a.seal] = "whole"
			mu.Unlock()
		}
		return err == nil
	}
	var engines []*engine
	for i := range 4 {
		engines = append(engines, startEngine(d, "feed", 30+i, serve))
	}
	d.store.put("op/config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-feed", "host": "feed.example", "prefix": "/feed/", "route_kind": "idempotent", "timeout_ms": 4000,
			"slo_ms": 600, "priority": 1, "service": "feed", "max_attempts": 2, "public": false, "sticky": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "feed", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false}},
		"limits":   configLimits,
		"tenants":  configTenants,
	})
	if !d.startNodes(3, 8) {
		return noRun
	}
	stop := make(chan struct{})
	var done sync.WaitGroup
	var replies []reply
	for range 12 {
		done.Go(func() {
			client(d.nodes, stop, 20*time.Millisecond, func(c *conn) reply {
				return c.do("GET", "feed.example", "/feed/"+newID(), "Accept: text/event-stream\r\n", "", 4*time.Second)
			}, func(r reply) {
				mu.Lock()
				defer mu.Unlock()
				replies = append(replies, r)
			})
		})
	}
	for round := range 3 {
		time.Sleep(3 * time.Second)
		e := engines[round]
		if d.trouble {
			e.crash()
		}
		time.Sleep(3 * time.Second)
		if d.trouble {
			e.start()
		}
	}
	time.Sleep(2 * time.Second)
	close(stop)
	done.Wait()
	mu.Lock()
	defer mu.Unlock()
	served, wrong := 0, 0
	for _, r := range replies {
		runs := make([]string, 0, 2)
		for _, seal := range attempts[r.id] {
			runs = append(runs, seal+" ("+ends[seal]+")")
		}
		d.note("attempt %s sent at %.3f: %s; runs: %s", r.id, r.sent.Sub(d.began).Seconds(), r, strings.Join(runs, ", "))
		if !r.whole || r.status != 200 {
			continue
		}
		served++
		if r.body != bodies[r.seal] {
			wrong++
			d.note("  its body is not the whole body of run %s:\n%s", r.seal, r.body)
		}
	}
	if served < 100 {
		d.note("only %d of %d attempts were served", served, len(replies))
		return noRun
	}
	return d.verdict(wrong == 0, "of %d whole answers with success, %d have a body that is not the whole body of the run whose seal they bear", served, wrong)
}
