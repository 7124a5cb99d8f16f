package gateway

import (
	"errors"
	"io"

	"github.com/mangostage/mangostage/sse"
)

// streamEnd says how a stream of events ended.
type streamEnd string

const (
	endBetweenEvents streamEnd = "between_events"
	endInsideEvent   streamEnd = "inside_event"
	// endBroken means that the connection broke.
	endBroken streamEnd = "broken"
)

// endOf returns how the stream ended whose reader returned err.
func endOf(stream *sse.Reader, err error) streamEnd {
	switch {
	case !errors.Is(err, io.EOF):
		return endBroken
	case stream.InsideEvent():
		return endInsideEvent
	}
	return endBetweenEvents
}

// recordStreamEnd counts the end of an endpoint's stream, and logs one that is not between
// two events.
func (g *Gateway) recordStreamEnd(req *request, a *answer, stream *sse.Reader, err error) {
	end := endOf(stream, err)
	g.cfg.Metrics.countStreamEnd(req, a.framing(), end)
	if end == endBetweenEvents {
		return
	}
	g.cfg.Log.Warn().Err(err).Str("event", logStreamEnded).Str("request", req.ID).Str("route", req.route.Name).
		Str("endpoint", a.endpoint).Str("framing", string(a.framing())).Str("end", string(end)).
		Int("events", stream.Events()).Str("last_event", stream.LastID()).Msg("an endpoint's stream ended inside an event")
}
