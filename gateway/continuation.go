package gateway

import (
	"errors"
	"io"
	"mime"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/resume"
	"github.com/mangostage/mangostage/sse"
)

// eventStreamType is the media type of streams of events.
const eventStreamType = "text/event-stream"

// headOf returns the head of an endpoint's answer to the request. A success without a media type
// is a stream of events on a route that streams.
func (req *request) headOf(a *answer) resume.Head {
	h := resume.Head{Status: a.StatusCode}
	if a.StatusCode < 200 || a.StatusCode > 299 {
		return h
	}
	contentType := a.Header.Get("Content-Type")
	mediaType, _, _ := mime.ParseMediaType(contentType)
	h.Stream = mediaType == eventStreamType || contentType == "" && req.route.Kind == catalog.RouteStream
	return h
}

// checkContinue returns why no endpoint may go on with what the client has.
func (req *request) checkContinue() resume.Refusal {
	versionKnown := req.origin == nil || !req.origin.Unclear
	return req.stream.sent.CheckContinue(req.route.ResumableStream(), versionKnown)
}

// mayContinue reports whether another endpoint may go on with what the client has.
func (req *request) mayContinue() bool {
	refusal := req.checkContinue()
	if refusal != "" {
		req.stream.notContinued = string(refusal)
	}
	return refusal == ""
}

// refusesFirstEvent reports whether the first event of an answer, or the part of it that is to be
// relayed, has come and may not follow what the client has; if so, it records that. err is that
// of the stream's reader.
func (g *Gateway) refusesFirstEvent(req *request, a *answer, stream *sse.Reader, err error) bool {
	unfinished := errors.Is(err, io.EOF) && stream.InsideEvent()
	if stream.Events() == 0 && !stream.Split() && !unfinished {
		return false
	}
	refusal := req.stream.sent.CheckFirst(stream.FirstID())
	if refusal != "" {
		g.recordRefusal(req, a, refusal)
	}
	return refusal != ""
}

// refusesHead reports whether an answer with this head may not go on with what the client has;
// if so, it records that.
func (g *Gateway) refusesHead(req *request, a *answer) bool {
	refusal := req.stream.sent.CheckHead(req.headOf(a))
	if refusal != "" {
		g.recordRefusal(req, a, refusal)
	}
	return refusal != ""
}

// recordRefusal logs and counts an answer of an endpoint that may not go on with what the client
// has. The endpoint is not at fault.
func (g *Gateway) recordRefusal(req *request, a *answer, refusal resume.Refusal) {
	req.stream.notContinued = string(refusal)
	g.cfg.Metrics.countRefusedContinuation(req, refusal)
	req.about(g.cfg.Log.Warn().Str("event", logContinuationRefused)).
		Str("endpoint", a.endpoint.ID).Str("refusal", string(refusal)).Int("status", a.StatusCode).
		Str("type", a.Header.Get("Content-Type")).Str("framing", string(a.framing())).
		Str("last_event", req.stream.sent.LastID).Msg("an endpoint's answer does not go on with the stream that has begun")
}
