package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/catalog"
)

var crashEpoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func endpointNamed(id string) *catalog.Endpoint { return &catalog.Endpoint{ID: id, Service: "s"} }

// crash breaks a request's connection to an endpoint and then removes the endpoint
// from the view.
func crash(c *crashTracker, now time.Time, content uint64, id string) []Crash {
	c.addBroken(now, content, endpointNamed(id))
	return c.detect(now.Add(time.Second), catalog.NewView(nil, nil, 1))
}

// A request crashes each engine that runs it, and its client keeps retrying. After
// crashLimit engines it must reach no other; after refusalDuration it may be tried
// again.
func TestContentThatCrashesIsRefused(t *testing.T) {
	c := newCrashTracker()
	now := crashEpoch
	for i := range crashLimit {
		_, refused := c.refused(now, 1)
		assert.Assert(t, !refused, "after %d crashes", i)
		assert.Equal(t, len(crash(c, now, 1, fmt.Sprint(i))), 1)
		now = now.Add(2 * time.Second)
	}
	left, refused := c.refused(now, 1)
	assert.Assert(t, refused && left > 0 && left <= refusalDuration)
	_, refused = c.refused(now, 2)
	assert.Assert(t, !refused, "other content must be served")
	_, refused = c.refused(now.Add(refusalDuration), 1)
	assert.Assert(t, !refused)
}

// Several engines crash for another reason while copies of a common request run on
// all of them. Its clients must not be refused for that.
func TestUnrelatedContentIsServed(t *testing.T) {
	tests := map[string]func(*crashTracker){
		"crashed together": func(c *crashTracker) {
			for i := range 2 * crashLimit {
				crash(c, crashEpoch, 1, fmt.Sprint(i))
			}
		},
		"served in between": func(c *crashTracker) {
			for i := range 2 * crashLimit {
				crash(c, crashEpoch.Add(time.Duration(i)*time.Second), 1, fmt.Sprint(i))
				c.recordServed(1)
			}
		},
		"endpoints are still listed": func(c *crashTracker) {
			var listed []*catalog.Endpoint
			for i := range 2 * crashLimit {
				e := endpointNamed(fmt.Sprint(i))
				listed = append(listed, e)
				at := crashEpoch.Add(time.Duration(i) * time.Second)
				c.addBroken(at, 1, e)
				c.detect(at, catalog.NewView(nil, listed, 1))
			}
		},
		"left long after": func(c *crashTracker) {
			for i := range 2 * crashLimit {
				at := crashEpoch.Add(time.Duration(i) * time.Second)
				c.addBroken(at, 1, endpointNamed(fmt.Sprint(i)))
				c.detect(at.Add(crashDetectionWindow+time.Second), catalog.NewView(nil, nil, 1))
			}
		},
		"were leaving": func(c *crashTracker) {
			for i := range 2 * crashLimit {
				at := crashEpoch.Add(time.Duration(i) * time.Second)
				c.addBroken(at, 1, &catalog.Endpoint{ID: fmt.Sprint(i), Leaving: true})
				c.detect(at, catalog.NewView(nil, nil, 1))
			}
		},
	}
	for name, happen := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCrashTracker()
			happen(c)
			_, refused := c.refused(crashEpoch.Add(10*time.Second), 1)
			assert.Assert(t, !refused)
		})
	}
}

// A crash that another gateway detected counts like a local one, and each crash
// counts once.
func TestRemoteCrashesCountOnce(t *testing.T) {
	c := newCrashTracker()
	for i := range crashLimit {
		at := crashEpoch.Add(time.Duration(i) * time.Second)
		news := Crash{Content: 7, Endpoint: fmt.Sprint(i)}
		assert.Assert(t, c.addRemote(at, news))
		assert.Assert(t, !c.addRemote(at, news))
		assert.Equal(t, len(crash(c, at, 7, fmt.Sprint(i))), 0, "detected here and received")
	}
	_, refused := c.refused(crashEpoch.Add(5*time.Second), 7)
	assert.Assert(t, refused)
}

// The memory is bounded, however many connections break.
func TestCrashesAreBounded(t *testing.T) {
	c := newCrashTracker()
	for i := range 3 * maxContents {
		now := crashEpoch.Add(time.Duration(i) * time.Millisecond)
		c.addBroken(now, uint64(i), endpointNamed(fmt.Sprint(i)))
		c.addRemote(now, Crash{Content: uint64(i), Endpoint: "e"})
		assert.Assert(t, len(c.brokenSends) <= maxContents && len(c.counts) <= maxContents)
	}
}

// Connections keep breaking while no endpoint goes away; a later crash must still be
// detected.
func TestOldBrokenSendsExpire(t *testing.T) {
	c := newCrashTracker()
	for i := range maxContents {
		c.addBroken(crashEpoch, uint64(i), endpointNamed("lives on"))
	}
	later := crashEpoch.Add(time.Minute)
	assert.Equal(t, len(crash(c, later, 1, "crashed")), 1)
}

// A request crashes an engine that restarts under its ID within its lease and is
// therefore always listed; the request crashes it again and again. After three
// crashes it must be refused, also by gateways that only received the crashes.
func TestCrashOfEndpointRestartedUnderItsID(t *testing.T) {
	c, other := newCrashTracker(), newCrashTracker()
	now := crashEpoch
	for i := range crashLimit {
		_, refused := c.refused(now, 1)
		assert.Assert(t, !refused, "after %d crashes", i)
		before := &catalog.Endpoint{ID: "e", Service: "s", Incarnation: catalog.Incarnation(i + 1)}
		after := &catalog.Endpoint{ID: "e", Service: "s", Incarnation: catalog.Incarnation(i + 2)}
		c.addBroken(now, 1, before)
		assert.Equal(t, len(c.detect(now, catalog.NewView(nil, []*catalog.Endpoint{before}, 1))), 0)
		now = now.Add(2 * time.Second)
		found := c.detect(now, catalog.NewView(nil, []*catalog.Endpoint{after}, 2))
		assert.Equal(t, len(found), 1)
		assert.Assert(t, other.addRemote(now, found[0]))
		assert.Assert(t, !other.addRemote(now, found[0]))
	}
	_, refused := c.refused(now, 1)
	assert.Assert(t, refused)
	_, refused = other.refused(now, 1)
	assert.Assert(t, refused)
}
