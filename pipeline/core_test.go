package pipeline

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/ledger"
	"github.com/mangostage/mangostage/route"
	"github.com/mangostage/mangostage/suspect"
	"github.com/mangostage/mangostage/wire"
)

// driver feeds events to a Core and keeps its effects.
type driver struct {
	core    *Core
	now     time.Time
	effects []Effect
	calls   []Call
}

// step builds the next event from the calls made so far; calls are numbered
// from 1.
type step func(d *driver) Event

func (d *driver) run(steps ...step) {
	for _, s := range steps {
		d.now = d.now.Add(ms)
		effects := d.core.Handle(d.now, s(d))
		d.effects = append(d.effects, effects...)
		for _, e := range effects {
			if c, ok := e.(Call); ok {
				d.calls = append(d.calls, c)
			}
		}
	}
}

func (d *driver) Pick(_ time.Time, _ *bundle.Policy, req *route.Request) route.Decision {
	for _, name := range []string{"e1", "e2", "e3"} {
		if !tried(req, name) && (req.BoundTo == "" || req.BoundTo == name) {
			e := &route.Endpoint{Name: name}
			e.Report.Process.Incarnation = "first"
			return route.Decision{Endpoint: e}
		}
	}
	return route.Decision{Reason: route.ReasonAllTried}
}

func newDriver(cfg Config) *driver {
	d := &driver{now: epoch}
	cfg.Entry, cfg.Picker = "entry/1", d
	d.core = New(cfg)
	return d
}

// all returns the effects of type T.
func all[T Effect](d *driver) []T {
	var found []T
	for _, e := range d.effects {
		if x, ok := e.(T); ok {
			found = append(found, x)
		}
	}
	return found
}

func admit(kind wire.IdentityKind, stages ...bundle.Stage) Admit {
	a := Admit{
		RequestID: "r", Ref: 1, Identity: wire.Identity{Kind: kind, Value: "v", BodyHash: "content"},
		Account: &bundle.Account{Name: "account"}, Deadline: epoch.Add(time.Second), Input: quote("in"),
		Bundle:   &bundle.Bundle{Version: 7, Policy: bundle.Policy{MaxAttempts: 2, HedgeAfter: 0.9}},
		Pipeline: &bundle.Pipeline{Name: "p", Stages: stages}, Bindings: make(map[string]wire.Binding),
		PossibleResubmission: kind != wire.IdentityMinted,
	}
	for _, s := range stages {
		if s.Unrepeatable {
			a.Bindings[s.Name] = wire.Binding{Agent: "e1", Incarnation: "first"}
		}
	}
	return a
}

var (
	one    = bundle.Stage{Name: "one", Pool: "a"}
	two    = bundle.Stage{Name: "two", Pool: "a"}
	order  = bundle.Stage{Name: "order", Pool: "a", Unrepeatable: true}
	minted = wire.IdentityMinted
)

func send(a Admit) step { return func(*driver) Event { return a } }

func result(call int, status wire.StageStatus, output string) step {
	return func(d *driver) Event {
		res := wire.StageResult{ID: d.calls[call-1].ID, Status: status, Cost: 5 * ms}
		if output != "" {
			res.Output = quote(output)
		}
		return StageResult{res}
	}
}

func done(call int) step    { return result(call, wire.StatusDone, "out") }
func refused(call int) step { return result(call, wire.StatusRefused, "") }
func conflict(call int) step {
	return func(d *driver) Event {
		return StageResult{wire.StageResult{ID: d.calls[call-1].ID, Status: wire.StatusRefused, Reason: api.ReasonKeyConflict}}
	}
}

// notReached is the reply of an agent whose endpoint is down.
func notReached(call int) step {
	return func(d *driver) Event {
		return StageResult{wire.StageResult{ID: d.calls[call-1].ID, Status: wire.StatusRefused, Reason: api.ReasonNoEndpoint}}
	}
}
func lost(call int) step { return func(d *driver) Event { return CallLost{d.calls[call-1].ID} } }
func revokeLost(call int) step {
	return func(d *driver) Event { return RevokeLost{d.calls[call-1].ID} }
}

func notWritten(call int) step {
	return func(d *driver) Event { return CallNotWritten{d.calls[call-1].ID} }
}

func ack(call int, state wire.RevokeState, incarnation string) step {
	return func(d *driver) Event {
		res := wire.RevokeResult{State: state}
		res.Report.Process.Incarnation = incarnation
		return RevokeAck{d.calls[call-1].ID, res}
	}
}

func peeked(state wire.PeekState) step {
	return func(d *driver) Event {
		sent := all[SendPeek](d)[0]
		return PeekReply{sent.RequestID, sent.Seq, sent.Stage, wire.PeekResult{State: state}}
	}
}

func chunkFrom(call, seq int, text string) step {
	return func(d *driver) Event {
		return StageChunk{wire.StageChunk{ID: d.calls[call-1].ID, Seq: seq, Text: text}}
	}
}

// timer fires the latest timer of a kind.
func timer(kind TimerKind) step {
	return func(d *driver) Event {
		var latest SetTimer
		for _, e := range all[SetTimer](d) {
			if e.Kind == kind {
				latest = e
			}
		}
		d.now = latest.At
		return Timer{latest.RequestID, latest.Kind, latest.Seq}
	}
}

func callerGone(*driver) Event { return CallerGone{"r", 1} }

// Guards against a wrong outcome: after "refused" a caller submits its order
// again, after "unknown" it must find out what happened. The outcome depends on
// which replies to each call arrived before the reply to the caller.
func TestOutcome(t *testing.T) {
	held, key := admit(wire.IdentityHeld, order), admit(wire.IdentityKey, one)
	unowned := admit(wire.IdentityHeld, order)
	unowned.Bindings = nil
	shell := Refuse{Admit: held, Reason: api.ReasonRateLimited}
	for _, tc := range []struct {
		name   string
		steps  []step
		want   api.Outcome
		reason api.Reason
	}{
		{"done", []step{send(admit(minted, one, two)), done(1), done(2)}, api.OutcomeAnswered, ""},
		{"refused everywhere", []step{send(admit(minted, one)), refused(1), refused(2)}, api.OutcomeRefused, api.ReasonOverloaded},
		{"not written", []step{send(admit(minted, one)), notWritten(1), notWritten(2)}, api.OutcomeRefused, api.ReasonConnectionLost},
		{"refused, then done elsewhere", []step{send(admit(minted, one)), refused(1), done(2)}, api.OutcomeAnswered, ""},
		{"lost, then refused elsewhere, first acknowledged", []step{send(admit(minted, one)), lost(1), refused(2), ack(1, wire.RevokedNotRun, "first")}, api.OutcomeRefused, api.ReasonOverloaded},
		{"order lost, not run", []step{send(admit(minted, order)), lost(1), ack(1, wire.RevokedNotRun, "first")}, api.OutcomeRefused, api.ReasonConnectionLost},
		{"order lost, cancelled", []step{send(admit(minted, order)), lost(1), ack(1, wire.RevokedRunning, "first")}, api.OutcomeCutShort, api.ReasonConnectionLost},
		{"order lost, had run", []step{send(admit(minted, order)), lost(1), ack(1, wire.RevokedDone, "first")}, api.OutcomeCutShort, api.ReasonConnectionLost},
		{"order lost, agent restarted", []step{send(admit(minted, order)), lost(1), ack(1, wire.RevokedNotRun, "second")}, api.OutcomeUnknown, api.ReasonConnectionLost},
		{"order lost, agent without a report", []step{send(admit(minted, order)), lost(1), ack(1, wire.RevokedNotRun, "")}, api.OutcomeUnknown, api.ReasonConnectionLost},
		{"order lost, revocation lost", []step{send(admit(minted, order)), lost(1), revokeLost(1)}, api.OutcomeUnknown, api.ReasonConnectionLost},
		{"order lost, silence", []step{send(admit(minted, order)), lost(1), timer(TimerOutcome)}, api.OutcomeUnknown, api.ReasonConnectionLost},
		{"order may have run before", []step{send(admit(minted, order)), result(1, wire.StatusUnknown, "")}, api.OutcomeUnknown, api.ReasonEarlierAttempt},
		{"order lost by the agent", []step{send(admit(minted, order)), result(1, wire.StatusLost, "")}, api.OutcomeUnknown, api.ReasonEndpointLost},
		{"order failed", []step{send(admit(minted, order)), result(1, wire.StatusFailed, "")}, api.OutcomeCutShort, api.ReasonEndpointFailed},
		{"order without output", []step{send(admit(minted, order)), result(1, wire.StatusDone, "")}, api.OutcomeCutShort, api.ReasonEndpointFailed},
		{"second stage refused", []step{send(admit(minted, one, two)), done(1), refused(2), refused(3)}, api.OutcomeCutShort, api.ReasonOverloaded},
		{"given up, not run", []step{send(admit(minted, one)), timer(TimerGiveUp), ack(1, wire.RevokedNotRun, "first")}, api.OutcomeRefused, api.ReasonDeadline},
		{"given up, result wins", []step{send(admit(minted, one)), timer(TimerGiveUp), done(1)}, api.OutcomeAnswered, ""},
		{"given up, result after its acknowledgement", []step{send(admit(minted, one)), timer(TimerGiveUp), ack(1, wire.RevokedDone, "first"), done(1)}, api.OutcomeAnswered, ""},
		{"given up, silence", []step{send(admit(minted, one)), timer(TimerGiveUp), timer(TimerDeadline)}, api.OutcomeUnknown, api.ReasonDeadline},
		{"result after the deadline", []step{send(admit(minted, one)), func(d *driver) Event { d.now = d.now.Add(2 * time.Second); return done(1)(d) }}, api.OutcomeCutShort, api.ReasonDeadline},
		{"caller gone, not run", []step{send(admit(minted, one)), callerGone, ack(1, wire.RevokedNotRun, "first")}, api.OutcomeRefused, api.ReasonCallerGone},
		{"caller gone, done", []step{send(admit(minted, one)), callerGone, done(1)}, api.OutcomeCutShort, api.ReasonCallerGone},
		{"held order refused, owner never ran it", []step{send(held), refused(1), peeked(wire.PeekNever)}, api.OutcomeRefused, api.ReasonOverloaded},
		{"held order refused, owner ran it", []step{send(held), refused(1), peeked(wire.PeekDone)}, api.OutcomeCutShort, api.ReasonEarlierAttempt},
		{"held order refused for its body, owner ran another", []step{send(held), conflict(1), peeked(wire.PeekDone)}, api.OutcomeCutShort, api.ReasonKeyConflict},
		{"held order refused, owner runs it", []step{send(held), refused(1), peeked(wire.PeekRunning)}, api.OutcomeUnknown, api.ReasonEarlierAttempt},
		{"held order refused, owner can't tell", []step{send(held), refused(1), peeked(wire.PeekUnknown)}, api.OutcomeUnknown, api.ReasonOverloaded},
		{"held order refused, owner silent", []step{send(held), refused(1), timer(TimerOutcome)}, api.OutcomeUnknown, api.ReasonOverloaded},
		{"held order turned away by the shell", []step{func(*driver) Event { return shell }, peeked(wire.PeekNever)}, api.OutcomeRefused, api.ReasonRateLimited},
		{"held, repeatable", []step{send(admit(wire.IdentityHeld, one)), refused(1), refused(2)}, api.OutcomeUnknown, api.ReasonOverloaded},
		{"held, partly repeatable", []step{send(admit(wire.IdentityHeld, order, one)), refused(1)}, api.OutcomeUnknown, api.ReasonOverloaded},
		{"held order without an owner", []step{send(unowned)}, api.OutcomeUnknown, api.ReasonNoEndpoint},
		{"key, repeatable", []step{send(key), refused(1), refused(2)}, api.OutcomeRefused, api.ReasonOverloaded},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := newDriver(Config{})
			d.run(tc.steps...)
			replies := all[Reply](d)
			assert.Equal(t, len(replies), 1)
			assert.Equal(t, replies[0].Outcome(), tc.want)
			if tc.want != api.OutcomeAnswered {
				assert.Equal(t, replies[0].Problem.Reason, tc.reason)
			}
			assert.Equal(t, d.core.InFlight(), 0)
		})
	}
}

// Guards against a result that arrives twice, or after its request was
// answered: the second copy must neither be delivered nor advance another
// request.
func TestRepeatedResultIsDropped(t *testing.T) {
	d := newDriver(Config{})
	d.run(send(admit(minted, one, two)), done(1), done(1), done(2), done(2))
	assert.Equal(t, len(all[Reply](d)), 1)
	assert.Equal(t, len(d.calls), 2)
	assert.Equal(t, string(d.calls[1].Previous), `"out"`)
	dropped := 0
	for _, r := range all[Record](d) {
		if r.Kind == ledger.KindDropped {
			dropped++
		}
	}
	assert.Equal(t, dropped, 2)
}

func TestHedge(t *testing.T) {
	d := newDriver(Config{Quantiles: fixedQuantile(20 * ms)})
	d.run(send(admit(minted, one)), timer(TimerHedge), result(2, wire.StatusDone, "fast"), done(1), ack(1, wire.RevokedDone, "first"))
	assert.Equal(t, string(all[Reply](d)[0].Answer.Output), `"fast"`)
	assert.Equal(t, all[Revoke](d)[0].Endpoint, "e1")
	cost := Cost{Pipeline: "p", Stage: "one", Account: "account", Amount: 5 * ms}
	useful := cost
	useful.Useful = true
	assert.DeepEqual(t, all[Cost](d), []Cost{useful, cost})
}

// Guards against hedging in a burst: when all engines are full, every call is
// slow, and hedging each one into another engine's queue made the queues half
// as long again.
func TestNoHedgeIntoAQueue(t *testing.T) {
	busy := &route.Endpoint{Name: "e2", Load: new(route.Load), ReportedAt: epoch}
	busy.Report.Capacity, busy.Report.InFlight = 4, 4
	d := newDriver(Config{Quantiles: fixedQuantile(20 * ms)})
	d.run(send(admit(minted, one)))
	d.core.cfg.Picker = fixedPicker{busy}
	d.run(timer(TimerHedge))
	assert.Equal(t, len(d.calls), 1)
}

type fixedPicker struct{ to *route.Endpoint }

func (f fixedPicker) Pick(time.Time, *bundle.Policy, *route.Request) route.Decision {
	return route.Decision{Endpoint: f.to}
}

// Guards against mixing two outputs when the endpoint of a stream crashes and
// another takes over: the caller gets output of the retry only from where it
// continues exactly what the caller has received.
func TestStreamAfterRetry(t *testing.T) {
	streamed := admit(minted, one)
	streamed.Stream = true
	start := []step{send(streamed), chunkFrom(1, 0, "The "), chunkFrom(1, 1, "frame"), chunkFrom(1, 1, "frame"), lost(1)}
	text := func(d *driver) (s string) {
		for i, c := range all[Chunk](d) {
			assert.Equal(t, c.Seq, i)
			s += c.Text
		}
		return s
	}
	d := newDriver(Config{})
	d.run(append(start, chunkFrom(2, 0, "The fr"), chunkFrom(2, 1, "ame fits"), done(2))...)
	assert.Equal(t, text(d), "The frame fits")
	assert.Equal(t, all[Reply](d)[0].Outcome(), api.OutcomeAnswered)
	for name, rest := range map[string][]step{
		"other text": {chunkFrom(2, 0, "A frame")},
		"too short":  {chunkFrom(2, 0, "The"), done(2)},
		"with a gap": {chunkFrom(2, 1, "ame fits"), done(2)},
	} {
		d := newDriver(Config{})
		d.run(append(slices.Clone(start), rest...)...)
		assert.Equal(t, text(d), "The frame", name)
		assert.Equal(t, all[Reply](d)[0].Outcome(), api.OutcomeCutShort, name)
	}
}

func TestFullTable(t *testing.T) {
	d := newDriver(Config{MaxInFlight: 1})
	second := admit(minted, one)
	second.RequestID, second.Ref = "s", 2
	d.run(send(admit(minted, one)), send(second), done(1))
	replies := all[Reply](d)
	assert.Equal(t, replies[0].Ref, uint64(2))
	assert.Equal(t, replies[0].Outcome(), api.OutcomeRefused)
	assert.Equal(t, replies[0].Problem.RetryAfter, defaultRetryAfter)
	assert.Equal(t, replies[1].Outcome(), api.OutcomeAnswered)
}

// Guards against confusing the calls of two submissions when a caller submits a
// held ID again through the same entry, while the first is running and later.
func TestHeldIDSentAgain(t *testing.T) {
	again := admit(wire.IdentityHeld, one)
	again.Ref = 2
	d := newDriver(Config{})
	d.run(send(admit(wire.IdentityHeld, one)), send(again), done(1), send(again))
	replies := all[Reply](d)
	assert.Equal(t, replies[0].Ref, uint64(2))
	assert.Equal(t, replies[0].Problem.Reason, api.ReasonEarlierAttempt)
	assert.Equal(t, replies[1].Ref, uint64(1))
	d.run(done(1))
	assert.Equal(t, len(all[Reply](d)), 2, "a result of the first submission answered the second")
	d.run(done(2))
	assert.Equal(t, len(all[Reply](d)), 3)
}

// refuseAfterCrash refuses all content after the first crash.
type refuseAfterCrash struct {
	noSuspects
	crashes int
}

func (c *refuseAfterCrash) Crashed(string, suspect.Crash, time.Time) { c.crashes++ }
func (c *refuseAfterCrash) Begin(string, time.Time) suspect.Decision {
	return suspect.Decision{Refuse: c.crashes > 0, RetryAfter: time.Minute}
}

// Guards against a retry that crashes the next endpoint: when a request crashes
// its endpoint, the crash must be counted before the retry is decided.
func TestCrashCountsBeforeRetry(t *testing.T) {
	d := newDriver(Config{Suspects: &refuseAfterCrash{}})
	d.run(send(admit(minted, one)), func(d *driver) Event {
		return StageResult{wire.StageResult{ID: d.calls[0].ID, Status: wire.StatusLost, Crashed: true}}
	})
	problem := all[Reply](d)[0].Problem
	assert.Equal(t, problem.Reason, api.ReasonSuspectRequest)
	assert.Equal(t, problem.Outcome, api.OutcomeUnknown)
	assert.Equal(t, problem.RetryAfter, time.Minute)
	assert.Equal(t, len(d.calls), 1)
}

// oneRequest takes a request of two stages through the core and returns the
// number of replies.
func oneRequest(core *Core, id string) int {
	a := admit(minted, one, two)
	a.RequestID = id
	answers := 0
	for pending := core.Handle(epoch, a); len(pending) > 0; pending = pending[1:] {
		switch e := pending[0].(type) {
		case Call:
			res := wire.StageResult{ID: e.ID, Status: wire.StatusDone, Output: a.Input}
			pending = append(pending, core.Handle(epoch, StageResult{res})...)
		case Reply:
			answers++
		}
	}
	return answers
}

func TestParallelRequests(t *testing.T) {
	core := newDriver(Config{}).core
	var wg sync.WaitGroup
	var answers atomic.Int64
	for i := range 8 {
		wg.Go(func() {
			for j := range 100 {
				answers.Add(int64(oneRequest(core, fmt.Sprint(i, "/", j))))
			}
		})
	}
	wg.Wait()
	assert.Equal(t, answers.Load(), int64(800))
	assert.Equal(t, core.InFlight(), 0)
}

func BenchmarkRequest(b *testing.B) {
	core := newDriver(Config{}).core
	b.ReportAllocs()
	for b.Loop() {
		oneRequest(core, "r")
	}
}

// tried reports whether the endpoint is among those that the request was sent
// to.
func tried(req *route.Request, name string) bool {
	return slices.ContainsFunc(req.Tried, func(t route.Tried) bool { return t.Endpoint == name })
}
