package agent

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/endpoint"
	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/wire"
)

// Values of the "event" key in the agent's log lines.
const (
	logCall     = "call"
	logPaused   = "paused"
	logVMState  = "vm_state"
	logDraining = "draining"
)

// arrivalState is one call that waits for its reply.
type arrivalState struct {
	conn  *peer.Conn
	reply chan wire.StageResult
	timer *time.Timer

	// mu orders the chunks of a stream before the final reply: it is held while
	// a chunk is sent, and while the reply closes the stream.
	mu sync.Mutex
	// closed means that the final reply follows and no more chunks may be sent.
	closed bool
}

// sendChunk sends one chunk of the stream, unless the final reply is being
// sent. A failed send is ignored, because the end of the connection ends the
// call.
func (s *arrivalState) sendChunk(chunk wire.StageChunk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	_ = s.conn.Notify(wire.MethodStageChunk, chunk)
}

func (s *arrivalState) closeStream() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// execute executes the core's effects in order.
func (a *Agent) execute(list []Effect) {
	for _, e := range list {
		a.executeEffect(e)
	}
}

func (a *Agent) executeEffect(e Effect) {
	switch e := e.(type) {
	case Start:
		a.wg.Add(1)
		go a.run(e.Run)
	case Cancel:
		a.cancelRun(e.Run)
	case Reply:
		a.deliver(e)
	case SendChunk:
		if s, ok := a.arrivalByToken(e.Token); ok {
			s.sendChunk(e.Chunk)
		}
	case ExpiryTimer:
		a.setTimer(e)
	case CancelTimer:
		time.AfterFunc(e.At.Sub(a.cfg.Now()), func() {
			a.execute(a.core.CancelOverdue(a.cfg.Now(), e.Run))
		})
	case AddRecord:
		if a.cfg.Records != nil {
			a.cfg.Records.Add(e.Record)
		}
	case Decision:
		a.decisions.add(e)
		a.logDecision(e)
	case DropConnections:
		a.log.Warn().Str("event", logPaused).Dur("gap", e.Gap).Msg("process was paused; dropping connections")
		if a.cfg.DropConnections != nil {
			a.cfg.DropConnections()
		}
	case NewerBundle:
		if a.cfg.OnNewerBundle != nil {
			a.cfg.OnNewerBundle(e.Version)
		}
	}
}

func (a *Agent) arrivalByToken(token Token) (*arrivalState, bool) {
	value, ok := a.arrivals.Load(token)
	if !ok {
		return nil, false
	}
	s, ok := value.(*arrivalState)
	return s, ok
}

func (a *Agent) deliver(r Reply) {
	if s, ok := a.arrivalByToken(r.Token); ok {
		s.reply <- r.Result
	}
}

func (a *Agent) setTimer(t ExpiryTimer) {
	s, ok := a.arrivalByToken(t.Token)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.timer = time.AfterFunc(t.At.Sub(a.cfg.Now()), func() {
		a.execute(a.core.Expire(a.cfg.Now(), t.Token, t.ID))
	})
}

func (a *Agent) cancelRun(run *Run) {
	value, ok := a.cancels.Load(run)
	if !ok {
		return
	}
	if cancel, ok := value.(context.CancelFunc); ok {
		cancel()
	}
}

// run runs one call on the endpoint. The cancel function is registered before
// Commit, because a cancellation may follow Commit at once.
func (a *Agent) run(run *Run) {
	defer a.wg.Done()
	ctx, cancel := context.WithCancel(a.stopped)
	defer cancel()
	a.cancels.Store(run, cancel)
	defer a.cancels.Delete(run)
	call, ok, list := a.core.Commit(a.cfg.Now(), run)
	if !ok {
		a.execute(list)
		return
	}
	// Writing to the log may block and must not delay the write that follows
	// the check.
	go a.execute(list)
	// A protocol that knows when it writes calls Recheck immediately before.
	ctx = endpoint.WithGuard(ctx, func() error { return a.core.Recheck(a.cfg.Now(), run) })
	result, err := a.cfg.Protocol.Run(ctx, call, func(seq int, text string) {
		a.execute(a.core.Chunk(run, seq, text))
	})
	a.execute(a.core.Finish(a.cfg.Now(), run, result, err))
}

// routineDecisions are the verdicts of calls that take their normal course. All
// others refuse a call or end it without a result.
var routineDecisions = map[Verdict]bool{
	VerdictStarted:  true,
	VerdictQueued:   true,
	VerdictJoined:   true,
	VerdictReplayed: true,
	VerdictDone:     true,
}

func (a *Agent) logDecision(d Decision) {
	if a.cfg.RefusalsOnly && routineDecisions[d.Verdict] {
		return
	}
	event := a.log.Info()
	if !routineDecisions[d.Verdict] {
		event = a.log.Warn()
	}
	event.Str("event", logCall).
		Str("decision", string(d.Verdict)).
		Str("request", d.ID.Request).
		Str("stage", d.ID.Stage).
		Str("entry", d.ID.Entry).
		Int("attempt", d.ID.Attempt).
		Int("queued", d.Queued).
		Int("running", d.Running)
	logOptional(event, d)
	event.Msg("call")
}

func logOptional(event *zerolog.Event, d Decision) {
	if d.Account != "" {
		event.Str("account", d.Account)
	}
	if d.Reason != "" {
		event.Str("reason", string(d.Reason))
	}
	if d.Detail != "" {
		event.Str("detail", d.Detail)
	}
	if d.Wait > 0 {
		event.Dur("wait", d.Wait)
	}
}
