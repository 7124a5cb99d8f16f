package intake

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const kilobyte = 1 << 10

// fakeConn is a connection that ends when it is told to.
type fakeConn struct {
	*Client
	reason Reason
	// ending is what it does when it is told to end.
	ending Ending
}

// rig has a table and opens connections in it.
type rig struct {
	*Table
	t *testing.T
}

func newRig(t *testing.T, l Limits) *rig { return &rig{Table: NewTable(l), t: t} }

// open opens a connection, which is nil if there is no room.
func (r *rig) open(p Phase) *fakeConn {
	r.t.Helper()
	f := &fakeConn{ending: Ends}
	f.Client = r.Open(func(reason Reason) Ending {
		if f.ending != Declines {
			f.reason = reason
		}
		return f.ending
	})
	if f.Client == nil {
		return nil
	}
	f.SetPhase(p)
	return f
}

// ticks passes a number of ticks, in each of which the connections move bytes.
func (r *rig) ticks(n int, bytes int, moving ...*fakeConn) {
	for range n {
		for _, f := range moving {
			f.Moved(bytes)
		}
		r.Tick(Timeouts{Head: time.Hour, Idle: time.Hour})
	}
}

// Guards against a crowd of connections that keeps new ones out, and against ending one that
// carries a request while others do not.
func TestOldestUselessConnectionMakesRoom(t *testing.T) {
	r := newRig(t, Limits{Conns: 4})
	serving, idle, silent, head := r.open(Serving), r.open(Idle), r.open(Silent), r.open(Head)
	assert.Assert(t, r.open(Silent) != nil)
	assert.Equal(t, silent.reason, ReasonConns)
	assert.Assert(t, r.open(Serving) != nil)
	assert.Equal(t, head.reason, ReasonConns)
	assert.Equal(t, idle.reason, Reason(""))
	assert.Equal(t, serving.reason, Reason(""))
}

// Guards against ending a connection whose request is whole.
func TestNoRoomBesideRequestsThatAreServed(t *testing.T) {
	r := newRig(t, Limits{Conns: 2})
	first, second := r.open(Serving), r.open(Serving)
	r.ticks(5, 0)
	assert.Assert(t, r.open(Silent) == nil)
	assert.Equal(t, first.reason, Reason(""))
	assert.Equal(t, second.reason, Reason(""))
	assert.Equal(t, r.Stats().Ended[ReasonConns], int64(1))
	r.Close(first.Client)
	assert.Assert(t, r.open(Silent) != nil)
}

// Guards against clients that take nothing of their answers, or stop within a body, and hold all
// connections.
func TestStalledConnectionsMakeRoom(t *testing.T) {
	for _, p := range []Phase{Body, Writing} {
		r := newRig(t, Limits{Conns: 2})
		stalled, moving := r.open(p), r.open(p)
		assert.Assert(t, r.open(Silent) == nil)
		r.ticks(4, kilobyte, moving)
		assert.Assert(t, r.open(Silent) != nil)
		assert.Equal(t, stalled.reason, ReasonConns)
		assert.Equal(t, moving.reason, Reason(""))
	}
}

// Guards against closing an idle connection whose next request is on the way.
func TestConnectionThatDeclinesIsLeftAlone(t *testing.T) {
	r := newRig(t, Limits{Conns: 2})
	declining, other := r.open(Idle), r.open(Idle)
	declining.ending = Declines
	assert.Assert(t, r.open(Silent) != nil)
	assert.Equal(t, other.reason, ReasonConns)
	r.Close(other.Client)
	assert.Equal(t, declining.reason, Reason(""))
}

// Guards against room that is given away twice while a connection takes its time to end.
func TestConnectionsThatEndCountUntilTheyHave(t *testing.T) {
	r := newRig(t, Limits{Conns: 1})
	first := r.open(Silent)
	assert.Assert(t, r.open(Serving) != nil)
	assert.Assert(t, !r.AwaitRoom(time.Millisecond))
	r.Close(first.Client)
	assert.Assert(t, r.AwaitRoom(time.Millisecond))
}

// Guards against refused connections that wait for their clients and keep new ones out.
func TestRefusedConnectionMakesRoomAtOnce(t *testing.T) {
	r := newRig(t, Limits{Conns: 2, Bytes: 100 * kilobyte})
	refused, other := r.open(Body), r.open(Body)
	assert.Assert(t, r.Reserve(refused.Client, "a", 80*kilobyte))
	r.ticks(3, slowBytes, other)
	assert.Assert(t, r.Reserve(other.Client, "b", 80*kilobyte))
	assert.Equal(t, refused.reason, ReasonMemory)
	refused.SetPhase(Closing)
	refused.ending = Ended
	assert.Assert(t, r.open(Serving) != nil)
	assert.Assert(t, r.open(Serving) == nil, "the other one still sends its body")
	assert.Assert(t, r.AwaitRoom(time.Millisecond))
	r.Close(refused.Client)
	assert.Equal(t, r.ending, 0)
	assert.Equal(t, r.Stats().Bytes, int64(80*kilobyte))
}

// Guards against bodies that stop short and keep the memory that others ask for.
func TestSlowRequestsPayFirst(t *testing.T) {
	r := newRig(t, Limits{Conns: 10, Bytes: 100 * kilobyte})
	slow, slowest, moving := r.open(Body), r.open(Body), r.open(Body)
	assert.Assert(t, r.Reserve(slow.Client, "a", 20*kilobyte))
	assert.Assert(t, r.Reserve(slowest.Client, "a", 30*kilobyte))
	assert.Assert(t, r.Reserve(moving.Client, "a", 50*kilobyte))
	late := r.open(Body)
	assert.Assert(t, !r.Reserve(late.Client, "a", 25*kilobyte), "nobody is known to be slow yet")
	r.ticks(2, slowBytes, moving)
	assert.Assert(t, r.Reserve(late.Client, "a", 25*kilobyte))
	assert.Equal(t, slowest.reason, ReasonMemory)
	assert.Equal(t, slow.reason, Reason(""))
	assert.Equal(t, moving.reason, Reason(""))
}

// Guards against one account's crowd that takes the memory of all others, however fast it sends.
func TestAccountThatHoldsMostPays(t *testing.T) {
	r := newRig(t, Limits{Conns: 10, Bytes: 100 * kilobyte})
	small, large := r.open(Body), r.open(Body)
	assert.Assert(t, r.Reserve(small.Client, "crowd", 40*kilobyte))
	assert.Assert(t, r.Reserve(large.Client, "crowd", 60*kilobyte))
	other := r.open(Body)
	assert.Assert(t, r.Reserve(other.Client, "other", 40*kilobyte))
	assert.Equal(t, large.reason, ReasonMemory)
	more := r.open(Body)
	assert.Assert(t, !r.Reserve(more.Client, "crowd", 40*kilobyte), "the account holds as much already")
	assert.Equal(t, other.reason, Reason(""))
}

// Guards against a large head by which a crowd's bodies count as nobody's.
func TestHeadCountsAsTheAccountsOnceThatIsKnown(t *testing.T) {
	r := newRig(t, Limits{Conns: 10, Bytes: 100 * kilobyte})
	crowd, other := r.open(Head), r.open(Body)
	assert.Assert(t, r.Reserve(crowd.Client, "", 30*kilobyte))
	assert.Assert(t, r.Reserve(crowd.Client, "crowd", 50*kilobyte))
	assert.Equal(t, r.accounts["crowd"], int64(80*kilobyte))
	assert.Equal(t, r.accounts[""], int64(0))
	assert.Assert(t, r.Reserve(other.Client, "", 50*kilobyte))
	assert.Equal(t, crowd.reason, ReasonMemory)
}

// Guards against ending a request that an endpoint may have.
func TestRequestThatIsServedKeepsItsMemory(t *testing.T) {
	r := newRig(t, Limits{Conns: 10, Bytes: 100 * kilobyte})
	serving := r.open(Body)
	assert.Assert(t, r.Reserve(serving.Client, "a", 100*kilobyte))
	serving.SetPhase(Serving)
	r.ticks(5, 0)
	late := r.open(Body)
	assert.Assert(t, !r.Reserve(late.Client, "b", 10*kilobyte))
	assert.Equal(t, serving.reason, Reason(""))
	r.Release(serving.Client)
	assert.Assert(t, r.Reserve(late.Client, "b", 10*kilobyte))
}

// Guards against memory that is promised again before those that held it have ended.
func TestMemoryOfEndingRequestsIsBounded(t *testing.T) {
	r := newRig(t, Limits{Conns: 100, Bytes: 100 * kilobyte})
	for range 10 {
		assert.Assert(t, r.Reserve(r.open(Body).Client, "a", 10*kilobyte))
	}
	r.ticks(3, 0)
	granted := 0
	for range 10 {
		if r.Reserve(r.open(Body).Client, "a", 10*kilobyte) {
			granted++
		}
	}
	assert.Assert(t, granted > 0 && granted <= 3, "%d", granted)
	assert.Assert(t, r.Stats().Bytes <= 130*kilobyte)
}

// Guards against connections that stay without a request, heads without end, and answers of which
// nothing is taken.
func TestOverdueConnectionsEnd(t *testing.T) {
	r := newRig(t, Limits{Conns: 10})
	overdue := map[Phase]Reason{Silent: ReasonIdleTimeout, Idle: ReasonIdleTimeout, Head: ReasonHeadTimeout, Writing: ReasonWriteTimeout, Serving: "", Body: ""}
	conns := make(map[Phase]*fakeConn)
	for p := range overdue {
		conns[p] = r.open(p)
	}
	taking := r.open(Writing)
	timeouts := Timeouts{Head: 2 * TickInterval, Idle: 4 * TickInterval}
	for tick := range 7 {
		for p, f := range conns {
			early := f.reason != "" && tick < 2
			assert.Assert(t, !early, "%s at tick %d", p, tick)
		}
		taking.Moved(1)
		r.Tick(timeouts)
	}
	for p, reason := range overdue {
		assert.Equal(t, conns[p].reason, reason, p.String())
	}
	assert.Equal(t, taking.reason, Reason(""))
}

// Guards against figures that do not return to zero when all clients have left.
func TestNothingIsLeftOfClosedConnections(t *testing.T) {
	r := newRig(t, Limits{Conns: 3, Bytes: 50 * kilobyte})
	for i := range 50 {
		f := r.open([]Phase{Silent, Head, Body}[i%3])
		if f == nil {
			continue
		}
		_ = r.Reserve(f.Client, "a", 20*kilobyte)
		r.ticks(1, 0)
		r.Close(f.Client)
		r.Close(f.Client)
	}
	s := r.Stats()
	assert.Equal(t, s.Bytes, int64(0))
	assert.Equal(t, len(s.Conns), 0)
	assert.Equal(t, len(r.accounts), 0)
	assert.Equal(t, r.ending, 0)
}

// Guards against room for clients that leaves none for the rest of the process, at the sizes of
// VMs from the smallest to the largest.
func TestRoomOfAProcess(t *testing.T) {
	const maxBody = 4 << 20
	for _, size := range []struct {
		memory  int64
		sockets int
	}{{96 << 20, 200}, {144 << 20, 2875}, {184 << 20, 3900}, {284 << 20, 3900}, {536 << 20, 10050}} {
		l := ForProcess(size.memory, size.sockets)
		assert.Assert(t, 2*l.Conns < size.sockets, "%+v", l)
		assert.Assert(t, l.Bytes > maxBody)
		assert.Assert(t, int64(l.Conns)*connBytes+l.Bytes <= size.memory*6/10, "%+v", l)
	}
}
