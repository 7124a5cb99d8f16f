package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/endpoint"
	"github.com/mangostage/mangostage/owner"
	"github.com/mangostage/mangostage/wire"
)

// coreHarness drives one core event by event.
type coreHarness struct {
	t       *testing.T
	core    *Core
	now     time.Time
	token   Token
	replies map[Token]wire.StageResult
	runs    []*Run
	effects []Effect
}

func newCoreHarness(t *testing.T, cfg CoreConfig) *coreHarness {
	cfg.Process = wire.Process{Name: "agent-1", Incarnation: "i1"}
	cfg.Endpoint, cfg.Pool, cfg.Start = "ep-1", "orders", testStart
	b := &coreHarness{t: t, core: NewCore(cfg), now: testStart, replies: make(map[Token]wire.StageResult)}
	b.do(b.core.Tick(b.now))
	b.do(b.core.Configure(b.now, testBundle(1)))
	b.advance(time.Second)
	return b
}

func (b *coreHarness) do(list []Effect) {
	b.effects = append(b.effects, list...)
	for _, e := range list {
		switch e := e.(type) {
		case Start:
			b.runs = append(b.runs, e.Run)
		case Reply:
			b.replies[e.Token] = e.Result
		}
	}
}

func (b *coreHarness) advance(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(TickInterval)
		b.do(b.core.Tick(b.now))
	}
}

// order returns a call for an unrepeatable stage, with a call ID of its own.
func (b *coreHarness) order(identity string, attempt int) wire.StageCall {
	return wire.StageCall{
		ID:           wire.CallID{Request: fmt.Sprint(identity, "/", attempt), Stage: "place", Entry: "e", Attempt: attempt},
		Identity:     wire.Identity{Kind: wire.IdentityKey, Value: identity, KeyTime: b.now, BodyHash: "body"},
		Pool:         "orders",
		Pipeline:     "order",
		Weight:       1,
		Deadline:     b.now.Add(4 * time.Second),
		Budget:       4 * time.Second,
		Unrepeatable: true,
	}
}

func (b *coreHarness) send(call wire.StageCall) Token {
	b.token++
	b.do(b.core.Arrive(b.now, b.token, call))
	return b.token
}

func (b *coreHarness) commit() *Run {
	run := b.runs[0]
	b.runs = b.runs[1:]
	_, ok, list := b.core.Commit(b.now, run)
	b.do(list)
	assert.Assert(b.t, ok)
	return run
}

func (b *coreHarness) finish(run *Run, err error) {
	b.do(b.core.Finish(b.now, run, endpoint.Result{Output: json.RawMessage(`"made"`)}, err))
}

func (b *coreHarness) expect(token Token, status wire.StageStatus, reason api.Reason) wire.StageResult {
	b.t.Helper()
	got, ok := b.replies[token]
	assert.Assert(b.t, ok, "no reply")
	assert.Equal(b.t, got.Status, status, "%s %s", got.Reason, got.Detail)
	assert.Equal(b.t, got.Reason, reason)
	return got
}

func TestResendsShareOneRun(t *testing.T) {
	b := newCoreHarness(t, CoreConfig{})
	call := b.order("k", 1)
	first, second := b.send(call), b.send(b.order("k", 2))
	other := b.order("k", 3)
	other.Identity.BodyHash = "another"
	b.expect(b.send(other), wire.StatusRefused, api.ReasonKeyConflict)
	run := b.commit()
	assert.Equal(t, len(b.runs), 0)
	b.do(b.core.Disconnected(b.now, first, call.ID))
	b.expect(first, wire.StatusLost, api.ReasonCallerGone)
	b.finish(run, nil)
	assert.Assert(t, b.expect(second, wire.StatusDone, "").Replayed)
	b.core.Drain()
	third := b.expect(b.send(b.order("k", 4)), wire.StatusDone, "")
	assert.Equal(t, string(third.Output), `"made"`)
	b.expect(b.send(b.order("new", 1)), wire.StatusRefused, api.ReasonDraining)
}

func TestRunOutcomes(t *testing.T) {
	cause := errors.New("broken")
	tests := []struct {
		name   string
		err    error
		status wire.StageStatus
		reason api.Reason
		again  wire.StageStatus
		down   bool
	}{
		{"complete", nil, wire.StatusDone, "", wire.StatusDone, false},
		{"lost", &endpoint.Error{Written: true, Lost: true, Err: cause}, wire.StatusLost, api.ReasonEndpointLost, wire.StatusUnknown, true},
		{"failed", &endpoint.Error{Written: true, Err: cause}, wire.StatusFailed, api.ReasonEndpointFailed, wire.StatusUnknown, false},
		{"not written", &endpoint.Error{Err: cause}, wire.StatusRefused, api.ReasonNoEndpoint, wire.StatusRefused, true},
		{"held back", &endpoint.Error{Err: &NotWrittenError{api.ReasonPaused}}, wire.StatusRefused, api.ReasonPaused, "", false},
		{"refused", &endpoint.Error{Written: true, Refused: true, Err: cause}, wire.StatusRefused, api.ReasonOverloaded, "", false},
		{"not an endpoint.Error", cause, wire.StatusLost, api.ReasonEndpointLost, wire.StatusUnknown, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newCoreHarness(t, CoreConfig{})
			token, companion := b.send(b.order("k", 1)), b.send(b.order("l", 1))
			run := b.commit()
			b.commit()
			b.finish(run, test.err)
			got := b.expect(token, test.status, test.reason)
			assert.Equal(t, b.core.Report().Down, test.down)
			if got.Crashed {
				assert.Equal(t, got.Companions, 1)
			}
			again := b.send(b.order("k", 2))
			assert.Equal(t, b.replies[again].Status, test.again)
			assert.Equal(t, b.replies[companion].Status, wire.StageStatus(""))
			b.do(b.core.Health(b.now, endpoint.Health{Up: true}, nil))
			assert.Assert(t, !b.core.Report().Down)
		})
	}
}

// A flood of orders fills the identity table. Records that must be kept may not
// be evicted: new orders are refused and old ones are replayed.
func TestFullIdentityTableRefusesNewCalls(t *testing.T) {
	b := newCoreHarness(t, CoreConfig{MaxUnrepeatable: shardCount, MaxCalls: 1 << 16})
	full := 0
	for i := range 10 * shardCount {
		token := b.send(b.order(fmt.Sprint("k", i), 1))
		if got, ok := b.replies[token]; ok {
			b.expect(token, wire.StatusRefused, api.ReasonTableFull)
			assert.Equal(t, got.Output == nil, true)
			full++
			continue
		}
		b.finish(b.commit(), nil)
	}
	assert.Assert(t, full >= 9*shardCount)
	assert.Equal(t, b.replies[b.send(b.order("k0", 2))].Status, wire.StatusDone)
	b.advance(testRetention + 2*time.Second + shardCount*TickInterval)
	assert.Equal(t, b.replies[b.send(b.order("fresh", 1))].Status, wire.StageStatus(""), "expired records must make room")
}

// Entries revoke more calls than there is room for tombstones. Each revocation
// was answered "not run"; if a tombstone were dropped, its call could still
// arrive and run.
func TestFullCallTableRefusesNewCalls(t *testing.T) {
	b := newCoreHarness(t, CoreConfig{MaxCalls: shardCount})
	var calls []wire.StageCall
	for i := range 4 * shardCount {
		call := b.order(fmt.Sprint("k", i), 1)
		result, list := b.core.Revoke(b.now, wire.Revoke{ID: call.ID, Until: call.Deadline, Incarnation: "i1"})
		b.do(list)
		assert.Equal(t, result.State, wire.RevokedNotRun)
		calls = append(calls, call)
	}
	for _, call := range calls {
		assert.Equal(t, b.replies[b.send(call)].Status, wire.StatusRefused)
	}
	assert.Equal(t, len(b.runs), 0)
	b.advance(4*time.Second + 4*testSkew)
	b.send(b.order("later", 1))
	assert.Equal(t, len(b.runs), 1)
}

func TestRepeatableResultsAreBounded(t *testing.T) {
	b := newCoreHarness(t, CoreConfig{MaxResults: 2 * shardCount})
	held := 0
	for round := range 2 {
		for i := range 10 * shardCount {
			call := b.order(fmt.Sprint("k", i), round)
			call.ID.Stage, call.Unrepeatable = "quote", false
			token := b.send(call)
			if _, ok := b.replies[token]; ok {
				held++
				continue
			}
			b.finish(b.commit(), nil)
		}
	}
	records := 0
	for i := range b.core.identities.shards {
		records += len(b.core.identities.shards[i].records)
	}
	assert.Assert(t, records <= 2*shardCount, "%d results held", records)
	assert.Assert(t, held < 10*shardCount, "%d", held)
}

func TestOwnership(t *testing.T) {
	b := newCoreHarness(t, CoreConfig{})
	two := testBundle(2)
	two.Pools[0].Slots = []string{"ep-1", "ep-2"}
	b.do(b.core.Configure(b.now, two))
	var mine, theirs string
	for i := 0; mine == "" || theirs == ""; i++ {
		key := fmt.Sprint("k", i)
		if owner.Owner(two.Pools[0].Slots, key, "place") == "ep-1" {
			mine = key
		} else {
			theirs = key
		}
	}
	b.expect(b.send(b.order(theirs, 1)), wire.StatusRefused, api.ReasonNotOwner)
	b.expectDone(b.send(b.order(mine, 1)))
	b.do(b.core.Configure(b.now, testBundle(3)))
	b.expect(b.send(b.order(theirs, 2)), wire.StatusUnknown, api.ReasonOwnerRestarted)
	b.expectDone(b.send(b.order(mine, 2)))
	opaque := b.order(theirs, 3)
	opaque.Identity.KeyTime = time.Time{}
	got := b.expect(b.send(opaque), wire.StatusUnknown, api.ReasonOwnerRestarted)
	assert.Equal(t, got.RetryAfter, slotHandover+testRetention)
	b.advance(slotHandover + 3*testSkew)
	b.expectDone(b.send(b.order(theirs, 4)))
}

// expectDone finishes the run that has started, if any, and expects the result
// or its replay.
func (b *coreHarness) expectDone(token Token) {
	b.t.Helper()
	if len(b.runs) > 0 {
		b.finish(b.commit(), nil)
	}
	b.expect(token, wire.StatusDone, "")
}

func TestPeek(t *testing.T) {
	b := newCoreHarness(t, CoreConfig{})
	peek := func(call wire.StageCall) wire.PeekState {
		state, list := b.core.Peek(b.now, wire.Peek{Identity: call.Identity, Stage: call.ID.Stage})
		b.do(list)
		return state
	}
	call, old := b.order("k", 1), b.order("old", 1)
	old.Identity.KeyTime = testStart
	quote := call
	quote.ID.Stage = "quote"
	assert.Equal(t, peek(call), wire.PeekNever)
	assert.Equal(t, peek(old), wire.PeekUnknown, "the stage may have run before this process started")
	assert.Equal(t, peek(quote), wire.PeekUnknown, "results of repeatable stages may be forgotten")
	b.send(call)
	assert.Equal(t, peek(call), wire.PeekRunning)
	b.finish(b.commit(), nil)
	assert.Equal(t, peek(call), wire.PeekDone)
}

// The VM list shows the VM as leaving and then, read from a stale copy, as
// live. A call accepted because of the stale copy would be cut off when the VM
// is removed.
func TestLeavingIsClearedAfterDelay(t *testing.T) {
	b := newCoreHarness(t, CoreConfig{})
	b.core.SetLeaving(b.now, true)
	b.core.SetLeaving(b.now, false)
	b.advance(leavingClearDelay - time.Second)
	b.expect(b.send(b.order("k", 1)), wire.StatusRefused, api.ReasonDraining)
	assert.Assert(t, b.core.Report().Draining)
	b.advance(2 * time.Second)
	b.expectDone(b.send(b.order("k", 2)))
}
