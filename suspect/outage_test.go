package suspect

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOutageQuarantinesNothing guards against a request that is refused for minutes
// because it was lost with one endpoint, and alone with the next, in an outage that
// took other endpoints too.
func TestOutageQuarantinesNothing(t *testing.T) {
	table := New("entry-1/a", limit)
	crashOn(table, "other", "engine-3", start, "third")
	crashOn(table, "a", "engine-1", start, "b")
	now := start.Add(15 * time.Millisecond)
	assert.Equal(t, crashOn(table, "a", "engine-2", now), Decision{Exclusive: true})
	assert.Equal(t, table.RefusedFor("a", now), time.Duration(0))
	assert.Equal(t, table.Begin("a", now), Decision{Exclusive: true})
	table.Succeeded("a", now)
	assert.Equal(t, table.Begin("a", now), Decision{})
}

// TestSuccessiveCrashesQuarantine guards against content that is not stopped because
// the endpoints that it crashes are taken for an outage.
func TestSuccessiveCrashesQuarantine(t *testing.T) {
	for name, crash := range map[string]func(*Table){
		"its copies":           func(table *Table) { crashOn(table, "bad", "engine-1", start, "a", "b") },
		"with companions":      func(table *Table) { crashOn(table, "a", "engine-1", start, "bad") },
		"unknown companions":   func(table *Table) { table.Crashed("a", Crash{Endpoint: "engine-1", Companions: 3}, start) },
		"an old crash":         func(table *Table) { crashOn(table, "a", "engine-1", start.Add(-2*outageWindow)) },
		"the same endpoint":    func(table *Table) { crashOn(table, "a", "engine-2", start) },
		"no crash but its own": func(*Table) {},
	} {
		t.Run(name, func(t *testing.T) {
			table := New("entry-1/a", limit)
			crash(table)
			crashOn(table, "bad", "engine-1", start, "a")
			crashOn(table, "bad", "engine-2", start.Add(time.Millisecond))
			assert.Assert(t, table.RefusedFor("bad", start.Add(time.Millisecond)) > 0)
		})
	}
}

// TestConcurrentCrashersAreBothQuarantined guards against two requests that crash
// endpoints at the same times and are never stopped because each is taken for the
// other's companion.
func TestConcurrentCrashersAreBothQuarantined(t *testing.T) {
	table := New("entry-1/a", limit)
	crashes := 0
	for i := range 50 {
		now := start.Add(time.Duration(i) * time.Second)
		for _, key := range []string{"bad-1", "bad-2"} {
			if !crashOn(table, key, fmt.Sprint(key, "-engine-", i), now).Refuse {
				crashes++
			}
		}
	}
	assert.Assert(t, crashes <= 2*2*limit, "%d crashes", crashes)
	assert.Assert(t, table.RefusedFor("bad-1", start.Add(50*time.Second)) > 0)
	assert.Assert(t, table.RefusedFor("bad-2", start.Add(50*time.Second)) > 0)
}
