package gateway

import (
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/mangostage/mangostage/balance"
	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/resume"
	"github.com/mangostage/mangostage/sse"
)

// streamState is what the client has of the stream that answers its request, over all
// sends.
type streamState struct {
	// sent is what the client has. Once it has a head, only the events of its stream may
	// follow.
	sent resume.Sent
	// lacksEvent is true if the stream was broken off inside an event: more has to follow.
	lacksEvent bool
	// brokenBy is the ID of the endpoint that broke the stream off last, brokenErr how.
	brokenBy  string
	brokenErr error
	// notContinued is why no endpoint, or the one that was asked last, goes on with the stream.
	notContinued string
}

// streams reports whether an answer to the request is relayed as events.
func (req *request) streams(a *answer) bool {
	success := a.StatusCode >= 200 && a.StatusCode <= 299
	return success && (req.route.Kind == catalog.RouteStream || req.headOf(a).Stream)
}

// streamEnd says how an endpoint's stream of events ended.
type streamEnd string

const (
	endBetweenEvents streamEnd = "between_events"
	// endInsideEvent and endNoEvent mean that an end of the connection broke the stream
	// off, endBroken that the connection broke.
	endInsideEvent streamEnd = "inside_event"
	endNoEvent     streamEnd = "no_event"
	endBroken      streamEnd = "broken"
	// endLacksEvent means that the stream goes on with one that was broken off inside an event
	// and ended without it.
	endLacksEvent streamEnd = "lacks_event"
)

// endOf returns how the stream ended whose reader returned err. A stream that its framing
// ends is whole as it is.
func (req *request) endOf(a *answer, stream *sse.Reader, err error) streamEnd {
	switch {
	case !errors.Is(err, io.EOF):
		return endBroken
	case req.stream.sent.Begun && req.stream.lacksEvent && stream.Events() == 0 && !stream.InsideEvent():
		return endLacksEvent
	case a.framing() != framedByConnection || !req.streams(a):
		return endBetweenEvents
	case stream.InsideEvent():
		return endInsideEvent
	case stream.Events() == 0 && (req.stream.sent.LastID == "" || req.stream.lacksEvent):
		return endNoEvent
	}
	return endBetweenEvents
}

// recordStreamEnd counts the end of an endpoint's stream. If the stream was broken off, it
// logs it and returns the error.
func (g *Gateway) recordStreamEnd(req *request, a *answer, stream *sse.Reader, err error) error {
	end := req.endOf(a, stream, err)
	if stream.Events() > 0 || stream.InsideEvent() {
		req.stream.lacksEvent = stream.InsideEvent()
	}
	g.cfg.Metrics.countStreamEnd(req, a.framing(), end)
	switch end {
	case endBetweenEvents:
		return nil
	case endInsideEvent, endNoEvent, endLacksEvent:
		err = errBroken.New("the connection ended: %s", end)
	}
	req.about(g.cfg.Log.Warn().Err(err).Str("event", logStreamEnded)).
		Str("endpoint", a.endpoint.ID).Str("framing", string(a.framing())).Str("end", string(end)).
		Int("events", stream.Events()).Str("last_event", stream.LastID()).Msg("an endpoint broke its stream off")
	return err
}

// takesUpStream reports whether the client goes on with a stream that another attempt of
// its began.
func (req *request) takesUpStream() bool {
	return req.LastEvent != "" && req.route != nil && req.route.ResumableStream()
}

// logTakeUp logs at debug level with which headers a client takes a stream up.
func (g *Gateway) logTakeUp(req *request) {
	line := g.cfg.Log.Debug()
	if !line.Enabled() {
		return
	}
	req.about(line.Str("event", logTakenUp)).Str("resumes", req.Resumes).
		Str("last_event", req.LastEvent).Strs("headers", slices.Sorted(maps.Keys(req.http.Header))).Msg("a client takes a stream up")
}

// relayEnd says how the relay of a stream ended.
type relayEnd int

const (
	// relayWhole means that the stream was relayed to its end.
	relayWhole relayEnd = iota
	// relayBroken means that the stream was broken off.
	relayBroken
	// relayLeft means that the client did not take the answer.
	relayLeft
	// relayRefused means that the events may not follow what the client has; none was relayed.
	relayRefused
)

// pauses measures the pauses between the events of one send.
type pauses struct {
	events  int
	longest time.Duration
}

// record notes how many events have come and how long the newest of them was waited for.
// The time that the client takes does not count.
func (p *pauses) record(events int, waited time.Duration) {
	if p.events > 0 && events > p.events {
		p.longest = max(p.longest, waited)
	}
	p.events = events
}

// relayEvents relays a stream's events as they arrive. begun is called when the first bytes
// have come. The error says why a stream is relayBroken.
func (g *Gateway) relayEvents(w http.ResponseWriter, req *request, a *answer, begun func()) (relayEnd, error) {
	flusher := http.NewResponseController(w)
	stream := sse.NewReader(a.Body, maxEvent)
	var comments commentCounter
	continues, first := req.stream.sent.Begun, true
	for {
		waitedFrom := time.Now()
		data, err := stream.Next()
		a.pauses.record(stream.Events(), time.Since(waitedFrom))
		if err == nil {
			err = comments.receive(len(data), stream)
		}
		if continues && !a.begun && g.refusesFirstEvent(req, a, stream, err) {
			return relayRefused, nil
		}
		if first && (len(data) > 0 || err == nil) {
			first = false
			req.markFirstByte()
			begun()
		}
		ended := err != nil
		if err = g.recordEvents(req, a, stream, err); err != nil {
			return relayBroken, err
		}
		if !req.writeEvents(w, a, data) {
			g.recordLeft(req, a)
			return relayLeft, nil
		}
		req.stream.recordRelayed(stream)
		if ended {
			a.believe()
			return relayWhole, nil
		}
		if flusher.Flush() != nil {
			g.recordLeft(req, a)
			return relayLeft, nil
		}
	}
}

// recordEvents records what has come of a stream, whose reader returned err, before it is
// relayed. It returns an error if the stream was broken off.
func (g *Gateway) recordEvents(req *request, a *answer, stream *sse.Reader, err error) error {
	if err != nil {
		if err = g.recordStreamEnd(req, a, stream, err); err != nil {
			return err
		}
	}
	return g.beginStreamOnce(req, a, stream)
}

// beginStreamOnce records that the answer begins or goes on with the request's stream, when
// its first event, or a part of it, has come.
func (g *Gateway) beginStreamOnce(req *request, a *answer, stream *sse.Reader) error {
	if a.begun || stream.Events() == 0 && !stream.Split() {
		return nil
	}
	a.begun = true
	a.believe()
	return g.beginStream(req, a)
}

// writeEvents writes events, and the head before the first of them. It returns false if the
// client has left.
func (req *request) writeEvents(w http.ResponseWriter, a *answer, data []byte) bool {
	if !req.stream.sent.Begun {
		req.stream.sent.Begin(req.headOf(a))
		if req.checkContinue() == "" {
			// Another endpoint may go on, with another length.
			a.Header.Del("Content-Length")
		}
		a.writeHead(w)
	}
	_, err := w.Write(data)
	return err == nil
}

// recordRelayed records that what the reader has returned was relayed.
func (s *streamState) recordRelayed(stream *sse.Reader) {
	if stream.Events() > 0 || stream.Split() {
		s.sent.Relayed(stream.EndID(), stream.Split())
		s.notContinued = ""
	}
}

// recordBrokenStream records that an endpoint broke the request's stream off.
func (g *Gateway) recordBrokenStream(req *request, e *catalog.Endpoint, err error) {
	g.recordBroken(req, e, err)
	g.settleOrigin(req)
	req.stream.brokenBy, req.stream.brokenErr = e.ID, err
}

// abortStream aborts the client's connection if its stream has begun: it cannot be
// completed, for the reason given unless another one is known.
func (g *Gateway) abortStream(req *request, reason string) {
	if !req.stream.sent.Begun {
		return
	}
	if req.stream.notContinued == "" {
		req.stream.notContinued = reason
	}
	g.abortAnswer(req, req.stream.brokenBy, errBroken.Wrap(req.stream.brokenErr, "not continued: %s", req.stream.notContinued))
}

// recordLeft logs and counts a stream that its client did not take.
func (g *Gateway) recordLeft(req *request, a *answer) {
	g.cfg.Metrics.countAnswer(req, reasonClientLeft)
	req.about(g.cfg.Log.Info().Str("event", logAnswered)).
		Str("endpoint", a.endpoint.ID).Str("reason", reasonClientLeft).Bool("client_left", true).
		Str("last_event", req.stream.sent.LastID).Dur("took_ms", time.Since(req.arrived)).Msg("the client did not take the stream")
}

// relayPlainStream relays the stream of an endpoint of a plain service, and reports to the
// balancer how it ended. It returns false if the stream was broken off or may not follow what the
// client has.
func (g *Gateway) relayPlainStream(w http.ResponseWriter, req *request, e *catalog.Endpoint, a *bufferedAnswer) bool {
	outcome := balance.Served
	defer func() { g.recordOutcome(req, e, a.answer, outcome, a.took) }()
	end, err := g.relayEvents(w, req, a.answer, func() {})
	_ = a.Body.Close()
	switch end {
	case relayBroken:
		outcome = g.failureOutcome(req)
		a.disbelieve()
		g.recordBrokenStream(req, e, err)
		return false
	case relayRefused:
		outcome = balance.Abandoned
		a.disbelieve()
		return false
	case relayWhole:
		g.recordConnectionEnd(req, e, a.answer)
		g.finish(req, a.answer, "relayed")
	}
	return true
}
