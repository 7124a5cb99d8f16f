package gateway

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
	// conn is the number of the connection; 0 if there was none.
	conn uint64
	// carried is how many requests the connection had carried before.
	carried int
	// notRun is empty if nothing proves it.
	notRun notRunProof
}

// record returns what there is to say about the connection of an exchange.
func (x *exchange) record() sendRecord {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn == nil {
		return sendRecord{}
	}
	return sendRecord{conn: x.conn.number, carried: x.carried}
}

// recordStray logs and counts an answer that belongs to no send, which came when that to the
// request was due.
func (g *Gateway) recordStray(req *request, a *answer) {
	g.cfg.Metrics.countStray(req.serviceName)
	req.about(g.cfg.Log.Warn().Str("event", logStrayAnswer)).Str("endpoint", a.endpoint.ID).
		Str("answer_to", a.ID).Int("status", a.StatusCode).
		Uint64("conn", req.lastSend.conn).Int("conn_carried", req.lastSend.carried).Msg("an answer that belongs to no send")
}
