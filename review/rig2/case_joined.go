package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

// joinedParts is the number of parts of an answer, joinedPause the time between two. joinedDown is how
// long an engine is down.
const (
	joinedParts = 8
	joinedPause = 40 * time.Millisecond
	joinedDown  = 2 * time.Second
)

func init() { cases["joined"] = joined }

// joinedCase is what is known of the answers of the case.
type joinedCase struct {
	mu sync.Mutex
	// bodies holds the whole body of each run, ends how it ended, both by seal; runs holds the seals
	// of the runs of each attempt, kinds its kind.
	bodies, ends, kinds map[string]string
	runs                map[string][]string
	replies             []reply
}

// begin records a run and its whole body.
func (j *joinedCase) begin(a *arrival, body string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.bodies[a.seal], j.ends[a.seal] = body, "ended before its end"
	j.runs[a.id] = append(j.runs[a.id], a.seal)
}

// end records how a run ended.
func (j *joinedCase) end(a *arrival, err error) bool {
	if err == nil {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.ends[a.seal] = "whole"
	}
	return err == nil
}

// serveEvents answers with a stream of events. Who made it stands in each.
func (j *joinedCase) serveEvents(_ *engine, a *arrival) bool {
	event := func(n int) string {
		return fmt.Sprintf("id: %d\ndata: event %d of %d of run %s\n\n", n, n, joinedParts, a.seal)
	}
	j.begin(a, parts(event))
	return j.end(a, a.sendEvents(1, joinedParts, joinedPause, event))
}

// serveText answers with a text of some paragraphs, with its length.
func (j *joinedCase) serveText(_ *engine, a *arrival) bool {
	paragraph := func(n int) string {
		return fmt.Sprintf("Paragraph %d of %d, written by run %s.\n\n", n, joinedParts, a.seal)
	}
	whole := parts(paragraph)
	j.begin(a, whole)
	_, err := io.WriteString(a.conn, a.head(fmt.Sprintf("Content-Type: text/plain\r\nContent-Length: %d\r\n", len(whole))))
	for n := 1; n <= joinedParts && err == nil; n++ {
		_, err = io.WriteString(a.conn, paragraph(n))
		time.Sleep(joinedPause)
	}
	return j.end(a, err)
}

// parts joins the parts of an answer.
func parts(part func(n int) string) string {
	var whole strings.Builder
	for n := range joinedParts {
		whole.WriteString(part(n + 1))
	}
	return whole.String()
}

// joined runs clients of two idempotent routes, one answered by event streams of a plain service and one by
// texts of a model's engines, while one engine of four of each service crashes and comes back, three times.
func joined(d *deployment) int {
	j := &joinedCase{bodies: map[string]string{}, ends: map[string]string{}, kinds: map[string]string{}, runs: map[string][]string{}}
	var feeds, writers []*engine
	for i := range 4 {
		feeds = append(feeds, startEngine(d, "feed", 30+i, j.serveEvents))
		writers = append(writers, startEngine(d, "llm", 40+i, j.serveText))
	}
	d.store.put("op/config", map[string]any{
		"version": 3,
		"routes": []any{
			map[string]any{
				"name": "r-feed", "host": "feed.example", "prefix": "/feed/", "route_kind": "idempotent", "timeout_ms": 4000,
				"slo_ms": 600, "priority": 1, "service": "feed", "max_attempts": 2, "public": false, "sticky": false, "resumable": false,
			},
			map[string]any{
				"name": "r-note", "host": "note.example", "prefix": "/note/", "route_kind": "idempotent", "timeout_ms": 4000,
				"slo_ms": 2000, "priority": 1, "service": "llm", "max_attempts": 2, "public": false, "sticky": true, "resumable": false,
			},
		},
		"services": []any{
			map[string]any{"name": "feed", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false},
			modelService("llm"),
		},
		"limits":  configLimits,
		"tenants": configTenants,
	})
	if !d.startNodes(3, 8) {
		return noRun
	}
	stop := make(chan struct{})
	var done sync.WaitGroup
	for range 12 {
		done.Go(func() {
			client(d.nodes, stop, 20*time.Millisecond, func(c *conn) reply {
				return c.do("GET", "feed.example", "/feed/"+newID(), "Accept: text/event-stream\r\n", "", 4*time.Second)
			}, j.got("event stream"))
		})
		done.Go(func() {
			client(d.nodes, stop, 20*time.Millisecond, func(c *conn) reply {
				return c.do("POST", "note.example", "/note/"+newID(), modelHeaders(), "prompt", 4*time.Second)
			}, j.got("text"))
		})
	}
	for round := range 3 {
		time.Sleep(4 * time.Second)
		down := []*engine{feeds[round], writers[round]}
		for _, e := range down {
			if d.trouble {
				e.crash()
			}
		}
		time.Sleep(joinedDown)
		for _, e := range down {
			if d.trouble {
				e.start()
			}
		}
	}
	time.Sleep(2 * time.Second)
	close(stop)
	done.Wait()
	return j.judge(d)
}

// got returns a function that records a client's replies.
func (j *joinedCase) got(kind string) func(reply) {
	return func(r reply) {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.kinds[r.id] = kind
		j.replies = append(j.replies, r)
	}
}

// judge compares the body of each whole success with that of the run whose seal it bears.
func (j *joinedCase) judge(d *deployment) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	served, wrong := map[string]int{}, map[string]int{}
	for _, r := range j.replies {
		kind := j.kinds[r.id]
		runs := make([]string, 0, 2)
		for _, seal := range j.runs[r.id] {
			runs = append(runs, seal+" ("+j.ends[seal]+")")
		}
		d.note("attempt %s, %s, sent at %.3f: %s; runs: %s", r.id, kind, r.sent.Sub(d.began).Seconds(), r, strings.Join(runs, ", "))
		if !r.whole || r.status != 200 {
			continue
		}
		served[kind]++
		if r.body != j.bodies[r.seal] {
			wrong[kind]++
			d.note("  its body is not the whole body of run %s:\n%s", r.seal, r.body)
		}
	}
	if served["event stream"] < 100 || served["text"] < 100 {
		d.note("served: %v", served)
		return noRun
	}
	return d.verdict(wrong["event stream"]+wrong["text"] == 0, "whole answers with success whose body is not the whole body of the run whose seal they bear: %d of %d texts of a model's engines, %d of %d event streams",
		wrong["text"], served["text"], wrong["event stream"], served["event stream"])
}
