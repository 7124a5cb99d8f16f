package origin

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
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
