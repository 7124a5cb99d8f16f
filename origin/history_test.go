package origin

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/catalog"
)

// lifetime is how long a stream of these tests lives.
const lifetime = 10 * time.Second

// viewOf returns a view with one resumable route and an endpoint of each version.
func viewOf(config uint64, services []string, versions ...string) *catalog.View {
	c := &catalog.Config{Version: config, Routes: []catalog.Route{{Name: "chat", Kind: catalog.RouteStream, Resumable: true}}}
	var endpoints []*catalog.Endpoint
	for _, service := range services {
		c.Routes[0].Split = append(c.Routes[0].Split, catalog.Share{Service: service, Weight: 1})
		for _, version := range versions {
			endpoints = append(endpoints, &catalog.Endpoint{ID: service + version, Service: service, Version: version})
		}
	}
	return catalog.NewView(catalog.NewIndex(c), endpoints, config)
}

// Guards against a fleet whose gateways restart one after the other and know no past any
// more, and against a past with a gap: what changed unseen after it was told.
func TestPastIsInherited(t *testing.T) {
	one, two := viewOf(1, []string{"llm"}, "v1"), viewOf(1, []string{"llm"}, "v1", "v2")
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	elder := NewHistory()
	elder.SetView(at(0), two)
	elder.SetView(at(1), one)
	started := func() *History {
		h := NewHistory()
		h.SetView(at(20), one)
		h.inherit(at(20), elder.tell(at(20), at(0)))
		return h
	}
	sole := func(h *History, now, seen int, lifetime time.Duration) bool {
		_, verdict := h.Sole(at(now), at(seen), "chat", lifetime)
		return verdict == Sole
	}
	assert.Assert(t, sole(started(), 21, 20, 10*time.Second))
	assert.Assert(t, !sole(started(), 21, 20, 20500*time.Millisecond), "the other version was there")
	assert.Assert(t, !sole(started(), 21, 20, 22*time.Second), "further back than the elder knows")
	assert.Assert(t, !sole(started(), 23, 22, 10*time.Second), "changes were missed since")
	assert.Assert(t, sole(started(), 33, 22, 10*time.Second), "long enough ago")
	third := NewHistory()
	third.SetView(at(25), one)
	third.inherit(at(25), started().tell(at(25), at(20)))
	assert.Assert(t, sole(third, 26, 25, 10*time.Second), "from one to the next")
	fresh := NewHistory()
	fresh.SetView(at(20), one)
	fresh.inherit(at(20), NewHistory().tell(at(20), at(0)))
	assert.Assert(t, !sole(fresh, 21, 20, 10*time.Second), "nobody knows the past")
}

// Guards against a stream of unknown origin that goes on as if there had been one version
// only: another one was there when it can have begun, was there before this process, or can
// have been there unseen.
func TestSoleOrigin(t *testing.T) {
	llm := []string{"llm"}
	type step struct {
		at   time.Duration
		view *catalog.View
	}
	one, two := viewOf(1, llm, "v1"), viewOf(1, llm, "v1", "v2")
	tests := map[string]struct {
		steps []step
		// seen is since when all changes were seen, at when the question comes.
		seen, at time.Duration
		want     bool
	}{
		"one version for long":                {[]step{{0, one}}, 0, lifetime + time.Second, true},
		"no view yet":                         {nil, 0, lifetime + time.Second, false},
		"this process is younger":             {[]step{{5 * time.Second, one}}, 0, lifetime + time.Second, false},
		"changes may have been missed":        {[]step{{0, one}}, 5 * time.Second, lifetime + time.Second, false},
		"two versions":                        {[]step{{0, two}}, 0, lifetime + time.Second, false},
		"the other one has just gone":         {[]step{{0, two}, {time.Second, one}}, 0, lifetime + time.Second/2, false},
		"the other one has gone long ago":     {[]step{{0, two}, {time.Second, one}}, 0, lifetime + 2*time.Second, true},
		"the other one was there for a while": {[]step{{0, one}, {8 * time.Second, two}, {9 * time.Second, one}}, 0, lifetime + time.Second, false},
		"the route was moved":                 {[]step{{0, one}, {8 * time.Second, viewOf(2, []string{"other"}, "v1")}}, 0, lifetime + time.Second, false},
		"the route is split":                  {[]step{{0, viewOf(1, []string{"llm", "other"}, "v1")}}, 0, lifetime + time.Second, false},
		"no endpoint now":                     {[]step{{0, one}, {8 * time.Second, viewOf(1, llm)}}, 0, lifetime + time.Second, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := NewHistory()
			for _, s := range test.steps {
				h.SetView(epoch.Add(s.at), s.view)
			}
			sole, verdict := h.Sole(epoch.Add(test.at), epoch.Add(test.seen), "chat", lifetime)
			assert.Equal(t, verdict == Sole, test.want)
			if verdict == Sole {
				assert.Equal(t, sole, v1)
			}
		})
	}
}
