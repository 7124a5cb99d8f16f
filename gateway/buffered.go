package gateway

import (
	"net/http"
	"time"

	"github.com/mangostage/mangostage/balance"
	"github.com/mangostage/mangostage/catalog"
)

// bufferedAnswer is an answer whose body is buffered if it is short.
type bufferedAnswer struct {
	*answer
	// body is the buffered body, if complete is true.
	body []byte
	// complete is true if body holds the whole body; otherwise it is still to be read.
	complete bool
	// endpointError is true for a complete error answer of the endpoint, which is
	// relayed if no other endpoint serves the request.
	endpointError bool
	// stream is true for a stream of events, which is relayed as it arrives.
	stream bool
	// took is the time from the send to the head of the answer.
	took time.Duration
}

// bufferPlain buffers the body of an answer that is no stream, if it is short, and reports
// the send. The outcome of a longer answer is known, and reported, once it has been relayed.
func (g *Gateway) bufferPlain(req *request, e *catalog.Endpoint, b *bufferedAnswer) (*bufferedAnswer, sendResult) {
	var err error
	b.body, b.complete, err = b.buffer(req.deadline)
	switch {
	case err != nil:
		b.disbelieve()
		g.recordBroken(req, e, err)
		g.recordSend(req, e, b.answer, g.failureOutcome(req), b.took, errBroken.Wrap(err, "answer with status %d", b.StatusCode))
		return nil, resultFailed
	case g.withholds(req, b.answer):
		g.recordSend(req, e, b.answer, balance.Failed, b.took, nil)
		g.recordConnectionEnd(req, e, b.answer)
		return nil, resultFailed
	case b.StatusCode >= http.StatusInternalServerError:
		g.recordSend(req, e, b.answer, balance.Failed, b.took, nil)
		b.endpointError = true
		g.recordConnectionEnd(req, e, b.answer)
		if req.route.Repeatable() {
			return b, resultFailed
		}
		return b, resultRelay
	case !b.complete:
		g.logSend(req, e, b.StatusCode, b.took, nil)
		return b, resultRelay
	}
	b.believe()
	g.recordSend(req, e, b.answer, balance.Served, b.took, nil)
	return b, resultRelay
}

// relayPlain relays an answer to the client, and reports to the balancer how it ended if that
// was not known before.
func (g *Gateway) relayPlain(w http.ResponseWriter, req *request, e *catalog.Endpoint, a *bufferedAnswer) {
	g.relayAnswer(w, req, e, a, func(o balance.Outcome) { g.recordOutcome(req, e, a.answer, o, a.took) })
}

// relayAnswer relays an answer that is no stream to the client. ended is called with the outcome
// of one that is not buffered.
func (g *Gateway) relayAnswer(w http.ResponseWriter, req *request, e *catalog.Endpoint, a *bufferedAnswer, ended func(balance.Outcome)) {
	req.markFirstByte()
	if a.complete {
		a.believe()
		a.write(w)
	} else {
		a.writeHead(w)
		g.relayRest(w, req, e, a, ended)
	}
	g.recordConnectionEnd(req, e, a.answer)
	g.finish(req, a.answer, "relayed")
}

// relayRest relays the body of an answer that is not buffered. It aborts the client's connection
// if the answer is broken or the client does not take it.
func (g *Gateway) relayRest(w http.ResponseWriter, req *request, e *catalog.Endpoint, a *bufferedAnswer, ended func(balance.Outcome)) {
	outcome := balance.Served
	defer func() { ended(outcome) }()
	broke, err := a.relay(w)
	if err == nil {
		a.believe()
		return
	}
	if broke {
		outcome = g.failureOutcome(req)
		a.disbelieve()
		g.recordBroken(req, e, err)
	}
	g.abortAnswer(req, e.ID, err)
}

// write writes a complete answer to the client.
func (b *bufferedAnswer) write(w http.ResponseWriter) {
	b.writeHead(w)
	// A write fails only if the client has left.
	_, _ = w.Write(b.body)
}
