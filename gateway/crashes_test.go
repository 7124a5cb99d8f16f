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

// crash lets an endpoint break off a request and vanish from the list.
func crash(c *crashes, now time.Time, content uint64, id string) []Crash {
	c.broke(now, content, endpointNamed(id))
	return c.gone(now.Add(time.Second), catalog.NewView(nil, nil, 1))
}

// A request crashes each engine that runs it, and its client sends it again and
// again. After three engines it must reach no other; when its time is over it
// may be tried anew.
func TestContentThatCrashesIsRefused(t *testing.T) {
	c := newCrashes()
	now := crashEpoch
	for i := range maxCrashes {
		_, refused := c.refused(now, 1)
		assert.Assert(t, !refused, "after %d crashes", i)
		assert.Equal(t, len(crash(c, now, 1, fmt.Sprint(i))), 1)
		now = now.Add(2 * time.Second)
	}
	left, refused := c.refused(now, 1)
	assert.Assert(t, refused && left > 0 && left <= convictedFor)
	_, refused = c.refused(now, 2)
	assert.Assert(t, !refused, "other content")
	_, refused = c.refused(now.Add(convictedFor), 1)
	assert.Assert(t, !refused)
}

// Several engines crash for another reason while copies of a common request run
// at all of them. Its clients must not be refused for it.
func TestContentBesideTheCauseIsServed(t *testing.T) {
	tests := map[string]func(*crashes){
		"crashed together": func(c *crashes) {
			for i := range 2 * maxCrashes {
				crash(c, crashEpoch, 1, fmt.Sprint(i))
			}
		},
		"served in between": func(c *crashes) {
			for i := range 2 * maxCrashes {
				crash(c, crashEpoch.Add(time.Duration(i)*time.Second), 1, fmt.Sprint(i))
				c.served(1)
			}
		},
		"endpoints live on": func(c *crashes) {
			var listed []*catalog.Endpoint
			for i := range 2 * maxCrashes {
				e := endpointNamed(fmt.Sprint(i))
				listed = append(listed, e)
				at := crashEpoch.Add(time.Duration(i) * time.Second)
				c.broke(at, 1, e)
				c.gone(at, catalog.NewView(nil, listed, 1))
			}
		},
		"left long after": func(c *crashes) {
			for i := range 2 * maxCrashes {
				at := crashEpoch.Add(time.Duration(i) * time.Second)
				c.broke(at, 1, endpointNamed(fmt.Sprint(i)))
				c.gone(at.Add(crashSpan+time.Second), catalog.NewView(nil, nil, 1))
			}
		},
		"were leaving": func(c *crashes) {
			for i := range 2 * maxCrashes {
				at := crashEpoch.Add(time.Duration(i) * time.Second)
				c.broke(at, 1, &catalog.Endpoint{ID: fmt.Sprint(i), Leaving: true})
				c.gone(at, catalog.NewView(nil, nil, 1))
			}
		},
	}
	for name, happen := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCrashes()
			happen(c)
			_, refused := c.refused(crashEpoch.Add(10*time.Second), 1)
			assert.Assert(t, !refused)
		})
	}
}

// What a gateway hears from others counts like what it saw, each crash once.
func TestCrashesOfOthersCountOnce(t *testing.T) {
	c := newCrashes()
	for i := range maxCrashes {
		at := crashEpoch.Add(time.Duration(i) * time.Second)
		news := Crash{Content: 7, Endpoint: fmt.Sprint(i)}
		assert.Assert(t, c.heard(at, news))
		assert.Assert(t, !c.heard(at, news))
		assert.Equal(t, len(crash(c, at, 7, fmt.Sprint(i))), 0, "seen and heard")
	}
	_, refused := c.refused(crashEpoch.Add(5*time.Second), 7)
	assert.Assert(t, refused)
}

// Whatever breaks, the memory is bounded.
func TestCrashesAreBounded(t *testing.T) {
	c := newCrashes()
	for i := range 3 * maxContents {
		now := crashEpoch.Add(time.Duration(i) * time.Millisecond)
		c.broke(now, uint64(i), endpointNamed(fmt.Sprint(i)))
		c.heard(now, Crash{Content: uint64(i), Endpoint: "e"})
		assert.Assert(t, len(c.broken) <= maxContents && len(c.counts) <= maxContents)
	}
}

// Connections break all day while no endpoint goes; a crash after that must
// still be seen.
func TestOldBrokenSendsMakeRoom(t *testing.T) {
	c := newCrashes()
	for i := range maxContents {
		c.broke(crashEpoch, uint64(i), endpointNamed("lives on"))
	}
	later := crashEpoch.Add(time.Minute)
	assert.Equal(t, len(crash(c, later, 1, "crashed")), 1)
}

// A request crashes an engine, which is back under its ID within its lease, so
// that it is never off the list; the request crashes it again and again. After
// three crashes it must be refused, also by gateways that only heard of them.
func TestCrashOfEndpointThatIsBackUnderItsID(t *testing.T) {
	c, other := newCrashes(), newCrashes()
	now := crashEpoch
	for i := range maxCrashes {
		_, refused := c.refused(now, 1)
		assert.Assert(t, !refused, "after %d crashes", i)
		before := &catalog.Endpoint{ID: "e", Service: "s", Incarnation: catalog.Incarnation(i + 1)}
		after := &catalog.Endpoint{ID: "e", Service: "s", Incarnation: catalog.Incarnation(i + 2)}
		c.broke(now, 1, before)
		assert.Equal(t, len(c.gone(now, catalog.NewView(nil, []*catalog.Endpoint{before}, 1))), 0)
		now = now.Add(2 * time.Second)
		found := c.gone(now, catalog.NewView(nil, []*catalog.Endpoint{after}, 2))
		assert.Equal(t, len(found), 1)
		assert.Assert(t, other.heard(now, found[0]))
		assert.Assert(t, !other.heard(now, found[0]))
	}
	_, refused := c.refused(now, 1)
	assert.Assert(t, refused)
	_, refused = other.refused(now, 1)
	assert.Assert(t, refused)
}
