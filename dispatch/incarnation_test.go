package dispatch

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/catalog"
)

// restarted is the view in which endpoints run as new processes, at the same
// address and under the same ID.
func restarted(view *catalog.View, born catalog.Incarnation, ids ...string) *catalog.View {
	var endpoints []*catalog.Endpoint
	for _, service := range []string{serviceModel, serviceHeavy, serviceLight} {
		for _, e := range view.Endpoints(service) {
			next := *e
			for _, id := range ids {
				if id == e.ID {
					next.Incarnation = born
				}
			}
			endpoints = append(endpoints, &next)
		}
	}
	return catalog.NewView(view.Index, endpoints, view.Revision+1)
}

// without is the view in which endpoints have lapsed.
func without(view *catalog.View, ids ...string) *catalog.View {
	var endpoints []*catalog.Endpoint
	for _, service := range []string{serviceModel, serviceHeavy, serviceLight} {
		for _, e := range view.Endpoints(service) {
			if !slices.Contains(ids, e.ID) {
				endpoints = append(endpoints, e)
			}
		}
	}
	return catalog.NewView(view.Index, endpoints, view.Revision+1)
}

// bornAll has all endpoints state their start.
func bornAll(view *catalog.View) *catalog.View {
	var ids []string
	for _, service := range []string{serviceModel, serviceHeavy, serviceLight} {
		for _, e := range view.Endpoints(service) {
			ids = append(ids, e.ID)
		}
	}
	return restarted(view, 1, ids...)
}

// A client gets 503, or an answer made of another request's results: an endpoint
// crashed and was back under its ID at once, and the results that it had held
// were still handed to the next stages. They must be made again, in time.
func TestRestartLosesResults(t *testing.T) {
	cases := map[string]struct {
		after time.Duration
		ids   []string
		// off is how long the endpoints are off the list.
		off time.Duration
	}{
		"first stages under way": {100 * time.Millisecond, []string{"encode-north-0"}, 0},
		"first stages done":      {250 * time.Millisecond, []string{"encode-north-0", "encode-north-1"}, 0},
		"one of the first ones":  {250 * time.Millisecond, []string{"encode-north-0"}, 0},
		"last stage under way":   {250 * time.Millisecond, []string{"rank-north-0", "rank-north-1"}, 0},
		"off the list meanwhile": {250 * time.Millisecond, []string{"encode-north-0"}, 30 * time.Millisecond},
		"all":                    {250 * time.Millisecond, []string{"encode-north-0", "encode-north-1", "rank-north-0", "rank-north-1"}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			view := bornAll(testView([]string{"north"}, 2))
			w := newWorld(view)
			// lost are the handles of ended processes.
			lost := make(map[string]bool)
			w.fate = func(call StartCall) (CallFault, Fault) {
				for _, p := range call.Pieces {
					for _, h := range p.Inputs {
						if lost[h] {
							return CallOK, FaultInputs
						}
					}
				}
				return CallOK, FaultNone
			}
			w.submit(testJob("j"))
			w.run(c.after)
			assert.Equal(t, len(w.grants), 0, "the job must be under way")
			for h := range w.made {
				for _, id := range c.ids {
					lost[h] = lost[h] || strings.HasPrefix(h, id+":80/")
				}
			}
			if c.off > 0 {
				w.core.SetView(w.now, without(view, c.ids...))
				w.drain()
				w.run(c.off)
			}
			w.core.SetView(w.now, restarted(view, 2, c.ids...))
			w.drain()
			w.run(2500 * time.Millisecond)
			assert.Equal(t, w.ends["j"], "")
			grant, ok := w.grants["j"]
			assert.Assert(t, ok, "not granted")
			assert.Equal(t, len(grant.Inputs), 10)
			for _, h := range grant.Inputs {
				assert.Assert(t, !lost[h], "%s was held by an ended process", h)
			}
		})
	}
}

// Calls wait for seconds although the endpoint idles: it started again, and the
// slots and the room that its last process had used were still booked.
func TestRestartEmptiesBooks(t *testing.T) {
	view := bornAll(testView([]string{"north"}, 1))
	w := newWorld(view)
	w.slow["encode-north-0"] = 100
	w.submit(testJob("j"))
	worker := w.core.pools[serviceHeavy].workers[0]
	assert.Equal(t, len(worker.calls), 1)
	assert.Assert(t, worker.used > 0)
	w.slow["encode-north-0"] = 1
	w.core.SetView(w.now, restarted(view, 2, "encode-north-0"))
	now := w.core.pools[serviceHeavy].workers[0]
	assert.Equal(t, now.speed, 1.0)
	w.drain()
	w.run(500 * time.Millisecond)
	_, ok := w.grants["j"]
	assert.Assert(t, ok, "not granted: %v", w.ends)
	assert.Equal(t, len(w.core.calls), 0)
}

// A request gets results that are no longer there: the answer of an ended
// process came late, after the new one was listed, and its results were kept.
func TestLateAnswerOfEndedProcess(t *testing.T) {
	view := bornAll(testView([]string{"north"}, 1))
	w := newWorld(view)
	w.submit(testJob("j"))
	late := w.calls[0].call
	w.calls = nil
	w.core.SetView(w.now, restarted(view, 2, "encode-north-0"))
	w.end(late)
	old := make(map[string]bool)
	for h := range w.made {
		old[h] = true
	}
	assert.Assert(t, len(old) > 0)
	w.drain()
	assert.Equal(t, len(w.freed), 0, "the new process may use the same handles for other results")
	w.run(1500 * time.Millisecond)
	grant, ok := w.grants["j"]
	assert.Assert(t, ok)
	for _, h := range grant.Inputs {
		assert.Assert(t, !old[h])
	}
	for h := range w.freed {
		assert.Assert(t, !old[h], "%s was given up at the new process", h)
	}
}

// A stage endpoint that failed and was slow gets no calls for seconds although
// a new process runs there, which has done nothing wrong.
func TestRestartForgetsEvidence(t *testing.T) {
	view := bornAll(testView([]string{"north"}, 1))
	c := New("test")
	c.SetView(epoch, view)
	w := c.pools[serviceHeavy].workers[0]
	w.speed = speedMax
	w.pause.Fail(pauseMax, pauseMax, epoch)
	e := c.engines[serviceModel].all[0]
	e.learn(false, epoch)
	e.cache.touch([]catalog.PrefixPart{{ID: "p", Tokens: 9}})
	e.begin(newJob(testJob("j"), epoch))
	c.SetView(epoch, restarted(view, 2, "encode-north-0", "model-north-0"))
	w = c.pools[serviceHeavy].workers[0]
	assert.Equal(t, w.speed, 1.0)
	assert.Assert(t, w.idle(epoch))
	e = c.engines[serviceModel].all[0]
	assert.Equal(t, e.cache.hit([]catalog.PrefixPart{{ID: "p", Tokens: 9}}), 0)
	assert.Assert(t, !e.pause.Active(epoch))
	assert.Equal(t, e.failures.At(failHalfLife, epoch), 0.0)
	assert.Equal(t, e.prefill+e.tokens+len(e.runs), 0)
}

// A new owner of the queue sends prompts to an engine for parts that it does
// not keep: an entry told it where it had sent them, to the process before.
func TestPlacementAtEndedProcess(t *testing.T) {
	view := bornAll(testView([]string{"north"}, 1))
	c := New("test")
	c.SetView(epoch, restarted(view, 2, "model-north-0"))
	parts := []catalog.PrefixPart{{ID: "p", Tokens: 9}}
	place := func(e *catalog.Endpoint) {
		c.Placed([]Placement{{Service: serviceModel, Endpoint: e.Key(), Prefix: parts}})
	}
	place(view.Endpoints(serviceModel)[0])
	e := c.engines[serviceModel].all[0]
	assert.Equal(t, e.cache.hit(parts), 0)
	place(e.endpoint)
	assert.Equal(t, e.cache.hit(parts), 9)
}

// A request that an engine failed may be given to the process that runs there
// now, and one that failed at this process goes elsewhere if it can.
func TestAvoidedProcess(t *testing.T) {
	view := bornAll(testView([]string{"north"}, 2))
	c := New("test")
	c.SetView(epoch, view)
	j := newJob(testJob("j"), epoch)
	first := c.engines[serviceModel].choose(j, nil, epoch).endpoint
	j.Avoid = []string{first.Key()}
	assert.Assert(t, c.engines[serviceModel].choose(j, nil, epoch).endpoint.ID != first.ID)
	c.SetView(epoch, restarted(view, 2, first.ID))
	assert.Equal(t, c.engines[serviceModel].choose(j, nil, epoch).endpoint.ID, first.ID)
}
