package gateway

import "github.com/mangostage/mangostage/platform"

// notRunProof is what proves that a send has not run the request.
type notRunProof string

const (
	// notRunUnwritten means that no byte of the request was written.
	notRunUnwritten notRunProof = "unwritten"
	// notRunStated means that the endpoint stated it in its answer to this send.
	notRunStated notRunProof = "stated"
)

// sendRecord says over which connection a request was sent, and what proves that the send has
// not run it.
type sendRecord struct {
	// conn is the use of the connection; its number is 0 if there was none.
	conn platform.ConnUse
	// notRun is empty if nothing proves it.
	notRun notRunProof
}

// use returns the use of the connection of an exchange.
func (x *exchange) use() platform.ConnUse {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn == nil {
		return platform.ConnUse{}
	}
	return platform.ConnUse{Number: x.conn.number, Carried: x.carried}
}

// recordStray logs and counts an answer that belongs to no send, which came when that to the
// request was due.
func (g *Gateway) recordStray(req *request, a *answer) {
	g.cfg.Metrics.CountStray(req.serviceName)
	req.about(g.cfg.Log.Warn().Str("event", logStrayAnswer)).Str("endpoint", a.endpoint.ID).
		Str("answer_to", a.ID).Int("status", a.StatusCode).
		Uint64("conn", req.lastSend.conn.Number).Int("conn_carried", req.lastSend.conn.Carried).Msg("an answer that belongs to no send")
}
