package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func near(t *testing.T, got, want time.Duration) {
	t.Helper()
	assert.Assert(t, (got-want).Abs() < want/10, "%v, want about %v", got, want)
}

// Engines of a new deployment read a third as fast as those known so far.
func TestPromptTimesFollowTheEngines(t *testing.T) {
	times := newPromptTimes()
	near(t, times.of(0), promptBaseGuess)
	for i := range 400 {
		tokens := 1_000 * (1 + i%30)
		times.learn(tokens, 100*time.Millisecond+time.Duration(tokens)*80*time.Microsecond)
	}
	near(t, times.of(0), 100*time.Millisecond)
	near(t, times.of(20_000), 1700*time.Millisecond)
}

// What engines and clocks say may be absurd; no single time outweighs the others.
func TestPromptTimesBearAbsurdInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		times := newPromptTimes()
		for range rapid.IntRange(0, 50).Draw(t, "observations") {
			tokens := rapid.IntRange(-1_000_000, 1_000_000).Draw(t, "tokens")
			took := time.Duration(rapid.Int64().Draw(t, "took"))
			times.learn(tokens, took)
		}
		short, long := times.of(100), times.of(100_000)
		assert.Assert(t, short >= 0 && long >= short, "%v and %v", short, long)
		assert.Assert(t, long <= promptTimeMax+100_000*promptTokenMax)
	})
}

// All prompts of a deployment are of one length: what each token takes cannot be
// told from them, what such a prompt takes can.
func TestPromptTimesOfOneLength(t *testing.T) {
	for _, tokens := range []int{0, 17, 4_999, 33_333, 99_991} {
		times := newPromptTimes()
		for range 100_000 {
			times.learn(tokens, 300*time.Millisecond)
		}
		near(t, times.of(tokens), 300*time.Millisecond)
		assert.Assert(t, times.of(2*tokens) <= 650*time.Millisecond, "%d tokens: %v", 2*tokens, times.of(2*tokens))
	}
}

// The first event of a request is told twice, as after a resend: it counts once.
func TestFirstEventCountsOnce(t *testing.T) {
	w := newWorld(testView([]string{"north"}, 1))
	w.submit(testJob("a"))
	w.run(2 * time.Second)
	e := w.core.engines[serviceModel].all[0]
	slow, learned := e.slowness, e.times.n
	w.core.FirstEvent(w.now, "a")
	assert.Equal(t, e.slowness, slow)
	assert.Equal(t, e.times.n, learned)
}

// A long prompt is read for nearly a second. Its pieces waited 300 ms for the
// endpoint in the engine's domain, as those of short prompts do, and half of the
// longest tenth of all prompts missed their objective.
func TestLongPromptsWaitLessForTheirDomain(t *testing.T) {
	for name, test := range map[string]struct {
		tokens  int
		starts  bool
		objects time.Duration
	}{
		"short prompt":        {tokens: 500, starts: false, objects: 1300 * time.Millisecond},
		"long prompt":         {tokens: 30_000, starts: true, objects: 1300 * time.Millisecond},
		"late in either case": {tokens: 30_000, starts: false, objects: 900 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			view := testView([]string{"north", "south"}, 1)
			view.Endpoint("model-south-0").Leaving = true
			w := newWorld(view)
			w.slow["encode-north-0"] = 20
			busy := testJob("busy")
			busy.Stages = busy.Stages[:1]
			w.submit(busy)
			assert.Equal(t, w.calls[0].call.Endpoint, "encode-north-0")
			j := testJob("a")
			j.Stages = j.Stages[:1]
			j.TokensIn = test.tokens
			j.Objective = test.objects
			w.submit(j)
			w.run(200 * time.Millisecond)
			assert.Equal(t, w.core.jobs["a"].started, test.starts)
		})
	}
}

// An engine turns five times slower while its health is good. Users whose prompts
// it reads wait five times as long, until others get the prompts; once it is well
// again it gets its share.
func TestSlowEngineGetsFewerPrompts(t *testing.T) {
	c := New("test")
	c.SetView(epoch, testView([]string{"north"}, 2))
	es := c.engines[serviceModel]
	slow := es.all[0]
	for range 20 {
		slow.slowness.learn(5*time.Second, time.Second, epoch)
	}
	job := testJob("a")
	job.TokensIn = 10_000
	j := newJob(job, epoch)
	for range 3 {
		e := es.choose(j, nil, epoch)
		assert.Assert(t, e != slow)
		e.begin(newJob(Job{Ticket: e.key, TokensIn: 10_000}, epoch))
	}
	later := epoch.Add(20 * slownessHalfLife)
	assert.Equal(t, slow.slowness.factor(later), 1.0)
	assert.Equal(t, es.choose(j, nil, later), slow)
}

// Times that cannot be say nothing of an engine.
func TestSlownessBearsAbsurdInput(t *testing.T) {
	var s slowness
	s.learn(-time.Second, time.Second, epoch)
	s.learn(time.Second, 0, epoch)
	assert.Equal(t, s.factor(epoch), 1.0)
	s.learn(1000*time.Hour, time.Second, epoch)
	assert.Assert(t, s.factor(epoch) <= 1+slownessWeight*slownessMax)
	assert.Assert(t, s.factor(epoch.Add(-time.Hour)) <= 1+slownessWeight*slownessMax, "a clock that goes back")
}
