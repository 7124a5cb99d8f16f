package part

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// rig is a table with the time and a count of what has happened.
type rig struct {
	*Table
	now      time.Time
	contents uint64
	losses   int
}

func newRig() *rig { return &rig{Table: NewTable(), now: epoch} }

// pass lets time pass.
func (r *rig) pass(d time.Duration) { r.now = r.now.Add(d) }

// crash records that the next endpoint was lost under requests with these shared parts, no two
// alike.
func (r *rig) crash(prompts ...[]ID) string {
	r.losses++
	endpoint := fmt.Sprint("e", r.losses)
	for _, parts := range prompts {
		r.contents++
		r.crashOn(endpoint, r.contents, false, parts...)
	}
	return endpoint
}

// crashOn records that an endpoint was lost under a content with these shared parts.
func (r *rig) crashOn(endpoint string, content uint64, trial bool, parts ...ID) {
	answered, service := r.LastAnswers(r.now, "s", parts)
	r.RecordCrash(r.now, Crash{
		Endpoint: endpoint, Service: "s", Content: content, Parts: parts, Answered: answered, ServiceAnswered: service,
		Trial: trial, RanFor: 100 * time.Millisecond, At: r.now,
	})
}

func (r *rig) answer(parts ...ID) { r.RecordAnswer(r.now, "s", parts) }

// blames reports whether a request with these shared parts is refused, or would be a trial.
func (r *rig) blames(parts ...ID) bool { return len(r.Judge(r.now, "s", parts).Blamed) > 0 }

// blame makes a part blamed that always comes with the same company.
func (r *rig) blame(parts ...ID) {
	for range crashLimit {
		r.crash(parts)
		r.pass(200 * time.Millisecond)
	}
}

// newPart returns a part that no other request has.
func (r *rig) newPart() ID {
	r.contents++
	return ID(1<<20 + r.contents)
}

const (
	first  ID = 0xf0
	deadly ID = 0xdead
	other  ID = 0xbad
	rare   ID = 0xaa
)

// Guards against a part that crashes engine after engine in requests that are never alike,
// while what all requests share is answered in between.
func TestPartThatCrashesIsBlamed(t *testing.T) {
	r := newRig()
	for range crashLimit {
		assert.Assert(t, !r.blames(deadly))
		r.crash([]ID{first, deadly}, []ID{first, r.newPart()})
		r.pass(100 * time.Millisecond)
		r.answer(first, other)
		r.pass(100 * time.Millisecond)
	}
	assert.DeepEqual(t, r.Judge(r.now, "s", []ID{first, deadly}).Blamed, []ID{deadly})
	assert.Assert(t, !r.blames(first, other))
	changes := r.TakeChanges()
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0].Part, deadly)
	assert.Equal(t, len(changes[0].Endpoints), crashLimit)
}

// Guards against an endpoint that counts more than once because several requests with the part
// were lost with it.
func TestOneEndpointIsOneCrash(t *testing.T) {
	r := newRig()
	r.crash([]ID{deadly}, []ID{deadly}, []ID{deadly}, []ID{deadly}, []ID{deadly}, []ID{deadly})
	assert.Assert(t, !r.blames(deadly))
}

// Guards against parts that are blamed for crashes of one content that comes again.
func TestPartsOfACrashingContentAreNotBlamed(t *testing.T) {
	r := newRig()
	for i := range 4 * crashLimit {
		r.crashOn(fmt.Sprint("e", i), 1, false, first, rare)
		r.pass(time.Second)
	}
	assert.Assert(t, !r.blames(first) && !r.blames(rare))
}

// Guards against a common part that is blamed although it is answered, because it is in all
// requests that are lost, or because endpoints lose power: all at once, some, in series.
func TestAnsweredPartIsNotBlamed(t *testing.T) {
	losses := map[string]func(*rig){
		"all at once": func(r *rig) {
			for range 40 {
				r.crash([]ID{first, rare})
				r.pass(time.Millisecond)
			}
		},
		"in series, answers in between": func(r *rig) {
			for range 16 {
				r.crash([]ID{first, rare})
				r.pass(500 * time.Millisecond)
				r.answer(first, rare)
				r.pass(200 * time.Millisecond)
			}
		},
		"in series, no answers at all": func(r *rig) {
			for range 16 {
				r.crash([]ID{first, rare})
				r.pass(700 * time.Millisecond)
			}
		},
		"some at once, others answer": func(r *rig) {
			for range 8 {
				r.crash([]ID{first, rare})
			}
			r.answer(other)
		},
	}
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			r := newRig()
			r.answer(first, rare)
			r.pass(time.Second)
			lose(r)
			assert.Assert(t, !r.blames(first) && !r.blames(rare), "%+v", r.TakeChanges())
			assert.Equal(t, len(r.TakeChanges()), 0)
		})
	}
}

// Guards against a new part that is blamed because many endpoints without it were lost at the
// same time.
func TestNewPartInAnOutageIsNotBlamed(t *testing.T) {
	r := newRig()
	for range 12 {
		r.crash([]ID{first, rare})
		r.crash([]ID{other})
		r.crash([]ID{first})
		r.pass(time.Millisecond)
	}
	assert.Assert(t, !r.blames(rare))
	// The deadly part is found although it came during the outage.
	r.crash([]ID{deadly})
	for range crashLimit - 1 {
		r.pass(300 * time.Millisecond)
		r.crash([]ID{deadly})
	}
	assert.Assert(t, r.blames(deadly))
	assert.Assert(t, !r.blames(rare))
}

// Guards against common parts that are blamed for software that crashes on everything.
func TestSoftwareThatCrashesOnEverything(t *testing.T) {
	r := newRig()
	r.answer(first, rare, other)
	for i := range 40 {
		r.crash([]ID{first, []ID{rare, other}[i%2]})
		r.pass(300 * time.Millisecond)
	}
	assert.Assert(t, !r.blames(first) && !r.blames(rare) && !r.blames(other))
}

// Guards against a part that was answered before it began to crash engines and is never blamed.
func TestPartThatWasAnsweredBeforeIsBlamed(t *testing.T) {
	r := newRig()
	r.answer(first, deadly)
	crashes := 0
	for ; !r.blames(deadly) && crashes < 20; crashes++ {
		r.pass(100 * time.Millisecond)
		r.crash([]ID{first, deadly}, []ID{first, r.newPart()})
		r.pass(100 * time.Millisecond)
		r.answer(first, other)
	}
	assert.Assert(t, crashes <= crashLimit+1, "%d", crashes)
	assert.Assert(t, !r.blames(first))
}

// Guards against a company that is refused with the part that crashes engines: parts that
// always came with it are served as soon as they come alone.
func TestCompanionThatComesAloneIsTried(t *testing.T) {
	r := newRig()
	r.blame(first, deadly, rare)
	assert.DeepEqual(t, r.Judge(r.now, "s", []ID{first, deadly, rare}).Blamed, []ID{first, deadly, rare})
	assert.Assert(t, r.Judge(r.now, "s", []ID{first, deadly, rare}).RefusedFor > 0)
	later := r.now.Add(time.Second)
	p := r.Begin(r.now, "s", []ID{first, rare}, "run", later)
	assert.DeepEqual(t, p, Permission{Trial: []ID{first, rare}})
	assert.Equal(t, r.Begin(r.now, "s", []ID{first}, "beside", later).Outcome, Waiting)
	assert.Equal(t, r.Begin(r.now, "s", []ID{first, deadly, rare}, "deadly", later).Outcome, Refused)
	r.answer(first, rare)
	r.End(r.now, []ID{first, rare}, "run", true)
	assert.Assert(t, !r.blames(first, rare))
	assert.DeepEqual(t, r.Judge(r.now, "s", []ID{first, deadly, rare}).Blamed, []ID{deadly})
}

// Guards against companions that stay refused once the part has crashed an engine without them.
func TestCompanionIsClearedByACrashWithoutIt(t *testing.T) {
	r := newRig()
	r.blame(first, deadly, rare)
	assert.DeepEqual(t, r.Begin(r.now, "s", []ID{deadly}, "run", r.now.Add(time.Second)).Trial, []ID{deadly})
	r.crashOn("trial", 1000, true, deadly)
	assert.Assert(t, !r.blames(first, rare))
	assert.Assert(t, r.Judge(r.now, "s", []ID{deadly}).RefusedFor > trialDelay)
}

// Guards against a part that is refused for good, and against trials that cost an endpoint too
// often: one at a time, after one, two and four minutes, and then one in an hour.
func TestTrialsOfABlamedPart(t *testing.T) {
	r := newRig()
	r.blame(first, deadly)
	r.answer(first)
	parts := []ID{first, deadly}
	for i, delay := range []time.Duration{time.Minute, 2 * time.Minute, 4 * time.Minute, time.Hour} {
		latest := r.now
		if i == 0 {
			latest = r.now.Add(-200 * time.Millisecond)
		}
		assert.Equal(t, r.Judge(r.now, "s", parts).RefusedFor, latest.Add(delay).Sub(r.now))
		r.pass(delay)
		run := fmt.Sprint("run", i)
		assert.DeepEqual(t, r.Begin(r.now, "s", parts, run, r.now.Add(time.Minute)).Trial, []ID{deadly})
		assert.Equal(t, r.Begin(r.now, "s", parts, "beside", r.now.Add(time.Minute)).Outcome, Refused)
		r.crashOn(run, uint64(1000+i), true, parts...)
		r.End(r.now, parts, run, false)
	}
	r.pass(time.Hour)
	assert.DeepEqual(t, r.Begin(r.now, "s", parts, "last", r.now.Add(time.Minute)).Trial, []ID{deadly})
	r.answer(parts...)
	r.End(r.now, parts, "last", true)
	assert.Assert(t, !r.blames(parts...))
}

// Guards against a second trial between the end of the first and the verdict on its endpoint.
func TestNoTrialBeforeTheVerdictOnTheLast(t *testing.T) {
	r := newRig()
	r.blame(deadly)
	r.pass(trialDelay)
	later := r.now.Add(time.Minute)
	assert.DeepEqual(t, r.Begin(r.now, "s", []ID{deadly}, "run", later).Trial, []ID{deadly})
	r.End(r.now, []ID{deadly}, "run", false)
	assert.Equal(t, r.Begin(r.now, "s", []ID{deadly}, "next", later).Outcome, Refused)
	r.pass(verdictTime)
	assert.DeepEqual(t, r.Begin(r.now, "s", []ID{deadly}, "next", later).Trial, []ID{deadly})
	// A trial of another member counts as well, also at a new owner of the queue.
	assert.Assert(t, r.NoteTrial(r.now, deadly, "next", time.Minute), "granted here and not told yet")
	assert.Assert(t, !r.NoteTrial(r.now, deadly, "next", time.Minute))
	assert.Assert(t, r.NoteTrial(r.now, deadly, "elsewhere", time.Minute))
	assert.Equal(t, r.Judge(r.now, "s", []ID{deadly}).RefusedFor, besideTrialDelay)
	r.End(r.now, []ID{deadly}, "next", false)
	r.pass(verdictTime)
	assert.Equal(t, r.Begin(r.now, "s", []ID{deadly}, "third", later).Outcome, Refused)
}

// Guards against requests that crash more engines in flight than are left until their part is
// blamed, and against limits on parts that are answered.
func TestPartsWithCrashesRunInFewRequests(t *testing.T) {
	r := newRig()
	r.answer(first)
	later := r.now.Add(time.Minute)
	r.crash([]ID{first, deadly})
	assert.Assert(t, !r.Judge(r.now, "s", []ID{first, deadly}).Limited)
	r.pass(300 * time.Millisecond)
	r.crash([]ID{first, deadly})
	assert.Assert(t, r.Judge(r.now, "s", []ID{first, deadly}).Limited)
	assert.Assert(t, !r.Judge(r.now, "s", []ID{first, rare}).Limited)
	for i := range crashLimit - 2 {
		assert.Equal(t, r.Begin(r.now, "s", []ID{first, deadly}, fmt.Sprint(i), later).Outcome, Granted)
	}
	assert.Equal(t, r.Begin(r.now, "s", []ID{first, deadly}, "more", later).Outcome, Waiting)
	r.End(r.now, []ID{first, deadly}, "0", true)
	assert.Equal(t, r.Begin(r.now, "s", []ID{first, deadly}, "more", later).Outcome, Granted)
	r.Cancel([]ID{first, deadly}, "more")
	assert.Equal(t, r.Begin(r.now, "s", []ID{first, deadly}, "again", later).Outcome, Granted)
}

// Guards against a part whose requests wait for as long as requests without it ran on the
// endpoints that were lost.
func TestLimitedRunsDoNotLastAsLongAsOthers(t *testing.T) {
	r := newRig()
	for i, endpoint := range []string{"a", "b"} {
		r.pass(time.Second)
		r.crashOn(endpoint, uint64(2*i+1), false, rare)
		r.RecordCrash(r.now, Crash{Endpoint: endpoint, Service: "s", Content: uint64(2*i + 2), Parts: []ID{other}, RanFor: time.Minute, At: r.now})
	}
	later := r.now.Add(time.Hour)
	for i := range crashLimit - 2 {
		assert.Equal(t, r.Begin(r.now, "s", []ID{rare}, fmt.Sprint(i), later).Outcome, Granted)
	}
	r.pass(minRunTime)
	assert.Equal(t, r.Begin(r.now, "s", []ID{rare}, "next", later).Outcome, Granted)
}

// Guards against two parts that excuse each other, or accuse each other's company, because each
// crashes engines while the other does.
func TestTwoPartsAreBlamed(t *testing.T) {
	r := newRig()
	r.answer(first)
	for range crashLimit {
		r.crash([]ID{first, deadly, rare})
		r.pass(20 * time.Millisecond)
		r.crash([]ID{first, other, rare})
		r.pass(20 * time.Millisecond)
		r.answer(first, rare)
	}
	assert.Assert(t, r.blames(deadly) && r.blames(other))
	assert.Assert(t, !r.blames(first) && !r.blames(rare))
}

// Guards against a part that is refused at a service which answers it, for crashes of another
// service.
func TestPartIsNotBlamedWhereItIsAnswered(t *testing.T) {
	r := newRig()
	r.RecordAnswer(r.now, "sound", []ID{deadly})
	r.blame(first, deadly)
	r.RecordAnswer(r.now, "sound", []ID{deadly})
	assert.Assert(t, r.blames(deadly))
	assert.Equal(t, len(r.Judge(r.now, "sound", []ID{deadly}).Blamed), 0)
	assert.Equal(t, len(r.Judge(r.now, "unknown", []ID{deadly}).Blamed), 1)
}

// Guards against all queued requests being judged anew at each crash and each end of a run, also
// where nothing has changed for them.
func TestOnlyChangesWakeThoseWhoWait(t *testing.T) {
	r := newRig()
	changed := r.Changed()
	woken := func() bool {
		select {
		case <-changed:
			return true
		default:
			return false
		}
	}
	r.crash([]ID{first, deadly})
	r.answer(first)
	r.End(r.now, []ID{first, deadly}, "run", false)
	assert.Assert(t, !woken())
	r.blame(deadly)
	assert.Assert(t, woken())
}

// Guards against members of which one counts crashes that another has cleared: answers are told
// while others may count a crash, at an interval.
func TestAnswersAreTold(t *testing.T) {
	r := newRig()
	r.answer(first)
	r.crash([]ID{first, rare})
	r.pass(10 * time.Millisecond)
	assert.DeepEqual(t, r.RecordAnswer(r.now, "s", []ID{first}), []Answer{{Part: first, Service: "s", At: r.now}})
	r.pass(10 * time.Millisecond)
	r.crash([]ID{first, rare})
	assert.Equal(t, len(r.RecordAnswer(r.now, "s", []ID{first})), 0)
	r.pass(tellInterval)
	assert.Equal(t, len(r.RecordAnswer(r.now, "s", []ID{first})), 1)
	r.pass(tellInterval)
	assert.Equal(t, len(r.RecordAnswer(r.now, "s", []ID{first})), 0, "no crash since")
}

// Guards against an owner of the queue that keeps an answer to itself because it has a later one of
// its own, which it has not told: the other members go on counting the crash.
func TestAnswerIsPassedOnBesideOwnAnswers(t *testing.T) {
	r := newRig()
	r.crash([]ID{first, rare})
	r.pass(10 * time.Millisecond)
	r.answer(first)
	r.pass(10 * time.Millisecond)
	r.crash([]ID{first, rare})
	r.pass(10 * time.Millisecond)
	elsewhere := r.now
	r.pass(10 * time.Millisecond)
	assert.Equal(t, len(r.RecordAnswer(r.now, "s", []ID{first})), 0, "told shortly before")
	assert.Assert(t, r.Merge(r.now, Answer{Part: first, Service: "s", At: elsewhere}))
	assert.Assert(t, !r.Merge(r.now, Answer{Part: first, Service: "s", At: elsewhere}), "passed on once")
}

// Guards against a member that holds its own answers back when others tell of crashes.
func TestOwnAnswersAreToldWhenOthersCount(t *testing.T) {
	r := newRig()
	r.answer(rare)
	answered := r.now
	r.pass(time.Second)
	crash := Crash{Endpoint: "a", Service: "s", Content: 1, Parts: []ID{rare}, At: r.now}
	_, tell := r.RecordCrash(r.now, crash)
	assert.Equal(t, len(tell), 0)
	crash.Endpoint, crash.Content = "b", 2
	_, tell = r.RecordCrash(r.now, crash)
	assert.DeepEqual(t, tell, []Answer{{Part: rare, Service: "s", At: answered}})
}

// Guards against answers that are older than a crash and clear it, and against news that comes
// in another order.
func TestOlderAnswerClearsNothing(t *testing.T) {
	r := newRig()
	r.blame(deadly)
	assert.Assert(t, r.Merge(r.now, Answer{Part: deadly, Service: "s", At: epoch.Add(-time.Second)}))
	assert.Equal(t, len(r.parts[deadly].left()), crashLimit)
	assert.Assert(t, !r.Merge(r.now, Answer{Part: deadly, Service: "s", At: epoch.Add(-time.Second)}))
	assert.Assert(t, r.Merge(r.now, Answer{Part: deadly, Service: "s", At: r.now}))
	assert.Equal(t, len(r.parts[deadly].left()), 0)
}

// Guards against findings that stand after a message has shown that a crash was earlier, before an
// answer that clears it.
func TestEarlierTimeOfACrashCounts(t *testing.T) {
	r := newRig()
	c := Crash{Endpoint: "a", Service: "s", Content: 1, Parts: []ID{rare}, At: r.now.Add(time.Second)}
	r.pass(2 * time.Second)
	r.RecordCrash(r.now, c)
	assert.Equal(t, len(r.findingsLocked(rare, r.parts[rare]).left), 1)
	r.Merge(r.now, Answer{Part: rare, Service: "s", At: epoch.Add(500 * time.Millisecond)})
	assert.Equal(t, len(r.findingsLocked(rare, r.parts[rare]).left), 1)
	c.At = epoch.Add(100 * time.Millisecond)
	r.RecordCrash(r.now, c)
	assert.Equal(t, len(r.findingsLocked(rare, r.parts[rare]).left), 0)
}

// Guards against memory that grows with the parts that callers invent, and against a blamed part
// that is forgotten for them.
func TestTableIsBounded(t *testing.T) {
	r := newRig()
	r.blame(deadly)
	for i := range 3 * maxTracked {
		r.crash([]ID{ID(1<<20 + i)})
	}
	assert.Assert(t, len(r.parts) <= maxTracked && len(r.lost) <= maxLost && len(r.byTime) == len(r.lost))
	for i := range 3 * maxAnswers {
		r.answer(ID(1<<30 + i))
	}
	assert.Assert(t, len(r.answers.newer)+len(r.answers.older) <= 2*maxAnswers)
	for i := range 2 * maxRunsPerCrash {
		r.crashOn("crowd", uint64(1<<40+i), false, rare)
	}
	assert.Equal(t, len(r.lost["crowd"].runs), maxRunsPerCrash)
}

// Guards against parts that are remembered for good.
func TestPartsAreForgotten(t *testing.T) {
	r := newRig()
	r.blame(deadly)
	r.crash([]ID{rare})
	r.pass(suspectTime + time.Second)
	r.Judge(r.now, "s", []ID{rare})
	assert.Assert(t, r.parts[rare] == nil && r.blames(deadly))
	r.pass(blamedTime)
	r.Judge(r.now, "s", []ID{deadly})
	r.pass(expireInterval)
	r.Judge(r.now, "s", []ID{deadly})
	assert.Assert(t, r.Empty() && len(r.lost) == 0)
}

// Guards against a new member that knows nothing of a blamed part, or takes its company for it.
func TestEvidenceForAnotherMember(t *testing.T) {
	r := newRig()
	for range crashLimit {
		r.answer(first)
		r.pass(100 * time.Millisecond)
		r.crash([]ID{first, deadly}, []ID{first, r.newPart()})
		r.pass(100 * time.Millisecond)
	}
	r.answer(first)
	next := newRig()
	for _, c := range r.Evidence(nil, 64) {
		next.RecordCrash(r.now, c)
	}
	next.now = r.now
	assert.Assert(t, next.blames(deadly))
	assert.Assert(t, !next.blames(first))
	assert.Equal(t, len(r.Evidence([]ID{rare}, 64)), 0)
	assert.Equal(t, len(r.Evidence(nil, 3)), 3)
	assert.Assert(t, r.Explains("e1") && !r.Explains("unknown"))
}

// Guards against a part that nobody has answered yet and that is blamed for a loss of power, and
// against a deadly part that escapes because many requests with it ran at once.
func TestCrashesAtOnceDoNotSuffice(t *testing.T) {
	r := newRig()
	for range 3 * crashLimit {
		r.crash([]ID{first, deadly})
		r.pass(time.Millisecond)
	}
	assert.Assert(t, !r.blames(first, deadly))
	r.answer(first)
	r.pass(200 * time.Millisecond)
	r.crash([]ID{first, deadly})
	assert.DeepEqual(t, r.Judge(r.now, "s", []ID{first, deadly}).Blamed, []ID{deadly})
}
