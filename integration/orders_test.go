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

	// patience bounds the waits for a fleet to recover.
	patience = 30 * time.Second
	// quietPolls is how many polls in a row must find the endpoints' counters
	// unmoved before no call is taken to be on its way any more.
	quietPolls = 20
	// askers is how many accounts are read at once.
	askers = 16
)

// Kinds of complaints about orders.
const (
	ranTwice        = "an order ran more than once"
	falselyAnswered = "answered, but the endpoints did not run it once"
	falselyRefused  = "refused, but the endpoints ran it"
	finallyRefused  = "refused at last, but the endpoints ran an earlier sending"
	foreignAnswer   = "an answer that is not the order's own"
	noOutcome       = "a reply without an outcome"
	falseAccount    = "the account tells something else than what happened"
	noAccount       = "there is no account"
)

// identification is how a caller lets an order be recognised.
type identification string

const (
	// minted: not at all, each sending is a request of its own.
	minted identification = "minted"
	// held: by a request ID fetched before.
	held identification = "held"
	// timedKey and opaqueKey: by an idempotency key with and without a time in it.
	timedKey  identification = "timed key"
	opaqueKey identification = "opaque key"
)

// order is one order and everything that was sent for it.
type order struct {
	marker string
	by     identification
	call   harness.Call
	opened time.Time

	mu       sync.Mutex
	sendings []*sending
}

// sending is one time that an order was sent, and what came back.
type sending struct {
	entry int
	reply *harness.Reply
	began time.Time
	ended time.Time
	// after: an earlier sending was answered before this one began.
	after bool
}

// last returns the sending that began after all others had ended, or nil.
func (o *order) last() *sending {
	latest := o.sendings[len(o.sendings)-1]
	for _, s := range o.sendings {
		if s != latest && !s.ended.Before(latest.began) {
			return nil
		}
	}
	return latest
}

func (s *sending) was(outcome api.Outcome) bool {
	return s.reply.Err == nil && s.reply.Outcome() == outcome
}

func (o *order) answered() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.ContainsFunc(o.sendings, func(s *sending) bool { return s.was(api.OutcomeAnswered) })
}

// book keeps all orders of a test and compares them with the endpoints' counters.
type book struct {
	complaints
	t     *testing.T
	fleet *harness.Fleet
	// pipeline is ordersPipeline if empty. Whatever it is, it has orderStage.
	pipeline string

	mu     sync.Mutex
	orders []*order
}

// orderFleet starts entries and three endpoints that take orders, with a proxy
// on every way between them.
func orderFleet(t *testing.T, change func(*harness.Config)) *harness.Fleet {
	t.Helper()
	cfg := harness.Config{
		Pools:          map[string]int{ordersPool: 3},
		ProxyPeers:     true,
		ProxyEndpoints: true,
		ProxyPlatform:  true,
		Plain:          true,
	}
	if change != nil {
		change(&cfg)
	}
	return harness.Start(t, cfg)
}

// remember makes keys be remembered for retention, and all clocks agree to
// within skew.
func remember(retention, skew time.Duration) func(*bundle.Bundle) {
	return func(b *bundle.Bundle) {
		b.Policy.KeyRetention = bundle.Duration(retention)
		b.Policy.MaxClockSkew = bundle.Duration(skew)
	}
}

// open makes a new order. It returns nil if no ID could be held for it.
func (b *book) open(by identification) *order {
	b.mu.Lock()
	o := &order{marker: fmt.Sprintf("order-%d", len(b.orders)), by: by, opened: time.Now()}
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

// send sends an order through an entry.
func (b *book) send(ctx context.Context, o *order, entryIndex int, timeout time.Duration) *sending {
	call := o.call
	call.Timeout = timeout
	s := &sending{entry: entryIndex, after: o.answered(), began: time.Now()}
	s.reply = b.fleet.Send(ctx, entryIndex, call)
	s.ended = time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sendings = append(o.sendings, s)
	return s
}

// sendEach sends orders once each, all at the same time and the i-th through
// entry i modulo the number of entries.
func (b *book) sendEach(orders []*order, timeout func(int) time.Duration) *sync.WaitGroup {
	var wg sync.WaitGroup
	for i, o := range orders {
		wg.Go(func() { b.send(b.t.Context(), o, i%len(b.fleet.Entries()), timeout(i)) })
	}
	return &wg
}

// runs is how often the endpoints ran each order.
func (b *book) runs() map[string]int { return b.fleet.StageRuns()[orderStage] }

// settle waits until no call is on its way to an endpoint any more.
func (b *book) settle() {
	b.t.Helper()
	b.fleet.WaitReady(patience)
	quiet, last := 0, -1
	harness.Wait(b.t, patience, func() error {
		if err := b.idle(); err != nil {
			quiet = 0
			return err
		}
		total := b.fleet.TotalStarts()
		if total != last {
			quiet, last = 0, total
		}
		if quiet++; quiet < quietPolls {
			return errorx.IllegalState.New("the counters moved lately")
		}
		return nil
	})
}

// idle returns nil if no agent has a call.
func (b *book) idle() error {
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

// verify compares every reply and every account with the endpoints' counters.
// It returns how many sendings had which outcome.
func (b *book) verify() map[api.Outcome]int {
	b.t.Helper()
	b.settle()
	runs := b.runs()
	tally := make(map[api.Outcome]int)
	for _, o := range b.orders {
		b.verifyOrder(o, runs[o.marker], tally)
	}
	b.verifyAccounts(runs)
	b.t.Logf("%d orders, %d of them run; sendings by outcome %v, by reason %v", len(b.orders), len(runs), tally, b.reasons())
	return tally
}

// reasons counts the sendings that were not answered by their reasons.
func (b *book) reasons() map[api.Reason]int {
	tally := make(map[api.Reason]int)
	for _, o := range b.orders {
		o.mu.Lock()
		for _, s := range o.sendings {
			if !s.was(api.OutcomeAnswered) {
				tally[s.reply.Reason()]++
			}
		}
		o.mu.Unlock()
	}
	return tally
}

func (b *book) verifyOrder(o *order, n int, tally map[api.Outcome]int) {
	if n > 1 && o.by != minted {
		b.add(ranTwice, "%s (%s) ran %d times: %s", o.marker, o.by, n, o.history())
	}
	refused := 0
	want := string(harness.Expect(b.fleet.Bundle, o.call.Pipeline, o.call.Input))
	for _, s := range o.sendings {
		tally[s.reply.Outcome()]++
		switch {
		case s.reply.Err != nil:
		case s.was(api.OutcomeAnswered):
			if n != 1 {
				b.add(falselyAnswered, "%s (%s) ran %d times: %s", o.marker, o.by, n, o.history())
			}
			if string(s.reply.Answer.Output) != want {
				b.add(foreignAnswer, "%s (%s): %s, want %s", o.marker, o.by, s.reply.Answer.Output, want)
			}
		case s.was(api.OutcomeRefused):
			refused++
			if s.after {
				b.add(falselyRefused, "%s (%s) had been answered before: %s", o.marker, o.by, o.history())
			}
		case s.reply.Outcome() == "":
			b.add(noOutcome, "%s (%s): status %d, %s", o.marker, o.by, s.reply.Status, s.reply.Body)
		}
	}
	if refused > 0 && refused == len(o.sendings) && n != 0 {
		b.add(falselyRefused, "%s (%s) ran %d times: %s", o.marker, o.by, n, o.history())
	}
	// Its last word has the caller place the order anew, so it covers all
	// sendings before.
	if refused > 0 && n != 0 && o.last() != nil && o.last().was(api.OutcomeRefused) {
		b.add(finallyRefused, "%s (%s) ran %d times: %s", o.marker, o.by, n, o.history())
	}
}

func (o *order) history() string {
	text := ""
	for _, s := range o.sendings {
		if s.reply.Err != nil {
			text += fmt.Sprintf("[entry-%d: %v] ", s.entry+1, s.reply.Err)
			continue
		}
		text += fmt.Sprintf("[entry-%d: %s %s] ", s.entry+1, s.reply.Outcome(), s.reply.Reason())
	}
	return text
}

// verifyAccounts reads the account of every request of which an ID is known.
func (b *book) verifyAccounts(runs map[string]int) {
	var wg sync.WaitGroup
	queue := make(chan *order)
	for range askers {
		wg.Go(func() {
			for o := range queue {
				b.verifyAccount(o, runs[o.marker])
			}
		})
	}
	for _, o := range b.orders {
		queue <- o
	}
	close(queue)
	wg.Wait()
}

func (b *book) verifyAccount(o *order, n int) {
	told := &stories{}
	for _, s := range o.sendings {
		id := s.reply.RequestID()
		if id == "" {
			id = o.call.HeldID
		}
		if id == "" {
			// The caller lost its entry before it learnt the ID.
			told.unasked++
			continue
		}
		e, err := b.fleet.Explain(b.t.Context(), b.survivor(), id)
		if err != nil {
			b.add(noAccount, "%s: %v", o.marker, err)
			return
		}
		told.add(e)
		if problem := contradiction(o, s, e); problem != "" {
			b.add(falseAccount, "%s (%s): %s; %s; %s", o.marker, o.by, problem, o.history(), outline(&e.Story))
		}
	}
	if problem := told.judge(n); problem != "" {
		b.add(falseAccount, "%s (%s) ran %d times: %s; %s; %s", o.marker, o.by, n, problem, o.history(), told.outlines)
	}
}

// survivor is the first entry that runs.
func (b *book) survivor() int {
	return slices.IndexFunc(b.fleet.Entries(), func(e *harness.Entry) bool { return e.Running() })
}

// contradiction compares an account with what the caller was told. An account
// may say less, and then says that parts are missing.
func contradiction(o *order, s *sending, e *entry.Explanation) string {
	story := &e.Story
	switch {
	case story.Contradicted:
		return "the account contradicts itself"
	case s.reply.Err != nil || s.reply.Outcome() == story.Outcome:
		return ""
	case story.Outcome == api.OutcomeUnknown && !story.Complete:
		return ""
	case o.by == held && len(o.sendings) > 1 && (story.Outcome != api.OutcomeRefused || s.was(api.OutcomeUnknown)):
		// One account tells of all sendings of a held ID. Another sending may
		// have been told more, or have proved what this one could not.
		return ""
	}
	return fmt.Sprintf("the caller was told %s, the account says %s", s.reply.Outcome(), story.Outcome)
}

// stories is what the accounts of all sendings of one order say together.
type stories struct {
	asked      int
	unasked    int
	refused    int
	answered   int
	incomplete int
	started    int
	done       int
	outlines   string
}

// outline is a story in short.
func outline(s *ledger.Story) string {
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

func (s *stories) add(e *entry.Explanation) {
	s.asked++
	s.outlines += "\n  " + outline(&e.Story)
	switch e.Story.Outcome {
	case api.OutcomeRefused:
		s.refused++
	case api.OutcomeAnswered:
		s.answered++
	}
	if !e.Story.Complete {
		s.incomplete++
	}
	for _, line := range e.Story.Lines {
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

// judge compares with the number of runs that the endpoints counted.
func (s *stories) judge(n int) string {
	switch {
	case s.refused > 0 && s.refused == s.asked && s.unasked == 0 && n != 0:
		return "every account says refused"
	case s.answered > 0 && n != 1:
		return "an account says answered"
	case s.done > 0 && n == 0:
		return "an agent says that it finished"
	case s.asked > 0 && s.incomplete == 0 && s.unasked == 0 && s.started == 0 && n != 0:
		return "the accounts claim to be complete, and no agent says that it started"
	}
	return ""
}
