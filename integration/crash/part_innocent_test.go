package crash

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/platform/standin"
)

// checkNoneRefused checks that no request was refused for a part.
func (r *crashRig) checkNoneRefused(outcomes []outcome) {
	r.t.Helper()
	refused := 0
	for _, got := range outcomes {
		if got.reason != "" {
			refused++
		}
	}
	assert.Check(r.t, refused == 0, "%d of %d requests refused", refused, len(outcomes))
	if refused > 0 {
		r.logPartStandings()
	}
}

// logPartStandings logs what the gateways said of the standing of parts.
func (r *crashRig) logPartStandings() {
	for _, m := range r.members {
		for line := range bytes.Lines(m.Log()) {
			if bytes.Contains(line, []byte(`"part_standing"`)) {
				r.t.Logf("%s: %s", m.Name, bytes.TrimSpace(line))
			}
		}
	}
}

// Guards against parts that are refused because endpoints lost power under them: all, some
// again and again, one after the other; parts that all requests share, many do, or few.
func TestPartsAreServedAfterPowerLoss(t *testing.T) {
	cases := map[string]struct {
		endpoints int
		interval  time.Duration
		times     int
		runTime   time.Duration
		// first is when the first endpoint is lost; 0 means after the first answers.
		first time.Duration
	}{
		"all":                {endpoints: crashEndpoints, times: 1, runTime: 300 * time.Millisecond},
		"a third, again":     {endpoints: crashEndpoints / 3, times: 3, runTime: 300 * time.Millisecond},
		"each 0.7 s":         {endpoints: crashEndpoints, interval: 700 * time.Millisecond, times: 1, runTime: 300 * time.Millisecond},
		"each 0.7 s, long":   {endpoints: crashEndpoints, interval: 700 * time.Millisecond, times: 1, runTime: 3 * time.Second},
		"each 0.15 s":        {endpoints: crashEndpoints, interval: 150 * time.Millisecond, times: 1, runTime: 300 * time.Millisecond},
		"all, long":          {endpoints: crashEndpoints, times: 1, runTime: 3 * time.Second},
		"before any answers": {endpoints: crashEndpoints / 2, times: 2, runTime: 3 * time.Second, first: time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newCrashRig(t, func(r *crashRig) { r.runTime = c.runTime })
			var running sync.WaitGroup
			var often, seldom []outcome
			running.Go(func() { often = r.sendPrompts(soundInterval, 14*time.Second, soundParts) })
			running.Go(func() {
				seldom = r.sendPrompts(400*time.Millisecond, 14*time.Second, func(n int) []string { return []string{"f0", "aa", fmt.Sprintf("b%d", n%3)} })
			})
			if c.first == 0 {
				c.first = time.Second + c.runTime
			}
			waitUntil(time.Now(), c.first)
			for range c.times {
				r.powerLoss("llm", c.endpoints, c.interval)
				waitUntil(time.Now(), restartTime+300*time.Millisecond)
			}
			running.Wait()
			r.checkNoneRefused(often)
			r.checkNoneRefused(seldom)
		})
	}
}

// Guards against parts that are refused because software crashes on everything: a part of the
// engines, or a content that shares the parts.
func TestPartsBesideOtherCrashesAreServed(t *testing.T) {
	cases := map[string]func(*crashRig){
		"a quarter of the engines crashes on everything": func(r *crashRig) {
			r.onRun = func(e *crashEndpoint, _ string) {
				if e.service == "llm" && e.index < crashEndpoints/4 {
					waitUntil(time.Now(), crashDelay)
					r.crash(e)
					standin.AbortAnswer()
				}
			}
		},
		"one content crashes": func(*crashRig) {},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newCrashRig(t, change)
			var running sync.WaitGroup
			var sound []outcome
			running.Go(func() { sound = r.sendPrompts(soundInterval, 8*time.Second, soundParts) })
			waitUntil(time.Now(), 500*time.Millisecond)
			if name == "one content crashes" {
				for n := range 30 {
					r.sendPrompt(n%len(r.frontends), "model", crashContent, "f0:100,aa:100,77:10")
					waitUntil(time.Now(), crashInterval)
				}
				for i := range r.frontends {
					got := r.sendPrompt(i, "model", r.uniqueBody(), r.promptOf("f0", "aa"))
					assert.Check(t, got.status == http.StatusOK, "gateway %d: %+v", i+1, got)
				}
			}
			running.Wait()
			r.checkNoneRefused(sound)
		})
	}
}

// Guards against companions that stay refused with a part that they never came without: each
// is served when it comes alone, and the part is not.
func TestCompanionOfDeadlyPartIsServedAlone(t *testing.T) {
	t.Parallel()
	r := newCrashRig(t, nil)
	r.deadly.set("dead")
	r.sendPrompts(crashInterval, 3*time.Second, fixedParts("a1", "dead", "a2"))
	for i := range r.frontends {
		r.checkPartRefused(i, "a1", "dead", "a2")
	}
	for i := range r.frontends {
		got := r.sendPrompt(i, "model", r.uniqueBody(), r.promptOf("a1", "a2"))
		assert.Check(t, got.status == http.StatusOK, "gateway %d: %+v", i+1, got)
	}
	r.checkPartRefused(0, "dead")
	lost := r.deadly.endpointsLost()
	assert.Check(t, lost <= partLimit+1, "%d endpoints lost", lost)
}

// Guards against a part that stays refused although the engines no longer crash on it: one
// trial is answered, and then all requests with it are.
func TestPartIsServedOnceEnginesAreMended(t *testing.T) {
	t.Parallel()
	const untilTrial = time.Minute
	r := newCrashRig(t, nil)
	r.deadly.set("dead")
	r.sendPrompts(crashInterval, 2*time.Second, fixedParts("f0", "dead"))
	r.foundAt("dead")
	r.deadly.set()
	r.checkPartRefused(0, "f0", "dead")
	waitUntil(time.Now(), untilTrial)
	const told = 200 * time.Millisecond
	for i := range r.frontends {
		waitUntil(time.Now(), told)
		got := r.sendPrompt(i, "model", r.uniqueBody(), r.promptOf("f0", "dead"))
		assert.Check(t, got.status == http.StatusOK, "gateway %d: %+v", i+1, got)
	}
}

// Guards against a gateway that starts after the part was found, or was frozen meanwhile, and
// sends what crashes engines.
func TestDeadlyPartAtGatewaysThatDidNotHear(t *testing.T) {
	t.Parallel()
	r := newCrashRig(t, nil)
	r.deadly.set("dead")
	frozen := 2
	r.members[frozen].Stop()
	var running sync.WaitGroup
	for range 3 {
		running.Go(func() { r.sendPrompt(frozen, "model", r.uniqueBody(), r.promptOf("f0", "dead")) })
	}
	for n := range 12 {
		r.sendPrompt(n%2, "model", r.uniqueBody(), r.promptOf("f0", "dead"))
		waitUntil(time.Now(), crashInterval)
	}
	r.members[frozen].Cont()
	r.startGateway()
	late := len(r.frontends) - 1
	for r.send(late, "plain", r.uniqueBody()).status == 0 {
		waitUntil(time.Now(), 20*time.Millisecond)
	}
	for range 15 {
		r.sendPrompt(late, "model", r.uniqueBody(), r.promptOf("f0", "dead"))
		r.sendPrompt(frozen, "model", r.uniqueBody(), r.promptOf("f0", "dead"))
		waitUntil(time.Now(), 50*time.Millisecond)
	}
	running.Wait()
	lost := r.deadly.endpointsLost()
	assert.Check(t, lost <= partLimit+1, "%d endpoints lost", lost)
	r.checkPartRefused(late, "f0", "dead")
}

// Guards against a part that is found anew after the owner of the queue is gone.
func TestDeadlyPartWhileOwnersAreKilled(t *testing.T) {
	t.Parallel()
	r := newCrashRig(t, func(r *crashRig) { r.size = 4 })
	r.deadly.set("dead")
	var running sync.WaitGroup
	running.Go(func() { r.sendPrompts(crashInterval, 6*time.Second, fixedParts("f0", "dead")) })
	for i := range 2 {
		waitUntil(time.Now(), 700*time.Millisecond)
		r.members[i].Kill()
		r.members[i].Restart()
	}
	running.Wait()
	lost, late := r.deadly.endpointsLost(), r.deadly.late("dead", r.foundAt("dead"))
	assert.Check(t, lost <= partLimit+1, "%d endpoints lost", lost)
	assert.Check(t, late <= maxLateReaches, "%d late", late)
	r.checkPartRefused(3, "f0", "dead")
}
