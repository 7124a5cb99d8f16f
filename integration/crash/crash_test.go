package crash

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// checkStopped sends content that crashes endpoints to all gateways in turn and checks that
// it is stopped.
func checkStopped(t *testing.T, route string, interval time.Duration, most int, change func(*crashRig)) {
	t.Helper()
	t.Parallel()
	r := newCrashRig(t, change)
	r.sendEvery(interval, 6*time.Second, route, crashContent)
	lost := int(r.lost.Load())
	assert.Assert(t, lost <= most, "%d endpoints lost", lost)
	for i := range r.frontends {
		r.checkRefused(i, route)
	}
	r.checkServed(route, r.uniqueBody())
}

// Guards against content that crashes one plain endpoint after the other: five times a
// second, before the answer, after its head and in its body.
func TestCrashingContentAtPlainEndpoints(t *testing.T) {
	for name, at := range map[string]breakPoint{"before the head": beforeHead, "after the head": afterHead, "in the body": inBody} {
		t.Run(name, func(t *testing.T) {
			checkStopped(t, "plain", crashInterval, maxEndpointsLost, func(r *crashRig) { r.at = at })
		})
	}
}

// Guards against content that crashes one model engine after the other: before the answer,
// after its head and in the stream.
func TestCrashingContentAtModelEngines(t *testing.T) {
	for name, at := range map[string]breakPoint{"before the head": beforeHead, "after the head": afterHead, "in the stream": inBody} {
		t.Run(name, func(t *testing.T) {
			checkStopped(t, "model", crashInterval, maxEndpointsLost, func(r *crashRig) { r.at = at })
		})
	}
}

// Guards against content that crashes one model engine after the other where their streams
// look whole: the end of the engine is the end of a stream without a length or chunks.
func TestCrashingContentBetweenEvents(t *testing.T) {
	checkStopped(t, "model", crashInterval, maxEndpointsLost, func(r *crashRig) { r.at = betweenEvents })
}

// Guards against content that crashes one endpoint of a stage after the other: calls of the
// queue's owner that break are nobody's crashes.
func TestCrashingContentAtStages(t *testing.T) {
	checkStopped(t, "staged", crashInterval, maxEndpointsLost, func(r *crashRig) { r.crashesStage = true })
}

// Guards against content that comes slowly and crashes an endpoint each time, of which each
// entry lapses seconds later.
func TestSlowCrashingContent(t *testing.T) {
	for _, route := range []string{"plain", "model"} {
		t.Run(route, func(t *testing.T) { checkStopped(t, route, 900*time.Millisecond, 3, nil) })
	}
}

// Guards against crashes that are not known because the store is away: no entry lapses.
func TestCrashingContentWithoutStore(t *testing.T) {
	t.Parallel()
	r := newCrashRig(t, func(r *crashRig) { r.keepEntries = true })
	r.store.SetBeforeCall(func(string) bool { return false })
	r.sendEvery(crashInterval, 6*time.Second, "plain", crashContent)
	lost := int(r.lost.Load())
	assert.Assert(t, lost <= maxEndpointsLost, "%d endpoints lost", lost)
	r.store.SetBeforeCall(nil)
}

// Guards against endpoints that are back under their IDs before their entries lapse: to the
// store they were never away.
func TestCrashingContentAtEndpointsBackUnderTheirIDs(t *testing.T) {
	for _, route := range []string{"plain", "model"} {
		t.Run(route, func(t *testing.T) {
			checkStopped(t, route, crashInterval, maxEndpointsLost, func(r *crashRig) { r.sameID = true })
		})
	}
}

// Guards against a gateway that starts after the crashes and does not know the content.
func TestCrashingContentAtGatewayThatStartsLater(t *testing.T) {
	for _, route := range []string{"plain", "model"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			r := newCrashRig(t, nil)
			r.sendEvery(crashInterval, 4*time.Second, route, crashContent)
			r.startGateway()
			late := len(r.frontends) - 1
			for r.send(late, "plain", r.uniqueBody()).status == 0 {
				waitUntil(time.Now(), 20*time.Millisecond)
			}
			for range 20 {
				r.send(late, route, crashContent)
				waitUntil(time.Now(), 50*time.Millisecond)
			}
			lost := int(r.lost.Load())
			assert.Assert(t, lost <= maxEndpointsLost, "%d endpoints lost", lost)
			r.checkRefused(late, route)
		})
	}
}

// Guards against a second wave of crashes: copies that were in flight when the content was
// found to crash endpoints are retried.
func TestCopiesOfCrashingContent(t *testing.T) {
	const copies = 6
	for _, route := range []string{"plain", "model"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			r := newCrashRig(t, nil)
			var running sync.WaitGroup
			for i := range copies {
				running.Go(func() { r.send(i%crashMembers, route, crashContent) })
			}
			running.Wait()
			r.sendEvery(crashInterval, 3*time.Second, route, crashContent)
			lost := int(r.lost.Load())
			assert.Assert(t, lost <= 3+copies, "%d endpoints lost", lost)
		})
	}
}

// Guards against a gateway that was frozen and sends, when it wakes, what it had admitted
// before the crashes or gets before it has heard of them.
func TestCrashingContentAtGatewayThatWasFrozen(t *testing.T) {
	t.Parallel()
	r := newCrashRig(t, nil)
	frozen := 2
	r.members[frozen].Stop()
	var running sync.WaitGroup
	for range 4 {
		running.Go(func() { r.send(frozen, "plain", crashContent) })
	}
	for i := range 10 {
		r.send(i%2, "plain", crashContent)
		waitUntil(time.Now(), crashInterval)
	}
	before := r.lost.Load()
	r.members[frozen].Cont()
	running.Wait()
	for range 5 {
		r.send(frozen, "plain", crashContent)
	}
	assert.Assert(t, before >= 3)
	assert.Assert(t, r.lost.Load() <= maxEndpointsLost, "%d endpoints lost, %d of them before the gateway woke", r.lost.Load(), before)
}

// Guards against callers who are refused because their requests ran beside the content that
// crashes endpoints, often or seldom.
func TestContentBesideCrashesIsServed(t *testing.T) {
	for _, route := range []string{"plain", "model", "staged"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			r := newCrashRig(t, func(r *crashRig) { r.crashesStage = route == "staged" })
			var running sync.WaitGroup
			var popular []reply
			running.Go(func() { popular = r.sendEvery(15*time.Millisecond, 5*time.Second, route, "popular") })
			running.Go(func() { r.sendEvery(crashInterval, 4*time.Second, route, crashContent) })
			running.Wait()
			lost := int(r.lost.Load())
			assert.Assert(t, lost <= maxEndpointsLost, "%d endpoints lost", lost)
			refused := 0
			for _, got := range popular {
				if got.reason != "" {
					refused++
				}
			}
			assert.Equal(t, refused, 0, "of %d", len(popular))
			r.checkServed(route, "popular")
		})
	}
}

// powerLoss crashes the first n endpoints of a service, at an interval.
func (r *crashRig) powerLoss(service string, n int, interval time.Duration) {
	began := time.Now()
	for _, e := range r.endpoints[service][:n] {
		r.crash(e)
		waitUntil(time.Now(), interval)
	}
	r.t.Logf("%d endpoints of %s lost power within %v", n, service, time.Since(began))
}

// Guards against callers who are refused in the calm after endpoints have lost power
// together, some or all, at once or in series, under content that ran on each of them.
func TestContentIsServedAfterPowerLoss(t *testing.T) {
	cases := map[string]struct {
		endpoints int
		interval  time.Duration
	}{
		"all":           {endpoints: crashEndpoints},
		"some":          {endpoints: 6},
		"all in series": {endpoints: crashEndpoints, interval: 150 * time.Millisecond},
	}
	for name, loss := range cases {
		for route, service := range map[string]string{"plain": "shop", "model": "llm"} {
			t.Run(fmt.Sprintf("%s, %s", route, name), func(t *testing.T) {
				t.Parallel()
				r := newCrashRig(t, func(r *crashRig) { r.runTime = 300 * time.Millisecond })
				var running sync.WaitGroup
				for _, body := range []string{"popular", "often", "seldom"} {
					interval := map[string]time.Duration{"popular": 10 * time.Millisecond, "often": 50 * time.Millisecond, "seldom": 400 * time.Millisecond}[body]
					running.Go(func() { r.sendEvery(interval, 2*time.Second, route, body) })
				}
				waitUntil(time.Now(), 500*time.Millisecond)
				r.powerLoss(service, loss.endpoints, loss.interval)
				running.Wait()
				waitUntil(time.Now(), restartTime+time.Second)
				for _, body := range []string{"popular", "often", "seldom"} {
					r.checkServed(route, body)
				}
			})
		}
	}
}

// Guards against support that cannot tell why a request was refused: its line names the
// content, and every gateway's log leads from there to the crashes.
func TestLogsLeadFromARefusalToItsCrashes(t *testing.T) {
	t.Parallel()
	r := newCrashRig(t, nil)
	r.sendEvery(crashInterval, 2*time.Second, "model", crashContent)
	r.checkRefused(1, "model")
	var content string
	for line := range strings.Lines(string(r.members[1].Log())) {
		var said struct{ Reason, Content string }
		if json.Unmarshal([]byte(line), &said) == nil && said.Reason == "crashes_endpoints" {
			content = said.Content
		}
	}
	assert.Assert(t, content != "")
	for _, m := range r.members {
		quote := `"content":"` + content + `"`
		crashes := 0
		for line := range strings.Lines(string(m.Log())) {
			if strings.Contains(line, `"event":"endpoint_crashed"`) && strings.Contains(line, quote) {
				crashes++
			}
		}
		assert.Equal(t, crashes, 3, "%s", m.Name)
		assert.Assert(t, m.LogHas(`"event":"content_standing"`, quote, `"now":"quarantined"`))
	}
}
