package integration

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/entry"
	"github.com/mangostage/mangostage/examples"
	"github.com/mangostage/mangostage/internal/harness"
	"github.com/mangostage/mangostage/ledger"
)

const (
	// concurrent is the number of requests of one pipeline that are sent at once.
	requestsPerPipeline = 200
	// explainEvery is the share of requests whose whole account is read.
	explainEvery = 10
	// accountTimeout is the time in which all parts of an account are there.
	explanationTimeout = 10 * time.Second
)

// Kinds of complaints.
const (
	notAnswered           = "not answered"
	wrongAnswer           = "answer not whole or not its own"
	wrongRuns             = "endpoints ran a stage the wrong number of times"
	wrongOutcome          = "another entry tells another outcome"
	incompleteExplanation = "the account is wrong or has gaps"
)

// sent is one request and what came back.
type request struct {
	pipeline string
	account  string
	marker   string
	entry    int
	reply    *harness.Reply
}

// path is a fleet and what was sent to it.
type pathTest struct {
	failures
	t        *testing.T
	fleet    *harness.Fleet
	requests []*request
}

// TestEveryPipelineAnswers is the whole path: a caller of any account sends to
// any entry, each stage runs on an endpoint of its pool in one of three failure
// domains, and the answer is the one that this input must have. Whatever is
// answered can be accounted for afterwards: what the agents say ran is what
// the endpoints counted.
func TestEveryPipelineAnswers(t *testing.T) {
	for _, deployment := range examples.Names() {
		t.Run(deployment, func(t *testing.T) {
			// Some forty processes with the race detector on a busy machine of a
			// dozen cores stand still for more than a second now and then,
			// which they take for a pause and drop their connections. So
			// these run without it; the other tests have it.
			p := &pathTest{t: t, fleet: harness.Start(t, harness.Config{Deployment: deployment, LogLevel: "warn", Plain: true})}
			defer p.report(t)
			defer p.logPauses()
			for i := range p.fleet.Bundle.Pipelines {
				p.sendBurst(&p.fleet.Bundle.Pipelines[i])
			}
			p.checkAnswers()
			p.checkRuns()
			p.checkOutcomes()
			p.checkExplanations()
		})
	}
}

// sendBurst sends requests of a pipeline all at once, through both entries and
// from every account that may.
func (p *pathTest) sendBurst(pipeline *bundle.Pipeline) {
	accounts := allowedAccounts(p.fleet.Bundle, pipeline.Name)
	var wg sync.WaitGroup
	for i := range requestsPerPipeline {
		s := &request{
			pipeline: pipeline.Name,
			account:  accounts[i/2%len(accounts)],
			marker:   fmt.Sprintf("%s-%d", pipeline.Name, i),
			entry:    i % len(p.fleet.Entries()),
		}
		p.requests = append(p.requests, s)
		wg.Go(func() {
			s.reply = p.fleet.Send(p.t.Context(), s.entry, harness.Call{
				Pipeline: s.pipeline, Account: s.account, Input: harness.Marker(s.marker),
			})
		})
	}
	wg.Wait()
}

func allowedAccounts(b *bundle.Bundle, pipeline string) []string {
	var names []string
	for _, a := range b.Accounts {
		if len(a.Pipelines) == 0 || slices.Contains(a.Pipelines, pipeline) {
			names = append(names, a.Name)
		}
	}
	return names
}

// checkAnswers finds each answer whole and its own: the output follows from
// the input alone, so any mixture of two requests shows.
func (p *pathTest) checkAnswers() {
	answered := make(map[string]int)
	for _, s := range p.requests {
		a := s.reply.Answer
		if s.reply.Err != nil || a == nil {
			p.add(notAnswered, "%s: status %d, %v, %s", s.marker, s.reply.Status, s.reply.Err, s.reply.Body)
			continue
		}
		answered[s.pipeline]++
		want := harness.Expect(p.fleet.Bundle, s.pipeline, harness.Marker(s.marker))
		if string(a.Output) != string(want) {
			p.add(wrongAnswer, "%s: output %s, want %s", s.marker, a.Output, want)
		}
		if a.Outcome != api.OutcomeAnswered || a.RequestID == "" || a.RequestID != s.reply.RequestID() || a.Replayed {
			p.add(wrongAnswer, "%s: %s", s.marker, s.reply.Body)
		}
		if !slices.Equal(doneStages(a), p.stages(s)) {
			p.add(wrongAnswer, "%s: stages %v, want %v", s.marker, doneStages(a), p.stages(s))
		}
	}
	p.t.Logf("answered of %d requests of each pipeline: %v", requestsPerPipeline, answered)
}

func (p *pathTest) stages(s *request) []string {
	var names []string
	for _, stage := range p.fleet.Bundle.Pipeline(s.pipeline).Stages {
		names = append(names, stage.Name)
	}
	return names
}

// doneStages lists the stages that an answer names as done, in order. Both
// attempts of a hedged stage may be.
func doneStages(a *api.Answer) []string {
	var done []string
	for _, run := range a.Stages {
		if run.State == api.StageDone {
			done = append(done, run.Stage)
		}
	}
	return slices.Compact(done)
}

// tellPauses shows whether the machine stopped processes for a while, which
// explains calls that got no answer.
func (p *pathTest) logPauses() {
	for _, process := range p.fleet.Processes() {
		if process.LogHas(`"event":"paused"`) {
			p.t.Logf("the machine stopped %s for more than a second", process.Name)
		}
	}
}

// checkRuns compares with the endpoints' own counters: each stage of each
// answered request ran, an unrepeatable one once, and others oftener only as
// far as the retry budget pays for second attempts. Nothing that was refused ran.
func (p *pathTest) checkRuns() {
	runs := p.fleet.StageRuns()
	wanted, extra := 0, 0
	for _, s := range p.requests {
		for _, stage := range p.fleet.Bundle.Pipeline(s.pipeline).Stages {
			n := runs[stage.Name][s.marker]
			switch s.reply.Outcome() {
			case api.OutcomeAnswered:
				wanted++
				extra += n - 1
				if n < 1 || (stage.Unrepeatable && n != 1) {
					p.add(wrongRuns, "%s: stage %s ran %d times", s.marker, stage.Name, n)
				}
			case api.OutcomeRefused:
				if n != 0 {
					p.add(wrongRuns, "%s was refused, and stage %s ran %d times", s.marker, stage.Name, n)
				}
			}
		}
	}
	p.t.Logf("%d stages to run, %d runs more than that", wanted, extra)
	// The budget is for each entry and pool and has a reserve: twice is ample.
	if float64(extra) > 2*p.fleet.Bundle.Policy.RetryBudget*float64(wanted) {
		p.add(wrongRuns, "%d runs for %d stages", wanted+extra, wanted)
	}
}

// checkOutcomes asks the other entry what became of each request.
func (p *pathTest) checkOutcomes() {
	for _, s := range p.requests {
		other := (s.entry + 1) % len(p.fleet.Entries())
		reply := p.fleet.Get(p.t.Context(), other, "/v1/requests/"+s.reply.RequestID(), examples.CredentialPrefix+s.account)
		if reply.Err != nil || reply.Outcome() != s.reply.Outcome() {
			p.add(wrongOutcome, "%s: %s, looked up: status %d, %v, %s", s.marker, s.reply.Outcome(), reply.Status, reply.Err, reply.Body)
		}
	}
}

// checkAccounts reads the accounts of a share of the requests until all parts
// agree with the endpoints' counters; the loser of a hedge may still be on its way.
func (p *pathTest) checkExplanations() {
	for i, s := range p.requests {
		if i%explainEvery != 0 || s.reply.Answer == nil {
			continue
		}
		if err := harness.Eventually(explanationTimeout, func() error { return p.checkExplanation(s) }); err != nil {
			p.add(incompleteExplanation, "%s: %v", s.marker, err)
		}
	}
}

func (p *pathTest) checkExplanation(s *request) error {
	e, err := p.fleet.Explain(p.t.Context(), s.entry, s.reply.RequestID())
	if err != nil {
		return err
	}
	if e.Issuer != p.fleet.Entry(s.entry).Name || e.Account != s.account || e.Pipeline != s.pipeline {
		return errorx.IllegalState.New("issued by %s to %s for %s", e.Issuer, e.Account, e.Pipeline)
	}
	if len(e.Parts) != len(p.fleet.Processes()) {
		return errorx.IllegalState.New("%d parts of %d processes", len(e.Parts), len(p.fleet.Processes()))
	}
	counts, err := readRecords(e)
	if err != nil {
		return err
	}
	return p.compareRuns(s, counts)
}

// account is what first-hand records say: the agents' of stages, by stage, and
// the entry's of the outcome.
type runCounts struct {
	started map[string]int
	done    map[string]int
	// stopped are runs that the agent had begun to write and then gave up.
	stopped map[string]int
	finals  []api.Outcome
}

func readRecords(e *entry.Explanation) (*runCounts, error) {
	counts := &runCounts{started: make(map[string]int), done: make(map[string]int), stopped: make(map[string]int)}
	for _, part := range e.Parts {
		if part.Missing != "" {
			return nil, errorx.IllegalState.New("%s is missing: %s", part.Process, part.Missing)
		}
		for i := range part.Records {
			counts.add(&part.Records[i], part.Process, e.Issuer)
		}
	}
	return counts, nil
}

// add counts a record that its own process shows; others hold copies.
func (a *runCounts) add(r *ledger.Record, process, issuer string) {
	byAgent := process == r.Process && process == r.Endpoint
	switch {
	case r.Kind == ledger.KindStarted && byAgent:
		a.started[r.Stage]++
	case r.Kind == ledger.KindFinished && r.State == api.StageDone && byAgent:
		a.done[r.Stage]++
	case r.Kind == ledger.KindFinished && byAgent:
		a.stopped[r.Stage]++
	case r.Kind == ledger.KindFinal && process == issuer:
		a.finals = append(a.finals, r.Outcome)
	}
}

func (p *pathTest) compareRuns(s *request, counts *runCounts) error {
	if !slices.Equal(counts.finals, []api.Outcome{api.OutcomeAnswered}) {
		return errorx.IllegalState.New("final records %v", counts.finals)
	}
	runs := p.fleet.StageRuns()
	for _, stage := range p.stages(s) {
		n := runs[stage][s.marker]
		// The loser of a hedge may be stopped before the endpoint has read it;
		// the agent cannot know, and says that it may have run.
		atMost, atLeast := counts.started[stage], counts.started[stage]-counts.stopped[stage]
		if n > atMost || n < atLeast || counts.done[stage] < 1 || counts.done[stage] > n {
			return errorx.IllegalState.New("stage %s ran %d times; agents say %d started, %d done, %d stopped",
				stage, n, counts.started[stage], counts.done[stage], counts.stopped[stage])
		}
	}
	return nil
}
