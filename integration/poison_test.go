package integration

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/fake"
	"github.com/mangostage/mangostage/internal/harness"
)

const (
	poolEngines   = "fitting-engines"
	pipelineNotes = "fitting-notes"
	// poison is in the input that crashes whatever engine runs it.
	poison = "poison"
	// resends is how often its caller sends it, one after another.
	crashSubmissions = 30
	// atOnce is the longest that a refusal without a run may take; the machine
	// is shared.
	maxRefusalTime = time.Second
)

// A caller's request crashes each engine that runs it. The caller sends it again
// and again, through both entries in turn. Each crash takes the engine's other
// calls along. The crashes end at a stated number; everybody else is answered,
// and the caller is told at once when to come back.
func TestCrashingRequestIsStopped(t *testing.T) {
	for _, partitioned := range []bool{false, true} {
		t.Run(fmt.Sprintf("parted=%v", partitioned), func(t *testing.T) { testCrashingRequest(t, partitioned) })
	}
}

func testCrashingRequest(t *testing.T, partitioned bool) {
	fleet := harness.Start(t, harness.Config{
		Pools:      map[string]int{"encoders": 1, "retrievers": 1, poolEngines: 6},
		ProxyPeers: true,
	})
	if partitioned {
		fleet.Link("entry-1", "entry-2").Cut()
	}
	crashOn := poison
	for _, e := range fleet.PoolEndpoints(poolEngines) {
		e.Apply(fake.Control{CrashOn: &crashOn})
	}
	tr := startTraffic(t, fleet, 12, plainCall(pipelineNotes))
	tr.mustAnswer = true
	harness.Wait(t, waitTimeout, func() error { return answeredSince(tr, 0, 50) })

	var last *harness.Reply
	for i := range crashSubmissions {
		last = fleet.Send(t.Context(), i%2, plainCall(pipelineNotes)(poison))
		assert.NilError(t, last.Err)
		assert.Assert(t, last.Outcome() != api.OutcomeAnswered, "%s", last.Body)
	}
	// Package suspect states the bound: the policy's limit and the copies that
	// another entry began before it heard; for each part if the entries are parted.
	limit := fleet.Bundle.Policy.CrashLimit + len(fleet.Entries()) - 1
	if partitioned {
		limit = fleet.Bundle.Policy.CrashLimit * len(fleet.Entries())
	}
	crashes := countCrashes(fleet)
	t.Logf("%d sendings, %d crashes, at most %d allowed; the last was refused after %v", crashSubmissions, crashes, limit, last.Took)
	assert.Assert(t, crashes >= 1 && crashes <= limit, "%d crashes", crashes)

	assert.Equal(t, last.Outcome(), api.OutcomeRefused, "%s", last.Body)
	assert.Equal(t, last.Reason(), api.ReasonSuspectRequest)
	assert.Equal(t, last.Status, http.StatusServiceUnavailable)
	assert.Assert(t, last.Header.Get("Retry-After") != "")
	assert.Assert(t, last.Took < maxRefusalTime, "refused after %v", last.Took)

	answered := tr.answered.Load()
	harness.Wait(t, waitTimeout, func() error { return answeredSince(tr, answered, 100) })
	tr.finish(t)
	assert.Equal(t, countCrashes(fleet), crashes, "crashes after the refusal")
}

// The policy allows one attempt, so that each sending of the request that crashes
// engines crashes one, after its earlier stages have succeeded. These
// successes say nothing of the stage that crashes: the crashes of one sending
// and the next must add up, or the caller could go on for ever.
func TestCrashesAddUpOverSubmissions(t *testing.T) {
	fleet := harness.Start(t, harness.Config{
		Pools: map[string]int{"encoders": 1, "retrievers": 1, poolEngines: 2},
		Edit:  func(b *bundle.Bundle) { b.Policy.MaxAttempts = 1 },
	})
	crashOn := poison
	for _, e := range fleet.PoolEndpoints(poolEngines) {
		e.Apply(fake.Control{CrashOn: &crashOn})
	}
	for range crashSubmissions {
		harness.Wait(t, waitTimeout, func() error { return anyUsable(t, fleet, poolEngines) })
		reply := fleet.Send(t.Context(), 0, plainCall(pipelineNotes)(poison))
		assert.NilError(t, reply.Err)
		assert.Assert(t, reply.Outcome() != api.OutcomeAnswered, "%s", reply.Body)
	}
	crashes := countCrashes(fleet)
	t.Logf("%d sendings, %d crashes", crashSubmissions, crashes)
	assert.Assert(t, crashes >= 1 && crashes <= fleet.Bundle.Policy.CrashLimit, "%d crashes", crashes)
}

// anyUsable returns nil if the first entry would send work to some endpoint of a pool.
func anyUsable(t *testing.T, fleet *harness.Fleet, pool string) error {
	list, err := fleet.Status(t.Context(), 0)
	if err != nil {
		return err
	}
	for _, report := range list[0].Status.Peers {
		if report.Pool == pool && !report.Down && !report.Draining {
			return nil
		}
	}
	return fmt.Errorf("no endpoint of %s is up", pool)
}

func countCrashes(fleet *harness.Fleet) int {
	n := 0
	for _, e := range fleet.PoolEndpoints(poolEngines) {
		n += e.Counts().Crashes
	}
	return n
}
