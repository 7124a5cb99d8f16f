package entry

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/mangostage/mangostage/api"
)

// Names of the server-sent events.
const (
	eventToken   = "token"
	eventAnswer  = "answer"
	eventProblem = "problem"
)

// token is the data of a token event: one chunk of the last stage's output.
type token struct {
	Seq  int    `json:"seq"`
	Text string `json:"text"`
}

// eventWriter writes server-sent events to a caller. A complete stream ends with
// exactly one answer or problem event; a stream without one was cut off.
type eventWriter struct {
	w  http.ResponseWriter
	rc *http.ResponseController
}

func newEventWriter(w http.ResponseWriter, requestID string) *eventWriter {
	w.Header().Set(api.HeaderRequestID, requestID)
	w.Header().Set("Content-Type", typeStream)
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	return &eventWriter{w: w, rc: http.NewResponseController(w)}
}

func (e *eventWriter) send(event string, data any) error {
	encoded, err := json.Marshal(data)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(e.w, "event: %s\ndata: %s\n\n", event, encoded); err != nil {
		return err
	}
	return e.rc.Flush()
}

func (e *eventWriter) final(final api.Final) error {
	if final.Problem != nil {
		fillProblem(final.Problem)
		return e.send(eventProblem, final.Problem)
	}
	return e.send(eventAnswer, final.Answer)
}
