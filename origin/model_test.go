package origin

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var modelSeeds = flag.Int("model.seeds", 4, "seeds of the model for each size of the fleet")

const (
	// modelStep is the resolution of time, modelTime the length of a run.
	modelStep = 5 * time.Millisecond
	modelTime = 20 * time.Second
	// meshMembers is the size up to which all members hold streams, hubMembers the number of
	// those that do in a larger fleet.
	meshMembers, hubMembers = 64, 5
	// noticeDelay is how long a killed member counts as live for the others.
	noticeDelay = 300 * time.Millisecond
	// restartDelay is when a killed member is back.
	restartDelay = time.Second
	// viewDelay is how long after a change of the versions a member hears of it, at most.
	viewDelay = 100 * time.Millisecond
	// modelRate is the number of streams that begin at each member in a second.
	modelRate = 4
	// modelLifetime is how long clients come back.
	modelLifetime = 6 * time.Second
	// killLoss is the share of the streams of a killed member that nobody was told of.
	killLoss = 30 * time.Millisecond
)

// way is a way to know where a stream began.
type way string

const (
	// tellFew is that of the package, askOnly asks the others and tells nobody, hashed
	// chooses and finds a version by the hash of the stream among the versions in the view.
	tellFew way = "tell a few"
	askOnly way = "ask only"
	hashed  way = "hash"
)

// model is a fleet in virtual time.
type model struct {
	rng *rand.Rand
	way way
	// rate is the number of streams that begin at each member in a second; calm means that
	// nothing fails and no client comes back.
	rate    int
	calm    bool
	now     time.Time
	members []*modelMember
	// versions are those in service, with the time of the change.
	versions  []string
	changedAt time.Time
	before    []string
	streams   []*modelStream
	events    []modelEvent
	figures   modelFigures
}

// modelMember is one gateway.
type modelMember struct {
	name    string
	table   *Table
	alive   bool
	changed time.Time
	cut     bool
	outbox  []began
	// delay is when the member hears of changes of the versions.
	delay time.Duration
}

// modelStream is a stream and its client.
type modelStream struct {
	id     Stream
	at     *modelMember
	origin Origin
	began  time.Time
	tries  int
}

// modelEvent is something that happens at a time.
type modelEvent struct {
	at time.Time
	do func()
}

// modelFigures are the results of a run.
type modelFigures struct {
	taken, same, other, unknown int
	// lost are those of a member that was killed right after they had begun.
	lost int
	// messages and bytes are those between members.
	messages, bytes int
}

func newModel(seed uint64, n int, w way) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, uint64(n))), way: w, rate: modelRate, now: epoch, versions: []string{"v1", "v2"}}
	for i := range n {
		m.members = append(m.members, &modelMember{
			name: fmt.Sprintf("g%03d", i), table: NewTable(), alive: true, delay: time.Duration(m.rng.Int64N(int64(viewDelay))),
		})
	}
	return m
}

func (m *model) after(d time.Duration, do func()) {
	m.events = append(m.events, modelEvent{m.now.Add(d), do})
}

// reaches reports whether two members exchange messages.
func (m *model) reaches(a, b *modelMember) bool { return a.alive && b.alive && a.cut == b.cut }

// keepers returns the members that a member believes to hold streams.
func (m *model) keepers(self *modelMember) []*modelMember {
	var keepers []*modelMember
	for _, k := range m.members {
		live := k.alive || m.now.Sub(k.changed) < noticeDelay
		if live && self.cut == k.cut {
			keepers = append(keepers, k)
		}
	}
	if len(m.members) > meshMembers {
		keepers = keepers[:min(hubMembers, len(keepers))]
	}
	return slices.DeleteFunc(keepers, func(k *modelMember) bool { return k == self })
}

// holders returns the first n of the keepers that are to hold a stream.
func holders(s Stream, keepers []*modelMember, n int) []*modelMember {
	var names []string
	for _, k := range keepers {
		names = append(names, k.name)
	}
	first := firstHolders(s, names, n)
	return slices.DeleteFunc(slices.Clone(keepers), func(k *modelMember) bool { return !slices.Contains(first, k.name) })
}

// count counts a message.
func (m *model) count(message any) {
	text, _ := json.Marshal(message)
	m.figures.messages++
	m.figures.bytes += len(text)
}

// seen returns the versions in a member's view.
func (m *model) seen(at *modelMember) []string {
	if m.now.Sub(m.changedAt) < at.delay {
		return m.before
	}
	return m.versions
}

// begin begins a stream at a member, which breaks later.
func (m *model) begin(at *modelMember) {
	id := Stream(m.rng.Uint64())
	versions := m.seen(at)
	version := versions[m.rng.IntN(len(versions))]
	if m.way == hashed {
		version = hashVersion(id, versions)
	}
	s := &modelStream{id: id, at: at, origin: Origin{Service: "llm", Version: version}, began: m.now}
	m.streams = append(m.streams, s)
	m.learn(at, s)
	if !m.calm {
		m.after(time.Duration(m.rng.Int64N(int64(2*time.Second))), func() { m.takeUp(s) })
	}
}

// learn records a stream at a member, which tells others.
func (m *model) learn(at *modelMember, s *modelStream) {
	at.table.Add(m.now, s.id, Record{Origin: s.origin, Learned: m.now, Until: m.now.Add(modelLifetime)})
	if m.way != tellFew {
		return
	}
	if len(at.outbox) == 0 {
		m.after(flushDelay, func() { m.flush(at) })
	}
	at.outbox = append(at.outbox, began{stream: s.id, origin: s.origin, until: m.now.Add(modelLifetime)})
}

// flush tells the holders of the streams that wait.
func (m *model) flush(at *modelMember) {
	waiting := at.outbox
	at.outbox = nil
	if !at.alive {
		return
	}
	batches := make(map[*modelMember]*batch)
	keepers := m.keepers(at)
	for _, w := range waiting {
		for _, k := range holders(w.stream, keepers, copies) {
			if batches[k] == nil {
				batches[k] = &batch{}
			}
			batches[k].add(w)
		}
	}
	for k, b := range batches {
		m.deliver(at, k, b)
	}
}

// deliver delivers a batch.
func (m *model) deliver(from, to *modelMember, b *batch) {
	for _, p := range b.groups {
		m.count([]told{p.told})
		if m.reaches(from, to) {
			p.each(func(s Stream) {
				to.table.Add(m.now, s, Record{Origin: p.Origin, From: from.name, Learned: m.now, Until: p.until})
			})
		}
	}
}

// takeUp lets a client take its stream up at a member that is in touch.
func (m *model) takeUp(s *modelStream) {
	if m.now.Sub(s.began) > modelLifetime {
		return
	}
	at := m.members[m.rng.IntN(len(m.members))]
	if !at.alive || m.now.Sub(at.changed) < noticeDelay || at.cut {
		return
	}
	s.tries++
	m.figures.taken++
	origin, ok := m.find(at, s)
	switch {
	case !ok && !s.at.alive && s.at.changed.Sub(s.began) < killLoss:
		m.figures.lost++
	case !ok:
		m.figures.unknown++
	case origin != s.origin:
		m.figures.other++
	default:
		m.figures.same++
		m.learn(at, s)
	}
	if ok && s.tries < 3 {
		m.after(time.Duration(m.rng.Int64N(int64(time.Second))), func() { m.takeUp(s) })
	}
}

// find finds the origin of a stream at a member.
func (m *model) find(at *modelMember, s *modelStream) (Origin, bool) {
	if m.way == hashed {
		return Origin{Service: "llm", Version: hashVersion(s.id, m.seen(at))}, true
	}
	if r, ok := at.table.Find(m.now, s.id); ok {
		return r.Origin, true
	}
	var all answers
	keepers := m.keepers(at)
	first := holders(s.id, keepers, copies+1)
	m.askAll(at, first, s, &all)
	if all.known == nil {
		m.askAll(at, slices.DeleteFunc(keepers, func(k *modelMember) bool { return slices.Contains(first, k) }), s, &all)
	}
	best := all.best()
	return best.Origin, best.Verdict == Known
}

// askAll asks members.
func (m *model) askAll(at *modelMember, keepers []*modelMember, s *modelStream, all *answers) {
	for _, k := range keepers {
		f := Finding{Verdict: Unreached}
		m.count(askCall{Stream: s.id, Question: Question{Route: "chat", Lifetime: modelLifetime}})
		if r, ok := k.table.Find(m.now, s.id); m.reaches(at, k) && ok {
			f = Finding{Verdict: Known, Origin: r.Origin}
		}
		all.add(f)
	}
}

// hashVersion chooses a version by the hash of a stream.
func hashVersion(s Stream, versions []string) string { return firstHolders(s, versions, 1)[0] }

// kill kills a member, which is back later and is then told what it is to hold.
func (m *model) kill(k *modelMember) {
	if !k.alive {
		return
	}
	k.alive, k.changed, k.outbox = false, m.now, nil
	for _, s := range m.streams {
		if s.at == k && s.tries == 0 {
			m.after(modelStep, func() { m.takeUp(s) })
		}
	}
	m.after(restartDelay, func() {
		k.alive, k.changed, k.table = true, m.now, NewTable()
		if m.way == tellFew {
			m.greet(k)
		}
	})
}

// greet lets all members tell one that has started what it is to hold.
func (m *model) greet(k *modelMember) {
	for _, from := range m.keepers(k) {
		var b batch
		left := maxGreeted
		candidates := append(m.keepers(from), from)
		from.table.Latest(m.now, func(s Stream, r Record) bool {
			if slices.Contains(holders(s, candidates, copies), k) {
				b.add(began{stream: s, origin: r.Origin, until: r.Until})
				left--
			}
			return left > 0
		})
		m.deliver(from, k, &b)
	}
}

// faults schedules kills, cuts and changes of the versions.
func (m *model) faults() {
	all := [][]string{{"v1"}, {"v2"}, {"v1", "v2"}, {"v1", "v2", "v3"}, {"v2", "v3"}, {"v3"}}
	for at := 2 * time.Second; at < modelTime-2*time.Second; at += time.Duration(1+m.rng.IntN(2)) * time.Second {
		m.after(at, func() {
			switch m.rng.IntN(3) {
			case 0:
				for range min(2, len(m.members)-1) {
					m.kill(m.members[m.rng.IntN(len(m.members))])
				}
			case 1:
				k := m.members[m.rng.IntN(len(m.members))]
				k.cut = true
				m.after(time.Duration(m.rng.IntN(3000))*time.Millisecond, func() { k.cut = false })
			default:
				m.before, m.versions, m.changedAt = m.versions, all[m.rng.IntN(len(all))], m.now
			}
		})
	}
}

// run plays the whole time.
func (m *model) run() modelFigures {
	if !m.calm {
		m.faults()
	}
	end := m.now.Add(modelTime)
	for m.now.Before(end) {
		m.now = m.now.Add(modelStep)
		for _, at := range m.members {
			if at.alive && m.rng.Float64() < float64(m.rate)*modelStep.Seconds() {
				m.begin(at)
			}
		}
		due := m.events
		m.events = nil
		for _, e := range due {
			if e.at.After(m.now) {
				m.events = append(m.events, e)
				continue
			}
			e.do()
		}
	}
	return m.figures
}

// runSeeds sums the figures of several runs.
func runSeeds(n, seeds int, w way) modelFigures {
	var sum modelFigures
	for seed := range seeds {
		f := newModel(uint64(seed), n, w).run()
		sum.taken += f.taken
		sum.same += f.same
		sum.other += f.other
		sum.unknown += f.unknown
		sum.lost += f.lost
		sum.messages += f.messages
		sum.bytes += f.bytes
	}
	return sum
}

// log prints the figures of a way.
func (f modelFigures) log(t *testing.T, n, seeds int, w way) {
	members := float64(n*seeds) * modelTime.Seconds()
	t.Logf("%d members, %s: %d taken up, %d at their version, %d at another, %d unknown, %d lost with their gateway; %.1f messages and %.0f bytes a second sent by each",
		n, w, f.taken, f.same, f.other, f.unknown, f.lost, float64(f.messages)/members, float64(f.bytes)/members)
}

// Guards against streams that go on at another version, or that nobody knows any more, while
// gateways are killed, cut off and started, and versions come and go.
func TestStreamsAreKnownUnderFaults(t *testing.T) {
	for _, n := range []int{3, 30, 300} {
		seeds := *modelSeeds
		if n > meshMembers {
			seeds = max(1, seeds/10)
		}
		f := runSeeds(n, seeds, tellFew)
		f.log(t, n, seeds, tellFew)
		assert.Equal(t, f.other, 0)
		assert.Assert(t, float64(f.same) >= 0.9*float64(f.taken-f.lost), "%d of %d go on", f.same, f.taken)
	}
}

// Weighs the ways to know a stream's origin on the same seeds.
func TestWaysToKnowAStream(t *testing.T) {
	for _, n := range []int{3, 30} {
		seeds := *modelSeeds
		for _, w := range []way{tellFew, askOnly, hashed} {
			runSeeds(n, seeds, w).log(t, n, seeds, w)
		}
		told, asked := runSeeds(n, seeds, tellFew), runSeeds(n, seeds, askOnly)
		assert.Assert(t, told.unknown < asked.unknown)
		assert.Assert(t, runSeeds(n, seeds, hashed).other > 0)
	}
}

// Guards against knowing that costs more with the size of the fleet, and shows what it costs by
// the rate of streams: each is told to copies members, in messages that batch what begins
// together.
func TestCostOfKnowing(t *testing.T) {
	rates := []int{1, 10}
	if *modelSeeds > 4 {
		rates = append(rates, 60)
	}
	for _, n := range []int{3, 30, 300} {
		for _, rate := range rates {
			m := newModel(1, n, tellFew)
			m.rate, m.calm = rate, true
			f := m.run()
			seconds := float64(n) * modelTime.Seconds()
			most := 0
			for _, member := range m.members {
				most = max(most, member.table.Stats().Held)
			}
			t.Logf("%d members, %d streams a second each: %.1f messages and %.0f bytes a second sent by each, %d streams held by one at most",
				n, rate, float64(f.messages)/seconds, float64(f.bytes)/seconds, most)
			assert.Assert(t, f.messages <= copies*len(m.streams))
		}
	}
}

// BenchmarkHeldStreams shows the memory of a full table.
func BenchmarkHeldStreams(b *testing.B) {
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := NewTable()
		for i := range maxStreams {
			table.Add(epoch, StreamOf(strconv.Itoa(i)), Record{Origin: v1, Learned: epoch, Until: epoch.Add(time.Minute)})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/maxStreams, "heap-B/stream")
		runtime.KeepAlive(table)
	}
}
