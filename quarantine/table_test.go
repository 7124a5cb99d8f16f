package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/catalog"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// drain is how long a leaving endpoint of these tests serves.
const drain = 2 * time.Second

// viewOf returns a view of endpoints of the service "s".
func viewOf(endpoints ...*catalog.Endpoint) *catalog.View { return catalog.NewView(nil, endpoints, 1) }

func endpointNamed(id string) *catalog.Endpoint { return &catalog.Endpoint{ID: id, Service: "s"} }

// manyEndpoints returns the endpoints "0" to "63", so that no test loses all.
func manyEndpoints() []*catalog.Endpoint {
	var all []*catalog.Endpoint
	for i := range 64 {
		all = append(all, endpointNamed(fmt.Sprint(i)))
	}
	return all
}

func newTestTable() *Table {
	t := NewTable(drain)
	t.SetView(epoch, viewOf(manyEndpoints()...))
	return t
}

// breakUnder breaks a connection to an endpoint under a content.
func breakUnder(t *Table, now time.Time, content Content, endpoint string) Loss {
	l, _ := t.RecordBreak(now, Break{Content: content, Endpoint: Endpoint{Key: endpoint, Service: "s"}, RanFor: 90 * time.Millisecond})
	return l
}

// crash breaks a connection to an endpoint that refuses new ones.
func crash(t *Table, now time.Time, content Content, endpoint string) []Resolved {
	breakUnder(t, now, content, endpoint)
	resolved, _ := t.Resolve(now, now, endpoint, Crashed, EvidenceRefused)
	return resolved
}

// isRefused reports whether a content is refused.
func isRefused(t *Table, now time.Time, content Content) bool {
	return t.State(now, content).RefusedFor > 0
}

// Guards against content that crashes endpoint after endpoint while its client retries it:
// after crashLimit endpoints it must reach no other.
func TestContentThatCrashesIsRefused(t *testing.T) {
	c := newTestTable()
	now := epoch
	for i := range crashLimit {
		assert.Assert(t, !isRefused(c, now, 1), "after %d crashes", i)
		assert.Equal(t, len(crash(c, now, 1, fmt.Sprint(i))), 1)
		now = now.Add(2 * time.Second)
	}
	left := c.State(now, 1).RefusedFor
	assert.Assert(t, left > 0 && left <= trialDelay)
	assert.Assert(t, !isRefused(c, now, 2), "other content must be served")
	assert.Assert(t, !isRefused(c, now.Add(trialDelay), 1))
}

// Guards against crashes in quick succession that count as one: a send and its retry.
func TestCrashesInQuickSuccessionCount(t *testing.T) {
	c := newTestTable()
	for i := range crashLimit {
		crash(c, epoch.Add(time.Duration(i)*10*time.Millisecond), 1, fmt.Sprint(i))
	}
	assert.Assert(t, isRefused(c, epoch.Add(50*time.Millisecond), 1))
}

// Guards against content that comes so seldom that its crashes are forgotten in between.
func TestSeldomContentIsRefused(t *testing.T) {
	c := newTestTable()
	now := epoch
	for i := range crashLimit {
		crash(c, now, 1, fmt.Sprint(i))
		now = now.Add(50 * time.Second)
		c.Merge(now, Loss{Content: Content(100 + i), Endpoint: "x", Verdict: Alive})
	}
	assert.Assert(t, isRefused(c, now.Add(-49*time.Second), 1))
}

// Guards against content that crashes every second endpoint that runs it and is cleared by
// each answer.
func TestContentThatCrashesSometimesIsRefused(t *testing.T) {
	c := newTestTable()
	now := epoch
	crashes := 0
	for ; crashes < 2*crashLimit && !isRefused(c, now, 1); crashes++ {
		crash(c, now, 1, fmt.Sprint(crashes))
		if !isRefused(c, now, 1) {
			c.RecordAnswer(now, 1, false)
		}
		now = now.Add(200 * time.Millisecond)
	}
	assert.Assert(t, isRefused(c, now, 1))
	assert.Assert(t, crashes < 2*crashLimit, "%d crashes", crashes)
}

// Guards against clients that are refused because endpoints ended, or connections broke,
// for another reason while their requests ran.
func TestUnrelatedContentIsServed(t *testing.T) {
	tests := map[string]func(*Table){
		"answered in between": func(c *Table) {
			for i := range 2 * crashLimit {
				at := epoch.Add(time.Duration(i) * time.Second)
				crash(c, at, 1, fmt.Sprint(i))
				for range answersToForgive {
					c.RecordAnswer(at, 1, false)
				}
			}
		},
		"endpoints live": func(c *Table) {
			for i := range 2 * crashLimit {
				at := epoch.Add(time.Duration(i) * time.Second)
				breakUnder(c, at, 1, fmt.Sprint(i))
				c.Resolve(at, at, fmt.Sprint(i), Alive, EvidenceAccepted)
			}
		},
		"endpoints live and their entries lapse": func(c *Table) {
			for i := range 2 * crashLimit {
				breakUnder(c, epoch, 1, fmt.Sprint(i))
				c.Resolve(epoch, epoch, fmt.Sprint(i), Alive, EvidenceAccepted)
			}
			c.SetView(epoch.Add(time.Second), viewOf(endpointNamed("other")))
		},
		"endpoints are silent": func(c *Table) {
			for i := range 2 * crashLimit {
				breakUnder(c, epoch, 1, fmt.Sprint(i))
				c.Resolve(epoch, epoch, fmt.Sprint(i), Silent, EvidenceNoAnswer)
			}
		},
		"left long after": func(c *Table) {
			for i := range 2 * crashLimit {
				breakUnder(c, epoch, 1, fmt.Sprint(i))
				c.Resolve(epoch, epoch, fmt.Sprint(i), Silent, EvidenceNoAnswer)
			}
			c.SetView(epoch.Add(listWindow+time.Second), viewOf(endpointNamed("other")))
		},
		"were leaving": func(c *Table) {
			leaving := manyEndpoints()
			for _, e := range leaving {
				e.Leaving = true
			}
			c.SetView(epoch.Add(-drain), viewOf(leaving...))
			for i := range 2 * crashLimit {
				crash(c, epoch.Add(time.Duration(i)*time.Second), 1, fmt.Sprint(i))
			}
		},
		"never known": func(c *Table) {
			for i := range 2 * crashLimit {
				breakUnder(c, epoch, 1, fmt.Sprint(i))
			}
		},
	}
	for name, happen := range tests {
		t.Run(name, func(t *testing.T) {
			c := newTestTable()
			happen(c)
			assert.Assert(t, !isRefused(c, epoch.Add(10*time.Second), 1))
		})
	}
}

// Guards against crashes that count twice, here and as told by another member, or that are
// told on without end.
func TestRemoteCrashesCountOnce(t *testing.T) {
	c := newTestTable()
	for i := range crashLimit {
		at := epoch.Add(time.Duration(i) * time.Second)
		news := Loss{Content: 7, Endpoint: fmt.Sprint(i), Service: "s", Verdict: Crashed}
		assert.Assert(t, c.Merge(at, news))
		assert.Assert(t, !c.Merge(at, news))
		assert.Equal(t, len(crash(c, at, 7, fmt.Sprint(i))), 0, "detected here and received")
	}
	assert.Assert(t, isRefused(c, epoch.Add(2*time.Second), 7))
}

// Guards against memory that grows with the connections that break, and against a
// quarantine that is forgotten in a large outage.
func TestCrashesAreBounded(t *testing.T) {
	c := newTestTable()
	for i := range crashLimit {
		crash(c, epoch, 0, fmt.Sprint(i))
	}
	now := epoch
	for i := range 3 * maxContents {
		now = epoch.Add(time.Duration(i) * time.Millisecond)
		crash(c, now, Content(i+1), fmt.Sprint("other-", i))
		for range 2 {
			crash(c, now, 1<<40, fmt.Sprint("more-", i))
		}
	}
	assert.Assert(t, len(c.contents) <= maxContents && len(c.lost) <= maxLost)
	assert.Assert(t, len(c.contents[1<<40].losses) <= maxLossesPerContent)
	assert.Equal(t, c.State(now, 0).Standing, Quarantined)
}

// Guards against broken connections that fill the memory while no endpoint ends: a later
// crash must still be detected.
func TestOldBrokenSendsExpire(t *testing.T) {
	c := newTestTable()
	for i := range 2 * maxContents {
		breakUnder(c, epoch, Content(i+1), "lives on")
	}
	later := epoch.Add(time.Minute)
	assert.Equal(t, len(crash(c, later, 1<<40, "crashed")), 1)
}

// Guards against content that crashes an endpoint which restarts under its ID within its
// lease and is therefore always listed, and accepts connections again at once.
func TestCrashOfEndpointRestartedUnderItsID(t *testing.T) {
	c, other := newTestTable(), newTestTable()
	now := epoch
	for i := range crashLimit {
		assert.Assert(t, !isRefused(c, now, 1), "after %d crashes", i)
		before := &catalog.Endpoint{ID: "e", Service: "s", Incarnation: catalog.Incarnation(i + 1)}
		after := &catalog.Endpoint{ID: "e", Service: "s", Incarnation: catalog.Incarnation(i + 2)}
		c.SetView(now, viewOf(before, endpointNamed("other")))
		breakUnder(c, now, 1, before.Key())
		resolved, _ := c.Resolve(now, now, before.Key(), Alive, EvidenceAccepted)
		assert.Equal(t, resolved[0].Verdict, Alive)
		now = now.Add(2 * time.Second)
		found := c.SetView(now, viewOf(after, endpointNamed("other")))
		assert.Equal(t, len(found), 1)
		assert.Equal(t, found[0].Evidence, EvidenceReplaced)
		assert.Assert(t, other.Merge(now, found[0].Loss))
		assert.Assert(t, !other.Merge(now, found[0].Loss))
	}
	assert.Assert(t, isRefused(c, now, 1))
	assert.Assert(t, isRefused(other, now, 1))
}

// Guards against crashes of an endpoint that do not count because its entry had lapsed, or
// said that it leaves, for a while before.
func TestEndpointThatIsListedAgainCanCrash(t *testing.T) {
	leaving := endpointNamed("0")
	leaving.Leaving = true
	for name, before := range map[string]*catalog.View{
		"lapsed":  viewOf(manyEndpoints()[1:]...),
		"leaving": viewOf(append(manyEndpoints()[1:], leaving)...),
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestTable()
			c.SetView(epoch, before)
			later := epoch.Add(2 * drain)
			c.SetView(later, viewOf(manyEndpoints()...))
			assert.Equal(t, crash(c, later, 1, "0")[0].Verdict, Crashed)
		})
	}
}

// Guards against a lost VM that counts as a planned end because its entry had lapsed for a
// while when the list was looked at.
func TestEntryThatLapsesAfterTheBreakShowsACrash(t *testing.T) {
	c := newTestTable()
	breakUnder(c, epoch, 1, "0")
	c.Resolve(epoch, epoch, "0", Silent, EvidenceNoAnswer)
	c.SetView(epoch.Add(time.Second), viewOf(manyEndpoints()...))
	found := c.SetView(epoch.Add(listWindow), viewOf(manyEndpoints()[1:]...))
	assert.Equal(t, len(found), 1)
	assert.Equal(t, found[0].Verdict, Crashed)
}

// Guards against crashes of endpoints that have just said that they leave: they still serve.
func TestLeavingEndpointCanCrash(t *testing.T) {
	c := newTestTable()
	leaving := manyEndpoints()
	for _, e := range leaving {
		e.Leaving = true
	}
	c.SetView(epoch, viewOf(leaving...))
	for i := range crashLimit {
		crash(c, epoch.Add(drain/2), 1, string(rune('0'+i)))
	}
	assert.Equal(t, c.State(epoch.Add(drain/2), 1).Standing, Quarantined)
}

// Guards against a break after the connection that showed a living endpoint was opened: it
// must not be cleared by that.
func TestLaterBreakIsNotCleared(t *testing.T) {
	c := newTestTable()
	breakUnder(c, epoch, 1, "0")
	opened := epoch.Add(50 * time.Millisecond)
	breakUnder(c, opened.Add(time.Millisecond), 2, "0")
	resolved, more := c.Resolve(opened.Add(2*time.Millisecond), opened, "0", Alive, EvidenceAccepted)
	assert.Assert(t, more)
	assert.Equal(t, len(resolved), 1)
	assert.Equal(t, resolved[0].Content, Content(1))
}

// Guards against copies that run at the same time and crash more endpoints than the content
// may, before their crashes are known.
func TestRunsOfSuspectContentAreLimited(t *testing.T) {
	c := newTestTable()
	begin := func(now time.Time) Outcome {
		return c.Begin(now, 1, now.String(), now.Add(time.Minute)).Outcome
	}
	assert.Equal(t, begin(epoch), Granted)
	crash(c, epoch, 1, "0")
	now := epoch
	granted := 0
	for i := range 10 {
		if begin(now.Add(time.Duration(i))) == Granted {
			granted++
		}
	}
	assert.Equal(t, granted, crashLimit-1)
	later := now.Add(minRunTime + time.Millisecond)
	assert.Equal(t, begin(later), Granted, "runs that outlast the crash by far leave their places")
}

// Guards against content that waits for the verdict on broken connections as if it were
// quarantined, and against verdicts that never come.
func TestVerdictsAreAwaited(t *testing.T) {
	c := newTestTable()
	for i := range crashLimit {
		breakUnder(c, epoch, 1, fmt.Sprint(i))
	}
	assert.Equal(t, c.Begin(epoch, 1, "run", epoch.Add(time.Minute)).Outcome, Waiting)
	assert.Assert(t, !isRefused(c, epoch, 1))
	later := epoch.Add(pendingTime)
	assert.Equal(t, c.Begin(later, 1, "run", later.Add(time.Minute)).Outcome, Granted)
}

// Guards against a member that has forgotten what a greeting must tell first.
func TestQuarantinedContentIsToldFirst(t *testing.T) {
	c := newTestTable()
	for i := range crashLimit {
		crash(c, epoch, 1, fmt.Sprint(i))
	}
	for i := range 300 {
		crash(c, epoch.Add(time.Second), Content(i+2), fmt.Sprint("e-", i))
	}
	other := newTestTable()
	for _, l := range c.Known(epoch.Add(time.Second), 100) {
		other.Merge(epoch.Add(time.Second), l)
	}
	assert.Equal(t, other.State(epoch.Add(time.Second), 1).Standing, Quarantined)
}
