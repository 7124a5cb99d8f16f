package streams

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/testwait"
)

// allKilled is a loss of all gateways at once beside two versions.
type allKilled struct {
	// versions are those in service when the streams begin.
	versions []string
	// before is done just before the gateways are killed, meanwhile while they are down.
	before, meanwhile func(*rig)
	// kills is how often they are killed, each time just after they serve again.
	kills int
	// only, if set, is the one gateway that is killed.
	only bool
	// after is the time from when they serve again to the first stream that is taken up.
	after time.Duration
}

// removeVersion ends the endpoints of a version.
func removeVersion(version string) func(*rig) {
	return func(r *rig) {
		for _, e := range r.endpointsOf(version) {
			r.removeEndpoint(e)
		}
	}
}

// replaceVersion replaces the endpoints of a version under their IDs.
func replaceVersion(version, next string) func(*rig) {
	return func(r *rig) {
		for _, e := range r.endpointsOf(version) {
			e.crash()
			e.version = next
			r.startProcess(e)
			r.list(e, "ready")
		}
	}
}

// endpointsOf returns the endpoints of a version.
func (r *rig) endpointsOf(version string) []*endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	var of []*endpoint
	for _, e := range r.endpoints {
		if e.version == version {
			of = append(of, e)
		}
	}
	return of
}

// Guards against streams that go on at another version after all gateways were killed at
// once: nobody knows where they began, and those that start see one version only.
func TestStreamsAfterAllGatewaysWereKilled(t *testing.T) {
	t.Parallel()
	both := []string{"v1", "v2"}
	for name, test := range map[string]allKilled{
		"both serve":                    {versions: both},
		"both serve, later":             {versions: both, after: 5 * time.Second},
		"one left before":               {versions: both, before: removeVersion("v1")},
		"one left before, later":        {versions: both, before: removeVersion("v1"), after: 5 * time.Second},
		"one leaves meanwhile":          {versions: both, meanwhile: removeVersion("v1")},
		"replaced under their IDs":      {versions: both, meanwhile: replaceVersion("v1", "v2")},
		"history is dropped":            {versions: both, meanwhile: func(r *rig) { removeVersion("v1")(r); r.store.Compact() }},
		"killed twice":                  {versions: both, before: removeVersion("v1"), kills: 2},
		"one gateway":                   {versions: both, before: removeVersion("v1"), only: true},
		"one version all the while":     {versions: []string{"v1"}},
		"the next one comes only later": {versions: []string{"v1"}, meanwhile: func(r *rig) { r.addVersion("v2"); removeVersion("v1")(r) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test.play(t)
		})
	}
}

// play begins streams, kills the gateways and takes the streams up, half of them without
// the name of the attempt that began them.
func (test allKilled) play(t *testing.T) {
	r := newVersionRig(t, time.Millisecond, test.versions...)
	begun := r.beginAll(streamsPerCase / 3)
	if test.before != nil {
		test.before(r)
	}
	killed := r.members
	if test.only {
		killed = r.members[:1]
	}
	for kill := range max(1, test.kills) {
		for _, m := range killed {
			m.Kill()
		}
		if kill == 0 && test.meanwhile != nil {
			test.meanwhile(r)
		}
		for _, m := range killed {
			m.Restart()
		}
		r.awaitServing(killed)
	}
	waitFor(test.after)
	for route, streams := range begun {
		var seen tally
		for i, stream := range streams {
			if i%2 == 0 {
				stream.id = ""
			}
			seen.add(stream, r.takeUp(r.members[i%len(killed)], route, stream))
		}
		t.Logf("%s: %d went on, %d refused", route, seen.same, len(seen.refused))
		assert.Check(t, seen.other == 0, "%s: %d streams went on at another version", route, seen.other)
		for _, refused := range seen.refused {
			assert.Check(t, refused.took < atOnce, "refused after %v: %s", refused.took, refused.body)
		}
	}
}

// awaitServing waits until the gateways serve both kinds of route.
func (r *rig) awaitServing(members []*member) {
	for _, m := range members {
		for _, route := range []string{"model", "plain"} {
			testwait.For(r.t, recoveryTimeout, func() bool { return r.send(m, call{route: route}).complete })
		}
	}
}
