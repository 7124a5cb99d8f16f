package quarantine

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mangostage/mangostage/quarantine/part"
)

const (
	// firstPart is in all prompts, deadlyPart crashes each endpoint that begins an answer on it;
	// common parts are numbered from commonPart, rare ones from rarePart.
	firstPart  part.ID = 1
	deadlyPart part.ID = 2
	commonPart part.ID = 100
	rarePart   part.ID = 1 << 20

	commonPartCount = 20
	partService     = "s"
	// partCalm is how long a day goes on after the last deadly request.
	partCalm = 4 * time.Second
)

// partJudge is a way to decide on the requests of one member by the parts of their prompts.
type partJudge interface {
	// begin asks for a run and calls decided later.
	begin(s *partFleet, r *partRun, decided func(part.Permission))
	// crashed ends a run with its endpoint, answered one with a complete answer.
	crashed(s *partFleet, r *partRun, endpoint string)
	answered(s *partFleet, r *partRun)
	// refuses reports whether a request would be refused now.
	refuses(now time.Time, parts []part.ID) bool
}

// partRun is one run of a request at an endpoint.
type partRun struct {
	member  int
	content uint64
	parts   []part.ID
	id      string
	deadly  bool
	trial   bool
	tries   int
	ended   bool
}

// partDay is what happens in a fleet.
type partDay struct {
	members int
	// interval is the time between two deadly requests; 0 means that there are none.
	interval time.Duration
	// runTime is the longest run of sound requests.
	runTime time.Duration
	trouble func(*partFleet)
}

// partFleet is a fleet in virtual time before endpoints that a part crashes.
type partFleet struct {
	modelClock
	rng      *rand.Rand
	members  []partJudge
	side     []int
	owner    int
	down     map[int]bool
	running  map[int][]*partRun
	runTime  time.Duration
	contents uint64
	runs     int
	// lost counts the endpoints that the part crashed, by the side of its sender.
	lost     map[int]int
	sound    map[string]int
	messages int
}

func newPartFleet(seed uint64, day partDay, newJudge func(int) partJudge) *partFleet {
	s := &partFleet{
		modelClock: modelClock{now: epoch}, rng: rand.New(rand.NewPCG(seed, 56)), side: make([]int, day.members), down: make(map[int]bool),
		running: make(map[int][]*partRun), lost: make(map[int]int), sound: make(map[string]int), runTime: day.runTime,
	}
	for i := range day.members {
		s.members = append(s.members, newJudge(i))
	}
	return s
}

// playPart plays a day and returns the fleet in the calm after it.
func playPart(seed uint64, day partDay, newJudge func(int) partJudge) *partFleet {
	s := newPartFleet(seed, day, newJudge)
	s.every(5*time.Millisecond, callTime+partCalm, func() { s.call(s.soundPrompt(), false) })
	s.after(time.Second, func() {
		if day.interval > 0 {
			s.every(day.interval, callTime, func() { s.call([]part.ID{firstPart, s.commonPart(), deadlyPart}, true) })
		}
	})
	if day.trouble != nil {
		day.trouble(s)
	}
	s.run(callTime + partCalm)
	return s
}

func (s *partFleet) commonPart() part.ID { return commonPart + part.ID(s.rng.IntN(commonPartCount)) }

// soundPrompt returns the shared parts of a sound request; one in ten has a rare part.
func (s *partFleet) soundPrompt() []part.ID {
	parts := []part.ID{firstPart, s.commonPart()}
	if s.rng.IntN(10) == 0 {
		parts = append(parts, rarePart+part.ID(s.rng.IntN(1000)))
	}
	return parts
}

// send delivers a message between members after a delay, unless they are cut off from each
// other.
func (s *partFleet) send(from, to int, deliver func()) {
	if from == to {
		deliver()
		return
	}
	s.messages++
	if s.side[from] == s.side[to] {
		s.after(time.Duration(1+s.rng.IntN(5))*time.Millisecond, deliver)
	}
}

// spread delivers a message to all other members by way of the owner.
func (s *partFleet) spread(from int, deliver func(to int)) {
	owner := s.ownerOf(from)
	s.send(from, owner, func() {
		for to := range s.members {
			if to != owner && to != from {
				s.send(owner, to, func() { deliver(to) })
			}
		}
		if owner != from {
			deliver(owner)
		}
	})
}

// ownerOf returns the owner on a member's side.
func (s *partFleet) ownerOf(member int) int {
	if s.side[member] == s.side[s.owner] {
		return s.owner
	}
	for i, side := range s.side {
		if side == s.side[member] {
			return i
		}
	}
	return member
}

// call lets a client send a request to a random member.
func (s *partFleet) call(parts []part.ID, deadly bool) {
	s.contents++
	s.try(&partRun{member: s.rng.IntN(len(s.members)), content: s.contents, parts: parts, deadly: deadly}, s.now)
}

// try makes one attempt of a request.
func (s *partFleet) try(r *partRun, since time.Time) {
	s.runs++
	next := *r
	next.id, next.ended, next.tries = fmt.Sprint("run-", s.runs), false, r.tries+1
	s.members[r.member].begin(s, &next, func(p part.Permission) {
		switch {
		case p.Outcome == part.Granted:
			next.trial = len(p.Trial) > 0
			s.start(&next)
		case p.Outcome == part.Waiting && s.now.Sub(since) < maxRunWait:
			s.after(askInterval, func() { s.try(r, since) })
		default:
			s.count(&next, "refused")
		}
	})
}

func (s *partFleet) count(r *partRun, outcome string) {
	if !r.deadly {
		s.sound[outcome]++
	}
}

// start runs a request at a random endpoint.
func (s *partFleet) start(r *partRun) {
	e := s.rng.IntN(modelEndpoints)
	for i := 0; s.down[e]; i++ {
		if i == modelEndpoints {
			s.count(r, "no endpoint")
			return
		}
		e = (e + 1) % modelEndpoints
	}
	s.running[e] = append(s.running[e], r)
	if r.deadly {
		s.after(110*time.Millisecond, func() {
			if !r.ended {
				s.lost[s.side[r.member]]++
				s.crash(e)
			}
		})
		return
	}
	s.after(serveTime+time.Duration(s.rng.Int64N(int64(s.runTime))), func() {
		if !r.ended {
			r.ended = true
			s.count(r, "served")
			s.members[r.member].answered(s, r)
		}
	})
}

// crash ends an endpoint under all that runs there; it is back after restartTime.
func (s *partFleet) crash(e int) {
	ended := s.running[e]
	s.running[e], s.down[e] = nil, true
	name := fmt.Sprintf("%d-%d", e, s.now.UnixNano())
	for _, r := range ended {
		if r.ended {
			continue
		}
		r.ended = true
		s.members[r.member].crashed(s, r, name)
		if r.tries >= modelAttempts {
			s.count(r, "broken")
			continue
		}
		s.after(verdictTime, func() { s.try(r, s.now) })
	}
	s.after(restartTime, func() { s.down[e] = false })
}

// judgedParts is the judge of package part.
type judgedParts struct {
	table  *part.Table
	member int
}

func newJudgedParts(member int) partJudge {
	return &judgedParts{table: part.NewTable(), member: member}
}

// partTableOf returns the table of a member.
func partTableOf(s *partFleet, member int) *part.Table {
	judge, _ := s.members[member].(*judgedParts)
	return judge.table
}

func (j *judgedParts) refuses(now time.Time, parts []part.ID) bool {
	return len(j.table.Judge(now, partService, parts).Blamed) > 0
}

func (j *judgedParts) begin(s *partFleet, r *partRun, decided func(part.Permission)) {
	ruling := j.table.Judge(s.now, partService, r.parts)
	switch {
	case ruling.RefusedFor > 0:
		decided(part.Permission{Outcome: part.Refused})
		return
	case len(ruling.Blamed) == 0 && !ruling.Limited:
		decided(part.Permission{})
		return
	}
	owner, evidence := s.ownerOf(j.member), j.table.Evidence(r.parts, maxEvidence)
	s.send(j.member, owner, func() {
		for _, c := range evidence {
			partTableOf(s, owner).RecordCrash(s.now, c)
		}
		p := partTableOf(s, owner).Begin(s.now, partService, r.parts, r.id, s.now.Add(time.Minute))
		s.send(owner, j.member, func() { decided(p) })
	})
}

// tell tells all other members of answers.
func (j *judgedParts) tell(s *partFleet, answers []part.Answer) {
	for _, a := range answers {
		s.spread(j.member, func(to int) { partTableOf(s, to).Merge(s.now, a) })
	}
}

func (j *judgedParts) crashed(s *partFleet, r *partRun, endpoint string) {
	broke := s.now
	answered, service := j.table.LastAnswers(s.now, partService, r.parts)
	s.end(j.member, r, false)
	s.after(verdictTime, func() {
		c := part.Crash{
			Endpoint: endpoint, Service: partService, Content: r.content, Parts: r.parts, Answered: answered, ServiceAnswered: service,
			Trial: r.trial, RanFor: 110 * time.Millisecond, At: broke,
		}
		_, tell := j.table.RecordCrash(s.now, c)
		j.tell(s, tell)
		s.spread(j.member, func(to int) {
			_, tell := partTableOf(s, to).RecordCrash(s.now, c)
			if other, ok := s.members[to].(*judgedParts); ok {
				other.tell(s, tell)
			}
		})
	})
}

func (j *judgedParts) answered(s *partFleet, r *partRun) {
	j.tell(s, j.table.RecordAnswer(s.now, partService, r.parts))
	s.end(j.member, r, true)
}

// end tells the owner that a run has ended, if it may have granted it.
func (s *partFleet) end(member int, r *partRun, answered bool) {
	if !r.deadly && !r.trial {
		return
	}
	owner := s.ownerOf(member)
	s.send(member, owner, func() { partTableOf(s, owner).End(s.now, r.parts, r.id, answered) })
}

// countedParts is the other way to judge: crashes since the last answer are counted, members
// tell each other all of them, and nothing else is weighed.
type countedParts struct {
	crashes  map[part.ID]map[string]time.Time
	answers  map[part.ID]time.Time
	toldLast map[part.ID]time.Time
	member   int
}

func newCountedParts(member int) partJudge {
	return &countedParts{
		crashes: make(map[part.ID]map[string]time.Time), answers: make(map[part.ID]time.Time),
		toldLast: make(map[part.ID]time.Time), member: member,
	}
}

func countedOf(s *partFleet, member int) *countedParts {
	judge, _ := s.members[member].(*countedParts)
	return judge
}

// left returns the number of crashes of a part since its last answer.
func (c *countedParts) left(id part.ID) int {
	n := 0
	for _, at := range c.crashes[id] {
		if at.After(c.answers[id]) {
			n++
		}
	}
	return n
}

func (c *countedParts) refuses(_ time.Time, parts []part.ID) bool {
	for _, id := range parts {
		if c.left(id) >= 5 {
			return true
		}
	}
	return false
}

func (c *countedParts) begin(s *partFleet, r *partRun, decided func(part.Permission)) {
	if c.refuses(s.now, r.parts) {
		decided(part.Permission{Outcome: part.Refused})
		return
	}
	decided(part.Permission{})
}

func (c *countedParts) record(id part.ID, endpoint string, at time.Time) {
	if c.crashes[id] == nil {
		c.crashes[id] = make(map[string]time.Time)
	}
	c.crashes[id][endpoint] = at
}

func (c *countedParts) crashed(s *partFleet, r *partRun, endpoint string) {
	broke := s.now
	s.after(verdictTime, func() {
		tell := func(to int) {
			for _, id := range r.parts {
				countedOf(s, to).record(id, endpoint, broke)
			}
		}
		tell(c.member)
		s.spread(c.member, tell)
	})
}

func (c *countedParts) answered(s *partFleet, r *partRun) {
	at := s.now
	for _, id := range r.parts {
		left := c.left(id)
		c.answers[id] = at
		if left == 0 || at.Sub(c.toldLast[id]) < 200*time.Millisecond {
			continue
		}
		c.toldLast[id] = at
		s.spread(c.member, func(to int) {
			if other := countedOf(s, to); at.After(other.answers[id]) {
				other.answers[id] = at
			}
		})
	}
}
