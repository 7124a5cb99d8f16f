package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// chainJob has three stages that follow each other; the results of the second
// are large, and only the third reads them.
func chainJob(ticket string) Job {
	j := testJob(ticket)
	j.Stages = []StageWork{
		{Service: serviceHeavy, Pieces: 1, ResultBytes: 8_000},
		{Service: serviceLight, After: []int{0}, Pieces: 8, ResultBytes: 60_000},
		{Service: serviceLight, After: []int{1}, Pieces: 16, ResultBytes: 6_000},
	}
	return j
}

// One endpoint of a stage in each failure domain, all busy in turn. Large results
// that only the next stage reads waited 300 ms for the endpoint in the domain of
// the model engine, though another was idle; a tenth of all users with such
// stages waited that long for nothing.
func TestMiddleStageWaitsForNoDomain(t *testing.T) {
	view := testView([]string{"north", "south"}, 1)
	view.Endpoint("model-south-0").Leaving = true
	w := newWorld(view)
	w.slow["rank-north-0"] = 20
	busy := testJob("busy")
	busy.Stages = []StageWork{{Service: serviceLight, Pieces: 1, ResultBytes: 60_000}}
	w.submit(busy)
	assert.Equal(t, w.calls[0].call.Endpoint, "rank-north-0")
	w.submit(chainJob("a"))
	w.run(250 * time.Millisecond)
	last := w.calls[len(w.calls)-1].call
	assert.Equal(t, last.Endpoint, "rank-south-0")
	assert.Equal(t, last.Pieces[0].Request, "a")
}

// The next stage does wait: it reads all results of the one before.
func TestLastStageFollowsItsInputs(t *testing.T) {
	w := newWorld(testView([]string{"north", "south"}, 1))
	w.submit(chainJob("a"))
	w.run(time.Second)
	j := w.core.jobs["a"]
	assert.Assert(t, j != nil)
	domain := j.stages[1].results[0].worker.endpoint.Domain
	for _, s := range j.stages[1:] {
		for _, r := range s.results {
			assert.Equal(t, r.worker.endpoint.Domain, domain)
		}
	}
}

// A call has places left for half of a stage's pieces. The other half went to an
// idle endpoint in another domain at once, and each piece of the next stage read
// half of its inputs from there.
func TestPiecesOfAStageKeepTogether(t *testing.T) {
	c := New("test")
	c.SetView(epoch, testView([]string{"north", "south"}, 1))
	p := c.pools[serviceLight]
	for _, ticket := range []string{"a", "b"} {
		work := chainJob(ticket)
		work.Stages[1].Pieces = 16
		s := newJob(work, epoch).stages[1]
		s.since = epoch
		p.push(s)
	}
	north, south := p.workers[0], p.workers[1]
	assert.Equal(t, len(p.batch(north, epoch)), 24)
	assert.Equal(t, len(p.batch(south, epoch)), 0)
	assert.Equal(t, len(p.batch(south, epoch.Add(homeWait))), 8, "not for longer than a while")
}
