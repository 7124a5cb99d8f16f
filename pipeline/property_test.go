package pipeline

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/wire"
)

// A support engineer reads "refused" and tells the caller to order again; or
// reads "answered" and closes the case. Either is wrong if a call sat in a
// buffer, a reply was lost, a revocation raced with the start, an agent was
// restarted or this process was paused, and the outcome was guessed. Here all
// of it happens at random, and every word is held against what truly ran.
func TestOutcomesAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		n := rapid.IntRange(1, 5).Draw(t, "requests")
		for i := range n {
			w.after(w.span("arrival", 300), func() { w.request(i) })
		}
		w.run()
		w.check()
	})
}

// request lets a caller send one request, and perhaps the same ID again.
func (w *world) request(i int) {
	kind := rapid.SampledFrom([]wire.IdentityKind{wire.IdentityMinted, wire.IdentityHeld, wire.IdentityKey}).Draw(w.T, "kind")
	a := Admit{
		RequestID: fmt.Sprint("request", i), Account: &bundle.Account{Name: "account"}, Bundle: w.bundle,
		Pipeline: w.pipeline(), Input: quote(fmt.Sprint("input", i)), Stream: w.chance("stream", 30),
		Identity:       wire.Identity{Kind: kind, Value: fmt.Sprint("identity", i)},
		Bindings:       make(map[string]wire.Binding),
		MayHaveEarlier: kind != wire.IdentityMinted,
	}
	for _, stage := range a.Pipeline.Stages {
		owner := w.agents[fmt.Sprint(stage.Pool, i%3)]
		b := wire.Binding{Agent: owner.name, Incarnation: owner.incarnation}
		if kind == wire.IdentityKey {
			b.Incarnation = ""
		}
		if stage.Unrepeatable && (kind != wire.IdentityMinted || w.chance("bound", 50)) {
			a.Bindings[stage.Name] = b
		}
	}
	if a.MayHaveEarlier && w.chance("earlier sending", 30) {
		w.ranEarlier(a)
	}
	w.send(a, 1)
	if kind == wire.IdentityHeld && w.chance("sent twice", 40) {
		w.after(w.span("again", 600), func() { w.send(a, 2) })
	}
}

func (w *world) pipeline() *bundle.Pipeline {
	p := &bundle.Pipeline{Name: "pipeline"}
	unrepeatable := rapid.SampledFrom([]int{0, 40, 100}).Draw(w.T, "unrepeatable")
	for i := range rapid.IntRange(1, 3).Draw(w.T, "stages") {
		p.Stages = append(p.Stages, bundle.Stage{Name: fmt.Sprint("stage", i), Pool: string(rune('a' + i%2)),
			Unrepeatable: w.chance("unrepeatable stage", unrepeatable)})
	}
	return p
}

// ranEarlier makes the first stage, if it can be told apart, a run of an
// earlier sending through another entry.
func (w *world) ranEarlier(a Admit) {
	stage := a.Pipeline.Stages[0]
	b, bound := a.Bindings[stage.Name]
	if !bound && a.Identity.Kind == wire.IdentityKey && len(a.Bindings) == 0 {
		return
	}
	id := wire.CallID{Request: a.RequestID, Stage: stage.Name, Entry: "other", Attempt: 1}
	r := &run{call: wire.StageCall{ID: id, Identity: a.Identity, Unrepeatable: bound}, earlier: true, started: w.now, output: "earlier"}
	r.ended = w.chance("ended", 70)
	r.done = r.ended && w.chance("done", 70)
	w.runs = append(w.runs, r)
	if bound {
		w.agents[b.Agent].identities[a.Identity.Value+stage.Name] = r
	}
}

func (w *world) send(a Admit, index int) {
	a.Ref = uint64(len(w.admits) + 1)
	a.Deadline = w.now.Add(50*ms + w.span("deadline", 450))
	w.admits[a.Ref] = &sending{Admit: a, index: index}
	if w.chance("refused by the shell", 10) {
		w.deliver(Refuse{Admit: a, Reason: api.ReasonRateLimited})
		return
	}
	w.deliver(a)
	if w.chance("caller goes", 10) {
		w.after(w.span("goes", 300), func() { w.deliver(CallerGone{a.RequestID, a.Ref}) })
	}
}

func (w *world) check() {
	twice, cost := 0, time.Duration(0)
	for _, s := range w.admits {
		w.checkSending(s)
		if s.reply.Problem != nil && s.reply.Problem.Detail == "an earlier sending is still running" {
			twice++
		}
	}
	once := make(map[string]int)
	for _, r := range w.runs {
		if r.call.Unrepeatable {
			once[r.call.Identity.Value+r.call.ID.Stage]++
			assert.Assert(w, once[r.call.Identity.Value+r.call.ID.Stage] <= 1, "%v ran twice", r.call.ID)
		}
	}
	for _, c := range w.costs {
		cost += c
	}
	assert.Equal(w, w.useful+w.wasted, cost, "cost")
	assert.Equal(w, w.finals, len(w.admits)-twice, "final records")
	assert.Equal(w, w.core.InFlight(), 0)
	assert.Equal(w, w.core.Waiting(), 0)
	assert.Equal(w, w.suspects.n, 0, "runs of content without an end")
}

func (w *world) checkSending(s *sending) {
	assert.Equal(w, s.replies, 1, "replies to %s", s.RequestID)
	outcome := s.reply.Outcome()
	late := s.at.After(s.Deadline)
	assert.Assert(w, !late || (w.paused && outcome != api.OutcomeAnswered), "replied %v late", s.at.Sub(s.Deadline))
	ran := 0
	for _, r := range w.runs {
		if r.call.ID.Request == s.RequestID && r.index <= s.index {
			ran++
		}
	}
	switch outcome {
	case api.OutcomeRefused:
		assert.Equal(w, ran, 0, "%s is called refused", s.RequestID)
	case api.OutcomeCutShort:
		assert.Assert(w, ran > 0, "%s is called cut short", s.RequestID)
	case api.OutcomeAnswered:
		w.checkAnswer(s)
	}
}

// checkAnswer follows the answer back through runs of this request alone.
func (w *world) checkAnswer(s *sending) {
	var text string
	output := s.reply.Answer.Output
	assert.NilError(w, json.Unmarshal(output, &text))
	assert.Assert(w, strings.HasPrefix(text, s.text), "streamed %q of %q", s.text, text)
	for i := len(s.Pipeline.Stages) - 1; i >= 0; i-- {
		r := w.producer(s, s.Pipeline.Stages[i].Name, output)
		assert.Assert(w, r != nil, "no run of %s gave %s", s.Pipeline.Stages[i].Name, output)
		if r.earlier {
			return
		}
		assert.Equal(w, string(r.call.Input), string(s.Input))
		output = r.call.Previous
	}
	assert.Equal(w, len(output), 0)
}

func (w *world) producer(s *sending, stage string, output json.RawMessage) *run {
	for _, r := range w.runs {
		if r.call.ID.Request == s.RequestID && r.call.ID.Stage == stage && r.done && string(quote(r.output)) == string(output) {
			return r
		}
	}
	return nil
}
