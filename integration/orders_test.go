package integration

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/entry"
	"github.com/mangostage/mangostage/internal/harness"
	"github.com/mangostage/mangostage/ledger"
	"github.com/mangostage/mangostage/wire"
)

const (
	ordersPool     = "workshop-orders"
	ordersPipeline = "workshop-orders"
	orderStage     = "workshop-order"

	// recoveryTimeout bounds each wait for a fleet to recover.
	recoveryTimeout = 30 * time.Second
	// idlePolls is how many polls in a row must find the endpoints' counters
	// unchanged before no call is assumed to be in flight.
	idlePolls = 20
	// explainWorkers is how many explanations are read at the same time.
	explainWorkers = 16
)

// Kinds of failures of orders.
const (
	ranTwice           = "an order ran more than once"
	falselyAnswered    = "answered, but the endpoints did not run it once"
	falselyRefused     = "refused, but the endpoints ran it"
	refusedAfterRun    = "refused at last, but the endpoints ran an earlier submission"
	mismatchedAnswer   = "an answer to another request"
	noOutcome          = "a reply without an outcome"
	wrongExplanation   = "the explanation differs from what happened"
	missingExplanation = "there is no explanation"
)

// identification is how a caller identifies an order that it may submit again.
type identification string

const (
	// minted: not at all; the entry mints a new request ID for each submission.
	minted identification = "minted"
	// held: by a request ID that was fetched beforehand.
	held identification = "held"
	// timedKey and opaqueKey: by an idempotency key that contains its time or not.
	timedKey  identification = "timed key"
	opaqueKey identification = "opaque key"
)

// order is one order and all its submissions.
type order struct {
	marker       string
	identifiedBy identification
	call         harness.Call
	createdAt    time.Time

	mu          sync.Mutex
	submissions []*submission
}

// submission is one arrival of an order at an entry, and its reply.
type submission struct {
	entry     int
	reply     *harness.Reply
	startedAt time.Time
	endedAt   time.Time
	// afterAnswer means that an earlier submission was answered before this one
	// started.
	afterAnswer bool
}

// lastSubmission returns the submission that started after all others had ended, or
// nil if there is none.
func (o *order) lastSubmission() *submission {
	latest := o.submissions[len(o.submissions)-1]
	for _, s := range o.submissions {
		if s != latest && !s.endedAt.Before(latest.startedAt) {
			return nil
		}
	}
	return latest
}

func (s *submission) hasOutcome(outcome api.Outcome) bool {
	return s.reply.Err == nil && s.reply.Outcome() == outcome
}

func (o *order) answered() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.ContainsFunc(o.submissions, func(s *submission) bool { return s.hasOutcome(api.OutcomeAnswered) })
}

// orderChecker keeps all orders of a test and compares their outcomes with the
// endpoints' counters.
type orderChecker struct {
	failures
	t     *testing.T
	fleet *harness.Fleet
	// pipeline is the pipeline of all orders, ordersPipeline if empty. It must have
	// orderStage.
	pipeline string

	mu     sync.Mutex
	orders []*order
}

// orderFleet starts entries and three endpoints of the pool of orders, with a proxy
// on each connection. change may modify the configuration.
func orderFleet(t *testing.T, change func(*harness.Config)) *harness.Fleet {
	t.Helper()
	cfg := harness.Config{
		Pools:          map[string]int{ordersPool: 3},
		ProxyPeers:     true,
		ProxyEndpoints: true,
		ProxyPlatform:  true,
		NoRace:         true,
	}
	if change != nil {
		change(&cfg)
	}
	return harness.Start(t, cfg)
}

// withKeyRetention sets the policy's key retention and largest clock skew.
func withKeyRetention(retention, skew time.Duration) func(*bundle.Bundle) {
	return func(b *bundle.Bundle) {
		b.Policy.KeyRetention = bundle.Duration(retention)
		b.Policy.MaxClockSkew = bundle.Duration(skew)
	}
}

// newOrder creates an order. It returns nil if no request ID could be fetched for it.
func (b *orderChecker) newOrder(by identification) *order {
	b.mu.Lock()
	o := &order{marker: fmt.Sprintf("order-%d", len(b.orders)), identifiedBy: by, createdAt: time.Now()}
	b.orders = append(b.orders, o)
	b.mu.Unlock()
	o.call = harness.Call{Pipeline: cmp.Or(b.pipeline, ordersPipeline), Input: harness.Order(o.marker)}
	switch by {
	case held:
		for i, e := range b.fleet.Entries() {
			if o.call.HeldID == "" && e.Running() {
				o.call.HeldID, _ = b.fleet.HoldID(b.t.Context(), i, "", o.call.Pipeline)
			}
		}
		if o.call.HeldID == "" {
			return nil
		}
	case timedKey:
		o.call.Key = harness.NewKey()
	case opaqueKey:
		o.call.Key = "key of " + o.marker
	}
	return o
}

// send submits an order through an entry and records the reply.
func (b *orderChecker) send(ctx context.Context, o *order, entryIndex int, timeout time.Duration) *submission {
	call := o.call
	call.Timeout = timeout
	s := &submission{entry: entryIndex, afterAnswer: o.answered(), startedAt: time.Now()}
	s.reply = b.fleet.Send(ctx, entryIndex, call)
	s.endedAt = time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.submissions = append(o.submissions, s)
	return s
}

// sendEach submits each order once, all at the same time and in turn through the
// entries; timeout returns the timeout of the i-th order.
func (b *orderChecker) sendEach(orders []*order, timeout func(int) time.Duration) *sync.WaitGroup {
	var wg sync.WaitGroup
	for i, o := range orders {
		wg.Go(func() { b.send(b.t.Context(), o, i%len(b.fleet.Entries()), timeout(i)) })
	}
	return &wg
}

// runs returns how often the endpoints ran each order.
func (b *orderChecker) runs() map[string]int { return b.fleet.StageRuns()[orderStage] }

// awaitIdle waits until no call to an endpoint is in flight.
func (b *orderChecker) awaitIdle() {
	b.t.Helper()
	b.fleet.WaitReady(recoveryTimeout)
	quiet, last := 0, -1
	harness.Wait(b.t, recoveryTimeout, func() error {
		if err := b.checkIdle(); err != nil {
			quiet = 0
			return err
		}
		total := b.fleet.TotalStarts()
		if total != last {
			quiet, last = 0, total
		}
		if quiet++; quiet < idlePolls {
			return errorx.IllegalState.New("the counters changed recently")
		}
		return nil
	})
}

// checkIdle returns nil if no agent has a call running or queued.
func (b *orderChecker) checkIdle() error {
	list, err := b.fleet.Status(b.t.Context(), 0)
	if err != nil {
		return err
	}
	for _, p := range list {
		if p.Status == nil {
			return errorx.IllegalState.New("%s: %s", p.Process, p.Missing)
		}
		if r := p.Status.Report; p.Status.Process.Role == wire.RoleAgent && r.InFlight+r.Queued > 0 {
			return errorx.IllegalState.New("%s has %d calls running, %d waiting", p.Process, r.InFlight, r.Queued)
		}
	}
	return nil
}

// verify compares every reply and every explanation with the endpoints' counters.
// It returns the number of submissions by outcome.
func (b *orderChecker) verify() map[api.Outcome]int {
	b.t.Helper()
	b.awaitIdle()
	runs := b.runs()
	tally := make(map[api.Outcome]int)
	for _, o := range b.orders {
		b.verifyOrder(o, runs[o.marker], tally)
	}
	b.verifyExplanations(runs)
	b.t.Logf("%d orders, %d of them run; submissions by outcome %v, by reason %v", len(b.orders), len(runs), tally, b.reasons())
	return tally
}

// reasons counts the submissions that were not answered, by reason.
func (b *orderChecker) reasons() map[api.Reason]int {
	tally := make(map[api.Reason]int)
	for _, o := range b.orders {
		o.mu.Lock()
		for _, s := range o.submissions {
			if !s.hasOutcome(api.OutcomeAnswered) {
				tally[s.reply.Reason()]++
			}
		}
		o.mu.Unlock()
	}
	return tally
}

// verifyOrder compares the replies to an order with n, the number of its runs, and
// counts its submissions by outcome in tally.
func (b *orderChecker) verifyOrder(o *order, n int, tally map[api.Outcome]int) {
	if n > 1 && o.identifiedBy != minted {
		b.add(ranTwice, "%s (%s) ran %d times: %s", o.marker, o.identifiedBy, n, o.history())
	}
	refused := 0
	want := string(harness.Expect(b.fleet.Bundle, o.call.Pipeline, o.call.Input))
	for _, s := range o.submissions {
		tally[s.reply.Outcome()]++
		switch {
		case s.reply.Err != nil:
		case s.hasOutcome(api.OutcomeAnswered):
			if n != 1 {
				b.add(falselyAnswered, "%s (%s) ran %d times: %s", o.marker, o.identifiedBy, n, o.history())
			}
			if string(s.reply.Answer.Output) != want {
				b.add(mismatchedAnswer, "%s (%s): %s, want %s", o.marker, o.identifiedBy, s.reply.Answer.Output, want)
			}
		case s.hasOutcome(api.OutcomeRefused):
			refused++
			if s.afterAnswer {
				b.add(falselyRefused, "%s (%s) had been answered before: %s", o.marker, o.identifiedBy, o.history())
			}
		case s.reply.Outcome() == "":
			b.add(noOutcome, "%s (%s): status %d, %s", o.marker, o.identifiedBy, s.reply.Status, s.reply.Body)
		}
	}
	if refused > 0 && refused == len(o.submissions) && n != 0 {
		b.add(falselyRefused, "%s (%s) ran %d times: %s", o.marker, o.identifiedBy, n, o.history())
	}
	// After a refusal of the last submission the caller places a new order, so the
	// refusal must hold for all earlier submissions too.
	if refused > 0 && n != 0 && o.lastSubmission() != nil && o.lastSubmission().hasOutcome(api.OutcomeRefused) {
		b.add(refusedAfterRun, "%s (%s) ran %d times: %s", o.marker, o.identifiedBy, n, o.history())
	}
}

// history describes the submissions of an order for messages.
func (o *order) history() string {
	text := ""
	for _, s := range o.submissions {
		if s.reply.Err != nil {
			text += fmt.Sprintf("[entry-%d: %v] ", s.entry+1, s.reply.Err)
			continue
		}
		text += fmt.Sprintf("[entry-%d: %s %s] ", s.entry+1, s.reply.Outcome(), s.reply.Reason())
	}
	return text
}

// verifyExplanations checks the explanation of every request whose ID is known.
func (b *orderChecker) verifyExplanations(runs map[string]int) {
	var wg sync.WaitGroup
	queue := make(chan *order)
	for range explainWorkers {
		wg.Go(func() {
			for o := range queue {
				b.verifyExplanation(o, runs[o.marker])
			}
		})
	}
	for _, o := range b.orders {
		queue <- o
	}
	close(queue)
	wg.Wait()
}

// verifyExplanation compares the explanations of an order's submissions with their
// replies and with n, the number of its runs.
func (b *orderChecker) verifyExplanation(o *order, n int) {
	totals := &explanationTotals{}
	for _, s := range o.submissions {
		id := s.reply.RequestID()
		if id == "" {
			id = o.call.HeldID
		}
		if id == "" {
			// The caller lost the connection before it received the ID.
			totals.withoutID++
			continue
		}
		e, err := b.fleet.Explain(b.t.Context(), b.runningEntry(), id)
		if err != nil {
			b.add(missingExplanation, "%s: %v", o.marker, err)
			return
		}
		totals.add(e)
		if problem := explanationMismatch(o, s, e); problem != "" {
			b.add(wrongExplanation, "%s (%s): %s; %s; %s", o.marker, o.identifiedBy, problem, o.history(), formatTimeline(&e.Timeline))
		}
	}
	if problem := totals.mismatch(n); problem != "" {
		b.add(wrongExplanation, "%s (%s) ran %d times: %s; %s; %s", o.marker, o.identifiedBy, n, problem, o.history(), totals.texts)
	}
}

// runningEntry returns the index of the first entry that runs.
func (b *orderChecker) runningEntry() int {
	return slices.IndexFunc(b.fleet.Entries(), func(e *harness.Entry) bool { return e.Running() })
}

// explanationMismatch compares an explanation with the reply and returns the
// difference, or "". An explanation may be less definite than the reply if it says
// that parts are missing.
func explanationMismatch(o *order, s *submission, e *entry.Explanation) string {
	story := &e.Timeline
	switch {
	case story.Contradicted:
		return "the explanation contradicts itself"
	case s.reply.Err != nil || s.reply.Outcome() == story.Outcome:
		return ""
	case story.Outcome == api.OutcomeUnknown && !story.Complete:
		return ""
	case o.identifiedBy == held && len(o.submissions) > 1 && (story.Outcome != api.OutcomeRefused || s.hasOutcome(api.OutcomeUnknown)):
		// One explanation covers all submissions of a held ID. Another submission
		// may have got a more definite reply, or have proved the outcome.
		return ""
	}
	return fmt.Sprintf("the reply says %s, the explanation %s", s.reply.Outcome(), story.Outcome)
}

// explanationTotals sums up the explanations of all submissions of one order.
type explanationTotals struct {
	explained  int
	withoutID  int
	refused    int
	answered   int
	incomplete int
	started    int
	done       int
	texts      string
}

// formatTimeline formats a timeline in a few lines for messages.
func formatTimeline(s *ledger.Timeline) string {
	text := s.Verdict
	for _, line := range s.Lines {
		if r := line.Record; r != nil {
			text += fmt.Sprintf("\n    %s %s: %s %s/%d of %s %s %s %s %s", r.At.Format(time.StampMilli),
				r.Process, r.Kind, r.Stage, r.Attempt, r.Entry, r.State, r.Outcome, r.Reason, r.Detail)
			continue
		}
		text += fmt.Sprintf("\n    gap: %s %s", line.Gap.Process, line.Gap.Missing)
	}
	return text
}

func (s *explanationTotals) add(e *entry.Explanation) {
	s.explained++
	s.texts += "\n  " + formatTimeline(&e.Timeline)
	switch e.Timeline.Outcome {
	case api.OutcomeRefused:
		s.refused++
	case api.OutcomeAnswered:
		s.answered++
	}
	if !e.Timeline.Complete {
		s.incomplete++
	}
	for _, line := range e.Timeline.Lines {
		r := line.Record
		if r == nil || r.Process != r.Endpoint || r.Stage != orderStage {
			continue
		}
		switch {
		case r.Kind == ledger.KindStarted:
			s.started++
		case r.Kind == ledger.KindFinished && r.State == api.StageDone:
			s.done++
		}
	}
}

// mismatch compares the totals with n, the number of runs that the endpoints counted,
// and returns the difference, or "".
func (s *explanationTotals) mismatch(n int) string {
	switch {
	case s.refused > 0 && s.refused == s.explained && s.withoutID == 0 && n != 0:
		return "every explanation says refused"
	case s.answered > 0 && n != 1:
		return "an explanation says answered"
	case s.done > 0 && n == 0:
		return "an agent says that it finished"
	case s.explained > 0 && s.incomplete == 0 && s.withoutID == 0 && s.started == 0 && n != 0:
		return "the explanations claim to be complete, and no agent says that it started"
	}
	return ""
}
