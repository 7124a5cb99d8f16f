package quarantine

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/broadcast"
	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/quarantine/part"
)

// Methods between processes.
const (
	MethodReport = "quarantine.report"
	MethodUpdate = "quarantine.update"
	MethodBegin  = "quarantine.begin"
	MethodEnd    = "quarantine.end"

	MethodPartReport = "quarantine.part_report"
	MethodPartUpdate = "quarantine.part_update"
)

const (
	// maxRunWait bounds the wait of a request for a run of its content, maxRunWaitShare the
	// part of its time left.
	maxRunWait      = 2 * time.Second
	maxRunWaitShare = 0.5
	// askInterval is the interval at which a waiting request asks again.
	askInterval = 50 * time.Millisecond
	// ownerTimeout bounds a call to the owner of the queue: many round trips within a
	// region. Without an answer this process decides alone.
	ownerTimeout = 200 * time.Millisecond
	// cautiousTime is how long after a start or a pause all runs are asked for: what the
	// other members know may not have arrived.
	cautiousTime = time.Second
	// waitRetryAfter is the Retry-After of a request that has waited in vain for a run.
	waitRetryAfter = 500 * time.Millisecond
)

// Config holds the dependencies of a Client.
type Config struct {
	// Drain is how long a leaving endpoint serves.
	Drain time.Duration
	// Fleet reaches the other members; nil for none.
	Fleet broadcast.Fleet
	// CheckPause returns once a pause of this process, if there was one, has been handled;
	// nil for none.
	CheckPause func()
	// OnCrashed, if set, is called with the Key of an endpoint whose process is found to have
	// crashed, here or by a member that lists another one under its ID.
	OnCrashed func(endpoint string)
	Log       zerolog.Logger
}

// Client records what happens to content at this process, exchanges it with other members,
// and asks the owner of the queue for runs of suspect content.
type Client struct {
	table  *Table
	parts  *part.Table
	cfg    Config
	log    zerolog.Logger
	topic  broadcast.Topic[Loss]
	notes  broadcast.Topic[partNote]
	prober *prober
	outbox outbox
	// cautiousUntil is the end of the time in which all runs are asked for, in Unix
	// nanoseconds.
	cautiousUntil atomic.Int64
	// Counters counts events by name.
	Counters *expvar.Map
}

// NewClient returns a client with an empty table.
func NewClient(cfg Config) *Client {
	if cfg.CheckPause == nil {
		cfg.CheckPause = func() {}
	}
	if cfg.OnCrashed == nil {
		cfg.OnCrashed = func(string) {}
	}
	c := &Client{table: NewTable(cfg.Drain), parts: part.NewTable(), cfg: cfg, log: cfg.Log, prober: newProber(), Counters: new(expvar.Map).Init()}
	c.topic = broadcast.Topic[Loss]{
		Report: MethodReport, Update: MethodUpdate, Fleet: cfg.Fleet, Apply: c.apply,
		Known: c.known,
	}
	c.notes = broadcast.Topic[partNote]{
		Report: MethodPartReport, Update: MethodPartUpdate, Fleet: cfg.Fleet, Apply: c.applyNote,
		Known: func(int) []partNote { return nil },
	}
	c.BeCautious()
	c.outbox.wake = make(chan struct{}, 1)
	return c
}

// beginCall asks the owner for a run.
type beginCall struct {
	Content Content   `json:"content"`
	Parts   []part.ID `json:"parts,omitempty"`
	Service string    `json:"service,omitempty"`
	Run     string    `json:"run"`
	// Left is the time in which the run ends.
	Left time.Duration `json:"left_ns"`
	// Losses are what the caller knows of the content and the parts.
	Losses []Loss `json:"losses,omitempty"`
}

// beginReply is the owner's answer.
type beginReply struct {
	Permission
	// Losses are what the owner knows of the content and the parts.
	Losses []Loss `json:"losses,omitempty"`
}

// endNote tells the owner that a run has ended, and what it showed.
type endNote struct {
	Content Content   `json:"content"`
	Parts   []part.ID `json:"parts,omitempty"`
	Run     string    `json:"run"`
	// Answered is true if the run gave a complete answer.
	Answered bool   `json:"answered,omitempty"`
	Losses   []Loss `json:"losses,omitempty"`
}

// Serve registers the methods by which other processes use the client.
func Serve(mux *peer.Mux, c *Client) {
	c.topic.Serve(mux)
	c.notes.Serve(mux)
	peer.HandleCall(mux, MethodBegin, func(_ context.Context, from *peer.Conn, call beginCall) (beginReply, error) {
		c.mergeAll(call.Losses, from.Peer().Process.Name)
		now := time.Now()
		p := c.begin(now, call)
		return beginReply{Permission: p, Losses: c.lossesOf(now, call.Content, call.Parts)}, nil
	})
	peer.HandleNotification(mux, MethodEnd, func(from *peer.Conn, note endNote) {
		c.mergeAll(note.Losses, from.Peer().Process.Name)
		c.end(note)
	})
}

// Table returns the table of what this process knows.
func (c *Client) Table() *Table { return c.table }

// Empty reports whether nothing is remembered of any content or part.
func (c *Client) Empty() bool { return c.table.Empty() && c.parts.Empty() }

// State returns the standing of a content.
func (c *Client) State(now time.Time, content Content) State { return c.table.State(now, content) }

// RefusesParts reports whether requests to a service are refused for parts of their prompts.
func (c *Client) RefusesParts(now time.Time, service string, parts []part.ID) bool {
	return c.parts.Judge(now, service, parts).RefusedFor > 0
}

// PartStats describes the parts that this member remembers.
func (c *Client) PartStats() part.Stats { return c.parts.Stats(time.Now()) }

// Greet tells a member that has just connected what is known here.
func (c *Client) Greet(conn *peer.Conn) { c.topic.Greet(conn) }

// BeCautious makes all runs be asked for during cautiousTime.
func (c *Client) BeCautious() { c.cautiousUntil.Store(time.Now().Add(cautiousTime).UnixNano()) }

// SetView records a new list of endpoints.
func (c *Client) SetView(view *catalog.View) { c.resolved(c.table.SetView(time.Now(), view)) }

// RefusedFor returns how long a request is refused, and the parts of its prompt that are blamed;
// 0 if it is not refused.
func (c *Client) RefusedFor(s Subject) (time.Duration, []part.ID) {
	now := time.Now()
	left := c.table.State(now, s.Content).RefusedFor
	if r := c.parts.Judge(now, s.Service, s.Parts); r.RefusedFor > 0 {
		return max(left, r.RefusedFor), r.Blamed
	}
	return left, nil
}

// TrialDue reports whether a request would be a trial now.
func (c *Client) TrialDue(s Subject) bool {
	now := time.Now()
	if s := c.table.State(now, s.Content); s.Standing == Quarantined && s.RefusedFor == 0 {
		return true
	}
	r := c.parts.Judge(now, s.Service, s.Parts)
	return len(r.Blamed) > 0 && r.RefusedFor == 0
}

// Bound returns a context that also ends when the request is refused, and a function that
// ends the watch.
func (c *Client) Bound(ctx context.Context, s Subject) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	watch := c.table.Watch(s.Content)
	go func() {
		for ctx.Err() == nil {
			changed, partsChanged := watch.Changed(), c.parts.Changed()
			if left, _ := c.RefusedFor(s); left > 0 {
				cancel()
			}
			select {
			case <-changed:
			case <-partsChanged:
			case <-ctx.Done():
			}
		}
		watch.Stop()
	}()
	return ctx, cancel
}

// apply merges a loss that the member of that name knows.
func (c *Client) apply(l Loss, from string) bool {
	isNew := c.table.Merge(time.Now(), l)
	if isNew && l.Verdict == Crashed {
		c.applyCrash(l, from)
	}
	ofParts := c.recordPartCrash(l, from)
	c.logChanges(from)
	return isNew || ofParts
}

// applyCrash logs a crash that the member of that name knows. If that member lists the next
// process, this one may still list the one that has crashed.
func (c *Client) applyCrash(l Loss, from string) {
	if l.Answers > 0 {
		c.logLoss(logForgiven, l, from).Int("answers", l.Answers).Msg(textForgiven)
		return
	}
	c.logLoss(logCrashed, l, from).Msg(textCrashed)
	if l.Evidence == EvidenceReplaced {
		c.cfg.OnCrashed(l.Endpoint)
	}
}

// mergeAll merges losses of another member. If this process owns the queue, it tells the
// other members what was news.
func (c *Client) mergeAll(losses []Loss, from string) {
	for _, l := range losses {
		if c.apply(l, from) && l.Verdict == Crashed && c.cfg.Fleet != nil && c.cfg.Fleet.Owns() {
			c.outbox.add(l, time.Now())
		}
	}
}

// Broken records a connection that broke with an error, and finds out what became of the
// endpoint. It does nothing on nil.
func (c *Client) Broken(b Break, err error) {
	if c == nil {
		return
	}
	b.TimedOut = timedOut(err)
	b.Answered, b.ServiceAnswered = c.parts.LastAnswers(time.Now(), b.Endpoint.Service, b.Parts)
	l, isNew := c.table.RecordBreak(time.Now(), b)
	if !isNew {
		return
	}
	c.logLoss(logSendHeld, l, "").Bool("trial", l.Trial).Bool("served_before", l.Served).Msg("a connection broke under a request")
	c.logChanges("")
	if l.Verdict != Pending {
		c.resolved([]Resolved{{Loss: l}})
		return
	}
	c.prober.probe(context.Background(), b.Endpoint, func(opened time.Time, v Verdict, from Evidence) bool {
		resolved, more := c.table.Resolve(time.Now(), opened, b.Endpoint.Key, v, from)
		c.resolved(resolved)
		return more
	})
}

// resolved logs the losses that have got a verdict, and tells the other members.
func (c *Client) resolved(losses []Resolved) {
	for _, l := range losses {
		name, text := logSendCleared, "the endpoint has not crashed, as far as is known"
		if l.Verdict == Crashed {
			name, text = logCrashed, textCrashed
			c.cfg.OnCrashed(l.Endpoint)
		}
		c.logLoss(name, l.Loss, "").Msg(text)
		if l.Verdict == Crashed || l.Known {
			c.outbox.add(l.Loss, time.Now())
		}
		c.recordPartCrash(l.Loss, "")
		// An endpoint that ended as planned may have ended the answer as well.
		if l.Whole && l.Evidence == EvidenceAccepted {
			c.answered(Subject{Content: l.Content, Parts: l.Parts, Service: l.Service}, l.Request, l.Trial)
		}
	}
	c.logChanges("")
}

// answered records a complete answer and returns the losses that it forgives.
func (c *Client) answered(s Subject, request string, trial bool) []Loss {
	c.recordPartAnswer(s, request)
	forgiven := c.table.RecordAnswer(time.Now(), s.Content, trial)
	for _, l := range forgiven {
		c.logLoss(logForgiven, l, "").Str("answered", request).Int("answers", l.Answers).Msg(textForgiven)
		c.outbox.add(l, time.Now())
	}
	c.logChanges("")
	return forgiven
}

// logLoss counts an event and begins its log line.
func (c *Client) logLoss(event string, l Loss, from string) *zerolog.Event {
	c.Counters.Add(event, 1)
	return c.log.Warn().Str("event", event).Str("request", l.Request).Stringer("content", l.Content).
		Strs("parts", part.Texts(l.Parts)).Str("endpoint", l.Endpoint).Stringer("verdict", l.Verdict).Str("evidence", string(l.Evidence)).
		Dur("ran_ms", l.RanFor).Dur("after_ms", l.Age).Str("from", from)
}

// logChanges logs the changes of standings; from is the member that told of their cause.
func (c *Client) logChanges(from string) {
	for _, change := range c.table.TakeChanges() {
		c.Counters.Add(logStanding+" "+change.To.String(), 1)
		c.log.Warn().Str("event", logStanding).Stringer("content", change.Content).Stringer("was", change.From).
			Stringer("now", change.To).Int("crashes", change.Crashes).Dur("trial_in_ms", change.TrialIn).
			Str("from", from).Msg("the standing of a content has changed")
	}
}
