package entry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/route"
	"github.com/mangostage/mangostage/wire"
)

func agentReport(endpoint, incarnation string, seq uint64, inFlight int) wire.AgentReport {
	return wire.AgentReport{
		Process:  wire.Process{Name: endpoint, Incarnation: incarnation, Role: wire.RoleAgent},
		Endpoint: endpoint,
		Pool:     "engines",
		Seq:      seq,
		Capacity: 16,
		InFlight: inFlight,
	}
}

func testFleet(n int, now time.Time) *fleet {
	f := newFleet("entry-1", "north")
	places := make([]place, n)
	for i := range places {
		places[i] = place{Endpoint: fmt.Sprintf("engines-%d", i+1), Pool: "engines", Domain: "north"}
	}
	f.setPlaces(places, 1, now)
	for _, p := range places {
		f.setReport(agentReport(p.Endpoint, "i1", 1, 0), now)
	}
	return f
}

// Replies overtake each other on their way, so a report may come after one
// that is newer. Taking the older one would show a full endpoint as idle and
// send it the next burst.
func TestLateReportIsDropped(t *testing.T) {
	now := time.Now()
	f := testFleet(2, now)
	f.setReport(agentReport("engines-1", "i1", 5, 9), now)
	f.setReport(agentReport("engines-1", "i1", 4, 1), now)
	shown := f.snapshot(now.Add(time.Second)).Pools["engines"].Endpoint("engines-1")
	assert.Equal(t, shown.Report.InFlight, 9)
	f.setReport(agentReport("engines-1", "i2", 1, 0), now)
	shown = f.snapshot(now.Add(2 * time.Second)).Pools["engines"].Endpoint("engines-1")
	assert.Equal(t, shown.Report.Process.Incarnation, "i2", "a restarted agent counts from one")
}

// Between a report's arrival and the snapshot that shows it, the own sends are
// the only sign of load. Forgetting them early makes the endpoint look idle.
func TestOwnSendsAreKeptUntilTheReportShows(t *testing.T) {
	now := time.Now()
	f := testFleet(1, now)
	load := f.load("engines-1")
	f.snapshot(now.Add(time.Second))
	load.SentSinceReport.Store(7)
	f.setReport(agentReport("engines-1", "i1", 2, 7), now.Add(time.Second))
	assert.Equal(t, load.SentSinceReport.Load(), int64(7))
	f.snapshot(now.Add(2 * time.Second))
	assert.Equal(t, load.SentSinceReport.Load(), int64(0))
}

func TestDrainingAndLeavingShowAtOnce(t *testing.T) {
	now := time.Now()
	f := testFleet(2, now)
	draining := agentReport("engines-1", "i1", 2, 0)
	draining.Draining = true
	f.setReport(draining, now)
	assert.Equal(t, f.snapshot(now).Pools["engines"].Endpoint("engines-1").State, route.StateLeaving)
	assert.Equal(t, f.usable(), 1)
	f.setPlaces([]place{{Endpoint: "engines-2", Pool: "engines", Away: route.AwayLeaving}}, 1, now)
	assert.Equal(t, f.usable(), 0)
	assert.Assert(t, f.load("engines-1") == nil, "a member that is gone is forgotten")
}

// In a burst calls wait at the agents of sound endpoints for longer than three
// usual calls take. Counted as slow, they would eject endpoints just when each
// is needed.
func TestWaitingIsNotOverdue(t *testing.T) {
	now := time.Now()
	f := testFleet(3, now)
	for i := range 20 {
		for _, name := range []string{"engines-1", "engines-2", "engines-3"} {
			f.observe("engines", name, route.CallSucceeded, time.Second, now.Add(time.Duration(i)*time.Second))
		}
	}
	usual := f.overdueAfter("engines", "engines-1")
	assert.Assert(t, usual > 3*time.Second && usual < 4*time.Second, "%v", usual)
	queue := agentReport("engines-1", "i1", 2, 16)
	queue.Queued, queue.P50 = 32, time.Second
	f.setReport(queue, now)
	assert.Equal(t, f.overdueAfter("engines", "engines-1"), usual+2*time.Second)
	assert.Equal(t, f.overdueAfter("engines", "engines-2"), usual)
}

func BenchmarkReportAndSnapshot(b *testing.B) {
	for _, n := range []int{12, 210, 2100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Now()
			f := testFleet(n, now)
			for i := range b.N {
				now = now.Add(snapshotInterval)
				f.setReport(agentReport("engines-7", "i1", uint64(i+2), i%16), now)
				f.snapshot(now)
			}
		})
	}
}
