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
	// crashMarker is the marker of the input that crashes each engine that runs it.
	crashMarker = "poison"
	// crashSubmissions is how often its caller submits it, one after another.
	crashSubmissions = 30
	// maxRefusalTime bounds the time of a refusal without a run. It is long because
	// the test machine is shared.
	maxRefusalTime = time.Second
)

// TestCrashingRequestIsStopped guards against a request that crashes one engine after
// the other. Its caller submits it repeatedly through both entries in turn, and each
// crash loses the engine's other calls. The number of crashes must stay within the
// limit; all other requests must be answered, and the caller must be refused at once
// with Retry-After.
func TestCrashingRequestIsStopped(t *testing.T) {
	for _, partitioned := range []bool{false, true} {
		t.Run(fmt.Sprintf("parted=%v", partitioned), func(t *testing.T) { testCrashingRequest(t, partitioned) })
	}
}

// testCrashingRequest runs the test, with the entries cut off from each other if
// partitioned is set.
func testCrashingRequest(t *testing.T, partitioned bool) {
	fleet := harness.Start(t, harness.Config{
		Pools:      map[string]int{"encoders": 1, "retrievers": 1, poolEngines: 6},
		ProxyPeers: true,
	})
	if partitioned {
		fleet.Link("entry-1", "entry-2").Cut()
	}
	crashOn := crashMarker
	for _, e := range fleet.PoolEndpoints(poolEngines) {
		e.Apply(fake.Control{CrashOn: &crashOn})
	}
	tr := startTraffic(t, fleet, 12, plainCall(pipelineNotes))
	tr.mustAnswer = true
	harness.Wait(t, waitTimeout, func() error { return answeredSince(tr, 0, 50) })

	var last *harness.Reply
	for i := range crashSubmissions {
		last = fleet.Send(t.Context(), i%2, plainCall(pipelineNotes)(crashMarker))
		assert.NilError(t, last.Err)
		assert.Assert(t, last.Outcome() != api.OutcomeAnswered, "%s", last.Body)
	}
	// The bound is that of package suspect: the policy's limit, and the runs that
	// other entries started before they learned of the crashes; with partitioned
	// entries, the policy's limit for each of them.
	limit := fleet.Bundle.Policy.CrashLimit + len(fleet.Entries()) - 1
	if partitioned {
		limit = fleet.Bundle.Policy.CrashLimit * len(fleet.Entries())
	}
	crashes := countCrashes(fleet)
	t.Logf("%d submissions, %d crashes, at most %d allowed; the last was refused after %v", crashSubmissions, crashes, limit, last.Elapsed)
	assert.Assert(t, crashes >= 1 && crashes <= limit, "%d crashes", crashes)

	assert.Equal(t, last.Outcome(), api.OutcomeRefused, "%s", last.Body)
	assert.Equal(t, last.Reason(), api.ReasonSuspectRequest)
	assert.Equal(t, last.Status, http.StatusServiceUnavailable)
	assert.Assert(t, last.Header.Get("Retry-After") != "")
	assert.Assert(t, last.Elapsed < maxRefusalTime, "refused after %v", last.Elapsed)

	answered := tr.answered.Load()
	harness.Wait(t, waitTimeout, func() error { return answeredSince(tr, answered, 100) })
	tr.finish(t)
	assert.Equal(t, countCrashes(fleet), crashes, "crashes after the refusal")
}

// TestCrashesAddUpOverSubmissions guards against a crash count that successful stages
// reset. The policy allows one attempt, so each submission of the crashing request
// crashes one engine, after its earlier stages have succeeded. These successes say
// nothing about the stage that crashes: crashes must add up over submissions, or the
// caller could go on for ever.
func TestCrashesAddUpOverSubmissions(t *testing.T) {
	fleet := harness.Start(t, harness.Config{
		Pools: map[string]int{"encoders": 1, "retrievers": 1, poolEngines: 2},
		Edit:  func(b *bundle.Bundle) { b.Policy.MaxAttempts = 1 },
	})
	crashOn := crashMarker
	for _, e := range fleet.PoolEndpoints(poolEngines) {
		e.Apply(fake.Control{CrashOn: &crashOn})
	}
	for range crashSubmissions {
		harness.Wait(t, waitTimeout, func() error { return anyUsable(t, fleet, poolEngines) })
		reply := fleet.Send(t.Context(), 0, plainCall(pipelineNotes)(crashMarker))
		assert.NilError(t, reply.Err)
		assert.Assert(t, reply.Outcome() != api.OutcomeAnswered, "%s", reply.Body)
	}
	crashes := countCrashes(fleet)
	t.Logf("%d submissions, %d crashes", crashSubmissions, crashes)
	assert.Assert(t, crashes >= 1 && crashes <= fleet.Bundle.Policy.CrashLimit, "%d crashes", crashes)
}

// anyUsable returns nil if the first entry regards an endpoint of the pool as usable.
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

// countCrashes returns the number of crashes of all engines.
func countCrashes(fleet *harness.Fleet) int {
	n := 0
	for _, e := range fleet.PoolEndpoints(poolEngines) {
		n += e.Counts().Crashes
	}
	return n
}
