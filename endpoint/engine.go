package endpoint

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/kernel"
)

// EngineModule is the ID of the plug-in for model engines.
const EngineModule kernel.ModuleID = protocolNamespace + ".engine"

// MaxResumes bounds how often one call's cut stream is resumed.
const MaxResumes = 2

func init() {
	kernel.Register(kernel.Module{ID: EngineModule, New: func() any { return engineOpener{} }})
}

type engineOpener struct{}

// Open returns a client of the engine at baseURL.
func (engineOpener) Open(baseURL string) (Protocol, error) {
	s, err := newSender(baseURL)
	if err != nil {
		return nil, err
	}
	return &engine{sender: s}, nil
}

// engine is a client of a model engine, which streams tokens as server-sent events.
type engine struct {
	sender *sender
}

// errCut marks a reply or stream that ended early, for example because the
// endpoint died.
var errCut = errs.NewType("stream_cut")

// Run implements Protocol. It calls chunk only for calls with Stream set.
func (e *engine) Run(ctx context.Context, call Call, chunk func(int, string)) (Result, error) {
	g := &generation{engine: e, call: call, start: time.Now()}
	if call.Stream {
		g.chunk = chunk
	}
	result, err := g.run(ctx)
	if err == nil {
		return result, nil
	}
	var failed *Error
	if errors.As(err, &failed) && failed.Lost {
		e.sender.cancel(ctx, call.ID)
	}
	return Result{}, withContextCause(ctx, err)
}

// Health implements Protocol.
func (e *engine) Health(ctx context.Context) (Health, error) { return e.sender.health(ctx) }

// generation is one call's token stream, which may span several connections.
type generation struct {
	engine *engine
	call   Call
	// chunk receives each token; nil if the call does not stream.
	chunk func(int, string)
	start time.Time
	// next is the sequence number of the next expected token.
	next int
}

// run reads the stream and resumes it if it is cut. Resuming requests the rest of
// a generation that the engine keeps. An engine that no longer has it replies
// with a failure and does not start a new one. A stream cut before its first
// token is not resumed, because a request from token zero would be a second call.
func (g *generation) run(ctx context.Context) (Result, error) {
	for resumes := 0; ; resumes++ {
		result, err := g.attempt(ctx)
		if err == nil || !isCut(err) {
			return result, err
		}
		mayResume := !g.call.Unrepeatable && g.next > 0 && resumes < MaxResumes
		if !mayResume || ctx.Err() != nil {
			return Result{}, err
		}
	}
}

// isCut reports whether err is that of a stream that ended early.
func isCut(err error) bool {
	var failed *Error
	return errors.As(err, &failed) && failed.Lost && errorx.IsOfType(failed.Err, errCut)
}

// attempt sends the call once, or the request to resume it, and reads the stream.
func (g *generation) attempt(ctx context.Context) (Result, error) {
	resuming := g.next > 0
	resp, err := g.engine.sender.call(ctx, PathGenerate, g.call.ID, g.call.Unrepeatable, g.request())
	if err != nil {
		if resuming {
			return Result{}, lost(err)
		}
		return Result{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		return g.read(resp)
	}
	failed := failure(resp, g.call.ID)
	if resuming {
		// The call ran before the stream was cut, so a refusal to resume does not
		// mean that it did not run.
		return Result{}, lost(failed)
	}
	return Result{}, failed
}

func (g *generation) request() GenerateRequest {
	return GenerateRequest{
		Call:       g.call.ID,
		Stage:      g.call.Stage,
		Model:      g.call.Model,
		Input:      g.call.Input,
		Previous:   g.call.Previous,
		MaxTokens:  g.call.MaxTokens,
		Priority:   g.call.Priority,
		ResumeFrom: g.next,
	}
}

// read reads events until the stream ends. A stream is complete only if all
// tokens and the closing event arrived. Without the closing event it is an error
// even if the connection closed cleanly, since half an answer would pass as whole.
func (g *generation) read(resp *http.Response) (Result, error) {
	events := newEventReader(resp.Body)
	for {
		ev, err := events.next()
		if errorx.IsOfType(err, ErrMalformed) {
			return Result{}, lost(err)
		}
		if err != nil {
			return Result{}, lost(errCut.Wrap(err, "stream cut before token %d", g.next))
		}
		switch ev.name {
		case EventToken:
			err = g.token(ev.data)
		case EventDone:
			return g.done(ev.data, resp)
		case EventError:
			return Result{}, g.failed(ev.data)
		}
		if err != nil {
			return Result{}, err
		}
	}
}

func (g *generation) token(data []byte) error {
	var t TokenEvent
	if err := json.Unmarshal(data, &t); err != nil {
		return lost(ErrMalformed.Wrap(err, "decode token"))
	}
	if t.Call != g.call.ID || t.Seq != g.next {
		return lost(ErrMalformed.New("token %d of call %q in place of token %d", t.Seq, t.Call, g.next))
	}
	g.next++
	if g.chunk != nil {
		g.chunk(t.Seq, t.Text)
	}
	return nil
}

// done returns the result that the closing event completes, once the reply has ended.
func (g *generation) done(data []byte, resp *http.Response) (Result, error) {
	var d DoneEvent
	if err := json.Unmarshal(data, &d); err != nil {
		return Result{}, lost(ErrMalformed.Wrap(err, "decode closing event"))
	}
	if d.Call != g.call.ID || d.Tokens != g.next || len(d.Output) == 0 {
		return Result{}, lost(ErrMalformed.New("call %q closed with %d tokens after %d", d.Call, d.Tokens, g.next))
	}
	if err := readEnd(resp); err != nil {
		return Result{}, lost(ErrMalformed.Wrap(err, "after the closing event"))
	}
	return Result{Output: d.Output, Tokens: d.Tokens, Cost: cost(d.Cost, g.start)}, nil
}

func (g *generation) failed(data []byte) error {
	var f FailureReply
	if err := json.Unmarshal(data, &f); err != nil || f.Call != g.call.ID {
		return lost(ErrMalformed.New("failure of call %q", f.Call))
	}
	return &Error{Written: true, Err: ErrFailed.New("engine: %s", f.Error)}
}
