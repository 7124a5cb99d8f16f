package streams

import (
	"flag"
	"fmt"
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

// cutMembers is the number of gateways of TestNewVersionBesideAMemberOutOfStep.
var cutMembers = flag.Int("streams.members", 2, "number of gateways, one of which is out of step")

const (
	// lifetime is how long a stream of the routes may live, see lifetimes of the gateway: a
	// member that is younger claims no sole origin.
	lifetime = 13 * time.Second
	// cutFor is how long a member is out of step, joinBefore how long before the first take-up
	// there the new version joins, afterwards how long streams are taken up there later.
	cutFor     = 2500 * time.Millisecond
	joinBefore = 100 * time.Millisecond
	afterwards = 2 * time.Second
	// cutTakeUps is the number of streams that are taken up in each of these times.
	cutTakeUps = 20
)

// startLinkedMembers starts gateways whose connections to the store and to each other pass
// through links.
func (r *rig) startLinkedMembers(n int) {
	listens, peers := make([]string, n), make([]string, n)
	links := make([]*harness.Link, n)
	for i := range n {
		listens[i] = harness.FreePort(r.t)
		links[i], peers[i] = harness.NewLink(r.t, fmt.Sprintf("peer-%d", i), listens[i])
	}
	for i := range n {
		m := &member{frontend: harness.FreePort(r.t), toPeer: links[i]}
		var store string
		m.toStore, store = harness.NewLink(r.t, fmt.Sprintf("store-%d", i), r.storeAddr)
		m.Process = harness.StartGateway(r.t, platform.Settings{
			Name: fmt.Sprintf("g%d", i+1), Frontend: m.frontend, Peer: listens[i], Store: store,
			Seeds: peers[:min(3, n)], Bounds: harness.GatewayBounds(memberGrace),
		}, "--advertise", peers[i])
		r.members = append(r.members, m)
	}
	r.t.Cleanup(r.terminate)
	r.awaitServing(r.members)
	for _, m := range r.members {
		for route := range resumableRoutes {
			testwait.For(r.t, recoveryTimeout, func() bool { return r.send(m, call{route: route}).complete })
		}
	}
}

// outOfStep is a case of a member that is out of step while a version joins.
type outOfStep struct {
	// store, others and still say what happens to the member: it is cut off from the store,
	// all members are cut off from each other, or it stands still.
	store, others, still bool
	// join lets the new version join; nil if one version serves all the while.
	join func(*rig)
	// killed means that the members at which the streams began are killed.
	killed bool
}

func joinBeside(r *rig) { r.addVersion("v2") }

// joinUnderIDs replaces one endpoint of each service by one of the new version.
func joinUnderIDs(r *rig) {
	for _, e := range r.endpointsOf("v1") {
		if e.id[len(e.id)-1] == '0' {
			e.crash()
			e.version, e.born = "v2", time.Now().UnixMilli()
			r.startProcess(e)
			r.list(e, "ready")
		}
	}
}

// joinInPlace replaces one endpoint of each service by one of the new version under another ID.
func joinInPlace(r *rig) {
	joinBeside(r)
	for _, e := range r.endpointsOf("v1") {
		if e.id[len(e.id)-1] == '0' {
			r.removeEndpoint(e)
		}
	}
}

// links returns the links that the case cuts.
func (o outOfStep) links(r *rig, m *member) []*harness.Link {
	var links []*harness.Link
	if o.store {
		links = append(links, m.toStore)
	}
	if o.others {
		for _, other := range r.members {
			links = append(links, other.toPeer)
		}
	}
	return links
}

// begin lets the member get out of step.
func (o outOfStep) begin(r *rig, m *member) {
	for _, l := range o.links(r, m) {
		l.Drop()
	}
	if o.still {
		m.Stop()
	}
}

// end lets the member go on.
func (o outOfStep) end(r *rig, m *member) {
	for _, l := range o.links(r, m) {
		l.Heal()
	}
	if o.still {
		m.Cont()
	}
}

// routes returns the routes of the streams. Where all members are cut off from each other, most
// do not reach the owner of the queue, and begin no stream at a model engine.
func (o outOfStep) routes() []string {
	if o.others && *cutMembers > 2 {
		return []string{"plain-resume"}
	}
	return []string{"model-resume", "plain-resume"}
}

// beginOf begins a stream of a version at a member that is in step.
func (r *rig) beginOf(m *member, route, version string) result {
	for {
		stream := r.begin(m, route)
		if versions, _ := stream.events(); len(versions) == leaveAfter && versions[0] == version {
			return stream
		}
	}
}

// play lets a version join while a member is out of step, and takes streams up there that
// began at the new version elsewhere: meanwhile, as it wakes, and afterwards.
func (o outOfStep) play(t *testing.T) {
	r := newRig(t, time.Millisecond)
	r.addVersion("v1")
	for _, e := range r.endpointsOf("v1") {
		e.born = time.Now().UnixMilli()
		r.list(e, "ready")
	}
	r.startLinkedMembers(*cutMembers)
	waitFor(lifetime + 2*time.Second)
	m, others := r.members[0], r.members[1:]
	o.begin(r, m)
	cut := time.Now()
	version := "v1"
	if o.join != nil {
		o.join(r)
		version = "v2"
	}
	for _, other := range others {
		for _, route := range o.routes() {
			r.beginOf(other, route, version)
		}
	}
	waitFor(time.Until(cut.Add(joinBefore)))
	var seen tally
	var taking sync.WaitGroup
	takeUps := func() {
		for i := range cutTakeUps {
			for _, route := range o.routes() {
				stream := r.beginOf(others[i%len(others)], route, version)
				taking.Go(func() { seen.add(stream, r.takeUp(m, route, stream)) })
			}
		}
	}
	takeUps()
	waitFor(time.Until(cut.Add(cutFor / 2)))
	takeUps()
	if o.killed {
		for _, other := range others {
			other.Kill()
		}
	}
	waitFor(time.Until(cut.Add(cutFor)))
	o.end(r, m)
	ended := time.Now()
	if !o.killed {
		takeUps()
		waitFor(afterwards)
		takeUps()
	}
	taking.Wait()
	reasons := make(map[string]int)
	for _, refused := range seen.refused {
		reasons[reasonOf(refused)+" "+refused.header.Get("Retry-After")]++
	}
	t.Logf("%s: cut for %v, %d went on, %d at another version, refused %v", t.Name(), ended.Sub(cut), seen.same, seen.other, reasons)
	assert.Check(t, seen.other == 0, "%d streams went on at another version", seen.other)
}

// Guards against a member that is out of step while a version joins, and that takes streams of
// the new version up at the one that it knows.
func TestNewVersionBesideAMemberOutOfStep(t *testing.T) {
	t.Parallel()
	for name, o := range map[string]outOfStep{
		"cut off from the store":         {store: true, join: joinBeside},
		"cut off from all":               {store: true, others: true, join: joinBeside},
		"cut off from the others":        {others: true, join: joinBeside},
		"stands still":                   {still: true, join: joinBeside},
		"cut off from all, in place":     {store: true, others: true, join: joinInPlace},
		"cut off from all, under IDs":    {store: true, others: true, join: joinUnderIDs},
		"cut off from store, under IDs":  {store: true, join: joinUnderIDs},
		"stands still, under IDs":        {still: true, join: joinUnderIDs},
		"cut off from all, others ended": {store: true, others: true, join: joinBeside, killed: true},
		"stands still, others ended":     {still: true, join: joinBeside, killed: true},
		"one version, cut off from all":  {store: true, others: true},
		"one version, without the store": {store: true},
		"one version, stands still":      {still: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o.play(t)
		})
	}
}

// Guards against a member that is cut off and believes the entry of the process
// before: a stream that begins at a new version under the old one's ID breaks, and goes on at
// the old version in the same answer.
func TestStreamBegunAtAMemberOutOfStep(t *testing.T) {
	t.Parallel()
	r := newRig(t, time.Millisecond)
	r.addVersion("v1")
	for _, e := range r.endpointsOf("v1") {
		e.born = time.Now().UnixMilli()
		r.list(e, "ready")
	}
	r.startLinkedMembers(2)
	// Connections that are older than the entries that the view is sure to have stay usable.
	waitFor(lifetime / 4)
	m, cut := r.members[0], outOfStep{store: true, others: true}
	cut.begin(r, m)
	defer cut.end(r, m)
	joinUnderIDs(r)
	var mixed, whole, broken atomic.Int64
	var clients sync.WaitGroup
	for range cutTakeUps {
		for route := range resumableRoutes {
			clients.Go(func() {
				stream := r.send(m, call{route: route, body: breakAfterThree.body()})
				versions, _ := stream.events()
				switch {
				case len(versions) > 0 && slices.ContainsFunc(versions, func(v string) bool { return v != versions[0] }):
					mixed.Add(1)
				case stream.complete:
					whole.Add(1)
				default:
					broken.Add(1)
				}
			})
		}
	}
	clients.Wait()
	t.Logf("%d answers are whole, %d broken off", whole.Load(), broken.Load())
	assert.Check(t, mixed.Load() == 0, "%d answers hold events of two versions", mixed.Load())
}
