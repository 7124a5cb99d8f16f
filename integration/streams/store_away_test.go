package streams

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// awayEndpoints is the number of endpoints of each service.
	awayEndpoints = 5
	// awayPace is the time that an endpoint takes for an event.
	awayPace = 800 * time.Millisecond
	// settled is the age at which connections are older than what all gateways are sure to know
	// of the store.
	settled = 3 * time.Second
	// heldStreams is the number of streams of each service that keep connections open.
	heldStreams = 4 * awayEndpoints
	// knownRefusal bounds a refusal that nothing has to be waited for.
	knownRefusal = 300 * time.Millisecond
)

// startAwayRig starts two linked gateways before endpoints of two versions whose processes say when
// they started.
func startAwayRig(t *testing.T) *rig {
	r := newRig(t, time.Millisecond)
	for i := range awayEndpoints {
		for _, service := range resumableRoutes {
			e := r.addEndpoint(service, fmt.Sprintf("%s-%d", service, i), fmt.Sprintf("v%d", 1+i%2))
			e.born = time.Now().UnixMilli()
			r.list(e, "ready")
		}
	}
	r.startLinkedMembers(2)
	r.pace.Store(int64(awayPace))
	return r
}

// replaceFirst replaces the first endpoint of each service under its ID by one of the other version.
func (r *rig) replaceFirst() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, service := range resumableRoutes {
		e := r.endpoints[service+"-0"]
		e.crash()
		e.version, e.born = "v2", time.Now().UnixMilli()
		r.startProcess(e)
		r.list(e, "ready")
	}
}

// beginTogether begins n streams on each route at the same time.
func (r *rig) beginTogether(m *member, n int) map[string][]result {
	var mu sync.Mutex
	var clients sync.WaitGroup
	streams := make(map[string][]result)
	for route := range resumableRoutes {
		for range n {
			clients.Go(func() {
				stream := r.begin(m, route)
				mu.Lock()
				defer mu.Unlock()
				streams[route] = append(streams[route], stream)
			})
		}
	}
	clients.Wait()
	return streams
}

// Guards against streams that go on nowhere while the store is away, although another gateway
// has connections to processes of their version from before; and against refusals that wait.
func TestStreamsGoOnWhileTheStoreIsAway(t *testing.T) {
	t.Parallel()
	r := startAwayRig(t)
	var holding sync.WaitGroup
	defer holding.Wait()
	for range heldStreams {
		for _, route := range []string{"model", "plain"} {
			holding.Go(func() { r.send(r.members[0], call{route: route}) })
		}
	}
	opened := time.Now()
	begun := r.beginTogether(r.members[0], streamsPerCase)
	waitFor(time.Until(opened.Add(settled)))
	for _, m := range r.members {
		m.toStore.Drop()
		defer m.toStore.Heal()
	}
	r.replaceFirst()
	// The first requests find out that the store does not answer.
	first := begun["plain-resume"][0]
	_, last := first.events()
	for range 2 {
		r.send(r.members[1], call{route: "plain-resume", resumes: first.id, lastEvent: last, leaveAfter: 1})
	}
	seen := make(map[string]*tally)
	var clients sync.WaitGroup
	for route, streams := range begun {
		all := new(tally)
		seen[route] = all
		for _, stream := range streams {
			clients.Go(func() { all.add(stream, r.takeUp(r.members[1], route, stream)) })
		}
	}
	clients.Wait()
	for route, all := range seen {
		slow := 0
		for _, refused := range all.refused {
			if refused.took > knownRefusal {
				slow++
			}
		}
		t.Logf("%s: %d went on, %d at another version, %d refused, %d of them late", route, all.same, all.other, len(all.refused), slow)
		all.check(t)
		assert.Check(t, slow == 0, "%d of %d refusals after more than %v", slow, len(all.refused), knownRefusal)
	}
}
