package delegation_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/scheduler/delegation"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// busyTable returns the table of an owner that makes many calls, with two strong members in each
// of two domains and a weak one.
func busyTable() *delegation.Table[string] {
	t := delegation.NewTable[string](0.8)
	for _, domain := range []string{"a", "b"} {
		for i := range 2 {
			name := fmt.Sprint(domain, i)
			t.Join(name, delegation.Offer{Name: name, Domain: domain, Cores: 0.8})
		}
	}
	t.Join("weak", delegation.Offer{Name: "weak", Domain: "c", Cores: 0.1})
	for i := range 400 {
		t.Count(start.Add(time.Duration(i) * 2 * time.Millisecond))
	}
	return t
}

// Guards against calls of a small fleet that go through another member without need.
func TestFewCallsAreNotDelegated(t *testing.T) {
	table := delegation.NewTable[string](0.8)
	table.Join("a", delegation.Offer{Name: "a", Domain: "a", Cores: 0.8})
	for i := range 100 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		table.Count(now)
		_, ok := table.Choose(now, "a", "endpoint")
		assert.Assert(t, !ok)
	}
}

// Guards against a rate at the bound that makes calls change their way again and again, and one
// that has fallen and is still delegated.
func TestDelegationEndsFarBelowItsBeginning(t *testing.T) {
	table := busyTable()
	now := start.Add(time.Second)
	delegated := func(perSecond, seconds int) (n int) {
		for range perSecond * seconds {
			now = now.Add(time.Second / time.Duration(perSecond))
			table.Count(now)
			if _, ok := table.Choose(now, "a", "endpoint"); ok {
				n++
			}
		}
		return n
	}
	assert.Equal(t, delegated(150, 3), 450)
	delegated(20, 3)
	assert.Equal(t, delegated(20, 3), 0)
}

// Guards against calls that cross failure domains without need, and against a weak member that is
// used up by the calls of a strong one.
func TestChoice(t *testing.T) {
	table := busyTable()
	now := start.Add(time.Second)
	used := make(map[string]int)
	for i := range 100 {
		m, ok := table.Choose(now, "a", fmt.Sprint("endpoint", i))
		assert.Assert(t, ok)
		assert.Assert(t, m == "a0" || m == "a1", m)
		used[m]++
		again, _ := table.Choose(now, "a", fmt.Sprint("endpoint", i))
		assert.Equal(t, again, m, "an endpoint is called by one member")
	}
	assert.Equal(t, len(used), 2, "%v", used)
	m, ok := table.Choose(now, "c", "endpoint")
	assert.Assert(t, ok && m != "weak", m)
}

// Guards against calls for a member that is stopping.
func TestWithdrawnMemberGetsNoCalls(t *testing.T) {
	table := busyTable()
	now := start.Add(time.Second)
	table.Assign(start, 1, "a0", now.Add(time.Second))
	table.Withdraw("a0")
	for i := range 100 {
		m, ok := table.Choose(now, "a", fmt.Sprint("endpoint", i))
		assert.Assert(t, ok && m == "a1", m)
	}
	assert.Assert(t, table.End(1), "what is under way is reported")
}

// Guards against calls that nobody ends because their member is lost.
func TestCallsOfALostMemberAreAbandoned(t *testing.T) {
	table := busyTable()
	now := start.Add(time.Second)
	table.Assign(start, 2, "a0", now.Add(time.Second))
	table.Assign(start, 1, "a0", now.Add(time.Second))
	table.Assign(start, 3, "a1", now.Add(time.Second))
	assert.DeepEqual(t, table.Lost("a0"), []uint64{1, 2})
	assert.Assert(t, !table.End(1), "a late end is not one")
	assert.Equal(t, table.Delegated(), 1)
}

// Guards against a member that is frozen or cut off and goes on to get calls.
func TestSilentMemberGetsNoCallsForAWhile(t *testing.T) {
	table := busyTable()
	now := start.Add(time.Second)
	table.Assign(start, 1, "a0", now.Add(100*time.Millisecond))
	table.Assign(start, 2, "a0", now.Add(time.Minute))
	assert.Equal(t, len(table.Overdue(now)), 0)
	now = now.Add(200 * time.Millisecond)
	assert.DeepEqual(t, table.Overdue(now), []uint64{1, 2})
	for i := range 100 {
		m, ok := table.Choose(now, "a", fmt.Sprint("endpoint", i))
		assert.Assert(t, ok && m == "a1", m)
	}
	returned := false
	for i := range 100 {
		m, _ := table.Choose(now.Add(6*time.Second), "a", fmt.Sprint("endpoint", i))
		returned = returned || m == "a0"
	}
	assert.Assert(t, returned)
}

// Guards against an owner without a member that could make its calls.
func TestOwnerMakesCallsItself(t *testing.T) {
	table := busyTable()
	now := start.Add(time.Second)
	for _, m := range []string{"a0", "a1", "b0", "b1"} {
		table.Lost(m)
	}
	_, ok := table.Choose(now, "a", "endpoint")
	assert.Assert(t, !ok)
}

// Guards against an owner that was frozen itself and takes all members for silent, whose reports it
// has not read yet.
func TestPauseOfTheOwnerAbandonsNoCalls(t *testing.T) {
	table := busyTable()
	now := start.Add(time.Second)
	table.Overdue(now)
	table.Assign(now.Add(-time.Millisecond), 1, "a0", now.Add(time.Second))
	now = now.Add(3 * time.Second)
	assert.Equal(t, len(table.Overdue(now)), 0)
	for range 5 {
		now = now.Add(300 * time.Millisecond)
		if abandoned := table.Overdue(now); len(abandoned) > 0 {
			assert.DeepEqual(t, abandoned, []uint64{1})
			return
		}
	}
	t.Fatal("a call whose end is not heard is never abandoned")
}
