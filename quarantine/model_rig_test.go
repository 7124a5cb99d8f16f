package quarantine

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"time"
)

const defaultFleetSeeds = 20

// fleetSeeds is the number of fleets of three members in each case of the model; there are
// fewer larger ones. By hand: go test ./quarantine -run Model -args -fleet.seeds 500.
var fleetSeeds = flag.Uint64("fleet.seeds", defaultFleetSeeds, "number of seeds of the smallest fleet")

const (
	// crashing and popular are the contents of the model; seldom ones are numbered from
	// firstSeldom.
	crashing    Content = 1
	popular     Content = 2
	firstSeldom Content = 100

	modelEndpoints = 40
	crashTime      = 90 * time.Millisecond
	serveTime      = 20 * time.Millisecond
	restartTime    = 3 * time.Second
	verdictTime    = time.Millisecond
	modelAttempts  = 2
	callTime       = 10 * time.Second
	calmTime       = 14 * time.Second
)

// judge is a way to decide on the runs of one member.
type judge interface {
	// begin asks for a run and calls decided later.
	begin(s *modelFleet, content Content, run string, decided func(Permission))
	// broke ends a run under which the endpoint crashed, answered one that was answered.
	broke(s *modelFleet, content Content, run, endpoint string, beside int, trial bool)
	answered(s *modelFleet, content Content, run string, trial bool)
	// refuses reports whether the content would be refused now.
	refuses(now time.Time, content Content) bool
}

// modelFleet is a fleet in virtual time before endpoints that a content crashes.
type modelFleet struct {
	modelClock
	rng     *rand.Rand
	members []judge
	// part is the part of the fleet of each member while it is cut, owner the owner of the
	// first part's queue.
	part  []int
	owner int
	// down holds the endpoints that are down, running the runs at each endpoint.
	down    map[int]bool
	running map[int][]*modelRun
	// lost counts the endpoints that the content crashed, by the part of its sender.
	lost map[int]int
	// innocents counts the other requests by outcome.
	innocents map[string]int
	messages  int
	runs      int
}

// modelRun is one run of a request at an endpoint.
type modelRun struct {
	member  int
	content Content
	id      string
	trial   bool
	tries   int
	ended   bool
}

// modelEvent is something that happens at a time.
type modelEvent struct {
	at  time.Time
	seq int
	do  func()
}

type eventQueue struct {
	all []modelEvent
	seq int
}

func (q *eventQueue) Len() int { return len(q.all) }
func (q *eventQueue) Less(i, j int) bool {
	if q.all[i].at.Equal(q.all[j].at) {
		return q.all[i].seq < q.all[j].seq
	}
	return q.all[i].at.Before(q.all[j].at)
}
func (q *eventQueue) Swap(i, j int) { q.all[i], q.all[j] = q.all[j], q.all[i] }
func (q *eventQueue) Push(x any)    { q.all = append(q.all, x.(modelEvent)) }
func (q *eventQueue) Pop() any {
	last := q.all[len(q.all)-1]
	q.all = q.all[:len(q.all)-1]
	return last
}

// modelClock is virtual time: what happens is played in the order of its times.
type modelClock struct {
	now    time.Time
	events eventQueue
}

// after schedules do.
func (s *modelClock) after(d time.Duration, do func()) {
	s.events.seq++
	heap.Push(&s.events, modelEvent{at: s.now.Add(d), seq: s.events.seq, do: do})
}

// run plays the events up to d after the epoch.
func (s *modelClock) run(d time.Duration) {
	for len(s.events.all) > 0 && s.events.all[0].at.Before(epoch.Add(d)) {
		e, _ := heap.Pop(&s.events).(modelEvent)
		s.now = e.at
		e.do()
	}
	s.now = epoch.Add(d)
}

// every calls do at an interval until end.
func (s *modelClock) every(interval time.Duration, end time.Duration, do func()) {
	s.after(interval, func() {
		if s.now.Before(epoch.Add(end)) {
			do()
			s.every(interval, end, do)
		}
	})
}

// send delivers a message between members after a delay, unless they are cut off from each
// other.
func (s *modelFleet) send(from, to int, deliver func()) {
	s.messages++
	if from == to {
		deliver()
		return
	}
	if s.part[from] != s.part[to] {
		return
	}
	s.after(time.Duration(1+s.rng.IntN(5))*time.Millisecond, deliver)
}

// ownerOf returns the owner in a member's part.
func (s *modelFleet) ownerOf(member int) int {
	if s.part[member] == s.part[s.owner] {
		return s.owner
	}
	for i, part := range s.part {
		if part == s.part[member] {
			return i
		}
	}
	return member
}

func newModelFleet(seed uint64, members int, newJudge func(s *modelFleet, member int) judge) *modelFleet {
	s := &modelFleet{
		modelClock: modelClock{now: epoch}, rng: rand.New(rand.NewPCG(seed, 47)), part: make([]int, members), down: make(map[int]bool),
		running: make(map[int][]*modelRun), lost: make(map[int]int), innocents: make(map[string]int),
	}
	for i := range members {
		s.members = append(s.members, newJudge(s, i))
	}
	return s
}

// call lets a client send a content to a member.
func (s *modelFleet) call(member int, content Content) { s.try(member, content, 1, s.now) }

// try makes one attempt of a request.
func (s *modelFleet) try(member int, content Content, tries int, since time.Time) {
	s.runs++
	id := fmt.Sprint("run-", s.runs)
	s.members[member].begin(s, content, id, func(p Permission) {
		switch {
		case p.Outcome == Granted:
			s.start(&modelRun{member: member, content: content, id: id, trial: p.Trial, tries: tries})
		case p.Outcome == Waiting && s.now.Sub(since) < maxRunWait:
			s.after(askInterval, func() { s.try(member, content, tries, since) })
		default:
			s.count(content, "refused")
		}
	})
}

func (s *modelFleet) count(content Content, outcome string) {
	if content != crashing {
		s.innocents[outcome]++
	}
}

// start runs a request at a random endpoint.
func (s *modelFleet) start(r *modelRun) {
	e := s.rng.IntN(modelEndpoints)
	for i := 0; s.down[e]; i++ {
		if i == modelEndpoints {
			s.count(r.content, "no endpoint")
			return
		}
		e = (e + 1) % modelEndpoints
	}
	s.running[e] = append(s.running[e], r)
	if r.content == crashing {
		s.after(crashTime, func() {
			if !r.ended {
				s.lost[s.part[r.member]]++
				s.crash(e)
			}
		})
		return
	}
	s.after(serveTime, func() {
		if !r.ended {
			r.ended = true
			s.count(r.content, "served")
			s.members[r.member].answered(s, r.content, r.id, r.trial)
		}
	})
}

// crash ends an endpoint under all that runs there; it is back after restartTime.
func (s *modelFleet) crash(e int) {
	ended := s.running[e]
	s.running[e], s.down[e] = nil, true
	name := fmt.Sprintf("%d-%d", e, s.now.UnixNano())
	var live []*modelRun
	for _, r := range ended {
		if !r.ended {
			r.ended = true
			live = append(live, r)
		}
	}
	for _, r := range live {
		s.members[r.member].broke(s, r.content, r.id, name, len(live)-1, r.trial)
		if r.tries < modelAttempts {
			s.after(verdictTime, func() { s.try(r.member, r.content, r.tries+1, s.now) })
		} else {
			s.count(r.content, "broken")
		}
	}
	s.after(restartTime, func() { s.down[e] = false })
}

// anyMember returns a random member.
func (s *modelFleet) anyMember() int { return s.rng.IntN(len(s.members)) }

// arbitrated is the judge of this package: the owner grants the runs of suspect content.
type arbitrated struct {
	table  *Table
	member int
}

func newArbitrated(_ *modelFleet, member int) judge {
	return &arbitrated{table: NewTable(drain), member: member}
}

// tableOf returns the table of a member.
func tableOf(s *modelFleet, member int) *Table {
	judge, _ := s.members[member].(*arbitrated)
	return judge.table
}

func (a *arbitrated) begin(s *modelFleet, content Content, run string, decided func(Permission)) {
	state := a.table.State(s.now, content)
	switch {
	case state.RefusedFor > 0:
		decided(Permission{Outcome: Refused})
		return
	case state.Standing == Clear:
		decided(Permission{})
		return
	}
	owner, losses := s.ownerOf(a.member), a.table.Losses(s.now, content)
	s.send(a.member, owner, func() {
		a.tell(s, owner, losses)
		p := tableOf(s, owner).Begin(s.now, content, run, s.now.Add(time.Minute))
		s.send(owner, a.member, func() { decided(p) })
	})
}

// tell merges losses at the owner, which tells all others what is news.
func (a *arbitrated) tell(s *modelFleet, owner int, losses []Loss) {
	for _, l := range losses {
		if !tableOf(s, owner).Merge(s.now, l) && owner != a.member {
			continue
		}
		for i := range s.members {
			if i != owner {
				s.send(owner, i, func() { tableOf(s, i).Merge(s.now, l) })
			}
		}
	}
}

// end tells the owner what a run has shown.
func (a *arbitrated) end(s *modelFleet, content Content, run string, losses []Loss) {
	owner := s.ownerOf(a.member)
	s.send(a.member, owner, func() {
		a.tell(s, owner, losses)
		tableOf(s, owner).End(content, run)
	})
}

func (a *arbitrated) broke(s *modelFleet, content Content, run, endpoint string, _ int, trial bool) {
	a.table.RecordBreak(s.now, Break{Content: content, Endpoint: Endpoint{Key: endpoint, Service: "s"}, RanFor: crashTime, Trial: trial})
	s.after(verdictTime, func() {
		a.table.Resolve(s.now, s.now, endpoint, Crashed, EvidenceRefused)
		a.end(s, content, run, a.table.Losses(s.now, content))
	})
}

func (a *arbitrated) answered(s *modelFleet, content Content, run string, trial bool) {
	if losses := a.table.RecordAnswer(s.now, content, trial); len(losses) > 0 {
		a.end(s, content, run, losses)
		return
	}
	a.table.End(content, run)
}

func (a *arbitrated) refuses(now time.Time, content Content) bool {
	return a.table.State(now, content).RefusedFor > 0
}

// playCrashes lets one client send crashing content at an interval, beside popular content
// and content that is sent twice, and returns the fleet in the calm after it.
func playCrashes(seed uint64, members int, interval time.Duration, newJudge func(*modelFleet, int) judge, trouble func(*modelFleet)) *modelFleet {
	s := newModelFleet(seed, members, newJudge)
	s.every(interval, callTime, func() { s.call(s.anyMember(), crashing) })
	s.every(10*time.Millisecond, callTime, func() { s.call(s.anyMember(), popular) })
	seldom := firstSeldom
	s.every(10*time.Millisecond, callTime, func() {
		seldom++
		content := seldom
		s.call(s.anyMember(), content)
		s.after(time.Second, func() { s.call(s.anyMember(), content) })
	})
	if trouble != nil {
		trouble(s)
	}
	s.run(calmTime)
	return s
}
