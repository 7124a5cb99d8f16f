package streams

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/harness"
	"github.com/mangostage/mangostage/internal/testwait"
	"github.com/mangostage/mangostage/platform"
)

// resumableRoutes are the routes whose streams may be resumed, with their services.
var resumableRoutes = map[string]string{"model-resume": "llm", "plain-resume": "feed"}

const (
	// streamsPerCase is the number of streams that a test takes up in each case.
	streamsPerCase = 30
	// enginesPerVersion is the number of endpoints of each service and version.
	enginesPerVersion = 2
	// atOnce bounds an answer that must not wait for anything.
	atOnce = time.Second
	// goesOnShare is the least share of taken-up streams that go on.
	goesOnShare = 0.9
)

// startTime is the time in which the next process of an endpoint starts.
const startTime = 300 * time.Millisecond

// leaveAfter is the number of events after which a client of these tests breaks off.
const leaveAfter = 3

// newVersionRig starts gateways before endpoints of the versions.
func newVersionRig(t *testing.T, pace time.Duration, versions ...string) *rig {
	t.Helper()
	r := newRig(t, pace)
	for _, version := range versions {
		r.addVersion(version)
	}
	r.startMembers()
	return r
}

// addVersion starts endpoints of a version.
func (r *rig) addVersion(version string) []*endpoint {
	var added []*endpoint
	for i := range enginesPerVersion {
		for _, service := range resumableRoutes {
			added = append(added, r.addEndpoint(service, fmt.Sprintf("%s-%s-%d", service, version, i), version))
		}
	}
	return added
}

// breakAfterThree asks for a break inside the fourth event.
var breakAfterThree = breakOff{after: leaveAfter, rest: "id: 4\nda"}

// begin begins a stream that its client leaves after some events.
func (r *rig) begin(m *member, route string) result {
	return r.send(m, call{route: route, leaveAfter: leaveAfter})
}

// beginAll begins n streams on each route, at all gateways in turn.
func (r *rig) beginAll(n int) map[string][]result {
	streams := make(map[string][]result)
	for route := range resumableRoutes {
		for i := range n {
			streams[route] = append(streams[route], r.begin(r.members[i%rigMembers], route))
		}
	}
	return streams
}

// tally counts how taken-up streams went on.
type tally struct {
	mu sync.Mutex
	// same and other count those that went on at their version and at another one.
	same, other int
	refused     []result
}

// add counts an answer to a request that took up a stream.
func (t *tally) add(stream, rest result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before, _ := stream.events()
	after, _ := rest.events()
	switch {
	case len(before) == 0:
	case len(after) == 0:
		t.refused = append(t.refused, rest)
	case slices.ContainsFunc(after, func(v string) bool { return v != before[0] }):
		t.other++
	default:
		t.same++
	}
}

// check checks that streams went on, and none at another version.
func (t *tally) check(tb *testing.T) {
	tb.Helper()
	all := t.same + t.other + len(t.refused)
	assert.Check(tb, t.other == 0, "%d of %d streams went on at another version", t.other, all)
	assert.Check(tb, all > 0 && float64(t.same) >= goesOnShare*float64(all), "%d of %d streams went on at their version", t.same, all)
}

// Guards against a stream that goes on at another version within one answer: its endpoint
// breaks it off, and the gateway chooses anew.
func TestStreamGoesOnAtItsVersion(t *testing.T) {
	t.Parallel()
	r := newVersionRig(t, time.Millisecond, "v1", "v2")
	for route := range resumableRoutes {
		var seen tally
		for i := range streamsPerCase {
			got := r.send(r.members[i%rigMembers], call{route: route, body: breakAfterThree.body()})
			versions, _ := got.events()
			if assert.Check(t, len(versions) >= leaveAfter, "status %d", got.status) {
				first := result{body: eventText(1, versions[0])}
				rest := result{body: got.body[len(eventText(1, versions[0])):]}
				if len(versions) == leaveAfter {
					rest.body = ""
				}
				seen.add(first, rest)
			}
		}
		seen.check(t)
	}
}

// Guards against a client that takes a stream up, at the gateway that had it or at another
// one, and gets the rest from another version.
func TestTakenUpStreamGoesOnAtItsVersion(t *testing.T) {
	t.Parallel()
	r := newVersionRig(t, time.Millisecond, "v1", "v2", "v3")
	for route := range resumableRoutes {
		for step := range rigMembers {
			var seen tally
			for i := range streamsPerCase {
				stream := r.begin(r.members[i%rigMembers], route)
				seen.add(stream, r.takeUp(r.members[(i+step)%rigMembers], route, stream))
			}
			t.Logf("%s, %d gateways on: %d same, %d other, %d refused", route, step, seen.same, seen.other, len(seen.refused))
			seen.check(t)
		}
	}
}

// Guards against a stream that is taken up again and again, each time at another gateway,
// by the name of the attempt that began it.
func TestStreamTakenUpTwice(t *testing.T) {
	t.Parallel()
	r := newVersionRig(t, time.Millisecond, "v1", "v2")
	for route := range resumableRoutes {
		var seen tally
		for i := range streamsPerCase {
			stream := r.begin(r.members[i%rigMembers], route)
			_, last := stream.events()
			second := r.send(r.members[(i+1)%rigMembers], call{
				route: route, resumes: stream.id, lastEvent: last, leaveAfter: 2,
			})
			_, last = second.events()
			third := r.send(r.members[(i+2)%rigMembers], call{route: route, resumes: stream.id, lastEvent: last})
			seen.add(stream, second)
			seen.add(stream, third)
		}
		seen.check(t)
	}
}

// Guards against streams that go on nowhere, or at another version, once the gateway that
// had them was killed.
func TestStreamsAfterTheirGatewayWasKilled(t *testing.T) {
	t.Parallel()
	for route := range resumableRoutes {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			r := newVersionRig(t, 100*time.Millisecond, "v1", "v2")
			killed, other := r.members[0], r.members[1]
			var seen tally
			var clients sync.WaitGroup
			for range streamsPerCase {
				clients.Go(func() {
					stream := r.send(killed, call{route: route})
					seen.add(stream, r.takeUp(other, route, stream))
				})
			}
			timer := time.NewTimer(350 * time.Millisecond)
			<-timer.C
			killed.Kill()
			clients.Wait()
			t.Logf("%d same, %d other, %d refused", seen.same, seen.other, len(seen.refused))
			seen.check(t)
		})
	}
}

// Guards against a gateway that has started since and knows nothing of the streams that it
// is asked to go on with.
func TestStreamsAtAGatewayThatStartsLater(t *testing.T) {
	t.Parallel()
	r := newVersionRig(t, time.Millisecond, "v1", "v2")
	streams := make(map[string][]result)
	for route := range resumableRoutes {
		for range streamsPerCase {
			streams[route] = append(streams[route], r.begin(r.members[0], route))
		}
	}
	r.members[0].Kill()
	late := r.startLateMember()
	for route, begun := range streams {
		var seen tally
		for _, stream := range begun {
			seen.add(stream, r.takeUp(late, route, stream))
		}
		seen.check(t)
	}
}

// startLateMember starts one more gateway and waits until it serves.
func (r *rig) startLateMember() *member {
	m := &member{peer: harness.FreePort(r.t), frontend: harness.FreePort(r.t)}
	m.Process = harness.StartGateway(r.t, platform.Settings{
		Name: fmt.Sprintf("g%d", len(r.members)+1), Frontend: m.frontend, Peer: m.peer, Store: r.storeAddr,
		Seeds: []string{r.members[1].peer, r.members[2].peer}, Bounds: harness.GatewayBounds(memberGrace),
	})
	r.members = append(r.members, m)
	testwait.For(r.t, recoveryTimeout, func() bool { return r.send(m, call{route: "model"}).complete })
	return m
}

// Guards against a stream that waits for a version that is gone, or goes on at the next one:
// it is refused at once, not run, and without a time to come again.
func TestStreamOfAGoneVersionIsRefused(t *testing.T) {
	t.Parallel()
	r := newRig(t, time.Millisecond)
	old := r.addVersion("v1")
	r.startMembers()
	streams := r.beginAll(streamsPerCase / 3)
	r.addVersion("v2")
	for _, e := range old {
		r.removeEndpoint(e)
	}
	r.awaitVersion("v2")
	for route, begun := range streams {
		var answers []result
		for i, stream := range begun {
			answers = append(answers, r.takeUp(r.members[(i+1)%rigMembers], route, stream))
		}
		checkRefused(t, answers, "stream_version_gone")
		for _, got := range answers {
			assert.Check(t, got.header.Get("Retry-After") == "", "there is no good time to come again")
		}
	}
}

// Guards against a stream that is refused although the endpoints of its version, which all
// leave, still serve; and against one that reaches them when they no longer do.
func TestStreamOfALeavingVersionGoesOnForAWhile(t *testing.T) {
	t.Parallel()
	r := newRig(t, time.Millisecond)
	old := r.addVersion("v1")
	r.startMembers()
	streams := r.beginAll(2 * streamsPerCase / 3)
	r.addVersion("v2")
	for _, e := range old {
		r.list(e, "draining")
	}
	leftAt := time.Now()
	r.awaitVersion("v2")
	for route, begun := range streams {
		var seen tally
		for i, stream := range begun[:len(begun)/2] {
			seen.add(stream, r.takeUp(r.members[(i+1)%rigMembers], route, stream))
		}
		seen.check(t)
	}
	waitFor(time.Until(leftAt.Add(harness.GatewayBounds(memberGrace).Drain)))
	for route, begun := range streams {
		var answers []result
		for i, stream := range begun[len(begun)/2:] {
			answers = append(answers, r.takeUp(r.members[(i+1)%rigMembers], route, stream))
		}
		checkRefused(t, answers, "stream_version_gone")
	}
}

// awaitVersion waits until new streams at all gateways are of a version.
func (r *rig) awaitVersion(version string) {
	for _, m := range r.members {
		for route := range resumableRoutes {
			testwait.For(r.t, recoveryTimeout, func() bool { return r.send(m, call{route: route}).body == wholeStream(version) })
		}
	}
}

// checkRefused checks that requests were refused at once, as not run, for a reason.
func checkRefused(t *testing.T, answers []result, reason string) {
	t.Helper()
	refused := 0
	var last result
	for _, got := range answers {
		if got.status == http.StatusServiceUnavailable && got.took < atOnce && reasonOf(got) == reason {
			refused++
			continue
		}
		last = got
	}
	assert.Check(t, refused == len(answers), "%d of %d refused as %s; the last that was not: status %d, %q, after %s",
		refused, len(answers), reason, last.status, last.body, last.took)
}

// Guards against a stream that nobody knows and that goes on at any version.
func TestUnknownStreamIsRefused(t *testing.T) {
	t.Parallel()
	r := newVersionRig(t, time.Millisecond, "v1", "v2")
	for route := range resumableRoutes {
		var answers []result
		for i := range streamsPerCase / 3 {
			answers = append(answers, r.send(r.members[i%rigMembers], call{route: route, resumes: fmt.Sprintf("unknown-%d", i), lastEvent: "3"}))
		}
		checkRefused(t, answers, "stream_unknown")
	}
}

// Guards against a resumption that is refused, or worse, although there is one version only.
func TestStreamsOfOneVersionGoOn(t *testing.T) {
	t.Parallel()
	r := newVersionRig(t, time.Millisecond, "v1")
	for route := range resumableRoutes {
		var seen tally
		for i := range streamsPerCase {
			stream := r.begin(r.members[i%rigMembers], route)
			seen.add(stream, r.takeUp(r.members[(i+1)%rigMembers], route, stream))
		}
		assert.Check(t, len(seen.refused) == 0 && seen.same == streamsPerCase, "%d went on, refused: %+v", seen.same, seen.refused)
	}
}

// Guards against a version that is believed of another process than the one it was read
// from: an endpoint crashes and is back under its ID and address with another version, while
// the store is away.
func TestVersionOfARestartedEndpointIsNotBelieved(t *testing.T) {
	t.Parallel()
	r := newVersionRig(t, 50*time.Millisecond, "v1", "v2")
	r.store.SetBeforeCall(func(string) bool { return false })
	var seen tally
	var mixed atomic.Int64
	var clients sync.WaitGroup
	for i := range streamsPerCase {
		for route := range resumableRoutes {
			clients.Go(func() {
				m := r.members[i%rigMembers]
				stream := r.send(m, call{route: route})
				versions, _ := stream.events()
				if len(versions) > 0 && slices.ContainsFunc(versions, func(v string) bool { return v != versions[0] }) {
					mixed.Add(1)
				}
				if !stream.complete {
					seen.add(stream, r.takeUp(r.members[(i+1)%rigMembers], route, stream))
				}
			})
		}
	}
	timer := time.NewTimer(200 * time.Millisecond)
	<-timer.C
	r.mu.Lock()
	defer r.mu.Unlock()
	var old []*endpoint
	for _, e := range r.endpoints {
		if e.version == "v1" {
			e.crash()
			old = append(old, e)
		}
	}
	waitFor(startTime)
	for _, e := range old {
		e.version = "v2"
		r.startProcess(e)
	}
	clients.Wait()
	assert.Check(t, mixed.Load() == 0, "%d answers hold events of two versions", mixed.Load())
	assert.Check(t, seen.other == 0, "%d of %d streams went on at another version", seen.other, seen.same+seen.other+len(seen.refused))
	assert.Check(t, len(seen.refused) > 0, "no stream was broken off")
}
