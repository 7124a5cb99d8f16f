package main

import (
	"crypto/sha1"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["grace"] = grace }

const (
	// graceBefore and graceAfter are the bound grace_s before and after the settings have changed,
	// in seconds.
	graceBefore = 8
	graceAfter  = 3
	// graceRequests are sent together just before SIGTERM; their pieces are made one after the other.
	graceRequests = 14
	pieceTime     = 400 * time.Millisecond
)

// stageCall is the body of a call for pieces.
type stageCall struct {
	Entries []struct {
		ID      string   `json:"id"`
		Phase   int      `json:"phase"`
		Segment int      `json:"segment"`
		Key     string   `json:"key"`
		Inputs  []string `json:"inputs"`
	} `json:"entries"`
}

// grace changes the settings of a machine, tells its process so by SIGHUP, and then stops it as planned while
// requests wait for their stage.
func grace(d *deployment) int {
	var mu sync.Mutex
	pieces, ran := map[string][]work{}, map[string][]string{}
	var oneCall sync.Mutex
	stage := func(e *engine, a *arrival) bool {
		if a.req.URL.Path == "/stage-free" {
			answer(a.conn, 200, nil, nil)
			return true
		}
		var call stageCall
		if a.req.URL.Path != "/stage-run" || json.Unmarshal(a.body, &call) != nil {
			answer(a.conn, 404, nil, nil)
			return true
		}
		if !oneCall.TryLock() {
			answer(a.conn, 503, map[string]string{"Mangostage-Not-Executed": "1", "Mangostage-Instance-Load": "1,0,1"}, nil)
			return true
		}
		began, end := time.Since(d.began), time.Duration(len(call.Entries))*pieceTime
		mu.Lock()
		for _, p := range call.Entries {
			pieces[p.ID] = append(pieces[p.ID], work{began, began + end})
		}
		mu.Unlock()
		time.Sleep(end)
		results := []any{}
		for i, p := range call.Entries {
			hash := sha1.Sum([]byte(fmt.Sprint(p.ID, p.Phase, p.Segment, a.run, i)))
			results = append(results, map[string]any{"handle": e.addr + "/" + hex.EncodeToString(hash[:6])})
		}
		oneCall.Unlock()
		text, err := json.Marshal(map[string]any{"entries": results})
		check(err)
		answer(a.conn, 200, map[string]string{"Content-Type": "application/json", "Mangostage-Instance-Load": "0,0,1"}, text)
		return true
	}
	model := func(_ *engine, a *arrival) bool {
		mu.Lock()
		ran[a.id] = append(ran[a.id], fmt.Sprintf("run %s at %.3f", a.seal, time.Since(d.began).Seconds()))
		mu.Unlock()
		return a.sendEvents(1, 5, 20*time.Millisecond, func(n int) string { return fmt.Sprintf("id: %d\ndata: token\n\n", n) }) == nil
	}
	startEngine(d, "stage", 30, stage)
	startEngine(d, "llm", 31, model)
	startEngine(d, "llm", 32, model)
	d.store.put("op/config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-draft", "host": "draft.example", "prefix": "/draft/", "route_kind": "streaming", "timeout_ms": 7000,
			"slo_ms": 6500, "priority": 1, "service": "llm", "max_attempts": 1, "public": false, "sticky": true, "resumable": false,
			"itl_target_ms": 200, "stages": []any{map[string]any{"service": "stage", "after": []int{}, "byte_count": 1000}},
		}},
		"services": []any{
			modelService("llm"),
			map[string]any{"name": "stage", "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false, "segments": map[string]any{
				"slots": 1, "queue": 0, "batch": 1, "call_ms": 360.0, "item_ms": 40.0, "headroom_mb": 45.0, "handle_ttl_s": 4.0, "link_mbps": 10000,
			}},
		},
		"limits":  configLimits,
		"tenants": configTenants,
	})
	before := graceBefore
	if os.Getenv("GRACE") == "from_start" {
		// The process knows the shorter grace from its start: what it does then.
		before = graceAfter
	}
	if !d.startNodes(2, before) {
		return noRun
	}
	n := d.nodes[0]
	if d.trouble && before == graceBefore {
		n.graceS = graceAfter
		n.writeSettings()
		n.signal(syscall.SIGHUP)
		d.note("the settings of %s now have grace_s = %d; SIGHUP", n.name, n.graceS)
	}
	time.Sleep(5 * time.Second)
	var done sync.WaitGroup
	replies := make([]reply, graceRequests)
	for i := range replies {
		c, err := dialNode(n)
		check(err)
		done.Go(func() {
			replies[i] = c.do("POST", "draft.example", "/draft/1", modelHeaders()+"Mangostage-Segments: 1\r\nMangostage-Segment-Key: 7c1e07a291bd\r\n", "prompt", 7*time.Second)
		})
	}
	time.Sleep(300 * time.Millisecond)
	d.note("SIGTERM to %s; SIGKILL follows after %d s", n.name, n.graceS)
	n.signal(syscall.SIGTERM)
	term := time.Now()
	killAt := term.Add(time.Duration(n.graceS) * time.Second)
	probe := time.NewTicker(time.Second)
	defer probe.Stop()
	for waiting := true; waiting; {
		select {
		case <-probe.C:
			d.note("readiness of %s: %v", n.name, n.probe())
		case <-n.exited:
			d.note("the process of %s has ended %.3f s after SIGTERM", n.name, time.Since(term).Seconds())
			waiting = false
		case <-time.After(time.Until(killAt)):
			d.note("SIGKILL to %s", n.name)
			n.kill()
			waiting = false
		}
	}
	done.Wait()
	mu.Lock()
	defer mu.Unlock()
	lost, atWork := 0, 0
	killed := killAt.Sub(d.began)
	lastSixth := killed - time.Duration(n.graceS)*time.Second/6
	for _, r := range replies {
		d.note("attempt %s sent at %.3f: %s, after %.3f s; %v %v", r.id, r.sent.Sub(d.began).Seconds(), r, r.took.Seconds(), pieces[r.id], ran[r.id])
		switch {
		case r.whole:
		case workedIn(pieces[r.id], lastSixth, killed) || len(ran[r.id]) > 0:
			atWork++
		default:
			lost++
		}
	}
	return d.verdict(lost == 0, "of %d requests that the process had read, %d ended without an answer and were not at work at an engine in the last sixth of grace_s; %d more were at work then", len(replies), lost, atWork)
}

// work is when a piece of a request was at work, since the begin of the case.
type work struct{ from, to time.Duration }

func (w work) String() string {
	return fmt.Sprintf("piece at work from %.3f to %.3f", w.from.Seconds(), w.to.Seconds())
}

// workedIn reports whether a piece of a request was at work between two times.
func workedIn(pieces []work, from, to time.Duration) bool {
	for _, p := range pieces {
		if p.to > from && p.from < to {
			return true
		}
	}
	return false
}
