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
	members := make([]memberEndpoint, n)
	for i := range members {
		members[i] = memberEndpoint{Endpoint: fmt.Sprintf("engines-%d", i+1), Pool: "engines", Domain: "north"}
	}
	f.setMembers(members, 1, now)
	for _, p := range members {
		f.setReport(agentReport(p.Endpoint, "i1", 1, 0), now)
	}
	return f
}

// Replies can arrive out of order, so an older report may follow a newer one.
// Using it would show a full endpoint as idle and route the next burst to it.
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

// Until a snapshot shows a newly arrived report, the count of calls sent since
// the last report is the only sign of load. Resetting it earlier would make the
// endpoint look idle.
func TestSentCountIsKeptUntilReportIsPublished(t *testing.T) {
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
	f.setMembers([]memberEndpoint{{Endpoint: "engines-2", Pool: "engines", Unavailability: route.UnavailableLeaving}}, 1, now)
	assert.Equal(t, f.usable(), 0)
	assert.Assert(t, f.load("engines-1") == nil, "a removed member is forgotten")
}

// In a burst, calls queue at the agents of healthy endpoints for longer than
// three typical calls take. Counting them as slow would eject endpoints when all
// of them are needed.
func TestQueueingIsNotOverdue(t *testing.T) {
	now := time.Now()
	f := testFleet(3, now)
	for i := range 20 {
		for _, name := range []string{"engines-1", "engines-2", "engines-3"} {
			f.observe("engines", name, route.CallSucceeded, time.Second, now.Add(time.Duration(i)*time.Second))
		}
	}
	base := f.overdueAfter("engines", "engines-1")
	assert.Assert(t, base > 3*time.Second && base < 4*time.Second, "%v", base)
	queue := agentReport("engines-1", "i1", 2, 16)
	queue.Queued, queue.P50 = 32, time.Second
	f.setReport(queue, now)
	assert.Equal(t, f.overdueAfter("engines", "engines-1"), base+2*time.Second)
	assert.Equal(t, f.overdueAfter("engines", "engines-2"), base)
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
